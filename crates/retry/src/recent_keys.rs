use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;

use crate::ResendSettings;

/// What is remembered under digests of idempotency keys; those unused for longest go first.
#[derive(Debug)]
pub(crate) struct RecentKeys<T> {
    remember_ms: u64,
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
            remember_ms: settings.remember_ms,
            max_keys: settings.max_keys,
            keys: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns what is remembered under a key, without using it.
    pub(crate) fn get_mut(&mut self, key: u128) -> Option<&mut T> {
        self.keys.get_mut(&key).map(|recent| &mut recent.value)
    }

    /// Forgets what is old, and returns what is left under a key that is used now.
    pub(crate) fn touch(&mut self, now: ClockTime, key: u128) -> Option<&mut T> {
        self.forget(now);
        let recent = self.keys.get_mut(&key)?;
        self.by_age.remove(&(recent.last, key));
        self.by_age.insert((now, key));
        recent.last = now;
        Some(&mut recent.value)
    }

    /// Remembers a value under a new key, and forgets the oldest key when there are too many.
    pub(crate) fn insert(&mut self, now: ClockTime, key: u128, value: T) {
        self.keys.insert(key, RecentKey { value, last: now });
        self.by_age.insert((now, key));
        if self.keys.len() > self.max_keys {
            self.forget_oldest();
        }
    }

    fn forget(&mut self, now: ClockTime) {
        let remember_ms = self.remember_ms;
        let is_old = |time: ClockTime| now.since_ms(time) >= remember_ms;
        while self.by_age.first().is_some_and(|(time, _)| is_old(*time)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.keys.remove(&key);
        }
    }
}
