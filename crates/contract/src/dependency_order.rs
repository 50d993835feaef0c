use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use model::ServiceName;

use crate::ServiceContract;

/// A topological order of services, in which each service comes after its dependencies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependencyOrder {
    /// The ordered services, without those of a cycle.
    pub services: Vec<ServiceName>,
    /// The cycles; no service is in more than one.
    pub cycles: Vec<DependencyCycle>,
}

impl DependencyOrder {
    /// Orders the services of a contract, ignoring dependencies that it doesn't list.
    #[must_use]
    pub fn of(contracts: &BTreeMap<ServiceName, ServiceContract>) -> Self {
        let mut order = Self::default();
        let mut unordered = UnorderedServices::new(contracts);
        while !unordered.is_empty() {
            while let Some(service) = unordered.take_ready() {
                order.services.push(service.clone());
            }
            order.cycles.extend(unordered.take_cycle());
        }
        order
    }
}

/// A cycle of services that depend on each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DependencyCycle(Vec<ServiceName>);

impl DependencyCycle {
    /// Returns the services of the cycle, each followed by one that it depends on; the last depends
    /// on the first.
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

/// The services that aren't ordered yet, with their unmet dependencies.
struct UnorderedServices<'c> {
    unmet: BTreeMap<&'c ServiceName, BTreeSet<&'c ServiceName>>,
    dependents: BTreeMap<&'c ServiceName, Vec<&'c ServiceName>>,
    ready: BTreeSet<&'c ServiceName>,
}

impl<'c> UnorderedServices<'c> {
    fn new(contracts: &'c BTreeMap<ServiceName, ServiceContract>) -> Self {
        let mut unmet = BTreeMap::new();
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
            unmet.insert(service, known);
        }
        Self {
            unmet,
            dependents,
            ready,
        }
    }

    fn is_empty(&self) -> bool {
        self.unmet.is_empty()
    }

    fn take_ready(&mut self) -> Option<&'c ServiceName> {
        let service = self.ready.pop_first()?;
        self.remove(service);
        Some(service)
    }

    /// Removes a service; dependents without other unmet dependencies become ready.
    fn remove(&mut self, service: &'c ServiceName) {
        self.unmet.remove(service);
        for dependent in self.dependents.remove(service).unwrap_or_default() {
            let Some(unmet) = self.unmet.get_mut(dependent) else {
                continue;
            };
            unmet.remove(service);
            if unmet.is_empty() {
                self.ready.insert(dependent);
            }
        }
    }

    /// Removes one cycle; called when no service is ready.
    fn take_cycle(&mut self) -> Option<DependencyCycle> {
        let cycle = self.find_cycle()?;
        for service in &cycle {
            self.remove(service);
        }
        for service in &cycle {
            self.ready.remove(service);
        }
        Some(DependencyCycle(cycle.into_iter().cloned().collect()))
    }

    /// Follows unmet dependencies from any unordered service until a service recurs.
    fn find_cycle(&self) -> Option<Vec<&'c ServiceName>> {
        let mut path = Vec::new();
        let mut positions = BTreeMap::new();
        let mut service = *self.unmet.keys().next()?;
        loop {
            if let Some(position) = positions.insert(service, path.len()) {
                return Some(path.split_off(position));
            }
            path.push(service);
            service = self.unmet.get(service)?.first()?;
        }
    }
}
