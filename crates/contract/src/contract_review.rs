use std::collections::BTreeSet;

use model::ServiceName;

use crate::{
    CallContract, ContractWarning, FleetContract, KNOWN_METHODS, RouteContract, ServiceContract,
};

/// Returns what is probably not meant in a valid contract: entries that match no request and limits
/// that contradict each other.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::{FleetContract, review_contract};
///
/// let text = r#"
/// [services.registry]
/// [teams.clubs]
/// rate_per_s = 100
/// burst = 10
/// "#;
/// let contract = FleetContract::parse("fleet.toml", text)?;
/// let warnings = review_contract(&contract);
/// assert_eq!(
///     warnings[0].to_string(),
///     "team \"clubs\" may send 100 requests a second but only 10 at once"
/// );
/// # Ok::<(), lentilshift_contract::ContractError>(())
/// ```
#[must_use]
pub fn review_contract(contract: &FleetContract) -> Vec<ContractWarning> {
    let mut warnings = Vec::new();
    review_services(contract, &mut warnings);
    review_routes(contract, &mut warnings);
    for (team, terms) in &contract.teams {
        if terms.burst < terms.rate_per_s {
            warnings.push(ContractWarning::BurstBelowRate {
                team: team.clone(),
                burst: terms.burst,
                rate_per_s: terms.rate_per_s,
            });
        }
    }
    warnings
}

fn review_services(contract: &FleetContract, warnings: &mut Vec<ContractWarning>) {
    let has_routes = !contract.routes.is_empty();
    let backends = contract.routes.values();
    let routed: BTreeSet<&ServiceName> = backends.flat_map(served_backends).collect();
    let services = contract.services.values();
    let dependencies: BTreeSet<&ServiceName> =
        services.flat_map(|service| &service.depends_on).collect();
    for (name, service) in &contract.services {
        let is_dependency = dependencies.contains(name);
        if has_routes && !is_dependency {
            if !routed.contains(name) {
                warnings.push(ContractWarning::UnusedService(name.clone()));
            }
            let calls = own_calls(service);
            warnings.extend(calls.map(|(call, _)| ContractWarning::UnreachableCall {
                service: name.clone(),
                call: call.clone(),
            }));
        }
        review_calls(name, service, warnings);
        review_dependencies(contract, name, service, warnings);
    }
}

/// Returns the backends of a route that get requests.
fn served_backends(route: &RouteContract) -> impl Iterator<Item = &ServiceName> {
    let backends = route.backends.iter();
    backends
        .filter(|(_, weight)| **weight > 0)
        .map(|(service, _)| service)
}

/// Returns the calls of a service that its contract defines.
fn own_calls(service: &ServiceContract) -> impl Iterator<Item = (&model::CallName, &CallContract)> {
    let calls = service.calls.iter();
    calls.filter(|(call, _)| call.as_str() != ServiceContract::DEFAULT_CALL)
}

fn review_calls(
    name: &ServiceName,
    service: &ServiceContract,
    warnings: &mut Vec<ContractWarning>,
) {
    for (call, terms) in &service.calls {
        let is_taken = |method: &str| {
            let mut others = service.calls.values();
            others.any(|other| other.path == terms.path && other.method.as_deref() == Some(method))
        };
        if terms.method.is_none() && KNOWN_METHODS.iter().copied().all(is_taken) {
            warnings.push(ContractWarning::ShadowedCall {
                service: name.clone(),
                call: call.clone(),
            });
        }
        let label = format!("call \"{call}\" of service \"{name}\"");
        review_target(label, terms.target_ms, terms.deadline_ms, warnings);
    }
}

fn review_target(
    call: String,
    target_ms: u64,
    deadline_ms: u64,
    warnings: &mut Vec<ContractWarning>,
) {
    if target_ms >= deadline_ms {
        warnings.push(ContractWarning::TargetBeyondDeadline {
            call,
            target_ms,
            deadline_ms,
        });
    }
}

fn review_dependencies(
    contract: &FleetContract,
    name: &ServiceName,
    service: &ServiceContract,
    warnings: &mut Vec<ContractWarning>,
) {
    let own = service.calls.values().map(|call| call.deadline_ms);
    let routes = contract.routes.values();
    let leading = routes.filter(|route| route.backends.contains_key(name));
    let Some(deadline_ms) = own.chain(leading.map(|route| route.deadline_ms)).max() else {
        return;
    };
    for dependency in &service.depends_on {
        let calls = contract.services.get(dependency);
        let calls = calls.into_iter().flat_map(|service| service.calls.values());
        let Some(dependency_ms) = calls.map(|call| call.deadline_ms).min() else {
            continue;
        };
        if dependency_ms > deadline_ms {
            warnings.push(ContractWarning::DependencyOutlastsCaller {
                service: name.clone(),
                dependency: dependency.clone(),
                deadline_ms,
                dependency_ms,
            });
        }
    }
}

fn review_routes(contract: &FleetContract, warnings: &mut Vec<ContractWarning>) {
    for (name, route) in &contract.routes {
        if route.host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            warnings.push(ContractWarning::UnmatchedHost {
                route: name.clone(),
                host: route.host.to_string(),
            });
        }
        if route.total_weight() == 0 {
            warnings.push(ContractWarning::RouteWithoutShare(name.clone()));
        } else {
            let idle = route.backends.iter().filter(|(_, weight)| **weight == 0);
            warnings.extend(idle.map(|(service, _)| ContractWarning::IdleBackend {
                route: name.clone(),
                service: service.clone(),
            }));
        }
        let label = format!("route \"{name}\"");
        review_target(label, route.target_ms, route.deadline_ms, warnings);
    }
}
