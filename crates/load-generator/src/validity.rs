//! Decides whether a run is valid: a generator that could not keep up has measured its own limits, not the
//! target's.

use crate::record::{Outcome, Record};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A worker that used a larger share of its core may have been the bottleneck.
const MAX_CPU_SHARE: f64 = 0.9;
/// The largest share of requests that may have waited for a free connection of the generator.
const MAX_WAITING_SHARE: f64 = 0.001;
/// The smallest share of due requests that must have been sent.
const MIN_SENT_SHARE: f64 = 0.99;

/// The measurements of a run, beside its record, that are compared with the limits.
#[derive(Clone, Copy, Debug)]
pub struct Measurements {
    /// The number of requests that the plan scheduled.
    pub due: u64,
    /// The planned duration of the run.
    pub length: Duration,
    /// The busiest worker's share of a core, 0 to 1; `None` if the system does not report it.
    pub cpu_share: Option<f64>,
    /// The largest acceptable 99th percentile of the send lag.
    pub max_lag: Duration,
}

/// Whether a run is valid, and why not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Why the run is invalid; empty if it is valid.
    pub reasons: Vec<String>,
    /// The rate at which first attempts were sent, per second. Reports name it `reached`.
    #[serde(rename = "reached")]
    pub sent_per_s: f64,
    /// The rate at which requests were due, per second. Reports name it `asked`.
    #[serde(rename = "asked")]
    pub due_per_s: f64,
}

impl Verdict {
    /// Whether no limit was exceeded.
    pub fn is_valid(&self) -> bool {
        self.reasons.is_empty()
    }
}

/// Compares a run with the limits.
pub fn judge(record: &Record, measured: &Measurements) -> Verdict {
    let mut reasons = Vec::new();
    let seconds = measured.length.as_secs_f64().max(1e-9);
    // A run that fell behind its schedule took longer than planned.
    let took = record.last_sent_at.max(measured.length).as_secs_f64().max(1e-9);
    let first_attempts = record.lag.len();
    let lag = Duration::from_micros(if first_attempts == 0 { 0 } else { record.lag.value_at_quantile(0.99) });
    if lag > measured.max_lag {
        reasons.push(format!(
            "behind its schedule: 1 in 100 requests went {lag:?} late or more, {:?} is allowed",
            measured.max_lag
        ));
    }
    let share = |part: u64| part as f64 / measured.due.max(1) as f64;
    if share(record.connection_waits) > MAX_WAITING_SHARE {
        reasons.push(format!(
            "out of connections: {} requests waited for one of its own; allow more, or expect less of the target",
            record.connection_waits
        ));
    }
    let unsent = record.all.outcomes[Outcome::Unsent as usize];
    if unsent > 0 {
        reasons.push(format!("{unsent} requests were never sent"));
    }
    for (reason, count) in &record.generator_errors {
        reasons.push(format!("{reason}, {count} times"));
    }
    if share(first_attempts) < MIN_SENT_SHARE {
        reasons.push(format!("sent {first_attempts} of {} requests", measured.due));
    }
    if let Some(cpu) = measured.cpu_share.filter(|cpu| *cpu > MAX_CPU_SHARE) {
        reasons.push(format!("its busiest thread used {:.0}% of a core; give it more threads", cpu * 100.0));
    }
    Verdict { reasons, sent_per_s: first_attempts as f64 / took, due_per_s: measured.due as f64 / seconds }
}

#[cfg(test)]
mod tests;
