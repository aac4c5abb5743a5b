//! The side of the clients: accepted connections, request heads, admission limits, responses. Sends nothing
//! to a backend and selects none.
//!
//! - [`serve`]: accepts connections and serves each of them.
//! - [`request`]: handles a request from its head to its response.
//! - [`request_router`]: the interface by which the two kinds of node route a request by its head.
//! - [`admission`]: enforces the limits of the operator's file.
//! - [`fingerprint`], [`response`]: parts of [`request`].
//! - [`state`]: the state that all connections share.

pub mod admission;
mod fingerprint;
mod request;
pub mod request_router;
mod response;
pub mod serve;
pub mod state;
