//! What a node reports about itself: its log, its metrics, log lines of exchanges, a trace of requests.
//! Observes only: it decides nothing and delays no exchange.

pub mod admin;
pub mod exchanges;
mod log_filter;
pub mod logging;
pub mod node_metrics;
pub mod recorder;
