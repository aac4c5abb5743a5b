//! Brownout: disables features of an overloaded cluster in ordered steps. Each has an activation threshold, a
//! release threshold, and a hold time for both. This module decides which steps are active; the gate and the
//! balancer apply them.

use std::time::Duration;

/// The effect of a brownout step while it is active.
#[derive(Clone, Debug, PartialEq)]
pub enum BrownoutAction {
    /// The balancer sends no hedged requests.
    DisableHedging,
    /// The balancer makes no retries once an attempt may have been executed.
    DisableRetries,
    /// Requests of these classes, by index, are rejected at once unless they are within a guaranteed rate.
    ShedClasses(Vec<usize>),
    /// A rejected request gets the fallback response of its class, if there is one.
    ServeFallback,
}

/// A feature that is disabled under overload, and the loads at which that begins and ends.
#[derive(Clone, Debug, PartialEq)]
pub struct BrownoutStep {
    /// The step is activated when the share of work that exceeds the capacity, from 0 to 1, is at least this
    /// ...
    pub threshold: f64,
    /// ... and released when the share is at most this ...
    pub release_threshold: f64,
    /// ... for this time without interruption.
    pub hold_time: Duration,
    /// The effect of the step while it is active.
    pub action: BrownoutAction,
}

/// The brownout levels of a cluster: level `n` has the first `n` steps active.
#[derive(Debug)]
pub struct BrownoutLevels {
    steps: Vec<BrownoutStep>,
    level: usize,
    /// Since when the threshold of the next step has been reached; `None` if it is not.
    above_since: Option<Duration>,
    /// Since when the load has been within the release threshold of the last active step; `None` if it is
    /// not.
    below_since: Option<Duration>,
}

impl BrownoutLevels {
    /// Starts at level 0, where no step is active.
    pub fn new(steps: Vec<BrownoutStep>) -> Self {
        BrownoutLevels { steps, level: 0, above_since: None, below_since: None }
    }

    /// Replaces the steps. The level becomes 0 if they differ from the previous ones.
    pub fn set_steps(&mut self, steps: Vec<BrownoutStep>) {
        if steps != self.steps {
            *self = BrownoutLevels::new(steps);
        }
    }

    /// The number of active steps.
    pub fn level(&self) -> usize {
        self.level
    }

    /// The active steps, in the order of activation.
    pub fn active_steps(&self) -> &[BrownoutStep] {
        &self.steps[..self.level]
    }

    /// Updates the level for the share of work that exceeds the capacity, from 0 to 1. Returns whether the
    /// level has changed. It changes by one step at a time, so that each step takes effect before the next.
    pub fn update(&mut self, now: Duration, unserved_share: f64) -> bool {
        let has_held = |since: &mut Option<Duration>, holds: bool, hold_time: Duration| {
            let from = holds.then(|| *since.get_or_insert(now));
            *since = from;
            from.is_some_and(|from| now.saturating_sub(from) >= hold_time)
        };
        if let Some(next) = self.steps.get(self.level)
            && has_held(&mut self.above_since, unserved_share >= next.threshold, next.hold_time)
        {
            (self.level, self.above_since, self.below_since) = (self.level + 1, None, None);
            return true;
        }
        let last = self.level.checked_sub(1).map(|index| &self.steps[index]);
        if let Some(last) = last
            && has_held(&mut self.below_since, unserved_share <= last.release_threshold, last.hold_time)
        {
            (self.level, self.above_since, self.below_since) = (self.level - 1, None, None);
            return true;
        }
        false
    }
}
