//! Tests of `record`, which see its private items.

use super::*;

#[test]
fn merged_records_of_threads_equal_a_single_record() {
    let ms = Duration::from_millis;
    let (mut one, mut parts) = (Record::new(2), vec![Record::new(2), Record::new(2), Record::new(2)]);
    for n in 0..3000u64 {
        let outcome = Outcome::ALL[(n % 5) as usize];
        let by = ["a", "b"][(n % 2) as usize];
        for record in [&mut one, &mut parts[(n % 3) as usize]] {
            let kind = if n % 4 == 0 { AttemptKind::Retry } else { AttemptKind::First };
            record.record_sent(ms(n % 7), kind, ms(n));
            record.record_service_time(ms(n % 11));
            record.record_request((n % 2) as usize, Some(by), ms(n), ms(n % 997), outcome);
        }
    }
    let mut sum = Record::new(2);
    parts.iter().for_each(|part| sum.merge(part));
    assert_eq!((sum.all.outcomes, &sum.all.latency), (one.all.outcomes, &one.all.latency));
    assert_eq!((&sum.lag, &sum.service_time, sum.attempts), (&one.lag, &one.service_time, 3000));
    assert_eq!(sum.seconds.len(), 3);
    let counts = |record: &Record| record.backends.values().map(RequestStatistics::count).collect::<Vec<_>>();
    assert_eq!(counts(&sum), counts(&one));
    assert_eq!(sum.last_sent_at, ms(2999));
}
