use std::collections::{BTreeMap, BTreeSet};

use model::TeamName;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, RecordOutcome};

/// The keys granted and withdrawn so far.
///
/// Withdrawal is permanent: neither a retried append of the grant nor a grant from a node with
/// stale state restores the key. A team that needs access again gets a new key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyFold {
    granted: BTreeMap<KeyDigest, TeamName>,
    withdrawn: BTreeSet<KeyDigest>,
}

impl KeyFold {
    /// Returns the team that a key belongs to, or `None` when the key is unknown or withdrawn.
    #[must_use]
    pub fn team(&self, digest: &KeyDigest) -> Option<&TeamName> {
        self.granted.get(digest)
    }

    /// Returns whether a key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// Returns the number of keys in force.
    #[must_use]
    pub fn granted_count(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of withdrawn keys.
    #[must_use]
    pub fn withdrawn_count(&self) -> usize {
        self.withdrawn.len()
    }

    /// Creates the keys of a stream whose records list all keys in force.
    #[must_use]
    pub fn of_granted(granted: &BTreeMap<KeyDigest, TeamName>) -> Self {
        Self {
            granted: granted.clone(),
            withdrawn: BTreeSet::new(),
        }
    }

    /// Grants a key to a team, unless it was withdrawn or belongs to another team.
    pub fn grant(&mut self, digest: KeyDigest, team: &TeamName) -> RecordOutcome {
        if self.is_withdrawn(&digest) {
            return RecordOutcome::KeyWithdrawnBefore;
        }
        let owner = self.granted.entry(digest).or_insert_with(|| team.clone());
        if owner == team {
            RecordOutcome::KeyGranted
        } else {
            RecordOutcome::KeyTaken {
                team: owner.clone(),
            }
        }
    }

    /// Withdraws a key permanently, even one that was never granted.
    pub fn withdraw(&mut self, digest: KeyDigest) -> RecordOutcome {
        self.granted.remove(&digest);
        self.withdrawn.insert(digest);
        RecordOutcome::KeyWithdrawn
    }

    /// Merges the withdrawals known to another fold of the same stream.
    pub fn merge_withdrawn(&mut self, other: &Self) {
        for digest in &other.withdrawn {
            self.withdraw(*digest);
        }
    }

    /// Merges a later fold of the same stream; no grant or withdrawal is reverted.
    pub fn merge(&mut self, other: &Self) {
        self.merge_withdrawn(other);
        for (digest, team) in &other.granted {
            self.grant(*digest, team);
        }
    }
}
