use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;

/// Tells when a transfer has waited too long for its next byte.
pub(crate) struct StallTimer {
    limit: Duration,
    waits_since: Rc<Cell<Option<Instant>>>,
    watch: Option<JoinHandle<()>>,
}

impl StallTimer {
    pub(crate) fn new(limit_ms: u64) -> Self {
        Self {
            limit: Duration::from_millis(limit_ms),
            waits_since: Rc::default(),
            watch: None,
        }
    }

    /// Notes that bytes went on.
    pub(crate) fn record_progress(&mut self) {
        self.waits_since.set(None);
    }

    /// Notes that the transfer waits, and is ready once it has waited too long.
    pub(crate) fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.waits_since.get().is_none() {
            self.waits_since.set(Some(Instant::now()));
        }
        let watch = self
            .watch
            .get_or_insert_with(|| spawn(wait_for_stall(Rc::clone(&self.waits_since), self.limit)));
        Pin::new(watch).poll(context).map(drop)
    }
}

/// Returns when one wait lasts longer than the limit.
async fn wait_for_stall(waits_since: Rc<Cell<Option<Instant>>>, limit: Duration) {
    loop {
        let waited = waits_since.get().map(|since| since.elapsed());
        let left = limit.saturating_sub(waited.unwrap_or_default());
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}
