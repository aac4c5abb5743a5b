//! The frames on the internal port, compared with golden files: the first frame of a connection, and the
//! messages between coordinators.
//!
//! The golden files in `tests/golden` are updated only on request: `GOLDEN=write cargo test -p coordinator
//! --test golden_frames`. Otherwise a missing or different file fails the test, which shows the first
//! difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;
#[path = "../../control-protocol/tests/golden/frames.rs"]
mod frames;

use control_protocol::{
    Backend, BackendChanges, BackendListVersion, BackendState, ConfigurationSequence, FromAgent, VERSION,
    encode,
};
use coordinator::peer_protocol::{EndpointListContent, EndpointListUpdate, Hello, PeerMessage};
use frames::{Messages, decoded};
use serde_json::json;

const FIRST_FRAMES: &str = "interfaces/first_frames.txt";

fn first_frames() -> Vec<(&'static str, Hello)> {
    let agent = |configuration_sequence| Hello::Agent {
        version: VERSION,
        node: "frontend-1".into(),
        ip: [10, 1, 0, 26].into(),
        zone: "east".into(),
        configuration_sequence,
    };
    let address = "10.1.0.29:7680".parse().expect("an address");
    vec![
        ("of a coordinator", Hello::Peer { version: VERSION, node: "core-1".into(), address }),
        ("of an agent", agent(3)),
        ("of an agent without a configuration", agent(0)),
    ]
}

#[test]
fn first_frames_match_the_golden_file() {
    Messages {
        file: FIRST_FRAMES,
        about: "The first frame of a connection to a coordinator",
        samples: first_frames(),
        variant: |message| match message {
            Hello::Peer { .. } => "Peer",
            Hello::Agent { .. } => "Hello",
        },
        variants: &["Peer", "Hello"],
    }
    .assert_match_golden();
    // An agent's first frame is declared in two types: both encode it in the same bytes, and each decodes it.
    let mut agents = 0;
    for ((_, message), approved) in first_frames().into_iter().zip(frames::read(FIRST_FRAMES)) {
        let Hello::Agent { version, node, ip, zone, configuration_sequence } = message.clone() else {
            continue;
        };
        let sent = FromAgent::Hello {
            version,
            node,
            ip,
            zone,
            configuration_sequence: ConfigurationSequence(configuration_sequence),
        };
        assert_eq!(encode(&sent).expect("a frame"), approved);
        assert_eq!(decoded::<FromAgent>(&approved), sent);
        assert_eq!(decoded::<Hello>(&approved), message);
        agents += 1;
    }
    assert_eq!(agents, 2);
}

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
    let drains = backend("i-7f3a91c2", "10.128.3.9:8080", BackendState::Draining);
    vec![
        backend("i-00000001", "10.128.0.1:80", BackendState::Ready),
        Backend { cold_remaining_ms: 90_000, ..drains },
    ]
}

/// A message of the replica. The golden files of the package `replication` cover its other forms.
fn replica_message() -> replication::Message {
    let key = json!({"sequence": 12, "view": 4, "digest": ([7; 32]), "generation": 31});
    let member = json!({"id": 170, "address": "10.1.0.29:7680", "zone": "east"});
    let heartbeat = json!({"member": member, "life": 9, "sent": 1234, "trouble": false, "leaving": false,
        "complete": 4, "synced": 4, "renounced": false, "active": true, "committed": key, "newest": key,
        "heard": [{"id": 187, "sent": 1200}]});
    let message = json!({"sender": 170, "view": 4, "body": {"Heartbeat": heartbeat}});
    serde_json::from_value(message).expect("a message of the replica")
}

#[test]
fn messages_between_coordinators_match_the_golden_file() {
    let update = |content_version, content| {
        let content_version = BackendListVersion(content_version);
        let version = BackendListVersion(908);
        PeerMessage::EndpointList(EndpointListUpdate { content_version, version, content })
    };
    let changes = BackendChanges { changed: backends(), removed: vec!["i-00000002".into()] };
    Messages {
        file: "interfaces/to_peer.txt",
        about: "What a coordinator says to another one",
        samples: vec![
            ("Replica, a heartbeat", PeerMessage::Replica(replica_message())),
            ("Backends, the same as before", update(907, EndpointListContent::Unchanged)),
            (
                "Backends, changes",
                update(908, EndpointListContent::Changes { base: BackendListVersion(905), changes }),
            ),
            ("Backends, all of them", update(908, EndpointListContent::Full(backends()))),
            ("Backends, none at all", update(908, EndpointListContent::Full(Vec::new()))),
            ("BackendsWanted", PeerMessage::EndpointListRequest),
            ("Leaving", PeerMessage::Leaving),
        ],
        variant: |message| match message {
            PeerMessage::Replica(_) => "Replica",
            PeerMessage::EndpointList(update) => match update.content {
                EndpointListContent::Unchanged
                | EndpointListContent::Changes { .. }
                | EndpointListContent::Full(_) => "Backends",
            },
            PeerMessage::EndpointListRequest => "BackendsWanted",
            PeerMessage::Leaving => "Leaving",
        },
        variants: &["Replica", "Backends", "BackendsWanted", "Leaving"],
    }
    .assert_match_golden();
}
