//! Counters of requests by outcome, incremented when a request completes.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use replication::RequestOutcome;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

type OutcomeFamily = Family<OutcomeLabel, Counter>;

/// The counters of changes, reads and read indexes by outcome.
#[derive(Default)]
pub struct OutcomeCounters {
    changes: OutcomeFamily,
    reads: OutcomeFamily,
    read_indexes: OutcomeFamily,
}

impl OutcomeCounters {
    /// Registers the counters. Metrics and labels keep their older names, which differ from those of the
    /// code.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "changes",
            "Configuration changes requested by operators, by outcome",
            self.changes.clone(),
        );
        registry.register("reads", "Reads of the configuration, by outcome", self.reads.clone());
        registry.register(
            "proofs",
            "Read-index requests that confirm the newest configuration, by outcome",
            self.read_indexes.clone(),
        );
    }

    /// Counts a change with the outcome that its response has.
    pub fn record_change(&self, outcome: &RequestOutcome) {
        let label = match outcome {
            RequestOutcome::Committed { .. } => "taken",
            RequestOutcome::Conflict { .. } | RequestOutcome::NotHigher { .. } => "refused",
            RequestOutcome::TooOld { .. } => "too_old",
            RequestOutcome::Current(_) | RequestOutcome::ReadIndex { .. } | RequestOutcome::Unknown => {
                "unclear"
            }
        };
        increment(&self.changes, label);
    }

    /// Counts a change that was rejected because its document is invalid.
    pub fn record_invalid_change(&self) {
        increment(&self.changes, "invalid");
    }

    /// Counts a read of the configuration: any outcome but the current configuration counts as unclear.
    pub fn record_read(&self, outcome: &RequestOutcome) {
        let label = if matches!(outcome, RequestOutcome::Current(_)) { "answered" } else { "unclear" };
        increment(&self.reads, label);
    }

    /// Counts a read-index request: any outcome but a confirmed read index counts as unclear.
    pub fn record_read_index(&self, outcome: &RequestOutcome) {
        let label = if matches!(outcome, RequestOutcome::ReadIndex { .. }) { "proven" } else { "unclear" };
        increment(&self.read_indexes, label);
    }
}

fn increment(counters: &OutcomeFamily, outcome: &'static str) {
    counters.get_or_create(&OutcomeLabel { outcome }).inc();
}
