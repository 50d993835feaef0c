use std::collections::BTreeMap;
use std::ops::Range;

use model::ServiceName;

use crate::fault_list::FaultList;
use crate::text_bounds::MAX_CHAIN_DEPTH;
use crate::{DependencyOrder, FaultKind, ServiceContract};

/// The spans of the dependencies of each service in the text.
pub(crate) type DependencySpans = BTreeMap<ServiceName, BTreeMap<ServiceName, Range<usize>>>;

/// Reports unknown services, dependency cycles and chains that are too deep.
pub(crate) fn check_dependencies(
    services: &BTreeMap<ServiceName, ServiceContract>,
    spans: &DependencySpans,
    faults: &mut FaultList<'_>,
) {
    check_known(services, spans, faults);
    let order = DependencyOrder::of(services);
    for cycle in &order.cycles {
        let names = cycle.services();
        let next = names.get(1).unwrap_or(&names[0]);
        let span = spans[&names[0]][next].clone();
        faults.push(FaultKind::DependencyCycle(cycle.to_string()), span);
    }
    check_depth(services, &order, spans, faults);
}

/// Returns whether [`check_dependencies`] would report no fault.
///
/// The depths are computed in a fixed number of rounds, so those of a cycle exceed the maximum too.
pub(crate) fn has_valid_dependencies(services: &BTreeMap<ServiceName, ServiceContract>) -> bool {
    let names: Vec<&ServiceName> = services.keys().collect();
    let dependencies = services.values().map(|service| {
        let known = service.depends_on.iter();
        known.map(|name| names.binary_search(&name).ok()).collect()
    });
    let Some(dependencies) = dependencies.collect::<Option<Vec<Vec<usize>>>>() else {
        return false;
    };
    let mut depths = vec![1; dependencies.len()];
    for _ in 0..MAX_CHAIN_DEPTH {
        let deepest = |below: &Vec<usize>| below.iter().map(|index| depths[*index]).max();
        depths = dependencies
            .iter()
            .map(|below| deepest(below).map_or(1, |depth| depth + 1))
            .collect();
    }
    depths.iter().all(|depth| *depth <= MAX_CHAIN_DEPTH)
}

fn check_known(
    services: &BTreeMap<ServiceName, ServiceContract>,
    spans: &DependencySpans,
    faults: &mut FaultList<'_>,
) {
    for (service, dependencies) in spans {
        for (dependency, span) in dependencies {
            if services.contains_key(dependency) {
                continue;
            }
            let fault = FaultKind::UnknownService {
                service: service.to_string(),
                dependency: dependency.to_string(),
            };
            faults.push(fault, span.clone());
        }
    }
}

/// Reports the deepest chain of dependencies if it is too deep.
fn check_depth(
    services: &BTreeMap<ServiceName, ServiceContract>,
    order: &DependencyOrder,
    spans: &DependencySpans,
    faults: &mut FaultList<'_>,
) {
    let mut chains: BTreeMap<&ServiceName, ChainStep<'_>> = BTreeMap::new();
    for service in &order.services {
        let dependencies = services[service].depends_on.iter();
        let depths = dependencies.filter_map(|name| Some((chains.get(name)?.depth, name)));
        let deepest = depths.max_by_key(|(depth, _)| *depth);
        let step = ChainStep {
            depth: deepest.map_or(1, |(depth, _)| depth + 1),
            next: deepest.map(|(_, name)| name),
        };
        chains.insert(service, step);
    }
    let Some((service, step)) = chains.iter().max_by_key(|(_, step)| step.depth) else {
        return;
    };
    if step.depth <= MAX_CHAIN_DEPTH {
        return;
    }
    let fault = FaultKind::ChainTooDeep {
        path: chain_path(service, &chains),
        depth: step.depth,
    };
    let span = step.next.map_or(0..0, |next| spans[*service][next].clone());
    faults.push(fault, span);
}

/// The depth of the deepest chain that starts at a service, and the next service of that chain.
struct ChainStep<'c> {
    depth: usize,
    next: Option<&'c ServiceName>,
}

/// Formats the start of a chain, up to the first service beyond the maximum depth.
fn chain_path(start: &ServiceName, chains: &BTreeMap<&ServiceName, ChainStep<'_>>) -> String {
    let next = |service: &&ServiceName| chains.get(*service).and_then(|step| step.next);
    let services = std::iter::successors(Some(start), next);
    let names: Vec<&str> = services
        .take(MAX_CHAIN_DEPTH + 1)
        .map(ServiceName::as_str)
        .collect();
    names.join(" -> ")
}
