use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;

use crate::ResendSettings;

/// A bounded map from digests of idempotency keys to values, which evicts the least recently used
/// key first.
#[derive(Debug)]
pub(crate) struct RecentKeys<T> {
    retention_ms: u64,
    max_keys: usize,
    keys: BTreeMap<u128, RecentKey<T>>,
    by_age: BTreeSet<(ClockTime, u128)>,
}

#[derive(Debug)]
struct RecentKey<T> {
    value: T,
    last: ClockTime,
}

impl<T> RecentKeys<T> {
    pub(crate) const fn new(settings: &ResendSettings) -> Self {
        Self {
            retention_ms: settings.retention_ms,
            max_keys: settings.max_keys,
            keys: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the value of a key, without marking the key as used.
    pub(crate) fn get_mut(&mut self, key: u128) -> Option<&mut T> {
        self.keys.get_mut(&key).map(|recent| &mut recent.value)
    }

    /// Drops expired keys, marks a key as used and returns its value.
    pub(crate) fn touch(&mut self, now: ClockTime, key: u128) -> Option<&mut T> {
        self.expire(now);
        let recent = self.keys.get_mut(&key)?;
        self.by_age.remove(&(recent.last, key));
        self.by_age.insert((now, key));
        recent.last = now;
        Some(&mut recent.value)
    }

    /// Inserts a new key, and evicts the least recently used one when there are too many.
    pub(crate) fn insert(&mut self, now: ClockTime, key: u128, value: T) {
        self.keys.insert(key, RecentKey { value, last: now });
        self.by_age.insert((now, key));
        if self.keys.len() > self.max_keys {
            self.evict_oldest();
        }
    }

    fn expire(&mut self, now: ClockTime) {
        let retention_ms = self.retention_ms;
        let is_old = |time: ClockTime| now.since_ms(time) >= retention_ms;
        while self.by_age.first().is_some_and(|(time, _)| is_old(*time)) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.keys.remove(&key);
        }
    }
}
