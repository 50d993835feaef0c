use std::cell::Cell;
use std::rc::Rc;

/// Increments a counter until it is dropped.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
