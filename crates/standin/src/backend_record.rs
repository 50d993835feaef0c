use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The maximum number of recorded requests.
const MAX_ENTRIES: usize = 100_000;

/// One request that a backend server started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEntry {
    /// The value of the `x-trace` header, by which a test identifies its requests.
    pub trace: String,
    /// The head of the request as it arrived: method, path and headers.
    pub head: String,
    /// Whether the run completed.
    pub is_finished: bool,
}

/// The requests that a backend server has run.
#[derive(Debug, Default)]
pub struct BackendRecord {
    entries: RefCell<Vec<RunEntry>>,
    running: Cell<usize>,
    max_running: Cell<usize>,
    trailers: Cell<usize>,
}

impl BackendRecord {
    /// Returns all requests that were started, in the order of their starts.
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        self.entries.borrow().clone()
    }

    /// Returns the number of runs for each value of the `x-trace` header.
    #[must_use]
    pub fn runs_by_trace(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for entry in self.entries.borrow().iter() {
            *runs.entry(entry.trace.clone()).or_default() += 1;
        }
        runs
    }

    /// Returns the number of requests that are running.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns the maximum number of requests that ran concurrently.
    #[must_use]
    pub const fn max_running(&self) -> usize {
        self.max_running.get()
    }

    /// Returns the number of requests that came with trailers.
    #[must_use]
    pub const fn trailers(&self) -> usize {
        self.trailers.get()
    }

    pub(crate) fn record_trailers(&self) {
        self.trailers.set(self.trailers.get() + 1);
    }

    pub(crate) fn start(&self, trace: String, head: String) -> RunGuard<'_> {
        let mut entries = self.entries.borrow_mut();
        self.running.set(self.running.get() + 1);
        self.max_running
            .set(self.max_running.get().max(self.running.get()));
        if entries.len() < MAX_ENTRIES {
            entries.push(RunEntry {
                trace,
                head,
                is_finished: false,
            });
        }
        RunGuard {
            record: self,
            index: entries.len() - 1,
        }
    }
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunGuard<'r> {
    record: &'r BackendRecord,
    index: usize,
}

impl RunGuard<'_> {
    pub(crate) fn finish(&self) {
        if let Some(entry) = self.record.entries.borrow_mut().get_mut(self.index) {
            entry.is_finished = true;
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.record.running.set(self.record.running.get() - 1);
    }
}
