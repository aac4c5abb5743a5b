//! Links over loopback: frames arrive complete and in order, and the connection to a peer that doesn't read
//! is closed.

use control_link::{AddressTranslation, CloseCause, LinkError, MAX_QUEUED_BYTES};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Both ends of a connection, and the address of the end that opened it.
async fn pair() -> (TcpStream, TcpStream, SocketAddr) {
    let listener = control_link::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("listen");
    let SocketAddr::V4(address) = listener.local_addr().expect("address") else { panic!("no IPv4") };
    let (opened, accepted) = tokio::join!(control_link::connect(address), listener.accept());
    let (accepted, peer) = accepted.expect("accept");
    control_link::configure_accepted(&accepted).expect("options");
    (opened.expect("connect"), accepted, peer)
}

#[tokio::test]
async fn messages_of_all_sizes_arrive_in_order_in_both_directions() {
    let (opened, accepted, peer) = pair().await;
    let (mut here, to_there) = control_link::split(opened, peer);
    let (mut there, to_here) = control_link::split(accepted, peer);
    let sent: Vec<String> = [0, 1, 10, 70_000, 3, 1_000_000].map(|length| "x".repeat(length)).into();
    for text in &sent {
        to_there.send(text).expect("queued");
    }
    to_here.send(&7_u64).expect("queued");
    for text in &sent {
        assert_eq!(there.next::<String>().await.expect("a message"), *text);
    }
    assert_eq!(here.next::<u64>().await.expect("a message"), 7);
}

#[tokio::test]
async fn a_peer_that_does_not_read_is_disconnected_and_does_not_block_the_sender() {
    let (opened, accepted, peer) = pair().await;
    let (mut here, to_there) = control_link::split(opened, peer);
    let message = "x".repeat(1 << 20);
    let mut failure = None;
    for _ in 0..1000 {
        if let Err(error) = to_there.send(&message) {
            failure = Some(error);
            break;
        }
        tokio::task::yield_now().await;
    }
    assert!(matches!(failure, Some(LinkError::QueueFull(_))), "{failure:?}");
    assert!(matches!(to_there.send(&message), Err(LinkError::Closed(_))));
    assert!(matches!(here.next::<u64>().await, Err(LinkError::Closed(_))));
    drop(accepted);
}

#[tokio::test]
async fn a_connection_that_one_end_closes_is_closed_at_the_other() {
    let (opened, accepted, peer) = pair().await;
    let (mut here, to_there) = control_link::split(opened, peer);
    let (there, to_here) = control_link::split(accepted, peer);
    drop((there, to_here));
    assert!(here.next::<u64>().await.is_err());
    drop(to_there);
}

#[tokio::test]
async fn bytes_that_are_not_a_frame_are_an_error() {
    let (opened, accepted, peer) = pair().await;
    let (mut here, _to_there) = control_link::split(opened, peer);
    accepted.writable().await.expect("writable");
    accepted.try_write(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    assert!(matches!(here.next::<u64>().await, Err(LinkError::Frame(..))));
}

#[tokio::test]
async fn the_cause_of_a_close_on_this_side_is_known() {
    let (opened, accepted, peer) = pair().await;
    let (mut here, to_there) = control_link::split(opened, peer);
    let (there, to_here) = control_link::split(accepted, peer);
    assert_eq!(to_there.close_cause(), None);
    drop((there, to_here));
    assert!(matches!(here.next::<u64>().await, Err(LinkError::Closed(_))));
    assert_eq!(to_there.close_cause(), None, "the peer has closed it");
    to_there.close();
    assert_eq!(to_there.close_cause(), Some(CloseCause::Requested));

    let (opened, _accepted, peer) = pair().await;
    let (_, to_there) = control_link::split(opened, peer);
    let message = "x".repeat(1 << 20);
    while to_there.send(&message).is_ok() {
        tokio::task::yield_now().await;
    }
    assert_eq!(to_there.close_cause(), Some(CloseCause::QueueFull));
}

#[test]
fn announced_addresses_are_translated_and_others_left_as_they_are() {
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let translation = AddressTranslation::new([(address(1), address(2))].into());
    assert_eq!(translation.resolve(address(1)), address(2));
    assert_eq!(translation.resolve(address(2)), address(2));
}

/// How long a peer may be silent in a test with a paused clock.
const SILENCE: Duration = Duration::from_secs(2);

/// Lets the reader take what has arrived, and then the time pass.
async fn advance(time: Duration) {
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    tokio::time::advance(time).await;
}

#[tokio::test(start_paused = true)]
async fn a_message_may_take_longer_than_a_peer_may_be_silent() {
    let (opened, mut accepted, peer) = pair().await;
    let reading = tokio::spawn(async move {
        let (mut here, _to_there) = control_link::split(opened, peer);
        (here.next_within::<String>(SILENCE).await, here.next_within::<String>(SILENCE).await)
    });
    let text = "x".repeat(3000);
    let frame = control_protocol::encode(&text).expect("a frame");
    for part in frame.chunks(1100) {
        accepted.write_all(part).await.expect("a write");
        advance(SILENCE * 3 / 4).await;
    }
    let (message, silence) = reading.await.expect("the reader");
    assert_eq!(message.expect("a message"), text);
    assert!(matches!(silence, Err(LinkError::TimedOut(..))), "{silence:?}");
}

/// A large document follows a short message at once: the link was closed each time.
#[tokio::test]
async fn a_frame_larger_than_the_queue_may_follow_others() {
    let large = "x".repeat(MAX_QUEUED_BYTES + 1);
    let (opened, _accepted, peer) = pair().await;
    let (_here, to_there) = control_link::split(opened, peer);
    to_there.send(&large).expect("queued");
    let refused = to_there.send(&2_u64);
    assert!(matches!(refused, Err(LinkError::QueueFull(_))), "{refused:?}");

    let (opened, accepted, peer) = pair().await;
    let (_here, to_there) = control_link::split(opened, peer);
    let (mut there, _to_here) = control_link::split(accepted, peer);
    to_there.send(&1_u64).expect("queued");
    to_there.send(&large).expect("queued");
    assert_eq!(there.next::<u64>().await.expect("the first message"), 1);
    assert_eq!(there.next::<String>().await.expect("the large message"), large);
}
