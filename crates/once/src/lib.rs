//! At-most-once claims.
