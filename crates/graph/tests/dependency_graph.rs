//! Depth, reachability and critical paths, compared with a simple recursion on random graphs.

use std::collections::BTreeSet;

use contract::{FleetContract, ServiceContract};
use lentilshift_graph::DependencyGraph;
use model::ServiceName;
use proptest::prelude::*;

const SERVICES: usize = 9;

fn name(index: usize) -> ServiceName {
    ServiceName::new(format!("s{index}"))
}

/// Builds a contract in which each service depends only on services of a lower number.
fn fleet(edges: &[(usize, usize)]) -> FleetContract {
    let mut fleet = FleetContract::default();
    for index in 0..SERVICES {
        fleet
            .services
            .insert(name(index), ServiceContract::default());
    }
    for (one, other) in edges.iter().filter(|(one, other)| one != other) {
        let (low, high) = (one.min(other), one.max(other));
        let service = fleet
            .services
            .get_mut(&name(*high))
            .expect("the service exists");
        service.depends_on.insert(name(*low));
    }
    fleet
}

fn naive_reachable(fleet: &FleetContract, service: &ServiceName) -> BTreeSet<ServiceName> {
    let below = &fleet.services[service].depends_on;
    let deeper = below.iter().flat_map(|name| naive_reachable(fleet, name));
    below.iter().cloned().chain(deeper).collect()
}

fn naive_longest(fleet: &FleetContract, service: &ServiceName, times: &[u64]) -> u64 {
    let index: usize = service.as_str()[1..].parse().expect("a number");
    let below = fleet.services[service].depends_on.iter();
    let longest = below.map(|name| naive_longest(fleet, name, times)).max();
    times[index] + longest.unwrap_or(0)
}

proptest! {
    #[test]
    fn graph_agrees_with_naive_recursion(
        edges in prop::collection::vec((0..SERVICES, 0..SERVICES), 0..24),
        times in prop::collection::vec(0_u64..50, SERVICES),
    ) {
        let fleet = fleet(&edges);
        let graph = DependencyGraph::new(&fleet);
        let own_time = |service: &ServiceName| times[service.as_str()[1..].parse::<usize>().unwrap()];
        for service in fleet.services.keys() {
            let reachable: BTreeSet<_> = graph.reachable_below(service.as_str()).into_iter().cloned().collect();
            prop_assert_eq!(reachable, naive_reachable(&fleet, service));
            let depth = graph.depth_of(service.as_str()).unwrap() as u64;
            prop_assert_eq!(depth, naive_longest(&fleet, service, &[1; SERVICES]));
            let path = graph.critical_path(service.as_str(), own_time).unwrap();
            prop_assert_eq!(path.time_ms, naive_longest(&fleet, service, &times));
            prop_assert_eq!(path.time_ms, path.services.iter().map(own_time).sum::<u64>());
            for pair in path.services.windows(2) {
                prop_assert!(graph.depends_on(pair[0].as_str()).contains(&pair[1]));
            }
        }
    }
}

#[test]
fn depth_of_a_chain_is_its_length() {
    let edges: Vec<_> = (1..SERVICES).map(|index| (index - 1, index)).collect();
    let graph = DependencyGraph::new(&fleet(&edges));
    assert_eq!(graph.max_depth(), SERVICES);
    assert_eq!(graph.services().len(), SERVICES);
    assert_eq!(graph.depth_of("unknown"), None);
}

#[test]
fn services_of_a_cycle_built_in_code_are_left_out() {
    let mut fleet = fleet(&[(0, 1)]);
    fleet
        .services
        .get_mut("s0")
        .unwrap()
        .depends_on
        .insert(name(1));
    let graph = DependencyGraph::new(&fleet);
    assert_eq!(graph.services().len(), SERVICES - 2);
    assert!(graph.reachable_below("s1").is_empty());
}
