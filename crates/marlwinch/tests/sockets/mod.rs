//! The kernel's state of a loopback connection whose process is stopped: whether a close or bytes of the peer
//! have arrived. Read from `/proc/net/tcp`.
#![allow(dead_code)] // each test file uses only some of these

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_peers::PEER_TIMEOUT;

/// The state of a socket whose peer has closed its sending side.
const CLOSE_WAIT: &str = "08";

/// One end of a connection in the kernel's table.
struct SocketEntry {
    state: String,
    unread_bytes: u64,
}

/// The entry of the end at `local` of its connection with `remote`; `None` after a reset.
fn entry(local: SocketAddr, remote: SocketAddr) -> Option<SocketEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let (local, remote) = (hex(local), hex(remote));
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let matches = fields[1] == local && fields[2] == remote;
        let unread = fields[4].split(':').nth(1).expect("two queues");
        let unread_bytes = u64::from_str_radix(unread, 16).expect("a number");
        matches.then(|| SocketEntry { state: fields[3].into(), unread_bytes })
    })
}

/// An address in the format of the table.
fn hex(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("not IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Waits until the close or the reset that `remote` sent has arrived at `local`.
pub fn wait_for_close(local: SocketAddr, remote: SocketAddr) {
    wait_until("a close", || entry(local, remote).is_none_or(|entry| entry.state == CLOSE_WAIT));
}

/// Waits until bytes that `remote` sent have arrived at `local`, whose process has not read them.
pub fn wait_for_bytes(local: SocketAddr, remote: SocketAddr) {
    wait_until("bytes", || entry(local, remote).is_some_and(|entry| entry.unread_bytes > 0));
}

fn wait_until(event: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PEER_TIMEOUT, "{event} has not arrived");
        std::thread::sleep(Duration::from_millis(1));
    }
}
