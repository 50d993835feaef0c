//! The order of services and their cycles, compared with a naive search on random graphs.

use std::collections::{BTreeMap, BTreeSet};

use lentilshift_contract::{DependencyCycle, DependencyOrder, ServiceContract};
use model::ServiceName;
use proptest::prelude::*;

type Services = BTreeMap<ServiceName, ServiceContract>;

fn services(count: usize, edges: &[(usize, usize)]) -> Services {
    let name = |index: usize| ServiceName::new(format!("s{index}"));
    let mut services: Services = (0..count)
        .map(|index| (name(index), ServiceContract::default()))
        .collect();
    for (from, to) in edges {
        let service = services
            .get_mut(&name(from % count))
            .expect("the service is listed");
        service.depends_on.insert(name(to % count));
    }
    services
}

/// Returns whether `from` depends on `to`, directly or indirectly, by depth-first search.
fn reaches(services: &Services, from: &ServiceName, to: &ServiceName) -> bool {
    let mut seen = BTreeSet::new();
    let mut open = vec![from];
    while let Some(service) = open.pop() {
        for dependency in &services[service].depends_on {
            if dependency == to {
                return true;
            }
            if seen.insert(dependency) {
                open.push(dependency);
            }
        }
    }
    false
}

proptest! {
    #[test]
    fn order_and_cycles_agree_with_a_naive_search(
        count in 1_usize..12,
        edges in prop::collection::vec((0_usize..12, 0_usize..12), 0..24),
    ) {
        let services = services(count, &edges);
        let order = DependencyOrder::of(&services);
        let has_cycle = services.keys().any(|service| reaches(&services, service, service));
        prop_assert_eq!(has_cycle, !order.cycles.is_empty());
        for cycle in &order.cycles {
            let names = cycle.services();
            for (service, next) in names.iter().zip(names.iter().cycle().skip(1)) {
                prop_assert!(services[service].depends_on.contains(next));
            }
        }
        let in_cycles: usize = order.cycles.iter().map(|cycle| cycle.services().len()).sum();
        let all: BTreeSet<_> = order.services.iter()
            .chain(order.cycles.iter().flat_map(DependencyCycle::services)).collect();
        prop_assert_eq!(all.len(), count);
        prop_assert_eq!(order.services.len() + in_cycles, count);
        for (position, service) in order.services.iter().enumerate() {
            for dependency in &services[service].depends_on {
                let later = order.services[position..].contains(dependency);
                prop_assert!(!later, "{} comes before its dependency {}", service, dependency);
            }
        }
    }
}
