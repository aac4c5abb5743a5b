//! The rules of HTTP forwarding, as pure functions and state machines: no I/O, no clock, no runtime.
//!
//! - [`framing`]: where a request ends, and whether two readers of its head could disagree about that.
//! - [`forward`]: which header fields are forwarded, and what a backend learns about the client.
//! - [`attempt`]: what the end of an attempt proves about the execution of its request, and whether a retry
//!   is allowed.
//! - [`local_response`]: when a local response replaces the error response of a backend.
//!
//! This package says what is allowed. Which backend an attempt goes to, and whether an allowed retry is made,
//! is decided in `join-up-to` and `routing`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt;
pub mod forward;
pub mod framing;
pub mod local_response;
