//! HTTP requests to backends for the prompt blocks that they cache: `GET PATH?first=HEX&bits=N`.
//!
//! The texts of the errors are shown in the status that operators read, so they stay as they are.

use index_audit::{AuditError, BackendKey, RangeReport, RangeResult};
use range_digest::{KeyRange, RangeContent, RangeDigest};
use reqwest::{Client, StatusCode};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The time limit for opening a connection to a backend.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for a complete response from a backend, connecting included.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The largest response that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// An HTTP client that requests the cached blocks of backends.
#[derive(Clone, Debug)]
pub struct CachedBlocksClient {
    client: Client,
}

/// A response in JSON. Keys and sums are strings in hex, because JSON numbers cannot hold 64-bit integers
/// exactly. Exactly one of `parts` and `items` is set.
#[derive(Deserialize)]
struct RangeResponse {
    instance_id: String,
    count: u64,
    sum: String,
    /// The digests of the subranges, if the range has many blocks.
    #[serde(default)]
    parts: Option<Vec<DigestResponse>>,
    /// The keys of the blocks with their numbers of tokens, if the range has few blocks.
    #[serde(default)]
    items: Option<Vec<(String, u64)>>,
}

#[derive(Deserialize)]
struct DigestResponse {
    count: u64,
    sum: String,
}

impl CachedBlocksClient {
    /// Creates a client, without opening a connection. Fails if the HTTP stack can't be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(CachedBlocksClient { client })
    }

    /// Requests the blocks that a backend caches in a range of keys. `path` is that of the service's
    /// configuration.
    pub async fn request(&self, backend: SocketAddrV4, path: &str, range: KeyRange) -> RangeResult {
        let url = format!("http://{backend}{path}?first={:016x}&bits={}", range.first(), range.bits());
        let failed = |error: reqwest::Error| AuditError::RequestFailed(error.without_url().to_string());
        let mut response = self.client.get(url).send().await.map_err(failed)?;
        if response.status() != StatusCode::OK {
            return Err(AuditError::Malformed(format!("status {}", response.status())));
        }
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(failed)? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(AuditError::Malformed("it is too large".into()));
            }
            body.extend_from_slice(&chunk);
        }
        parse_report(&body)
    }
}

/// Parses the body of a response. Does not check that the digest matches the content.
pub fn parse_report(body: &[u8]) -> RangeResult {
    let response: RangeResponse =
        serde_json::from_slice(body).map_err(|error| AuditError::Malformed(error.to_string()))?;
    let content = match (response.parts, response.items) {
        (Some(parts), None) => {
            let digests: Result<Vec<RangeDigest>, AuditError> =
                parts.iter().map(|part| parse_digest(part.count, &part.sum)).collect();
            RangeContent::Parts(digests?)
        }
        (None, Some(items)) => {
            let items: Result<Vec<(u64, u64)>, AuditError> =
                items.iter().map(|(key, tokens)| Ok((parse_hex(key)?, *tokens))).collect();
            RangeContent::Items(items?)
        }
        _ => return Err(AuditError::Malformed("one of parts and items is to be there".into())),
    };
    let backend = BackendKey(control_protocol::instance_key(&response.instance_id));
    Ok(RangeReport { backend, digest: parse_digest(response.count, &response.sum)?, content })
}

fn parse_digest(count: u64, sum: &str) -> Result<RangeDigest, AuditError> {
    Ok(RangeDigest { count, sum: parse_hex(sum)? })
}

fn parse_hex(text: &str) -> Result<u64, AuditError> {
    u64::from_str_radix(text, 16).map_err(|error| AuditError::Malformed(format!("{text:?}: {error}")))
}
