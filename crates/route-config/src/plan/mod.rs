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

/// A valid file, compiled. Routes refer to clusters, classes and limits by index.
#[derive(Debug)]
pub struct Plan {
    /// The name of the node in logs; `marlwinch` if the file does not set it.
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
    /// The addresses where clients connect.
    pub listeners: Vec<SocketAddr>,
    /// The clusters, by [`RoutePlan::cluster`].
    pub clusters: Vec<ClusterPlan>,
    /// The routing table. Its routes have the same indices as `routes`.
    pub table: RouteTable,
    /// The routes, by their index in the table.
    pub routes: Vec<RoutePlan>,
    /// The limits, by [`RoutePlan::limit`].
    pub limits: Vec<Limit>,
}

/// A cluster with the classes of its routes, for its balancer and its admission gate.
#[derive(Debug)]
pub struct ClusterPlan {
    /// The name in the file, unique among clusters.
    pub name: String,
    /// The settings of the cluster's balancer.
    pub settings: Settings,
    /// The settings of the cluster's admission gate.
    pub gate: admission_control::GateSettings,
    /// The backends of the cluster, in the order of the file.
    pub backends: Vec<BackendPlan>,
    /// The time after which a backend closes an idle connection.
    pub idle_close: Duration,
    /// Whether a newly added backend is assumed to have just started, and so to need warming up.
    pub new_backends_warm_up: bool,
}

/// A backend as the balancer sees it, and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPlan {
    /// The name in the file, which the id in `entry` is the hash of.
    pub name: String,
    /// The backend's entry in the balancer's list of servers.
    pub entry: ServerEntry,
    /// The IP address and port where the backend listens.
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
    /// Text that is forwarded as it is written in the rewrite.
    Text(String),
    /// The text of the capture with this index.
    Capture(usize),
}

/// A route with its settings after inheritance, and the indices of what it refers to.
#[derive(Debug)]
pub struct RoutePlan {
    /// The name for logs and limits; one is made of the conditions if the file does not set it.
    pub name: String,
    /// The name of the class in the file.
    pub class_name: String,
    /// The index in [`Plan::clusters`].
    pub cluster: usize,
    /// The index of the requests' class in [`ClusterPlan::settings`].
    pub class: usize,
    /// Whether requests may be repeated, and at which backends.
    pub repeat: Repeat,
    /// The index in [`Plan::limits`].
    pub limit: usize,
    /// Where the idempotency key of a request is found; `None` if requests are not keyed.
    pub key: Option<KeySource>,
    /// The index of the capture that identifies the resource that a request concerns.
    pub subject: Option<usize>,
    /// The path that is forwarded; `None` for the requested one.
    pub rewrite: Option<Vec<PathPiece>>,
    /// The settings of requests on this route, after inheritance.
    pub settings: ResolvedSettings,
    /// The index in [`File::routes`](crate::model::File::routes).
    pub route_in_file: usize,
    /// The index in [`File::classes`](crate::model::File::classes).
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
