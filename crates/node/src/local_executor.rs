use hyper::rt::Executor;

/// Runs the tasks of `hyper` on the event loop of this thread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        compio::runtime::spawn(future).detach();
    }
}
