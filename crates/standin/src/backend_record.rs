use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The most heads of requests that are kept.
const MAX_HEADS: usize = 100_000;

/// One request that a backend server started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEntry {
    /// The value of the `x-trace` header, by which a test knows its request.
    pub trace: String,
    /// The head of the request as it arrived: method, path and headers.
    pub head: String,
    /// Whether the run came to its end.
    pub is_finished: bool,
}

/// What a backend server has run.
#[derive(Debug, Default)]
pub struct BackendRecord {
    entries: RefCell<Vec<RunEntry>>,
    running: Cell<usize>,
    most_running: Cell<usize>,
    trailers: Cell<usize>,
}

impl BackendRecord {
    /// Returns all requests that were started, in order.
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        self.entries.borrow().clone()
    }

    /// Returns how often each trace was started.
    #[must_use]
    pub fn runs_by_trace(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for entry in self.entries.borrow().iter() {
            *runs.entry(entry.trace.clone()).or_default() += 1;
        }
        runs
    }

    /// Returns the number of requests that run now.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns the most requests that ran at once.
    #[must_use]
    pub const fn most_running(&self) -> usize {
        self.most_running.get()
    }

    /// Returns the number of requests that came with trailers.
    #[must_use]
    pub const fn trailers(&self) -> usize {
        self.trailers.get()
    }

    pub(crate) fn note_trailers(&self) {
        self.trailers.set(self.trailers.get() + 1);
    }

    pub(crate) fn start(&self, trace: String, head: String) -> RunMark<'_> {
        let mut entries = self.entries.borrow_mut();
        self.running.set(self.running.get() + 1);
        self.most_running
            .set(self.most_running.get().max(self.running.get()));
        if entries.len() < MAX_HEADS {
            entries.push(RunEntry {
                trace,
                head,
                is_finished: false,
            });
        }
        RunMark {
            record: self,
            index: entries.len() - 1,
        }
    }
}

/// Marks a run as running until it is dropped.
pub(crate) struct RunMark<'r> {
    record: &'r BackendRecord,
    index: usize,
}

impl RunMark<'_> {
    pub(crate) fn finish(&self) {
        if let Some(entry) = self.record.entries.borrow_mut().get_mut(self.index) {
            entry.is_finished = true;
        }
    }
}

impl Drop for RunMark<'_> {
    fn drop(&mut self) {
        self.record.running.set(self.record.running.get() - 1);
    }
}
