//! Unit tests of the private items of the parent module.

use super::*;
use std::io::Write;
use std::task::Waker;

#[test]
fn a_request_is_complete_with_its_last_byte_however_it_is_split() {
    let text = b"POST /a HTTP/1.1\r\nX: \r\r\nY: 1\r\n\r\n\r\n\r\nbody";
    let body = b"\r\n\r\nbody".len();
    for cut in 1..text.len() {
        let progress = ExchangeProgress::default();
        progress.begin(body, None);
        assert!(progress.is_untouched());
        for piece in text.chunks(cut) {
            assert!(!progress.is_complete(), "cut at {cut}");
            progress.record_written(piece);
            assert!(!progress.is_untouched());
        }
        assert!(progress.is_complete(), "cut at {cut}");
        progress.begin(body, None);
        progress.record_written(&text[..text.len() - 1]);
        assert!(!progress.is_complete(), "cut at {cut}");
    }
}

#[test]
fn a_response_begins_after_the_informational_ones() {
    let informational = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    for cut in 1..informational.len() {
        let progress = ExchangeProgress::default();
        informational.chunks(cut).for_each(|piece| progress.record_read(piece));
        assert!(progress.last_response_bytes.get().is_none() && !progress.is_flooded(), "cut at {cut}");
        progress.record_read(b"H");
        assert!(progress.last_response_bytes.get().is_some(), "cut at {cut}");
    }
    let progress = ExchangeProgress::default();
    progress.record_read(b"HTTP/1.1 101 Switching Protocols\r\n\r\n");
    assert!(progress.last_response_bytes.get().is_some());
    progress.begin(0, None);
    (0..MAX_INFORMATIONAL_RESPONSES).for_each(|_| progress.record_read(b"HTTP/1.1 100 Continue\n\n"));
    assert!(!progress.is_flooded());
    progress.record_read(b"HTTP/1.1 100 Continue\n\n");
    assert!(progress.is_flooded());
}

/// The peer's close or stray bytes count even before the runtime is notified of them.
#[tokio::test]
async fn nothing_is_written_to_a_connection_that_the_peer_has_closed() {
    for stray in [None, Some(b"HTTP/1.1 408 Request Timeout\r\n\r\n")] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let progress = Rc::new(ExchangeProgress::default());
        let mut monitored = MonitoredStream::new(
            stream,
            progress.clone(),
            Rc::new(StallDetector::without_tasks()),
            Rc::new(ReuseDelay::new(Duration::ZERO)),
        );
        let cx = &mut Context::from_waker(Waker::noop());
        progress.begin(0, None);
        assert!(matches!(Pin::new(&mut monitored).poll_write(cx, b"GET"), Poll::Ready(Ok(3))));
        let mut read = [0; 3];
        io::Read::read_exact(&mut peer, &mut read).unwrap();
        if let Some(stray) = stray {
            peer.write_all(stray).unwrap();
        } else {
            drop(peer);
        }
        // Waits for the close or the bytes without the runtime.
        while socket2::SockRef::from(monitored.stream.as_ref().unwrap())
            .peek(&mut [MaybeUninit::uninit()])
            .is_err()
        {}
        progress.begin(0, None);
        assert!(matches!(Pin::new(&mut monitored).poll_write(cx, b"GET"), Poll::Ready(Err(_))));
        assert!(progress.is_untouched());
    }
}
