//! Repair of a list that differs from the coordinator's: it is detected by its digest. Without connections.

mod support;

use agent::{AgentState, Effect, LinkId};
use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, BackendState, ConfigurationSequence, FromAgent,
    ToAgent, ToProxy, list_digest_set,
};
use quickcheck::quickcheck;
use range_digest::{KeyRange, RangeContent, RangeDigest};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::numbered_backend;

const LINK: LinkId = LinkId(1);
const NOW: Duration = Duration::ZERO;
/// The number of messages within which every repair must be complete.
const MAX_MESSAGES: usize = 400;

fn list(version: u64, backends: Vec<Backend>) -> BackendList {
    BackendList { version: BackendListVersion(version), backends }
}

/// An agent with a connected proxy, which has received this list.
fn agent(received: &BackendList) -> AgentState {
    let mut agent = AgentState::default();
    agent.handle_link_up(NOW, LINK, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
    agent.handle_proxy_up(NOW, ConfigurationSequence(0));
    agent.handle_coordinator_message(NOW, LINK, ToAgent::Backends(received.clone()));
    agent
}

/// The response of a coordinator that has this list as its current one.
fn respond(current: &BackendList, message: FromAgent) -> ToAgent {
    let version = current.version;
    match message {
        FromAgent::CompareBackends { range, .. } => ToAgent::BackendsRange {
            version,
            range,
            content: list_digest_set(&current.backends).content(range),
        },
        FromAgent::RequestBackends { keys, .. } => {
            let requested = current.backends.iter().filter(|backend| keys.contains(&backend.key()));
            ToAgent::BackendsRepaired { version, backends: requested.cloned().collect(), keys }
        }
        other => panic!("{other:?}"),
    }
}

fn list_digest(current: &BackendList) -> ToAgent {
    let digest = list_digest_set(&current.backends).digest(KeyRange::ALL);
    ToAgent::BackendsDigest { version: current.version, digest }
}

/// Passes the coordinator's digest to the agent, and responds to its requests until it sends none. Returns
/// the list that the proxy received, if any, and the number of responses.
fn repair(agent: &mut AgentState, current: &BackendList) -> (Option<BackendList>, usize) {
    let mut to_agent = vec![list_digest(current)];
    let (mut received, mut responses) = (None, 0);
    while let Some(message) = to_agent.pop() {
        for effect in agent.handle_coordinator_message(NOW, LINK, message) {
            match effect {
                Effect::SendToCoordinator(LINK, message) => to_agent.push(respond(current, message)),
                Effect::SendToProxy(ToProxy::Backends(list)) => received = Some(list),
                Effect::SendToProxy(_) => {}
                other => panic!("{other:?}"),
            }
        }
        responses += 1;
        assert!(responses < MAX_MESSAGES, "the repair does not end");
    }
    (received, responses - 1)
}

#[test]
fn equal_lists_need_no_request_after_the_digest() {
    let current = list(7, (0..200).map(|number| numbered_backend(number, BackendState::Ready)).collect());
    assert_eq!(repair(&mut agent(&current), &current), (None, 0));
}

#[test]
fn a_backend_that_is_ready_by_mistake_is_repaired_to_draining() {
    let current = list(7, (0..2000).map(|number| numbered_backend(number, BackendState::Ready)).collect());
    let mut coordinators = current.clone();
    coordinators.backends[1234].state = BackendState::Draining;
    let mut agent = agent(&current);
    let (received, responses) = repair(&mut agent, &coordinators);
    assert_eq!(received, Some(coordinators.clone()));
    assert!(responses <= 5, "{responses} responses for one of 2,000 backends");
    assert_eq!(repair(&mut agent, &coordinators), (None, 0), "the lists are equal after the repair");
}

#[test]
fn a_digest_of_another_version_is_ignored() {
    let mut agent = agent(&list(7, vec![numbered_backend(1, BackendState::Ready)]));
    let digest = ToAgent::BackendsDigest { version: BackendListVersion(8), digest: RangeDigest::default() };
    assert_eq!(agent.handle_coordinator_message(NOW, LINK, digest), vec![]);
}

#[test]
fn a_response_for_an_outdated_list_is_ignored() {
    let before = list(7, (0..100).map(|number| numbered_backend(number, BackendState::Ready)).collect());
    let mut agent = agent(&before);
    let differs =
        ToAgent::BackendsDigest { version: BackendListVersion(7), digest: RangeDigest { count: 9, sum: 9 } };
    let effects = agent.handle_coordinator_message(NOW, LINK, differs);
    assert_eq!(effects.len(), 1);
    let newer = list(8, (0..90).map(|number| numbered_backend(number, BackendState::Ready)).collect());
    agent.handle_coordinator_message(NOW, LINK, ToAgent::Backends(newer.clone()));
    let late = ToAgent::BackendsRange {
        version: BackendListVersion(7),
        range: KeyRange::ALL,
        content: RangeContent::Items(Vec::new()),
    };
    assert_eq!(agent.handle_coordinator_message(NOW, LINK, late), vec![]);
    assert_eq!(repair(&mut agent, &newer), (None, 0));
}

/// The link to another coordinator, whose list the agent assumes to equal the first one's.
const OTHER_LINK: LinkId = LinkId(2);

/// Passes a message from the other coordinator to the agent. Returns the agent's requests to that
/// coordinator, and the list that its proxy receives.
fn after_message(agent: &mut AgentState, message: ToAgent) -> (Vec<FromAgent>, Option<BackendList>) {
    let (mut requests, mut received) = (Vec::new(), None);
    for effect in agent.handle_coordinator_message(NOW, OTHER_LINK, message) {
        match effect {
            Effect::SendToCoordinator(OTHER_LINK, request) => requests.push(request),
            Effect::SendToProxy(ToProxy::Backends(list)) => received = Some(list),
            Effect::SendToProxy(_) => {}
            other => panic!("{other:?}"),
        }
    }
    (requests, received)
}

#[test]
fn a_late_response_to_an_earlier_comparison_does_not_end_the_next_one() {
    let numbered = |numbers: std::ops::Range<u16>| -> Vec<Backend> {
        numbers.map(|number| numbered_backend(number, BackendState::Ready)).collect()
    };
    let mut agent = agent(&list(7, numbered(0..100)));
    agent.handle_link_up(NOW, OTHER_LINK, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2));
    // The agent compares the other coordinator's list up to the last request.
    let before = list(8, numbered(0..97));
    let (mut requests, _) = after_message(&mut agent, list_digest(&before));
    while let [FromAgent::CompareBackends { .. }] = requests.as_slice() {
        (requests, _) = after_message(&mut agent, respond(&before, requests[0].clone()));
    }
    let [late @ FromAgent::RequestBackends { .. }] = requests.as_slice() else { panic!("{requests:?}") };
    // Before the coordinator responds, its list changes and a new comparison begins. The late response is for
    // the keys of the earlier comparison, with entries of the newer list.
    let after = list(9, numbered(0..90));
    let changes = BackendChanges::between(&before.backends, &after.backends);
    let changed = ToAgent::BackendsChanged { base: before.version, version: after.version, changes };
    assert_eq!(after_message(&mut agent, changed).0, [FromAgent::FetchBackendsDigest]);
    let (mut requests, _) = after_message(&mut agent, list_digest(&after));
    let late_response = respond(&after, late.clone());
    assert_eq!(after_message(&mut agent, late_response), (Vec::new(), None));
    let mut received = None;
    while let Some(request) = requests.pop() {
        let (next, list) = after_message(&mut agent, respond(&after, request));
        requests.extend(next);
        received = received.or(list);
    }
    assert_eq!(received, Some(after));
}

#[test]
fn an_invalid_response_causes_a_reconnect() {
    let mut agent = agent(&list(7, vec![numbered_backend(1, BackendState::Ready)]));
    let differs =
        ToAgent::BackendsDigest { version: BackendListVersion(7), digest: RangeDigest { count: 9, sum: 9 } };
    agent.handle_coordinator_message(NOW, LINK, differs);
    let invalid = ToAgent::BackendsRange {
        version: BackendListVersion(7),
        range: KeyRange::ALL,
        content: RangeContent::Parts(vec![RangeDigest::default(); 3]),
    };
    assert_eq!(agent.handle_coordinator_message(NOW, LINK, invalid), vec![Effect::Reconnect(LINK)]);
}

quickcheck! {
    /// Whatever the two lists are: after the repair, the agent has the coordinator's.
    fn any_list_is_repaired(own: Vec<(u8, bool)>, coordinators: Vec<(u8, bool)>) -> bool {
        let make = |entries: Vec<(u8, bool)>| {
            let state = |ready| if ready { BackendState::Ready } else { BackendState::Draining };
            let mut backends: Vec<Backend> =
                entries
                    .into_iter()
                    .map(|(number, ready)| numbered_backend(u16::from(number), state(ready)))
                    .collect();
            backends.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
            backends.dedup_by(|one, other| one.instance_id == other.instance_id);
            list(3, backends)
        };
        let (own, coordinators) = (make(own), make(coordinators));
        let mut agent = agent(&own);
        repair(&mut agent, &coordinators);
        repair(&mut agent, &coordinators) == (None, 0)
    }
}
