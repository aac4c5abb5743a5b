//! Bodies of messages: buffered up to a limit, or streamed if they are larger, from a client to a backend or
//! from a backend to a client. Bytes are read from one side only when the other side accepts them. Makes no
//! attempts and does not decide about retries.

mod buffer;
mod download;
mod upload;

pub use buffer::{BodyBuffer, MAX_BUFFERED_BODY, ReadBody, ReadEnd, buffer_body};
pub use download::{DEFAULT_MAX_GAP, Download};
pub use upload::{Upload, UploadAttempt, UploadEvent, upload_timeout};

use crate::tunnel::Tunnel;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

quick_error! {
    /// Why a streamed body failed. The error of the sender's connection is in the text but is not the
    /// `source`: hyper wraps this error in that of the receiver's connection, and the sources of that one are
    /// used to tell how the receiver failed.
    #[derive(Debug)]
    pub enum BodyError {
        /// The sender's connection was lost.
        Sender(error: hyper::Error) { display("the connection of the sender failed: {error}") }
        /// The sender was too slow.
        TooSlow { display("the sender is too slow") }
        /// The body exceeds the maximum size.
        TooLarge { display("the body exceeds its maximum size") }
        /// The part that is not retained was sent in an earlier attempt.
        Spent { display("the body was sent in an earlier attempt") }
    }
}

/// The body of a request or response.
pub enum MessageBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// The body of a client's request, streamed to a backend.
    Upload(UploadAttempt),
    /// The body of a backend's response, streamed to a client.
    Download(Box<Download>),
    /// No body: the connection switches to another protocol after the head.
    Tunnel(Option<Box<Tunnel>>),
}

impl MessageBody {
    /// The body of one attempt that streams `upload`.
    pub fn upload(upload: &Rc<Upload>) -> Self {
        MessageBody::Upload(UploadAttempt::new(upload.clone()))
    }
}

impl From<Full<Bytes>> for MessageBody {
    fn from(body: Full<Bytes>) -> Self {
        MessageBody::Buffered(body)
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            MessageBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            MessageBody::Upload(body) => body.poll_data(cx).map_ok(Frame::data),
            MessageBody::Download(body) => body.poll_frame(cx),
            MessageBody::Tunnel(_) => Poll::Ready(None),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            MessageBody::Buffered(body) => body.is_end_stream(),
            // The end of an upload is reported by `poll_frame`.
            MessageBody::Upload(_) => false,
            MessageBody::Download(body) => body.is_end_stream(),
            MessageBody::Tunnel(_) => true,
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            MessageBody::Buffered(body) => body.size_hint(),
            MessageBody::Upload(body) => body.size().map_or_else(SizeHint::new, SizeHint::with_exact),
            MessageBody::Download(body) => body.size_hint(),
            MessageBody::Tunnel(_) => SizeHint::with_exact(0),
        }
    }
}
