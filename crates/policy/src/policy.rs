//! The complete policy.

use crate::connections::Connections;
use crate::limits::Limits;
use crate::recovery::Recovery;
use crate::retries::Retries;
use crate::routing::Routing;
use serde::Deserialize;

/// The complete policy. Each field is a table of the policy file; `retries` is called `sends` there.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Selection of a backend, and the state of backends that it uses.
    pub routing: Routing,
    /// Time-outs of attempts and retries of requests.
    #[serde(rename = "sends")]
    pub retries: Retries,
    /// Number and reuse of connections to backends.
    pub connections: Connections,
    /// Division of tenants' limits between the quota leader and the nodes.
    pub limits: Limits,
    /// Handling of requests while the node is not ready yet.
    pub recovery: Recovery,
}
