use std::fmt;

use model::{CallName, ServiceName, TeamName};

/// Something in a valid contract that probably isn't what its author meant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ContractWarning {
    /// A service gets no requests: no route leads to it and no service depends on it.
    UnusedService(ServiceName),
    /// A call matches no request, since all requests enter by routes and no service depends on the
    /// call's service.
    UnreachableCall {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallName,
    },
    /// A call matches no request, since calls with the same path name all its methods.
    ShadowedCall {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallName,
    },
    /// A route's backend has the weight 0 and gets no requests.
    IdleBackend {
        /// The route.
        route: CallName,
        /// The backend.
        service: ServiceName,
    },
    /// All backends of a route have the weight 0, so that its requests are answered by nobody.
    RouteWithoutShare(CallName),
    /// A route matches no request, since its host has upper-case letters.
    UnmatchedHost {
        /// The route.
        route: CallName,
        /// The host.
        host: String,
    },
    /// The target latency of a route or call isn't below its deadline, so that it has no effect.
    TargetBeyondDeadline {
        /// The route or call.
        call: String,
        /// The target latency, in milliseconds.
        target_ms: u64,
        /// The deadline, in milliseconds.
        deadline_ms: u64,
    },
    /// A team may send less at once than it may send per second, so that requests that come together
    /// are refused although the team is within its rate.
    BurstBelowRate {
        /// The team.
        team: TeamName,
        /// The burst.
        burst: u32,
        /// The rate, in requests per second.
        rate_per_s: u32,
    },
    /// A service depends on another one whose calls may take longer than any request to the service.
    DependencyOutlastsCaller {
        /// The service.
        service: ServiceName,
        /// The service that it depends on.
        dependency: ServiceName,
        /// The longest deadline of a request to the service, in milliseconds.
        deadline_ms: u64,
        /// The shortest deadline of a call of the dependency, in milliseconds.
        dependency_ms: u64,
    },
}

impl fmt::Display for ContractWarning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnusedService(service) => write!(
                formatter,
                "service \"{service}\" gets no requests: no route leads to it and no service \
                 depends on it"
            ),
            Self::UnreachableCall { service, call } => write!(
                formatter,
                "call \"{call}\" of service \"{service}\" matches no request: requests enter by \
                 routes, and no service depends on \"{service}\""
            ),
            Self::ShadowedCall { service, call } => write!(
                formatter,
                "call \"{call}\" of service \"{service}\" matches no request: calls with the same \
                 path name all methods"
            ),
            Self::IdleBackend { route, service } => write!(
                formatter,
                "backend \"{service}\" of route \"{route}\" gets no requests: its weight is 0"
            ),
            Self::RouteWithoutShare(route) => write!(
                formatter,
                "route \"{route}\" serves no request: all its weights are 0"
            ),
            Self::UnmatchedHost { route, host } => write!(
                formatter,
                "route \"{route}\" may match no request: its host \"{host}\" has upper-case \
                 letters, and hosts are compared letter for letter"
            ),
            Self::TargetBeyondDeadline {
                call,
                target_ms,
                deadline_ms,
            } => write!(
                formatter,
                "the target of {call} has no effect: {target_ms} ms, and its deadline is \
                 {deadline_ms} ms"
            ),
            Self::BurstBelowRate {
                team,
                burst,
                rate_per_s,
            } => write!(
                formatter,
                "team \"{team}\" may send {rate_per_s} requests a second but only {burst} at once"
            ),
            Self::DependencyOutlastsCaller {
                service,
                dependency,
                deadline_ms,
                dependency_ms,
            } => write!(
                formatter,
                "service \"{service}\" depends on \"{dependency}\", whose calls may all take \
                 {dependency_ms} ms or longer, but no request to \"{service}\" has more than \
                 {deadline_ms} ms"
            ),
        }
    }
}
