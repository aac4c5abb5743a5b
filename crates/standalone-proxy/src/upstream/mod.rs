//! The side of the backends: connections to each of them, attempts and health checks, and their results.
//! Starts no attempt on its own.
//!
//! - [`messages`]: the data of an exchange.
//! - [`pool`]: idle connections, and the sockets that all clusters share.
//! - [`backend_client`]: the connections to the backends of a cluster, by the list of backends.
//! - [`connect`]: provides the connection for an exchange.
//! - [`response`]: reads a response.
//! - [`exchange`]: one request and its response, within their deadlines.
//! - [`attempt`]: attempts and health checks.

pub mod attempt;
pub mod backend_client;
mod connect;
mod exchange;
pub mod load_report;
pub mod messages;
pub mod pool;
mod response;
