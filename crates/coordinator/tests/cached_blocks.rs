//! Parsing of the responses in which backends report the prompt blocks that they cache.

use coordinator::cached_blocks::parse_report;
use index_audit::{AuditError, BackendKey};
use range_digest::{KeyRange, RangeContent, RangeDigest};

#[test]
fn responses_with_digests_or_items_are_parsed() {
    let parts: Vec<String> = (0..16).map(|count| format!(r#"{{"count":{count},"sum":"ff"}}"#)).collect();
    let body = format!(r#"{{"instance_id":"i-1","count":120,"sum":"ff0","parts":[{}]}}"#, parts.join(","));
    let report = parse_report(body.as_bytes()).expect("a report");
    assert_eq!(report.backend, BackendKey(control_protocol::instance_key("i-1")));
    assert_eq!(report.digest, RangeDigest { count: 120, sum: 0xff0 });
    assert_eq!(report.verify(report.backend), Ok(()));
    let body = br#"{"instance_id":"i-1","count":1,"sum":"0","items":[["8000000000000001",300]]}"#;
    let mut report = parse_report(body).expect("a report");
    assert_eq!(report.content, RangeContent::Items(vec![(0x8000_0000_0000_0001, 300)]));
    assert_eq!(report.verify(report.backend), Err(AuditError::DigestMismatch));
    report.digest = [(0x8000_0000_0000_0001, 300)]
        .into_iter()
        .collect::<range_digest::DigestedSet>()
        .digest(KeyRange::ALL);
    assert_eq!(report.verify(report.backend), Ok(()));
    assert_eq!(report.verify(BackendKey(1)), Err(AuditError::InstanceMismatch));
}

#[test]
fn an_invalid_response_is_rejected_with_the_reason() {
    let cases: [(&str, &str); 6] = [
        ("", "EOF"),
        (r#"{"instance_id":"i","count":1,"sum":"0"}"#, "one of parts and items"),
        (r#"{"instance_id":"i","count":1,"sum":"0","parts":[],"items":[]}"#, "one of parts and items"),
        (r#"{"instance_id":"i","count":1,"sum":"xyz","items":[]}"#, "\"xyz\""),
        (r#"{"instance_id":"i","count":1,"sum":"0","items":[["g",1]]}"#, "\"g\""),
        (r#"{"instance_id":"i","count":-1,"sum":"0","items":[]}"#, "invalid value"),
    ];
    for (body, reason) in cases {
        match parse_report(body.as_bytes()) {
            Err(AuditError::Malformed(problem)) => assert!(problem.contains(reason), "{body}: {problem}"),
            other => panic!("{body}: {other:?}"),
        }
    }
}
