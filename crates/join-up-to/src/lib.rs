//! The decision logic of a load-balancing proxy, without I/O.
//!
//! A [`Balancer`] receives the events of one node and returns actions: which server a request is sent to, when
//! it is retried, hedged, rejected or failed. Its policy is Join-Up-To(m); as in the paper, backends are called
//! servers. It reads no clock and shares no state with other nodes; the same events always give the same
//! actions.
//!
//! [`join`] contains the policy alone, for other programs that select a server; [`settings`] parses the settings
//! of a platform.
//!
//! ```
//! use join_up_to::*;
//! use std::time::Duration;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let server = ServerEntry {
//!     id: ServerId(1), zone: 0, kind: 0, cell: 0, state: ServerState::Ready, weight: 1.0, started: None,
//! };
//! let list = Event::List { kind: ListKind::Full, version: 1, entries: vec![server] };
//! balancer.handle(Duration::from_millis(1), list, &mut actions);
//! let request = NewRequest {
//!     id: RequestId(9), class: 0, tenant: 0, key: 0, remaining: Duration::from_millis(900),
//!     cost: None, client_retry: false,
//! };
//! balancer.handle(Duration::from_millis(2), Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: RequestId(9), server: ServerId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod balance;
mod interface;
pub mod join;
pub mod rate;
pub mod settings;
mod state;
mod throttle;
mod weights;

pub use balance::Balancer;
pub use interface::*;
