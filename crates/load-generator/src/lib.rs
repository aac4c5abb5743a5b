//! An open-loop load generator. The schedule of requests is fixed before a run begins: a slow response delays
//! no other request, and latency is measured from the time at which a request was due (no coordinated
//! omission).
//!
//! [`schedule`], [`mix`], [`trace`] and [`plan`] define the workload, without I/O; [`engine`] sends it.
//! [`record`] collects outcomes and latencies, [`validity`] decides whether the generator kept up, and
//! [`report`], [`html`] and [`diff`] present the results.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod diff;
pub mod engine;
pub mod html;
pub mod mix;
pub mod plan;
pub mod record;
pub mod report;
pub mod schedule;
pub mod trace;
pub mod validity;
