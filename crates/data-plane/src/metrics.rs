//! The counters and gauges of the data plane, and the events that change them.

use crate::request_error::RequestError;
use crate::retry_safety::ExecutionEvidence;
use control_protocol::{BackendListVersion, ConfigurationSequence};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use role_runtime::metrics::{MetricsSource, counter, gauge};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cause {
    cause: &'static str,
}

/// The counters and gauges of a data plane.
pub struct DataPlaneMetrics {
    registry: Registry,
    requests: Counter,
    local_responses: Family<Cause, Counter>,
    attempts: Family<Cause, Counter>,
    retries: Counter,
    active_sequence: Gauge,
    list_version: Gauge,
}

impl Default for DataPlaneMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("marlwinch_data_plane");
        let requests = counter(&mut registry, "requests", "Requests received from clients");
        let retries = counter(&mut registry, "repeats", "Retries, which are limited by the retry budget");
        let active_sequence =
            gauge(&mut registry, "in_force_sequence", "Sequence number of the active configuration");
        let list_version = gauge(&mut registry, "list_version", "Version of the current list of backends");
        let (local_responses, attempts) = (Family::default(), Family::default());
        registry.register(
            "own_answers",
            "Error responses that the node made itself, by cause",
            local_responses.clone(),
        );
        registry.register(
            "sends",
            "Attempts at backends, by what they prove about the execution of the request",
            attempts.clone(),
        );
        DataPlaneMetrics {
            registry,
            requests,
            local_responses,
            attempts,
            retries,
            active_sequence,
            list_version,
        }
    }
}

impl DataPlaneMetrics {
    /// Adds one to the requests received from clients.
    pub fn request_received(&self) {
        self.requests.inc();
    }

    /// Counts an error response that the node made itself.
    pub fn local_response(&self, error: RequestError) {
        let cause = match error {
            RequestError::Malformed => "bad",
            RequestError::Unauthorized => "unauthorized",
            RequestError::NoRoute => "no_route",
            RequestError::BodyTimeout => "slow_body",
            RequestError::BodyTooLarge => "too_large",
            RequestError::QuotaExceeded(_) => "over_quota",
            RequestError::Unavailable(_) => "refused",
            RequestError::BackendFailed => "failed",
            RequestError::BackendTimeout => "timed_out",
        };
        self.local_responses.get_or_create(&Cause { cause }).inc();
    }

    /// Counts an attempt that has failed or whose response has started.
    pub fn attempt_ended(&self, evidence: ExecutionEvidence) {
        let cause = match evidence {
            ExecutionEvidence::NotWritten => "not_written",
            ExecutionEvidence::Rejected => "rejected",
            ExecutionEvidence::Misdirected => "misdirected",
            ExecutionEvidence::MayHaveRun => "may_have_run",
        };
        self.attempts.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a retry.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Records the sequence number of the active configuration.
    pub fn configuration_applied(&self, sequence: ConfigurationSequence) {
        self.active_sequence.set(sequence.number() as i64);
    }

    /// Records the version of the current list of backends.
    pub fn backend_list_applied(&self, version: BackendListVersion) {
        self.list_version.set(version.number() as i64);
    }
}

impl MetricsSource for DataPlaneMetrics {
    fn refresh(&self) {}

    fn registry(&self) -> &Registry {
        &self.registry
    }
}
