//! Reads the body of a client's request into memory, within the operator's limit on its size and the node's
//! limit on the memory of all bodies.

use crate::request_error::RequestError;
use crate::state::DataPlaneState;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use http_transport::body::upload_timeout;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

/// When a client should retry if there is not enough memory left for its request's body.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The memory that is reserved initially for a body of unknown length, in KiB.
const CHUNKED_BODY_KIB: u32 = 16;

/// Reads a complete body of at most `max_bytes`, and reserves memory for it until the returned permit is
/// dropped.
///
/// # Errors
/// The body is too large, arrives too slowly or ends early, or not enough memory is left for it.
pub async fn read_body(
    state: &DataPlaneState,
    mut body: Incoming,
    max_bytes: u64,
) -> Result<(Bytes, OwnedSemaphorePermit), RequestError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > max_bytes) {
        return Err(RequestError::BodyTooLarge);
    }
    let mut memory =
        reserve(state, length.map_or(CHUNKED_BODY_KIB, |length| length.div_ceil(1 << 10) as u32))?;
    let mut received = BytesMut::with_capacity(length.unwrap_or_default() as usize);
    let started_at = Instant::now();
    while !body.is_end_stream() {
        let frame = timeout_at(started_at + upload_timeout(received.len() as u64), body.frame()).await;
        let Some(frame) = frame.map_err(|_| RequestError::BodyTimeout)? else { break };
        let Ok(data) = frame.map_err(|_| RequestError::Malformed)?.into_data() else { continue };
        received.extend_from_slice(&data);
        if received.len() as u64 > max_bytes {
            return Err(RequestError::BodyTooLarge);
        }
        let needed_kib = received.len().div_ceil(1 << 10);
        if needed_kib > memory.num_permits() {
            memory.merge(reserve(state, (needed_kib - memory.num_permits()) as u32)?);
        }
    }
    Ok((received.freeze(), memory))
}

fn reserve(state: &DataPlaneState, kib: u32) -> Result<OwnedSemaphorePermit, RequestError> {
    let reserved = state.body_memory_kib.clone().try_acquire_many_owned(kib);
    reserved.map_err(|_| RequestError::Unavailable(MEMORY_RETRY_AFTER))
}
