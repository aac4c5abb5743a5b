//! Parses the tables that concern the node itself: `[node]`, `[log]`, `[admin]`, `[forwarding]`, `[trace]`
//! and `[[listener]]`.

use super::count;
use super::header::header_name;
use super::request_settings::budget;
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use crate::target::EncodedSlash;
use http_forwarding::framing::LineEndings;
use ipnet::IpNet;
use std::net::SocketAddr;

/// Parses `[node]`.
pub(super) fn node(mut s: Section, report: &mut Report) -> Node {
    let max = u64::from(u32::MAX);
    let node = Node {
        name: s.get("name").and_then(|v| read::name(v, report)),
        zone: s.get("zone").and_then(|v| read::name(v, report)),
        nodes: s.get("nodes").and_then(|v| count(v, (1, 10_000), report)),
        number: s.get("number").and_then(|v| count(v, (0, 9_999), report)),
        seed: s.get("seed").and_then(|v| count(v, (0, i64::MAX as u64), report)),
        max_sockets: s.get("sockets").and_then(|v| count(v, (64, max), report)),
        max_memory: s.get("memory").and_then(|v| read::bytes(v, (32 << 20, 1 << 40), report)),
        tenant_header: s.get("tenant-header").and_then(|v| header_name(v, report)),
        encoded_slash: s.get("encoded-slash").and_then(|v| {
            read::choice(v, &[("refuse", EncodedSlash::Reject), ("keep", EncodedSlash::Keep)], report)
        }),
        retry_budget: s.get("further-attempts").and_then(|v| budget(v, "further-attempts", report)),
        line_endings: s.get("bare-lf").and_then(|v| {
            read::choice(v, &[("refuse", LineEndings::Strict), ("accept", LineEndings::Lenient)], report)
        }),
        stream_end: s.get("stream-end").and_then(|v| {
            read::unless_false(v, report, |v, report| read::duration_or_zero(v, report).map(|at| at.value))
        }),
    };
    s.finish(report);
    node
}

/// Parses `[log]`.
pub(super) fn log(mut s: Section, report: &mut Report) -> Log {
    let words = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let default = Log::default();
    let format = s.get("format").and_then(|v| read::choice(v, &words, report));
    let exchanges = s.get("exchanges").and_then(|v| read::share(v, report));
    let queue = s.get("queue").and_then(|v| count::<u32>(v, (1, 10_000_000), report));
    s.finish(report);
    Log {
        format: format.map_or(default.format, |format| format.value),
        exchanges: exchanges.map_or(default.exchanges, |share| share.value),
        queue: queue.map_or(default.queue, |queue| queue.value as usize),
    }
}

/// Parses `[admin]`; `None` without a valid address.
pub(super) fn admin(mut s: Section, report: &mut Report) -> Option<Located<SocketAddr>> {
    let address = s.required("address", "\"127.0.0.1:9100\"", report).and_then(|v| read::address(v, report));
    s.finish(report);
    address
}

/// Parses `[forwarding]`.
pub(super) fn forwarding(mut s: Section, report: &mut Report) -> ForwardingRule {
    let words = [
        ("x-forwarded", ForwardedField::XForwarded),
        ("forwarded", ForwardedField::Forwarded),
        ("via", ForwardedField::Via),
    ];
    let write = s.get("write").and_then(|v| {
        let items = read::array(v, "fields, such as [\"x-forwarded\", \"via\"]", report)?;
        let fields = items.into_iter().filter_map(|item| read::choice(item, &words, report));
        Some(Located::new(fields.map(|field| field.value).collect(), v.span()))
    });
    let trusted =
        s.get("trusted").and_then(|v| read::array(v, "addresses, such as [\"10.0.0.0/8\"]", report));
    let trusted = trusted.unwrap_or_default().into_iter().filter_map(|item| net(item, report)).collect();
    let via_name = s.get("via-name").and_then(|v| read::name(v, report));
    s.finish(report);
    ForwardingRule { write, trusted, via_name }
}

/// Parses an IP address or a network.
fn net(value: Value, report: &mut Report) -> Option<Located<IpNet>> {
    let text = read::text(value, report)?;
    let net = text.value.parse::<IpNet>().ok();
    match net.or_else(|| text.value.parse::<std::net::IpAddr>().ok().map(IpNet::from)) {
        Some(net) => Some(Located::new(net, text.span)),
        None => {
            let message = format!("{:?} is not an IP address or a network", text.value);
            let help = "write `10.1.2.3`, `10.0.0.0/8` or `fd00::/8`";
            report.push(Diagnostic::new(Code::InvalidAddress, text.span, message, help));
            None
        }
    }
}

/// The length of the trace queue if the file does not set it: one second of requests at a high rate.
const DEFAULT_TRACE_QUEUE: usize = 10_000;
/// The maximum size of a trace in bytes if the file does not set it.
const DEFAULT_TRACE_SIZE: u64 = 256 << 20;

/// Parses `[trace]`; `None` without a valid path to write to.
pub(super) fn trace(mut s: Section, report: &mut Report) -> Option<Trace> {
    let file = s.required("file", "\"/var/tmp/trace.jsonl\"", report).and_then(|v| read::text(v, report));
    let queue = s.get("queue").and_then(|v| count::<u32>(v, (1, 10_000_000), report));
    let max_size = s.get("most").and_then(|v| read::bytes(v, (1 << 10, 1 << 40), report));
    s.finish(report);
    Some(Trace {
        file: file?.value,
        queue: queue.map_or(DEFAULT_TRACE_QUEUE, |queue| queue.value as usize),
        max_size: max_size.map_or(DEFAULT_TRACE_SIZE, |size| size.value),
    })
}

/// Parses a `[[listener]]`.
pub(super) fn listener(mut s: Section, report: &mut Report) -> Option<Listener> {
    let address = s.required("address", "\"127.0.0.1:8080\"", report).and_then(|v| read::address(v, report));
    s.finish(report);
    Some(Listener { address: address? })
}
