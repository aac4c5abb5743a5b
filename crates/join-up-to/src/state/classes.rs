//! The classes of requests with their retry and hedging budgets, preserved when the settings change.

use super::token_bucket::TokenBucket;
use crate::interface::{Class, Hedging};
use std::ops::Index;
use std::time::Duration;

/// The maximum number of unused tokens of a budget, in addition to one second of its rate.
const MAX_SAVED_TOKENS: f64 = 10.0;

/// The index of a class in [`Classes`]. It does not change while a request of the class exists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassSlot(usize);

/// The classes of the current settings, and those of earlier settings that are still used by requests.
pub struct Classes {
    slots: Vec<Slot>,
    /// The slot of each class, by its index in the settings.
    current: Vec<usize>,
}

/// A class with the tokens left in its budgets.
struct Slot {
    class: Class,
    is_current: bool,
    /// The number of open requests of the class.
    requests: usize,
    retries: TokenBucket,
    hedges: TokenBucket,
}

impl Classes {
    pub fn new(classes: &[Class]) -> Self {
        let mut all = Classes { slots: Vec::new(), current: Vec::new() };
        all.replace(classes);
        all
    }
    /// Replaces the classes. An unchanged class keeps its budgets; a removed class is kept until its last
    /// request has ended.
    pub fn replace(&mut self, classes: &[Class]) {
        self.slots.iter_mut().for_each(|slot| slot.is_current = false);
        self.current.clear();
        for class in classes {
            let same = self.slots.iter().position(|slot| !slot.is_current && slot.class == *class);
            let free = || self.slots.iter().position(|slot| !slot.is_current && slot.requests == 0);
            let at = same.or_else(free).unwrap_or(self.slots.len());
            if same.is_none() {
                let slot = Slot::new(class.clone());
                if at == self.slots.len() { self.slots.push(slot) } else { self.slots[at] = slot }
            }
            self.slots[at].is_current = true;
            self.current.push(at);
        }
    }
    /// Adds a request of the class at this index in the settings, and its tokens to the budgets of the class.
    pub fn add_request(&mut self, class: usize, now: Duration) -> ClassSlot {
        let at = self.current[class.min(self.current.len() - 1)];
        let slot = &mut self.slots[at];
        slot.requests += 1;
        if let Some(budget) = slot.class.attempt_policy.retry_budget {
            let max = MAX_SAVED_TOKENS + budget.per_s;
            if slot.retries.at.is_zero() {
                slot.retries.at = now; // Time before the first request adds no tokens.
            }
            slot.retries = slot.retries.refilled(now, budget.per_s, max);
            slot.retries.tokens = (slot.retries.tokens + budget.share).min(max);
        }
        if let Hedging::After { max_fraction, .. } = slot.class.attempt_policy.hedging {
            slot.hedges.tokens = (slot.hedges.tokens + max_fraction).min(MAX_SAVED_TOKENS);
        }
        ClassSlot(at)
    }
    /// Removes a request from the count of its class.
    pub fn remove_request(&mut self, slot: ClassSlot) {
        self.slots[slot.0].requests -= 1;
    }
    /// The retries left in the budget; `None` if the class has no budget of its own.
    pub fn retries_left(&self, slot: ClassSlot, now: Duration) -> Option<f64> {
        let slot = &self.slots[slot.0];
        let budget = slot.class.attempt_policy.retry_budget?;
        Some(slot.retries.refilled(now, budget.per_s, MAX_SAVED_TOKENS + budget.per_s).tokens)
    }
    pub fn spend_retry(&mut self, slot: ClassSlot, now: Duration) {
        let left = self.retries_left(slot, now).unwrap_or_default();
        self.slots[slot.0].retries = TokenBucket::new(left - 1.0, now);
    }
    /// The hedged attempts left in the budget.
    pub fn hedges_left(&self, slot: ClassSlot) -> f64 {
        self.slots[slot.0].hedges.tokens
    }
    pub fn spend_hedge(&mut self, slot: ClassSlot) {
        self.slots[slot.0].hedges.tokens -= 1.0;
    }
    /// The number of slots, in use or free.
    #[cfg(test)]
    pub fn slots(&self) -> usize {
        self.slots.len()
    }
}

impl Slot {
    fn new(class: Class) -> Self {
        // Both budgets start with one token.
        let tokens = TokenBucket::new(1.0, Duration::ZERO);
        Slot { class, is_current: true, requests: 0, retries: tokens, hedges: tokens }
    }
}

impl Index<ClassSlot> for Classes {
    type Output = Class;
    fn index(&self, slot: ClassSlot) -> &Class {
        &self.slots[slot.0].class
    }
}

#[cfg(test)]
mod tests;
