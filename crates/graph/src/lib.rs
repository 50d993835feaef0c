//! Dependencies between services, critical paths and importance along them.
