//! The agent's state machine, without connections and with time passed in.

use agent::coordinator_selection::{Connectivity, MAX_MEMBER_LINKS, select_coordinators};
use agent::{AgentState, Effect, FETCH_TIMEOUT, FRESHNESS_LIMIT, LinkId, POLL_INTERVAL};
use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, BackendState, ConfigurationSequence,
    CoreMember, FromAgent, FromProxy, IndexChange, QuotaRequest, QuotaResponse, ToAgent, ToProxy,
};
use quickcheck::quickcheck;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const A: LinkId = LinkId(1);
const B: LinkId = LinkId(2);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7680)
}

fn agent() -> AgentState {
    let mut agent = AgentState::default();
    assert!(agent.handle_link_up(at(0), A, address(1)).is_empty());
    assert!(agent.handle_link_up(at(0), B, address(2)).is_empty());
    agent
}

fn available(sequence: u64) -> ToAgent {
    ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(sequence) }
}

fn configuration(sequence: u64) -> ToAgent {
    ToAgent::Configuration { sequence: ConfigurationSequence(sequence), document: vec![1, 2, 3] }
}

/// A response from the quota leader without grants.
fn empty_quota_response() -> QuotaResponse {
    QuotaResponse { request_id: 1, epoch: 1, number: 1, nodes: 1, grants: Vec::new() }
}

/// The effect of requesting a configuration from a coordinator.
fn fetch(request_id: u64, id: LinkId, sequence: u64) -> Vec<Effect> {
    vec![Effect::SendToCoordinator(
        id,
        FromAgent::FetchConfiguration { sequence: ConfigurationSequence(sequence), request_id },
    )]
}

/// Passes a coordinator's response to a request for a configuration to the agent.
fn respond(agent: &mut AgentState, now: Duration, id: LinkId, request_id: u64, sequence: u64) -> Vec<Effect> {
    assert_eq!(
        agent.handle_coordinator_message(
            now,
            id,
            ToAgent::NewestConfiguration { request_id, sequence: ConfigurationSequence(sequence) }
        ),
        vec![]
    );
    agent.handle_coordinator_message(now, id, configuration(sequence))
}

fn list(version: u64, names: &[(&str, BackendState)]) -> BackendList {
    let backend = |(name, state): &(&str, BackendState)| Backend {
        instance_id: name.to_string(),
        service: "s".into(),
        address: address(9),
        zone: "z".into(),
        generation: "v1".into(),
        slots: 6,
        state: *state,
        cold_remaining_ms: 0,
    };
    BackendList { version: BackendListVersion(version), backends: names.iter().map(backend).collect() }
}

#[test]
fn one_fetch_is_pending_at_a_time_and_goes_to_another_coordinator_after_a_timeout() {
    let mut agent = agent();
    assert_eq!(agent.handle_coordinator_message(at(10), A, available(4)), fetch(1, A, 4));
    assert_eq!(agent.handle_coordinator_message(at(20), B, available(4)), vec![]);
    let deadline = agent.next_deadline().expect("a deadline");
    assert_eq!(deadline, at(10) + FETCH_TIMEOUT);
    assert_eq!(agent.poll(deadline), fetch(2, B, 4));
    assert_eq!(agent.poll(deadline + FETCH_TIMEOUT), fetch(3, A, 4));
    assert_eq!(respond(&mut agent, deadline + FETCH_TIMEOUT, A, 3, 4), vec![]);
    assert_eq!((agent.configuration_sequence(), agent.next_deadline()), (ConfigurationSequence(4), None));
}

#[test]
fn a_fetch_moves_to_another_coordinator_when_its_link_ends() {
    let mut agent = agent();
    agent.handle_coordinator_message(at(10), A, available(4));
    agent.handle_coordinator_message(at(20), B, available(4));
    assert_eq!(agent.handle_link_down(at(30), A), fetch(2, B, 4));
}

/// A coordinator that was partitioned or stalled may send an outdated configuration: without a confirmation,
/// with a confirmation for a request to another coordinator, or long after the request. The agent rejects
/// these and requests the configuration again.
#[test]
fn a_configuration_that_may_be_outdated_is_rejected() {
    let mut agent = agent();
    assert_eq!(agent.handle_coordinator_message(at(10), A, available(4)), fetch(1, A, 4));
    assert_eq!(
        agent.handle_coordinator_message(at(11), A, configuration(4)),
        vec![],
        "without a confirmation"
    );
    let for_other_link = ToAgent::NewestConfiguration { request_id: 1, sequence: ConfigurationSequence(4) };
    agent.handle_coordinator_message(at(12), B, for_other_link);
    assert_eq!(
        agent.handle_coordinator_message(at(13), B, configuration(4)),
        vec![],
        "the request was sent to A"
    );
    assert_eq!(agent.configuration_sequence(), ConfigurationSequence(0));
    let after_stall = at(10) + FRESHNESS_LIMIT + at(10);
    assert_eq!(respond(&mut agent, after_stall, A, 1, 4), fetch(2, A, 4), "requested again");
    assert_eq!(agent.configuration_sequence(), ConfigurationSequence(0));
    respond(&mut agent, after_stall + at(5), A, 2, 4);
    assert_eq!(agent.configuration_sequence(), ConfigurationSequence(4));
    // A confirmation is valid for one configuration only.
    assert_eq!(agent.handle_coordinator_message(after_stall + at(6), A, configuration(5)), vec![]);
    assert_eq!(agent.configuration_sequence(), ConfigurationSequence(4));
}

#[test]
fn a_sequence_announced_during_a_fetch_is_fetched_next() {
    let mut agent = agent();
    agent.handle_coordinator_message(at(10), A, available(4));
    agent.handle_coordinator_message(at(20), A, available(6));
    assert_eq!(respond(&mut agent, at(30), A, 1, 4), fetch(2, A, 6));
    assert_eq!(respond(&mut agent, at(40), A, 2, 6), vec![]);
    assert_eq!(agent.handle_coordinator_message(at(50), B, available(5)), vec![]);
}

#[test]
fn only_newer_lists_are_applied_and_draining_backends_stay_draining() {
    use BackendState::{Draining, Ready};
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    let sent_list = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::SendToProxy(ToProxy::Backends(list)) => Some(list.clone()),
            _ => None,
        })
    };
    let first = list(5, &[("a", Ready), ("b", Draining)]);
    let effects = agent.handle_coordinator_message(at(0), A, ToAgent::Backends(first.clone()));
    assert_eq!(sent_list(&effects), Some(first));
    let older = list(4, &[("a", Ready)]);
    assert_eq!(sent_list(&agent.handle_coordinator_message(at(1), B, ToAgent::Backends(older))), None);
    let newer = list(6, &[("a", Ready), ("b", Ready)]);
    let effects = agent.handle_coordinator_message(at(2), B, ToAgent::Backends(newer));
    assert_eq!(sent_list(&effects), None, "unchanged, as a draining backend never becomes ready again");
    // A newer read confirms the list of A, which is then newer than that of B.
    let other = list(7, &[("a", Draining)]);
    assert!(sent_list(&agent.handle_coordinator_message(at(3), B, ToAgent::Backends(other))).is_some());
    let effects = agent.handle_coordinator_message(
        at(4),
        A,
        ToAgent::BackendsConfirmed { version: BackendListVersion(8) },
    );
    let list = sent_list(&effects).expect("the list of A");
    assert_eq!((list.version, list.backends.len()), (BackendListVersion(8), 2));
    assert!(list.backends.iter().all(|backend| backend.state == Draining));
}

#[test]
fn changes_are_applied_to_the_last_list_of_the_link() {
    use BackendState::{Draining, Ready};
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    let before = list(5, &[("a", Ready), ("b", Ready)]);
    let after = list(9, &[("b", Draining), ("c", Ready)]);
    let changes = BackendChanges::between(&before.backends, &after.backends);
    agent.handle_coordinator_message(at(0), A, ToAgent::Backends(before));
    agent.handle_coordinator_message(at(1), A, ToAgent::BackendsConfirmed { version: BackendListVersion(7) });
    let effects = agent.handle_coordinator_message(
        at(2),
        A,
        ToAgent::BackendsChanged { base: BackendListVersion(7), version: BackendListVersion(9), changes },
    );
    assert!(effects.contains(&Effect::SendToProxy(ToProxy::Backends(after))), "{effects:?}");
}

#[test]
fn changes_to_an_unknown_list_cause_a_reconnect() {
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    agent.handle_coordinator_message(at(0), A, ToAgent::Backends(list(5, &[("a", BackendState::Ready)])));
    let changed = |base| ToAgent::BackendsChanged {
        base,
        version: BackendListVersion(9),
        changes: BackendChanges::default(),
    };
    assert_eq!(
        agent.handle_coordinator_message(at(1), A, changed(BackendListVersion(6))),
        vec![Effect::Reconnect(A)]
    );
    // From a coordinator that has not sent a list yet, the agent requests the digest, to compare it with A's
    // list.
    let requested = vec![Effect::SendToCoordinator(B, FromAgent::FetchBackendsDigest)];
    assert_eq!(agent.handle_coordinator_message(at(2), B, changed(BackendListVersion(5))), requested);
}

#[test]
fn the_proxy_receives_the_age_of_the_list_only_above_a_threshold() {
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    let effects = agent.handle_coordinator_message(at(0), A, ToAgent::Backends(list(1, &[])));
    assert!(effects.contains(&Effect::SendToProxy(ToProxy::ControlPlaneStatus {
        endpoints_age_ms: 0,
        has_quorum_contact: false
    })));
    let view = ToAgent::View { number: 1, members: Vec::new(), nodes: 1, has_quorum_contact: true };
    let effects = agent.handle_coordinator_message(at(10), A, view);
    assert_eq!(
        effects,
        vec![Effect::SendToProxy(ToProxy::ControlPlaneStatus {
            endpoints_age_ms: 10,
            has_quorum_contact: true
        })]
    );
    assert_eq!(
        agent.handle_coordinator_message(
            at(900),
            A,
            ToAgent::BackendsConfirmed { version: BackendListVersion(2) }
        ),
        vec![]
    );
    let sent_to_proxy = |effects: Vec<Effect>| {
        effects.into_iter().filter(|effect| matches!(effect, Effect::SendToProxy(_))).collect::<Vec<_>>()
    };
    assert_eq!(sent_to_proxy(agent.poll(at(2000))), vec![]);
    let above_threshold =
        Effect::SendToProxy(ToProxy::ControlPlaneStatus { endpoints_age_ms: 2100, has_quorum_contact: true });
    assert_eq!(sent_to_proxy(agent.poll(at(3000))), vec![above_threshold]);
    let confirmed =
        Effect::SendToProxy(ToProxy::ControlPlaneStatus { endpoints_age_ms: 0, has_quorum_contact: true });
    let effects = agent.handle_coordinator_message(
        at(3100),
        A,
        ToAgent::BackendsConfirmed { version: BackendListVersion(3) },
    );
    assert_eq!(effects, vec![confirmed]);
}

#[test]
fn quota_requests_go_to_the_head_or_to_all_coordinators_while_it_is_not_connected() {
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    let request = QuotaRequest { number: 1, last_answered: 0, last_answered_ms_ago: 0, demands: Vec::new() };
    let from_proxy = FromProxy::QuotaRequest(request.clone());
    assert_eq!(agent.handle_proxy_message(at(1), from_proxy.clone()).len(), 2);
    let member = |last| CoreMember { id: u64::from(last), address: address(last), zone: "z".into() };
    let members = vec![member(2), member(1), member(3)];
    agent.handle_coordinator_message(
        at(2),
        A,
        ToAgent::View { number: 1, members, nodes: 1, has_quorum_contact: true },
    );
    let to_head = vec![Effect::SendToCoordinator(B, FromAgent::QuotaRequest(request.clone()))];
    assert_eq!(agent.handle_proxy_message(at(3), from_proxy.clone()), to_head);
    agent.handle_link_down(at(4), B);
    let to_all = vec![Effect::SendToCoordinator(A, FromAgent::QuotaRequest(request))];
    assert_eq!(agent.handle_proxy_message(at(5), from_proxy), to_all);
}

#[test]
fn a_coordinator_with_an_outdated_list_receives_the_newest_version() {
    let mut agent = agent();
    agent.handle_coordinator_message(at(0), A, ToAgent::Backends(list(3, &[])));
    agent.handle_coordinator_message(at(0), B, ToAgent::Backends(list(3, &[])));
    agent.poll(at(0) + POLL_INTERVAL);
    agent.handle_coordinator_message(
        at(1500),
        B,
        ToAgent::BackendsConfirmed { version: BackendListVersion(9) },
    );
    let effects = agent.poll(at(0) + 2 * POLL_INTERVAL);
    assert!(
        effects.contains(&Effect::SendToCoordinator(
            A,
            FromAgent::BackendsSeen { version: BackendListVersion(9) }
        )),
        "{effects:?}"
    );
}

#[test]
fn the_selected_coordinators_are_the_head_and_monitors_that_depend_on_the_node() {
    let members: Vec<CoreMember> = (1..=9)
        .map(|last| CoreMember { id: u64::from(last), address: address(last), zone: "z".into() })
        .collect();
    let seeds = [address(20), address(21)];
    let targets = select_coordinators("n-1", &members, &seeds, Connectivity::Connected);
    assert_eq!((targets.len(), targets[0]), (MAX_MEMBER_LINKS, address(1)));
    assert_eq!(select_coordinators("n-1", &members, &seeds, Connectivity::Connected), targets);
    let differ = (2..20).any(|n| {
        select_coordinators(&format!("n-{n}"), &members, &seeds, Connectivity::Connected) != targets
    });
    assert!(differ, "the same coordinators are selected for all nodes");
    let disconnected = select_coordinators("n-1", &members, &seeds, Connectivity::Disconnected);
    assert!(seeds.iter().all(|seed| disconnected.contains(seed)));
    assert_eq!(select_coordinators("n-1", &[], &seeds, Connectivity::Connected), Vec::new());
    assert_eq!(select_coordinators("n-1", &[], &seeds, Connectivity::Disconnected), seeds);
}

quickcheck! {
    /// Whatever coordinators send, in any order: the sequence numbers that a proxy receives only increase.
    fn a_proxy_never_receives_an_older_configuration(steps: Vec<(u8, u8)>) -> bool {
        let mut agent = agent();
        let (mut newest, mut now) = (ConfigurationSequence::NONE, 0);
        for (kind, value) in steps {
            now += 100;
            let (link, sequence) = (if kind % 2 == 0 { A } else { B }, u64::from(value % 16));
            let effects = match kind % 7 {
                0 | 1 => agent.handle_coordinator_message(at(now), link, available(sequence)),
                2 => agent.handle_coordinator_message(at(now), link, configuration(sequence)),
                3 => respond(&mut agent, at(now), link, u64::from(value >> 4), sequence),
                4 => agent.handle_proxy_up(at(now), newest),
                5 => agent.poll(at(now)),
                _ => { agent.handle_proxy_down(at(now)); Vec::new() }
            };
            for effect in effects {
                if let Effect::ConfigureProxy(configuration) = effect {
                    if configuration.sequence <= newest {
                        return false;
                    }
                    newest = configuration.sequence;
                }
            }
        }
        true
    }
}

#[test]
fn a_leaving_node_reports_whether_the_quota_leader_responded_until_its_end() {
    let leaving = |responses: &[u64], end: u64| {
        let mut agent = agent();
        agent.handle_proxy_up(at(0), ConfigurationSequence(0));
        for response in responses {
            agent.handle_coordinator_message(
                at(*response),
                A,
                ToAgent::QuotaResponse(empty_quota_response()),
            );
        }
        agent.handle_proxy_down(at(end));
        agent.leave_message()
    };
    assert_eq!(leaving(&[400, 800], 1200), FromAgent::Leaving { quota_use_reported: true });
    assert_eq!(
        leaving(&[400, 800], 1600),
        FromAgent::Leaving { quota_use_reported: false },
        "no recent response at the end"
    );
    assert_eq!(
        leaving(&[400, 2000], 2300),
        FromAgent::Leaving { quota_use_reported: false },
        "too long between the last two responses"
    );
    assert_eq!(leaving(&[800], 900), FromAgent::Leaving { quota_use_reported: false }, "only one response");
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    assert_eq!(
        agent.leave_message(),
        FromAgent::Leaving { quota_use_reported: false },
        "the proxy is connected"
    );
    // A proxy that has received no response, right after one that had.
    let record = |agent: &mut AgentState, ms| {
        agent.handle_coordinator_message(at(ms), A, ToAgent::QuotaResponse(empty_quota_response()));
    };
    record(&mut agent, 400);
    record(&mut agent, 800);
    agent.handle_proxy_down(at(900));
    agent.handle_proxy_up(at(950), ConfigurationSequence(0));
    agent.handle_proxy_down(at(1000));
    assert_eq!(
        agent.leave_message(),
        FromAgent::Leaving { quota_use_reported: false },
        "the responses were to another process"
    );
}

#[test]
fn index_changes_go_to_the_head_and_a_new_head_receives_the_complete_index() {
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    let change = IndexChange { backend: 1, block: 2, tokens: Some(3) };
    let index_changes = |restart| FromProxy::IndexChanges { restart, changes: vec![change] };
    assert_eq!(agent.handle_proxy_message(at(1), index_changes(false)), vec![], "the head is unknown");
    let member = |last| CoreMember { id: u64::from(last), address: address(last), zone: "z".into() };
    let view = |number, members| ToAgent::View { number, members, nodes: 1, has_quorum_contact: true };
    agent.handle_coordinator_message(at(2), A, view(1, vec![member(2), member(1)]));
    let index_request = vec![Effect::SendToProxy(ToProxy::IndexRequested)];
    assert_eq!(agent.handle_proxy_message(at(3), index_changes(false)), index_request);
    let to = |link, restart| {
        vec![Effect::SendToCoordinator(link, FromAgent::IndexChanges { restart, changes: vec![change] })]
    };
    assert_eq!(agent.handle_proxy_message(at(4), index_changes(true)), to(B, true));
    assert_eq!(agent.handle_proxy_message(at(5), index_changes(false)), to(B, false));
    agent.handle_coordinator_message(at(6), A, view(2, vec![member(1), member(2)]));
    assert_eq!(agent.handle_proxy_message(at(7), index_changes(false)), index_request);
    assert_eq!(agent.handle_proxy_message(at(8), index_changes(true)), to(A, true));
    // The complete index is also requested after a restart of the auditor or of the proxy.
    assert_eq!(agent.handle_coordinator_message(at(9), A, ToAgent::IndexRequested), index_request);
    agent.handle_proxy_down(at(10));
    agent.handle_proxy_up(at(11), ConfigurationSequence(0));
    assert_eq!(agent.handle_proxy_message(at(12), index_changes(false)), index_request);
    let corrections = ToAgent::IndexCorrections(vec![change]);
    let forwarded = vec![Effect::SendToProxy(ToProxy::IndexCorrections(vec![change]))];
    assert_eq!(agent.handle_coordinator_message(at(13), A, corrections), forwarded);
}

#[test]
fn the_lag_counts_from_the_announcement_and_ends_when_the_configuration_is_in_force() {
    let mut agent = agent();
    assert_eq!(agent.configuration_lag(at(900)), Duration::ZERO);
    agent.handle_coordinator_message(at(1000), A, available(2));
    agent.handle_coordinator_message(at(1400), B, available(3));
    assert_eq!(agent.configuration_lag(at(1500)), Duration::from_millis(500));
    let applied = |sequence| FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(sequence) };
    agent.handle_proxy_message(at(1600), applied(2));
    assert_eq!(agent.configuration_lag(at(1700)), Duration::from_millis(100), "3 is still missing");
    agent.handle_proxy_message(at(1800), applied(3));
    assert_eq!(agent.configuration_lag(at(2500)), Duration::ZERO);
    assert_eq!(agent.status().announced, ConfigurationSequence(3));
}

/// Whether these effects apply this configuration at the proxy.
fn configures(effects: &[Effect], sequence: u64) -> bool {
    let is_wanted = |effect: &Effect| {
        matches!(effect, Effect::ConfigureProxy(configuration)
            if configuration.sequence == ConfigurationSequence(sequence))
    };
    effects.iter().any(is_wanted)
}

fn confirmed(request_id: u64, sequence: u64) -> ToAgent {
    ToAgent::NewestConfiguration { request_id, sequence: ConfigurationSequence(sequence) }
}

/// Two links took turns, and each threw away the document that the other had asked for.
#[test]
fn a_document_that_takes_longer_than_a_request_waits_is_applied() {
    let mut agent = agent();
    agent.handle_proxy_up(at(0), ConfigurationSequence::NONE);
    assert_eq!(agent.handle_coordinator_message(at(0), A, available(2)), fetch(1, A, 2));
    agent.handle_coordinator_message(at(0), B, available(2));
    assert_eq!(agent.poll(at(500)).into_iter().take(1).collect::<Vec<_>>(), fetch(2, B, 2));
    // The confirmations arrive before the documents, which share the bandwidth of the frontend.
    agent.handle_coordinator_message(at(600), A, confirmed(1, 2));
    agent.handle_coordinator_message(at(610), B, confirmed(2, 2));
    let applied = agent.handle_coordinator_message(at(1200), A, configuration(2));
    assert!(configures(&applied, 2), "{applied:?}");
}

#[test]
fn no_other_coordinator_is_asked_while_a_confirmed_document_is_on_its_way() {
    let mut agent = agent();
    agent.handle_coordinator_message(at(0), A, available(2));
    agent.handle_coordinator_message(at(0), B, available(2));
    agent.handle_coordinator_message(at(100), A, confirmed(1, 2));
    let is_fetch = |effect: &Effect| {
        matches!(effect, Effect::SendToCoordinator(_, FromAgent::FetchConfiguration { .. }))
    };
    assert!(!agent.poll(at(2900)).iter().any(is_fetch), "the document may still be on its way");
    assert!(agent.poll(at(3000)).iter().any(is_fetch), "the coordinator may have stalled");
}

/// Of three coordinators only the two whose links had come up last were asked.
#[test]
fn every_coordinator_with_a_newer_configuration_is_asked_in_turn() {
    let (mut agent, third) = (agent(), LinkId(3));
    agent.handle_link_up(at(0), third, address(3));
    let mut asked = Vec::new();
    for id in [A, B, third] {
        asked.extend(agent.handle_coordinator_message(at(0), id, available(2)));
    }
    for time in [500, 1000, 1500, 2000] {
        asked.extend(agent.poll(at(time)));
    }
    let links: Vec<LinkId> = asked
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::SendToCoordinator(id, FromAgent::FetchConfiguration { .. }) => Some(id),
            _ => None,
        })
        .collect();
    assert_eq!(links, [A, third, B, third, A], "no coordinator is left out, and none asked twice in a row");
}
