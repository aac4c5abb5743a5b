//! Additional attempts over all clusters of a node stay within the budget.

use admission_control::retry_storm::{AttemptKind, RetryBudget, RetryStormGuard};
use std::time::Duration;

#[test]
fn additional_attempts_stop_at_the_budget_and_are_allowed_again_later() {
    let mut guard = RetryStormGuard::new(RetryBudget { share: 0.2, per_s: 1.0 });
    let (mut made, mut first) = (0, 0);
    for i in 0..10_000u64 {
        let now = Duration::from_millis(10 * i);
        first += 1;
        guard.record_attempt(now, AttemptKind::First);
        // All attempts fail and are retried if the budget allows it.
        if !guard.is_exceeded(now) {
            made += 1;
            guard.record_attempt(now, AttemptKind::Additional);
        }
    }
    let share = f64::from(made) / f64::from(first);
    assert!((0.1..0.25).contains(&share), "{share}");
    assert!(!guard.is_exceeded(Duration::from_secs(1000)));
}

#[test]
fn rejections_use_up_the_budget() {
    for (rejected, exceeded) in [(1, false), (5, true)] {
        let mut guard = RetryStormGuard::new(RetryBudget { share: 0.2, per_s: 1.0 });
        for i in 0..2000u64 {
            let now = Duration::from_millis(10 * i);
            guard.record_attempt(now, AttemptKind::First);
            (0..rejected).for_each(|_| guard.record_rejection(now));
        }
        assert_eq!(
            guard.is_exceeded(Duration::from_secs(20)),
            exceeded,
            "{rejected} rejections per first attempt"
        );
    }
}

#[test]
fn with_little_traffic_a_few_additional_attempts_are_always_allowed() {
    let mut guard = RetryStormGuard::new(RetryBudget { share: 0.2, per_s: 10.0 });
    assert!(
        (0..5u64).all(|i| !guard.record_attempt(Duration::from_millis(400 * i), AttemptKind::Additional))
    );
}
