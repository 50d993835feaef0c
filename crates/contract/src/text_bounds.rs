/// The maximum length of a contract text, in bytes.
pub const MAX_TEXT_LEN: usize = 4 * 1024 * 1024;

/// The maximum number of services.
pub const MAX_SERVICES: usize = 4_096;

/// The maximum number of calls of one service.
pub const MAX_CALLS_PER_SERVICE: usize = 256;

/// The maximum number of teams.
pub const MAX_TEAMS: usize = 4_096;

/// The maximum number of services in a chain of dependencies.
pub const MAX_CHAIN_DEPTH: usize = 16;

/// The maximum length of the path of a call or route, in bytes.
pub const MAX_PATH_LEN: usize = 256;

/// The maximum deadline of a call or route, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The maximum rate of a team, in requests per second.
pub const MAX_RATE_PER_S: u32 = 1_000_000;

/// The maximum burst of a team, in requests.
pub const MAX_BURST: u32 = 10_000_000;

/// The maximum number of routes.
pub const MAX_ROUTES: usize = 16_384;

/// The maximum number of attempts that a call or route may allow for a request.
pub const MAX_ATTEMPTS: u32 = 16;

/// The maximum weight of a service on a route.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The HTTP methods that a call may specify.
pub const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
