//! Limits on the data plane's use of resources: tenants' quotas, connections to backends, clients that do not
//! read, and load reports.

mod harness;

use control_protocol::{FromProxy, QuotaGrant, QuotaRequest, QuotaResponse, ToProxy};
use harness::{DataPlane, configuration, next_request, request, response, stream_head};
use test_peers::{Listener, Peer};

#[test]
fn a_node_opens_no_more_connections_to_a_backend_than_its_share() {
    let backend = Listener::new();
    let config = configuration(|c| c["services"][0]["max_connections"] = 8.into());
    let plane = DataPlane::new(&config, &[&backend]);
    plane.send_from_agent(ToProxy::Nodes { nodes: 4 });
    let mut clients: Vec<Peer> = Vec::new();
    let mut peers = Vec::new();
    // The limit is one and a half times an even share, which is two.
    for _ in 0..3 {
        let mut client = plane.client();
        client.write(request("POST /order/1", "r-1", "", "x"));
        peers.push(next_request(&backend, &mut Vec::new()).1);
        clients.push(client);
    }
    let mut client = plane.client();
    client.write(request("POST /order/1", "r-1", "", "x"));
    assert_eq!(client.read().status(), 503);
    peers[0].write(response("200 OK", "r-1", "", ""));
    assert_eq!(clients[0].read().status(), 200);
    assert!(backend.is_untouched());
}

#[test]
fn a_stream_whose_client_does_not_read_is_aborted_and_its_attempt_cancelled() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    let mut client = plane.client();
    client.write(request("POST /ask/1", "r-1", "", "x").replace("15000", "200"));
    let (_, mut peer) = next_request(&backend, &mut Vec::new());
    peer.write(stream_head("r-1"));
    // Writes until the buffers on the way are full and the data plane closes the connection.
    let chunk = harness::chunk(&"x".repeat(64 << 10));
    let write_error = loop {
        if let Err(error) = std::io::Write::write_all(&mut peer.stream, chunk.as_bytes()) {
            break error;
        }
    };
    use std::io::ErrorKind::{BrokenPipe, ConnectionReset};
    assert!(matches!(write_error.kind(), BrokenPipe | ConnectionReset), "{write_error}");
}

#[test]
fn a_connection_is_not_reused_after_a_response_with_connection_close() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    let mut client = plane.client();
    for _ in 0..3 {
        client.write(request("POST /order/1", "r-1", "", "x"));
        let (_, mut peer) = next_request(&backend, &mut Vec::new());
        peer.write(response("200 OK", "r-1", "Connection: close\r\n", ""));
        assert_eq!(client.read().status(), 200);
        peer.expect_end();
    }
}

#[test]
fn no_load_report_is_requested_of_a_backend_that_is_not_an_engine() {
    let backend = Listener::new();
    let plane = DataPlane::new(&configuration(|_| {}), &[&backend]);
    let mut clients = Vec::new();
    let mut peers: Vec<Peer> = Vec::new();
    // More requests in flight than the cap of Join-Up-To(m), so that a report of an engine would be due.
    for _ in 0..24 {
        let mut client = plane.client();
        client.write(request("POST /order/1", "r-1", "", "x"));
        loop {
            peers.extend(backend.try_accept());
            if let Some(index) = peers.iter().position(Peer::has_more) {
                let request_line = peers[index].read().first;
                assert_eq!(request_line, "POST /order/1 HTTP/1.1");
                break;
            }
            if client.has_more() {
                break;
            }
        }
        clients.push(client);
    }
}

/// The number of quota requests after which a test fails. There is one every 400 ms at least.
const MAX_QUOTA_REQUESTS: u64 = 50;

/// A response of the quota leader that grants `amount` to the tenant `acme`.
fn quota_response(number: u64, request_id: u64, amount: f64) -> ToProxy {
    let tenant = "acme".to_owned();
    let (wait_ms, retry_ms) = if amount > 0.0 { (0, 0) } else { (500, 700) };
    let grants = vec![QuotaGrant {
        tenant,
        amount,
        fallback_rate: 0.0,
        wait_ms,
        remaining: 0.0,
        retry_ms,
        pressure: 0.0,
    }];
    ToProxy::QuotaResponse(QuotaResponse { request_id, epoch: 1, number, nodes: 4, grants })
}

/// The next quota request with a demand for the tenant `acme`.
fn next_quota_request(plane: &DataPlane) -> QuotaRequest {
    for _ in 0..MAX_QUOTA_REQUESTS {
        let FromProxy::QuotaRequest(quota_request) = plane.next_to_agent() else { continue };
        if quota_request.demands.iter().any(|demand| demand.tenant == "acme") {
            return quota_request;
        }
    }
    panic!("no demand for the tenant in {MAX_QUOTA_REQUESTS} messages to the agent");
}

/// The costs of the tenant's waiting requests in a quota request.
fn waiting(quota_request: &QuotaRequest) -> &[f64] {
    let demand = quota_request.demands.iter().find(|demand| demand.tenant == "acme");
    demand.map_or(&[], |demand| &demand.waiting)
}

/// A data plane that is in contact with a quota leader, and whose tenant has a limit with hardly any reserve.
fn limited_data_plane(backend: &Listener) -> DataPlane {
    let limit = |configuration: &mut serde_json::Value| {
        let tenant = &mut configuration["tenants"][0];
        tenant["rate_per_s"] = 1.into();
        tenant["burst"] = 0.into();
    };
    let plane = DataPlane::new(&configuration(limit), &[backend]);
    let first = next_quota_request(&plane).number;
    plane.send_from_agent(quota_response(1, first, 0.001));
    // Waits until the node acknowledges the response.
    while next_quota_request(&plane).last_answered < first {}
    plane
}

#[test]
fn a_request_beyond_the_reserve_waits_for_a_grant() {
    let backend = Listener::new();
    let plane = limited_data_plane(&backend);
    let mut client = plane.client();
    client.write(request("POST /order/1", "r-1", "", "x"));
    for number in 2..MAX_QUOTA_REQUESTS {
        let quota_request = next_quota_request(&plane);
        if !waiting(&quota_request).is_empty() {
            assert_eq!(waiting(&quota_request), [1.0]);
            assert!(backend.is_untouched(), "the request was forwarded before the grant");
            plane.send_from_agent(quota_response(number, quota_request.number, 1.0));
            break;
        }
        plane.send_from_agent(quota_response(number, quota_request.number, 0.001));
    }
    let (message, mut peer) = next_request(&backend, &mut Vec::new());
    assert_eq!(message.first, "POST /order/1 HTTP/1.1");
    peer.write(response("200 OK", "r-1", "", ""));
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_request_without_a_grant_is_rejected_with_retry_after_from_the_quota_leader() {
    let backend = Listener::new();
    let plane = limited_data_plane(&backend);
    let mut client = plane.client();
    client.write(request("POST /order/1", "r-1", "", "x"));
    for number in 2..MAX_QUOTA_REQUESTS {
        let quota_request = next_quota_request(&plane);
        let amount = if waiting(&quota_request).is_empty() { 0.001 } else { 0.0 };
        plane.send_from_agent(quota_response(number, quota_request.number, amount));
        if client.has_more() {
            break;
        }
    }
    let rejection = client.read();
    assert_eq!(rejection.status(), 429);
    let after: f64 = rejection.header("retry-after").and_then(|after| after.parse().ok()).expect("a number");
    assert!(after > 0.0 && after <= 0.7, "{after} s");
    assert!(backend.is_untouched());
}
