//! Tests of `throttle`, which see its private items.

use super::*;

/// The rejection fraction of a node after `seconds` at 40 requests per second. `time_left` is the fraction of
/// its time that an attempt has left at its end, by the number of the request.
fn rejected_after(seconds: u32, time_left: impl Fn(u32) -> f64) -> f64 {
    let mut throttle = Throttle::new(Duration::from_millis(1500));
    let mut rejected = 0.0;
    for tick in 0..seconds * 40 {
        let now = Duration::from_secs(1000) + Duration::from_millis(25) * tick;
        rejected += throttle.rejection_fraction(now).max(0.0);
        if rejected >= 1.0 {
            rejected -= 1.0;
            throttle.record_rejection(now);
        } else {
            throttle.record_attempt(now, time_left(tick));
        }
    }
    throttle.rejection_fraction(Duration::from_secs(1000 + u64::from(seconds)))
}

#[test]
fn nothing_is_rejected_while_responses_have_time_left() {
    assert!(rejected_after(5, |_| 0.7) <= 0.0);
    assert!(
        rejected_after(5, |tick| if tick % 12 == 0 { 0.0 } else { 0.75 }) <= 0.0,
        "one late response in twelve does not indicate overload"
    );
}

#[test]
fn late_responses_cause_rejections_until_the_remaining_attempts_respond_in_time() {
    let late = rejected_after(5, |_| 0.0);
    assert!((0.6..0.95).contains(&late), "{late}");
    let back = rejected_after(8, |tick| if tick < 200 { 0.0 } else { 0.8 });
    assert!(back <= 0.0, "three seconds after the last late response: {back}");
}

#[test]
fn a_single_late_response_at_a_node_with_little_traffic_causes_few_rejections() {
    let mut throttle = Throttle::new(Duration::from_millis(1500));
    let now = Duration::from_secs(1000);
    assert!(throttle.rejection_fraction(now) <= 0.0);
    throttle.record_attempt(now, 0.0);
    assert!(throttle.rejection_fraction(now) < 0.3);
    assert!(throttle.rejection_fraction(now + Duration::from_secs(1)) <= 0.0, "decayed after a second");
}
