//! Opening of connections to machines that do not respond.

use control_link::{LinkError, connect};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;
use tokio::time::Instant;

/// An attempt must time out before the kernel would retransmit a lost SYN packet (one second).
const MAX_CONNECT_TIME: Duration = Duration::from_millis(500);

/// A listener with a full accept queue: SYN packets to it are dropped, as by a machine without power. Also
/// returns the connection that fills the queue, and the address.
fn silent_listener() -> (TcpListener, Vec<TcpStream>, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else { panic!("IPv4") };
    let first = TcpStream::connect(address).expect("the only place in the queue");
    (listener, vec![first], address)
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_attempt_times_out_before_a_lost_syn_is_retransmitted() {
    let (_listener, _queued, address) = silent_listener();
    let started_at = Instant::now();
    let result = connect(address).await;
    assert!(matches!(result, Err(LinkError::TimedOut(..))), "{result:?}");
    assert!(started_at.elapsed() < MAX_CONNECT_TIME, "{:?}", started_at.elapsed());
}

/// When the machine of the test below accepts packets again: after the first SYN, and long before the attempt
/// times out.
const POWER_BACK_AFTER: Duration = Duration::from_millis(100);

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_machine_that_gets_its_power_back_is_reached_within_the_same_attempt() {
    let (listener, _queued, address) = silent_listener();
    let power_back = async {
        tokio::time::sleep(POWER_BACK_AFTER).await;
        listener.accept().expect("accepting the queued connection makes room")
    };
    let started_at = Instant::now();
    let (connected, _accepted) = tokio::join!(connect(address), power_back);
    assert!(connected.is_ok(), "{connected:?}");
    assert!(started_at.elapsed() < POWER_BACK_AFTER * 2, "{:?}", started_at.elapsed());
}
