//! Which requests of a tenant far beyond its limit a node refuses by itself.
//!
//! Without it, whoever asks the grantor at the right moment gets what has flowed in: nodes with few of the tenant's requests serve all
//! of theirs, busy nodes few. Here each request has the same chance to be asked for, at each node and at each moment.

use range_digest::mixed;
use std::time::Duration;

/// Word of the grantor that is older does not count: the tenant may have stopped.
const COUNTS_FOR: Duration = Duration::from_millis(1500);

/// What a node knows of the pressure on a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Thinning {
    /// What all nodes are asked for, in multiples of what may be given.
    pressure: f64,
    told: Duration,
    /// Requests that were drawn for.
    drawn: u64,
    /// The cost of what was refused and not told to the grantor yet.
    turned_away: f64,
}

impl Thinning {
    /// The grantor has told the pressure.
    pub fn told(&mut self, now: Duration, pressure: f64) {
        (self.pressure, self.told) = (pressure, now);
    }

    /// Whether a request may be asked for. The draw follows from the moment, the cost and the count of draws.
    pub fn passes(&mut self, now: Duration, cost: f64) -> bool {
        let pressure = self.pressure(now);
        if pressure <= 1.0 {
            return true;
        }
        self.drawn += 1;
        let drawn = mixed(mixed(now.as_nanos() as u64) ^ cost.to_bits() ^ mixed(self.drawn));
        (drawn as f64 / u64::MAX as f64) * pressure < 1.0
    }

    /// The pressure that counts now; 1 where there is none.
    pub fn pressure(&self, now: Duration) -> f64 {
        let counts = now < self.told + COUNTS_FOR;
        if counts { self.pressure.max(1.0) } else { 1.0 }
    }

    /// A request was refused without a question.
    pub fn turned_away(&mut self, cost: f64) {
        self.turned_away += cost;
    }

    /// The cost of all that was refused so since this was last asked.
    pub fn take_turned_away(&mut self) -> f64 {
        std::mem::take(&mut self.turned_away)
    }
}
