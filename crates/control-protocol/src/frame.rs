//! Frames: a length (four bytes, big-endian), and as many bytes of CBOR (RFC 8949).

use bytes::{Buf, BytesMut};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// The largest accepted frame, in bytes without the length. Guards against a peer that uses another protocol,
/// whose first bytes would be read as a length.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size of the length at the beginning of a frame.
const LENGTH_BYTES: usize = 4;

quick_error! {
    /// Why a frame could not be encoded or decoded.
    #[derive(Debug)]
    pub enum FrameError {
        /// The frame is longer than [`MAX_FRAME_BYTES`]. Holds its length in bytes.
        TooLong(length: usize) {
            display("frame of {length} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes")
        }
        /// The message could not be encoded as CBOR.
        Encode(error: ciborium::ser::Error<io::Error>) {
            display("message not encoded: {error}")
            from()
            source(error)
        }
        /// The frame does not hold a message of the expected type.
        Decode(error: ciborium::de::Error<io::Error>) {
            display("frame not decoded: {error}")
            from()
            source(error)
        }
    }
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// [`FrameError::TooLong`] or [`FrameError::Encode`].
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_BYTES];
    ciborium::into_writer(message, &mut frame)?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes the first message of the bytes received so far and removes its frame from them; `None` while the
/// frame is incomplete.
///
/// # Errors
///
/// [`FrameError::TooLong`] or [`FrameError::Decode`]. The connection must then be closed, as the position of
/// the next frame is unknown.
pub fn decode<M: DeserializeOwned>(received: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let Some(length) = received.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if received.len() < LENGTH_BYTES + length {
        received.reserve(LENGTH_BYTES + length - received.len());
        return Ok(None);
    }
    received.advance(LENGTH_BYTES);
    let body = received.split_to(length);
    Ok(Some(ciborium::from_reader(body.as_ref())?))
}
