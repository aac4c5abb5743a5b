//! Reads responses, and finds content of successful ones that was not produced for their request.

use crate::observations::{Outcome, hash};
use crate::outgoing_request::OutgoingRequest;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// A response as its client received it.
pub struct ReceivedResponse {
    /// The time to the first byte or event of the body; `None` for an empty body.
    pub first_byte: Option<Duration>,
    /// How it ended.
    pub outcome: Outcome,
    /// A description of content that was not produced for the request; `None` if there is none.
    pub mismatch: Option<String>,
    /// The `retry-after` time of a rejection; `None` if it has none, and for other outcomes.
    pub retry_after: Option<Duration>,
}

impl ReceivedResponse {
    /// The result of an attempt without a response.
    pub fn none(outcome: Outcome) -> Self {
        ReceivedResponse { first_byte: None, outcome, mismatch: None, retry_after: None }
    }
}

/// Reads a response to its end and checks it. Times are measured from `started_at`, the start of the request.
pub async fn receive(
    request: &OutgoingRequest,
    response: Response<Incoming>,
    started_at: Instant,
) -> ReceivedResponse {
    let status = response.status().as_u16();
    let text =
        |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string);
    let (signature, id) = (text("x-response-signature"), text("x-request-id"));
    let retry_after = text("retry-after").and_then(|text| text.parse().ok());
    let retry_after = retry_after.map(Duration::from_secs_f64);
    let (first_byte, body) = read_body(response, started_at).await;
    let outcome = match (&body, status) {
        (Err(error), _) => Outcome::Interrupted(error.to_string()),
        (_, 200..=299) => Outcome::Served,
        (_, 408 | 421 | 429 | 503) => Outcome::Rejected(status),
        (_, 400..=499) => Outcome::Denied(status),
        _ => Outcome::Failed(status),
    };
    let mismatch = match (&outcome, &body) {
        (Outcome::Served, Ok(body)) => find_mismatch(request, id.as_deref(), signature.as_deref(), body),
        _ => None,
    };
    let retry_after = retry_after.filter(|_| matches!(outcome, Outcome::Rejected(_)));
    ReceivedResponse { first_byte, outcome, mismatch, retry_after }
}

async fn read_body(
    response: Response<Incoming>,
    started_at: Instant,
) -> (Option<Duration>, Result<Vec<u8>, hyper::Error>) {
    let mut body = response.into_body();
    let (mut first_byte, mut bytes) = (None, Vec::new());
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                first_byte.get_or_insert_with(|| started_at.elapsed());
                bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
            }
            Err(error) => return (first_byte, Err(error)),
        }
    }
    (first_byte, Ok(bytes))
}

/// Describes the first content of a successful response that a backend did not produce for this request.
fn find_mismatch(
    request: &OutgoingRequest,
    id: Option<&str>,
    signature: Option<&str>,
    body: &[u8],
) -> Option<String> {
    let Some(signature) = signature else { return Some("the response has no signature".into()) };
    if id != Some(request.id.as_str()) {
        return Some(format!("the response is for {}", id.unwrap_or("no request")));
    }
    let mut fields = signature.split('.');
    let (instance, id_hash, body_hash) = (fields.next().unwrap_or_default(), fields.next(), fields.next());
    if id_hash != Some(format!("{:x}", hash(request.id.as_bytes())).as_str()) {
        return Some("the signature is that of another request".into());
    }
    if request.kind.is_stream() {
        return find_event_mismatch(request, instance, &String::from_utf8_lossy(body));
    }
    let matches = body_hash == Some(format!("{:x}", hash(body)).as_str());
    (!matches).then(|| "the body does not match the signature".into())
}

fn find_event_mismatch(request: &OutgoingRequest, instance: &str, body: &str) -> Option<String> {
    let mut expected = 1;
    for event in body.split("\n\n").filter(|event| !event.is_empty()) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        let (id, sender) = field("data: ").split_once(' ').unwrap_or_default();
        if id != request.id {
            return Some(format!("event {expected} is for {id:?}"));
        }
        if field("id: ").parse() != Ok(expected) {
            return Some(format!("event {:?} instead of {expected}", field("id: ")));
        }
        if sender != instance && !request.kind.is_idempotent() {
            return Some(format!(
                "event {expected} is from backend {sender}, earlier ones are from {instance}"
            ));
        }
        expected += 1;
    }
    (expected <= request.kind.event_count()).then(|| format!("the stream ends before event {expected}"))
}
