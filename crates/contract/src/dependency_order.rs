use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use model::ServiceName;

use crate::ServiceContract;

/// The services in an order in which each comes after all that it depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyOrder {
    /// The ordered services; those on a cycle are left out.
    pub services: Vec<ServiceName>,
    /// The cycles, which share no service.
    pub cycles: Vec<DependencyCycle>,
}

impl DependencyOrder {
    /// Orders the services of a contract; dependencies that aren't in it are passed over.
    #[must_use]
    pub fn of(contracts: &BTreeMap<ServiceName, ServiceContract>) -> Self {
        let mut order = Self::default();
        let mut waiting = WaitingServices::new(contracts);
        while !waiting.is_done() {
            while let Some(service) = waiting.take_ready() {
                order.services.push(service.clone());
            }
            order.cycles.extend(waiting.take_cycle());
        }
        order
    }
}

/// Services that depend on each other in a ring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DependencyCycle(Vec<ServiceName>);

impl DependencyCycle {
    /// Returns the services, each depending on the next and the last on the first.
    #[must_use]
    pub fn services(&self) -> &[ServiceName] {
        &self.0
    }
}

impl fmt::Display for DependencyCycle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for service in &self.0 {
            write!(formatter, "{service} -> ")?;
        }
        self.0
            .iter()
            .take(1)
            .try_for_each(|first| first.fmt(formatter))
    }
}

/// The services that aren't ordered yet, with the dependencies that each still waits for.
struct WaitingServices<'c> {
    waits: BTreeMap<&'c ServiceName, BTreeSet<&'c ServiceName>>,
    dependents: BTreeMap<&'c ServiceName, Vec<&'c ServiceName>>,
    ready: BTreeSet<&'c ServiceName>,
}

impl<'c> WaitingServices<'c> {
    fn new(contracts: &'c BTreeMap<ServiceName, ServiceContract>) -> Self {
        let mut waits = BTreeMap::new();
        let mut dependents: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut ready = BTreeSet::new();
        for (service, contract) in contracts {
            let known = contract.depends_on.iter();
            let known: BTreeSet<_> = known.filter(|name| contracts.contains_key(*name)).collect();
            for dependency in &known {
                dependents.entry(*dependency).or_default().push(service);
            }
            if known.is_empty() {
                ready.insert(service);
            }
            waits.insert(service, known);
        }
        Self {
            waits,
            dependents,
            ready,
        }
    }

    fn is_done(&self) -> bool {
        self.waits.is_empty()
    }

    fn take_ready(&mut self) -> Option<&'c ServiceName> {
        let service = self.ready.pop_first()?;
        self.settle(service);
        Some(service)
    }

    /// Removes a service and frees those that waited for it.
    fn settle(&mut self, service: &'c ServiceName) {
        self.waits.remove(service);
        for dependent in self.dependents.remove(service).unwrap_or_default() {
            let Some(waits) = self.waits.get_mut(dependent) else {
                continue;
            };
            waits.remove(service);
            if waits.is_empty() {
                self.ready.insert(dependent);
            }
        }
    }

    /// Removes one cycle; called when no service is ready.
    fn take_cycle(&mut self) -> Option<DependencyCycle> {
        let cycle = self.walk_to_cycle()?;
        for service in &cycle {
            self.settle(service);
        }
        for service in &cycle {
            self.ready.remove(service);
        }
        Some(DependencyCycle(cycle.into_iter().cloned().collect()))
    }

    /// Follows unmet dependencies from any waiting service until one comes up again.
    fn walk_to_cycle(&self) -> Option<Vec<&'c ServiceName>> {
        let mut path = Vec::new();
        let mut places = BTreeMap::new();
        let mut service = *self.waits.keys().next()?;
        loop {
            if let Some(place) = places.insert(service, path.len()) {
                return Some(path.split_off(place));
            }
            path.push(service);
            service = self.waits.get(service)?.first()?;
        }
    }
}
