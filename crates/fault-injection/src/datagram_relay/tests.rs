//! Tests of `datagram_relay` that use its private items.

use super::*;
use std::collections::BTreeMap;

#[test]
fn losses_duplicates_and_delays_follow_the_conditions_and_the_seed() {
    let conditions = NetworkConditions {
        loss: 0.2,
        duplication: 0.1,
        min_delay: Duration::from_millis(5),
        max_delay: Duration::from_millis(9),
    };
    let drawn = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        (0..20_000).map(|_| conditions.draw_arrivals(&mut rng).collect::<Vec<_>>()).collect::<Vec<_>>()
    };
    let all = drawn(1);
    assert_eq!(all, drawn(1));
    assert_ne!(all, drawn(2));
    let mut arrival_counts: BTreeMap<usize, u32> = BTreeMap::new();
    for arrivals in &all {
        *arrival_counts.entry(arrivals.len()).or_default() += 1;
        assert!(arrivals.iter().all(|delay| (conditions.min_delay..=conditions.max_delay).contains(delay)));
    }
    let share = |n: usize| f64::from(arrival_counts[&n]) / 20_000.0;
    assert!((share(0) - 0.2).abs() < 0.02 && (share(2) - 0.08).abs() < 0.01, "{arrival_counts:?}");
    // With a loss of 1 nothing arrives; by default everything arrives once, without a delay.
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let cut = NetworkConditions { loss: 1.0, ..conditions };
    assert!((0..1000).all(|_| cut.draw_arrivals(&mut rng).next().is_none()));
    assert!((0..1000).all(|_| NetworkConditions::default().draw_arrivals(&mut rng).eq([Duration::ZERO])));
}

#[tokio::test]
async fn datagrams_arrive_in_full_and_are_reordered_by_differing_delays() {
    let target = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let relay = DatagramRelay::start(target.local_addr().expect("an address"), 7).await.expect("a relay");
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let mut buffer = [0; 16];
    sender.send_to(b"first", relay.address).await.expect("sent");
    let length = target.recv(&mut buffer).await.expect("it");
    assert_eq!(&buffer[..length], b"first");
    relay.set_conditions(NetworkConditions {
        max_delay: Duration::from_millis(40),
        duplication: 1.0,
        ..NetworkConditions::default()
    });
    for number in 0..20u8 {
        sender.send_to(&[number], relay.address).await.expect("sent");
    }
    let mut arrived = Vec::new();
    while arrived.len() < 40 {
        let length = target.recv(&mut buffer).await.expect("one of them");
        assert_eq!(length, 1);
        arrived.push(buffer[0]);
    }
    let mut sorted = arrived.clone();
    sorted.sort_unstable();
    assert!(sorted.iter().copied().eq((0..20).flat_map(|n| [n, n])), "not each exactly twice: {arrived:?}");
    assert_ne!(arrived, sorted, "no datagram was reordered");
}
