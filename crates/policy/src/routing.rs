//! Selection of a backend. The settings are fractions, factors and times of what is observed; none belongs to one deployment.

use crate::value::{count, factor, fraction, milliseconds};
use serde::Deserialize;
use std::time::Duration;

/// The weights of the selection, and which of its mechanisms are on. Renamed fields keep their old names in the file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether candidates are compared by the estimates of Join-Up-To(m); otherwise one is drawn.
    pub estimate: bool,
    /// Whether a prompt goes to any backend below m requests once all that have its shared blocks cached have reached m.
    #[serde(rename = "spills")]
    pub spill_over: bool,
    /// Whether prompts are assigned to backends by rendezvous hashing of their shared blocks.
    pub rendezvous: bool,
    /// Whether an index of the node's own attempts estimates the prefix cache of a backend.
    pub index: bool,
    /// The number of backends that are to have a shared block cached, as long as one can serve its traffic.
    #[serde(rename = "copies", deserialize_with = "count")]
    pub replicas: usize,
    /// The part of a backend's time that requests with the same shared block may take before that block goes to one more
    /// backend.
    #[serde(rename = "hot_share", deserialize_with = "fraction")]
    pub max_block_utilization: f64,
    /// The cost of a repeated prefill of shared blocks, as a multiple of its duration.
    #[serde(rename = "reread_cost", deserialize_with = "factor")]
    pub repeated_prefill_cost: f64,
    /// The cost of any prefill, likewise: that time is lost for the other requests there.
    #[serde(rename = "read_cost", deserialize_with = "factor")]
    pub prefill_cost: f64,
    /// The weight of the prefill as all backends get busy: that part of the usual queueing law, 1 / (1 - busy).
    #[serde(deserialize_with = "factor")]
    pub busy_weight: f64,
    /// The multiple of the expected time from which on a backend counts as slow.
    #[serde(rename = "slow_from", deserialize_with = "factor")]
    pub slow_threshold: f64,
    /// Whether the measured time of responses relative to the expected one counts at all.
    pub slowness: bool,
    /// Whether requests state their urgency to backends, by the priorities of tenant and route.
    pub urgency: bool,
    /// Whether the smaller prompts of a priority come first.
    #[serde(rename = "small_first")]
    pub small_prompts_first: bool,
    /// The number of requests of a key that counts as chance, in standard deviations.
    #[serde(rename = "key_margin", deserialize_with = "factor")]
    pub request_count_margin: f64,
    /// Backends whose loss differs from the best one's by less than this part of the latency target are equally good.
    #[serde(rename = "slack", deserialize_with = "fraction")]
    pub cost_tolerance: f64,
    /// The part of its slots up to which a backend without a queue counts as idle.
    #[serde(deserialize_with = "fraction")]
    pub idle_share: f64,
    /// Whether an estimate that no response will reset expires after some seconds.
    #[serde(rename = "forgetting")]
    pub estimate_expiry: bool,
    /// Whether this node's share of the traffic is measured; otherwise it is assumed to be even.
    pub traffic_share: bool,
    /// The most backends that are all considered for a request; of more, only some are.
    #[serde(rename = "looked_at_all", deserialize_with = "count")]
    pub full_scan_limit: usize,
    /// Whether reports are requested of backends with the most requests in flight.
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
    /// Whether a backend gets no more requests while a response is overdue and nothing else has arrived from it.
    #[serde(rename = "silence")]
    pub stall_detection: bool,
    /// The delay up to which a late response counts as no stall, in milliseconds.
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
