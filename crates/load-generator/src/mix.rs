//! The request mix: classes and tenants are drawn by weight, keys by a Zipf distribution. Draws depend on the
//! seed only, so that the nth request is the same in each run of a plan.

use crate::schedule::draw_below;
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name in reports.
    pub name: String,
    /// The relative frequency of the class.
    pub weight: f64,
    /// The HTTP method.
    pub method: String,
    /// The path and query; `{key}` is replaced by the request's key in hexadecimal.
    pub path: String,
    /// Whether requests carry an `Idempotency-Key`, the same in all attempts.
    pub keyed: bool,
    /// The size of the body, in bytes.
    pub body: usize,
    /// How long a client waits for a response, from the due time and over all attempts.
    pub timeout_ms: u64,
}

/// The random properties of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnRequest {
    /// The index of the class.
    pub class: usize,
    /// The index of the tenant; `None` if the plan has no tenants.
    pub tenant: Option<usize>,
    /// The key, from 1 by descending frequency; the number of the request when a trace is replayed.
    pub key: u64,
    /// Random bits for the client's decisions, such as whether it retries.
    pub random: u64,
}

/// The Zipf distribution of keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyDistribution {
    /// The number of keys.
    pub count: u64,
    /// The exponent; 0 for a uniform distribution, larger values prefer the first keys more.
    pub exponent: f64,
}

/// Draws the properties of requests in the order of their numbers.
#[derive(Clone, Debug)]
pub struct RequestMix {
    classes: Vec<f64>,
    tenants: Vec<f64>,
    keys: Option<Zipf<f64>>,
    rng: Pcg64Mcg,
}

/// The cumulative sums of weights.
fn cumulative(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    weights
        .map(|weight| {
            sum += weight.max(0.0);
            sum
        })
        .collect()
}

/// Draws an index by its weight from the cumulative weights; `None` if there are none.
fn draw_index(sums: &[f64], rng: &mut Pcg64Mcg) -> Option<usize> {
    let drawn = draw_below(rng, *sums.last()?);
    Some(sums.partition_point(|sum| *sum <= drawn).min(sums.len() - 1))
}

impl RequestMix {
    /// A mix of classes by their weights, of tenants with these weights, and of keys.
    pub fn new(classes: &[RequestClass], tenants: &[f64], keys: KeyDistribution, seed: u64) -> Self {
        RequestMix {
            classes: cumulative(classes.iter().map(|class| class.weight)),
            tenants: cumulative(tenants.iter().copied()),
            keys: Zipf::new(keys.count.max(1) as f64, keys.exponent.max(0.0)).ok(),
            rng: Pcg64Mcg::new(u128::from(seed) << 64 | 0x317e),
        }
    }

    /// Draws the next request.
    pub fn draw(&mut self) -> DrawnRequest {
        let class = draw_index(&self.classes, &mut self.rng).unwrap_or(0);
        let tenant = draw_index(&self.tenants, &mut self.rng);
        let key = self.keys.map_or(1.0, |keys| keys.sample(&mut self.rng)) as u64;
        DrawnRequest { class, tenant, key, random: self.rng.random() }
    }
}

#[cfg(test)]
mod tests;
