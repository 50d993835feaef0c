//! At-most-once execution of calls.
//!
//! A call that must run at most once is *claimed* on the platform's log before any byte of it is
//! sent to a backend server. The claim of a key with the lowest offset owns the key, and only the
//! attempt named in it may run. [`ClaimFold`] is the state that every node of a service derives
//! from the stream of [`ClaimRecord`]s; [`ClaimTable`] uses it to decide which attempts one node
//! may run.
//!
//! [`AttemptTable`] answers senders that don't know whether a node has received an attempt. A call
//! reported as "not run" never runs later.

mod answer_store;
mod attempt_table;
mod claim_action;
mod claim_fold;
mod claim_maintenance;
mod claim_outbox;
mod claim_outcome;
mod claim_record;
mod claim_table;
mod key_digest;
mod local_attempts;
mod once_request;
mod once_settings;
mod snapshot_reader;
mod stored_answer;

pub use answer_store::AnswerStore;
pub use attempt_table::{AttemptArrival, AttemptSettings, AttemptState, AttemptTable, TableMark};
pub use claim_action::{ClaimAction, ClaimRefusal};
pub use claim_fold::{ClaimFold, FoldEvent, HeldClaim};
pub use claim_outcome::{ClaimOutcome, HolderReply};
pub use claim_record::{
    ClaimBody, ClaimEntry, ClaimRecord, SnapshotChunk, SnapshotClaim, SnapshotMark,
};
pub use claim_table::ClaimTable;
pub use key_digest::{CallFingerprint, KeyDigest};
pub use once_request::OnceRequest;
pub use once_settings::OnceSettings;
pub use stored_answer::StoredAnswer;
