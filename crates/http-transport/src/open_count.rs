//! Counts open connections by guards that live as long as the connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts a connection as open until it is dropped.
pub struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    /// Increments `count`. Dropping the guard decrements it.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        OpenGuard(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
