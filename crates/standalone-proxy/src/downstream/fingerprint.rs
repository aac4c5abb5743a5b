//! The fingerprint by which a repetition of a request is recognized.

use crate::headers::{CORRELATION, IDEMPOTENCY_KEY};
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// The minimum size, in bytes, of a body that identifies a request. Different clients may well send the same
/// shorter body.
const MIN_DISTINCTIVE_BODY: usize = 16;

/// Where the id of a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdOrigin {
    /// The request arrived with the id, so a repetition may carry it again.
    Client,
    /// This node generated the id, so a repetition gets another one.
    Generated,
}

/// The parts of a request that its fingerprint depends on.
pub struct FingerprintInput<'r> {
    /// The headers that are forwarded.
    pub headers: &'r HeaderMap,
    /// Where the request id in the headers comes from.
    pub id_origin: IdOrigin,
    /// The HTTP method of the request.
    pub method: &'r Method,
    /// The path and query that are forwarded.
    pub target: &'r PathAndQuery,
    /// The index of the request's tenant.
    pub tenant: usize,
    /// The body of the request, which is completely buffered.
    pub body: &'r Bytes,
}

/// Returns the fingerprint of a request: a hash of its idempotency key, else of the id that the client gave
/// it, else of its body. `None` if different clients may well send the same request.
pub fn fingerprint(input: &FingerprintInput<'_>) -> Option<u64> {
    let mut hasher = FxHasher::default();
    (input.method.as_str(), input.target.as_str(), input.tenant).hash(&mut hasher);
    let id = input.headers.get(CORRELATION).filter(|_| input.id_origin == IdOrigin::Client);
    match (input.headers.get(IDEMPOTENCY_KEY), id) {
        (Some(key), _) => (1, key.as_bytes()).hash(&mut hasher),
        (None, Some(id)) => (2, id.as_bytes()).hash(&mut hasher),
        (None, None) if input.body.len() >= MIN_DISTINCTIVE_BODY => (3, &input.body[..]).hash(&mut hasher),
        (None, None) => return None,
    }
    Some(hasher.finish())
}
