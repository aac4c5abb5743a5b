//! HTTP/1.1 as far as the stand-ins need it: heads, bodies with a length, one call on a connection of its own.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long a call may take, a connection included.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request or a response: its first line, its headers with names in lower case, and its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

/// Reads a message; `None` if the peer has closed the connection before its first byte.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        head.push(byte[0]);
        if head.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_string();
    let split = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_string()))
    };
    let headers = lines.filter_map(split).collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a message with a body of known length.
pub fn write(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{first_line}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    stream.write_all(body)
}

/// Makes a call on a new connection. Returns the status and the body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<(u16, Vec<u8>), String> {
    let failed = |error: io::Error| format!("{method} {path} at {address}: {error}");
    let peer = address.parse().map_err(|_| format!("{address} is no address"))?;
    let mut stream = TcpStream::connect_timeout(&peer, CALL_TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(failed)?;
    let mut all = headers.to_vec();
    if !all.iter().any(|(name, _)| *name == "Host") {
        all.push(("Host", address.to_string()));
    }
    all.push(("Connection", "close".to_string()));
    write(&mut stream, &format!("{method} {path} HTTP/1.1"), &all, body).map_err(failed)?;
    let answer = read(&mut stream).map_err(failed)?.ok_or_else(|| format!("{address} gave no answer"))?;
    let status = answer.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok((status.ok_or_else(|| format!("{address}: {}", answer.first_line))?, answer.body))
}
