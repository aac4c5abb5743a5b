//! Requests for quota from the tenants' limits, and the grants of the quota leader.
//!
//! A grant has two parts. The amount is prepaid: the quota leader subtracts it from the fleet's token bucket
//! when it grants it, and the node may use it at any time. The fallback rate is what the node may admit per
//! second while it has no contact with a quota leader.

use serde::{Deserialize, Serialize};

/// A node's request to the quota leader, which also serves as its heartbeat. It lists only the tenants for
/// which the node needs quota or has use to report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The number of the request, which the response repeats as [`QuotaResponse::request_id`]. Increases by
    /// one with each request.
    pub number: u64,
    /// The number of the newest request that has received a response; 0 for none.
    #[serde(rename = "answered")]
    pub last_answered: u64,
    /// The time since that request was sent, in milliseconds. Without such a request, the time since the
    /// node's process started.
    #[serde(rename = "answered_ms")]
    pub last_answered_ms_ago: u64,
    /// The node's needs, one entry per tenant.
    pub demands: Vec<QuotaDemand>,
}

/// What a node needs of a tenant's limit. All amounts are in the tenant's unit: requests or tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// The tenant's name in the operator's configuration.
    pub tenant: String,
    /// The costs of the requests that wait for a grant.
    pub waiting: Vec<f64>,
    /// The amount that the node's reserve is short of its target.
    pub top_up: f64,
    /// The fallback rate per second that the node has at present; 0 before any was granted.
    #[serde(rename = "continuing")]
    pub fallback_rate: f64,
    /// The amount that the node has admitted without a grant since its process started.
    #[serde(rename = "alone")]
    pub used_without_grants: f64,
    /// The cost of the requests that the node has rejected since its last quota request without requesting
    /// quota for them.
    #[serde(rename = "turned_away", default)]
    pub rejected_cost: f64,
}

/// The quota leader's response to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// The number of the request ([`QuotaRequest::number`]).
    #[serde(rename = "question")]
    pub request_id: u64,
    /// The epoch of the quota leader: the number of the view in which it leads.
    pub epoch: u64,
    /// The number that the quota leader has given to this response.
    pub number: u64,
    /// The number of frontend nodes that share the limits.
    pub nodes: u32,
    /// The grants, one for each requested tenant that has a limit.
    #[serde(rename = "allotments")]
    pub grants: Vec<QuotaGrant>,
}

/// What a node is granted of a tenant's limit: the response to a [`QuotaDemand`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The tenant's name in the operator's configuration.
    pub tenant: String,
    /// The prepaid amount, in the tenant's unit.
    pub amount: f64,
    /// The rate per second that the node may use while it has no contact with a quota leader.
    #[serde(rename = "continuing")]
    pub fallback_rate: f64,
    /// The amount that remained in the fleet's token bucket, for all nodes together, after this grant.
    #[serde(rename = "left")]
    pub remaining: f64,
    /// The time until the quota leader can grant something again, in milliseconds; 0 if nothing was refused.
    pub wait_ms: u64,
    /// The time after which a rejected client is likely to be admitted, in milliseconds; 0 if nothing was
    /// refused.
    pub retry_ms: u64,
    /// The recent demand of all nodes as a multiple of what can be granted; 1 or less if all of it can be
    /// granted.
    #[serde(default)]
    pub pressure: f64,
}
