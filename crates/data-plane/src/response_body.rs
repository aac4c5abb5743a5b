//! The bodies of responses to clients: buffered, or streamed as they arrive.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::any::Any;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::Instant;

/// The error of a body whose backend's response ended early. hyper then aborts the client's connection, so
/// that the truncated response does not look complete.
#[derive(Debug)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("response of the backend ended before its body was complete")
    }
}

impl std::error::Error for TruncatedBody {}

/// The body of a response to a client.
pub struct ResponseBody {
    kind: BodyKind,
    /// Dropped with the body, when the response was sent or its connection has ended.
    guards: Vec<Box<dyn Any>>,
}

enum BodyKind {
    Buffered(Full<Bytes>),
    Streamed(StreamedBody),
}

struct StreamedBody {
    chunks: Receiver<Result<Bytes, TruncatedBody>>,
    producer: Option<Pin<Box<dyn Future<Output = ()>>>>,
    deadline: Instant,
}

/// The sender by which a producer passes the chunks of a streamed response.
pub type ChunkSender = Sender<Result<Bytes, TruncatedBody>>;

impl ResponseBody {
    /// Makes a body of these bytes, which have a known length.
    pub fn buffered(bytes: Bytes) -> Self {
        ResponseBody { kind: BodyKind::Buffered(Full::new(bytes)), guards: Vec::new() }
    }

    /// A body whose chunks `producer` sends. The producer completes by `deadline` if the client reads. It is
    /// polled only when the client's connection takes more, and dropped with that connection.
    pub fn streamed<P: Future<Output = ()> + 'static>(
        deadline: Instant,
        producer: impl FnOnce(ChunkSender) -> P,
    ) -> Self {
        let (sender, chunks) = channel(1);
        let streamed = StreamedBody { chunks, producer: Some(Box::pin(producer(sender))), deadline };
        ResponseBody { kind: BodyKind::Streamed(streamed), guards: Vec::new() }
    }

    /// When a streamed body is complete if its client reads; `None` for a buffered one.
    pub fn deadline(&self) -> Option<Instant> {
        match &self.kind {
            BodyKind::Buffered(_) => None,
            BodyKind::Streamed(streamed) => Some(streamed.deadline),
        }
    }

    /// Keeps `guard` until the body is dropped.
    pub fn attach(&mut self, guard: impl Any) {
        self.guards.push(Box::new(guard));
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match &mut self.get_mut().kind {
            BodyKind::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            BodyKind::Streamed(StreamedBody { chunks, producer, .. }) => loop {
                if let Poll::Ready(chunk) = chunks.poll_recv(cx) {
                    return Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)));
                }
                let Some(running) = producer else { return Poll::Pending };
                if running.as_mut().poll(cx).is_ready() {
                    *producer = None;
                } else {
                    return chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)));
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.kind, BodyKind::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Buffered(body) => body.size_hint(),
            BodyKind::Streamed(_) => SizeHint::new(),
        }
    }
}
