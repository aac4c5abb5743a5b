//! One end of a connection, with the operations of a client, a backend and a discovery server.

use crate::{Message, PEER_TIMEOUT};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// One end of a connection.
pub struct Peer {
    /// The stream of the connection.
    pub stream: TcpStream,
}

impl Peer {
    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).expect("it accepts"))
    }

    /// Whether received bytes are waiting to be read.
    pub fn has_more(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let more = self.stream.peek(&mut [0]).is_ok_and(|count| count > 0);
        self.stream.set_nonblocking(false).expect("a socket");
        more
    }

    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        stream.set_write_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        Peer { stream }
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).expect("written");
    }

    /// Sends a request of a class with a body. `headers` are additional header lines, each with its line
    /// break. The request id is unique, unless `headers` contains one. The class `look` is a `GET` without a
    /// body; `submit` has an idempotency key.
    pub fn request(&mut self, class: &str, headers: &str, body: &str) {
        let method = if class == "look" { "GET" } else { "POST" };
        let key = if class == "submit" { "Idempotency-Key: 5c0f\r\n" } else { "" };
        let length =
            if class == "look" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = if headers.contains("X-Correlation-Id") {
            String::new()
        } else {
            format!("X-Correlation-Id: {:x}\r\n", NEXT.fetch_add(1, Ordering::Relaxed))
        };
        self.write(format!(
            "{method} /{class}/7f3a?x=1 HTTP/1.1\r\nHost: backend.local\r\n{id}X-Account: acme\r\n\
             {key}{length}{headers}\r\n{body}"
        ));
    }

    /// Sends a `GET` of a class and reads the response; `None` if the connection ends before the end of its
    /// head.
    pub fn try_request(&mut self, class: &str) -> Option<Message> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        let text = format!(
            "GET /{class}/7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: try-{id}\r\nX-Account: acme\r\n\r\n"
        );
        self.stream.write_all(text.as_bytes()).ok()?;
        self.try_read()
    }

    /// Sends a response with a status (code and reason) and a body. `headers` are additional header lines,
    /// each with its line break.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) {
        self.write(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()));
    }

    /// Reads a message with its body.
    pub fn read(&mut self) -> Message {
        self.try_read().expect("a message")
    }

    /// Like [`Peer::read`]; `None` if the connection ends before the end of the head.
    pub fn try_read(&mut self) -> Option<Message> {
        let head = String::from_utf8(self.read_head()?).expect("a text");
        let mut lines = head.lines();
        let first = lines.next().expect("a line").to_string();
        let headers = lines.filter(|line| !line.is_empty()).map(lower_case_name).collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |length| length.parse().expect("a length"));
        message.body.resize(length, 0);
        self.stream.read_exact(&mut message.body).expect("a body");
        if message.header("transfer-encoding") == Some("chunked") {
            self.read_chunks(&mut message.body);
        }
        Some(message)
    }

    fn read_head(&mut self) -> Option<Vec<u8>> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match self.stream.read(&mut byte) {
                Ok(0) => return None,
                Ok(_) => head.push(byte[0]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                // The test process was stopped and continued, or the machine was suspended.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => panic!("no message could be read: {error}"),
            }
        }
        Some(head)
    }

    /// Reads chunks up to the last one, and appends their contents to a body.
    fn read_chunks(&mut self, body: &mut Vec<u8>) {
        let mut byte = [0];
        loop {
            let mut size = Vec::new();
            while !size.ends_with(b"\r\n") {
                self.stream.read_exact(&mut byte).expect("a chunk's size");
                size.push(byte[0]);
            }
            let size = std::str::from_utf8(&size).ok();
            let size = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
            let mut chunk = vec![0; size.expect("a chunk's size") + 2];
            self.stream.read_exact(&mut chunk).expect("a chunk");
            body.extend(&chunk[..chunk.len() - 2]);
            if chunk.len() == 2 {
                return;
            }
        }
    }

    /// Reads until the connection ends. Returns the bytes, and whether the connection ended with an error.
    pub fn read_to_end(&mut self) -> (Vec<u8>, bool) {
        let mut bytes = Vec::new();
        let has_failed = self.stream.read_to_end(&mut bytes).is_err();
        (bytes, has_failed)
    }

    /// Waits until the other side has closed the connection, by an end of stream or a reset. Panics if it
    /// sends bytes.
    pub fn expect_end(&mut self) {
        loop {
            match self.stream.read(&mut [0]) {
                Ok(0) => return,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                other => panic!("the connection was not closed: {other:?}"),
            }
        }
    }

    /// Sends the head of the response to a watch request.
    pub fn begin_watch(&mut self) {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Sends a line of a watch response, as one chunk.
    pub fn line(&mut self, line: &str) {
        self.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }
}

/// Normalizes a header line: its name in lower case, and one space after the colon.
fn lower_case_name(line: &str) -> String {
    let (name, value) = line.split_once(':').unwrap_or((line, ""));
    format!("{}: {}", name.to_lowercase(), value.trim())
}
