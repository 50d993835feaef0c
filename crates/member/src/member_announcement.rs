use std::net::SocketAddr;

use model::{CentreName, ServiceName, VmName};
use serde::{Deserialize, Serialize};

/// Whether a member accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The backend server isn't ready yet.
    Starting,
    /// The member accepts work.
    Ready,
    /// The member accepts no new work and finishes its running requests.
    Leaving,
    /// The member has stopped.
    Gone,
}

/// The announcement of a node: the content of a record of the members stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAnnouncement {
    /// The VM.
    pub vm: VmName,
    /// The data centre of the VM.
    pub centre: CentreName,
    /// The service of the backend server on the VM.
    pub service: ServiceName,
    /// The address at which other nodes connect.
    pub peer_addr: SocketAddr,
    /// The number of requests that the backend server can run at once.
    pub slots: u32,
    /// A number that increases with each start of the node.
    pub incarnation: u64,
    /// A number that increases with each announcement of one start.
    pub sequence: u64,
    /// The state of the member.
    pub state: MemberState,
    /// The time for which the announcement is valid, in milliseconds.
    pub valid_ms: u64,
}

impl MemberAnnouncement {
    /// Returns whether this replaces another announcement of the same VM.
    ///
    /// Within one start, a member that leaves never becomes ready again.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        let is_return = other.state >= MemberState::Leaving && self.state < other.state;
        self.sequence > other.sequence && !is_return
    }
}
