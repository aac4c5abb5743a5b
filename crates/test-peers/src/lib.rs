//! Blocking test peers on loopback: clients, backends and listening sockets that send and expect exact bytes.
//! Waiting longer than [`PEER_TIMEOUT`] fails the test; nothing else depends on time.
//!
//! # Panics
//! All functions panic if a system call fails or the other side does not do what the test expects, which
//! fails the test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![expect(clippy::expect_used, reason = "a panic fails the test that uses the peer")]

mod closed_port;
mod listener;
mod message;
mod peer;

pub use closed_port::ClosedPort;
pub use listener::Listener;
pub use message::Message;
pub use peer::Peer;

use std::time::Duration;

/// How long a peer waits for an expected connection or for expected bytes.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(30);
