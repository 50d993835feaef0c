//! The platform's append-only log: client trait, records, folds and snapshots.
