//! The choice of a backend. The figures are shares, factors and times of what is observed; none belongs to one deployment.

use crate::value::{count, factor, milliseconds, share};
use serde::Deserialize;
use std::time::Duration;

/// What the choice weighs, and which of its mechanisms are on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether the candidates are told apart by Join-Up-To(m)'s estimates; else one is drawn.
    pub estimate: bool,
    /// Whether a prompt goes to any backend below m once all that keep its shared parts have reached m.
    pub spills: bool,
    /// Whether prompts belong to backends by rendezvous hashing of their shared parts.
    pub rendezvous: bool,
    /// Whether an index of own sends says what a backend keeps.
    pub index: bool,
    /// On how many backends a shared part is meant to be, as long as one can carry its traffic.
    #[serde(deserialize_with = "count")]
    pub copies: usize,
    /// The share of a backend's time that requests with one and the same shared part may take before that part
    /// goes to one backend more.
    #[serde(deserialize_with = "share")]
    pub hot_share: f64,
    /// What it costs to read shared parts again, in multiples of the time that reading takes.
    #[serde(deserialize_with = "factor")]
    pub reread_cost: f64,
    /// What it costs to read anything, likewise: that time is lost for the other requests there.
    #[serde(deserialize_with = "factor")]
    pub read_cost: f64,
    /// How much of what is read counts against it as all backends get busy: that share of the usual queueing
    /// law, 1 / (1 - busy).
    #[serde(deserialize_with = "factor")]
    pub busy_weight: f64,
    /// A backend counts as slow from that many times the expected time on.
    #[serde(deserialize_with = "factor")]
    pub slow_from: f64,
    /// Whether what answers took beside what was expected counts at all.
    pub slowness: bool,
    /// Whether requests tell backends how urgent they are, by the ranks of tenant and route.
    pub urgency: bool,
    /// Whether the smaller prompts of a rank come first.
    pub small_first: bool,
    /// Requests of a key that are taken for chance, in standard deviations of their count.
    #[serde(deserialize_with = "factor")]
    pub key_margin: f64,
    /// Backends whose loss is within this share of the aim of the best one's are as good.
    #[serde(deserialize_with = "share")]
    pub slack: f64,
    /// The share of its places up to which a backend with nobody waiting counts as idle.
    #[serde(deserialize_with = "share")]
    pub idle_share: f64,
    /// Whether an estimate that no answer will zero is forgotten after some seconds.
    pub forgetting: bool,
    /// Whether this node's share of the traffic is measured; else it is taken to be even.
    pub traffic_share: bool,
    /// Of more backends than this only some are looked at for a request.
    #[serde(deserialize_with = "count")]
    pub looked_at_all: usize,
    /// Whether backends at the cap are asked for reports.
    pub reports: bool,
    /// Whether backends that fail are left alone for a while.
    pub ejection: bool,
    /// The first rest of a backend that fails, in milliseconds.
    #[serde(rename = "first_rest_ms", deserialize_with = "milliseconds")]
    pub first_rest: Duration,
    /// The longest rest, in milliseconds.
    #[serde(rename = "longest_rest_ms", deserialize_with = "milliseconds")]
    pub longest_rest: Duration,
    /// Whether a backend gets nothing more while an answer of it is overdue and nothing else has come.
    pub silence: bool,
    /// An answer that is late by less than this is no silence, in milliseconds.
    #[serde(rename = "patience_ms", deserialize_with = "milliseconds")]
    pub patience: Duration,
}

impl Default for Routing {
    fn default() -> Self {
        Routing {
            estimate: true,
            spills: false,
            rendezvous: true,
            index: true,
            copies: 1,
            hot_share: 0.35,
            reread_cost: 1.0,
            read_cost: 0.25,
            busy_weight: 0.5,
            slow_from: 2.0,
            slowness: true,
            urgency: true,
            small_first: true,
            key_margin: 1.0,
            slack: 0.01,
            idle_share: 0.5,
            forgetting: true,
            traffic_share: true,
            looked_at_all: 64,
            reports: true,
            ejection: true,
            first_rest: Duration::from_millis(400),
            longest_rest: Duration::from_secs(6),
            silence: true,
            patience: Duration::from_millis(300),
        }
    }
}
