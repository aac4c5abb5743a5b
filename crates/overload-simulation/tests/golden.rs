//! Golden tests of small surges with fixed seeds, whose results are written with twelve digits. They detect
//! changes of the order of draws or of events. `GOLDEN=write cargo test -p overload-simulation --test golden`
//! rewrites the files in `tests/golden`.
//!
//! Results are written with fixed names, so that renaming a type or field does not change golden files.
//! Further digits depend on the packages that are built together: see `golden_files::to_twelve_digits`.

use admission_control::GateSettings;
use admission_control::backends::LimitSettings;
use admission_control::brownout::{BrownoutAction, BrownoutStep};
use admission_control::gate::{ClassSettings, TenantSettings};
use admission_control::limit::{Cause, LimitBounds, LimitChange};
use join_up_to::{CapacitySource, Class, Repeat, RetryOn, Scope, Settings};
use overload_simulation::tally::jain_index;
use overload_simulation::{
    BackendSpec, ClientRetry, FaultEvent, InjectedFault, ListedBackend, NodeLimitChange, ServiceTime, Stream,
    StreamTally, Surge, Tally, simulate,
};
use std::time::Duration;

/// The number of limit changes of a simulation that the golden file contains.
const SHOWN: usize = 60;

fn class(repeat: Repeat, value: f64) -> Class {
    let attempt_policy = join_up_to::AttemptPolicy {
        max_attempts: Some(3),
        retry_on: RetryOn { never_ran: true, error: true, reset: true, timed_out: false },
        hedging: join_up_to::Hedging::After {
            delay: Duration::from_millis(120),
            max_per_request: 1,
            max_fraction: 0.1,
        },
        retry_budget: Some(join_up_to::RetryBudget { share: 0.2, per_s: 1.0 }),
        retry_after: Some(Duration::from_secs(1)),
        ..join_up_to::AttemptPolicy::default()
    };
    let deadline = Duration::from_secs(1);
    Class {
        deadline,
        value,
        late_value: 1.0,
        repeat,
        attempt_policy,
        ..Settings::default().classes[0].clone()
    }
}

/// A surge with three classes, two tenants, three backends of two kinds, each kind of fault, and clients with
/// each kind of retry.
fn surge(seed: u64, gate: bool) -> Surge {
    let keyed = Repeat::Keyed { scope: Scope::All, window: Duration::from_millis(600) };
    let mut settings = Settings {
        nodes: 2,
        capacity_source: CapacitySource::Provided,
        classes: vec![class(Repeat::Safe, 1.0), class(keyed, 5.0), class(Repeat::Unsafe, 2.0)],
        ..Settings::default()
    };
    settings.limits.cancel = true;
    settings.limits.parallel_attempts = true;
    let class_settings = |name: &str, priority_weight, max_queue_ms: Option<u64>| ClassSettings {
        name: name.into(),
        priority_weight,
        min_retry_after: Duration::from_secs(1),
        max_queue_time: max_queue_ms.map(Duration::from_millis),
    };
    let tenant =
        |name: &str, share, guaranteed_rate| TenantSettings { name: name.into(), share, guaranteed_rate };
    let step = |threshold, release_threshold, action| BrownoutStep {
        threshold,
        release_threshold,
        hold_time: Duration::from_secs(1),
        action,
    };
    let bounds = LimitBounds { initial: 8.0, min: 2.0, max: 1000.0, is_adaptive: true, nodes: 2.0 };
    let gate_settings = GateSettings {
        limits: LimitSettings { bounds: Some(bounds), slow_start: Some(Duration::from_secs(2)) },
        classes: vec![
            class_settings("look", 1.0, Some(100)),
            class_settings("submit", 5.0, None),
            class_settings("correct", 2.0, Some(50)),
        ],
        tenants: vec![tenant("a", Some(0.75), 20.0), tenant("b", None, 0.0)],
        brownout: vec![
            step(0.02, 0.005, BrownoutAction::DisableHedging),
            step(0.1, 0.02, BrownoutAction::DisableRetries),
            step(0.3, 0.1, BrownoutAction::ShedClasses(vec![0])),
            step(0.5, 0.2, BrownoutAction::ServeFallback),
        ],
    };
    let spec = BackendSpec { cores: 3, speed: 1.0, queue: 60, degraded_above: 3.0, degradation: 2.0 };
    let stream = |class, tenant, node, rate, service_time, retry| Stream {
        class,
        tenant,
        node,
        rate,
        from: 0.25 * class as f64,
        to: 5.0,
        timeout: Duration::from_millis(900),
        service_time,
        retry,
    };
    let backend = |spec, weight, kind| ListedBackend { spec, weight, kind };
    let fault = |at, backend, event| InjectedFault { at, backend, event };
    Surge {
        settings,
        gate: gate.then_some(gate_settings),
        backends: vec![
            backend(spec, 1.0, 0),
            backend(BackendSpec { speed: 1.5, ..spec }, 1.5, 1),
            backend(BackendSpec::without_degradation(2), 1.0, 0),
        ],
        streams: vec![
            stream(0, 0, 0, 150.0, ServiceTime::Exponential(0.02), ClientRetry::Never),
            stream(1, 1, 0, 60.0, ServiceTime::Fixed(0.03), ClientRetry::WhenAllowed(2)),
            stream(2, 0, 1, 120.0, ServiceTime::Exponential(0.025), ClientRetry::AtOnce(1)),
        ],
        faults: vec![
            fault(1.0, 0, FaultEvent::Slow(2.0)),
            fault(1.5, 1, FaultEvent::StartErrors),
            fault(2.0, 1, FaultEvent::EndErrors),
            fault(2.5, 2, FaultEvent::Crash),
            fault(3.0, 0, FaultEvent::Slow(1.0)),
            fault(3.5, 2, FaultEvent::Recover),
        ],
        seconds: 6,
        seed,
    }
}

fn tally_text(tally: &Tally) -> String {
    let Tally {
        streams,
        served_by_second,
        backends,
        attempts,
        additional_attempts,
        violations,
        brownout_level,
        brownout_changes,
        limit_changes,
        limit_change_count,
        limits,
    } = tally;
    let mut text = String::new();
    for stream in streams {
        let StreamTally {
            arrived,
            served,
            rejections,
            rejected,
            failed,
            work,
            latency,
            slowest_rejection: _,
        } = stream;
        text += &format!(
            "came {arrived} served {served} refusals {rejections} refused {rejected} failed {failed} work {work:?} latency of {} \
             mean {:?} p50 {} p99 {} max {} us\n",
            latency.len(),
            latency.mean(),
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.99),
            latency.max()
        );
    }
    let backends: Vec<_> = backends.iter().map(|backend| (backend.started, backend.max_in_flight)).collect();
    let (sends, steps) = ((attempts, additional_attempts), (brownout_level, brownout_changes));
    text += &format!(
        "by second {served_by_second:?}\nboxes {backends:?}\nsends {sends:?}\nbroken {violations:?}\n"
    );
    text += &format!("steps {steps:?}\nlimits {limit_change_count} {limits:?}\n");
    text += &format!("goodput {:?} swing {:?}\n", tally.goodput(1, 5), tally.swing(1, 5));
    text += &format!("{} changes of limits\n", limit_changes.len());
    for NodeLimitChange { node, backend, change } in limit_changes.iter().take(SHOWN) {
        text += &format!("node {node} box {backend}: {}\n", change_text(change));
    }
    text
}

fn change_text(change: &LimitChange) -> String {
    let LimitChange { at, from, to, cause, latency_ratio, responses_per_s } = change;
    let cause = match cause {
        Cause::Room => "room",
        Cause::Waiting => "waiting",
        Cause::Refused => "refused",
        Cause::Late => "late",
        Cause::Failed => "failed",
        Cause::NotLoad => "not load",
    };
    format!(
        "at {} ns from {from:?} to {to:?} for {cause} ratio {latency_ratio:?} rate {responses_per_s:?}",
        at.as_nanos()
    )
}

#[test]
fn results_of_small_surges_match_the_golden_file() {
    let mut text = String::new();
    for seed in [7, 8] {
        for gate in [true, false] {
            text += &format!("seed {seed} gate {gate}\n{}\n", tally_text(&simulate(&surge(seed, gate))));
        }
    }
    text +=
        &format!("{:?} {:?} {:?}\n", jain_index(&[1.0, 2.0, 4.0]), jain_index(&[3.0, 3.0]), jain_index(&[]));
    golden_files::check("surges.txt", &golden_files::to_twelve_digits(&text));
}
