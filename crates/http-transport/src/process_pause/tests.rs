//! Unit tests of the private items of the parent module.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_gap_of_the_threshold_is_a_stall_and_a_clock_check_interval_is_not() {
    let start = Instant::now();
    let mut history = StallHistory::new(start);
    for reading in 1..100u32 {
        assert!(!history.record(start + reading * CLOCK_CHECK_INTERVAL));
    }
    let last = history.last_reading;
    assert!(!history.record(last + STALL_THRESHOLD - MS) && history.catching_up_since.is_none());
    let last = history.last_reading;
    assert!(history.record(last + STALL_THRESHOLD));
    assert_eq!((history.catching_up_since, history.count), (Some(last), 1));
    // A second stall before the input of the first is read: what is read may be as old as the first.
    assert!(history.record(last + 2 * STALL_THRESHOLD));
    assert_eq!((history.catching_up_since, history.count), (Some(last), 2));
    // Time that runs backwards, as another thread's reading may have been later, is no stall.
    assert!(!history.record(last));
    assert!(!history.record(last + 2 * STALL_THRESHOLD + MS));
}

#[test]
fn stalled_time_within_a_span_counts_the_latest_stalls() {
    let start = Instant::now();
    let mut history = StallHistory::new(start);
    history.record(start + 1000 * MS);
    history.record(start + 1100 * MS);
    history.record(start + 3100 * MS);
    assert_eq!(history.stalled_since(start), 3000 * MS);
    assert_eq!(history.stalled_since(start + 500 * MS), 2500 * MS);
    assert_eq!(history.stalled_since(start + 1050 * MS), 2000 * MS);
    assert_eq!(history.stalled_since(start + 2100 * MS), 1000 * MS);
    assert_eq!(history.stalled_since(start + 3100 * MS), Duration::ZERO);
}

/// Random sequences of iterations and stops, one for each seed. Bytes arrive at any time and are read at the
/// next iteration: the reported earliest arrival is later than the real one by less than the threshold; no
/// iteration counts as a stall; and the stalled time is exact.
#[test]
fn the_earliest_arrival_is_never_later_than_the_real_arrival() {
    for seed in 0..2000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = Instant::now();
        let (mut now, mut history) = (start, StallHistory::new(start));
        let (mut stalls, mut spans) = (0, Vec::new());
        for _ in 0..rng.random_range(1..60) {
            let stop = rng.random_bool(0.2);
            let (least, most) = if stop { (300, 6000) } else { (0, 299) };
            let (before, gap) = (now, Duration::from_millis(rng.random_range(least..=most)));
            // The bytes arrive at some moment between two iterations.
            let arrival = before + gap.mul_f64(rng.random_range(0.0..=1.0));
            now += gap;
            assert_eq!(history.record(now), stop, "seed {seed}");
            let earliest = history.catching_up_since.unwrap_or(now);
            assert!(earliest <= arrival || arrival + STALL_THRESHOLD > earliest, "seed {seed}");
            if stop {
                assert!(
                    earliest <= before,
                    "seed {seed}: it may have arrived right at the start of the stall"
                );
                (stalls, _) = (stalls + 1, spans.push((before, now)));
            }
            assert_eq!(history.count, stalls, "seed {seed}");
            let from = start + (now - start).mul_f64(rng.random_range(0.0..=1.0));
            let stalled = |(start, end): &(Instant, Instant)| end.saturating_duration_since(from.max(*start));
            let last: Duration = spans.iter().rev().take(4).map(stalled).sum();
            assert_eq!(history.stalled_since(from), last, "seed {seed}");
            assert!(history.stalled_since(from) <= now - from, "seed {seed}");
            if rng.random_bool(0.5) {
                history.catching_up_since = None;
            }
        }
    }
}

#[tokio::test]
async fn catching_up_ends_once_all_connections_are_accepted() {
    let local = tokio::task::LocalSet::new();
    let run = local.run_until(async {
        let detector = StallDetector::start();
        yield_now().await;
        assert!(!detector.is_catching_up());
        std::thread::sleep(STALL_THRESHOLD + 50 * MS);
        assert!(detector.is_catching_up() && detector.earliest_arrival().elapsed() >= STALL_THRESHOLD);
        for _ in 0..10 * CATCH_UP_ITERATIONS {
            yield_now().await;
        }
        assert!(detector.is_catching_up(), "a connection may still wait to be accepted");
        detector.mark_all_accepted();
        detector.wait_until_caught_up().await;
        assert!(!detector.is_catching_up() && detector.earliest_arrival().elapsed() < STALL_THRESHOLD);
    });
    run.await;
}
