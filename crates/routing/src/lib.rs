//! Selection of a backend by Join-Up-To(m), cached prompt blocks and load, and the urgency of requests. No
//! I/O, no clock.
//!
//! [`Service`] is the state of one node for the backends of one service. `docs/design/routing.md` describes
//! the selection and the alternatives that were considered. The estimate and the cap m are those of
//! `join_up_to::join`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod affinity;
mod backend;
mod cost;
mod decaying_rate;
mod health;
mod index;
mod interface;
mod latency_model;
mod prefix_cache;
mod rejection;
mod service;
mod urgency;

pub use index::{IndexChange, parse_prompt_blocks, prompt_block_keys};
pub use interface::*;
pub use policy::Routing as RoutingPolicy;
pub use service::Service;
