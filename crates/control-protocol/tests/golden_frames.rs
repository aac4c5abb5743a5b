//! Golden files for the frames of all messages between agents and coordinators, and between proxies and
//! agents; and for the constants and hashes that all processes must agree on.
//!
//! The golden files in `tests/golden` are only written by `GOLDEN=write cargo test -p control-protocol --test
//! golden_frames`. Otherwise, a missing or different file fails the test, which prints the first difference.

#[path = "golden/compare.rs"]
mod compare;
#[path = "golden/frames.rs"]
mod frames;

use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, BackendState, ConfigurationSequence,
    CoreMember, FromAgent, FromProxy, IndexChange, MAX_FRAME_BYTES, MAX_INDEX_CHANGES_PER_MESSAGE,
    QUOTA_REQUEST_INTERVAL_MS, QuotaDemand, QuotaGrant, QuotaRequest, QuotaResponse, ToAgent, ToProxy,
    VERSION,
};
use frames::{Messages, assert_old_frames_decode, decoded, without};
use range_digest::{KeyRange, RangeContent, RangeDigest};
use std::fmt::Write;

const DOCUMENT: &[u8] = br#"{"generation":7,"routes":[]}"#;

fn name_of(state: BackendState) -> &'static str {
    match state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
    }
}

/// Two backends that share strings, and one whose strings are empty.
fn backends() -> Vec<Backend> {
    let backend = |instance_id: &str, address: &str, state: BackendState| Backend {
        instance_id: instance_id.into(),
        service: "chat".into(),
        address: address.parse().expect("an address"),
        zone: "east".into(),
        generation: "v1".into(),
        slots: 64,
        state,
        cold_remaining_ms: 0,
    };
    let draining = Backend {
        zone: "west".into(),
        cold_remaining_ms: 90_000,
        ..backend("i-7f3a91c2", "10.128.3.9:8080", BackendState::Draining)
    };
    let empty = Backend {
        service: String::new(),
        zone: String::new(),
        generation: String::new(),
        slots: 0,
        ..backend("", "255.255.255.255:65535", BackendState::Ready)
    };
    vec![backend("i-00000001", "10.128.0.1:80", BackendState::Ready), draining, empty]
}

fn changes() -> BackendChanges {
    BackendChanges { changed: backends(), removed: vec!["i-00000002".into(), "i-00000003".into()] }
}

fn quota_request() -> QuotaRequest {
    let busy = QuotaDemand {
        tenant: "acme".into(),
        waiting: vec![1.0, 9000.0, 0.1],
        top_up: 250.5,
        fallback_rate: 12.25,
        used_without_grants: 3.0,
        rejected_cost: 40.0,
    };
    let idle = QuotaDemand {
        tenant: "zephyr".into(),
        waiting: Vec::new(),
        top_up: 0.0,
        fallback_rate: 0.0,
        used_without_grants: 0.0,
        rejected_cost: 0.0,
    };
    QuotaRequest { number: 12, last_answered: 11, last_answered_ms_ago: 400, demands: vec![busy, idle] }
}

fn first_quota_request() -> QuotaRequest {
    QuotaRequest { number: 1, last_answered: 0, last_answered_ms_ago: 70_000, demands: Vec::new() }
}

fn quota_response() -> QuotaResponse {
    let granted = QuotaGrant {
        tenant: "acme".into(),
        amount: 9001.1,
        fallback_rate: 12.25,
        remaining: 100.5,
        wait_ms: 0,
        retry_ms: 0,
        pressure: 0.75,
    };
    let refused = QuotaGrant {
        tenant: "zephyr".into(),
        amount: 0.0,
        fallback_rate: 0.0,
        remaining: -3.0,
        wait_ms: 500,
        retry_ms: 1700,
        pressure: 2.5,
    };
    QuotaResponse {
        request_id: 12,
        epoch: 4,
        number: 1_764_000_000_123,
        nodes: 350,
        grants: vec![granted, refused],
    }
}

fn empty_quota_response() -> QuotaResponse {
    QuotaResponse { request_id: 1, epoch: 1, number: 1, nodes: 1, grants: Vec::new() }
}

fn index_changes() -> Vec<IndexChange> {
    let cached = IndexChange { backend: u64::MAX, block: 0x1234_5678_9abc_def0, tokens: Some(700) };
    vec![cached, IndexChange { block: 5, tokens: None, ..cached }]
}

#[test]
fn messages_from_agents_to_coordinators_match_their_frames() {
    use FromAgent::*;
    let range = KeyRange::new(0xab << 56, 8).expect("a range");
    let hello = |configuration_sequence| Hello {
        version: VERSION,
        node: "frontend-1".into(),
        ip: [10, 1, 0, 26].into(),
        zone: "east".into(),
        configuration_sequence,
    };
    Messages {
        file: "from_agent.txt",
        about: "What an agent says to a coordinator",
        samples: vec![
            ("Hello", hello(ConfigurationSequence(3))),
            ("Hello without a configuration", hello(ConfigurationSequence(0))),
            ("Fetch", FetchConfiguration { sequence: ConfigurationSequence(12), request_id: 3 }),
            ("InForce", ConfigurationApplied { sequence: ConfigurationSequence(12) }),
            ("Demands", QuotaRequest(quota_request())),
            ("Demands of nothing", QuotaRequest(first_quota_request())),
            (
                "BackendsSeen",
                BackendsSeen { version: BackendListVersion(115_000_000_000_123 << 16 | 0xbeef) },
            ),
            ("FetchBackends", FetchBackends),
            ("FetchBackendsDigest", FetchBackendsDigest),
            (
                "CompareBackends of all keys",
                CompareBackends { version: BackendListVersion(907), range: KeyRange::ALL },
            ),
            ("CompareBackends of a range", CompareBackends { version: BackendListVersion(907), range }),
            ("WantBackends", RequestBackends { version: BackendListVersion(907), keys: vec![5, u64::MAX] }),
            ("IndexChanges", IndexChanges { restart: false, changes: index_changes() }),
            ("IndexChanges anew", IndexChanges { restart: true, changes: Vec::new() }),
            ("Leaving, settled", Leaving { quota_use_reported: true }),
            ("Leaving", Leaving { quota_use_reported: false }),
            ("Heartbeat", Heartbeat),
        ],
        variant: |message| match message {
            Hello { .. } => "Hello",
            FetchConfiguration { .. } => "Fetch",
            ConfigurationApplied { .. } => "InForce",
            QuotaRequest(_) => "Demands",
            BackendsSeen { .. } => "BackendsSeen",
            FetchBackends => "FetchBackends",
            FetchBackendsDigest => "FetchBackendsDigest",
            CompareBackends { .. } => "CompareBackends",
            RequestBackends { .. } => "WantBackends",
            IndexChanges { .. } => "IndexChanges",
            Leaving { .. } => "Leaving",
            Heartbeat => "Heartbeat",
        },
        variants: &[
            "Hello",
            "Fetch",
            "InForce",
            "Demands",
            "BackendsSeen",
            "FetchBackends",
            "FetchBackendsDigest",
            "CompareBackends",
            "WantBackends",
            "IndexChanges",
            "Leaving",
            "Heartbeat",
        ],
    }
    .assert_match_golden();
}

#[test]
fn messages_from_coordinators_to_agents_match_their_frames() {
    use ToAgent::*;
    let member = |id: u64, address: &str, zone: &str| CoreMember {
        id,
        address: address.parse().expect("an address"),
        zone: zone.into(),
    };
    let members = vec![member(u64::MAX, "10.1.0.29:7680", "east"), member(0xaa, "10.2.0.37:7680", "west")];
    let digest = RangeDigest { count: 3, sum: 0x0123_4567_89ab_cdef };
    let parts =
        RangeContent::Parts((0..16).map(|count| RangeDigest { count, sum: u64::MAX - count }).collect());
    let items = RangeContent::Items(vec![(5, 6), (u64::MAX, 0)]);
    let range = KeyRange::new(0xab << 56, 8).expect("a range");
    Messages {
        file: "to_agent.txt",
        about: "What a coordinator says to an agent",
        samples: vec![
            ("View", View { number: 4, members, nodes: 350, has_quorum_contact: true }),
            (
                "View before any is agreed",
                View { number: 0, members: Vec::new(), nodes: 1, has_quorum_contact: false },
            ),
            ("Available", ConfigurationAvailable { sequence: ConfigurationSequence(12) }),
            ("Newest", NewestConfiguration { request_id: 3, sequence: ConfigurationSequence(12) }),
            (
                "Configuration",
                Configuration { sequence: ConfigurationSequence(12), document: DOCUMENT.to_vec() },
            ),
            ("Backends", Backends(BackendList { version: BackendListVersion(907), backends: backends() })),
            (
                "Backends, none",
                Backends(BackendList { version: BackendListVersion(1), backends: Vec::new() }),
            ),
            (
                "BackendsChanged",
                BackendsChanged {
                    base: BackendListVersion(906),
                    version: BackendListVersion(907),
                    changes: changes(),
                },
            ),
            (
                "BackendsChanged in nothing",
                BackendsChanged {
                    base: BackendListVersion(906),
                    version: BackendListVersion(907),
                    changes: BackendChanges::default(),
                },
            ),
            ("BackendsConfirmed", BackendsConfirmed { version: BackendListVersion(908) }),
            ("BackendsDigest", BackendsDigest { version: BackendListVersion(907), digest }),
            (
                "BackendsRange of parts",
                BackendsRange { version: BackendListVersion(907), range: KeyRange::ALL, content: parts },
            ),
            (
                "BackendsRange of items",
                BackendsRange { version: BackendListVersion(907), range, content: items },
            ),
            (
                "BackendsMended",
                BackendsRepaired {
                    version: BackendListVersion(907),
                    keys: vec![5, u64::MAX],
                    backends: backends(),
                },
            ),
            ("IndexWanted", IndexRequested),
            ("IndexCorrections", IndexCorrections(index_changes())),
            ("Allotments", QuotaResponse(quota_response())),
            ("Allotments, none", QuotaResponse(empty_quota_response())),
            ("Heartbeat", Heartbeat),
        ],
        variant: |message| match message {
            View { .. } => "View",
            ConfigurationAvailable { .. } => "Available",
            NewestConfiguration { .. } => "Newest",
            Configuration { .. } => "Configuration",
            Backends(_) => "Backends",
            BackendsChanged { .. } => "BackendsChanged",
            BackendsConfirmed { .. } => "BackendsConfirmed",
            BackendsDigest { .. } => "BackendsDigest",
            BackendsRange { content, .. } => match content {
                RangeContent::Parts(_) | RangeContent::Items(_) => "BackendsRange",
            },
            BackendsRepaired { .. } => "BackendsMended",
            IndexRequested => "IndexWanted",
            IndexCorrections(_) => "IndexCorrections",
            QuotaResponse(_) => "Allotments",
            Heartbeat => "Heartbeat",
        },
        variants: &[
            "View",
            "Available",
            "Newest",
            "Configuration",
            "Backends",
            "BackendsChanged",
            "BackendsConfirmed",
            "BackendsDigest",
            "BackendsRange",
            "BackendsMended",
            "IndexWanted",
            "IndexCorrections",
            "Allotments",
            "Heartbeat",
        ],
    }
    .assert_match_golden();
}

#[test]
fn messages_from_proxies_to_agents_match_their_frames() {
    use FromProxy::*;
    Messages {
        file: "from_proxy.txt",
        about: "What a proxy says to the agent on its machine",
        samples: vec![
            ("Hello", Hello { version: VERSION, in_force: ConfigurationSequence(12) }),
            ("Hello without a configuration", Hello { version: VERSION, in_force: ConfigurationSequence(0) }),
            ("InForce", ConfigurationApplied { sequence: ConfigurationSequence(12) }),
            ("Demands", QuotaRequest(quota_request())),
            ("Demands of nothing", QuotaRequest(first_quota_request())),
            ("IndexChanges", IndexChanges { restart: false, changes: index_changes() }),
            ("IndexChanges anew", IndexChanges { restart: true, changes: Vec::new() }),
            ("Heartbeat", Heartbeat),
        ],
        variant: |message| match message {
            Hello { .. } => "Hello",
            ConfigurationApplied { .. } => "InForce",
            QuotaRequest(_) => "Demands",
            IndexChanges { .. } => "IndexChanges",
            Heartbeat => "Heartbeat",
        },
        variants: &["Hello", "InForce", "Demands", "IndexChanges", "Heartbeat"],
    }
    .assert_match_golden();
}

#[test]
fn messages_from_agents_to_proxies_match_their_frames() {
    use ToProxy::*;
    Messages {
        file: "to_proxy.txt",
        about: "What an agent says to the proxy on its machine",
        samples: vec![
            (
                "Configuration",
                Configuration { sequence: ConfigurationSequence(12), document: DOCUMENT.to_vec() },
            ),
            (
                "Configuration that is empty",
                Configuration { sequence: ConfigurationSequence(12), document: Vec::new() },
            ),
            ("Backends", Backends(BackendList { version: BackendListVersion(907), backends: backends() })),
            (
                "Backends, none",
                Backends(BackendList { version: BackendListVersion(1), backends: Vec::new() }),
            ),
            ("Link, in touch", ControlPlaneStatus { endpoints_age_ms: 0, has_quorum_contact: true }),
            ("Link", ControlPlaneStatus { endpoints_age_ms: 70_000, has_quorum_contact: false }),
            ("IndexWanted", IndexRequested),
            ("IndexCorrections", IndexCorrections(index_changes())),
            ("Allotments", QuotaResponse(quota_response())),
            ("Allotments, none", QuotaResponse(empty_quota_response())),
            ("Nodes", Nodes { nodes: 350 }),
            ("Heartbeat", Heartbeat),
        ],
        variant: |message| match message {
            Configuration { .. } => "Configuration",
            Backends(_) => "Backends",
            ControlPlaneStatus { .. } => "Link",
            IndexRequested => "IndexWanted",
            IndexCorrections(_) => "IndexCorrections",
            QuotaResponse(_) => "Allotments",
            Nodes { .. } => "Nodes",
            Heartbeat => "Heartbeat",
        },
        variants: &[
            "Configuration",
            "Backends",
            "Link",
            "IndexWanted",
            "IndexCorrections",
            "Allotments",
            "Nodes",
            "Heartbeat",
        ],
    }
    .assert_match_golden();
}

/// A demand from a node of an older version lacks the rejected cost, and a grant from a quota leader of an
/// older version lacks the pressure.
#[test]
fn fields_that_older_versions_do_not_send_get_defaults() {
    let mut request = quota_request();
    let demands = without(&FromAgent::QuotaRequest(request.clone()), "turned_away");
    let demands_of_proxy = without(&FromProxy::QuotaRequest(request.clone()), "turned_away");
    request.demands.iter_mut().for_each(|demand| demand.rejected_cost = 0.0);
    let mut response = quota_response();
    let grants = without(&ToAgent::QuotaResponse(response.clone()), "pressure");
    let grants_to_proxy = without(&ToProxy::QuotaResponse(response.clone()), "pressure");
    response.grants.iter_mut().for_each(|grant| grant.pressure = 0.0);
    let title = "Demands without turned_away";
    let about = "What an agent of an older version says to a coordinator";
    assert_old_frames_decode(
        "older_from_agent.txt",
        about,
        &[(title, demands, FromAgent::QuotaRequest(request.clone()))],
    );
    let about = "What a proxy of an older version says to the agent on its machine";
    assert_old_frames_decode(
        "older_from_proxy.txt",
        about,
        &[(title, demands_of_proxy, FromProxy::QuotaRequest(request))],
    );
    let title = "Allotments without pressure";
    let about = "What a coordinator of an older version says to an agent";
    assert_old_frames_decode(
        "older_to_agent.txt",
        about,
        &[(title, grants, ToAgent::QuotaResponse(response.clone()))],
    );
    let about = "What an agent of an older version says to the proxy on its machine";
    assert_old_frames_decode(
        "older_to_proxy.txt",
        about,
        &[(title, grants_to_proxy, ToProxy::QuotaResponse(response))],
    );
}

/// An incomplete frame is not decoded, and decoding a frame leaves the following one in the buffer.
#[test]
fn a_stream_is_decoded_one_complete_frame_at_a_time() {
    let messages = [ToProxy::Nodes { nodes: 350 }, ToProxy::Heartbeat];
    let [first, second] = messages.map(|message| control_protocol::encode(&message).expect("a frame"));
    let mut buffer = bytes::BytesMut::from(&first[..first.len() - 1]);
    assert_eq!(control_protocol::decode::<ToProxy>(&mut buffer).expect("an incomplete frame"), None);
    buffer.extend_from_slice(&first[first.len() - 1..]);
    buffer.extend_from_slice(&second);
    let message = control_protocol::decode::<ToProxy>(&mut buffer).expect("a frame").expect("a complete one");
    assert_eq!(message, decoded(&first));
    assert_eq!(buffer[..], second[..]);
}

/// Constants that both ends rely on, and hashes that every process computes by itself: of instance ids,
/// backends and lists. The remaining warm-up of a backend must not change its hashes.
#[test]
fn shared_constants_and_hashes_are_unchanged() {
    let mut text = String::from("# Numbers and hashes that all programs of the fleet agree upon\n\n");
    let mut record = |name: &str, value: String| writeln!(text, "{name}: {value}").expect("to a text");
    record("version of the messages", VERSION.to_string());
    record("largest frame, in bytes", MAX_FRAME_BYTES.to_string());
    record("milliseconds between two demands of a proxy", QUOTA_REQUEST_INTERVAL_MS.to_string());
    record("most changes of the index in one message", MAX_INDEX_CHANGES_PER_MESSAGE.to_string());
    for backend in backends() {
        let Backend { instance_id, service, address, zone, generation, slots, state, cold_remaining_ms } =
            &backend;
        let state = name_of(*state);
        let fields =
            [instance_id, service, &address.to_string(), zone, generation, &slots.to_string(), state];
        let name = fields.map(|field| if field.is_empty() { "(none)" } else { field }).join(" ");
        record(&format!("key of {name}"), format!("{:016x}", backend.key()));
        record(&format!("content of {name}"), format!("{:016x}", backend.content_hash()));
        let later = Backend { cold_remaining_ms: cold_remaining_ms + 1, ..backend.clone() };
        assert_eq!((later.key(), later.content_hash()), (backend.key(), backend.content_hash()));
    }
    for instance in ["engine", "i-7f3a91c2", "größer"] {
        record(
            &format!("key of instance {instance}"),
            format!("{:016x}", control_protocol::instance_key(instance)),
        );
    }
    let digest = control_protocol::list_digest(&backends());
    assert_eq!(control_protocol::list_digest_set(&backends()).digest(KeyRange::ALL), digest);
    record("digest of these backends", format!("{} backends, sum {:016x}", digest.count, digest.sum));
    compare::assert_matches_golden("agreed.txt", &text);
}
