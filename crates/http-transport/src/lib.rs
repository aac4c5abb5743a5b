//! HTTP/1.1 connections on sockets, shared by `standalone-proxy` and `data-plane`: client connections and the
//! heads of their requests, monitored streams to backends, streamed bodies, deadlines of streams, and
//! detection of stalls of the process. Selects no backend and decides nothing about a request.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend_stream;
pub mod body;
pub mod client_connections;
pub mod listeners;
pub mod open_count;
pub mod process_pause;
pub mod rate_limited_log;
pub mod read_ahead;
pub mod request_heads;
pub mod response_framing;
pub mod reuse_delay;
pub mod scoped_task;
pub mod send_permit;
pub mod shared_stream;
pub mod stream_deadline;
pub mod tunnel;
