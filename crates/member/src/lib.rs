//! Announcements, liveness and leaving.
//!
//! Each node tells of itself with a [`MemberAnnouncement`], on the log and, when it leaves,
//! directly to its peers. [`MemberView`] folds the announcements of all nodes,
//! [`MemberFold`] keeps it up to date from the log and from other nodes,
//! [`AnnounceTimer`] says when a node announces itself again, [`AnnounceBatch`] gathers what many
//! nodes announce, and [`MemberSubset`] picks the VMs that a node keeps links to.

mod announce_batch;
mod announce_timer;
mod backend_watch;
mod member_announcement;
mod member_fold;
mod member_settings;
mod member_subset;
mod member_view;

pub use announce_batch::{AnnounceBatch, BatchSettings};
pub use announce_timer::AnnounceTimer;
pub use backend_watch::{BackendName, BackendNotice, BackendReport, BackendWatch, NoticeOutcome};
pub use member_announcement::{MemberAnnouncement, MemberState};
pub use member_fold::MemberFold;
pub use member_settings::MemberSettings;
pub use member_subset::MemberSubset;
pub use member_view::{MemberSnapshot, MemberView};
