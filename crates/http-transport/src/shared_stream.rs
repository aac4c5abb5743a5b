//! A socket that one task reads and writes while another one watches whether the peer has closed it and
//! whether bytes are unread. What the watcher reads ahead is buffered for the reader, in order. Does not
//! interpret any bytes.

use bytes::{Bytes, BytesMut};
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A socket shared by its reader and a watcher.
#[derive(Clone, Debug)]
pub struct SharedStream(Rc<Socket>);

#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    /// Bytes that were read ahead and that the reader has not read yet.
    buffered: RefCell<BytesMut>,
    /// The waker of the reader, if it waits.
    reader_waker: RefCell<Option<Waker>>,
}

impl SharedStream {
    /// Shares a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        SharedStream(Rc::new(Socket {
            stream,
            buffered: RefCell::default(),
            reader_waker: RefCell::default(),
        }))
    }

    /// Waits until bytes have arrived that the reader leaves unread. Returns `false` if the peer has closed
    /// instead.
    pub async fn wait_for_unread(&self) -> bool {
        loop {
            if self.0.stream.readable().await.is_err() {
                return false;
            }
            // The reader has priority.
            tokio::task::yield_now().await;
            match self.0.stream.try_io(Interest::READABLE, || self.peek()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                peeked => return peeked.is_ok_and(|count| count > 0),
            }
        }
    }

    /// Reads at most `max_bytes` unread bytes into the buffer for the reader. While the reader does not read,
    /// this is the only way to detect a close that follows more bytes than the receive buffer of the system
    /// holds.
    pub fn read_ahead(&self, max_bytes: usize) {
        let mut chunk = BytesMut::zeroed(max_bytes);
        if let Ok(count) = self.0.stream.try_read(&mut chunk) {
            self.0.buffered.borrow_mut().extend_from_slice(&chunk[..count]);
            self.0.reader_waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Reads and discards at most `max_bytes` unread bytes.
    pub fn discard(&self, max_bytes: usize) {
        // An error recurs at the next wait.
        let _ = self.0.stream.try_read(&mut vec![0; max_bytes]);
    }

    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// The number of bytes that were read ahead and that the reader has not read yet.
    pub fn buffered_len(&self) -> usize {
        self.0.buffered.borrow().len()
    }

    /// Waits until the peer has closed its sending side or the connection is lost, even if bytes are unread.
    /// The reader detects a close only after the last of these bytes.
    pub async fn wait_for_close(&self) {
        // With `READABLE`, the system would report unread bytes as well as a close. `PRIORITY` reports the
        // close only; its other meaning, urgent data, is not registered for.
        loop {
            match self.0.stream.ready(Interest::PRIORITY).await {
                Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
                _ => return,
            }
        }
    }

    /// Whether bytes are unread. Checks the socket itself, as the runtime may not have been notified yet.
    pub fn has_unread(&self) -> bool {
        self.buffered_len() > 0 || self.peek().is_ok_and(|count| count > 0)
    }

    /// The socket and the bytes read ahead, if this is the last handle.
    pub fn into_stream(self) -> Option<(TcpStream, Bytes)> {
        let socket = Rc::try_unwrap(self.0).ok()?;
        Some((socket.stream, socket.buffered.into_inner().freeze()))
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut buffered = self.0.buffered.borrow_mut();
        if !buffered.is_empty() {
            let count = buffered.len().min(buffer.remaining());
            buffer.put_slice(&buffered.split_to(count));
            return Poll::Ready(Ok(()));
        }
        drop(buffered);
        self.0.reader_waker.replace(Some(cx.waker().clone()));
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buffer.initialize_unfilled()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl SharedStream {
    /// Polls a write until it would not block.
    fn poll_try(
        &self,
        cx: &mut Context,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write(bytes))
    }
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(match socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        pieces: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write_vectored(pieces))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
