use std::collections::{BTreeMap, BTreeSet};

use contract::{DependencyOrder, FleetContract};
use model::ServiceName;

use crate::CriticalPath;

/// The services of a contract and the services that each depends on.
///
/// # Examples
///
/// ```
/// use contract::FleetContract;
/// use lentilshift_graph::DependencyGraph;
///
/// let text = "[services.archive]\n[services.registry]\ndepends_on = [\"archive\"]";
/// let contract = FleetContract::parse("fleet.toml", text)?;
/// let graph = DependencyGraph::new(&contract);
/// assert_eq!(graph.max_depth(), 2);
/// assert_eq!(graph.services()[0].as_str(), "archive");
/// # Ok::<(), contract::ContractError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyGraph {
    order: Vec<ServiceName>,
    nodes: BTreeMap<ServiceName, GraphNode>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct GraphNode {
    depends_on: Vec<ServiceName>,
    depth: usize,
}

impl DependencyGraph {
    /// Creates the graph of a contract.
    ///
    /// A parsed contract has no cycle. In a contract built in code, the services of a cycle are
    /// left out.
    #[must_use]
    pub fn new(contract: &FleetContract) -> Self {
        let order = DependencyOrder::of(&contract.services).services;
        let mut nodes: BTreeMap<ServiceName, GraphNode> = BTreeMap::new();
        for service in &order {
            let below = contract.services[service].depends_on.iter();
            let below = below.filter(|name| nodes.contains_key(*name));
            let depends_on: Vec<_> = below.cloned().collect();
            let deepest = depends_on.iter().map(|name| nodes[name].depth).max();
            let depth = deepest.unwrap_or(0) + 1;
            nodes.insert(service.clone(), GraphNode { depends_on, depth });
        }
        Self { order, nodes }
    }

    /// Returns the services in dependency order: each after all that it depends on.
    #[must_use]
    pub fn services(&self) -> &[ServiceName] {
        &self.order
    }

    /// Returns the services that a service calls directly.
    #[must_use]
    pub fn depends_on(&self, service: &str) -> &[ServiceName] {
        let node = self.nodes.get(service);
        node.map_or(&[], |node| node.depends_on.as_slice())
    }

    /// Returns the number of services on the longest chain from a service, itself included.
    #[must_use]
    pub fn depth_of(&self, service: &str) -> Option<usize> {
        self.nodes.get(service).map(|node| node.depth)
    }

    /// Returns the number of services on the longest chain of the graph.
    #[must_use]
    pub fn max_depth(&self) -> usize {
        let depths = self.nodes.values().map(|node| node.depth);
        depths.max().unwrap_or(0)
    }

    /// Returns all direct and indirect dependencies of a service.
    #[must_use]
    pub fn reachable_below(&self, service: &str) -> BTreeSet<&ServiceName> {
        let mut reachable = BTreeSet::new();
        let mut open: Vec<_> = self.depends_on(service).iter().collect();
        while let Some(below) = open.pop() {
            if reachable.insert(below) {
                open.extend(self.depends_on(below.as_str()));
            }
        }
        reachable
    }

    /// Returns the chain of dependencies below a service that takes the longest, including the
    /// service.
    ///
    /// `own_time_ms` returns the time that a service takes without its dependencies.
    #[must_use]
    pub fn critical_path(
        &self,
        service: &str,
        own_time_ms: impl Fn(&ServiceName) -> u64,
    ) -> Option<CriticalPath> {
        let start = self.nodes.get_key_value(service)?.0;
        let within = self.reachable_below(service);
        let mut times: BTreeMap<&ServiceName, u64> = BTreeMap::new();
        let is_within = |name: &&ServiceName| *name == start || within.contains(*name);
        for name in self.order.iter().filter(is_within) {
            let below = self.slowest_below(name, &times);
            let below_ms = below.map_or(0, |below| times[below]);
            times.insert(name, own_time_ms(name).saturating_add(below_ms));
        }
        let next = |name: &&ServiceName| self.slowest_below(name, &times);
        let services = std::iter::successors(Some(start), next);
        Some(CriticalPath {
            services: services.cloned().collect(),
            time_ms: times[start],
        })
    }

    fn slowest_below(
        &self,
        service: &ServiceName,
        times: &BTreeMap<&ServiceName, u64>,
    ) -> Option<&ServiceName> {
        let below = self.depends_on(service.as_str()).iter();
        below.max_by_key(|name| times.get(name))
    }
}
