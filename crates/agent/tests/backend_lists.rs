//! How an agent receives the list of backends: the complete list of one coordinator, and the differences of the others from it.
//! Without connections and with injected time.

mod support;

use agent::{AgentState, Effect, LinkId};
use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, BackendState, ConfigurationSequence, FromAgent,
    ToAgent, ToProxy, list_digest, list_digest_set,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::numbered_backend;

const A: LinkId = LinkId(1);
const B: LinkId = LinkId(2);
const C: LinkId = LinkId(3);
/// More than the time-out of a request for the complete list, in milliseconds.
const AFTER_TIMEOUT_MS: u64 = 1600;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn backend(number: u16) -> Backend {
    numbered_backend(number, BackendState::Ready)
}

fn list(version: u64, count: u16) -> BackendList {
    BackendList { version: BackendListVersion(version), backends: (0..count).map(backend).collect() }
}

fn digest(list: &BackendList) -> ToAgent {
    ToAgent::BackendsDigest { version: list.version, digest: list_digest(&list.backends) }
}

/// An agent with its proxy and three links.
fn agent() -> AgentState {
    let mut agent = AgentState::default();
    for (number, link) in [(1, A), (2, B), (3, C)] {
        agent.handle_link_up(at(0), link, SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 1));
    }
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    agent
}

/// The messages to coordinators.
fn sent_to_coordinators(effects: Vec<Effect>) -> Vec<(LinkId, FromAgent)> {
    let to_coordinator = |effect| match effect {
        Effect::SendToCoordinator(id, message) => Some((id, message)),
        _ => None,
    };
    effects.into_iter().filter_map(to_coordinator).collect()
}

fn sent_list(effects: Vec<Effect>) -> Option<BackendList> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::SendToProxy(ToProxy::Backends(list)) => Some(list),
        _ => None,
    })
}

#[test]
fn the_complete_list_is_requested_from_one_coordinator_and_compared_with_the_others_digests() {
    let (mut agent, first) = (agent(), list(5, 2000));
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(1), A, digest(&first))),
        [(A, FromAgent::FetchBackends)]
    );
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(2), B, digest(&first))),
        [],
        "one at a time"
    );
    let effects = agent.handle_coordinator_message(at(3), A, ToAgent::Backends(first.clone()));
    assert_eq!(sent_list(effects), Some(first.clone()));
    let same = BackendList { version: BackendListVersion(6), ..first.clone() };
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(4), B, digest(&same))),
        [],
        "nothing differs"
    );
    // From then on the link is followed by changes alone.
    let next = list(7, 2001);
    let changes = BackendChanges::between(&same.backends, &next.backends);
    let changed =
        ToAgent::BackendsChanged { base: BackendListVersion(6), version: BackendListVersion(7), changes };
    assert_eq!(sent_list(agent.handle_coordinator_message(at(5), B, changed)), Some(next));
}

#[test]
fn a_request_for_the_complete_list_times_out_to_another_coordinator() {
    let (mut agent, first) = (agent(), list(5, 3));
    agent.handle_coordinator_message(at(1), A, digest(&first));
    let confirmed = |version| ToAgent::BackendsConfirmed { version };
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(700), B, confirmed(BackendListVersion(6)))),
        []
    );
    let again = sent_to_coordinators(agent.handle_coordinator_message(
        at(1 + AFTER_TIMEOUT_MS),
        B,
        confirmed(BackendListVersion(7)),
    ));
    assert_eq!(again, [(B, FromAgent::FetchBackends)]);
    agent.handle_link_down(at(1 + AFTER_TIMEOUT_MS), B);
    let again = sent_to_coordinators(agent.handle_coordinator_message(
        at(2 + AFTER_TIMEOUT_MS),
        C,
        confirmed(BackendListVersion(7)),
    ));
    assert_eq!(again, [(C, FromAgent::FetchBackends)], "at once if the link of the request has ended");
}

#[test]
fn a_newer_list_of_another_coordinator_is_adopted_by_its_differences() {
    let (mut agent, first) = (agent(), list(5, 300));
    agent.handle_coordinator_message(at(1), A, digest(&first));
    agent.handle_coordinator_message(at(2), A, ToAgent::Backends(first.clone()));
    let mut newer = BackendList { version: BackendListVersion(8), ..first };
    newer.backends[7].state = BackendState::Draining;
    let mut effects = agent.handle_coordinator_message(at(3), B, digest(&newer));
    let mut received = None;
    for _ in 0..20 {
        let [Effect::SendToCoordinator(B, message)] = effects.as_slice() else { break };
        let response = match message.clone() {
            FromAgent::CompareBackends { range, .. } => ToAgent::BackendsRange {
                version: BackendListVersion(8),
                range,
                content: list_digest_set(&newer.backends).content(range),
            },
            FromAgent::RequestBackends { keys, .. } => {
                assert_eq!(keys, [newer.backends[7].key()]);
                ToAgent::BackendsRepaired {
                    version: BackendListVersion(8),
                    keys,
                    backends: vec![newer.backends[7].clone()],
                }
            }
            other => panic!("{other:?}"),
        };
        effects = agent.handle_coordinator_message(at(4), B, response);
        received = received.or(sent_list(effects.clone()));
    }
    assert_eq!(received, Some(newer));
}

#[test]
fn a_list_with_too_many_differences_is_requested_completely() {
    let (mut agent, first) = (agent(), list(5, 10));
    agent.handle_coordinator_message(at(1), A, digest(&first));
    agent.handle_coordinator_message(at(2), A, ToAgent::Backends(first));
    let other = list(8, 4000);
    let mut effects = sent_to_coordinators(agent.handle_coordinator_message(at(3), B, digest(&other)));
    for _ in 0..600 {
        let Some((B, FromAgent::CompareBackends { range, .. })) = effects.first().cloned() else { break };
        let content = list_digest_set(&other.backends).content(range);
        let response = ToAgent::BackendsRange { version: BackendListVersion(8), range, content };
        effects = sent_to_coordinators(agent.handle_coordinator_message(at(4), B, response));
    }
    assert_eq!(effects, [(B, FromAgent::FetchBackends)]);
    assert_eq!(
        sent_list(agent.handle_coordinator_message(at(5), B, ToAgent::Backends(other.clone()))),
        Some(other)
    );
}

#[test]
fn changes_to_an_unverified_list_are_not_applied() {
    let (mut agent, first) = (agent(), list(5, 10));
    agent.handle_coordinator_message(at(1), A, digest(&first));
    agent.handle_coordinator_message(at(2), A, ToAgent::Backends(first));
    let other = list(8, 11);
    assert!(
        !sent_to_coordinators(agent.handle_coordinator_message(at(3), B, digest(&other))).is_empty(),
        "it is compared"
    );
    let changed = ToAgent::BackendsChanged {
        base: BackendListVersion(8),
        version: BackendListVersion(9),
        changes: BackendChanges { changed: vec![backend(90)], removed: Vec::new() },
    };
    let effects = agent.handle_coordinator_message(at(4), B, changed);
    assert_eq!(sent_list(effects.clone()), None);
    assert_eq!(sent_to_coordinators(effects), [(B, FromAgent::FetchBackendsDigest)]);
}

/// The platform may leave a backend out of one list. An older read of another coordinator, under a higher version, has it ready.
#[test]
fn a_backend_that_drains_stays_draining_where_a_list_leaves_it_out() {
    let (mut agent, ready) = (agent(), list(5, 10));
    let with_version = |list: &BackendList, version: u64| BackendList {
        version: BackendListVersion(version),
        backends: list.backends.clone(),
    };
    let mut draining = with_version(&ready, 6);
    draining.backends[7].state = BackendState::Draining;
    let mut without = with_version(&ready, 7);
    without.backends.remove(7);
    for (second, sent) in [(1, &ready), (2, &draining), (3, &without)] {
        agent.handle_coordinator_message(at(second), A, ToAgent::Backends(sent.clone()));
    }
    let again = with_version(&ready, 8);
    let effects = agent.handle_coordinator_message(at(10), B, ToAgent::Backends(again));
    let received = sent_list(effects).expect("a list");
    assert_eq!(received.backends[7].state, BackendState::Draining);
    // Another process may have the id of one that has gone long ago.
    agent.handle_coordinator_message(at(11), A, ToAgent::Backends(with_version(&without, 9)));
    agent.handle_coordinator_message(at(80_000), A, ToAgent::Backends(with_version(&without, 10)));
    let effects =
        agent.handle_coordinator_message(at(81_000), A, ToAgent::Backends(with_version(&ready, 11)));
    assert_eq!(sent_list(effects).expect("a list").backends[7].state, BackendState::Ready);
}

/// A coordinator that has started later has versions that are higher by far. Once it is silent, one that reads on has to be told,
/// or its lists would be ignored for ever.
#[test]
fn a_coordinator_that_reads_on_is_told_of_the_version_of_one_that_is_silent() {
    let (mut agent, first) = (agent(), list(5, 10));
    agent.handle_coordinator_message(at(0), A, ToAgent::Backends(first.clone()));
    agent.handle_coordinator_message(
        at(100),
        B,
        digest(&BackendList { version: BackendListVersion(9_000), ..first }),
    );
    assert_eq!(agent.status().list_version, BackendListVersion(9_000));
    let confirmed = |version| ToAgent::BackendsConfirmed { version: BackendListVersion(version) };
    agent.handle_coordinator_message(at(700), A, confirmed(6));
    let seen = (A, FromAgent::BackendsSeen { version: BackendListVersion(9_000) });
    assert!(
        !sent_to_coordinators(agent.poll(at(1_000))).contains(&seen),
        "the other one may confirm its list yet"
    );
    agent.handle_coordinator_message(at(1_400), A, confirmed(7));
    assert!(sent_to_coordinators(agent.poll(at(2_000))).contains(&seen));
}
