use std::cell::Cell;
use std::future::poll_fn;
use std::task::Poll;

use compio::runtime::Runtime;

/// The maximum number of times that woken tasks run before the operating system is polled for
/// events again, so that tasks which wake each other endlessly don't delay I/O.
const MAX_TASK_RUNS: u32 = 64;

thread_local! {
    /// The number of times that the event loop of this thread has polled for events.
    static ROUNDS: Cell<u64> = const { Cell::new(0) };
}

/// Returns the number of times that the event loop of this thread has polled for events.
///
/// It stays 0 on an event loop that isn't run by [`run_loop`].
#[must_use]
pub fn loop_rounds() -> u64 {
    ROUNDS.get()
}

/// Runs a future to completion on the event loop of this thread, and counts the rounds of the loop.
///
/// All ready tasks run before the operating system is polled for events. The runtime by itself
/// polls after each run of the tasks and once more for each task that woke another one, at five
/// system calls each. As the tasks of a request wake one another over channels, a request takes
/// many runs.
///
/// # Panics
///
/// Panics if the future panics.
pub fn run_loop<F: Future>(runtime: &Runtime, work: F) -> F::Output {
    let mut work = Box::pin(work);
    runtime.block_on(poll_fn(move |context| {
        ROUNDS.set(ROUNDS.get() + 1);
        for _ in 0..MAX_TASK_RUNS {
            let polled = work.as_mut().poll(context);
            if polled.is_ready() || !run_ready_tasks() {
                return polled;
            }
        }
        Poll::Pending
    }))
}

/// Runs the ready tasks, and returns whether the future or a task may have been woken meanwhile.
///
/// After this has returned `false`, a wake-up interrupts the wait for events.
fn run_ready_tasks() -> bool {
    Runtime::with_current(|runtime| {
        for _ in 0..MAX_TASK_RUNS {
            if !runtime.run() {
                break;
            }
        }
        runtime.flush()
    })
}
