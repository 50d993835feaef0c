use std::collections::BTreeMap;

use clock::ClockTime;
use model::ShedClass;

use crate::WindowSettings;
use crate::entry_window::EntryWindow;

/// Limits the requests in flight that entered at a node, by class and kind.
///
/// When a service deep in the chain cannot run what all entries admit, its state reaches the entry
/// only after a whole request has passed. A limit on requests in flight does not depend on such
/// reports: when the chain slows down, it admits fewer requests at once.
///
/// When the mean latency of a class is too high, the window that shrinks is that of the least
/// important class that shares a service with it and can still shrink, whatever the latency of its
/// own requests. Meanwhile the windows of such lower classes do not widen. So a class closes only
/// after all classes below it, even if its own requests have less time.
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
/// assert!(!windows.enter(&look_up), "the lower class is shed first");
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

    /// Admits and counts a request, unless the window of its class and kind is full.
    pub fn enter(&mut self, key: &(ShedClass, K)) -> bool {
        let settings = self.settings;
        let window = self
            .windows
            .entry(key.clone())
            .or_insert_with(|| EntryWindow::new(settings, rank_of(key.0)));
        window.enter()
    }

    /// Removes a request that was allowed to take `allowed_ms` milliseconds from the count.
    /// `latency_ms` is its latency, or `None` where it does not reflect the load of the chain.
    ///
    /// `shares_service` returns whether requests of a kind use a service that this request uses
    /// too.
    pub fn leave(
        &mut self,
        now: ClockTime,
        key: &(ShedClass, K),
        latency_ms: Option<u64>,
        allowed_ms: u64,
        shares_service: impl Fn(&K) -> bool,
    ) {
        let Some(window) = self.windows.get_mut(key) else {
            return;
        };
        let excess =
            latency_ms.map(|latency_ms| window.record_latency(now, latency_ms, allowed_ms));
        match excess {
            Some(excess) if excess > 0.0 => self.shrink_lowest(key, excess, shares_service),
            Some(excess) => self.widen(now, key, -excess, shares_service),
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

    /// Removes the kinds for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.windows.retain(|(_, kind), _| is_kept(kind));
    }

    fn shrink_lowest(
        &mut self,
        key: &(ShedClass, K),
        excess: f64,
        shares_service: impl Fn(&K) -> bool,
    ) {
        let lower = self.windows.iter_mut();
        let lower = lower.take_while(|((class, _), _)| *class < key.0);
        let mut shrinkable =
            lower.filter(|((_, kind), window)| shares_service(kind) && window.can_shrink());
        if let Some((_, window)) = shrinkable.next() {
            window.shrink(excess);
        } else if let Some(window) = self.windows.get_mut(key) {
            window.shrink(excess);
        }
    }

    fn widen(
        &mut self,
        now: ClockTime,
        key: &(ShedClass, K),
        slack: f64,
        shares_service: impl Fn(&K) -> bool,
    ) {
        let higher = self.windows.iter().rev();
        let is_blocked = higher
            .take_while(|((class, _), _)| *class > key.0)
            .any(|((_, kind), window)| shares_service(kind) && window.is_late(now));
        if let Some(window) = self.windows.get_mut(key).filter(|_| !is_blocked) {
            window.widen(slack);
        }
    }
}

/// Returns the rank of a class in the shedding order, from 0 for the one that is shed first to 1.
#[expect(clippy::cast_precision_loss, reason = "there are few classes")]
fn rank_of(class: ShedClass) -> f64 {
    class.index() as f64 / (ShedClass::COUNT - 1) as f64
}
