//! Tests of `schedule`, which see its private items.

use super::*;

fn schedule(shapes: Vec<Shape>, spacing: Spacing, seconds: u64) -> Schedule {
    Schedule { shapes, spacing, length: Duration::from_secs(seconds), seed: 7 }
}

#[test]
fn an_even_schedule_has_equal_intervals_at_any_rate() {
    let times: Vec<_> = schedule(vec![Shape::Constant(250.0)], Spacing::Even, 4).times().collect();
    assert_eq!(times.len(), 1000);
    for (number, at) in times.iter().enumerate() {
        let due = Duration::from_millis(4 * number as u64);
        assert!(at.abs_diff(due) < Duration::from_nanos(100), "{number}: {at:?}");
    }
    // Rates with several arrivals per integration step, and with one in many steps.
    for rate in [0.5, 3.0, 4000.0, 123_456.0] {
        let count = schedule(vec![Shape::Constant(rate)], Spacing::Even, 10).times().count();
        assert!((count as f64 - rate * 10.0).abs() <= 1.0, "{rate}: {count}");
    }
}

#[test]
fn the_rates_of_shapes_add_up_and_negative_sums_count_as_zero() {
    let count = |shapes, seconds| schedule(shapes, Spacing::Even, seconds).times().count();
    let ramp = |from, to| Shape::Ramp { from, to, over: Duration::from_secs(10) };
    assert!(count(vec![ramp(0.0, 200.0)], 10).abs_diff(1000) <= 1);
    assert!(count(vec![ramp(100.0, 0.0), ramp(0.0, 100.0)], 10).abs_diff(1000) <= 1);
    let wave = |mean, amplitude| Shape::Sine { mean, amplitude, period: Duration::from_secs(2) };
    assert!(count(vec![wave(100.0, 50.0)], 10).abs_diff(1000) <= 1);
    // The negative half of a wave around 0 counts as 0, so its mean rate is the amplitude divided by pi.
    assert!(count(vec![wave(0.0, 314.16)], 10).abs_diff(1000) <= 2);
    assert_eq!(count(vec![Shape::Constant(100.0), Shape::Constant(-100.0)], 10), 0);
    assert_eq!(count(vec![Shape::Constant(0.0)], 3600), 0);
    assert_eq!(count(vec![], 10), 0);
    let from = Duration::from_secs(2);
    let step = Shape::Step { from, until: Duration::from_secs(4), rate: 50.0 };
    let times: Vec<_> = schedule(vec![step], Spacing::Even, 10).times().collect();
    assert!(times.len().abs_diff(100) <= 1 && times[0].abs_diff(from) < Duration::from_millis(1));
    assert!(times.iter().all(|at| (2.0..4.001).contains(&at.as_secs_f64())));
}

#[test]
fn the_requests_of_a_burst_are_due_at_one_instant_in_order_with_others() {
    let at = Duration::from_millis(1500);
    let shapes = vec![Shape::Constant(10.0), Shape::Burst { at, count: 10_000 }];
    let times: Vec<_> = schedule(shapes, Spacing::Even, 3).times().collect();
    // One of the other requests may be due at the same time.
    assert!((10_000..=10_001).contains(&times.iter().filter(|time| **time == at).count()));
    assert!(times.is_sorted());
    assert!(times.len().abs_diff(10_030) <= 1);
}

/// The Kolmogorov-Smirnov distance of a sample from a distribution function.
fn distance(mut drawn: Vec<f64>, expected: impl Fn(f64) -> f64) -> f64 {
    drawn.sort_by(f64::total_cmp);
    let n = drawn.len() as f64;
    let at = |(i, x): (usize, &f64)| {
        let e = expected(*x);
        (e - i as f64 / n).abs().max((e - (i + 1) as f64 / n).abs())
    };
    drawn.iter().enumerate().map(at).fold(0.0, f64::max)
}

#[test]
fn poisson_gaps_are_exponential_and_counts_are_right() {
    for seed in 1..6 {
        let times = Schedule { seed, ..schedule(vec![Shape::Constant(500.0)], Spacing::Poisson, 20) };
        let times: Vec<_> = times.times().map(|at| at.as_secs_f64()).collect();
        // The expected count is 10,000, with a standard deviation of 100.
        assert!(times.len().abs_diff(10_000) < 400, "{}", times.len());
        let gaps: Vec<_> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let gap_distance = distance(gaps, |gap| 1.0 - (-500.0 * gap).exp());
        // The critical value at a significance of 0.1% is 1.95 / sqrt(n).
        assert!(gap_distance < 1.95 / 100.0, "seed {seed}: {gap_distance}");
    }
    // In a ramp from 0 the squares of the arrival times are uniformly distributed.
    let ramp = Shape::Ramp { from: 0.0, to: 2000.0, over: Duration::from_secs(10) };
    let times = schedule(vec![ramp], Spacing::Poisson, 10);
    let times: Vec<_> = times.times().map(|at| at.as_secs_f64()).collect();
    let bound = 1.95 / (times.len() as f64).sqrt();
    assert!(distance(times, |at| (at / 10.0).powi(2)) < bound);
}

#[test]
fn the_same_seed_gives_the_same_times_and_another_seed_gives_others() {
    let with = |seed| {
        let schedule = Schedule { seed, ..schedule(vec![Shape::Constant(100.0)], Spacing::Poisson, 5) };
        schedule.times().collect::<Vec<_>>()
    };
    assert_eq!(with(3), with(3));
    assert_ne!(with(3), with(4));
}
