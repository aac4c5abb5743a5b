//! Comparison of two sets until all differences are found.

use quickcheck::{TestResult, quickcheck};
use range_digest::{Difference, DigestedSet, KeyRange, RangeContent, RangeDigest, Walk, WalkError};
use std::collections::BTreeMap;

/// Spreads small numbers over the range of all keys.
fn key(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn set(count: u64) -> DigestedSet {
    (0..count).map(|number| (key(number), number)).collect()
}

/// Completes a walk. Returns the differences and the number of responses.
fn walk(own: &DigestedSet, other: &DigestedSet) -> (Vec<Difference>, u32) {
    let mut walk = Walk::begin(own, other.digest(KeyRange::ALL));
    let mut found = Vec::new();
    while let Some(range) = walk.next_request() {
        found.extend(walk.apply_response(own, range, &other.content(range)).expect("a valid response"));
    }
    assert!(walk.is_finished());
    found.sort_unstable();
    (found, walk.responses())
}

#[test]
fn equal_sets_need_no_request() {
    assert_eq!(walk(&set(20_000), &set(20_000)), (Vec::new(), 0));
    assert_eq!(walk(&set(0), &set(0)), (Vec::new(), 0));
}

#[test]
fn the_cost_grows_with_the_differences_and_not_with_the_sets() {
    let own = set(100_000);
    let mut other = set(100_000);
    other.remove(key(77));
    other.insert(key(200_000), 5);
    other.insert(key(99), 1);
    let (found, responses) = walk(&own, &other);
    let mut expected = vec![
        Difference { key: key(77), own: Some(77), other: None },
        Difference { key: key(200_000), own: None, other: Some(5) },
        Difference { key: key(99), own: Some(99), other: Some(1) },
    ];
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert!(responses <= 3 * 5, "{responses} responses for three differences in 100,000 items");
}

quickcheck! {
    /// For any two sets, the walk finds exactly the differences.
    fn a_walk_finds_exactly_what_differs(
        own: BTreeMap<u64, u64>,
        other: BTreeMap<u64, u64>,
        near: bool
    ) -> bool {
        // Keys that are close to each other differ only in small ranges.
        let place = |number: u64| if near { number >> 50 } else { number };
        let own: BTreeMap<u64, u64> = own.into_iter().map(|(key, value)| (place(key), value)).collect();
        let other: BTreeMap<u64, u64> = other.into_iter().map(|(key, value)| (place(key), value)).collect();
        let keys: std::collections::BTreeSet<u64> = own.keys().chain(other.keys()).copied().collect();
        let differs = |key: &u64| own.get(key) != other.get(key);
        let expected: Vec<Difference> = keys.into_iter().filter(differs)
            .map(|key| Difference { key, own: own.get(&key).copied(), other: other.get(&key).copied() })
            .collect();
        walk(&own.into_iter().collect(), &other.into_iter().collect()).0 == expected
    }

    /// Precomputed digests equal those computed from the items, after any changes.
    fn digests_follow_changes(changes: Vec<(u16, Option<u8>)>, size: u16) -> TestResult {
        let mut set: DigestedSet = set(u64::from(size) % 2000);
        for (number, value) in changes {
            match value {
                Some(value) => set.insert(key(u64::from(number)), u64::from(value)),
                None => set.remove(key(u64::from(number))),
            };
        }
        let rebuilt: DigestedSet = set.iter().collect();
        let mut counted = RangeDigest::default();
        set.iter().for_each(|(key, value)| counted.add(key, value));
        let parts = KeyRange::ALL.parts().all(|part| set.digest(part) == rebuilt.digest(part));
        TestResult::from_bool(parts && set.digest(KeyRange::ALL) == counted)
    }
}

#[test]
fn invalid_responses_are_rejected() {
    let own = set(100);
    let other = RangeDigest { count: 1, sum: 1 };
    let response_to = |content: RangeContent| {
        let mut walk = Walk::begin(&own, other);
        let range = walk.next_request().expect("a request");
        walk.apply_response(&own, range, &content)
    };
    assert_eq!(response_to(RangeContent::Parts(vec![other; 15])), Err(WalkError::WrongPartCount(15)));
    assert_eq!(response_to(RangeContent::Items(vec![(5, 0), (5, 0)])), Err(WalkError::Unordered(5)));
    let mut walk = Walk::begin(&own, other);
    let part = KeyRange::ALL.parts().nth(3).expect("a part");
    assert_eq!(
        walk.apply_response(&own, part, &RangeContent::Items(Vec::new())),
        Err(WalkError::Unsolicited(part))
    );
    walk.next_request();
    let all = RangeContent::Parts(vec![RangeDigest { count: 9, sum: 9 }; 16]);
    assert_eq!(walk.apply_response(&own, KeyRange::ALL, &all), Ok(Vec::new()));
    let first = walk.next_request().expect("a request");
    let outside = RangeContent::Items(vec![(u64::MAX, 0)]);
    assert_eq!(walk.apply_response(&own, first, &outside), Err(WalkError::OutsideRange(u64::MAX)));
}

#[test]
fn a_remote_side_that_differs_everywhere_ends_the_walk() {
    let own = set(100);
    let garbage = RangeContent::Parts(vec![RangeDigest { count: 1 << 40, sum: 7 }; 16]);
    let mut walk = Walk::begin(&own, RangeDigest { count: 1 << 40, sum: 7 });
    let error = loop {
        let range = walk.next_request().expect("requests go on until the walk fails");
        if let Err(error) = walk.apply_response(&own, range, &garbage) {
            break error;
        }
    };
    assert_eq!(error, WalkError::Indivisible(0));
}

#[test]
fn ranges_are_aligned() {
    assert_eq!(KeyRange::new(0, 0), Some(KeyRange::ALL));
    assert_eq!(KeyRange::new(1 << 60, 4).map(|range| range.last()), Some((2 << 60) - 1));
    assert_eq!(KeyRange::new(1, 4), None);
    assert_eq!(KeyRange::new(0, 3), None);
    assert_eq!(KeyRange::new(7, 64).map(|range| range.parts().count()), Some(0));
}
