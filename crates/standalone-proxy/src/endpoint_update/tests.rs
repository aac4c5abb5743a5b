//! Unit tests of the private items of the parent module.

use super::*;
use join_up_to::{ServerId, ServerState};

#[test]
fn debug_output_of_an_update_keeps_the_former_names() {
    let state = ServerState::Ready;
    let entry = ServerEntry { id: ServerId(7), zone: 1, kind: 0, cell: 3, state, weight: 1.5, started: None };
    let address = SocketAddr::from(([127, 0, 0, 1], 8443));
    let endpoints = vec![ListedEndpoint { entry, address }];
    let update = EndpointUpdate { kind: ListKind::Full, version: ListVersion(41), endpoints };
    let pair = format!("{:?}", (entry, address));
    assert_eq!(format!("{update:?}"), format!("Update {{ kind: Full, version: 41, entries: [{pair}] }}"));
}
