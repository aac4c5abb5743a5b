//! The commands that check settings, configuration and policy files, and the table of a coordinator's status.

use marlwinch::command::checks::{check_configuration, check_policy, check_settings};
use marlwinch::command::status_client::fetch_status;
use marlwinch::command::status_table::format_status;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

const STATUS: &str = r#"{"node":"core-a-1","member":"00000000000000aa","in_touch":true,"acting_head":true,
"view":{"number":4,"members":[
{"member":"00000000000000aa","node":"core-a-1","address":"10.1.0.29:7680","zone":"a","place":1,"heard":true},
{"member":"00000000000000bb","node":"core-b-1","address":"10.2.0.37:7680","zone":"b","place":2,"heard":true},
{"member":"00000000000000cc","node":null,"address":"10.3.0.30:7680","zone":"c","place":null,"heard":false}]},
"configuration":{"stored":12,"committed":12,"generation":31},
"backends":{"reader":"core-a-1","reader_address":"10.1.0.29:7680","version":907,"age_ms":240,"count":16},
"nodes":2,"agents":[
{"node":"frontend-a-1","zone":"a","in_force":12,"lag":0,"heard_ms_ago":80},
{"node":"frontend-b-1","zone":"b","in_force":11,"lag":1,"heard_ms_ago":1200}],"later":1}"#;

const TABLE: &str = "\
core-a-1: quorum contact, acting head
configuration: generation 31, sequence 12 committed, 12 stored
backends: 16 in list version 907, 240 ms old, fetched by core-a-1
view 4:
  position  node      address         zone  recent contact
  1         core-a-1  10.1.0.29:7680  a     yes
  2         core-b-1  10.2.0.37:7680  b     yes
  voter     ?         10.3.0.30:7680  c     NO
nodes: 2 in the fleet, 2 connected to this coordinator
  node          zone  applied  lag  received ms ago
  frontend-a-1  a     12       0    80
  frontend-b-1  b     11       1    1200";

/// Starts a coordinator that sends these bytes as the response to one request.
fn start_coordinator(response: String) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let SocketAddr::V4(address) = listener.local_addr().expect("address") else {
        panic!("not an IPv4 address")
    };
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let (mut request, mut chunk) = (Vec::new(), [0; 512]);
        while !request.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut chunk).expect("read");
            request.extend_from_slice(&chunk[..count]);
        }
        assert!(request.starts_with(b"GET /api/status HTTP/1.0\r\n"));
        stream.write_all(response.as_bytes()).expect("write");
    });
    address
}

#[test]
fn status_is_formatted_as_tables() {
    let response = format!("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{STATUS}");
    let status = fetch_status(start_coordinator(response)).expect("a status");
    assert_eq!(format_status(&status).join("\n"), TABLE);
}

#[test]
fn an_invalid_status_response_is_reported_with_the_address() {
    let address = start_coordinator("HTTP/1.0 404 Not Found\r\n\r\n".into());
    let error = fetch_status(address).expect_err("no status").to_string();
    assert_eq!(error, format!("response of {address}: HTTP/1.0 404 Not Found"));
    let address = start_coordinator("HTTP/1.0 200 OK\r\n\r\n{\"node\":".into());
    let error = fetch_status(address).expect_err("no status").to_string();
    assert!(error.starts_with(&format!("response of {address}: invalid status: EOF")), "{error}");
}

/// Writes a file to the temporary folder of the tests.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write");
    path
}

fn exit(code: u8) -> String {
    format!("{:?}", ExitCode::from(code))
}

#[test]
fn checks_write_a_summary_or_one_line_per_error() {
    let mut out = Vec::new();
    let good = write_file("good.yaml", "node_name: n\nip: 10.0.0.1\ninternal_port_range: [7680, 7695]\n");
    assert_eq!(format!("{:?}", check_settings(&good, &mut out)), exit(0));
    let bad = write_file("bad.yaml", "node_name: n\nip: 10.0.0.1\ninternal_port_range: [7680, 7680]\n");
    assert_eq!(format!("{:?}", check_settings(&bad, &mut out)), exit(3));
    let good_too = write_file("good.json", r#"{"generation":7,"services":[{"name":"s"}]}"#);
    assert_eq!(format!("{:?}", check_configuration(&good_too, &mut out)), exit(0));
    let bad_too =
        write_file("bad.json", r#"{"generation":7,"services":[{"name":"s"},{"name":"s"},{"name":"s"}]}"#);
    assert_eq!(format!("{:?}", check_configuration(&bad_too, &mut out)), exit(3));
    let output = String::from_utf8(out).expect("text");
    let expected = [
        format!("{}: valid settings for node n", good.display()),
        format!("{}: internal_port_range: has 1 port, but 2 are required", bad.display()),
        format!("{}: valid configuration, generation 7: 0 routes, 1 services, 0 tenants", good_too.display()),
        format!("{}: /services/1/name: the same name as /services/0", bad_too.display()),
        format!("{}: /services/2/name: the same name as /services/1", bad_too.display()),
        String::new(),
    ];
    let expected = expected.join("\n");
    assert_eq!(output, expected);
}

#[test]
fn an_invalid_policy_is_reported_with_line_and_column() {
    let good = write_file("good.toml", "[routing]\nslack = 0.02\n");
    let bad = write_file("bad.toml", "[routing]\nslack = 7\n");
    let mut out = Vec::new();
    assert_eq!(format!("{:?}", check_policy(&good, &mut out)), exit(0));
    assert_eq!(format!("{:?}", check_policy(&bad, &mut out)), exit(3));
    let output = String::from_utf8(out).expect("text");
    assert!(output.contains("good.toml: valid policy"), "{output}");
    assert!(output.contains("bad.toml: line 2, column 9: 7 is not between 0 and 1"), "{output}");
}
