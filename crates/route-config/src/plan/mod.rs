//! The compiled form of a valid file: the settings of each cluster's balancer, the routing table and the
//! limits. Compiling can't fail, as all errors of the file were found before.

mod clusters;
mod compilation;
mod gate;
mod routes;

pub use compilation::compile;

use crate::admission::Limit;
use crate::model::{Log, Trace};
use crate::resolve::ResolvedSettings;
use crate::route::{Captures, RouteTable};
use crate::target::EncodedSlash;
use http::HeaderName;
use http_forwarding::forward::Forwarding;
use http_forwarding::framing::LineEndings;
use join_up_to::{Repeat, RetryBudget, ServerEntry, Settings};
use std::net::SocketAddr;
use std::time::Duration;

/// A valid file, compiled.
#[derive(Debug)]
pub struct Plan {
    /// The node's name.
    pub name: String,
    /// The seed of the random number generator; `None` for a different one at each start.
    pub seed: Option<u64>,
    /// The maximum number of file descriptors of the node.
    pub max_sockets: usize,
    /// The maximum memory for connections and requests in flight, in bytes.
    pub max_memory: u64,
    /// Whether `%2F` in a path is kept, or the request is rejected.
    pub encoded_slash: EncodedSlash,
    /// The request header that names the tenant.
    pub tenant_header: HeaderName,
    /// The names of the tenants; empty if the file has none.
    pub tenants: Vec<String>,
    /// The retry budget over all clusters.
    pub retry_budget: RetryBudget,
    /// The header fields that inform backends about the client.
    pub forwarding: Forwarding,
    /// Whether heads with lines that end in LF alone are accepted.
    pub line_endings: LineEndings,
    /// How long responses in progress may continue after a shutdown has begun; `None` for no limit.
    pub stream_end: Option<Duration>,
    /// The format of the log, and the fraction of exchanges that is logged.
    pub log: Log,
    /// The address where metrics are served; `None` to serve none.
    pub admin: Option<SocketAddr>,
    /// Where accepted requests are recorded; `None` to record none.
    pub trace: Option<Trace>,
    /// The addresses to listen on.
    pub listeners: Vec<SocketAddr>,
    /// The clusters.
    pub clusters: Vec<ClusterPlan>,
    /// The routing table. Its routes have the same indices as `routes`.
    pub table: RouteTable,
    /// The routes, by their index in the table.
    pub routes: Vec<RoutePlan>,
    /// The limits, by [`RoutePlan::limit`].
    pub limits: Vec<Limit>,
}

/// A compiled cluster.
#[derive(Debug)]
pub struct ClusterPlan {
    /// Its name.
    pub name: String,
    /// The settings of its balancer.
    pub settings: Settings,
    /// The settings of its admission gate.
    pub gate: admission_control::GateSettings,
    /// Its backends.
    pub backends: Vec<BackendPlan>,
    /// The time after which a backend closes an idle connection.
    pub idle_close: Duration,
    /// Whether a newly added backend is assumed to have just started, and so to need warming up.
    pub new_backends_warm_up: bool,
}

/// A backend as the balancer sees it, and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPlan {
    /// Its name.
    pub name: String,
    /// Its entry in the balancer's list of servers.
    pub entry: ServerEntry,
    /// The address where it listens.
    pub address: SocketAddr,
}

/// Where the idempotency key of a keyed request is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// In this header, which is also forwarded unchanged.
    Header(HeaderName),
    /// In the capture of the path with this index.
    Capture(usize),
}

/// A piece of a rewritten path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathPiece {
    /// Literal text.
    Text(String),
    /// The text of the capture with this index.
    Capture(usize),
}

/// A compiled route.
#[derive(Debug)]
pub struct RoutePlan {
    /// Its name, or one that is made of its conditions if the file does not set it.
    pub name: String,
    /// The name of its class.
    pub class_name: String,
    /// The index of its cluster.
    pub cluster: usize,
    /// The index of the class of its requests in the cluster's settings.
    pub class: usize,
    /// Whether and where its requests may be repeated.
    pub repeat: Repeat,
    /// The index of its limits.
    pub limit: usize,
    /// Where the idempotency key of its requests is found; `None` if they are not keyed.
    pub key: Option<KeySource>,
    /// The index of the capture that identifies the resource that a request concerns.
    pub subject: Option<usize>,
    /// The path that is forwarded; `None` for the requested one.
    pub rewrite: Option<Vec<PathPiece>>,
    /// The settings of its requests, after inheritance.
    pub settings: ResolvedSettings,
    /// Its index in the file.
    pub route_in_file: usize,
    /// The index of its class in the file.
    pub class_in_file: usize,
}

impl RoutePlan {
    /// The path that is forwarded for a normalized path and its captures; `None` if the route does not
    /// rewrite it.
    pub fn forwarded_path(&self, path: &str, captures: &Captures) -> Option<String> {
        let pieces = self.rewrite.as_ref()?;
        let text = |piece: &PathPiece| match piece {
            PathPiece::Text(text) => text.clone(),
            PathPiece::Capture(number) => captures.get(path, *number).unwrap_or_default().to_string(),
        };
        Some(pieces.iter().map(text).collect())
    }
}
