//! Typed messages between coordinators, agents and proxies, and their encoding as frames. No I/O, no clock.
//!
//! Renamed variants and fields keep their previous names on the wire by `#[serde(rename)]`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent;
mod backend;
mod backend_list_version;
pub mod backend_table;
mod backends;
mod configuration_sequence;
mod frame;
mod index;
mod proxy;
mod quota;

pub use agent::{CoreMember, FromAgent, ToAgent};
pub use backend::{Backend, BackendState, instance_key};
pub use backend_list_version::BackendListVersion;
pub use backends::{BackendChanges, BackendList, list_digest, list_digest_set};
pub use configuration_sequence::ConfigurationSequence;
pub use frame::{FrameError, MAX_FRAME_BYTES, decode, encode};
pub use index::{IndexChange, MAX_INDEX_CHANGES_PER_MESSAGE};
pub use proxy::{FromProxy, QUOTA_REQUEST_INTERVAL_MS, ToProxy};
pub use quota::{QuotaDemand, QuotaGrant, QuotaRequest, QuotaResponse};

/// The version of the protocol. A peer with another version is rejected at its hello.
pub const VERSION: u16 = 2;
