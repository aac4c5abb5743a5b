//! Checks the observations of a run against the rules of the deployment. Does no I/O and reads no clock.

use crate::configuration::{TENANTS, Tenant, UNLIMITED_TENANT};
use crate::node_settings::{CONFIG_APPLY_BOUND, DRAIN_BOUND};
use crate::observations::{
    AcknowledgedConfiguration, Arrival, Attempt, Location, LostBlock, Observations, Outcome, ReadDocument,
    ReportedMismatch,
};
use crate::request_kind::{MODEL_SERVICE, PLAIN_SERVICE, RequestKind};
use std::collections::HashMap;
use std::time::Duration;

/// A frontend counts as connected if its processes had no fault for this long.
const CONNECTED_AFTER: Duration = Duration::from_millis(3000);
/// How much longer a configuration may take to be in force after a fault of the core.
const UNSTABLE_CORE_ALLOWANCE: Duration = Duration::from_millis(5000);
/// How long after a frontend has served a new route it may still deny the route.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// How far from the recorded time of a kill or restart an interruption is still attributed to it.
const KILL_SLACK: Duration = Duration::from_millis(1500);
/// The window in which a tenant's rate limit is checked.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// The fraction by which a tenant may exceed its limit within the window.
const QUOTA_TOLERANCE: f64 = 0.1;
/// The retry budget: the fraction of requests that the fleet may retry.
const RETRY_RATIO: f64 = 0.2;
/// The number of retries that are allowed beyond that fraction.
const RETRY_SLACK: f64 = 50.0;
/// The number of valid requests that may be denied in any run.
const MAX_DENIED: usize = 5;
/// One more valid request may be denied for each of this number of requests.
const REQUESTS_PER_DENIED: usize = 500;
/// A 5xx before this fraction of the deadline counts as a lost request; later ones are attributed to the
/// deadline.
const EARLY_FAILURE_FRACTION: f64 = 0.9;

/// A rule, and its violations.
#[derive(Clone, Debug)]
pub struct RuleResult {
    /// The rule, in one line.
    pub name: &'static str,
    /// The violations, one line each. Those that are found by request id are in no particular order.
    pub violations: Vec<String>,
}

/// The observations, with indexes by request id.
struct RuleChecker<'a> {
    observations: &'a Observations,
    attempts: HashMap<&'a str, &'a Attempt>,
    executions: HashMap<&'a str, Vec<&'a Arrival>>,
}

/// Checks all rules. The results are in a fixed order.
pub fn check_rules(observations: &Observations) -> Vec<RuleResult> {
    let mut executions: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for execution in observations.arrivals.iter().filter(|arrival| arrival.executed) {
        executions.entry(&execution.request_id).or_default().push(execution);
    }
    let by_id = observations.attempts.iter().map(|attempt| (attempt.request_id.as_str(), attempt));
    let checker = RuleChecker { observations, attempts: by_id.collect(), executions };
    let result = |name, violations| RuleResult { name, violations };
    vec![
        result("requests that are not idempotent run at most once", checker.repeated_executions()),
        result("rejected requests that are not idempotent never run", checker.executed_rejections()),
        result("no request is lost", checker.lost_requests()),
        result("no response contains parts of another", checker.mixed_responses()),
        result("only requests that clients sent are executed, unchanged", checker.unrequested_executions()),
        result("a draining backend gets no new requests after drain_ms", checker.arrivals_after_drain()),
        result("configurations are in force in time, and never rolled back", checker.stale_configurations()),
        result("every coordinator returns the newest acknowledged configuration", checker.wrong_read_backs()),
        result("no tenant exceeds its rate limit", checker.exceeded_quotas()),
        result("retries stay within their budget", checker.exceeded_retry_budgets()),
        result("no process exits by itself", observations.unexpected_exits.clone()),
        result("most requests are served", checker.insufficient_service()),
        result(
            "the index audit reports exactly the prompt blocks that backends lost",
            checker.audit_errors(),
        ),
    ]
}

impl RuleChecker<'_> {
    fn audit_errors(&self) -> Vec<String> {
        let Observations { lost_blocks, mismatches, .. } = self.observations;
        let is_same = |lost: &LostBlock, mismatch: &ReportedMismatch| {
            (&lost.instance, &lost.block) == (&mismatch.instance, &mismatch.block)
        };
        let unreported =
            lost_blocks.iter().filter(|lost| !mismatches.iter().any(|mismatch| is_same(lost, mismatch)));
        let unreported =
            unreported.map(|lost| format!("block {} of {} was not reported", lost.block, lost.instance));
        let invented =
            mismatches.iter().filter(|mismatch| !lost_blocks.iter().any(|lost| is_same(lost, mismatch)));
        let invented = invented.map(|mismatch| {
            format!(
                "block {} of {} was not lost, but reported: {}",
                mismatch.block, mismatch.instance, mismatch.kind
            )
        });
        unreported.chain(invented).collect()
    }

    fn repeated_executions(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (id, executions) in &self.executions {
            let runs_once = self.attempts.get(id).is_some_and(|attempt| !attempt.kind.is_idempotent());
            if runs_once && executions.len() > 1 {
                violations.push(format!("{id} ran {} times", executions.len()));
            }
        }
        violations
    }

    fn executed_rejections(&self) -> Vec<String> {
        let violation = |attempt: &Attempt| {
            let Outcome::Rejected(status) = attempt.outcome else { return None };
            let executed = self.executions.contains_key(attempt.request_id.as_str());
            let is_violation = executed && !attempt.kind.is_idempotent();
            is_violation.then(|| format!("{} was rejected with status {status}, but ran", attempt.request_id))
        };
        self.observations.attempts.iter().filter_map(violation).collect()
    }

    fn lost_requests(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for attempt in &self.observations.attempts {
            let early_failure = attempt.kind.deadline().mul_f64(EARLY_FAILURE_FRACTION);
            let reason = match &attempt.outcome {
                Outcome::Interrupted(error) => error.clone(),
                Outcome::Failed(status) if attempt.ended_at - attempt.sent_at < early_failure => {
                    format!("status {status}")
                }
                _ => continue,
            };
            if !self.data_plane_was_killed(attempt) {
                let frontend = attempt.frontend + 1;
                violations.push(format!("{} at frontend {frontend}: {reason}", attempt.request_id));
            }
        }
        violations
    }

    /// Whether the data plane that handled an attempt was killed or restarted around that time.
    fn data_plane_was_killed(&self, attempt: &Attempt) -> bool {
        self.observations.faults.iter().any(|fault| {
            let is_near =
                fault.at + KILL_SLACK >= attempt.sent_at && fault.at <= attempt.ended_at + KILL_SLACK;
            fault.location == Location::DataPlane(attempt.frontend) && is_near
        })
    }

    fn mixed_responses(&self) -> Vec<String> {
        let attempts = self.observations.attempts.iter();
        let mixed = attempts.filter_map(|attempt| Some((attempt, attempt.mismatch.as_ref()?)));
        mixed.map(|(attempt, mismatch)| format!("{}: {mismatch}", attempt.request_id)).collect()
    }

    fn unrequested_executions(&self) -> Vec<String> {
        let executions = self.observations.arrivals.iter().filter(|arrival| arrival.executed);
        executions
            .filter_map(|execution| {
                Some(format!("{}: {}", execution.request_id, self.difference_from_request(execution)?))
            })
            .collect()
    }

    fn difference_from_request(&self, execution: &Arrival) -> Option<&'static str> {
        let Some(attempt) = self.attempts.get(execution.request_id.as_str()) else {
            return Some("no client sent it");
        };
        if execution.path != attempt.path || execution.body_hash != attempt.body_hash {
            return Some("its path or body was changed");
        }
        if execution.tenant.as_deref() != Some(attempt.tenant) {
            return Some("it ran for another tenant");
        }
        (execution.service != attempt.kind.service()).then_some("another service ran it")
    }

    fn arrivals_after_drain(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for drain in &self.observations.drains {
            let arrivals =
                self.observations.arrivals.iter().filter(|arrival| arrival.instance == drain.instance);
            for arrival in arrivals {
                let delay = arrival.at.saturating_sub(drain.listed_at);
                let attempt = self.attempts.get(arrival.request_id.as_str());
                let was_connected =
                    attempt.is_some_and(|attempt| self.was_connected(attempt.frontend, arrival.at));
                if delay > DRAIN_BOUND && was_connected {
                    violations.push(format!(
                        "{} reached {} {delay:.0?} after its drain was listed",
                        arrival.request_id, drain.instance
                    ));
                }
            }
        }
        violations
    }

    /// Whether the processes of a frontend had no fault for long enough before a time, so that they were
    /// connected.
    fn was_connected(&self, frontend: usize, at: Duration) -> bool {
        !self.had_fault_before(at, |location| match location {
            Location::Agent(number) | Location::DataPlane(number) => number == frontend,
            Location::Core => false,
        })
    }

    fn core_was_stable(&self, at: Duration) -> bool {
        !self.had_fault_before(at, |location| location == Location::Core)
    }

    fn had_fault_before(&self, at: Duration, applies: impl Fn(Location) -> bool) -> bool {
        let is_near = |fault_at: Duration| fault_at <= at && fault_at + CONNECTED_AFTER >= at;
        self.observations.faults.iter().any(|fault| applies(fault.location) && is_near(fault.at))
    }

    fn stale_configurations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for acknowledged in &self.observations.acknowledged {
            let probes = self.probes(acknowledged);
            for probe in probes.iter().filter(|probe| matches!(probe.outcome, Outcome::Denied(_))) {
                if let Some(reason) = self.staleness(probe, acknowledged, &probes) {
                    let (generation, frontend) = (acknowledged.generation, probe.frontend + 1);
                    violations.push(format!(
                        "{}: configuration {generation} at frontend {frontend}: {reason}",
                        probe.request_id
                    ));
                }
            }
        }
        violations.extend(self.too_many_denied());
        violations
    }

    fn too_many_denied(&self) -> Option<String> {
        let is_valid = |attempt: &&Attempt| attempt.kind != RequestKind::Added;
        let requests = self.observations.attempts.iter().filter(is_valid).count();
        let denied = self.observations.attempts.iter().filter(is_valid);
        let denied = denied.filter(|attempt| matches!(attempt.outcome, Outcome::Denied(_))).count();
        (denied > MAX_DENIED + requests / REQUESTS_PER_DENIED)
            .then(|| format!("{denied} of {requests} valid requests were denied"))
    }

    /// The attempts on the route that a configuration added.
    fn probes(&self, acknowledged: &AcknowledgedConfiguration) -> Vec<&Attempt> {
        let Some(prefix) = &acknowledged.added_route else { return Vec::new() };
        self.observations.attempts.iter().filter(|attempt| attempt.path.starts_with(prefix)).collect()
    }

    /// Why a denied probe is a violation: the configuration was not in force in time, or was rolled back.
    /// `None` if it is none.
    fn staleness(
        &self,
        probe: &Attempt,
        acknowledged: &AcknowledgedConfiguration,
        probes: &[&Attempt],
    ) -> Option<String> {
        let delay = probe.sent_at.saturating_sub(acknowledged.at);
        let allowance =
            if self.core_was_stable(probe.sent_at) { Duration::ZERO } else { UNSTABLE_CORE_ALLOWANCE };
        if delay > CONFIG_APPLY_BOUND + allowance && self.was_connected(probe.frontend, probe.sent_at) {
            return Some(format!("not in force after {delay:.0?}"));
        }
        let was_in_force = probes.iter().any(|earlier| {
            earlier.frontend == probe.frontend
                && earlier.outcome == Outcome::Served
                && earlier.ended_at + ROLLBACK_SLACK < probe.sent_at
                && self.same_incarnation(earlier, probe)
        });
        was_in_force.then(|| "an older configuration was in force again".to_string())
    }

    /// Whether the data plane of a frontend was not restarted between two attempts.
    fn same_incarnation(&self, earlier: &Attempt, later: &Attempt) -> bool {
        !self.observations.faults.iter().any(|fault| {
            fault.location == Location::DataPlane(later.frontend)
                && fault.at + KILL_SLACK >= earlier.sent_at
                && fault.at <= later.ended_at
        })
    }

    fn wrong_read_backs(&self) -> Vec<String> {
        let Some(newest) = self.observations.acknowledged.last() else {
            return vec!["no configuration was acknowledged".into()];
        };
        let mut violations = Vec::new();
        for read_back in &self.observations.read_back {
            let coordinator = &read_back.coordinator;
            match &read_back.document {
                ReadDocument::Received(document) if *document == newest.document => {}
                ReadDocument::Received(_) => violations.push(format!(
                    "{coordinator}: returned another configuration than {}",
                    newest.generation
                )),
                ReadDocument::Missing(reason) => violations.push(format!("{coordinator}: {reason}")),
            }
        }
        if self.observations.read_back.is_empty() {
            violations.push("no coordinator was asked for its configuration".into());
        }
        violations
    }

    fn exceeded_quotas(&self) -> Vec<String> {
        let limited = TENANTS.iter().filter(|tenant| tenant.rate_per_s > 0.0);
        limited.filter_map(|tenant| self.exceeded_quota(tenant)).collect()
    }

    fn exceeded_quota(&self, tenant: &Tenant) -> Option<String> {
        let Tenant { name, rate_per_s, .. } = tenant;
        let was_executed = |attempt: &&Attempt| {
            attempt.tenant == *name && self.executions.contains_key(attempt.request_id.as_str())
        };
        let executed = self.observations.attempts.iter().filter(was_executed);
        let mut times: Vec<Duration> = executed.map(|attempt| attempt.sent_at).collect();
        times.sort();
        let most = (rate_per_s * QUOTA_WINDOW.as_secs_f64() + rate_per_s) * (1.0 + QUOTA_TOLERANCE);
        let mut first = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + QUOTA_WINDOW < *at {
                first += 1;
            }
            let count = last - first + 1;
            if count as f64 > most {
                return Some(format!(
                    "{name}: {count} requests ran within {QUOTA_WINDOW:?}, the limit is {most:.0}"
                ));
            }
        }
        None
    }

    fn exceeded_retry_budgets(&self) -> Vec<String> {
        let services = [MODEL_SERVICE, PLAIN_SERVICE].into_iter();
        services.filter_map(|service| self.exceeded_retry_budget(service)).collect()
    }

    fn exceeded_retry_budget(&self, service: &str) -> Option<String> {
        let arrivals = self.observations.arrivals.iter().filter(|arrival| arrival.service == service);
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for arrival in arrivals {
            *counts.entry(&arrival.request_id).or_default() += 1;
        }
        let retries: usize = counts.values().map(|count| count - 1).sum();
        let of_service = |attempt: &&Attempt| attempt.kind.service() == service;
        let requests = self.observations.attempts.iter().filter(of_service).count();
        (retries as f64 > RETRY_RATIO * requests as f64 + RETRY_SLACK)
            .then(|| format!("{service}: {retries} retries of {requests} requests arrived"))
    }

    fn insufficient_service(&self) -> Vec<String> {
        let is_counted = |attempt: &&Attempt| {
            attempt.kind != RequestKind::Added && attempt.tenant == UNLIMITED_TENANT.name
        };
        let requests = self.observations.attempts.iter().filter(is_counted).count();
        let served = self.observations.attempts.iter().filter(is_counted);
        let served = served.filter(|attempt| attempt.outcome == Outcome::Served).count();
        if served * 2 > requests {
            Vec::new()
        } else {
            vec![format!("{served} of {requests} requests were served")]
        }
    }
}
