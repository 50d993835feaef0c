//! Membership of the fleet: announcements, liveness and departure.
//!
//! Each node publishes a [`MemberAnnouncement`] on the log and, when it leaves, also sends it to
//! its peers directly. [`MemberView`] holds the latest announcements of all nodes, and
//! [`MemberFold`] keeps it up to date from the log and from other nodes. [`AnnounceTimer`]
//! schedules the announcements of one node, [`AnnounceBatch`] collects those of many nodes into one
//! append, and [`MemberSubset`] selects the VMs that a node keeps links to. [`BackendWatch`] tracks
//! the backend server beside a node, and a [`BackendDeparture`] tells the node's next process that it
//! has left. [`CentreEvacuation`] holds the data centres whose backend servers get no requests.

mod announce_batch;
mod announce_timer;
mod backend_departure;
mod backend_watch;
mod centre_evacuation;
mod member_announcement;
mod member_fold;
mod member_settings;
mod member_subset;
mod member_view;

pub use announce_batch::{AnnounceBatch, BatchSettings};
pub use announce_timer::AnnounceTimer;
pub use backend_departure::{BackendDeparture, DepartedBackend};
pub use backend_watch::{
    BackendName, BackendNotice, BackendReport, BackendWatch, MAX_REPORT_DELAY_MS, NoticeOutcome,
};
pub use centre_evacuation::{CentreEvacuation, EvacuationChange};
pub use member_announcement::{MemberAnnouncement, MemberState};
pub use member_fold::MemberFold;
pub use member_settings::MemberSettings;
pub use member_subset::MemberSubset;
pub use member_view::{MemberSnapshot, MemberView};
