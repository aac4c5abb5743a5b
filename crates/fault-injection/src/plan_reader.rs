//! Reads a plan from TOML. All errors of the text are reported in one pass with their positions, as for an
//! operator's file. Other files are read only through a callback.

mod faults;
mod names;
mod values;

use crate::history::{Bounds, Idempotency};
use crate::plan::{BackendGroup, ClientGroup, DurationRange, NodeKind, Plan};
use names::Names;
use route_config::diagnostic::{Code, Diagnostic, Report};
use route_config::read::{self, Section};
use std::fmt;
use std::ops::Range;
use std::time::Duration;
use test_servers::backend_model::{ColdStart, ServiceTime};
use toml::de::{DeTable, DeValue};
use values::{ZeroDuration, duration, duration_range, or_default, push};

/// The operator's file of nodes in plans that do not name one.
pub const DEFAULT_NODE_FILE: &str = include_str!("../../../deploy/trials/node.toml");
/// The largest number of nodes: as many processes as one machine runs beside the trial itself.
const MAX_NODES: u64 = 100;
/// The largest number of backends.
const MAX_BACKENDS: u64 = 100;
/// The largest number of faults to draw. A higher one is most likely a mistake.
const MAX_FAULTS: usize = 200;
/// The largest number of cores of a backend.
const MAX_CORES: u64 = 1000;
/// The largest number of retries of a request.
const MAX_RETRIES: u64 = 5;
/// The largest limit on connections, discovery calls and descriptors.
const MAX_COUNT: u64 = 1_000_000;
/// The largest size in bytes.
const MAX_BYTES: u64 = 1 << 40;

/// Reads a plan. `read_file` reads the operator's file that the plan names; its error is reported at the
/// position of the name.
///
/// # Errors
/// All errors of the text, sorted by position.
pub fn read_plan<E: fmt::Display>(
    text: &str,
    read_file: impl Fn(&str) -> Result<String, E>,
) -> Result<Plan, Vec<Diagnostic>> {
    let mut report = Report::default();
    let plan = match DeTable::parse(text) {
        Ok(table) => read_top_level(table.get_ref(), table.span(), &read_file, &mut report),
        Err(e) => {
            let at = e.span().unwrap_or(0..0);
            push(&mut report, Code::InvalidToml, at, e.message().to_string(), "fix the TOML syntax");
            None
        }
    };
    match plan {
        Some(plan) if report.is_empty() => Ok(plan),
        _ => Err(report.into_sorted()),
    }
}

fn read_top_level<E: fmt::Display>(
    table: &DeTable,
    at: Range<usize>,
    read_file: &impl Fn(&str) -> Result<String, E>,
    report: &mut Report,
) -> Option<Plan> {
    let mut top = Section::new(table, at, "the plan");
    let name = top.required("name", "\"a-node-killed\"", report).and_then(|v| read::name(v, report));
    let about = top.get("about").and_then(|v| read::text(v, report)).map_or(String::new(), |t| t.value);
    let length =
        top.required("length", "\"8s\"", report).and_then(|v| duration(v, ZeroDuration::Rejected, report));
    let draw = top.get("draw").and_then(|v| read::count(v, (1, MAX_FAULTS as u64), report));
    let nodes = top.required("nodes", "{ count = 2 }", report).and_then(|v| read::table(v, "nodes", report));
    let (count, node_kind) =
        nodes.map_or((1, NodeKind::Platform), |section| read_nodes(section, read_file, report));
    let backends =
        top.required("boxes", "{ count = 3 }", report).and_then(|v| read::table(v, "boxes", report));
    let backends = backends.map(|section| read_backends(section, report));
    let clients = read::tables(top.get("clients"), "clients", report);
    let clients: Vec<_> = clients.into_iter().filter_map(|section| read_clients(section, report)).collect();
    if clients.is_empty() && report.is_empty() {
        let help = "add a table `[[clients]]` with `class`, `repeat`, `path` and `rate`";
        push(report, Code::MissingKey, 0..0, "the plan has no clients".into(), help);
    }
    let names = Names { nodes: count, backends: backends.as_ref().map_or(0, |backends| backends.count) };
    let tables = read::tables(top.get("fault"), "fault", report);
    let fault_count = tables.len();
    let faults = tables.into_iter();
    let faults: Vec<_> = faults
        .filter_map(|section| faults::read_fault(section, &names, &node_kind, fault_count, report))
        .collect();
    let bounds = top.get("bounds").and_then(|v| read::table(v, "bounds", report));
    let bounds = read_bounds(bounds, report);
    if let Some(draw) = &draw
        && draw.value as usize > fault_count
    {
        let what = format!("`draw` is {}, but the number of faults is {fault_count}", draw.value);
        push(report, Code::NumberOutOfRange, draw.span.clone(), what, "draw fewer, or add faults");
    }
    top.finish(report);
    Some(Plan {
        name: name?.value,
        about,
        nodes: count,
        node_kind,
        backends: backends?,
        clients,
        traffic_duration: length?,
        faults,
        sampled_faults: draw.map(|draw| draw.value as usize),
        bounds,
    })
}

fn read_nodes<E: fmt::Display>(
    mut section: Section,
    read_file: &impl Fn(&str) -> Result<String, E>,
    report: &mut Report,
) -> (usize, NodeKind) {
    let count = section.required("count", "2", report).and_then(|v| read::count(v, (1, MAX_NODES), report));
    let is_platform = or_default(section.get("kind"), false, |v| {
        Some(read::choice(v, &[("file", false), ("platform", true)], report)?.value)
    });
    let file = section.get("file").and_then(|v| read::text(v, report));
    let kind = match (is_platform, file) {
        (true, Some(file)) => {
            let what = "nodes of the platform do not read an operator's file".to_string();
            let help = "leave `file` out, or write `kind = \"file\"`";
            push(report, Code::InvalidChoice, file.span, what, help);
            NodeKind::Platform
        }
        (true, None) => NodeKind::Platform,
        (false, None) => NodeKind::File(DEFAULT_NODE_FILE.into()),
        (false, Some(file)) => match read_file(&file.value) {
            Ok(text) => NodeKind::File(text),
            Err(error) => {
                let help = "write a path relative to the folder of the plan";
                push(report, Code::UnreadableFile, file.span, error.to_string(), help);
                NodeKind::File(String::new())
            }
        },
    };
    section.finish(report);
    (count.map_or(1, |count| count.value as usize), kind)
}

fn read_backends(mut section: Section, report: &mut Report) -> BackendGroup {
    let count =
        section.required("count", "3", report).and_then(|v| read::count(v, (1, MAX_BACKENDS), report));
    let sites = section.get("sites").and_then(|v| read::array(v, "names", report)).unwrap_or_default();
    let sites: Vec<_> = sites.into_iter().filter_map(|v| Some(read::name(v, report)?.value)).collect();
    let cores = or_default(section.get("cores"), 4, |v| Some(read::count(v, (1, MAX_CORES), report)?.value));
    let default_service = DurationRange::fixed(Duration::from_millis(20));
    let service = or_default(section.get("service"), default_service, |v| {
        duration_range(v, ZeroDuration::Rejected, report)
    });
    let window = or_default(section.get("window"), Duration::from_millis(600), |v| {
        duration(v, ZeroDuration::Allowed, report)
    });
    let cold = section.get("cold").and_then(|v| read::table(v, "cold", report));
    let cold_start = cold.map(|cold| read_cold_start(cold, report));
    section.finish(report);
    BackendGroup {
        count: count.map_or(1, |count| count.value as usize),
        sites: if sites.is_empty() { vec!["tembalang".into()] } else { sites },
        cores: cores as u32,
        service_time: ServiceTime::Uniform(service.min, service.max),
        cold_start,
        deduplication_window: window,
    }
}

fn read_cold_start(mut section: Section, report: &mut Report) -> ColdStart {
    let initial_share = or_default(section.get("share"), 0.32, |v| Some(read::share(v, report)?.value));
    let warm_up_time = or_default(section.get("warm-after"), Duration::from_secs(8), |v| {
        duration(v, ZeroDuration::Rejected, report)
    });
    let overload_factor =
        or_default(section.get("factor"), 4.0, |v| Some(read::number(v, (1.0, 100.0), report)?.value));
    let overload_time = or_default(section.get("overload-time"), Duration::from_millis(1500), |v| {
        duration(v, ZeroDuration::Rejected, report)
    });
    section.finish(report);
    ColdStart { initial_share, warm_up_time, overload_factor, overload_time }
}

fn read_clients(mut section: Section, report: &mut Report) -> Option<ClientGroup> {
    let class = section.required("class", "\"look\"", report).and_then(|v| read::name(v, report));
    let choices =
        [("safe", Idempotency::Safe), ("keyed", Idempotency::Keyed), ("unsafe", Idempotency::Unsafe)];
    let idempotency = section
        .required("repeat", "\"safe\"", report)
        .and_then(|v| read::choice(v, &choices, report))
        .map(|choice| choice.value);
    let default_method = if idempotency == Some(Idempotency::Safe) { "GET" } else { "POST" };
    let method =
        or_default(section.get("method"), default_method.into(), |v| Some(read::name(v, report)?.value));
    let path = section.required("path", "\"/tally/{n}\"", report).and_then(|v| read::text(v, report));
    if let Some(path) = &path
        && (!path.value.starts_with('/') || path.value.contains([' ', '\r', '\n']))
    {
        let what = format!("{:?} is not a path", path.value);
        push(
            report,
            Code::InvalidPath,
            path.span.clone(),
            what,
            "start it with `/`, and leave out spaces and line breaks",
        );
    }
    let headers = read_headers(&mut section, report);
    let rate = section.required("rate", "\"40/s\"", report).and_then(|v| read::rate(v, report));
    let timeout = or_default(section.get("patience"), Duration::from_secs(1), |v| {
        duration(v, ZeroDuration::Rejected, report)
    });
    let max_retries =
        or_default(section.get("repeats"), 0, |v| Some(read::count(v, (0, MAX_RETRIES), report)?.value));
    section.finish(report);
    Some(ClientGroup {
        class: class?.value,
        idempotency: idempotency?,
        method,
        path: path?.value,
        headers,
        requests_per_s: rate?.value,
        timeout,
        max_retries: max_retries as u32,
    })
}

fn read_headers(section: &mut Section, report: &mut Report) -> Vec<(String, String)> {
    let mut headers = Vec::new();
    let Some(value) = section.get("headers") else { return headers };
    let DeValue::Table(table) = value.get_ref() else {
        let help = "write `headers = { x-account = \"semarang\" }`";
        push(report, Code::WrongType, value.span(), "the headers are not a table".into(), help);
        return headers;
    };
    for (name, value) in table.iter() {
        let Some(text) = read::text(value, report) else { continue };
        if text.value.contains(['\r', '\n']) {
            push(
                report,
                Code::InvalidHeader,
                text.span,
                "a header value with a line break".into(),
                "write it on one line",
            );
        } else {
            headers.push((name.get_ref().to_string(), text.value));
        }
    }
    headers
}

fn read_bounds(section: Option<Section>, report: &mut Report) -> Bounds {
    let mut bounds = Bounds {
        grace_ms: 2200,
        slack_ms: 100,
        recovery_ms: 5000,
        served_share: 0.9,
        connections_per_s: 400,
        discovery_calls_per_100ms: 40,
        descriptors: 64,
        memory_kib: 32 << 10,
        max_lateness_ms: 250,
    };
    let Some(mut section) = section else { return bounds };
    let mut read_ms = |key: &'static str, to: &mut u64, zero: ZeroDuration| {
        if let Some(time) = section.get(key).and_then(|v| duration(v, zero, report)) {
            *to = time.as_millis() as u64;
        }
    };
    read_ms("grace", &mut bounds.grace_ms, ZeroDuration::Allowed);
    read_ms("slack", &mut bounds.slack_ms, ZeroDuration::Allowed);
    read_ms("recovers", &mut bounds.recovery_ms, ZeroDuration::Rejected);
    read_ms("bears", &mut bounds.max_lateness_ms, ZeroDuration::Rejected);
    let mut read_count = |key: &'static str, to: &mut u64| {
        if let Some(count) = section.get(key).and_then(|v| read::count(v, (0, MAX_COUNT), report)) {
            *to = count.value;
        }
    };
    read_count("connections", &mut bounds.connections_per_s);
    read_count("calls", &mut bounds.discovery_calls_per_100ms);
    read_count("descriptors", &mut bounds.descriptors);
    if let Some(size) = section.get("memory").and_then(|v| read::bytes(v, (0, MAX_BYTES), report)) {
        bounds.memory_kib = size.value >> 10;
    }
    if let Some(share) = section.get("served").and_then(|v| read::share(v, report)) {
        bounds.served_share = share.value;
    }
    section.finish(report);
    bounds
}
