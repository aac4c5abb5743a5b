//! How an agent receives lists of backends: the complete list from one coordinator, and only differences from
//! the others. Without connections and with time passed in.

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
/// A time after which a request for the complete list has timed out, in milliseconds.
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

/// An agent with three links and a connected proxy.
fn agent() -> AgentState {
    let mut agent = AgentState::default();
    for (number, link) in [(1, A), (2, B), (3, C)] {
        agent.handle_link_up(at(0), link, SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 1));
    }
    agent.handle_proxy_up(at(0), ConfigurationSequence(0));
    agent
}

/// The messages that these effects send to coordinators.
fn sent_to_coordinators(effects: Vec<Effect>) -> Vec<(LinkId, FromAgent)> {
    let to_coordinator = |effect| match effect {
        Effect::SendToCoordinator(id, message) => Some((id, message)),
        _ => None,
    };
    effects.into_iter().filter_map(to_coordinator).collect()
}

/// The list that these effects send to the proxy.
fn sent_list(effects: Vec<Effect>) -> Option<BackendList> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::SendToProxy(ToProxy::Backends(list)) => Some(list),
        _ => None,
    })
}

#[test]
fn the_complete_list_is_requested_from_one_coordinator_and_compared_with_digests_of_others() {
    let (mut agent, first) = (agent(), list(5, 2000));
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(1), A, digest(&first))),
        [(A, FromAgent::FetchBackends)]
    );
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(2), B, digest(&first))),
        [],
        "only one request at a time"
    );
    let effects = agent.handle_coordinator_message(at(3), A, ToAgent::Backends(first.clone()));
    assert_eq!(sent_list(effects), Some(first.clone()));
    let same = BackendList { version: BackendListVersion(6), ..first.clone() };
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(4), B, digest(&same))),
        [],
        "the lists are equal"
    );
    // From then on, the list of this link is kept current by changes.
    let next = list(7, 2001);
    let changes = BackendChanges::between(&same.backends, &next.backends);
    let changed =
        ToAgent::BackendsChanged { base: BackendListVersion(6), version: BackendListVersion(7), changes };
    assert_eq!(sent_list(agent.handle_coordinator_message(at(5), B, changed)), Some(next));
}

#[test]
fn the_complete_list_is_requested_from_another_coordinator_after_a_timeout() {
    let (mut agent, first) = (agent(), list(5, 3));
    agent.handle_coordinator_message(at(1), A, digest(&first));
    let confirmed = |version| ToAgent::BackendsConfirmed { version };
    assert_eq!(
        sent_to_coordinators(agent.handle_coordinator_message(at(700), B, confirmed(BackendListVersion(6)))),
        []
    );
    let requested = sent_to_coordinators(agent.handle_coordinator_message(
        at(1 + AFTER_TIMEOUT_MS),
        B,
        confirmed(BackendListVersion(7)),
    ));
    assert_eq!(requested, [(B, FromAgent::FetchBackends)]);
    agent.handle_link_down(at(1 + AFTER_TIMEOUT_MS), B);
    let requested = sent_to_coordinators(agent.handle_coordinator_message(
        at(2 + AFTER_TIMEOUT_MS),
        C,
        confirmed(BackendListVersion(7)),
    ));
    assert_eq!(requested, [(C, FromAgent::FetchBackends)], "at once, as the link of the request has ended");
}

#[test]
fn only_the_differences_of_another_coordinators_newer_list_are_requested() {
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
fn a_list_with_too_many_differences_is_requested_in_full() {
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
        "the list is compared"
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

/// Guards against a draining backend that becomes ready again: the platform omits it from one list, and then
/// an older read by another coordinator, under a higher version, has it as ready.
#[test]
fn a_draining_backend_stays_draining_after_a_list_that_omits_it() {
    let (mut agent, ready) = (agent(), list(5, 10));
    let with_version = |list: &BackendList, version: u64| BackendList {
        version: BackendListVersion(version),
        backends: list.backends.clone(),
    };
    let mut draining = with_version(&ready, 6);
    draining.backends[7].state = BackendState::Draining;
    let mut omitted = with_version(&ready, 7);
    omitted.backends.remove(7);
    for (ms, sent) in [(1, &ready), (2, &draining), (3, &omitted)] {
        agent.handle_coordinator_message(at(ms), A, ToAgent::Backends(sent.clone()));
    }
    let older_read = with_version(&ready, 8);
    let effects = agent.handle_coordinator_message(at(10), B, ToAgent::Backends(older_read));
    let received = sent_list(effects).expect("a list");
    assert_eq!(received.backends[7].state, BackendState::Draining);
    // The id is forgotten a minute after the last list that contains it; another process may use it then.
    agent.handle_coordinator_message(at(11), A, ToAgent::Backends(with_version(&omitted, 9)));
    agent.handle_coordinator_message(at(80_000), A, ToAgent::Backends(with_version(&omitted, 10)));
    let effects =
        agent.handle_coordinator_message(at(81_000), A, ToAgent::Backends(with_version(&ready, 11)));
    assert_eq!(sent_list(effects).expect("a list").backends[7].state, BackendState::Ready);
}

/// Versions of a coordinator that has started later are higher by far. When it stops reading, the others must
/// learn its last version; otherwise, their lists would be ignored forever.
#[test]
fn a_coordinator_that_continues_to_read_learns_the_version_of_one_that_is_silent() {
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
        "the other coordinator may still confirm its list"
    );
    agent.handle_coordinator_message(at(1_400), A, confirmed(7));
    assert!(sent_to_coordinators(agent.poll(at(2_000))).contains(&seen));
}
