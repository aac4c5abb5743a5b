//! Compiles a valid file to a plan.

use super::Plan;
use super::clusters::ClusterCompiler;
use super::routes::RouteCompiler;
use crate::check::CheckedRoute;
use crate::model::{File, ForwardedField};
use crate::resolve::built_in;
use crate::route::RouteTable;
use crate::target::EncodedSlash;
use http::{HeaderName, HeaderValue};
use http_forwarding::forward::Forwarding;
use http_forwarding::framing::LineEndings;

/// The maximum number of file descriptors if the file does not set it.
const DEFAULT_SOCKETS: usize = 1024;
/// The maximum memory in bytes if the file does not set it: the same as for nodes that the platform
/// configures.
const DEFAULT_MEMORY: u64 = 192 << 20;
/// The header that names the tenant if the file does not set it.
const DEFAULT_TENANT_HEADER: HeaderName = HeaderName::from_static("x-account");
/// The node's name if the file does not set it.
const DEFAULT_NAME: &str = "marlwinch";

/// Compiles a file that was checked without errors.
pub fn compile(file: &File, checked: Vec<CheckedRoute>) -> Plan {
    let mut compiler = RouteCompiler::new(file);
    let mut conditions = Vec::with_capacity(checked.len());
    let mut routes = Vec::with_capacity(checked.len());
    for checked in checked {
        let (route, condition) = compiler.add(checked);
        routes.push(route);
        conditions.push(condition);
    }
    let (limits, classes) = compiler.finish();
    let clusters = ClusterCompiler::new(file);
    let clusters =
        file.clusters.iter().zip(classes).map(|(cluster, classes)| clusters.compile(cluster, classes));
    let node = &file.node;
    Plan {
        name: node.name.as_ref().map_or(DEFAULT_NAME.into(), |name| name.value.clone()),
        seed: node.seed.as_ref().map(|seed| seed.value),
        max_sockets: node.max_sockets.as_ref().map_or(DEFAULT_SOCKETS, |n| n.value as usize),
        max_memory: node.max_memory.as_ref().map_or(DEFAULT_MEMORY, |n| n.value),
        encoded_slash: node.encoded_slash.as_ref().map_or(EncodedSlash::Reject, |slash| slash.value),
        tenant_header: node
            .tenant_header
            .as_ref()
            .map_or(DEFAULT_TENANT_HEADER, |header| header.value.clone()),
        tenants: file.tenants.iter().map(|tenant| tenant.name.value.clone()).collect(),
        retry_budget: node.retry_budget.as_ref().map_or(built_in::NODE_RETRY_BUDGET, |budget| budget.value),
        forwarding: forwarding(file),
        line_endings: node.line_endings.as_ref().map_or(LineEndings::Strict, |endings| endings.value),
        stream_end: node.stream_end.as_ref().map_or(Some(built_in::STREAM_END), |end| end.value),
        log: file.log.clone(),
        admin: file.admin.as_ref().map(|address| address.value),
        trace: file.trace.clone(),
        listeners: file.listeners.iter().map(|listener| listener.address.value).collect(),
        clusters: clusters.collect(),
        table: RouteTable::new(conditions),
        routes,
        limits,
    }
}

/// The header fields that inform backends about the client. By default, those that backends behind a proxy
/// usually expect.
fn forwarding(file: &File) -> Forwarding {
    let rule = &file.forwarding;
    let default = [ForwardedField::XForwarded, ForwardedField::Via];
    let write = rule.write.as_ref().map_or(&default[..], |write| &write.value);
    let name = rule.via_name.as_ref().or(file.node.name.as_ref());
    let name = name.map_or(DEFAULT_NAME, |name| &name.value);
    Forwarding {
        x_forwarded: write.contains(&ForwardedField::XForwarded),
        forwarded: write.contains(&ForwardedField::Forwarded),
        // A name has only letters, digits, `.`, `_` and `-`, so it is always a valid header value.
        via: HeaderValue::from_str(name).ok().filter(|_| write.contains(&ForwardedField::Via)),
        trusted: rule.trusted.iter().map(|net| net.value).collect(),
    }
}
