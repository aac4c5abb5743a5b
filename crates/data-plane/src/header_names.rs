//! Names of the headers by which clients, this node and backends describe a request, its response and a
//! backend's load.

use hyper::header::HeaderName;

/// In a request: its id, chosen by the client. In a response: the id of the request that it belongs to.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// In a request: the time for which its sender waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// In a request to a backend: the instance id of the selected backend.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expected-instance");
/// In a response: the instance id of the backend that made it.
pub const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
/// In a response: its signature by the backend.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// In a backend's response: the backend's load as `running,waiting,slots`.
pub const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// In a backend's response: present if the backend did not execute the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// In a request to a backend: the authenticated tenant.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
/// In a request to a backend: its urgency, from 0 (most urgent) to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// In a request: the model that it is for.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// In a request: the tokens of the prompt and the maximum tokens of the response as `prompt,output`.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// In a request: the blocks of the prompt as `ID:TOKENS,ID:TOKENS`.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// In a request: the event after which a stream resumes (WHATWG HTML, section "Server-sent events").
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
