//! A client's socket, watched for what hyper does not tell: a head that says its length in two ways, and when a head
//! began that is not over yet.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most header lines, as hyper has it.
const MOST_HEADERS: usize = 100;

/// What a connection's heads have shown so far.
#[derive(Default)]
pub struct Heads {
    /// Since when a head has been coming.
    since: Cell<Option<Instant>>,
    /// Whether some head says in two ways where its request ends. hyper takes one of them and hides the other; whoever
    /// reads it in the other way finds a second request in the first one's body.
    ambiguous: Cell<bool>,
}

impl Heads {
    pub fn coming_since(&self) -> Option<Instant> {
        self.since.get()
    }
    pub fn are_ambiguous(&self) -> bool {
        self.ambiguous.get()
    }
}

/// Where in the stream of requests the next byte is.
enum At {
    /// In a head, of which this has come.
    Head(Vec<u8>),
    /// In a body that has so many more bytes.
    Body(u64),
    /// In what is not looked at: hyper refuses the head, or the connection ends with the request, as one in chunks does.
    Blind,
}

/// A client's socket with its watcher.
pub struct WatchedClient {
    stream: TcpStream,
    at: At,
    heads: Rc<Heads>,
}

impl WatchedClient {
    pub fn new(stream: TcpStream, heads: Rc<Heads>) -> Self {
        WatchedClient { stream, at: At::Head(Vec::new()), heads }
    }
}

impl Heads {
    /// Takes in what has come.
    fn read(&self, at: &mut At, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match at {
                At::Blind => return,
                At::Body(left) => {
                    let taken = (*left).min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    *left -= taken;
                    if *left == 0 {
                        *at = At::Head(Vec::new());
                    }
                }
                At::Head(come) => {
                    let before = come.len();
                    come.extend_from_slice(bytes);
                    // Without a line's end the head can't be over; a head byte by byte is not read anew for each.
                    let read = if bytes.contains(&b'\n') { read_head(come) } else { Ok(None) };
                    match read {
                        Ok(Some(head)) => {
                            self.since.set(None);
                            self.ambiguous.set(self.ambiguous.get() || head.ambiguous);
                            bytes = &bytes[head.length.saturating_sub(before)..];
                            *at = match head.body {
                                Some(0) => At::Head(Vec::new()),
                                Some(length) => At::Body(length),
                                None => At::Blind,
                            };
                        }
                        Ok(None) => {
                            self.since.set(self.since.get().or_else(|| Some(Instant::now())));
                            return;
                        }
                        Err(_) => {
                            *at = At::Blind;
                            return;
                        }
                    }
                }
            }
        }
    }
}

struct Head {
    length: usize,
    /// The length of the body, if that is known.
    body: Option<u64>,
    ambiguous: bool,
}

/// Reads a head with the parser that hyper uses, so that both see the same; `None` if it is not over.
fn read_head(bytes: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
    let named = |name: &'static str| {
        request.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let mut lengths = named("content-length");
    let (told, again) = (lengths.next(), lengths.next());
    let chunked = named("transfer-encoding").next().is_some();
    let told_length = told.map(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    let body = if chunked { None } else { told_length.unwrap_or(Some(0)) };
    Ok(Some(Head { length, body, ambiguous: again.is_some() || told.is_some() && chunked }))
}

impl AsyncRead for WatchedClient {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let this = &mut *self;
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        this.heads.read(&mut this.at, &buffer.filled()[before..]);
        read
    }
}

impl AsyncWrite for WatchedClient {
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
mod tests {
    use super::*;

    fn ambiguous(text: &str, cut: usize) -> bool {
        let (heads, mut at) = (Heads::default(), At::Head(Vec::new()));
        text.as_bytes().chunks(cut).for_each(|piece| heads.read(&mut at, piece));
        heads.are_ambiguous()
    }

    #[test]
    fn two_lengths_are_seen_in_any_head_however_it_is_cut() {
        let good = "POST /a HTTP/1.1\r\nContent-Length: 70\r\n\r\n";
        // A body that looks like a head is none.
        let body =
            format!("{:70}", "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        assert_eq!(body.len(), 70);
        let none = "GET /a HTTP/1.1\r\n\r\n";
        for bad in [
            "content-length: 5\r\nTRANSFER-ENCODING: chunked",
            "Transfer-Encoding: chunked\nContent-Length: 5",
            "Transfer-Encoding: identity\r\nX: y\r\nContent-Length: 0",
            "Content-Length: 5\r\nContent-Length: 5",
        ] {
            let bad = format!("{good}{body}{none}POST /a HTTP/1.1\r\n{bad}\r\n\r\n");
            for cut in 1..bad.len() {
                assert!(ambiguous(&bad, cut), "{bad:?} cut at {cut}");
            }
        }
        assert!(!ambiguous(&format!("{good}{body}{none}{good}{body}"), 7));
        assert!(!ambiguous("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n", 9));
    }

    #[test]
    fn a_head_is_coming_from_its_first_byte_to_its_last() {
        let (heads, mut at) = (Heads::default(), At::Head(Vec::new()));
        heads.read(&mut at, b"GET /a HTTP/1.1\r\n");
        let since = heads.coming_since();
        assert!(since.is_some());
        heads.read(&mut at, b"X: y\r\n");
        assert_eq!(heads.coming_since(), since);
        heads.read(&mut at, b"\r\n");
        assert_eq!(heads.coming_since(), None);
    }
}
