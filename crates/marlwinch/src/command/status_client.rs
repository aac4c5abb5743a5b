//! Fetches the status of a coordinator over HTTP/1.0 from its control address.

use coordinator::status::CoordinatorStatus;
use quick_error::quick_error;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// The time limit of the connect, and of each read and write.
const STEP_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// The end of the header section of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

quick_error! {
    /// Why the status could not be fetched.
    #[derive(Debug)]
    pub enum StatusError {
        /// A step of the exchange failed or timed out. Holds the step as a verb phrase.
        Io(step: &'static str, peer: SocketAddrV4, error: std::io::Error) {
            display("{step} {peer}: {error}")
            source(error)
        }
        /// The response ends before the end of its header section.
        MissingHeadEnd(peer: SocketAddrV4) {
            display("response of {peer}: ended within the header section")
        }
        /// The status code of the response is not 200. Holds its status line.
        UnexpectedStatus(peer: SocketAddrV4, status_line: String) {
            display("response of {peer}: {status_line}")
        }
        /// The body of the response is not the JSON of a coordinator's status.
        InvalidBody(peer: SocketAddrV4, error: serde_json::Error) {
            display("response of {peer}: invalid status: {error}")
            source(error)
        }
    }
}

/// Requests the status of the coordinator with this control address.
///
/// # Errors
/// A step of the exchange fails or takes more than 3 s, or the response is not a status.
pub fn fetch_status(address: SocketAddrV4) -> Result<CoordinatorStatus, StatusError> {
    let response = exchange(address)?;
    let head_length = response.windows(HEAD_END.len()).position(|window| window == HEAD_END);
    let head_length = head_length.ok_or(StatusError::MissingHeadEnd(address))?;
    let head = String::from_utf8_lossy(&response[..head_length]);
    let status_line = head.lines().next().unwrap_or_default();
    if status_line.split(' ').nth(1) != Some("200") {
        return Err(StatusError::UnexpectedStatus(address, status_line.to_string()));
    }
    let body = &response[head_length + HEAD_END.len()..];
    serde_json::from_slice(body).map_err(|error| StatusError::InvalidBody(address, error))
}

/// Sends the request and reads until the coordinator closes the connection. As the request is HTTP/1.0, the
/// body is not chunked.
fn exchange(address: SocketAddrV4) -> Result<Vec<u8>, StatusError> {
    let io_error = |step| move |error| StatusError::Io(step, address, error);
    let mut stream =
        TcpStream::connect_timeout(&SocketAddr::V4(address), STEP_TIMEOUT).map_err(io_error("connect to"))?;
    stream.set_read_timeout(Some(STEP_TIMEOUT)).map_err(io_error("set a time-out for"))?;
    stream.set_write_timeout(Some(STEP_TIMEOUT)).map_err(io_error("set a time-out for"))?;
    let request = format!("GET /api/status HTTP/1.0\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(io_error("write to"))?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response).map_err(io_error("read from"))?;
    Ok(response)
}
