//! The platform's node: its configuration, discovery, routing, console, and the handover of its listening
//! socket. A node that runs from a file uses none of this.
//!
//! - [`config`]: the configuration with which the node is started.
//! - `settings`: the part of the configuration that may change while the node runs.
//! - `endpoint_registry`, `json_segments`, `discovery`: the list of backends, and the watch that receives it.
//! - `router`: determines the class and the tenant of a request.
//! - `console`: answers calls of operators.
//! - `handover`: passes the listening socket to a successor process.
//! - `reload`: applies a changed configuration.
//! - [`run`]: connects these parts and runs the node.

pub mod config;
mod console;
mod discovery;
mod endpoint_registry;
mod handover;
mod json_segments;
mod reload;
mod router;
pub mod run;
mod settings;
