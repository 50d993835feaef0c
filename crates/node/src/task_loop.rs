use std::cell::Cell;
use std::future::poll_fn;

use compio::runtime::Runtime;

thread_local! {
    /// The times that the loop of this thread has asked the system for events.
    static ROUNDS: Cell<u64> = const { Cell::new(0) };
}

/// Returns how often the loop of this thread has asked the system for events.
///
/// It stays 0 on a loop that [`run_loop`] doesn't run.
#[must_use]
pub fn loop_rounds() -> u64 {
    ROUNDS.get()
}

/// Runs work to its end on the loop of this thread, and counts the loop's rounds.
///
/// # Panics
///
/// Panics when the work does.
pub fn run_loop<F: Future>(runtime: &Runtime, work: F) -> F::Output {
    let mut work = Box::pin(work);
    runtime.block_on(poll_fn(move |context| {
        ROUNDS.set(ROUNDS.get() + 1);
        work.as_mut().poll(context)
    }))
}
