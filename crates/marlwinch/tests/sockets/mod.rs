//! What the system holds of a connection on loopback for a process that does not run: whether its peer's close or bytes have
//! arrived there. Read from the system's table of sockets.
#![allow(dead_code)] // each test file uses its own part of this

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_peers::PEER_TIMEOUT;

/// The state of a socket whose peer has closed its sending side.
const CLOSE_WAIT: &str = "08";

/// One end of a connection, as the system holds it.
struct SocketEntry {
    state: String,
    unread_bytes: u64,
}

/// The end at `local` of its connection with `remote`; `None` once it was reset.
fn entry(local: SocketAddr, remote: SocketAddr) -> Option<SocketEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets");
    let (local, remote) = (hex(local), hex(remote));
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields[1] == local && fields[2] == remote;
        let unread = fields[4].split(':').nth(1).expect("two queues");
        let unread_bytes = u64::from_str_radix(unread, 16).expect("a number");
        is_it.then(|| SocketEntry { state: fields[3].into(), unread_bytes })
    })
}

/// An address as the table writes it.
fn hex(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("not IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Waits until the close or the reset that `remote` has sent is with the system of `local`.
pub fn wait_for_close(local: SocketAddr, remote: SocketAddr) {
    wait_until("a close", || entry(local, remote).is_none_or(|entry| entry.state == CLOSE_WAIT));
}

/// Waits until bytes that `remote` has sent are with the system of `local`, whose process has not read them.
pub fn wait_for_bytes(local: SocketAddr, remote: SocketAddr) {
    wait_until("bytes", || entry(local, remote).is_some_and(|entry| entry.unread_bytes > 0));
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PEER_TIMEOUT, "no {what} arrives");
        std::thread::sleep(Duration::from_millis(1));
    }
}
