//! Roles as real processes, started by the deploy file: they serve, and none of them ends by itself.

mod deployment;

use deployment::{Fleet, ROLES, get};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

/// The number of SIGTERM.
const SIGTERM: i32 = 15;
/// More connections than the descriptors of a role that has few.
const CONNECTIONS: usize = 120;
/// The descriptors of a role that has few.
const FEW_DESCRIPTORS: u32 = 48;

#[test]
fn each_role_of_the_deploy_file_starts_and_serves() {
    let fleet = Fleet::new();
    let mut processes = fleet.start_all();
    assert!(fleet.request().ends_with("\r\n\r\nran"));
    assert!(get(fleet.readiness(), "/api/ready").expect("a response").starts_with("HTTP/1.1 200"));
    assert!(get(fleet.control(), "/api/Config.Describe").expect("a response").contains("\"generation\":1"));
    for process in &mut processes {
        let (address, path) = fleet.metrics(process.role);
        let metrics = get(address, &path).expect("a response");
        assert!(metrics.contains("# EOF"), "{}: {metrics}", process.role);
        process.assert_runs();
    }
    // The data plane first, as on a frontend that is shut down.
    for process in processes.into_iter().rev() {
        process.signal("TERM");
        let (role, (status, log)) = (process.role, process.wait_for_end());
        assert_eq!(status.code(), Some(0), "{role}: {log:#?}");
    }
}

/// A role whose settings are still being read: the file is a pipe without a writer.
fn start_before_settings(fleet: &Fleet, role: &'static str) -> (deployment::RoleProcess, std::fs::File) {
    let path = fleet.settings_file(role);
    std::fs::remove_file(&path).expect("removed");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    let process = fleet.start(role);
    // Returns once the process has opened the other end.
    let pipe = std::fs::OpenOptions::new().write(true).open(&path).expect("the pipe");
    // From now on the path is a file again, which is what the role finds when it reads it the next time.
    fleet.write_settings(role);
    (process, pipe)
}

/// SIGHUP ended a role that had not read its settings yet, as its handler was not there.
#[test]
fn a_reload_before_the_settings_are_read_ends_no_role() {
    for role in ROLES {
        let fleet = Fleet::new();
        let (mut process, mut pipe) = start_before_settings(&fleet, role);
        process.signal("HUP");
        // An error means that the process is gone, which the assertion below shows with its log.
        let _ = pipe.write_all(fleet.settings(role).to_string().as_bytes());
        drop(pipe);
        process.wait_for_line("metrics: served at");
        process.assert_runs();
    }
}

/// SIGTERM ended a role that had not read its settings yet by the signal, not in order.
#[test]
fn a_shutdown_before_the_settings_are_read_is_carried_out() {
    for role in ROLES {
        let fleet = Fleet::new();
        let (process, mut pipe) = start_before_settings(&fleet, role);
        process.signal("TERM");
        let _ = pipe.write_all(fleet.settings(role).to_string().as_bytes());
        drop(pipe);
        let (status, log) = process.wait_for_end();
        assert_ne!(status.signal(), Some(SIGTERM), "{role}: {log:#?}");
        assert_eq!(status.code(), Some(0), "{role}: {log:#?}");
    }
}

#[test]
fn reloads_with_bad_or_missing_settings_end_no_role() {
    let fleet = Fleet::new();
    let mut processes = fleet.start_all();
    let texts = ["", "node_name: [", "ip: 999.0.0.1", "node_name: a\nip: 127.0.0.1\nbounds: {grace_s: .inf}"];
    for process in &mut processes {
        let path = fleet.settings_file(process.role);
        for text in texts {
            process.forget_lines();
            std::fs::write(&path, text).expect("written");
            process.signal("HUP");
            process.wait_for_line("settings: ");
        }
        process.forget_lines();
        std::fs::remove_file(&path).expect("removed");
        process.signal("HUP");
        process.wait_for_line("settings: ");
        process.assert_runs();
    }
    assert!(fleet.request().ends_with("\r\n\r\nran"));
}

/// They ended a role by a panic, at its start or at SIGTERM.
#[test]
fn settings_with_values_that_no_clock_or_memory_can_hold_are_rejected() {
    let fleet = Fleet::new();
    for role in ROLES {
        let cases =
            [("bounds", "grace_s", 1e300), ("limits", "memory_mb", 1e16), ("limits", "max_fds", 1e18)];
        for (group, name, value) in cases {
            let mut settings = fleet.settings(role);
            let value = if group == "bounds" { value.into() } else { (value as u64).into() };
            settings[group][name] = value;
            std::fs::write(fleet.settings_file(role), settings.to_string()).expect("written");
            let (status, log) = fleet.start(role).wait_for_end();
            assert_eq!(status.code(), Some(1), "{role}: {log:#?}");
            let place = format!("{group}.{name}: ");
            assert!(log.len() == 1 && log[0].contains(&place), "{role}: {log:#?}");
        }
    }
}

/// Opens connections to an address until the role can't accept more, and asks for something on each.
fn exhaust(address: std::net::SocketAddrV4) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).expect("the queue of connections has capacity");
        // What is not a frame has the other end close the connection, so that only a head is begun here.
        let _ = stream.write_all(b"GET /a HT");
        open.push(stream);
    }
    open
}

#[test]
fn no_role_ends_when_its_descriptors_run_out() {
    let fleet = Fleet::new();
    let mut processes = ROLES.map(|role| fleet.start_with_descriptors(role, FEW_DESCRIPTORS));
    for process in &mut processes {
        process.wait_for_line("metrics: served at");
    }
    for process in &mut processes {
        let mut addresses = vec![fleet.internal(process.role), fleet.metrics(process.role).0];
        match process.role {
            "coordinator" => addresses.push(fleet.control()),
            "data-plane" => addresses.push(fleet.readiness()),
            _ => {}
        }
        let open: Vec<TcpStream> = addresses.into_iter().flat_map(exhaust).collect();
        process.signal("HUP");
        process.assert_runs();
        drop(open);
        // Serves again: the response comes once the closed connections are gone.
        let (address, path) = fleet.metrics(process.role);
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(deployment::PATIENCE)).expect("a time-out");
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").as_bytes())
            .expect("a request");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("a response");
        assert!(reply.starts_with("HTTP/1.1 200"), "{}: {reply}", process.role);
        process.assert_runs();
    }
}
