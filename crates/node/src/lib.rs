//! The node process beside each backend server.
