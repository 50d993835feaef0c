/// The longest text, in bytes.
pub const MAX_TEXT_LEN: usize = 4 * 1024 * 1024;

/// The most services in one text.
pub const MAX_SERVICES: usize = 4_096;

/// The most calls of one service.
pub const MAX_CALLS_PER_SERVICE: usize = 256;

/// The most teams in one text.
pub const MAX_TEAMS: usize = 4_096;

/// The most services on one chain of dependencies, its first and last included.
pub const MAX_CHAIN_DEPTH: usize = 16;

/// The longest path of a call, in bytes.
pub const MAX_PATH_LEN: usize = 256;

/// The longest deadline of a call, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The highest rate of a team, in requests per second.
pub const MAX_RATE_PER_S: u32 = 1_000_000;

/// The largest burst of a team, in requests.
pub const MAX_BURST: u32 = 10_000_000;

/// The most routes in one text.
pub const MAX_ROUTES: usize = 16_384;

/// The most backend servers that one request may be sent to.
pub const MAX_ATTEMPTS: u32 = 16;

/// The greatest weight of a service on a route.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The HTTP methods that a call may name.
pub const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
