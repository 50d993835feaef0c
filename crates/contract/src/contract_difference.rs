use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::FleetContract;

/// How an entry differs between two contracts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// Only the new contract has it.
    Added,
    /// Only the old contract has it.
    Removed,
    /// Its terms differ; each item names a field with its old and new value.
    Changed(Vec<String>),
}

/// An entry that differs between two contracts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractDifference {
    /// The entry, such as `team "clubs"`.
    pub entry: String,
    /// How it differs.
    pub change: EntryChange,
}

impl fmt::Display for ContractDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match &self.change {
            EntryChange::Added => write!(formatter, "added {entry}"),
            EntryChange::Removed => write!(formatter, "removed {entry}"),
            EntryChange::Changed(fields) => {
                write!(formatter, "changed {entry}: {}", fields.join(", "))
            }
        }
    }
}

/// Returns the entries that differ between two contracts, in the order of the contract text.
#[must_use]
pub fn compare_contracts(old: &FleetContract, new: &FleetContract) -> Vec<ContractDifference> {
    let mut differences = Vec::new();
    for (name, service) in &old.services {
        if let Some(other) = new.services.get(name) {
            compare_entries(
                &service.calls,
                &other.calls,
                |call| format!("call \"{call}\" of service \"{name}\""),
                &mut differences,
            );
        }
    }
    compare_entries(
        &without_calls(old),
        &without_calls(new),
        |name| format!("service \"{name}\""),
        &mut differences,
    );
    compare_entries(
        &old.teams,
        &new.teams,
        |name| format!("team \"{name}\""),
        &mut differences,
    );
    compare_entries(
        &old.routes,
        &new.routes,
        |name| format!("route \"{name}\""),
        &mut differences,
    );
    differences
}

/// Returns the services of a contract with their dependencies alone.
fn without_calls(contract: &FleetContract) -> BTreeMap<String, BTreeMap<&str, Vec<String>>> {
    let services = contract.services.iter();
    services
        .map(|(name, service)| {
            let dependencies = service.depends_on.iter().map(ToString::to_string);
            let fields = BTreeMap::from([("depends_on", dependencies.collect())]);
            (name.to_string(), fields)
        })
        .collect()
}

fn compare_entries<K, V>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    label: impl Fn(&K) -> String,
    differences: &mut Vec<ContractDifference>,
) where
    K: Ord + fmt::Display,
    V: Serialize + PartialEq,
{
    let mut push = |name: &K, change| {
        let entry = label(name);
        differences.push(ContractDifference { entry, change });
    };
    for (name, terms) in old {
        match new.get(name) {
            None => push(name, EntryChange::Removed),
            Some(other) if other != terms => {
                push(name, EntryChange::Changed(changed_fields(terms, other)));
            }
            Some(_) => {}
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        push(name, EntryChange::Added);
    }
}

/// Returns the fields that differ between two entries, with their values.
fn changed_fields(old: &impl Serialize, new: &impl Serialize) -> Vec<String> {
    let (old, new) = (field_values(old), field_values(new));
    let names = old
        .keys()
        .chain(new.keys().filter(|name| !old.contains_key(*name)));
    let shown =
        |value: Option<&toml::Value>| value.map_or_else(|| "unset".into(), ToString::to_string);
    names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| {
            format!(
                "{name} {} -> {}",
                shown(old.get(name)),
                shown(new.get(name))
            )
        })
        .collect()
}

fn field_values(entry: &impl Serialize) -> BTreeMap<String, toml::Value> {
    match toml::Value::try_from(entry) {
        Ok(toml::Value::Table(table)) => table.into_iter().collect(),
        _ => BTreeMap::new(),
    }
}
