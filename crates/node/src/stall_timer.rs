use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;

/// Detects when a transfer has waited too long for its next byte.
pub(crate) struct StallTimer {
    limit: Duration,
    wait_start: Rc<Cell<Option<Instant>>>,
    watch: Option<JoinHandle<()>>,
}

impl StallTimer {
    pub(crate) fn new(limit_ms: u64) -> Self {
        Self {
            limit: Duration::from_millis(limit_ms),
            wait_start: Rc::default(),
            watch: None,
        }
    }

    /// Records that bytes were transferred.
    pub(crate) fn record_progress(&mut self) {
        self.wait_start.set(None);
    }

    /// Records that the transfer is waiting; ready once it has waited too long.
    pub(crate) fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.wait_start.get().is_none() {
            self.wait_start.set(Some(Instant::now()));
        }
        let watch = self
            .watch
            .get_or_insert_with(|| spawn(wait_for_stall(Rc::clone(&self.wait_start), self.limit)));
        Pin::new(watch).poll(context).map(drop)
    }
}

/// Completes when a wait has lasted as long as the limit.
async fn wait_for_stall(wait_start: Rc<Cell<Option<Instant>>>, limit: Duration) {
    loop {
        let waited = wait_start.get().map(|since| since.elapsed());
        let left = limit.saturating_sub(waited.unwrap_or_default());
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}
