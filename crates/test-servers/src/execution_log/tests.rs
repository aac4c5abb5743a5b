//! Tests of `execution_log`, which see its private items.

use super::*;

fn execution(backend: &str, site: &str, path: &str) -> Execution {
    Execution {
        backend: backend.into(),
        site: site.into(),
        path: path.into(),
        key: None,
        received_at: Duration::ZERO,
        completed_at: None,
    }
}

#[test]
fn violations_of_each_rule_are_found() {
    let log = ExecutionLog::default();
    for (id, site, path) in [
        ("once", "a", "/correct"),
        ("twice", "a", "/correct"),
        ("twice", "a", "/correct"),
        ("refused", "a", "/correct"),
        ("spilt", "a", "/submit"),
        ("spilt", "b", "/submit"),
        ("free", "a", "/look"),
        ("free", "b", "/look"),
    ] {
        log.record_start(id, execution("box", site, path));
    }
    let delay = Duration::from_secs(3);
    log.record_observation(Observation::RequestAfterDrain {
        backend: "box".into(),
        request_id: "late".into(),
        delay,
    });
    log.record_observation(Observation::RequestAfterDrain {
        backend: "box".into(),
        request_id: "soon".into(),
        delay: Duration::from_secs(1),
    });
    log.record_observation(Observation::Crash { backend: "box".into(), at: delay });
    let limit_of = |path: &str| match path {
        "/correct" => ExecutionLimit::Once,
        "/submit" => ExecutionLimit::OncePerKey,
        _ => ExecutionLimit::Unlimited,
    };
    let outcomes = [
        ("once", ClientOutcome::Served),
        ("twice", ClientOutcome::Failed),
        ("refused", ClientOutcome::Rejected),
        ("free", ClientOutcome::Rejected),
        ("nobody", ClientOutcome::Served),
        ("lost", ClientOutcome::Lost),
    ];
    let violations = log.check_rules(outcomes, limit_of, Duration::from_secs(2));
    let found: Vec<_> =
        violations.iter().map(|violation| (violation.rule, violation.request_id.as_str())).collect();
    assert_eq!(
        found,
        [(1, "lost"), (1, "nobody"), (2, "refused"), (2, "spilt"), (2, "twice"), (3, "late"), (4, "")]
    );
}
