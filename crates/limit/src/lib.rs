//! Concurrency limits, queues and fair shedding in front of a backend server.
