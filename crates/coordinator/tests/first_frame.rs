//! Decoding of the first frame of a connection, by which a coordinator tells agents from other coordinators.

use bytes::BytesMut;
use control_protocol::{ConfigurationSequence, FromAgent, VERSION, decode, encode};
use coordinator::peer_protocol::Hello;

#[test]
fn the_hello_of_an_agent_is_decoded() {
    let (node, zone) = ("frontend-1".to_string(), "z".to_string());
    let ip = [10, 1, 0, 1].into();
    let sent = FromAgent::Hello {
        version: VERSION,
        node: node.clone(),
        ip,
        zone: zone.clone(),
        configuration_sequence: ConfigurationSequence(3),
    };
    let mut frame = BytesMut::from(encode(&sent).expect("a frame").as_slice());
    let read = decode::<Hello>(&mut frame).expect("a message");
    assert_eq!(read, Some(Hello::Agent { version: VERSION, node, ip, zone, configuration_sequence: 3 }));
}

#[test]
fn the_hello_of_a_coordinator_does_not_decode_as_that_of_an_agent() {
    let address = "10.1.0.1:7680".parse().expect("an address");
    let sent = Hello::Peer { version: VERSION, node: "core-1".into(), address };
    let mut frame = BytesMut::from(encode(&sent).expect("a frame").as_slice());
    assert!(decode::<FromAgent>(&mut frame.clone()).is_err());
    assert_eq!(decode::<Hello>(&mut frame).expect("a message"), Some(sent));
}
