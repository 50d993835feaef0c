//! The platform's append-only log: client trait, records, folds and snapshots.
//!
//! All state that nodes have to agree on is a deterministic fold over the ordered records of a
//! [`LogStream`]. [`ConfigFold`] holds the contract text and the callers' keys. [`ConfigFeed`]
//! combines what a node needs to keep that fold current: [`StreamFollower`] chooses between the log
//! and other nodes as the source of updates, [`RecordRelay`] serves records to other nodes, and
//! [`KeyTrust`] limits how long keys are accepted without updates. [`RecordAttempt`] determines the
//! outcome of an append. Nothing in this crate does I/O.

mod claim_shard;
mod config_feed;
mod config_fold;
mod config_record;
mod config_snapshot;
mod fold_feed;
mod key_digest;
mod key_fold;
mod key_trust;
mod log_era;
mod log_handle;
mod log_record;
mod log_stream;
mod platform_log;
mod record_attempt;
mod record_body;
mod record_relay;
mod relay_message;
mod relay_plan;
mod resume_hold;
mod snapshot_timer;
mod stream_feed;
mod stream_follower;
mod text_change;
mod update_time;

pub use claim_shard::ClaimShard;
pub use config_feed::{AppliedRecord, ConfigFeed, FeedSettings, KeyAnswer};
pub use config_fold::{ConfigFold, TextCheck, TextFault, VersionedText};
pub use config_record::{ConfigRecord, ConfigReplacement, ConfigVersion, RecordOutcome};
pub use config_snapshot::ConfigSnapshot;
pub use fold_feed::{FoldFeed, StreamFold};
pub use key_digest::KeyDigest;
pub use key_fold::KeyFold;
pub use key_trust::{KeyTrust, TrustSettings, TrustState};
pub use log_era::LogEra;
pub use log_handle::LogHandle;
pub use log_record::{LogOffset, LogRecord, NewRecord};
pub use log_stream::LogStream;
pub use platform_log::{AppendError, AppendReceipt, PlatformLog, ReadBatch, ReadError};
pub use record_attempt::{AttemptAction, AttemptSettings, AttemptStatus, RecordAttempt};
pub use record_body::{BodyError, RecordBody};
pub use record_relay::{RecordRelay, RelaySettings};
pub use relay_message::{CentreOutage, RelayBatch, RelayPull, RelaySnapshot};
pub use relay_plan::{PlanSettings, RelayPlan};
pub use resume_hold::{ResumeHold, ResumeSettings};
pub use snapshot_timer::{SnapshotSettings, SnapshotTimer};
pub use stream_feed::StreamFeed;
pub use stream_follower::{
    FollowAction, FollowFault, FollowSettings, FollowUpdate, StreamFollower,
};
pub use text_change::{ChangeError, TextChange, TextDigest};
pub use update_time::UpdateTime;
