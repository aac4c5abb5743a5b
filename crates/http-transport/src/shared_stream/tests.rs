//! Unit tests of the private items of the parent module.

use super::*;
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(30);

async fn pair() -> (SharedStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (SharedStream::new(stream), listener.accept().unwrap().0)
}

#[tokio::test]
async fn a_close_is_detected_behind_unread_bytes() {
    for reset in [false, true] {
        let (shared, mut peer) = pair().await;
        peer.write_all(&[b'x'; 100_000]).unwrap();
        while !shared.has_unread() {
            tokio::task::yield_now().await;
        }
        // Bytes alone are no close: the future is polled and stays pending.
        assert!(timeout(Duration::from_millis(20), shared.wait_for_close()).await.is_err());
        if reset {
            socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(peer);
        timeout(LONG, shared.wait_for_close()).await.expect("the close is detected");
        if !reset {
            let (mut shared, mut all) = (shared, Vec::new());
            shared.read_to_end(&mut all).await.unwrap();
            assert_eq!(all.len(), 100_000, "and no byte before it is lost");
            timeout(LONG, shared.wait_for_close()).await.expect("it stays detected");
        }
    }
}

#[tokio::test]
async fn bytes_read_ahead_reach_the_reader_in_order_and_wake_it() {
    let (shared, mut peer) = pair().await;
    peer.write_all(b"0123456789").unwrap();
    assert!(timeout(LONG, shared.wait_for_unread()).await.unwrap());
    shared.read_ahead(4);
    assert_eq!(shared.buffered_len(), 4);
    let (mut reader, mut ten, mut one) = (shared.clone(), [0; 10], [0]);
    timeout(LONG, reader.read_exact(&mut ten)).await.unwrap().unwrap();
    assert_eq!(&ten, b"0123456789");
    // The reader waits for another byte, which the watcher reads.
    let mut read = std::pin::pin!(reader.read_exact(&mut one));
    assert!(is_pending(&mut read).await, "no byte has arrived");
    peer.write_all(b"x").unwrap();
    assert!(timeout(LONG, shared.wait_for_unread()).await.unwrap());
    shared.read_ahead(4);
    assert_eq!(shared.buffered_len(), 1);
    timeout(LONG, read).await.expect("the reader is woken").unwrap();
    assert_eq!(&one, b"x");
}

/// Polls a future once and returns whether it is pending.
async fn is_pending<F: Future + Unpin>(future: &mut F) -> bool {
    std::future::poll_fn(|cx| Poll::Ready(Pin::new(&mut *future).poll(cx).is_pending())).await
}
