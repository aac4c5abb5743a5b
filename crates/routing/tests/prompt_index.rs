//! The audited prompt index: which changes it reports, and how corrections are applied.

mod common;

use common::{engine_service, prompt_request};
use routing::*;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn forward(service: &mut Service, now: Duration, request: &RequestShape) -> (AttemptId, BackendId) {
    match service.decide(now, request, &[]) {
        Decision::Forward { attempt, backend, .. } => (attempt, backend),
        rejection => panic!("the request is rejected: {rejection:?}"),
    }
}

/// A service with one backend, whose index is audited.
fn audited_service() -> Service {
    let mut service = engine_service(1, 4, 1);
    service.set_audited(true);
    service
}

fn keys(request: &RequestShape) -> Vec<u64> {
    prompt_block_keys(&request.model, &request.blocks)
}

#[test]
fn blocks_are_reported_once_they_are_prefilled_and_only_once() {
    let mut service = audited_service();
    let request = prompt_request(1, 1);
    let (first, backend) = forward(&mut service, at(0), &request);
    assert_eq!(service.index_changes(), []);
    service.response_started(at(100), first);
    let changes = service.index_changes();
    let expected: Vec<IndexChange> = keys(&request)
        .into_iter()
        .zip(&request.blocks)
        .map(|(key, block)| IndexChange { backend: backend.clone(), block: key, tokens: Some(block.tokens) })
        .collect();
    assert_eq!(changes, expected);
    service.attempt_ended(at(200), first, Outcome::Served, None);
    let (second, _) = forward(&mut service, at(300), &request);
    service.attempt_ended(at(400), second, Outcome::Served, None);
    assert_eq!(service.index_changes(), []);
    assert_eq!(service.complete_index().len(), 3);
}

#[test]
fn blocks_of_requests_that_are_not_served_are_not_reported() {
    let mut service = audited_service();
    for (number, outcome) in [Outcome::Rejected, Outcome::Cancelled, Outcome::Failed].into_iter().enumerate()
    {
        let (attempt, _) =
            forward(&mut service, at(number as u64 * 1000), &prompt_request(number as u64, number as u64));
        service.attempt_ended(at(number as u64 * 1000 + 10), attempt, outcome, None);
    }
    assert_eq!(service.index_changes(), []);
    assert_eq!(service.complete_index(), []);
}

#[test]
fn blocks_that_are_expected_to_be_evicted_are_reported_as_such() {
    let mut service = audited_service();
    // The cache holds 400,000 tokens. Requests of a topic share 6,300 and have 2,890 of their own.
    let first = prompt_request(1, 0);
    for own in 0..140 {
        let (attempt, _) = forward(&mut service, at(own * 100), &prompt_request(1, own));
        service.attempt_ended(at(own * 100 + 50), attempt, Outcome::Served, None);
    }
    let own = keys(&first)[2];
    let changes = service.index_changes();
    let of_first: Vec<Option<u32>> =
        changes.iter().filter(|change| change.block == own).map(|change| change.tokens).collect();
    assert_eq!(of_first, [Some(2890), None]);
    let shared = keys(&first)[0];
    assert!(changes.iter().all(|change| change.block != shared || change.tokens.is_some()));
}

#[test]
fn corrections_are_applied_and_reported() {
    let mut service = audited_service();
    let request = prompt_request(1, 1);
    let (attempt, backend) = forward(&mut service, at(0), &request);
    service.attempt_ended(at(100), attempt, Outcome::Served, None);
    service.index_changes();
    let dropped = keys(&request)[2];
    service.correct_index(&backend, dropped, None);
    service.correct_index(&backend, dropped, None);
    assert_eq!(
        service.index_changes(),
        [IndexChange { backend: backend.clone(), block: dropped, tokens: None }]
    );
    service.correct_index(&backend, 77, Some(500));
    let found = IndexChange { backend: backend.clone(), block: 77, tokens: Some(500) };
    assert_eq!(service.index_changes(), [found]);
    service.correct_index(&BackendId("nobody".into()), 77, Some(500));
    assert_eq!(service.index_changes(), []);
}

#[test]
fn requests_go_to_the_backend_where_an_audit_has_found_their_blocks() {
    let mut service = engine_service(8, 1, 3);
    service.set_audited(true);
    let request = prompt_request(2, 1);
    let (attempt, first) = forward(&mut service, at(0), &request);
    service.attempt_ended(at(50), attempt, Outcome::Cancelled, None);
    service.correct_index(&first, keys(&request)[0], None);
    service.correct_index(&first, keys(&request)[1], None);
    service.correct_index(&first, keys(&request)[2], None);
    let other = (0..8).map(common::id).find(|id| *id != first).expect("a second backend");
    for (key, block) in keys(&request).into_iter().zip(&request.blocks) {
        service.correct_index(&other, key, Some(block.tokens));
    }
    let (_, backend) = forward(&mut service, at(20_000), &request);
    assert_eq!(backend, other);
}

#[test]
fn an_index_that_is_not_audited_reports_nothing() {
    let mut service = engine_service(2, 4, 1);
    let (attempt, _) = forward(&mut service, at(0), &prompt_request(1, 1));
    service.attempt_ended(at(100), attempt, Outcome::Served, None);
    assert_eq!((service.index_changes(), service.complete_index()), (Vec::new(), Vec::new()));
}

#[test]
fn a_block_key_depends_on_the_model_and_all_preceding_blocks() {
    let blocks = [PromptBlock { id: 1, tokens: 10 }, PromptBlock { id: 2, tokens: 20 }];
    let keys = prompt_block_keys("m", &blocks);
    assert_eq!(keys, prompt_block_keys("m", &blocks));
    assert_eq!(keys[0], prompt_block_keys("m", &blocks[..1])[0]);
    assert_ne!(keys[1], prompt_block_keys("m", &blocks[1..])[0]);
    assert_ne!(keys[0], prompt_block_keys("n", &blocks[..1])[0]);
    // Backends compute the same values, so that they must not change.
    assert_eq!(format!("{:016x} {:016x}", keys[0], keys[1]), "aaa3972e462a1a92 f8929d3eec64863d");
}
