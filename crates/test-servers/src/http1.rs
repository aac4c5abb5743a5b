//! A minimal HTTP/1.1 request reader. Responses are written as plain bytes, so that faults can violate the
//! protocol.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The largest request head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The largest number of headers of a request.
const MAX_HEADERS: usize = 100;

/// A request whose body was read and dropped.
#[derive(Debug, Default)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    headers: Vec<(String, String)>,
    /// The length of the body, in bytes.
    pub body_length: usize,
}

impl Request {
    /// The first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Reads the next request with its body; `None` if the connection ends before. Bytes of later requests stay
/// in `buffer`.
pub async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse_head(buffer)? {
            let total = length + request.body_length;
            while buffer.len() < total {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..total);
            return Ok(Some(request));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(invalid(&format!("request head exceeds {MAX_HEAD_BYTES} bytes")));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Parses a request head at the start of these bytes. Returns the request and the length of its head; `None`
/// if the head is incomplete.
fn parse_head(bytes: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes).map_err(|e| invalid(&e.to_string()))? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let mut request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        headers: head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect(),
        body_length: 0,
    };
    if request.header("transfer-encoding").is_some() {
        return Err(invalid("transfer-encoding is not supported: nodes send requests with content-length"));
    }
    if let Some(length) = request.header("content-length") {
        request.body_length =
            length.parse().map_err(|_| invalid(&format!("content-length is not a number: {length:?}")))?;
    }
    Ok(Some((request, length)))
}

#[cfg(test)]
mod tests;
