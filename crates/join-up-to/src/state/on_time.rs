//! The fraction of responses on time by the load of the server.

/// The number of load levels. Higher loads count as the last level.
const LEVELS: usize = 64;

/// Moving averages of the fraction of responses on time, by the load of the server at the send.
pub struct OnTimeRates([f64; LEVELS]);

impl OnTimeRates {
    /// The initial rates: 1 up to the level `max_certain_level`, and `higher_rate` above it.
    pub fn new(max_certain_level: usize, higher_rate: f64) -> Self {
        let mut rates = [higher_rate; LEVELS];
        rates[..=max_certain_level].fill(1.0);
        OnTimeRates(rates)
    }
    /// The rate of a level, from 0 to 1.
    pub fn at(&self, level: usize) -> f64 {
        self.0[level.min(LEVELS - 1)]
    }
    /// Records a response on time. It would also have been on time at lower loads, and the next higher load
    /// becomes worth trying.
    pub fn record_on_time(&mut self, level: usize, step: f64) {
        let level = level.min(LEVELS - 1);
        self.0[..=level].iter_mut().for_each(|rate| *rate += (1.0 - *rate) * step);
        let next = &mut self.0[(level + 1).min(LEVELS - 1)];
        *next += (1.0 - *next) * step / 2.0;
    }
    /// Records a late or missing response. It would also have been late at higher loads; at an idle server it
    /// shows nothing about other levels, as load was not the cause.
    pub fn record_late(&mut self, level: usize, step: f64) {
        let end = if level == 0 { 1 } else { LEVELS };
        self.0[level.min(LEVELS - 1)..end].iter_mut().for_each(|rate| *rate -= *rate * step);
    }
}
