use std::collections::BTreeMap;

use clock::ClockTime;
use model::ShedClass;

use crate::WindowSettings;
use crate::entry_window::EntryWindow;

/// Bounds the requests in flight that entered at a node, by class and kind.
///
/// Load pattern: a service deep in the chain has too little room for what all entries let in, and
/// what is known of it at the entry is as old as a whole request. A bound on requests in flight
/// needs no news: when the chain slows down, fewer enter at once.
///
/// When requests of a class take too long on the mean, the window of the least important class
/// that shares a service with them and has room to give shrinks, whatever time its own requests
/// may take, and none of these widens meanwhile. So a class closes only after all below it, also
/// where its requests have less time.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_limit::{EntryWindows, WindowSettings};
/// use model::{CallImportance, ShedClass};
///
/// let mut windows = EntryWindows::new(WindowSettings::default());
/// let look_up = (ShedClass::from(CallImportance::Normal), "look-up");
/// let filing = (ShedClass::from(CallImportance::Critical), "filing");
/// for key in [look_up, look_up, filing] {
///     assert!(windows.enter(&key));
/// }
/// windows.leave(ClockTime::ZERO, &filing, Some(950), 1_000, |_| true);
/// assert!(windows.enter(&filing));
/// assert!(!windows.enter(&look_up), "the lesser class gives way");
/// ```
#[derive(Clone, Debug)]
pub struct EntryWindows<K> {
    settings: WindowSettings,
    windows: BTreeMap<(ShedClass, K), EntryWindow>,
}

impl<K: Ord + Clone> EntryWindows<K> {
    /// Creates windows that are all open.
    #[must_use]
    pub const fn new(settings: WindowSettings) -> Self {
        Self {
            settings,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request in, unless the window of its class and kind is full.
    pub fn enter(&mut self, key: &(ShedClass, K)) -> bool {
        let settings = self.settings;
        let window = self
            .windows
            .entry(key.clone())
            .or_insert_with(|| EntryWindow::new(settings, place_of(key.0)));
        window.enter()
    }

    /// Counts a request out that was allowed to take `allowed_ms` milliseconds, with its latency in
    /// milliseconds where that says how loaded the chain is.
    ///
    /// `shares` says which kinds pass a service that this one passes too.
    pub fn leave(
        &mut self,
        now: ClockTime,
        key: &(ShedClass, K),
        latency_ms: Option<u64>,
        allowed_ms: u64,
        shares: impl Fn(&K) -> bool,
    ) {
        let Some(window) = self.windows.get_mut(key) else {
            return;
        };
        let excess = latency_ms.map(|latency_ms| window.note_latency(now, latency_ms, allowed_ms));
        match excess {
            Some(excess) if excess > 0.0 => self.shrink_least(key, excess, shares),
            Some(excess) => self.widen(now, key, -excess, shares),
            None => {}
        }
        if let Some(window) = self.windows.get_mut(key) {
            window.leave();
        }
    }

    /// Returns the requests of a class and kind that may be in flight, or `None` while its window
    /// is open.
    #[must_use]
    pub fn limit(&self, key: &(ShedClass, K)) -> Option<f64> {
        self.windows.get(key)?.limit()
    }

    /// Forgets the kinds for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.windows.retain(|(_, kind), _| is_kept(kind));
    }

    fn shrink_least(&mut self, key: &(ShedClass, K), excess: f64, shares: impl Fn(&K) -> bool) {
        let lesser = self.windows.iter_mut();
        let lesser = lesser.take_while(|((class, _), _)| *class < key.0);
        let mut giving = lesser.filter(|((_, kind), window)| shares(kind) && window.can_shrink());
        if let Some((_, window)) = giving.next() {
            window.shrink(excess);
        } else if let Some(window) = self.windows.get_mut(key) {
            window.shrink(excess);
        }
    }

    fn widen(
        &mut self,
        now: ClockTime,
        key: &(ShedClass, K),
        room: f64,
        shares: impl Fn(&K) -> bool,
    ) {
        let greater = self.windows.iter().rev();
        let is_held = greater
            .take_while(|((class, _), _)| *class > key.0)
            .any(|((_, kind), window)| shares(kind) && window.is_late(now));
        if let Some(window) = self.windows.get_mut(key).filter(|_| !is_held) {
            window.widen(room);
        }
    }
}

/// Returns the place of a class in the shedding order, from 0 for the one that is shed first to 1.
#[expect(clippy::cast_precision_loss, reason = "there are few classes")]
fn place_of(class: ShedClass) -> f64 {
    class.index() as f64 / (ShedClass::COUNT - 1) as f64
}
