//! The deadline of a stream, shared by the parts that may bring it forward and the part that enforces it.
//! Aborts nothing itself.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// When a stream must end: because of its own time-out, because its backend drains, or because the node shuts
/// down. Clones share the deadline. Initially there is none.
#[derive(Clone, Debug, Default)]
pub struct StreamDeadline(Rc<Cell<Option<Instant>>>);

impl StreamDeadline {
    /// Sets the deadline to `at`, unless it is already earlier.
    pub fn bring_forward(&self, at: Instant) {
        self.0.set(Some(self.0.get().map_or(at, |before| before.min(at))));
    }
    /// Whether the deadline has passed.
    pub fn has_passed(&self) -> bool {
        self.0.get().is_some_and(|at| at <= Instant::now())
    }
    /// Whether no other clone is left, so that the stream has ended.
    pub fn is_unshared(&self) -> bool {
        Rc::strong_count(&self.0) == 1
    }
}
