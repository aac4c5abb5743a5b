//! A relay delivers all bytes in order under each fault, or breaks the connection.

use fault_injection::plan::{Direction, Directions, LinkFault};
use fault_injection::relay::Relay;
use proptest::prelude::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A relay to an echo server, with a notification for each connection that the server accepts.
struct Link {
    relay: Relay,
    connected: Receiver<()>,
    _runtime: Runtime,
}

fn start_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().expect("a second handle"), stream);
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Write);
            });
        }
    });
    address
}

fn link() -> Link {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let (sender, connected) = channel();
    let sender = std::sync::Mutex::new(sender);
    let on_connect = move || {
        let _ = sender.lock().expect("not poisoned").send(());
    };
    let relay = runtime.block_on(Relay::start(start_echo_server(), on_connect)).expect("a relay");
    Link { relay, connected, _runtime: runtime }
}

impl Link {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.relay.address).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        stream
    }
    fn exchange(&self, stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
        stream.write_all(text).expect("written");
        let mut back = vec![0; text.len()];
        stream.read_exact(&mut back).expect("all bytes");
        back
    }
}

/// Whether a connection is reset, or ends without further bytes.
fn is_broken(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).is_err() || rest.is_empty()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Data written in chunks of any size arrives complete and in order, followed by the end of the stream.
    #[test]
    fn all_bytes_are_delivered_in_order(
        bytes in proptest::collection::vec(any::<u8>(), 0..60_000),
        chunk_size in 1usize..9000,
        delay in 0u64..4,
    ) {
        let link = link();
        if delay > 0 {
            link.relay.inject(LinkFault::Delay {
                min: Duration::from_millis(delay - 1),
                jitter: Duration::from_millis(delay),
            });
        }
        let mut stream = link.connect();
        let mut writer = stream.try_clone().expect("a second handle");
        let sent = bytes.clone();
        let writing = std::thread::spawn(move || {
            sent.chunks(chunk_size).for_each(|chunk| writer.write_all(chunk).expect("written"));
            writer.shutdown(Shutdown::Write).expect("ended");
        });
        let mut back = Vec::new();
        stream.read_to_end(&mut back).expect("all bytes");
        writing.join().expect("written");
        prop_assert_eq!(back, bytes);
    }

    /// A connection with a cut after a number of response bytes delivers no more than that.
    #[test]
    fn a_cut_limits_the_response_bytes(after in 1u64..40_000) {
        let link = link();
        let mut stream = link.connect();
        link.connected.recv_timeout(TIMEOUT).expect("connected");
        link.relay.inject(LinkFault::CutAfter(after));
        let mut writer = stream.try_clone().expect("a second handle");
        std::thread::spawn(move || writer.write_all(&vec![7; 50_000]));
        let mut received = 0;
        let mut buffer = [0; 4096];
        while let Ok(n) = stream.read(&mut buffer) {
            if n == 0 {
                break;
            }
            received += n as u64;
        }
        // Fewer bytes may arrive: a reset discards bytes that were written just before it.
        prop_assert!(received <= after, "{received} bytes, the cut is after {after}");
    }
}

#[test]
fn stalled_bytes_are_delivered_after_the_fault_and_the_other_direction_is_not_stalled() {
    let link = link();
    let mut stream = link.connect();
    assert_eq!(link.exchange(&mut stream, b"before"), b"before");
    let stall = link.relay.inject(LinkFault::Stall(Directions::Only(Direction::Response)));
    stream.write_all(b"late").expect("written");
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket");
    assert!(stream.read(&mut [0; 9]).is_err(), "the response is stalled");
    assert!(!link.relay.is_healthy());
    link.relay.heal(stall);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut back = [0; 4];
    stream.read_exact(&mut back).expect("the stalled byte");
    assert_eq!(&back, b"late");
    assert!(link.relay.is_healthy());
}

#[test]
fn concurrent_faults_are_healed_independently() {
    let link = link();
    let mut stream = link.connect();
    let (first, second) = (
        link.relay.inject(LinkFault::Stall(Directions::Only(Direction::Request))),
        link.relay.inject(LinkFault::Stall(Directions::Both)),
    );
    stream.write_all(b"x").expect("written");
    link.relay.heal(second);
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket");
    assert!(stream.read(&mut [0; 9]).is_err(), "the first fault is still active");
    link.relay.heal(first);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    assert_eq!(stream.read(&mut [0; 9]).expect("the stalled byte"), 1);
}

#[test]
fn a_reset_breaks_open_connections_and_a_cut_also_refuses_new_ones_until_it_is_healed() {
    let link = link();
    let mut stream = link.connect();
    assert_eq!(link.exchange(&mut stream, b"x"), b"x");
    link.relay.inject(LinkFault::Reset);
    assert!(is_broken(&mut stream));
    let mut stream = link.connect();
    assert_eq!(link.exchange(&mut stream, b"y"), b"y");
    let cut = link.relay.inject(LinkFault::Cut);
    assert!(is_broken(&mut stream));
    let refused = |link: &Link| TcpStream::connect(link.relay.address).is_err();
    let start = Instant::now();
    while !refused(&link) && start.elapsed() < TIMEOUT {}
    assert!(refused(&link));
    link.relay.heal(cut);
    let start = Instant::now();
    while refused(&link) && start.elapsed() < TIMEOUT {}
    let mut stream = link.connect();
    assert_eq!(link.exchange(&mut stream, b"z"), b"z");
}

#[test]
fn a_half_open_link_does_not_forward_new_connections_and_dropped_bytes_break_theirs() {
    let link = link();
    let mut open = link.connect();
    assert_eq!(link.exchange(&mut open, b"x"), b"x");
    link.connected.recv_timeout(TIMEOUT).expect("connected");
    let half_open = link.relay.inject(LinkFault::HalfOpen);
    let mut unforwarded = link.connect();
    unforwarded.write_all(b"y").expect("written");
    unforwarded.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket");
    assert!(unforwarded.read(&mut [0; 9]).is_err(), "there is no response");
    assert!(link.connected.try_recv().is_err(), "the target has accepted none");
    assert_eq!(link.exchange(&mut open, b"z"), b"z");
    link.relay.heal(half_open);
    unforwarded.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    assert!(is_broken(&mut unforwarded));
    let dropping = link.relay.inject(LinkFault::Drop(Directions::Only(Direction::Response)));
    let mut stream = link.connect();
    stream.write_all(b"w").expect("written");
    link.connected.recv_timeout(TIMEOUT).expect("connected");
    // The fault is healed only after the response has reached the relay: a later response would be delivered
    // before the connection is reset.
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a socket");
    assert!(stream.read(&mut [0; 9]).is_err(), "the response is dropped");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    link.relay.heal(dropping);
    assert!(is_broken(&mut stream));
}

#[test]
fn a_throttled_link_limits_the_throughput() {
    let link = link();
    let mut stream = link.connect();
    link.relay.inject(LinkFault::Throttle(20_000));
    let start = Instant::now();
    link.exchange(&mut stream, &[1; 10_000]);
    // Each direction takes half a second, and the two may overlap. A sleep is never shorter than asked for.
    assert!(start.elapsed() >= Duration::from_millis(400), "{:?}", start.elapsed());
}
