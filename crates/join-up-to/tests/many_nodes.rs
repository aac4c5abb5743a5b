//! A node among hundreds that share the servers, so that its own sends do not show the load of servers.

mod harness;

use harness::*;
use join_up_to::*;

fn one_of(nodes: u32) -> Settings {
    Settings { nodes, ..reports_in_responses() }
}

/// The number of requests rejected on arrival, of ten requests per second without any response in time.
fn rejected_while_all_are_late(nodes: u32, requests: u64) -> u64 {
    let mut harness = Harness::with_servers(one_of(nodes), 12);
    let mut rejected = 0;
    for _ in 0..requests {
        let (_, actions) = harness.request(1);
        rejected += u64::from(actions.iter().any(|action| matches!(action, Action::Refuse { .. })));
        harness.advance(ms(100));
    }
    rejected
}

#[test]
fn one_of_many_nodes_rejects_requests_at_once_after_others_were_late() {
    assert_eq!(rejected_while_all_are_late(3, 100), 0, "one of three nodes relies on its own sends");
    let rejected = rejected_while_all_are_late(300, 100);
    assert!((30..95).contains(&rejected), "{rejected} of 100: most, and a few are still sent");
}

#[test]
fn rejections_end_soon_after_responses_are_in_time_again() {
    let mut harness = Harness::with_servers(one_of(300), 12);
    for _ in 0..60 {
        harness.request(1);
        harness.advance(ms(100));
    }
    harness.advance(ms(600));
    let mut rejected = Vec::new();
    for number in 0..60 {
        let (_, actions) = harness.request(1);
        if actions.iter().any(|action| matches!(action, Action::Refuse { .. })) {
            rejected.push(number);
        }
        harness.advance(ms(50));
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Served, Some(2.0));
        }
    }
    assert!(rejected.iter().all(|number| *number < 20), "the last rejections: {rejected:?}");
}

#[test]
fn a_server_that_responds_late_gets_fewer_requests_but_some() {
    let mut harness = Harness::with_servers(one_of(300), 5);
    let mut sends = [0; 5];
    for round in 0..1500 {
        let (id, actions) = harness.request(1);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else { continue };
        harness.advance(ms(60));
        if round >= 500 {
            sends[server.0 as usize] += 1;
        }
        // The first server never responds in time; all others report the same load.
        if server == ServerId(0) {
            harness.advance(ms(400));
        } else if !harness.has_response(id) {
            harness.end_attempt(id, 0, Outcome::Served, Some(2.0));
        }
    }
    let others = sends[1..].iter().sum::<u32>() / 4;
    assert!(sends[0] > 0 && sends[0] * 4 < others, "{sends:?}");
}
