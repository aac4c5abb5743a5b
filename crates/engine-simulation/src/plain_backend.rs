//! A model of a backend for calls without prompts: slots and a short queue, beyond which calls are rejected.

use std::collections::VecDeque;

/// What a backend does with a call on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainAdmission {
    /// It runs at once.
    Running,
    /// It waits for a slot.
    Queued,
    /// It is rejected, because the queue is full.
    Rejected,
}

/// The state of a backend for plain calls. It has no clock: the caller reports when a call has ended.
#[derive(Clone, Debug, Default)]
pub struct PlainBackend {
    /// The maximum number of running calls.
    pub slots: usize,
    /// The maximum number of queued calls.
    pub max_queued: usize,
    running: usize,
    queue: VecDeque<u64>,
}

impl PlainBackend {
    /// An idle backend.
    pub fn new(slots: usize, max_queued: usize) -> Self {
        PlainBackend { slots, max_queued, ..Self::default() }
    }

    /// Starts, queues or rejects a call. The id is chosen by the caller.
    pub fn offer(&mut self, id: u64) -> PlainAdmission {
        if self.running < self.slots {
            self.running += 1;
            return PlainAdmission::Running;
        }
        if self.queue.len() >= self.max_queued {
            return PlainAdmission::Rejected;
        }
        self.queue.push_back(id);
        PlainAdmission::Queued
    }

    /// Frees the slot of a call that has ended. Returns the id of the queued call that starts; `None` if none
    /// is queued.
    pub fn finish(&mut self) -> Option<u64> {
        self.running -= 1;
        let next = self.queue.pop_front()?;
        self.running += 1;
        Some(next)
    }

    /// The number of running calls.
    pub fn running(&self) -> u32 {
        self.running as u32
    }

    /// The number of queued calls.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }
}
