//! The retry budget: a fraction of the requests in the last window and a constant number beyond that.

use quickcheck::quickcheck;
use quota::RetryBudget;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> RetryBudget {
    RetryBudget::new(0.15, WINDOW, 2.0)
}

#[test]
fn retries_are_bounded_by_a_fraction_of_recent_requests_and_a_constant() {
    let mut budget = budget();
    let now = Duration::from_secs(100);
    (0..100).for_each(|_| budget.record_request(now));
    let granted = (0..100).filter(|_| budget.try_retry(now)).count();
    assert_eq!(granted, 17);
    assert!(!budget.try_retry(now + WINDOW - Duration::from_millis(500)));
    let later = now + WINDOW + Duration::from_secs(1);
    assert_eq!((0..100).filter(|_| budget.try_retry(later)).count(), 2);
}

quickcheck! {
    fn no_window_has_more_retries_than_its_budget(steps: Vec<(u8, bool)>) -> bool {
        let mut budget = budget();
        let mut now = Duration::from_secs(1);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, request) in steps {
            now += Duration::from_millis(u64::from(pause) * 5);
            if request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_retry(now) {
                retries.push(now);
            }
        }
        // Requests up to half a second before the window count as well, as they are counted in slots of that
        // length.
        let counted_period = WINDOW + Duration::from_millis(500);
        retries.iter().all(|end| {
            let in_window = retries.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count();
            let counted = requests.iter().filter(|at| **at <= *end && **at + counted_period >= *end).count();
            in_window as f64 <= counted as f64 * 0.15 + 2.0
        })
    }
}
