use std::cell::Cell;
use std::future::poll_fn;
use std::task::Poll;

use compio::runtime::Runtime;

/// The most times that tasks woken by tasks run before the system is asked for events again, so
/// that tasks that wake each other without end don't keep messages waiting.
const MAX_TURNS: u32 = 64;

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
/// All tasks that are ready run before the system is asked for events. The runtime by itself asks
/// after each turn of tasks and once more for each that woke another, five system calls a time,
/// and a request takes many turns: its tasks wake one another over channels.
///
/// # Panics
///
/// Panics when the work does.
pub fn run_loop<F: Future>(runtime: &Runtime, work: F) -> F::Output {
    let mut work = Box::pin(work);
    runtime.block_on(poll_fn(move |context| {
        ROUNDS.set(ROUNDS.get() + 1);
        for _ in 0..MAX_TURNS {
            let polled = work.as_mut().poll(context);
            if polled.is_ready() || !has_news_after_tasks() {
                return polled;
            }
        }
        Poll::Pending
    }))
}

/// Runs the tasks that are ready, and returns whether the work or a task may have been woken since.
///
/// Once this has returned `false` a wake interrupts the wait for events.
fn has_news_after_tasks() -> bool {
    Runtime::with_current(|runtime| {
        for _ in 0..MAX_TURNS {
            if !runtime.run() {
                break;
            }
        }
        runtime.flush()
    })
}
