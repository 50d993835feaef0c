//! At-most-once execution.
//!
//! A call that must run at most once is *claimed* on the platform's log before any byte goes to
//! a backend server. The first claim of a key by offset owns the key; only the attempt it names
//! may run. [`ClaimTable`] decides for one node, [`ClaimFold`] is the state that every node of a
//! service derives from the stream of [`ClaimRecord`]s.
//!
//! [`AttemptTable`] answers a sender that doubts whether a node has received an attempt, so that
//! "not run" is never said of a call that runs later.

mod answer_store;
mod attempt_table;
mod claim_action;
mod claim_fold;
mod claim_outbox;
mod claim_outcome;
mod claim_record;
mod claim_table;
mod claim_upkeep;
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
    ClaimBody, ClaimEntry, ClaimRecord, SnapshotClaim, SnapshotMark, SnapshotPart,
};
pub use claim_table::ClaimTable;
pub use key_digest::{CallFingerprint, KeyDigest};
pub use once_request::OnceRequest;
pub use once_settings::OnceSettings;
pub use stored_answer::StoredAnswer;
