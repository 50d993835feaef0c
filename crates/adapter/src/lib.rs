//! HTTP adapter for the platform's append-only log.
