/// A port of a node at which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientPort {
    /// The port for callers.
    Callers,
    /// The port for the backend server's own calls.
    Egress,
    /// The port for readiness, dumps and metrics.
    Admin,
    /// The port for the reports of the backend server.
    Reports,
    /// The additional port for metrics.
    Metrics,
    /// The port for other nodes, of which those count that haven't authenticated yet.
    Peers,
}

impl ClientPort {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Egress => "egress",
            Self::Admin => "admin",
            Self::Reports => "reports",
            Self::Metrics => "metrics",
            Self::Peers => "peers",
        }
    }
}

/// The limits of what a node holds for its clients.
///
/// The default suits a VM whose memory and descriptors aren't known to be scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The maximum number of bytes that are held for all clients.
    pub total_bytes: u64,
    /// The bytes beyond that maximum that only the start of a request may take, so that a small
    /// request is served beside large bodies.
    pub reserve_bytes: u64,
    /// The bytes that an open connection counts as.
    pub connection_bytes: u64,
    /// The bytes that a request or a part of its head counts as, in addition to its body.
    pub request_bytes: u64,
    /// The maximum number of connections over all ports.
    pub connections: usize,
    /// The time for which a client may keep the node waiting while memory or connections are
    /// short, in milliseconds.
    pub short_wait_ms: u64,
    /// The time for which a client may keep the node waiting at any time, in milliseconds.
    pub long_wait_ms: u64,
    /// The time in which a head must arrive once its first byte has, in milliseconds.
    pub head_ms: u64,
    /// The bytes after which the wait for a client starts anew.
    pub progress_bytes: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            total_bytes: 1 << 30,
            reserve_bytes: 1 << 27,
            connection_bytes: 8 * 1024,
            request_bytes: 24 * 1024,
            connections: 100_000,
            short_wait_ms: 1_000,
            long_wait_ms: 30_000,
            head_ms: 10_000,
            progress_bytes: 1_024,
        }
    }
}

/// The part of a VM's memory that is held for clients: one in this many bytes.
const MEMORY_PARTS: u64 = 4;
/// The part of the total that is the reserve: one in this many bytes.
const RESERVE_PARTS: u64 = 8;
/// The descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// The share of the other descriptors that clients may take, as a fraction. The rest is for links,
/// for connections to the backend server and for the log.
const CLIENT_SHARE: (usize, usize) = (3, 4);
/// The memory of a VM per connection of a client, in bytes. It includes what the kernel has received
/// for a connection and the node hasn't read.
const MEMORY_PER_CONNECTION_BYTES: u64 = 96 * 1024;
/// The smallest number of connections of a port.
const MIN_CONNECTIONS: usize = 8;

impl ClientLimits {
    /// Returns these limits, with those that follow from the memory and the descriptors of a VM.
    #[must_use]
    pub fn for_vm(self, memory_bytes: Option<u64>, descriptors: Option<usize>) -> Self {
        let total_bytes = memory_bytes.map_or(self.total_bytes, |bytes| bytes / MEMORY_PARTS);
        let connections = descriptors.map_or(self.connections, |descriptors| {
            let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
            sockets * CLIENT_SHARE.0 / CLIENT_SHARE.1
        });
        let affordable = memory_bytes.map_or(connections, |bytes| {
            usize::try_from(bytes / MEMORY_PER_CONNECTION_BYTES).unwrap_or(connections)
        });
        Self {
            total_bytes,
            reserve_bytes: total_bytes / RESERVE_PARTS,
            connections: connections.min(affordable),
            ..self
        }
    }

    /// Returns the maximum number of connections at a port. Each port has its own, so that a crowd
    /// at one port takes no connections from the others.
    #[must_use]
    pub fn connections_at(&self, port: ClientPort) -> usize {
        let (share, whole) = match port {
            ClientPort::Callers => (10, 16),
            ClientPort::Egress => (2, 16),
            ClientPort::Admin | ClientPort::Reports | ClientPort::Metrics | ClientPort::Peers => {
                (1, 16)
            }
        };
        (self.connections * share / whole).max(MIN_CONNECTIONS)
    }
}
