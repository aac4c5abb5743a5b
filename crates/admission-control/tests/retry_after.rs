//! Retry times of rejected clients are spread evenly.

use admission_control::retry_after::RetryAfterSpread;
use std::time::Duration;

#[test]
fn retry_times_are_spread_evenly_over_the_range() {
    let mut spread = RetryAfterSpread::default();
    let mut seconds = [0; 8];
    for _ in 0..8000 {
        let retry_after = spread.next(Duration::from_secs(1), 8.0);
        assert!((1.0..=8.0).contains(&retry_after.as_secs_f64()), "{retry_after:?}");
        seconds[retry_after.as_secs() as usize] += 1;
    }
    let (least, most) = (seconds[1..].iter().min(), seconds[1..].iter().max());
    assert!(least.is_some_and(|n| *n > 1100) && most.is_some_and(|n| *n < 1200), "{seconds:?}");
    assert_eq!(spread.next(Duration::ZERO, 3.0), Duration::ZERO, "a minimum of 0 gives no wait");
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(spread.next(Duration::from_secs(1), odd) <= Duration::from_secs(8));
    }
}
