//! The subset of servers that a node uses: its size, its stability, and the fallback to other servers.

mod harness;

use harness::*;
use join_up_to::*;
use std::collections::BTreeMap;

#[test]
fn nodes_with_little_traffic_use_different_small_subsets_of_a_large_fleet() {
    // Without subsets, a node in a large fleet sends each request to another server: no estimate is ever
    // reset by an idle report, and each send opens a connection.
    let mut all = BTreeMap::new();
    for seed in 0..40 {
        let mut harness = Harness::seeded(reports_in_responses(), seed);
        harness.list(ListKind::Full, (0..60).map(entry).collect());
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            *used.entry(serve(&mut harness, 0.0)).or_insert(0) += 1;
            harness.now += ms(500);
        }
        assert!((4..=8).contains(&used.len()), "{} servers for two requests per second", used.len());
        used.keys().for_each(|server| *all.entry(*server).or_insert(0) += 1);
    }
    assert!(all.len() >= 50 && all.values().all(|nodes| *nodes <= 14), "{all:?}");
}

/// The number of servers that a node with little traffic sends to or probes, with a list update each second.
fn servers_used_over_lists(settings: Settings, update: impl Fn(&mut Harness, u64)) -> usize {
    let mut harness = Harness::seeded(settings, 7);
    harness.list(ListKind::Full, (0..60).map(entry).collect());
    for second in 0..60 {
        update(&mut harness, second);
        for _ in 0..2 {
            harness.request(0);
            harness.advance(ms(5));
            while harness.end_probe(Some(1.0)).is_some() {}
            harness.advance(ms(200));
            for (id, attempt) in harness.attempts_in_flight() {
                harness.end_attempt(id, attempt, Outcome::Served, Some(1.0));
            }
            harness.advance(ms(295));
        }
    }
    let used = |action: &Action| match action {
        Action::Send { server, .. } | Action::Probe { server } => Some((server.0, ())),
        _ => None,
    };
    harness.log.iter().filter_map(used).collect::<BTreeMap<_, _>>().len()
}

#[test]
fn the_subset_of_a_node_does_not_change_with_the_weights_in_the_list() {
    // A list once changed the weights each second, and each node then used other servers, until all
    // connections that servers accept were taken and nothing was served any more.
    let weighed = |number, second| ServerEntry { weight: 1.0 / (1 + second % 5) as f32, ..entry(number) };
    for settings in [reports_in_responses(), reports_from_probes()] {
        let changes = servers_used_over_lists(settings.clone(), |harness, second| {
            harness.list(ListKind::Changes, (0..60).map(|number| weighed(number, second)).collect());
        });
        let whole = servers_used_over_lists(settings.clone(), |harness, second| {
            harness.list(ListKind::Full, (0..60).map(|number| weighed(number, second)).collect());
        });
        let none = servers_used_over_lists(settings, |_, _| ());
        assert!(changes <= 8 && whole <= 8 && none <= 8, "{changes}, {whole} and {none} servers used");
    }
}

#[test]
fn a_retry_stays_within_the_subset_unless_none_of_it_is_permitted() {
    let mut harness = Harness::seeded(reports_in_responses(), 3);
    harness.list(ListKind::Full, (0..60).map(entry).collect());
    let mut used = BTreeMap::new();
    for round in 0..40 {
        let (id, actions) = harness.request(0);
        sent_to(&actions).iter().for_each(|to| *used.entry(*to).or_insert(0) += 1);
        if round % 4 == 0 {
            let before = harness.log.len();
            harness.end_attempt(id, 0, Outcome::Rejected, None);
            sent_to(&harness.log[before..]).iter().for_each(|to| *used.entry(*to).or_insert(0) += 1);
        }
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
        harness.now += ms(500);
    }
    assert!(used.len() <= 8, "{used:?}");
    // All servers of the subset drain: the other servers are used.
    let draining = |number: &u64| ServerEntry { state: ServerState::Draining, ..entry(*number) };
    harness.list(ListKind::Changes, used.keys().map(draining).collect());
    let to = sent_to(&harness.request(0).1);
    assert!(to.len() == 1 && !used.contains_key(&to[0]), "{to:?} of {used:?}");
}

#[test]
fn a_node_with_much_traffic_uses_all_servers() {
    let mut harness = Harness::with_servers(reports_in_responses(), 20);
    let used: BTreeMap<u64, ()> = (0..400).map(|_| (serve(&mut harness, 1.0), ())).collect();
    assert_eq!(used.len(), 20);
}
