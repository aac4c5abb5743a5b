//! Each rule reports its kind of violation, and nothing for observations without one.

use fleet_demo::observations::{
    AcknowledgedConfiguration, Arrival, Attempt, Drain, Location, LostBlock, Observations, Outcome,
    ProcessFault, ReadBack, ReadDocument, ReportedMismatch, hash,
};
use fleet_demo::request_kind::{MODEL_SERVICE, PLAIN_SERVICE, RequestKind};
use fleet_demo::rules::check_rules;
use fleet_demo::tables;
use std::time::Duration;

const BACKENDS: [(&str, &str); 2] = [("i-reader", MODEL_SERVICE), ("i-tally", PLAIN_SERVICE)];

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn attempt(id: &str, kind: RequestKind, sent: u64) -> Attempt {
    Attempt {
        request_id: id.into(),
        kind,
        tenant: "desk",
        frontend: 0,
        path: format!("/{}/{id}", kind.name()),
        body_hash: hash(b""),
        sent_at: ms(sent),
        first_byte: Some(ms(20)),
        ended_at: ms(sent + 50),
        outcome: Outcome::Served,
        mismatch: None,
    }
}

fn arrival(of: &Attempt, at: u64) -> Arrival {
    let (instance, service) = BACKENDS[usize::from(!of.kind.is_stream())];
    Arrival {
        request_id: of.request_id.clone(),
        at: ms(at),
        service,
        instance: instance.into(),
        path: of.path.clone(),
        tenant: Some(of.tenant.into()),
        body_hash: of.body_hash,
        resume_after: None,
        executed: true,
    }
}

/// Observations without a violation: one served request of each kind, and a configuration that added a route.
fn valid_observations() -> Observations {
    let mut observations = Observations::default();
    for (number, kind) in RequestKind::ALL.into_iter().enumerate() {
        let mut each = attempt(&format!("r-{number}"), kind, 1000);
        if kind == RequestKind::Added {
            each.path = format!("/added-3/{}", each.request_id);
        }
        observations.arrivals.push(arrival(&each, 1010));
        observations.attempts.push(each);
    }
    let document = "{3}".to_string();
    let added_route = Some("/added-3/".to_string());
    observations.acknowledged.push(AcknowledgedConfiguration {
        generation: 3,
        added_route,
        document: document.clone(),
        at: ms(900),
    });
    observations
        .read_back
        .push(ReadBack { coordinator: "core-1".into(), document: ReadDocument::Received(document) });
    observations
}

/// The names of the rules that the valid observations violate after a change.
fn broken_rules(change: impl FnOnce(&mut Observations)) -> Vec<&'static str> {
    let mut observations = valid_observations();
    change(&mut observations);
    check_rules(&observations)
        .into_iter()
        .filter(|rule| !rule.violations.is_empty())
        .map(|rule| rule.name)
        .collect()
}

#[test]
fn observations_without_a_violation_break_no_rule() {
    assert_eq!(broken_rules(|_| {}), [""; 0]);
    let shown = tables::format_observations(&valid_observations())
        + &tables::format_rules(&check_rules(&valid_observations()));
    assert!(shown.contains("+100 ms") && shown.matches("  kept    ").count() == 13, "{shown}");
}

#[test]
fn a_second_execution_is_a_violation_unless_the_request_is_idempotent() {
    let again = |index: usize| {
        move |observations: &mut Observations| {
            observations.arrivals.push(observations.arrivals[index].clone())
        }
    };
    assert_eq!(broken_rules(again(0)), ["requests that are not idempotent run at most once"]);
    assert_eq!(broken_rules(again(2)), ["requests that are not idempotent run at most once"]);
    assert_eq!(broken_rules(again(1)), [""; 0], "a stream that may be resumed");
    assert_eq!(broken_rules(again(3)), [""; 0], "a safe call");
    let rejected = |observations: &mut Observations| {
        let first = observations.arrivals[0].clone();
        observations.arrivals.push(Arrival { executed: false, ..first });
    };
    assert_eq!(broken_rules(rejected), [""; 0], "a backend rejected the second arrival without executing it");
}

#[test]
fn the_audit_reports_each_lost_block_for_its_backend_and_no_other_block() {
    const RULE: &str = "the index audit reports exactly the prompt blocks that backends lost";
    let lost = |instance: &str, block: &str| LostBlock {
        at: ms(10),
        instance: instance.into(),
        block: block.into(),
    };
    let reported = |instance: &str, block: &str| ReportedMismatch {
        at: ms(4000),
        instance: instance.into(),
        block: block.into(),
        kind: "dropped".into(),
    };
    assert_eq!(
        broken_rules(|observations| observations.lost_blocks.push(lost("i-reader", "a1"))),
        [RULE],
        "not reported"
    );
    assert_eq!(
        broken_rules(|observations| observations.mismatches.push(reported("i-reader", "a1"))),
        [RULE],
        "reported, but not lost"
    );
    let elsewhere = |observations: &mut Observations| {
        observations.lost_blocks.push(lost("i-reader", "a1"));
        observations.mismatches.push(reported("i-other", "a1"));
    };
    assert_eq!(broken_rules(elsewhere), [RULE], "reported for another backend");
    let reported_correctly = |observations: &mut Observations| {
        observations.lost_blocks.push(lost("i-reader", "a1"));
        observations.mismatches.push(reported("i-reader", "a1"));
    };
    assert_eq!(broken_rules(reported_correctly), [""; 0]);
}

#[test]
fn an_executed_request_must_not_be_rejected_unless_it_is_idempotent() {
    let rejected = |index: usize| {
        move |observations: &mut Observations| observations.attempts[index].outcome = Outcome::Rejected(503)
    };
    assert_eq!(broken_rules(rejected(0)), ["rejected requests that are not idempotent never run"]);
    assert_eq!(broken_rules(rejected(3)), [""; 0], "a safe call may have been executed");
}

#[test]
fn an_interrupted_response_is_a_loss_unless_its_data_plane_was_killed() {
    let interrupted = |observations: &mut Observations| {
        observations.attempts[0].outcome = Outcome::Interrupted("reset".into())
    };
    assert_eq!(broken_rules(interrupted), ["no request is lost"]);
    let with_fault = |location| {
        move |observations: &mut Observations| {
            interrupted(observations);
            observations.faults.push(ProcessFault { at: ms(1020), location });
        }
    };
    assert_eq!(broken_rules(with_fault(Location::DataPlane(0))), [""; 0]);
    assert_eq!(broken_rules(with_fault(Location::DataPlane(1))), ["no request is lost"]);
    assert_eq!(broken_rules(with_fault(Location::Core)), ["no request is lost"]);
    assert_eq!(
        broken_rules(|observations| observations.attempts[0].outcome = Outcome::Failed(502)),
        ["no request is lost"]
    );
}

#[test]
fn only_requests_that_a_client_sent_may_be_executed() {
    let rule = ["only requests that clients sent are executed, unchanged"];
    assert_eq!(broken_rules(|observations| observations.arrivals[0].path += "x"), rule);
    assert_eq!(broken_rules(|observations| observations.arrivals[0].body_hash ^= 1), rule);
    assert_eq!(broken_rules(|observations| observations.arrivals[0].tenant = None), rule);
    assert_eq!(broken_rules(|observations| observations.arrivals[0].service = PLAIN_SERVICE), rule);
    assert_eq!(broken_rules(|observations| observations.arrivals[0].request_id = "r-unknown".into()), rule);
}

#[test]
fn a_response_with_parts_of_another_is_a_violation() {
    let mixed = |observations: &mut Observations| {
        observations.attempts[1].mismatch = Some("it is for another".into())
    };
    assert_eq!(broken_rules(mixed), ["no response contains parts of another"]);
}

#[test]
fn a_request_after_the_drain_bound_is_a_violation_unless_its_frontend_was_disconnected() {
    let drained = |listed_at: u64| {
        move |observations: &mut Observations| {
            observations.drains.push(Drain { instance: BACKENDS[0].0.into(), listed_at: ms(listed_at) });
            let late = attempt("r-late", RequestKind::Form, 6000);
            observations.arrivals.push(arrival(&late, 6010));
            observations.attempts.push(late);
        }
    };
    assert_eq!(broken_rules(drained(3000)), ["a draining backend gets no new requests after drain_ms"]);
    assert_eq!(broken_rules(drained(3020)), [""; 0]);
    let disconnected = |observations: &mut Observations| {
        drained(3000)(observations);
        observations.faults.push(ProcessFault { at: ms(4000), location: Location::Agent(0) });
    };
    assert_eq!(broken_rules(disconnected), [""; 0]);
}

#[test]
fn a_configuration_must_be_in_force_in_time_and_not_be_rolled_back() {
    let denied = |sent: u64, frontend: usize| {
        move |observations: &mut Observations| {
            let mut probe = attempt("r-probe", RequestKind::Added, sent);
            (probe.path, probe.outcome) = ("/added-3/r-probe".into(), Outcome::Denied(404));
            probe.frontend = frontend;
            observations.attempts.push(probe);
        }
    };
    let rule = ["configurations are in force in time, and never rolled back"];
    assert_eq!(broken_rules(denied(2800, 1)), [""; 0], "still in time");
    assert_eq!(broken_rules(denied(2950, 1)), rule, "late");
    assert_eq!(broken_rules(denied(1400, 0)), rule, "it was in force before");
    let restarted = |observations: &mut Observations| {
        denied(1400, 0)(observations);
        observations.faults.push(ProcessFault { at: ms(1200), location: Location::DataPlane(0) });
    };
    assert_eq!(broken_rules(restarted), [""; 0]);
    let unstable = |observations: &mut Observations| {
        denied(2950, 1)(observations);
        observations.faults.push(ProcessFault { at: ms(1000), location: Location::Core });
    };
    assert_eq!(broken_rules(unstable), [""; 0]);
}

#[test]
fn every_coordinator_must_return_the_newest_configuration() {
    let rule = ["every coordinator returns the newest acknowledged configuration"];
    let read = |document: ReadDocument| {
        move |observations: &mut Observations| {
            observations.read_back.push(ReadBack { coordinator: "core-2".into(), document });
        }
    };
    assert_eq!(broken_rules(read(ReadDocument::Received("{2}".into()))), rule);
    assert_eq!(broken_rules(read(ReadDocument::Missing("no answer".into()))), rule);
    assert_eq!(broken_rules(|observations| observations.read_back.clear()), rule);
    assert_eq!(broken_rules(read(ReadDocument::Received("{3}".into()))), [""; 0]);
}

#[test]
fn the_rate_limit_of_a_tenant_holds_in_every_window() {
    // 6 per second for 8 s, a burst of 6, and a tolerance of a tenth: at most 59 requests.
    let visitors = |count: u64, interval_ms: u64| {
        move |observations: &mut Observations| {
            for number in 0..count {
                let mut each =
                    attempt(&format!("v-{number}"), RequestKind::Lookup, 1000 + number * interval_ms);
                each.tenant = "visitors";
                observations.arrivals.push(arrival(&each, 1010 + number * interval_ms));
                observations.attempts.push(each);
            }
        }
    };
    assert_eq!(broken_rules(visitors(59, 10)), [""; 0]);
    assert_eq!(broken_rules(visitors(60, 10)), ["no tenant exceeds its rate limit"]);
    assert_eq!(broken_rules(visitors(600, 167)), [""; 0]);
}

#[test]
fn a_process_that_exits_by_itself_is_a_violation() {
    let crashed =
        |observations: &mut Observations| observations.unexpected_exits.push("agent of frontend-1".into());
    assert_eq!(broken_rules(crashed), ["no process exits by itself"]);
}

#[test]
fn too_many_retries_and_too_few_served_requests_are_violations() {
    let retries = |observations: &mut Observations| {
        for _ in 0..60 {
            let first = observations.arrivals[3].clone();
            observations.arrivals.push(first);
        }
    };
    assert_eq!(broken_rules(retries), ["retries stay within their budget"]);
    let timed_out = |observations: &mut Observations| {
        for each in &mut observations.attempts {
            each.outcome = Outcome::TimedOut;
        }
    };
    assert_eq!(broken_rules(timed_out), ["most requests are served"]);
}
