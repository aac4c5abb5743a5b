//! Tests of `classes`, which see its private items.

use super::*;
use crate::interface::{RetryBudget, Settings};

#[test]
fn a_removed_class_is_kept_only_while_a_request_uses_it() {
    let class = |target| Class {
        latency_target: Duration::from_millis(target),
        ..Settings::default().classes[0].clone()
    };
    let mut classes = Classes::new(&[class(1), class(2)]);
    let slot = classes.add_request(1, Duration::ZERO);
    for round in 0..100 {
        classes.replace(&[class(1), class(3 + round)]);
        assert_eq!(classes[slot], class(2), "the class is the one with which the request arrived");
        let unchanged = classes.add_request(0, Duration::ZERO);
        assert_eq!(unchanged, ClassSlot(0), "an unchanged class keeps its slot");
        classes.remove_request(unchanged);
    }
    classes.remove_request(slot);
    classes.replace(&[class(1), class(2), class(4)]);
    assert!(classes.slots() <= 4, "{} slots", classes.slots());
}

#[test]
fn a_budget_grows_with_requests_and_with_time_up_to_a_maximum() {
    let mut class = Settings::default().classes[0].clone();
    class.attempt_policy.retry_budget = Some(RetryBudget { share: 0.5, per_s: 2.0 });
    let mut classes = Classes::new(&[class]);
    let left = |classes: &Classes, s| classes.retries_left(ClassSlot(0), Duration::from_secs(s));
    assert_eq!(left(&classes, 0), Some(1.0));
    classes.add_request(0, Duration::ZERO);
    assert_eq!(
        (left(&classes, 0), left(&classes, 1), left(&classes, 100)),
        (Some(1.5), Some(3.5), Some(12.0))
    );
    classes.spend_retry(ClassSlot(0), Duration::from_secs(1));
    assert_eq!(left(&classes, 1), Some(2.5));
}
