//! A node's retry budget for a service.

use std::collections::VecDeque;
use std::time::Duration;

/// The length of a slot of the sliding window.
const SLOT: Duration = Duration::from_millis(500);

/// The requests and retries of one slot of the window.
#[derive(Clone, Copy, Debug)]
struct Slot {
    /// The number of slots from the origin of the caller's clock to this one.
    number: u64,
    requests: u32,
    retries: u32,
}

/// Limits the retries of requests to a service to a fraction of the node's requests in a sliding window, and
/// a small constant number beyond that. As each node respects the fraction, so do all nodes together.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// The length of the window in slots.
    window_slots: u64,
    /// Retries in a window beyond the fraction.
    extra: f64,
    /// The slots of the window, the oldest first. Slots in which no method was called may be missing.
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    /// `ratio` is the fraction of requests that may be retried, `extra` the number of retries in a window
    /// beyond that.
    pub fn new(ratio: f64, window: Duration, extra: f64) -> Self {
        let window_slots = window.as_millis().div_ceil(SLOT.as_millis()).max(1) as u64;
        RetryBudget { ratio, window_slots, extra, slots: VecDeque::new() }
    }

    /// Drops the slots before the window. Returns the current slot.
    fn advance(&mut self, now: Duration) -> &mut Slot {
        let number = (now.as_millis() / SLOT.as_millis()) as u64;
        // One slot more than the window has, as the oldest one may lie in it in part.
        while self.slots.front().is_some_and(|slot| slot.number + self.window_slots < number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot { number, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Records a client's request to the service.
    pub fn record_request(&mut self, now: Duration) {
        self.advance(now).requests += 1;
    }

    /// Whether a retry would be within the budget. Does not record one.
    pub fn has_capacity(&mut self, now: Duration) -> bool {
        self.advance(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        f64::from(retries + 1) <= f64::from(requests) * self.ratio + self.extra
    }

    /// Records a retry if it is within the budget. Returns whether it was.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let has_capacity = self.has_capacity(now);
        if has_capacity {
            self.advance(now).retries += 1;
        }
        has_capacity
    }
}
