//! The compiled form of a valid file: the settings of a balancer for each cluster, the table of routes, the limits.
//! Decides nothing more: errors of the file were found before.

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
    /// The seed of random numbers; `None` for another one at each start.
    pub seed: Option<u64>,
    /// The maximum number of file descriptors of the node.
    pub max_sockets: usize,
    /// The maximum memory for connections and requests in flight, in bytes.
    pub max_memory: u64,
    /// Whether `%2F` in a path is kept, or such a request rejected.
    pub encoded_slash: EncodedSlash,
    /// The header that names the tenant.
    pub tenant_header: HeaderName,
    /// The tenants by name; empty where requests have no tenant.
    pub tenants: Vec<String>,
    /// The budget of retries over all clusters.
    pub retry_budget: RetryBudget,
    /// The fields that tell backends of clients.
    pub forwarding: Forwarding,
    /// How strictly line endings of heads are checked.
    pub line_endings: LineEndings,
    /// How long responses in progress go on after a shutdown began; `None` for no limit.
    pub stream_end: Option<Duration>,
    /// The format of the log, and which exchanges are logged.
    pub log: Log,
    /// Where metrics are served.
    pub admin: Option<SocketAddr>,
    /// Where accepted requests are recorded.
    pub trace: Option<Trace>,
    /// Where to listen.
    pub listeners: Vec<SocketAddr>,
    /// The clusters.
    pub clusters: Vec<ClusterPlan>,
    /// Finds a request's route.
    pub table: RouteTable,
    /// The routes, by the numbers in the table.
    pub routes: Vec<RoutePlan>,
    /// The limits, by their numbers in routes.
    pub limits: Vec<Limit>,
}

/// A cluster.
#[derive(Debug)]
pub struct ClusterPlan {
    /// Its name.
    pub name: String,
    /// The settings of its balancer.
    pub settings: Settings,
    /// The settings of its gate.
    pub gate: admission_control::GateSettings,
    /// Its backends.
    pub backends: Vec<BackendPlan>,
    /// How long a backend keeps an idle connection.
    pub idle_close: Duration,
    /// Whether a backend that is added later counts as just started.
    pub new_backends_warm_up: bool,
}

/// A backend as the balancer sees it, and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPlan {
    /// Its name.
    pub name: String,
    /// Its entry of the list.
    pub entry: ServerEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where the key of a keyed request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// In this header, which is forwarded unchanged.
    Header(HeaderName),
    /// In the capture of the path with this number.
    Capture(usize),
}

/// A piece of a rewritten path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathPiece {
    /// This text.
    Text(String),
    /// The text of the capture with this number.
    Capture(usize),
}

/// A route.
#[derive(Debug)]
pub struct RoutePlan {
    /// Its name, or one made of its conditions.
    pub name: String,
    /// The name of its class.
    pub class_name: String,
    /// The number of its cluster.
    pub cluster: usize,
    /// The class of its requests, by its number in the cluster's settings.
    pub class: usize,
    /// How far its requests may be repeated.
    pub repeat: Repeat,
    /// The number of its limits.
    pub limit: usize,
    /// Where the key of its requests is, if they are keyed.
    pub key: Option<KeySource>,
    /// The number of the capture that identifies what a request is about.
    pub subject: Option<usize>,
    /// The path that is forwarded, if not the one that arrived.
    pub rewrite: Option<Vec<PathPiece>>,
    /// The settings of its requests.
    pub settings: ResolvedSettings,
    /// Its number in the file.
    pub route_in_file: usize,
    /// The number of its class in the file.
    pub class_in_file: usize,
}

impl RoutePlan {
    /// The path that is forwarded for a normalized one; `None` if that is the same.
    pub fn forwarded_path(&self, path: &str, captures: &Captures) -> Option<String> {
        let pieces = self.rewrite.as_ref()?;
        let text = |piece: &PathPiece| match piece {
            PathPiece::Text(text) => text.clone(),
            PathPiece::Capture(number) => captures.get(path, *number).unwrap_or_default().to_string(),
        };
        Some(pieces.iter().map(text).collect())
    }
}
