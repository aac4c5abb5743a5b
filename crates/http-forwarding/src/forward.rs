//! Which header fields are forwarded, and what a backend learns about the client: `Forwarded` (RFC 7239),
//! `X-Forwarded-*`, `Via` and `Max-Forwards` (RFC 9110, sections 7.6 and 7.6.2). Such fields of a request are
//! kept only if they come from a hop that the operator trusts.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

const FORWARDED: HeaderName = header::FORWARDED;
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const X_FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");
const X_FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
const X_REAL_IP: HeaderName = HeaderName::from_static("x-real-ip");

/// Fields that apply to a single connection, whether or not `Connection` lists them (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Fields that a client cannot have removed by listing them in `Connection`: the meaning of a request, and
/// the decisions of the proxy, depend on them.
const PROTECTED: [&str; 4] = ["host", "authorization", "cookie", "idempotency-key"];

/// Whether a field that holds a list, such as `Connection` or `TE`, contains this token. Letter case is
/// ignored.
pub fn list_contains(headers: &HeaderMap, field: HeaderName, token: &str) -> bool {
    let lists = headers.get_all(field).into_iter().filter_map(|list| list.to_str().ok());
    lists.flat_map(|list| list.split(',')).any(|name| name.trim().eq_ignore_ascii_case(token))
}

/// Removes the hop-by-hop fields, the fields that `Connection` lists, and `Content-Length`, which is set anew
/// for each forwarded message.
pub fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<_> = headers.get_all(header::CONNECTION).iter().cloned().collect();
    for list in listed.iter().filter_map(|list| list.to_str().ok()) {
        let names = list.split(',').map(str::trim);
        let names = names.filter(|name| !PROTECTED.iter().any(|field| field.eq_ignore_ascii_case(name)));
        names.for_each(|name| drop(headers.remove(name)));
    }
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(name)));
    headers
}

/// Which fields about the client are written into forwarded messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarding {
    /// Whether `X-Forwarded-For`, `-Host` and `-Proto` are written.
    pub x_forwarded: bool,
    /// Whether `Forwarded` is written.
    pub forwarded: bool,
    /// The name under which the proxy adds itself to `Via`; `None` if `Via` is not written.
    pub via: Option<HeaderValue>,
    /// Networks of trusted hops, whose fields about earlier hops are kept.
    pub trusted: Vec<IpNet>,
}

impl Default for Forwarding {
    /// No field is written and no hop is trusted.
    fn default() -> Self {
        Forwarding { x_forwarded: false, forwarded: false, via: None, trusted: Vec::new() }
    }
}

/// The connection on which a request was received.
#[derive(Clone, Copy, Debug)]
pub struct Hop {
    /// The client's address.
    pub from: SocketAddr,
    /// Whether the connection is encrypted.
    pub secure: bool,
    /// The HTTP version of the request.
    pub version: Version,
}

impl Forwarding {
    fn trusts(&self, hop: IpAddr) -> bool {
        let hop = hop.to_canonical();
        self.trusted.iter().any(|net| net.contains(&hop))
    }

    /// Writes the fields about the client into a request header. Fields of that kind that an untrusted hop
    /// sent are removed first.
    pub fn write(&self, headers: &mut HeaderMap, hop: Hop) {
        let client = hop.from.ip().to_canonical();
        if !self.trusts(client) {
            let untrusted = [FORWARDED, X_FORWARDED_FOR, X_FORWARDED_HOST, X_FORWARDED_PROTO, X_REAL_IP];
            untrusted.iter().for_each(|name| drop(headers.remove(name)));
        }
        let proto = if hop.secure { "https" } else { "http" };
        if self.x_forwarded {
            write_x_forwarded(headers, client, proto);
        }
        if self.forwarded {
            write_forwarded(headers, client, proto);
        }
        self.write_via(headers, hop.version);
    }

    /// Appends the proxy to `Via`, in a request or a response.
    pub fn write_via(&self, headers: &mut HeaderMap, version: Version) {
        let Some(name) = self.via.as_ref().and_then(|name| name.to_str().ok()) else { return };
        let version = match version {
            Version::HTTP_09 => "0.9",
            Version::HTTP_10 => "1.0",
            Version::HTTP_2 => "2.0",
            Version::HTTP_3 => "3.0",
            _ => "1.1",
        };
        append(headers, header::VIA, &format!("{version} {name}"));
    }
}

/// Appends the client to `X-Forwarded-For`. Sets `X-Forwarded-Host` and `X-Forwarded-Proto` unless a trusted
/// hop has set them.
fn write_x_forwarded(headers: &mut HeaderMap, client: IpAddr, proto: &'static str) {
    append(headers, X_FORWARDED_FOR, &client.to_string());
    if let Some(host) = headers.get(header::HOST).cloned() {
        headers.entry(X_FORWARDED_HOST).or_insert(host);
    }
    headers.entry(X_FORWARDED_PROTO).or_insert(HeaderValue::from_static(proto));
}

/// Appends an element to `Forwarded` (RFC 7239, sections 4 and 6).
fn write_forwarded(headers: &mut HeaderMap, client: IpAddr, proto: &str) {
    let node = match client {
        IpAddr::V4(ip) => ip.to_string(),
        IpAddr::V6(ip) => format!("\"[{ip}]\""),
    };
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok());
    // A host may contain a colon and is therefore always quoted. One that contains a quote or a backslash is
    // invalid and omitted.
    let host = host.filter(|host| !host.contains(['"', '\\']));
    let host = host.map_or(String::new(), |host| format!(";host=\"{host}\""));
    append(headers, FORWARDED, &format!("for={node}{host};proto={proto}"));
}

/// Appends an element to a list field, and merges all lines of the field into one.
fn append(headers: &mut HeaderMap, name: HeaderName, element: &str) {
    let before = headers.get_all(&name).iter().filter_map(|value| value.to_str().ok());
    let mut list = before.collect::<Vec<_>>().join(", ");
    if !list.is_empty() {
        list += ", ";
    }
    if let Ok(value) = HeaderValue::try_from(list + element) {
        headers.insert(name, value);
    }
}

/// What `Max-Forwards` demands for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaxForwards {
    /// It is forwarded, with this value in `Max-Forwards`; `None` if the request sets no limit.
    Forward(Option<u32>),
    /// It is not forwarded: the proxy responds to it.
    RespondLocally,
}

/// Reads `Max-Forwards`, which applies to `OPTIONS` and `TRACE` only. A value that is not a number is
/// ignored, as RFC 9110 (section 7.6.2) permits for other methods.
pub fn max_forwards(method: &Method, headers: &HeaderMap) -> MaxForwards {
    if *method != Method::OPTIONS && *method != Method::TRACE {
        return MaxForwards::Forward(None);
    }
    let value = headers.get(header::MAX_FORWARDS).and_then(|value| value.to_str().ok());
    match value.and_then(|value| value.trim().parse::<u32>().ok()) {
        None => MaxForwards::Forward(None),
        Some(0) => MaxForwards::RespondLocally,
        Some(limit) => MaxForwards::Forward(Some(limit - 1)),
    }
}
