//! Golden file tests of what the fleet demonstration writes, sends and prints: configurations, settings
//! files, digests of the backends' block caches, rules and tables. `GOLDEN=write cargo test -p fleet-demo
//! --test golden` rewrites the files below `tests/golden`.
//!
//! The block of loopback addresses differs between runs, and is replaced by `127.<block>.` before a text is
//! written or compared.

use fleet_demo::block_cache::BlockCache;
use fleet_demo::configuration::{added_route_prefix, configuration};
use fleet_demo::node_settings::{ClusterStart, coordinator_settings, frontend_settings};
use fleet_demo::observations::{
    AcknowledgedConfiguration, Arrival, Attempt, Drain, Location, LostBlock, Observations, ObservedView,
    Outcome, ProcessFault, ReadBack, ReadDocument, ReportedMismatch, hash,
};
use fleet_demo::request_kind::RequestKind;
use fleet_demo::rules::check_rules;
use fleet_demo::tables;
use fleet_demo::topology::{COORDINATORS, FRONTENDS, Topology, coordinator_name, frontend_name};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

fn pretty(text: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON") + "\n"
}

#[test]
fn configurations_match_the_golden_files() {
    golden_files::check("configuration_1.json", &configuration(1, &[]));
    golden_files::check("configuration_4.json", &configuration(4, &[2, 4]));
    let kinds: Vec<_> = RequestKind::ALL
        .iter()
        .map(|kind| match kind {
            RequestKind::Form
            | RequestKind::Question
            | RequestKind::Pull
            | RequestKind::Lookup
            | RequestKind::Added => {
                format!(
                    "{} {} {} stream {} idempotent {} events {} deadline {:?}\n",
                    kind.name(),
                    kind.route_type(),
                    kind.service(),
                    kind.is_stream(),
                    kind.is_idempotent(),
                    kind.event_count(),
                    kind.deadline()
                )
            }
        })
        .collect();
    golden_files::check("kinds.txt", &kinds.concat());
}

#[test]
fn settings_files_match_the_golden_file() {
    let (topology, _reservation) = Topology::reserve(std::process::id()).expect("a block of addresses");
    let octets = topology.coordinator_ip(0).octets();
    let block = format!("127.{}.{}.", octets[1], octets[2]);
    let platform = SocketAddrV4::new(Ipv4Addr::new(127, octets[1], octets[2], 250), 8000);
    let mut text = String::new();
    for number in 0..COORDINATORS {
        let start = if number == 0 { ClusterStart::Bootstrap } else { ClusterStart::Join };
        text += &pretty(&coordinator_settings(&topology, number, Path::new("/data/core"), platform, start));
    }
    for number in 0..FRONTENDS {
        text += &pretty(&frontend_settings(&topology, number, platform));
        text += &format!("{} {}\n", topology.client_address(number), topology.readiness_address(number));
    }
    text += &format!("{} {}\n", coordinator_name(2), frontend_name(3));
    text += &format!(
        "{} {} {}\n",
        topology.backend_address(7),
        topology.platform_address(),
        topology.control_address(1)
    );
    golden_files::check("settings.txt", &text.replace(&block, "127.<block>."));
}

/// The digests of a cache with a few blocks in every range, for valid and invalid queries.
#[test]
fn digests_of_cached_blocks_match_the_golden_file() {
    let mut cache = BlockCache::default();
    let mut text = String::new();
    for number in 0..40 {
        let (shared, own) = (0xb0 + number % 5, 0xc000 + number);
        let prompt = format!("a1:500,{shared:x}:{},{own:x}:{}", 200 + number % 5, 20 + number);
        text += &format!("read {}\n", cache.read_prompt("m", &prompt, 5000));
    }
    for query in [
        "first=0&bits=0",
        "first=0&bits=4",
        "first=1000000000000000&bits=4",
        "first=2000000000000000&bits=4",
        "first=f000000000000000&bits=4",
        "first=1000000000000000&bits=8",
        "first=0&bits=64",
        "first=0&bits=3",
        "first=1&bits=4",
        "bits=0",
        "first=0",
        "first=xyz&bits=0",
    ] {
        let reply =
            cache.digest_reply("i-reader-1", query).map_or("nothing".into(), |reply| reply.to_string());
        text += &format!("{query}\n{reply}\n");
    }
    text += &format!("lost {:x?}\n", cache.lose_block());
    let reply = cache.digest_reply("i-reader-1", "first=0&bits=0").expect("reply");
    text += &format!("{reply}\n{}\n", reply["sum"]);
    golden_files::check("holdings.txt", &text);
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn attempt(number: usize, kind: RequestKind, outcome: Outcome) -> Attempt {
    let id = format!("r-{number}");
    Attempt {
        kind,
        tenant: if number % 3 == 2 { "visitors" } else { "desk" },
        frontend: number % 4,
        path: format!("/{}/{id}", kind.name()),
        body_hash: hash(id.as_bytes()),
        sent_at: ms(1000 + 10 * number as u64),
        first_byte: (outcome == Outcome::Served).then(|| ms(20 + number as u64)),
        ended_at: ms(1050 + 10 * number as u64),
        mismatch: (number == 5).then(|| "an event of another request".into()),
        request_id: id,
        outcome,
    }
}

/// Observations of every kind, which break most rules.
fn observations() -> Observations {
    let mut observations = Observations::default();
    let outcomes = [
        Outcome::Served,
        Outcome::Rejected(503),
        Outcome::Served,
        Outcome::Denied(403),
        Outcome::Failed(502),
        Outcome::Interrupted("the connection ended".into()),
        Outcome::TimedOut,
    ];
    for (number, outcome) in outcomes.iter().cycle().take(42).enumerate() {
        match outcome {
            Outcome::Served
            | Outcome::Rejected(_)
            | Outcome::Denied(_)
            | Outcome::Failed(_)
            | Outcome::Interrupted(_)
            | Outcome::TimedOut => {}
        }
        let kind = RequestKind::ALL[number % 4];
        let each = attempt(number, kind, outcome.clone());
        for again in 0..1 + usize::from(number == 2) {
            observations.arrivals.push(Arrival {
                request_id: each.request_id.clone(),
                at: each.sent_at + ms(5 + again as u64),
                service: kind.service(),
                instance: format!("i-{}", kind.service()),
                path: each.path.clone(),
                tenant: Some(if number == 7 { "nobody" } else { each.tenant }.into()),
                body_hash: if number == 8 { 0 } else { each.body_hash },
                resume_after: (number == 9).then_some(4),
                executed: *outcome == Outcome::Served || number % 10 == 1,
            });
        }
        observations.attempts.push(each);
    }
    for (number, frontend) in [(50, 0), (51, 1), (52, 1)] {
        let probe = attempt(
            number,
            RequestKind::Added,
            if number == 52 { Outcome::Denied(404) } else { Outcome::Served },
        );
        let sent_at = ms(2500 + 10 * number as u64);
        let path = format!("{}{}", added_route_prefix(3), probe.request_id);
        observations.attempts.push(Attempt {
            frontend,
            path,
            sent_at,
            ended_at: sent_at + ms(5),
            tenant: "desk",
            ..probe
        });
    }
    observations.drains.push(Drain { instance: "i-tally".into(), listed_at: ms(1100) });
    let acknowledged = |generation, added: Option<u64>, at| AcknowledgedConfiguration {
        generation,
        added_route: added.map(added_route_prefix),
        document: format!("{{{generation}}}"),
        at: ms(at),
    };
    observations.acknowledged.extend([acknowledged(1, None, 100), acknowledged(3, Some(3), 2900)]);
    observations.read_back.extend([
        ReadBack { coordinator: "core-1".into(), document: ReadDocument::Received("{3}".into()) },
        ReadBack { coordinator: "core-2".into(), document: ReadDocument::Received("{1}".into()) },
        ReadBack { coordinator: "core-3".into(), document: ReadDocument::Missing("no answer".into()) },
    ]);
    for location in [Location::Core, Location::Agent(2), Location::DataPlane(3)] {
        match location {
            Location::Core | Location::Agent(_) | Location::DataPlane(_) => {
                observations.faults.push(ProcessFault { at: ms(1200), location })
            }
        }
    }
    observations.unexpected_exits.push("frontend-4 ended by itself with 1".into());
    let chain = |names: &[&str]| names.iter().map(|name| (*name).to_string()).collect();
    observations.views.extend([
        ObservedView { at: ms(300), number: 1, chain: chain(&["core-1", "core-2", "core-3"]) },
        ObservedView { at: ms(1900), number: 2, chain: chain(&["core-2", "core-3"]) },
    ]);
    observations.lost_blocks.push(LostBlock { at: ms(900), instance: "i-1".into(), block: "ab".into() });
    observations.mismatches.push(ReportedMismatch {
        at: ms(950),
        instance: "i-1".into(),
        block: "cd".into(),
        kind: "not held".into(),
    });
    observations
}

#[test]
fn printed_rules_and_tables_match_the_golden_files() {
    let observations = observations();
    let mut rules = check_rules(&observations);
    // Violations that are found by request id come in no particular order.
    rules.iter_mut().for_each(|rule| rule.violations.sort());
    golden_files::check("rules.txt", &tables::format_rules(&rules));
    golden_files::check("tables.txt", &tables::format_observations(&observations));
    golden_files::check(
        "rules_without_observations.txt",
        &tables::format_rules(&check_rules(&Observations::default())),
    );
    golden_files::check(
        "tables_without_observations.txt",
        &tables::format_observations(&Observations::default()),
    );
}
