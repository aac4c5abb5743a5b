//! The log of the executions of all backends of an environment, by request id, and the check of the execution
//! rules against it.

use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

// The log is stored as JSON in reports and golden files: `rename` keeps the names that they have there.

/// An execution of a request by a backend. A request that is deduplicated by its idempotency key is not
/// executed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Execution {
    /// The name of the backend.
    #[serde(rename = "by")]
    pub backend: String,
    /// The site of the backend.
    pub site: String,
    /// The path of the request, without its query.
    pub path: String,
    /// The idempotency key of the request; `None` without one.
    pub key: Option<String>,
    /// When the last byte of the request was received, since the start of the environment.
    #[serde(rename = "came")]
    pub received_at: Duration,
    /// When the execution completed, since the start of the environment; `None` while it runs, or if the
    /// backend stopped before.
    #[serde(rename = "ended")]
    pub completed_at: Option<Duration>,
}

/// The index of an execution among those of the same request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionIndex(usize);

/// An event at a backend other than an execution.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Observation {
    /// A request arrived after discovery had published that the backend drains or is removed.
    #[serde(rename = "AfterDrain")]
    RequestAfterDrain {
        /// The name of the backend.
        #[serde(rename = "by")]
        backend: String,
        /// The id of the request.
        #[serde(rename = "id")]
        request_id: String,
        /// The time from the publication to the arrival.
        #[serde(rename = "after")]
        delay: Duration,
    },
    /// A backend crashed because it was overloaded while it warmed up.
    #[serde(rename = "FellOver")]
    Crash {
        /// The name of the backend.
        #[serde(rename = "by")]
        backend: String,
        /// When it crashed, since the start of the environment.
        at: Duration,
    },
}

/// The number of requests that backends have executed, rejected and deduplicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// Executions, of which a request may have several.
    pub executions: usize,
    /// Requests that were rejected without execution.
    pub rejected: u64,
    /// Requests that were not executed because their idempotency keys were known.
    pub deduplicated: u64,
}

/// The executions, observations and counts of an environment.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    executions: HashMap<String, Vec<Execution>>,
    observations: Vec<Observation>,
    rejected: u64,
    deduplicated: u64,
}

/// The outcome of a request for its client, as far as the rules depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientOutcome {
    /// A response with status 200.
    Served,
    /// A response with status 429 or 503, after which a retry is safe.
    #[serde(rename = "Refused")]
    Rejected,
    /// A response with another status.
    Failed,
    /// No response, or an incomplete one.
    Lost,
}

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionLimit {
    /// Any number of times.
    Unlimited,
    /// Once per idempotency key. Only backends of one site share the keys that they know.
    OncePerKey,
    /// At most once.
    Once,
}

/// A violation of an execution rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The number of the rule. 1: each request gets a complete response, and is executed if it is served. 2:
    /// a rejected request is not executed, and none more often than its limit allows. 3: no request goes to a
    /// backend after the grace period of its drain. 4: no backend crashes while it warms up.
    pub rule: u8,
    /// The id of the request; empty if the violation is not about a request.
    #[serde(rename = "id")]
    pub request_id: String,
    /// A description for people.
    #[serde(rename = "what")]
    pub description: String,
}

impl RuleViolation {
    fn new(rule: u8, request_id: &str, description: impl Into<String>) -> Self {
        RuleViolation { rule, request_id: request_id.to_string(), description: description.into() }
    }
}

impl ExecutionLog {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        // No change leaves the entries inconsistent, so they are valid even if a task has panicked.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of an execution. Returns the index by which its completion is recorded.
    pub fn record_start(&self, request_id: &str, execution: Execution) -> ExecutionIndex {
        let mut entries = self.lock();
        let executions = entries.executions.entry(request_id.to_string()).or_default();
        executions.push(execution);
        ExecutionIndex(executions.len() - 1)
    }

    /// Records the completion of an execution at a time since the start of the environment.
    pub fn record_completion(&self, request_id: &str, index: ExecutionIndex, at: Duration) {
        let mut entries = self.lock();
        let executions = entries.executions.get_mut(request_id);
        if let Some(execution) = executions.and_then(|executions| executions.get_mut(index.0)) {
            execution.completed_at = Some(at);
        }
    }

    /// Records an event other than an execution.
    pub fn record_observation(&self, observation: Observation) {
        self.lock().observations.push(observation);
    }

    /// Counts a request that was rejected without execution.
    pub fn record_rejection(&self) {
        self.lock().rejected += 1;
    }

    /// Counts a request that was not executed because its idempotency key was known.
    pub fn record_deduplication(&self) {
        self.lock().deduplicated += 1;
    }

    /// The executions of a request id in the order of their starts; empty for an unknown id.
    pub fn executions_of(&self, request_id: &str) -> Vec<Execution> {
        self.lock().executions.get(request_id).cloned().unwrap_or_default()
    }

    /// A copy of all executions by request id.
    pub fn all_executions(&self) -> HashMap<String, Vec<Execution>> {
        self.lock().executions.clone()
    }

    /// A copy of all observations, in the order in which they were recorded.
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().observations.clone()
    }

    /// The counts so far.
    pub fn counts(&self) -> ExecutionCounts {
        let entries = self.lock();
        ExecutionCounts {
            executions: entries.executions.values().map(Vec::len).sum(),
            rejected: entries.rejected,
            deduplicated: entries.deduplicated,
        }
    }

    /// Checks the rules. `outcomes` are the outcomes for clients by request id, `limit_of` returns the
    /// execution limit of a path, and `grace` is the time after the publication of a drain in which requests
    /// may still arrive at the backend. Returns the violations, sorted by rule and request id.
    pub fn check_rules<'a>(
        &self,
        outcomes: impl IntoIterator<Item = (&'a str, ClientOutcome)>,
        limit_of: impl Fn(&str) -> ExecutionLimit,
        grace: Duration,
    ) -> Vec<RuleViolation> {
        let entries = self.lock();
        let mut violations = entries.outcome_violations(outcomes, &limit_of);
        violations.extend(entries.limit_violations(&limit_of));
        violations.extend(entries.observed_violations(grace));
        violations.sort_by(|a, b| (a.rule, &a.request_id).cmp(&(b.rule, &b.request_id)));
        violations
    }
}

impl Entries {
    /// Rules 1 and 2: responses that contradict the executions.
    fn outcome_violations<'a>(
        &self,
        outcomes: impl IntoIterator<Item = (&'a str, ClientOutcome)>,
        limit_of: &impl Fn(&str) -> ExecutionLimit,
    ) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for (id, outcome) in outcomes {
            let executions = self.executions.get(id).map_or(&[][..], Vec::as_slice);
            match (outcome, executions.first()) {
                (ClientOutcome::Lost, _) => {
                    violations.push(RuleViolation::new(1, id, "no whole answer came"));
                }
                (ClientOutcome::Served, None) => {
                    violations.push(RuleViolation::new(1, id, "served, and no box has run it"));
                }
                (ClientOutcome::Rejected, Some(first))
                    if limit_of(&first.path) != ExecutionLimit::Unlimited =>
                {
                    let description = format!("refused, and {} has run it", first.backend);
                    violations.push(RuleViolation::new(2, id, description));
                }
                _ => {}
            }
        }
        violations
    }

    /// Rule 2: requests that were executed more often than allowed.
    fn limit_violations(&self, limit_of: &impl Fn(&str) -> ExecutionLimit) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for (id, executions) in self.executions.iter().filter(|(_, executions)| executions.len() > 1) {
            match limit_of(&executions[0].path) {
                ExecutionLimit::Once => {
                    let backends: Vec<_> = executions.iter().map(|run| run.backend.as_str()).collect();
                    let description = format!("must never run twice, and ran at {}", backends.join(" and "));
                    violations.push(RuleViolation::new(2, id, description));
                }
                // Backends of one site share their keys: a second execution is at another site, or after the
                // deduplication window.
                ExecutionLimit::OncePerKey => {
                    let sites: Vec<_> = executions.iter().map(|run| run.site.as_str()).collect();
                    let description =
                        format!("keyed, and ran {} times, at {}", executions.len(), sites.join(" and "));
                    violations.push(RuleViolation::new(2, id, description));
                }
                ExecutionLimit::Unlimited => {}
            }
        }
        violations
    }

    /// Rules 3 and 4: violations that backends have observed.
    fn observed_violations(&self, grace: Duration) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for observation in &self.observations {
            match observation {
                Observation::RequestAfterDrain { backend, request_id, delay } if *delay > grace => {
                    let description = format!("came to {backend} {delay:?} after its drain was told");
                    violations.push(RuleViolation::new(3, request_id, description));
                }
                Observation::Crash { backend, at } => {
                    let description = format!("{backend} was cold and fell over at {at:?}");
                    violations.push(RuleViolation::new(4, "", description));
                }
                Observation::RequestAfterDrain { .. } => {}
            }
        }
        violations
    }
}

#[cfg(test)]
mod tests;
