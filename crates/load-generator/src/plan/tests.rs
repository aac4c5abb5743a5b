//! Tests of `plan`, which see its private items.

use super::*;
use crate::trace;

const VALID: &str = include_str!("valid.toml");

#[test]
fn a_plan_gives_the_same_requests_each_time() {
    let plan = Plan::read(VALID).expect("a good plan");
    let requests: Vec<_> = plan.requests().collect();
    assert!(requests.len().abs_diff(1050) < 150, "{}", requests.len());
    assert!(requests.is_sorted_by_key(|request| request.at));
    assert!(requests.iter().zip(plan.requests()).all(|(a, b)| (a.at, a.drawn) == (b.at, b.drawn)));
    assert_eq!((plan.classes[0].timeout_ms, plan.clients.honour_share), (1000, 0.8));
}

#[test]
fn invalid_plans_are_rejected_with_an_error_that_names_the_cause() {
    for (valid, invalid, expected) in [
        ("rate = 100", "rate = nan", "rate"),
        ("rate = 100", "rate = 1e9", "rate"),
        ("for = \"10s\"", "", "for"),
        ("for = \"10s\"", "for = \"0s\"", "the plan sends nothing"),
        ("\"10s\"", "10", "string"),
        ("weight = 68", "weight = -1", "weight"),
        ("\"/tally/{key}\"", "\"/tally/{keys}\"", "not a valid path"),
        ("\"/tally/{key}\"", "\"tally\"", "not a valid path"),
        ("method = \"GET\"", "method = \"get\"", "not a valid method"),
        ("connections = 64", "connections = 0", "connection"),
        ("seed = 3", "sed = 3", "sed"),
        ("\"50%\"", "\"150%\"", "share"),
        ("kind = \"burst\"", "kind = \"bust\"", "bust"),
    ] {
        assert!(VALID.contains(valid), "{valid}");
        let error = Plan::read(&VALID.replace(valid, invalid)).expect_err(invalid).to_string();
        assert!(error.contains(expected), "{invalid}: {error}");
    }
}

#[test]
fn a_plan_of_a_trace_has_its_times_classes_and_tenants() {
    let text = b"{\"t\":1,\"method\":\"GET\",\"target\":\"/a\",\"class\":\"x\",\"tenant\":\"p\"}\n\
            {\"t\":3,\"method\":\"POST\",\"target\":\"/b\",\"class\":\"y\"}\n";
    let from = Plan::steady(1.0, Duration::from_secs(1), "GET", "/").expect("a plan");
    let plan = Plan::from_trace(trace::read(text, 4.0), &from).expect("a plan");
    let requests: Vec<_> =
        plan.requests().map(|request| (request.at, request.drawn.class, request.drawn.tenant)).collect();
    assert_eq!(requests, [(Duration::ZERO, 0, Some(0)), (Duration::from_millis(500), 1, None)]);
    assert!(Plan::from_trace(trace::read(b"", 1.0), &from).is_err());
}
