//! The socket of a client, monitored for what hyper does not report: heads with ambiguous framing, and since
//! when a head has been incomplete.

use crate::shared_stream::SharedStream;
use http_forwarding::framing::{FramingError, LineEndings, StreamPosition};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The observations about the request heads of a connection.
#[derive(Default)]
pub struct HeadMonitor {
    /// Since when a head has been incomplete.
    incomplete_since: Cell<Option<Instant>>,
    /// The first framing error of a head. hyper accepts ambiguous heads without reporting that.
    fault: Cell<Option<FramingError>>,
}

impl HeadMonitor {
    /// Since when the current head has been incomplete; `None` between heads.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since.get()
    }
    /// The first framing error of a head; `None` if there was none.
    pub fn fault(&self) -> Option<FramingError> {
        self.fault.get()
    }
    /// Records received bytes.
    fn record(&self, position: &mut StreamPosition, bytes: &[u8], line_endings: LineEndings) {
        if bytes.is_empty() {
            return;
        }
        let observation = position.advance(bytes, line_endings);
        self.fault.set(self.fault.get().or(observation.error));
        let since = self.incomplete_since.get().or_else(|| Some(Instant::now()));
        self.incomplete_since.set(since.filter(|_| observation.is_head_incomplete));
    }
}

/// A client's socket whose received bytes are recorded in a [`HeadMonitor`].
pub struct MonitoredClientStream {
    stream: SharedStream,
    position: StreamPosition,
    line_endings: LineEndings,
    heads: Rc<HeadMonitor>,
}

impl MonitoredClientStream {
    /// Monitors `stream`. Heads with other line endings than `line_endings` allows are recorded as invalid.
    pub fn new(stream: SharedStream, heads: Rc<HeadMonitor>, line_endings: LineEndings) -> Self {
        MonitoredClientStream { stream, position: StreamPosition::default(), line_endings, heads }
    }
}

impl AsyncRead for MonitoredClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let this = &mut *self;
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        this.heads.record(&mut this.position, &buffer.filled()[before..], this.line_endings);
        read
    }
}

impl AsyncWrite for MonitoredClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        pieces: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, pieces)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
