//! Tests of `trace`, which see its private items.

use super::*;
use proptest::prelude::*;

fn line(t: &str) -> String {
    format!("{{\"t\":{t},\"method\":\"GET\",\"target\":\"/a\",\"class\":\"c\"}}\n")
}

#[test]
fn invalid_lines_are_counted_and_the_others_are_replayed() {
    let text = [&line("5.5"), "\n", &line("5.25"), &line("5.25"), "what?\n", &line("7"), "{\"t\":8,\"me"];
    let trace = read(text.concat().as_bytes(), 2.0);
    let times: Vec<_> = trace.requests.iter().map(|request| request.at.as_millis()).collect();
    assert_eq!(times, [0, 0, 125, 875], "sorted, relative to the first, at twice the speed");
    assert_eq!((trace.invalid_lines, trace.out_of_order, trace.is_truncated), (1, 1, true));
    assert_eq!(trace.first_invalid.map(|line| line.number), Some(5));
    for bad in ["1e999", "null", "\"1\""] {
        assert_eq!(read(line(bad).as_bytes(), 1.0).invalid_lines, 1, "{bad}");
    }
    for bad in ["a b", "a", "/a\\u0000"] {
        let text = line("1").replace("/a", bad);
        assert_eq!(read(text.as_bytes(), 1.0).invalid_lines, 1, "{bad}");
    }
    assert_eq!(read(b"", 1.0), Trace::default());
}

#[test]
fn a_hundred_thousand_lines_keep_their_spacing() {
    let text: String = (0..100_000).map(|i| line(&format!("{}", 1000.0 + f64::from(i) * 0.0001))).collect();
    let trace = read(text.as_bytes(), 10.0);
    assert_eq!(trace.requests.len(), 100_000);
    for (number, TraceRequest { at, .. }) in trace.requests.iter().enumerate() {
        let due = Duration::from_micros(10 * number as u64);
        assert!(at.abs_diff(due) < Duration::from_nanos(200), "{number}: {at:?}");
    }
}

proptest! {
    #[test]
    fn reading_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), speed: f64) {
        read(&bytes, speed);
    }
}
