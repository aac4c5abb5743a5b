//! The queue of pending events in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event at a time in seconds. Events at the same time are ordered by their numbers.
struct Scheduled<E> {
    at: f64,
    number: u64,
    event: E,
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, since the heap is a max-heap.
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}
impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<E> Eq for Scheduled<E> {}

/// Pending events. Events at the same time are returned in the order in which they were added.
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    /// The number of the event that was added last.
    last: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), last: 0 }
    }
    /// Adds an event at a time in seconds.
    pub fn add(&mut self, at: f64, event: E) {
        self.last += 1;
        self.heap.push(Scheduled { at, number: self.last, event });
    }
    /// Removes the next event and returns it with its time in seconds.
    pub fn next(&mut self) -> Option<(f64, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
