use std::net::SocketAddr;

use model::{CentreName, ServiceName, VmName};
use serde::{Deserialize, Serialize};

/// Whether a member takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The backend server isn't ready yet.
    Starting,
    /// The member takes work.
    Ready,
    /// The member takes no new work and finishes what it has.
    Leaving,
    /// The member has ended.
    Gone,
}

/// What a node tells of itself; the content of a record of the members stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAnnouncement {
    /// The VM.
    pub vm: VmName,
    /// The data centre of the VM.
    pub centre: CentreName,
    /// The service of the backend server on the VM.
    pub service: ServiceName,
    /// The address for other nodes.
    pub peer_addr: SocketAddr,
    /// The requests that the backend server can run at once.
    pub slots: u32,
    /// A number that is higher for each start of the node.
    pub incarnation: u64,
    /// A number that is higher for each announcement of one start.
    pub sequence: u64,
    /// Whether the member takes work.
    pub state: MemberState,
    /// The time for which the announcement holds, in milliseconds.
    pub valid_ms: u64,
}

impl MemberAnnouncement {
    /// Returns whether this replaces another announcement of the same VM.
    ///
    /// A member that leaves never comes back within one start.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        let is_return = other.state >= MemberState::Leaving && self.state < other.state;
        self.sequence > other.sequence && !is_return
    }
}
