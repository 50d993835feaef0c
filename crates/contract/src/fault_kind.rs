use model::NameError;
use thiserror::Error;

use crate::text_bounds::{
    KNOWN_METHODS, MAX_CALLS_PER_SERVICE, MAX_CHAIN_DEPTH, MAX_PATH_LEN, MAX_ROUTES, MAX_SERVICES,
    MAX_TEAMS, MAX_TEXT_LEN,
};

/// The kind of a fault in a contract text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum FaultKind {
    /// The text isn't TOML.
    #[error("not valid TOML: {0}")]
    Syntax(String),
    /// The text contains nothing but white space and comments.
    #[error("the text is empty")]
    EmptyText,
    /// The text is too long; holds its length in bytes.
    #[error("the text has {0} bytes, at most {MAX_TEXT_LEN} are allowed")]
    TextTooLong(usize),
    /// The text lists no service.
    #[error("the text lists no service")]
    NoService,
    /// There are too many services; holds their number.
    #[error("the text lists {0} services, at most {MAX_SERVICES} are allowed")]
    TooManyServices(usize),
    /// There are too many teams; holds their number.
    #[error("the text lists {0} teams, at most {MAX_TEAMS} are allowed")]
    TooManyTeams(usize),
    /// There are too many routes; holds their number.
    #[error("the text lists {0} routes, at most {MAX_ROUTES} are allowed")]
    TooManyRoutes(usize),
    /// A route has no backends.
    #[error("route \"{0}\" has no backends")]
    NoBackends(String),
    /// A route has a backend that the text doesn't list as a service.
    #[error("route \"{route}\" goes to \"{service}\", which the text doesn't list")]
    UnknownBackend {
        /// The route.
        route: String,
        /// The service that isn't listed.
        service: String,
    },
    /// Two routes have the same host and path.
    #[error("routes \"{first}\" and \"{second}\" have the same host and path")]
    DuplicateRoute {
        /// The route whose name comes first.
        first: String,
        /// The other route.
        second: String,
    },
    /// The host of a route is invalid.
    #[error("bad host \"{0}\"")]
    BadHost(String),
    /// The path prefix of a route is invalid.
    #[error("bad path prefix \"{0}\"")]
    BadPrefix(String),
    /// A service has too many calls.
    #[error("service \"{service}\" has {count} calls, at most {MAX_CALLS_PER_SERVICE} are allowed")]
    TooManyCalls {
        /// The service.
        service: String,
        /// The number of its calls.
        count: usize,
    },
    /// There are more faults than are shown; holds the number shown.
    #[error("the text has more than {0} faults, the rest isn't shown")]
    TooManyFaults(usize),
    /// A field is unknown.
    #[error("unknown field \"{field}\" in {location}")]
    UnknownField {
        /// The field.
        field: String,
        /// The table that contains it.
        location: String,
        /// The known fields of the table.
        allowed: &'static [&'static str],
    },
    /// A required field is missing.
    #[error("{location} has no \"{field}\"")]
    MissingField {
        /// The field.
        field: &'static str,
        /// The table that lacks it.
        location: String,
    },
    /// A value has the wrong type.
    #[error("{location} must be {expected}, not {found}")]
    WrongType {
        /// The field or table that has the value.
        location: String,
        /// The expected type.
        expected: &'static str,
        /// The type of the value.
        found: &'static str,
    },
    /// A number is out of its range.
    #[error("{location} must be a whole number from {min} to {max}, not {found}")]
    OutOfRange {
        /// The field or table that has the value.
        location: String,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
        /// The value.
        found: String,
    },
    /// A name is invalid.
    #[error("bad {kind} name \"{name}\": {error}")]
    BadName {
        /// The kind of the named item, such as a service.
        kind: &'static str,
        /// The name.
        name: String,
        /// The reason why it is invalid.
        error: NameError,
    },
    /// A service depends on one that the text doesn't list.
    #[error("service \"{service}\" depends on \"{dependency}\", which the text doesn't list")]
    UnknownService {
        /// The service.
        service: String,
        /// The service that isn't listed.
        dependency: String,
    },
    /// A service lists a dependency twice.
    #[error("service \"{service}\" lists its dependency \"{dependency}\" twice")]
    DuplicateDependency {
        /// The service.
        service: String,
        /// The dependency.
        dependency: String,
    },
    /// Services depend on each other in a cycle.
    #[error("dependency cycle: {0}")]
    DependencyCycle(String),
    /// A chain of dependencies is too long.
    #[error("the chain {path} has {depth} services, at most {MAX_CHAIN_DEPTH} are allowed")]
    ChainTooDeep {
        /// The chain.
        path: String,
        /// The number of its services.
        depth: usize,
    },
    /// Two calls of a service have the same method and path.
    #[error(
        "calls \"{first}\" and \"{second}\" of service \"{service}\" have the same method and path"
    )]
    DuplicateCall {
        /// The service.
        service: String,
        /// The call whose name comes first.
        first: String,
        /// The other call.
        second: String,
    },
    /// An importance is unknown.
    #[error("unknown importance \"{0}\"")]
    UnknownImportance(String),
    /// An HTTP method is unknown.
    #[error("unknown method \"{0}\"")]
    UnknownMethod(String),
    /// The path of a call is invalid.
    #[error("bad path \"{0}\"")]
    BadPath(String),
    /// A call is both `once` and `idempotent`.
    #[error("call \"{0}\" is both once and idempotent")]
    OnceAndIdempotent(String),
    /// A call is both `once` and `open`.
    #[error("call \"{0}\" is both once and open")]
    OnceAndOpen(String),
}

impl FaultKind {
    /// Returns a hint on how to fix the fault.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::Syntax(_) => "a name may appear only once; text values need quotes".into(),
            Self::EmptyText | Self::NoService => {
                "list at least one service, such as [services.registry]".into()
            }
            Self::TextTooLong(_)
            | Self::TooManyServices(_)
            | Self::TooManyTeams(_)
            | Self::TooManyRoutes(_)
            | Self::TooManyCalls { .. } => "remove what is no longer used".into(),
            Self::TooManyFaults(_) => "correct the others and check again".into(),
            Self::UnknownField { allowed, .. } => format!("allowed: {}", allowed.join(", ")),
            Self::MissingField { field, .. } => format!("add a line {field} = …"),
            Self::WrongType { expected, .. } => format!("write {expected}"),
            Self::OutOfRange { min, max, .. } => format!("allowed: {min} to {max}"),
            Self::BadName { .. } => {
                "allowed: 1 to 63 lower-case letters, digits and inner hyphens".into()
            }
            Self::UnknownService { dependency, .. } => {
                format!("add [services.{dependency}], or correct the name")
            }
            Self::DuplicateDependency { .. } => "remove one of the two".into(),
            Self::DependencyCycle(_) => "remove one of these dependencies".into(),
            Self::ChainTooDeep { .. } => "shorten the chain of dependencies".into(),
            Self::DuplicateCall { .. } => {
                "give the calls different paths or methods, or remove one".into()
            }
            Self::NoBackends(_) => "add a line such as backends = { registry = 1 }".into(),
            Self::UnknownBackend { service, .. } => {
                format!("add [services.{service}], or correct the name")
            }
            Self::DuplicateRoute { .. } => {
                "give the routes different hosts or paths, or remove one".into()
            }
            Self::BadHost(_) => "allowed: letters, digits and -._ without a port".into(),
            Self::BadPrefix(_) => format!(
                "allowed: a path that begins and ends with a slash, such as \"/records/\", \
                 {MAX_PATH_LEN} bytes at most"
            ),
            Self::UnknownImportance(_) => "allowed: background, normal, high, critical".into(),
            Self::UnknownMethod(_) => format!("allowed: {}", KNOWN_METHODS.join(", ")),
            Self::BadPath(_) => format!(
                "allowed: \"/\", or segments such as \"/records/recent\" of letters, digits and \
                 -._~!$&'()*+,=:@ with no slash at the end, {MAX_PATH_LEN} bytes at most"
            ),
            Self::OnceAndIdempotent(_) => {
                "keep once = true for what may not be repeated, else idempotent = true".into()
            }
            Self::OnceAndOpen(_) => {
                "a once call belongs to the team whose key came with it: remove open".into()
            }
        }
    }
}
