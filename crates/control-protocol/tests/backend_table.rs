//! Serialization of lists of backends as tables.

use bytes::BytesMut;
use control_protocol::{Backend, BackendList, BackendListVersion, BackendState, ToAgent, decode, encode};
use quickcheck::quickcheck;

fn backend(number: usize, (service, ready, slots): (u8, bool, u32)) -> Backend {
    Backend {
        instance_id: format!("i-{number:08x}"),
        service: format!("service-{service}"),
        address: format!("10.128.{}.{}:8080", number >> 8 & 255, number & 255).parse().expect("an address"),
        zone: format!("zone-{}", service % 4),
        generation: "v1".into(),
        slots,
        state: if ready { BackendState::Ready } else { BackendState::Draining },
        cold_remaining_ms: u64::from(slots) << 3,
    }
}

fn message(entries: Vec<(u8, bool, u32)>) -> ToAgent {
    let backends = entries.into_iter().enumerate().map(|(number, entry)| backend(number, entry)).collect();
    ToAgent::Backends(BackendList { version: BackendListVersion(7), backends })
}

quickcheck! {
    fn a_list_is_unchanged_by_encoding_and_decoding(entries: Vec<(u8, bool, u32)>) -> bool {
        let message = message(entries);
        let frame = encode(&message).expect("a frame");
        decode(&mut BytesMut::from(frame.as_slice())).expect("a message") == Some(message)
    }
}

#[test]
fn a_backend_is_encoded_in_less_than_45_bytes() {
    let frame = encode(&message(vec![(1, true, 64); 1000])).expect("a frame");
    println!("{} bytes for 1,000 backends", frame.len());
    assert!(frame.len() < 45_000);
}

#[test]
fn a_row_with_an_index_out_of_range_is_rejected() {
    let mut frame = encode(&message(vec![(1, true, 64)])).expect("a frame");
    let indices = frame.windows(3).position(|bytes| bytes == [0x83, 0, 1]).expect("the indices of a row");
    frame[indices + 2] = 9;
    assert!(decode::<ToAgent>(&mut BytesMut::from(frame.as_slice())).is_err());
}
