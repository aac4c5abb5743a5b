//! The measured cost of requests of each class, in seconds of backend time.

use super::settings::ClassSettings;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The assumed cost of a request before any has been measured, in seconds of backend time.
const DEFAULT_COST: f64 = 0.02;
/// The weight of one response in the moving average of the cost of its class.
const SMOOTHING: f64 = 1.0 / 32.0;

/// The costs of the classes. A class is identified by its name and keeps its slot when settings are replaced.
#[derive(Debug, Default)]
pub(super) struct ClassCosts {
    slots_by_name: FxHashMap<String, usize>,
    /// The slot of each class, by its index in the current settings.
    slots: Vec<usize>,
    /// The cost of each slot; 0 while unknown.
    costs: Vec<f64>,
}

impl ClassCosts {
    /// Replaces the classes of the settings.
    pub(super) fn set_classes(&mut self, classes: &[ClassSettings]) {
        self.slots.clear();
        for class in classes {
            let next = self.slots_by_name.len();
            let slot = *self.slots_by_name.entry(class.name.clone()).or_insert(next);
            self.costs.resize(self.costs.len().max(slot + 1), 0.0);
            self.slots.push(slot);
        }
    }

    /// The slot of a class by its index in the settings; 0 if there is no such class.
    pub(super) fn slot(&self, class: usize) -> usize {
        self.slots.get(class).copied().unwrap_or(0)
    }

    /// The cost of a request, in seconds of backend time. If that of its class is unknown: the mean of the
    /// others.
    pub(super) fn cost(&self, slot: usize) -> f64 {
        let known = self.costs.get(slot).copied().unwrap_or(0.0);
        if known > 0.0 {
            return known;
        }
        let all: Vec<_> = self.costs.iter().filter(|cost| **cost > 0.0).collect();
        if all.is_empty() { DEFAULT_COST } else { all.iter().copied().sum::<f64>() / all.len() as f64 }
    }

    /// Updates the cost of a class with the duration of a served attempt.
    pub(super) fn record(&mut self, slot: usize, elapsed: Duration) {
        if let Some(cost) = self.costs.get_mut(slot) {
            let seconds = elapsed.as_secs_f64().max(1e-6);
            *cost += (seconds - *cost) * if *cost == 0.0 { 1.0 } else { SMOOTHING };
        }
    }
}
