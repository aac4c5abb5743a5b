//! End-to-end tests of three coordinators with an operator, agents and the platform, over real sockets.

mod clients;
mod core_machines;
mod engine;
mod platform;

use clients::{Agent, Operator, document};
use control_protocol::{
    BackendListVersion, ConfigurationSequence, FromAgent, IndexChange, QuotaDemand, QuotaRequest, ToAgent,
};
use coordinator::metrics::CoordinatorMetrics;
use core_machines::{Disk, Machine, Plan, next_ip};
use engine::Engine;
use platform::Platform;
use poem::http::StatusCode;
use range_digest::{DigestedSet, KeyRange, RangeContent};
use role_runtime::metrics::MetricsSource;
use std::path::Path;

/// Compares a transcript with the approved file. If they differ, the transcript is written to the target
/// folder.
fn approve(name: &str, transcript: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/coordinators/approved");
    let approved = std::fs::read_to_string(folder.join(format!("{name}.txt"))).unwrap_or_default();
    if approved != transcript {
        let received = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.received.txt"));
        std::fs::write(&received, transcript).expect("written");
        panic!(
            "the transcript {name} differs from the approved one; see {}\n{transcript}",
            received.display()
        );
    }
}

struct Fleet {
    platform: Platform,
    plan: Plan,
    disks: Vec<Disk>,
    machines: Vec<Machine>,
}

impl Fleet {
    /// Starts three coordinators on empty disks, and a platform that lists three backends.
    async fn start() -> Self {
        let platform = Platform::start(next_ip()).await;
        platform.set("a", "ready");
        platform.set("b", "ready");
        platform.set("c", "ready");
        let plan = Plan::new(3, platform.address);
        let disks: Vec<Disk> = (0..3).map(|_| Disk::default()).collect();
        let machines = (0..3).map(|number| Machine::start(&plan, number, &disks[number], true)).collect();
        Fleet { platform, plan, disks, machines }
    }
}

#[tokio::test]
async fn operator_requests_to_three_coordinators_match_the_approved_transcript() {
    let fleet = Fleet::start().await;
    let [one, two, three] = fleet.machines.as_slice() else { panic!("three machines") };
    let mut operator = Operator::new();
    operator.describe(one).await;
    operator.replace(one, None, &document(1)).await;
    operator.replace(two, Some(0), &document(1)).await;
    for machine in &fleet.machines {
        let (_, body) = operator.describe(machine).await;
        assert_eq!(body, document(1), "the same bytes as were sent");
    }
    operator.replace(three, Some(1), &document(5)).await;
    operator.replace(one, Some(1), &document(6)).await;
    operator.replace(two, Some(5), &document(5)).await;
    operator.replace(two, Some(5), "{\"generation\":").await;
    operator.replace(two, Some(5), &document(7).replace("\"service\":\"s\"", "\"service\":\"x\"")).await;
    operator.call("GET", two, "/api/Config.Replace").await;
    operator.call("GET", two, "/api/Config").await;
    operator.describe(two).await;
    approve("operator", &operator.transcript);
}

#[tokio::test]
async fn metrics_show_the_view_and_the_outcomes_of_changes() {
    let fleet = Fleet::start().await;
    let mut operator = Operator::new();
    assert_eq!(operator.replace(&fleet.machines[0], None, &document(4)).await, 200);
    assert_eq!(operator.replace(&fleet.machines[0], Some(4), "{}").await, 400);
    let metrics = CoordinatorMetrics::new(&fleet.machines[0].node);
    metrics.refresh();
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, metrics.registry()).expect("a text");
    let has = |line: &str| text.lines().any(|other| other == line);
    assert!(has("marlwinch_coordinator_chain_members 3"), "{text}");
    assert!(has("marlwinch_coordinator_generation 4"), "{text}");
    assert!(has("marlwinch_coordinator_changes_total{outcome=\"taken\"} 1"), "{text}");
    assert!(has("marlwinch_coordinator_changes_total{outcome=\"invalid\"} 1"), "{text}");
}

#[tokio::test]
async fn of_two_concurrent_changes_to_one_generation_exactly_one_is_accepted() {
    let fleet = Fleet::start().await;
    let [one, two, three] = fleet.machines.as_slice() else { panic!("three machines") };
    let mut operator = Operator::new();
    assert_eq!(operator.replace(one, None, &document(1)).await, 200);
    let (mut left, mut right) = (Operator::new(), Operator::new());
    let (longer, shorter) = (document(2), document(2).replace("1000", "2000"));
    let statuses = tokio::join!(left.replace(two, Some(1), &longer), right.replace(three, Some(1), &shorter));
    assert!(matches!(statuses, (200, 412) | (412, 200)), "{statuses:?}");
    let accepted = if statuses.0 == 200 { longer } else { shorter };
    assert_eq!(operator.describe(one).await, (200, accepted));
}

#[tokio::test]
async fn an_agent_receives_the_endpoint_list_and_each_configuration() {
    let fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for machine in &fleet.machines {
        agents.push(Agent::connect(machine, "frontend-1").await);
    }
    for agent in &mut agents {
        agent.until_backends(&[("a", true), ("b", true), ("c", true)]).await;
    }
    let mut operator = Operator::new();
    operator.replace(&fleet.machines[0], None, &document(1)).await;
    let (sequence, received) = agents[2].fetch(1).await;
    assert_eq!(received, document(1));
    agents[2].send(&FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(sequence) });
    operator.replace(&fleet.machines[1], Some(1), &document(2)).await;
    for agent in &mut agents {
        assert_eq!(agent.fetch(sequence + 1).await.1, document(2));
    }
    // An agent that connects later is sent the current state, in any order.
    let mut late = Agent::connect(&fleet.machines[0], "frontend-2").await;
    let (mut view, mut list) = (false, false);
    late.until(|message| {
        view |=
            matches!(&message, ToAgent::View { members, has_quorum_contact: true, .. } if members.len() == 3);
        list |= matches!(&message, ToAgent::Backends(list) if list.backends.len() == 3);
        (view && list).then_some(())
    })
    .await;
    agents[0].until(|message| matches!(message, ToAgent::View { nodes: 2, .. }).then_some(())).await;
}

/// An agent connects to a coordinator that has lost its majority. It is notified of the configuration, but is
/// sent it only once a majority can confirm that none is newer.
#[tokio::test]
async fn a_coordinator_without_a_majority_sends_no_configuration() {
    const HEARTBEATS: usize = 4;
    let mut fleet = Fleet::start().await;
    let mut operator = Operator::new();
    assert_eq!(operator.replace(&fleet.machines[0], None, &document(1)).await, 200);
    for machine in &fleet.machines {
        assert_eq!(operator.describe(machine).await.0, 200);
    }
    let mut agent = Agent::connect(&fleet.machines[0], "frontend-1").await;
    let (sequence, _) = agent.fetch(1).await;
    fleet.machines.drain(1..).for_each(Machine::kill);
    let (status, _) = operator.call("GET", &fleet.machines[0], "/api/Config.Describe").await;
    assert_eq!(status, 503);
    let mut late = Agent::connect(&fleet.machines[0], "frontend-2").await;
    late.until(|message| matches!(message, ToAgent::ConfigurationAvailable { .. }).then_some(())).await;
    late.send(&FromAgent::FetchConfiguration { sequence: ConfigurationSequence(sequence), request_id: 7 });
    let mut heartbeats = 0;
    late.until(|message| {
        let handed_out =
            matches!(message, ToAgent::Configuration { .. } | ToAgent::NewestConfiguration { .. });
        assert!(!handed_out, "{message:?} without a majority");
        heartbeats += usize::from(message == ToAgent::Heartbeat);
        (heartbeats == HEARTBEATS).then_some(())
    })
    .await;
    fleet.machines.push(Machine::start(&fleet.plan, 1, &fleet.disks[1], false));
    let newest = ToAgent::NewestConfiguration { request_id: 7, sequence: ConfigurationSequence(sequence) };
    late.until(|message| (message == newest).then_some(())).await;
    late.until(|message| matches!(message, ToAgent::Configuration { .. }).then_some(())).await;
}

#[tokio::test]
async fn a_drain_reaches_all_agents_even_if_the_reader_is_killed() {
    let mut fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for machine in &fleet.machines {
        agents.push(Agent::connect(machine, "frontend-1").await);
    }
    for agent in &mut agents {
        agent.until_backends(&[("a", true), ("b", true), ("c", true)]).await;
    }
    fleet.platform.set("b", "draining");
    for agent in &mut agents {
        agent.until_backends(&[("a", true), ("b", false), ("c", true)]).await;
    }
    let reader = fleet.machines[0].node.endpoints.summary().reader.expect("a reader");
    let position = fleet.machines.iter().position(|machine| machine.internal == reader).expect("one of them");
    fleet.machines.remove(position).kill();
    agents.remove(position);
    fleet.platform.set("c", "draining");
    let started = std::time::Instant::now();
    for agent in &mut agents {
        agent.until_backends(&[("a", true), ("b", false), ("c", false)]).await;
    }
    println!("drain known at all agents {} ms after the reader was killed", started.elapsed().as_millis());
}

#[tokio::test]
async fn a_node_that_shuts_down_gracefully_is_no_longer_counted() {
    let fleet = Fleet::start().await;
    let head = &fleet.machines[0];
    head.wait_until_acting_head().await;
    let mut stays = Agent::connect(head, "frontend-1").await;
    let leaves = Agent::connect(head, "frontend-2").await;
    let count = |wanted| {
        move |message| matches!(message, ToAgent::View { nodes, .. } if nodes == wanted).then_some(())
    };
    stays.until(count(2)).await;
    leaves.send(&FromAgent::Leaving { quota_use_reported: true });
    stays.until(count(1)).await;
}

/// Agents report their index to the head; the head requests the cached blocks from the backend, shows the
/// mismatch in its status, and sends the correction to agents.
#[tokio::test]
async fn a_block_dropped_by_a_backend_is_reported_and_corrected_at_agents() {
    let fleet = Fleet::start().await;
    let cached_blocks: Vec<(u64, u64)> = (0..40).map(|number| (number << 58 | number, 100)).collect();
    let engine = Engine::start(next_ip(), "engine", &cached_blocks).await;
    fleet.platform.add(engine.name, engine.address);
    let mut operator = Operator::new();
    let audited = document(1).replace(r#""tls":false"#, r#""tls":false,"holdings_path":"/holdings""#);
    assert_eq!(operator.replace(&fleet.machines[0], None, &audited).await, 200);
    let head = &fleet.machines[0];
    head.wait_until_acting_head().await;
    let mut agent = Agent::connect(head, "frontend-1").await;
    let backend = control_protocol::instance_key(engine.name);
    let change = |block, tokens| IndexChange { backend, block, tokens };
    let mut changes: Vec<IndexChange> =
        cached_blocks.iter().map(|(block, tokens)| change(*block, Some(*tokens as u32))).collect();
    let dropped = 0x1234_5678_9abc_def0;
    changes.push(change(dropped, Some(700)));
    // A report that arrives before the audit runs is ignored, so it is sent again when the index is
    // requested.
    let report = FromAgent::IndexChanges { restart: true, changes };
    let corrections = |message| match message {
        ToAgent::IndexCorrections(corrections) => Some(corrections),
        _ => None,
    };
    assert_eq!(agent.until_after_report(&report, corrections).await, [change(dropped, None)]);
    let (_, status) = operator.call("GET", head, "/api/status").await;
    let status: serde_json::Value = serde_json::from_str(&status).expect("a status");
    let mismatches = status["index"]["mismatches"].as_array().expect("mismatches");
    assert_eq!(mismatches.len(), 1, "{mismatches:?}");
    let wanted = ("engine", "123456789abcdef0", "dropped", "index_corrected");
    let text = |name: &str| mismatches[0][name].as_str().unwrap_or_default();
    assert_eq!((text("instance_id"), text("part"), text("kind"), text("outcome")), wanted);
    // The other backends on the list don't respond, and are shown as not audited.
    let states = status["index"]["backends"].as_array().expect("backends");
    let is_audited = |name: &str| {
        let state = states.iter().find(|state| state["instance_id"] == name).expect("listed");
        !state["state"].as_str().unwrap_or_default().starts_with("not audited")
    };
    assert_eq!((is_audited("engine"), is_audited("a")), (true, false));
}

#[tokio::test]
async fn agents_can_compare_and_repair_the_endpoint_list_by_ranges() {
    let fleet = Fleet::start().await;
    let mut agent = Agent::connect(&fleet.machines[0], "frontend-1").await;
    agent.until_backends(&[("a", true), ("b", true), ("c", true)]).await;
    let digest = |message| match message {
        ToAgent::BackendsDigest { digest, .. } => Some(digest),
        _ => None,
    };
    let digest = agent.until(digest).await;
    assert_eq!(digest.count, 3);
    agent.send(&FromAgent::CompareBackends { version: BackendListVersion(0), range: KeyRange::ALL });
    let items = |message| match message {
        ToAgent::BackendsRange { content: RangeContent::Items(items), .. } => Some(items),
        _ => None,
    };
    let items = agent.until(items).await;
    let own: DigestedSet = items.iter().copied().collect();
    assert_eq!(own.digest(KeyRange::ALL), digest);
    let absent = 5;
    agent
        .send(&FromAgent::RequestBackends { version: BackendListVersion(0), keys: vec![items[1].0, absent] });
    let repaired = |message| match message {
        ToAgent::BackendsRepaired { keys, backends, .. } => Some((keys, backends)),
        _ => None,
    };
    let (keys, backends) = agent.until(repaired).await;
    assert_eq!(keys, [items[1].0, absent]);
    assert_eq!(backends.iter().map(|b| (b.key(), b.content_hash())).collect::<Vec<_>>(), [items[1]]);
}

#[tokio::test]
async fn only_one_coordinator_reads_the_platform_and_it_recovers_after_a_rejection() {
    let fleet = Fleet::start().await;
    let mut agent = Agent::connect(&fleet.machines[2], "frontend-1").await;
    agent.until_backends(&[("a", true), ("b", true), ("c", true)]).await;
    let pages = 2;
    let before = fleet.platform.calls() / pages;
    let confirmations = 4;
    for _ in 0..confirmations {
        agent.until(|message| matches!(message, ToAgent::BackendsConfirmed { .. }).then_some(())).await;
    }
    let reads = fleet.platform.calls() / pages - before;
    // One more read may be in progress, and another coordinator may have read before the first update reached
    // it.
    assert!(reads <= confirmations + 2, "{reads} reads");
    fleet.platform.set_rejection(Some(StatusCode::TOO_MANY_REQUESTS));
    let called = fleet.platform.calls();
    agent.until(|_| (fleet.platform.calls() > called).then_some(())).await;
    fleet.platform.set("c", "draining");
    fleet.platform.set_rejection(None);
    agent.until_backends(&[("a", true), ("b", true), ("c", false)]).await;
}

#[tokio::test]
async fn acknowledged_changes_survive_a_kill_of_all_coordinators() {
    let mut fleet = Fleet::start().await;
    let mut operator = Operator::new();
    assert_eq!(operator.replace(&fleet.machines[0], None, &document(1)).await, 200);
    fleet.machines.drain(..).for_each(Machine::kill);
    let restarted = (0..3).map(|number| Machine::start(&fleet.plan, number, &fleet.disks[number], false));
    fleet.machines = restarted.collect();
    for machine in &fleet.machines {
        assert_eq!(operator.describe(machine).await, (200, document(1)));
    }
    fleet.machines.drain(..).for_each(Machine::terminate);
}

#[tokio::test]
async fn list_versions_increase_across_a_restart_of_the_whole_core() {
    let mut fleet = Fleet::start().await;
    let mut agent = Agent::connect(&fleet.machines[0], "frontend-1").await;
    let all_ready = [("a", true), ("b", true), ("c", true)];
    let before = agent.until_backends(&all_ready).await;
    fleet.machines.drain(..).for_each(Machine::kill);
    fleet.machines =
        (0..3).map(|number| Machine::start(&fleet.plan, number, &fleet.disks[number], false)).collect();
    let mut agent = Agent::connect(&fleet.machines[0], "frontend-1").await;
    assert!(agent.until_backends(&all_ready).await > before);
    // Also if the wall clock has gone back: then an agent's report of its version raises the versions.
    let later = BackendListVersion(before.number() + (1 << 40));
    agent.send(&FromAgent::BackendsSeen { version: later });
    // A read that started before the report arrived still has a lower version.
    let confirmed = agent
        .until(|message| match message {
            ToAgent::BackendsConfirmed { version } if version > later => Some(version),
            _ => None,
        })
        .await;
    fleet.platform.set("c", "draining");
    assert!(agent.until_backends(&[("a", true), ("b", true), ("c", false)]).await > confirmed);
}

#[tokio::test]
async fn a_coordinator_that_shuts_down_hands_over_to_the_others() {
    let mut fleet = Fleet::start().await;
    let mut operator = Operator::new();
    assert_eq!(operator.replace(&fleet.machines[0], None, &document(1)).await, 200);
    let mut agent = Agent::connect(&fleet.machines[2], "frontend-1").await;
    agent.until_backends(&[("a", true), ("b", true), ("c", true)]).await;
    fleet.machines.remove(0).terminate();
    fleet.platform.set("a", "draining");
    assert_eq!(operator.replace(&fleet.machines[0], Some(1), &document(2)).await, 200);
    agent.until_backends(&[("a", false), ("b", true), ("c", true)]).await;
}

#[tokio::test]
async fn only_the_acting_head_allocates_the_limits_of_tenants() {
    let fleet = Fleet::start().await;
    let mut operator = Operator::new();
    let tenants = r#""tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100,"burst":100}],"limits""#;
    let document = document(1).replace("\"limits\"", tenants);
    assert_eq!(operator.replace(&fleet.machines[0], None, &document).await, 200);
    let [one, two, three] = fleet.machines.as_slice() else { panic!("three machines") };
    let head = tokio::select! {
        () = one.wait_until_acting_head() => &one.name,
        () = two.wait_until_acting_head() => &two.name,
        () = three.wait_until_acting_head() => &three.name,
    };
    for machine in &fleet.machines {
        let mut agent = Agent::connect(machine, "frontend-1").await;
        agent.fetch(1).await;
        let (tenant, waiting) = ("t".to_string(), vec![1.0]);
        let demand = QuotaDemand {
            tenant,
            waiting,
            top_up: 0.0,
            fallback_rate: 0.0,
            used_without_grants: 0.0,
            rejected_cost: 0.0,
        };
        let request =
            QuotaRequest { number: 1, last_answered: 0, last_answered_ms_ago: 0, demands: vec![demand] };
        agent.send(&FromAgent::QuotaRequest(request));
        let response = agent
            .until(|message| match message {
                ToAgent::QuotaResponse(response) => Some(Some(response)),
                ToAgent::Heartbeat => Some(None),
                _ => None,
            })
            .await;
        assert_eq!(response.is_some(), machine.name == *head, "{response:?} of {}", machine.name);
        assert!(response.is_none_or(|response| response.request_id == 1 && response.grants[0].amount >= 1.0));
    }
}
