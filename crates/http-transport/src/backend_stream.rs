//! The socket of a backend, monitored for what hyper does not report: how much of a request was written,
//! whether the peer has closed the connection, and how much of the response has arrived.

use crate::body::Upload;
use crate::process_pause::StallDetector;
use crate::reuse_delay::ReuseDelay;
use crate::send_permit::SendPermit;
use http_forwarding::attempt::AttemptStage;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

/// The maximum number of informational responses (1xx) before the final one. Guards against a backend that
/// never sends the final one.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;

/// The progress of the exchange in flight, which hyper does not report to its caller. A request may have been
/// executed once its last byte was written; a response has stalled if it has begun and nothing more of it
/// arrives.
#[derive(Default)]
pub struct ExchangeProgress {
    /// The size of the request's body in bytes.
    body_size: Cell<usize>,
    /// How many of the 4 bytes CR LF CR LF that end the head were written last; 4 once the head is complete.
    blank_line: Cell<usize>,
    body_written: Cell<usize>,
    /// Whether any byte of the request was written.
    started: Cell<bool>,
    response_head: Cell<ResponseHeadState>,
    /// The number of informational responses that have arrived.
    informational_count: Cell<u32>,
    /// When the latest bytes of the final response arrived.
    last_response_bytes: Cell<Option<Instant>>,
    response_started: Notify,
    /// The body if it is streamed and its size is unknown.
    upload: RefCell<Option<Rc<Upload>>>,
    /// The last bytes written of such a body.
    tail: Cell<[u8; 5]>,
    /// The conditions for sending the first byte.
    permit: RefCell<Option<SendPermit>>,
    /// Whether the connection of an abandoned request is reset, so that no part of the request arrives later.
    resets_when_abandoned: Cell<bool>,
    /// Whether the first byte was withheld, as the permit was no longer valid or the process had been
    /// stalled.
    withheld: Cell<bool>,
    /// Counts the requests whose last byte was written.
    sent_count: RefCell<Option<Rc<Cell<u64>>>>,
    /// Since when the connection has been idle after a response. Bytes that arrive between then and the next
    /// request belong to no request.
    idle_since: Cell<Option<Instant>>,
}

/// The state of the parser of response heads.
#[derive(Clone, Copy, Default)]
struct ResponseHeadState {
    /// The number of bytes of the head so far.
    bytes: usize,
    /// Whether the response is informational and another one follows. 101 does not count.
    informational: bool,
    /// Whether the current line is empty so far.
    line_empty: bool,
    complete: bool,
}

impl ExchangeProgress {
    /// Begins a request whose body has `body_size` bytes. `sent_count` is incremented once its last byte is
    /// written.
    pub fn begin(&self, body_size: usize, sent_count: Option<Rc<Cell<u64>>>) {
        self.sent_count.replace(sent_count);
        self.upload.take();
        self.tail.take();
        self.body_size.set(body_size);
        self.blank_line.set(0);
        self.body_written.set(0);
        self.started.set(false);
        self.response_head.take();
        self.informational_count.set(0);
        self.last_response_bytes.set(None);
    }
    /// Records that the response is complete and the connection idle until the next request.
    pub fn mark_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
    }
    fn record_written(&self, bytes: &[u8]) {
        self.started.set(self.started.get() || !bytes.is_empty());
        self.idle_since.set(None);
        for (i, byte) in bytes.iter().enumerate() {
            if self.blank_line.get() == 4 {
                self.record_tail(&bytes[i..]);
                return self.body_written.set(self.body_written.get() + bytes.len() - i);
            }
            let next = match (self.blank_line.get(), byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.blank_line.get() + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            self.blank_line.set(next);
        }
    }
    /// Begins a request with a streamed body. A body of unknown size is complete with its last chunk.
    pub fn begin_upload(&self, upload: &Rc<Upload>, sent_count: Option<Rc<Cell<u64>>>) {
        match upload.size() {
            Some(size) => self.begin(usize::try_from(size).unwrap_or(usize::MAX), sent_count),
            None => {
                self.begin(0, sent_count);
                self.upload.replace(Some(upload.clone()));
            }
        }
    }
    /// Sets the conditions for sending the first byte.
    pub fn set_permit(&self, permit: SendPermit) {
        self.permit.replace(Some(permit));
        self.withheld.set(false);
    }
    /// Whether the first byte was withheld, so that neither the backend nor the connection caused the
    /// failure.
    pub fn is_withheld(&self) -> bool {
        self.withheld.get()
    }
    /// From now on resets the connection of an abandoned request, so that no part of the request arrives
    /// later.
    pub fn reset_when_abandoned(&self) {
        self.resets_when_abandoned.set(true);
    }
    /// Whether the connection must be reset, as a request was started whose response has not begun.
    fn is_abandoned(&self) -> bool {
        self.resets_when_abandoned.get()
            && !self.is_untouched()
            && self.response_head.get().bytes == 0
            && self.informational_count.get() == 0
    }
    /// Counts the request once its last byte was written.
    fn count_if_complete(&self) {
        if self.is_complete()
            && let Some(count) = self.sent_count.take()
        {
            count.set(count.get() + 1);
        }
    }
    fn record_tail(&self, bytes: &[u8]) {
        let mut tail = self.tail.get();
        for byte in &bytes[bytes.len().saturating_sub(tail.len())..] {
            tail.rotate_left(1);
            tail[4] = *byte;
        }
        self.tail.set(tail);
    }
    /// Whether no byte of the request was written.
    pub fn is_untouched(&self) -> bool {
        !self.started.get()
    }
    /// Whether the last byte of the request was written.
    pub fn is_complete(&self) -> bool {
        let body_complete = match &*self.upload.borrow() {
            None => self.body_written.get() >= self.body_size.get(),
            // The body may contain bytes that look like the last chunk. The request then counts as complete
            // too early, which is the safe direction: it may have been executed.
            Some(upload) => upload.is_finished() && self.tail.get() == *b"0\r\n\r\n",
        };
        self.blank_line.get() == 4 && body_complete
    }
    /// How much of the request was written.
    pub fn stage(&self) -> AttemptStage {
        match (self.started.get(), self.blank_line.get()) {
            (false, _) => AttemptStage::NothingSent,
            _ if self.is_complete() => AttemptStage::RequestSent,
            (true, 4) => AttemptStage::SendingBody,
            (true, _) => AttemptStage::SendingHead,
        }
    }
    fn record_read(&self, bytes: &[u8]) {
        let mut head = self.response_head.get();
        for byte in bytes {
            if head.complete {
                break;
            }
            if self.last_response_bytes.get().is_none() {
                self.last_response_bytes.set(Some(Instant::now()));
                self.response_started.notify_one();
            }
            // The first digit of the status is the tenth byte of "HTTP/1.1 1xx". 101 is a final response.
            head.bytes += 1;
            match head.bytes {
                10 => head.informational = *byte == b'1',
                12 if *byte == b'1' && head.informational => head.informational = false,
                _ => {}
            }
            match byte {
                b'\n' if head.line_empty && head.informational => {
                    head = ResponseHeadState::default();
                    self.informational_count.set(self.informational_count.get() + 1);
                    self.last_response_bytes.set(None);
                }
                b'\n' if head.line_empty => head.complete = true,
                b'\n' => head.line_empty = true,
                b'\r' => {}
                _ => head.line_empty = false,
            }
        }
        // A large or slow response arrives in pieces. It has not stalled as long as they arrive.
        if !bytes.is_empty() && self.last_response_bytes.get().is_some() {
            self.last_response_bytes.set(Some(Instant::now()));
        }
        self.response_head.set(head);
    }
    /// Whether more informational responses than allowed have arrived.
    pub fn is_flooded(&self) -> bool {
        self.informational_count.get() > MAX_INFORMATIONAL_RESPONSES
    }
    /// Waits until a response has begun and then no byte of it has arrived for `after`. The caller must drop
    /// the future once the response is complete.
    pub async fn wait_for_stall(&self, after: Duration) {
        loop {
            match self.last_response_bytes.get() {
                None => self.response_started.notified().await,
                Some(at) => {
                    sleep_until(at + after).await;
                    // If this process was delayed, bytes that have arrived in the meantime are read first.
                    yield_now().await;
                    yield_now().await;
                    if self.last_response_bytes.get() == Some(at) {
                        return;
                    }
                }
            }
        }
    }
}

/// The socket of a backend. Records what is written and read. Before the first byte of a request it checks
/// whether the peer has closed the connection, as a request that was written to a closed connection counts as
/// possibly executed.
pub struct MonitoredStream {
    /// `None` only after `into_stream`.
    stream: Option<TcpStream>,
    progress: Rc<ExchangeProgress>,
    /// `None` if a request whose backend was selected before a stall of the process may still be sent.
    stall_detector: Option<Rc<StallDetector>>,
    reuse_delay: Rc<ReuseDelay>,
}

impl MonitoredStream {
    /// Monitors a connected socket. Without `stall_detector`, requests are not withheld after stalls of the
    /// process.
    pub fn new(
        stream: TcpStream,
        progress: Rc<ExchangeProgress>,
        stall_detector: impl Into<Option<Rc<StallDetector>>>,
        reuse_delay: Rc<ReuseDelay>,
    ) -> Self {
        let stall_detector = stall_detector.into();
        MonitoredStream { stream: Some(stream), progress, stall_detector, reuse_delay }
    }
    /// Records that bytes arrived. Bytes after a response belong to no request, and show how late such bytes
    /// may arrive on other connections too.
    fn record_arrival(&self) {
        if let Some(since) = self.progress.idle_since.take()
            && self.reuse_delay.record_late_bytes(since.elapsed())
        {
            // Quoted in docs/operators/service.md.
            debug!(
                "bytes arrived {:?} after a response: the reuse delay is now {:?}",
                since.elapsed(),
                self.reuse_delay.current()
            );
        }
    }
    /// The socket, no longer monitored.
    pub fn into_stream(mut self) -> Option<TcpStream> {
        self.stream.take()
    }
    /// The last check before the first byte of a request is passed to the system. If the process is stopped
    /// between this check and the write, an outdated request is sent; this side of the socket cannot prevent
    /// that.
    fn check_first_write(mut self: Pin<&mut Self>) -> io::Result<()> {
        if !self.progress.is_untouched() {
            return Ok(());
        }
        let expired = self.progress.permit.borrow().as_ref().is_some_and(|permit| !permit.is_valid());
        if self.stall_detector.as_ref().is_some_and(|detector| detector.is_catching_up()) || expired {
            self.progress.withheld.set(true);
            return Err(io::ErrorKind::TimedOut.into());
        }
        // Checks the socket itself, as the runtime may not have been notified yet. Unread bytes belong to no
        // request.
        match socket2::SockRef::from(&*self.stream()?).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            peeked => {
                if peeked.is_ok_and(|count| count > 0) {
                    self.record_arrival();
                }
                Err(io::ErrorKind::NotConnected.into())
            }
        }
    }
    fn stream<'a>(self: &'a mut Pin<&mut Self>) -> io::Result<Pin<&'a mut TcpStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        // An abandoned request must not arrive later: if the path to the backend is interrupted, the system
        // would retransmit the queued part of the request for minutes after the close.
        if let Some(stream) = self.stream.as_ref().filter(|_| self.progress.is_abandoned()) {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.stream()?.poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.record_arrival();
        }
        self.progress.record_read(&buffer.filled()[before..]);
        if self.progress.is_flooded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.as_mut().check_first_write()?;
        let written = self.stream()?.poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.progress.record_written(&bytes[..*count]);
            self.progress.count_if_complete();
        }
        written
    }
    // Without vectored writes, hyper would copy the body into the buffer of the head, which the connection
    // keeps until it ends.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        pieces: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.as_mut().check_first_write()?;
        let written = self.stream()?.poll_write_vectored(cx, pieces);
        if let Poll::Ready(Ok(count)) = &written {
            let mut remaining = *count;
            for piece in pieces {
                let part = remaining.min(piece.len());
                self.progress.record_written(&piece[..part]);
                remaining -= part;
            }
            self.progress.count_if_complete();
        }
        written
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
