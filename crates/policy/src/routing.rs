//! Selection of a backend. The parameters are relative to observed values, so that none depends on a
//! deployment.

use crate::value::{count, factor, fraction, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// Parameters of the selection of a backend, and which of its mechanisms are enabled. Where a field has a
/// `serde` name, that is its key in the policy file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether candidates are compared by their Join-Up-To(m) estimates; otherwise one is drawn at random.
    pub estimate: bool,
    /// Whether a prompt may go to a backend without its shared blocks if all backends that have them cached
    /// have reached m.
    #[serde(rename = "spills")]
    pub spill_over: bool,
    /// Whether prompts are assigned to backends by rendezvous hashing of their shared blocks.
    pub rendezvous: bool,
    /// Whether the prefix caches of backends are modelled from the node's own attempts.
    pub index: bool,
    /// The number of backends that are to have a shared block cached, even if fewer can serve the requests
    /// with it.
    #[serde(rename = "copies", deserialize_with = "count")]
    pub replicas: usize,
    /// The fraction of a backend's time that requests with the same shared block may take before one more
    /// backend is to have the block cached.
    #[serde(rename = "hot_share", deserialize_with = "fraction")]
    pub max_block_utilization: f64,
    /// The cost of a repeated prefill of shared blocks, as a multiple of its duration.
    #[serde(rename = "reread_cost", deserialize_with = "factor")]
    pub repeated_prefill_cost: f64,
    /// The cost of any prefill, as a multiple of its duration, in which the backend makes no progress on
    /// other requests.
    #[serde(rename = "read_cost", deserialize_with = "factor")]
    pub prefill_cost: f64,
    /// How much the cost of a prefill rises with the utilization u of all backends: by this times u / (1 -
    /// u), as waiting times do by queueing theory.
    #[serde(deserialize_with = "factor")]
    pub busy_weight: f64,
    /// The ratio of observed to expected times to the first byte above which a backend counts as slow.
    #[serde(rename = "slow_from", deserialize_with = "factor")]
    pub slow_threshold: f64,
    /// Whether the ratio of observed to expected times to the first byte is taken into account.
    pub slowness: bool,
    /// Whether requests state an urgency to backends, by the priorities of their tenant and route.
    pub urgency: bool,
    /// Whether the smaller prompts of the same priority are more urgent.
    #[serde(rename = "small_first")]
    pub small_prompts_first: bool,
    /// The margin that is subtracted from the observed number of requests with the same shared blocks, in
    /// standard deviations.
    #[serde(rename = "key_margin", deserialize_with = "factor")]
    pub request_count_margin: f64,
    /// Backends whose cost exceeds the lowest cost by no more than this fraction of the latency target are
    /// candidates.
    #[serde(rename = "slack", deserialize_with = "fraction")]
    pub cost_tolerance: f64,
    /// The fraction of its slots up to which a backend without a queue counts as idle.
    #[serde(deserialize_with = "fraction")]
    pub idle_share: f64,
    /// Whether estimates are reset at backends from which nothing was received for some seconds.
    #[serde(rename = "forgetting")]
    pub estimate_expiry: bool,
    /// Whether this node's share of the traffic is measured; otherwise it is assumed to be even.
    pub traffic_share: bool,
    /// The number of backends up to which all are considered for a request; of more, only some are.
    #[serde(rename = "looked_at_all", deserialize_with = "count")]
    pub full_scan_limit: usize,
    /// Whether load reports are requested of backends whose estimate has reached m.
    #[serde(rename = "reports")]
    pub load_reports: bool,
    /// Whether failing backends are ejected for a while.
    pub ejection: bool,
    /// The duration of the first ejection, in milliseconds.
    #[serde(rename = "first_rest_ms", deserialize_with = "milliseconds")]
    pub first_ejection: Duration,
    /// The duration of the longest ejection, in milliseconds.
    #[serde(rename = "longest_rest_ms", deserialize_with = "milliseconds")]
    pub max_ejection: Duration,
    /// Whether a backend gets no further requests while a response is overdue and nothing else has arrived
    /// from it.
    #[serde(rename = "silence")]
    pub stall_detection: bool,
    /// The shortest time without a first byte after which a response is overdue, in milliseconds.
    #[serde(rename = "patience_ms", deserialize_with = "milliseconds")]
    pub stall_tolerance: Duration,
}

impl Default for Routing {
    fn default() -> Self {
        Routing {
            estimate: true,
            spill_over: false,
            rendezvous: true,
            index: true,
            replicas: 1,
            max_block_utilization: 0.35,
            repeated_prefill_cost: 1.0,
            prefill_cost: 0.25,
            busy_weight: 0.5,
            slow_threshold: 2.0,
            slowness: true,
            urgency: true,
            small_prompts_first: true,
            request_count_margin: 1.0,
            cost_tolerance: 0.01,
            idle_share: 0.5,
            estimate_expiry: true,
            traffic_share: true,
            full_scan_limit: 64,
            load_reports: true,
            ejection: true,
            first_ejection: Duration::from_millis(400),
            max_ejection: Duration::from_secs(6),
            stall_detection: true,
            stall_tolerance: Duration::from_millis(300),
        }
    }
}
