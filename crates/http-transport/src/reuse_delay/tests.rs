//! Unit tests of the private items of the parent module.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn the_delay_follows_the_latest_bytes_within_bounds_and_expires() {
    let delay = ReuseDelay::new(100 * MS);
    assert_eq!(delay.current(), MIN_DELAY);
    assert!(!delay.record_late_bytes(MS), "within the shortest delay");
    assert!(delay.record_late_bytes(7 * MS) && delay.current() == 14 * MS);
    assert!(!delay.record_late_bytes(4 * MS) && delay.current() == 14 * MS, "the latest counts");
    assert!(
        !delay.record_late_bytes(Duration::from_secs(2)) && delay.current() == 14 * MS,
        "no delay could separate these"
    );
    assert!(delay.record_late_bytes(20 * MS) && delay.current() == MAX_DELAY);
    tokio::time::advance(OBSERVATION_LIFETIME).await;
    assert_eq!(delay.current(), MIN_DELAY);
}

#[tokio::test(start_paused = true)]
async fn the_delay_does_not_exceed_its_maximum() {
    let delay = ReuseDelay::new(5 * MS);
    assert!(!delay.record_late_bytes(20 * MS) && delay.current() == MIN_DELAY);
    assert!(delay.record_late_bytes(4 * MS) && delay.current() == 5 * MS);
    delay.set_max(MS);
    assert_eq!(delay.current(), MIN_DELAY);
}
