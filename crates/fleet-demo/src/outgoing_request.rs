//! A request of a client, and its conversion to HTTP.

use crate::configuration::Tenant;
use crate::request_kind::{HOST, RequestKind};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

/// The number of tokens per event of a stream, from which the declared token usage is computed.
const TOKENS_PER_EVENT: u32 = 6;

/// A request of a client.
pub struct OutgoingRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The tenant that it is sent for.
    pub tenant: Tenant,
    /// The number of the frontend that it is sent to.
    pub frontend: usize,
    /// Its path.
    pub path: String,
    /// Its body. An empty body makes the request a `GET`, any other a `POST`.
    pub body: Bytes,
    /// Its prompt as `ID:TOKENS` blocks separated by commas; `None` for a plain call.
    pub prompt: Option<String>,
}

impl OutgoingRequest {
    /// The HTTP request, with all headers.
    pub fn to_http(&self) -> Request<Full<Bytes>> {
        let method = if self.body.is_empty() { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(&self.path)
            .header("host", HOST)
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", self.kind.deadline().as_millis() as u64)
            .header("authorization", format!("Token {}", self.tenant.api_key));
        if let Some(prompt) = &self.prompt {
            let blocks = prompt.split(',');
            let tokens: u32 = blocks.filter_map(|block| block.split_once(':')?.1.parse::<u32>().ok()).sum();
            request = request
                .header("x-model", "m")
                .header("x-token-usage", format!("{tokens},{}", self.kind.event_count() * TOKENS_PER_EVENT))
                .header("x-prompt-prefix", prompt);
        }
        request.body(Full::new(self.body.clone())).unwrap_or_default()
    }
}
