//! The operators' text: services, calls, teams and keys.
