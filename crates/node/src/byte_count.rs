use std::cell::Cell;
use std::rc::Rc;

/// A number of bytes that counts towards a total until it is dropped.
pub(crate) struct ByteCount {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl ByteCount {
    pub(crate) fn new(total: &Rc<Cell<usize>>) -> Self {
        Self {
            total: Rc::clone(total),
            bytes: 0,
        }
    }

    pub(crate) const fn get(&self) -> usize {
        self.bytes
    }

    pub(crate) fn set(&mut self, bytes: usize) {
        self.total.set(self.total.get() + bytes - self.bytes);
        self.bytes = bytes;
    }
}

impl Drop for ByteCount {
    fn drop(&mut self) {
        self.set(0);
    }
}
