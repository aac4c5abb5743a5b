//! The times at which requests are due, from a rate that is the sum of shapes. The same seed gives the same
//! times.

use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::f64::consts::TAU;
use std::time::Duration;

/// A request rate over time, in requests per second. The rates of several shapes add up; a negative sum
/// counts as 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// A constant rate.
    Constant(f64),
    /// A linear change from one rate to another, which then stays.
    Ramp {
        /// The rate at the start of the run.
        from: f64,
        /// The rate at the end of the ramp.
        to: f64,
        /// The duration of the ramp.
        over: Duration,
    },
    /// A rate between two times, and 0 outside.
    Step {
        /// When the rate begins, since the start of the run.
        from: Duration,
        /// When the rate ends, since the start of the run.
        until: Duration,
        /// The rate in between.
        rate: f64,
    },
    /// A sine wave around a mean.
    Sine {
        /// The mean rate.
        mean: f64,
        /// The largest difference from the mean, in requests per second.
        amplitude: f64,
        /// The period.
        period: Duration,
    },
    /// A number of requests at one instant.
    Burst {
        /// When they are due, since the start of the run.
        at: Duration,
        /// The number of requests.
        count: u64,
    },
}

impl Shape {
    /// The rate at a time in seconds. A burst has none.
    fn rate(&self, at: f64) -> f64 {
        match self {
            Shape::Constant(rate) => *rate,
            Shape::Ramp { from, to, over } => {
                from + (to - from) * (at / over.as_secs_f64().max(1e-9)).min(1.0)
            }
            Shape::Step { from, until, rate } => {
                if (from.as_secs_f64()..until.as_secs_f64()).contains(&at) {
                    *rate
                } else {
                    0.0
                }
            }
            Shape::Sine { mean, amplitude, period } => {
                mean + amplitude * (TAU * at / period.as_secs_f64().max(1e-9)).sin()
            }
            Shape::Burst { .. } => 0.0,
        }
    }
}

/// The arrival process for a given rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spacing {
    /// Arrivals at equal intervals.
    Even,
    /// A Poisson process, as of many independent clients.
    #[default]
    Poisson,
}

/// The schedule of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The shapes whose sum is the rate.
    pub shapes: Vec<Shape>,
    /// The arrival process.
    pub spacing: Spacing,
    /// The duration of the run; no request is due at its end or later.
    pub length: Duration,
    /// The seed of the random draws.
    pub seed: u64,
}

/// The step of the integration of the rate, in seconds. The rate counts as constant within a step; arrivals
/// are placed exactly within it.
const STEP_S: f64 = 0.001;

impl Schedule {
    /// The rate at a time, in requests per second, without bursts.
    pub fn rate(&self, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        self.shapes.iter().map(|shape| shape.rate(at)).sum::<f64>().max(0.0)
    }

    /// The times of all arrivals, in order.
    pub fn times(&self) -> ArrivalTimes<'_> {
        let mut bursts: Vec<_> = self
            .shapes
            .iter()
            .filter_map(|shape| match shape {
                Shape::Burst { at, count } if *at < self.length => Some((*at, *count)),
                _ => None,
            })
            .collect();
        bursts.sort();
        bursts.reverse();
        let mut times = ArrivalTimes {
            schedule: self,
            rng: Pcg64Mcg::new(u128::from(self.seed) << 64 | 0x5ced),
            step: 0,
            elapsed_in_step: 0.0,
            step_requests: 0.0,
            until_next: 0.0,
            bursts,
            next: None,
        };
        times.step_requests = times.requests_of_step();
        // The first request of an even schedule is due at the start.
        times.until_next = if self.spacing == Spacing::Even { 0.0 } else { times.draw_gap() };
        times.next = times.next_by_rate();
        times
    }
}

/// An iterator over the due times of a schedule.
pub struct ArrivalTimes<'s> {
    schedule: &'s Schedule,
    rng: Pcg64Mcg,
    /// The index of the current step, the integral of the rate over it, and the part of that integral that
    /// has passed.
    step: u64,
    step_requests: f64,
    elapsed_in_step: f64,
    /// The integral of the rate from there to the next arrival.
    until_next: f64,
    /// Pending bursts with their remaining requests, the next one last.
    bursts: Vec<(Duration, u64)>,
    /// The next arrival that is not part of a burst.
    next: Option<Duration>,
}

impl ArrivalTimes<'_> {
    /// The integral of the rate between two arrivals: 1 on average.
    fn draw_gap(&mut self) -> f64 {
        match self.schedule.spacing {
            Spacing::Even => 1.0,
            Spacing::Poisson => {
                let gap: f64 = Exp1.sample(&mut self.rng);
                // Above 0: a gap of exactly 0 would occasionally lose an arrival.
                gap.max(f64::MIN_POSITIVE)
            }
        }
    }

    /// The integral of the rate over the current step, by the rate in its middle.
    fn requests_of_step(&self) -> f64 {
        let middle = Duration::from_secs_f64((self.step as f64 + 0.5) * STEP_S);
        self.schedule.rate(middle) * STEP_S
    }

    /// The next arrival that is not part of a burst; `None` at the end of the schedule.
    fn next_by_rate(&mut self) -> Option<Duration> {
        // The tolerance exceeds the rounding error of summed steps, so that an arrival at the very end is
        // always left out.
        let end = self.schedule.length.as_secs_f64() - 1e-6;
        loop {
            if self.elapsed_in_step + self.until_next < self.step_requests {
                self.elapsed_in_step += self.until_next;
                let at = (self.step as f64 + self.elapsed_in_step / self.step_requests) * STEP_S;
                self.until_next = self.draw_gap();
                return (at < end).then(|| Duration::from_secs_f64(at));
            }
            self.until_next -= self.step_requests - self.elapsed_in_step;
            self.step += 1;
            if self.step as f64 * STEP_S >= end {
                return None;
            }
            (self.elapsed_in_step, self.step_requests) = (0.0, self.requests_of_step());
        }
    }
}

impl Iterator for ArrivalTimes<'_> {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if let Some((at, count)) = self.bursts.last_mut()
            && self.next.is_none_or(|next| *at <= next)
        {
            let at = *at;
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.bursts.pop();
            }
            return Some(at);
        }
        let next = self.next?;
        self.next = self.next_by_rate();
        Some(next)
    }
}

/// Draws a uniform number from 0 to a bound, exclusive.
pub(crate) fn draw_below(rng: &mut Pcg64Mcg, bound: f64) -> f64 {
    rng.random::<f64>() * bound
}

#[cfg(test)]
mod tests;
