//! Tests of `validity`, which see its private items.

use super::*;
use crate::record::AttemptKind;

const MEASUREMENTS: Measurements = Measurements {
    due: 1000,
    length: Duration::from_secs(10),
    cpu_share: Some(0.3),
    max_lag: Duration::from_millis(10),
};

/// A record of 1,000 requests, of which the first `late` were sent `late_ms` after their due times.
fn record(late_ms: u64, late: u64) -> Record {
    let mut record = Record::new(1);
    for n in 0..1000 {
        let lag = Duration::from_millis(if n < late { late_ms } else { 0 });
        record.record_sent(lag, AttemptKind::First, Duration::from_millis(10 * n) + lag);
    }
    record
}

#[test]
fn each_exceeded_limit_is_a_reason() {
    let verdict = |record: &Record, measured: &Measurements| judge(record, measured).reasons.join("; ");
    assert_eq!(verdict(&record(0, 0), &MEASUREMENTS), "");
    assert_eq!(verdict(&record(50, 9), &MEASUREMENTS), "", "fewer than 1 in 100");
    assert!(verdict(&record(50, 30), &MEASUREMENTS).contains("behind its schedule"));
    let mut waiting = record(0, 0);
    waiting.connection_waits = 2;
    assert!(verdict(&waiting, &MEASUREMENTS).contains("out of connections"));
    let mut ports = record(0, 0);
    ports.record_generator_error("no port left");
    ports.record_request(0, None, Duration::ZERO, Duration::ZERO, Outcome::Unsent);
    let reasons = verdict(&ports, &MEASUREMENTS);
    assert!(reasons.contains("never sent") && reasons.contains("no port left"), "{reasons}");
    let cpu = Measurements { cpu_share: Some(0.97), ..MEASUREMENTS };
    assert!(verdict(&record(0, 0), &cpu).contains("97%"));
    let more = Measurements { due: 2000, ..MEASUREMENTS };
    assert!(verdict(&record(0, 0), &more).contains("sent 1000 of 2000"));
}

#[test]
fn the_sent_rate_is_relative_to_the_actual_duration() {
    let late = judge(&record(10_000, 1000), &MEASUREMENTS);
    assert_eq!(late.due_per_s, 100.0);
    assert!((late.sent_per_s - 50.0).abs() < 0.2, "{}", late.sent_per_s);
}
