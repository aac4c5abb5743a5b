//! Brownout steps are activated in order and released in reverse.

use admission_control::brownout::{BrownoutAction, BrownoutLevels, BrownoutStep};
use std::time::Duration;

fn levels() -> BrownoutLevels {
    let step = |threshold, release_threshold, action| BrownoutStep {
        threshold,
        release_threshold,
        hold_time: Duration::from_secs(1),
        action,
    };
    BrownoutLevels::new(vec![
        step(0.05, 0.01, BrownoutAction::DisableHedging),
        step(0.2, 0.1, BrownoutAction::DisableRetries),
    ])
}

#[test]
fn steps_are_activated_in_order_and_released_in_reverse() {
    let mut levels = levels();
    let mut at = |tenths: u64, unserved| {
        levels.update(Duration::from_millis(100 * tenths), unserved);
        levels.level()
    };
    let up: Vec<_> = (0..40).map(|t| at(t, 0.5)).collect();
    assert_eq!((up[9], up[10], up[20], up[21], up[39]), (0, 1, 1, 2, 2));
    let down: Vec<_> = (40..80).map(|t| at(t, 0.0)).collect();
    assert_eq!((down[9], down[10], down[21], down[39]), (2, 1, 0, 0));
}

#[test]
fn load_between_the_thresholds_of_a_step_does_not_change_the_level() {
    let mut levels = levels();
    let mut changes = 0;
    for t in 0..1000u64 {
        // Between the first release threshold and the second threshold, after 1.5 s above the first
        // threshold.
        let unserved = if t < 15 { 0.1 } else { 0.02 + 0.17 * (t % 2) as f64 };
        changes += u32::from(levels.update(Duration::from_millis(100 * t), unserved));
    }
    assert_eq!((changes, levels.level()), (1, 1));
}

#[test]
fn a_short_peak_activates_no_step() {
    let mut levels = levels();
    for t in 0..100u64 {
        levels.update(Duration::from_millis(100 * t), if t % 9 < 8 { 1.0 } else { 0.0 });
    }
    assert_eq!(levels.level(), 0);
}
