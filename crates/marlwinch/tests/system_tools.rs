//! The system's commands beside its roles: checks of files, and a coordinator's status as a table.

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
core-a-1: in touch with a majority, acting head
configuration: generation 31, sequence 12 committed, 12 stored
backends: 16 in list 907, 240 ms old, read by core-a-1
view 4:
  place  node      address         zone  heard
  1      core-a-1  10.1.0.29:7680  a     yes
  2      core-b-1  10.2.0.37:7680  b     yes
  voter  ?         10.3.0.30:7680  c     NO
nodes: 2, 2 connected here
  node          zone  in force  behind  heard ms ago
  frontend-a-1  a     12        0       80
  frontend-b-1  b     11        1       1200";

/// A coordinator that answers one question with these bytes.
fn coordinator(answer: String) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let SocketAddr::V4(address) = listener.local_addr().expect("address") else { panic!("not version 4") };
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let (mut request, mut piece) = (Vec::new(), [0; 512]);
        while !request.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut piece).expect("read");
            request.extend_from_slice(&piece[..count]);
        }
        assert!(request.starts_with(b"GET /api/status HTTP/1.0\r\n"));
        stream.write_all(answer.as_bytes()).expect("write");
    });
    address
}

#[test]
fn a_status_is_shown_as_a_table() {
    let answer = format!("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{STATUS}");
    let status = fetch_status(coordinator(answer)).expect("a status");
    assert_eq!(format_status(&status).join("\n"), TABLE);
}

#[test]
fn an_answer_that_is_no_status_is_reported_with_its_sender() {
    let address = coordinator("HTTP/1.0 404 Not Found\r\n\r\n".into());
    let told = fetch_status(address).expect_err("no status").to_string();
    assert_eq!(told, format!("answer of {address}: HTTP/1.0 404 Not Found"));
    let address = coordinator("HTTP/1.0 200 OK\r\n\r\n{\"node\":".into());
    let told = fetch_status(address).expect_err("no status").to_string();
    assert!(told.starts_with(&format!("answer of {address}: EOF")), "{told}");
}

/// A file with a text, in a folder that lasts as long as the test.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write");
    path
}

fn exit(code: u8) -> String {
    format!("{:?}", ExitCode::from(code))
}

#[test]
fn files_are_checked_line_by_line() {
    let mut out = Vec::new();
    let good = file("good.yaml", "node_name: n\nip: 10.0.0.1\ninternal_port_range: [7680, 7695]\n");
    assert_eq!(format!("{:?}", check_settings(&good, &mut out)), exit(0));
    let bad = file("bad.yaml", "node_name: n\nip: 10.0.0.1\ninternal_port_range: [7680, 7680]\n");
    assert_eq!(format!("{:?}", check_settings(&bad, &mut out)), exit(3));
    let good_too = file("good.json", r#"{"generation":7,"services":[{"name":"s"}]}"#);
    assert_eq!(format!("{:?}", check_configuration(&good_too, &mut out)), exit(0));
    let bad_too = file("bad.json", r#"{"generation":7,"services":[{"name":"s"},{"name":"s"},{"name":"s"}]}"#);
    assert_eq!(format!("{:?}", check_configuration(&bad_too, &mut out)), exit(3));
    let told = String::from_utf8(out).expect("text");
    let expected = [
        format!("{}: settings of n", good.display()),
        format!("{}: internal_port_range: has 1 port, but 2 are required", bad.display()),
        format!("{}: generation 7, 0 routes, 1 services, 0 tenants", good_too.display()),
        format!("{}: /services/1/name: the same name as /services/0", bad_too.display()),
        format!("{}: /services/2/name: the same name as /services/1", bad_too.display()),
        String::new(),
    ];
    let expected = expected.join("\n");
    assert_eq!(told, expected);
}

#[test]
fn a_policy_file_is_checked_with_the_place_of_its_fault() {
    let good = file("good.toml", "[routing]\nslack = 0.02\n");
    let bad = file("bad.toml", "[routing]\nslack = 7\n");
    let mut out = Vec::new();
    assert_eq!(format!("{:?}", check_policy(&good, &mut out)), exit(0));
    assert_eq!(format!("{:?}", check_policy(&bad, &mut out)), exit(3));
    let told = String::from_utf8(out).expect("text");
    assert!(told.contains("good.toml: a sound policy"), "{told}");
    assert!(told.contains("bad.toml: line 2, column 9: 7 is not between 0 and 1"), "{told}");
}
