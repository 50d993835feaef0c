use std::net::SocketAddr;

use model::{CentreName, ServiceName, VmName};
use serde::{Deserialize, Serialize};

/// The exclusive upper bound of incarnations and sequence numbers. Above it, a node couldn't exceed
/// the numbers of a false entry with its name.
const MAX_COUNTER: u64 = 1 << 53;
/// The longest validity of an announcement, in milliseconds. In a fleet of 4,000 nodes it is 40
/// minutes, and it grows with the fleet.
const MAX_VALID_MS: u64 = 24 * 3_600_000;

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
    /// Returns whether a node can have made this announcement.
    ///
    /// Other programs may write to the stream too.
    #[must_use]
    pub const fn is_plausible(&self) -> bool {
        self.incarnation < MAX_COUNTER
            && self.sequence < MAX_COUNTER
            && self.valid_ms <= MAX_VALID_MS
            && self.peer_addr.port() != 0
    }

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
