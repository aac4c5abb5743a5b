//! From text to the model: which keys there are, and the type of each. Checks each value by itself; `check` does so for
//! values together. One module for each part of the file: [`node`], [`cluster`], [`class`], [`route`], and the
//! [`request_settings`] that classes, routes and defaults share.

mod class;
mod cluster;
mod header;
mod node;
mod request_settings;
mod route;

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use toml::de::DeTable;

/// The maximum size of a file in bytes: some 30,000 routes. Limits the memory and the time of a reload.
pub const MAX_FILE_SIZE: usize = 8 << 20;

/// Converts the bytes of a file to text.
pub fn text(bytes: &[u8]) -> Result<&str, Diagnostic> {
    if bytes.len() > MAX_FILE_SIZE {
        let message = format!("the file has {} bytes, {MAX_FILE_SIZE} at most are read", bytes.len());
        let help = "split it: one file for each node, or fewer routes by using templates and prefixes";
        return Err(Diagnostic::new(Code::FileTooLarge, 0..0, message, help));
    }
    std::str::from_utf8(bytes).map_err(|e| {
        let at = e.valid_up_to();
        let help = "save the file as UTF-8";
        Diagnostic::new(Code::NotUtf8, at..at + 1, format!("byte {at} of the file is not UTF-8 text"), help)
    })
}

/// Parses a file. Values that can't be parsed are in the report, and left out.
pub fn file(text: &str, report: &mut Report) -> File {
    let (document, errors) = DeTable::parse_recoverable(text);
    for e in &errors {
        let span = shown_span(text, e.span().unwrap_or(0..0));
        report.push(Diagnostic::new(Code::InvalidToml, span, e.message().to_string(), "mend the TOML here"));
    }
    if !errors.is_empty() {
        // Values of a text with syntax errors would be reported as missing.
        return File::default();
    }
    let mut root = Section::new(document.get_ref(), 0..0, "the file");
    let node = root.get("node").and_then(|v| read::table(v, "[node]", report));
    let defaults = root.get("defaults").and_then(|v| read::table(v, "[defaults]", report));
    let trace = root.get("trace").and_then(|v| read::table(v, "[trace]", report));
    let forwarding = root.get("forwarding").and_then(|v| read::table(v, "[forwarding]", report));
    let log = root.get("log").and_then(|v| read::table(v, "[log]", report));
    let admin = root.get("admin").and_then(|v| read::table(v, "[admin]", report));
    let file = File {
        log: log.map(|section| node::log(section, report)).unwrap_or_default(),
        admin: admin.and_then(|section| node::admin(section, report)),
        forwarding: forwarding.map(|section| node::forwarding(section, report)).unwrap_or_default(),
        trace: trace.and_then(|section| node::trace(section, report)),
        node: node.map(|section| node::node(section, report)).unwrap_or_default(),
        listeners: each(root.get("listener"), "[listener]", report, node::listener),
        defaults: defaults
            .map(|section| request_settings::only_request_settings(section, report))
            .unwrap_or_default(),
        clusters: each(root.get("cluster"), "[cluster]", report, cluster::cluster),
        classes: each(root.get("class"), "[class]", report, class::class),
        tenants: each(root.get("tenant"), "[tenant]", report, class::tenant),
        routes: each(root.get("route"), "[route]", report, route::route),
    };
    root.finish(report);
    file
}

/// The position of an error that the TOML parser puts between two characters: the one behind it, else the one before, so
/// that there is something to show.
fn shown_span(text: &str, span: Span) -> Span {
    if !span.is_empty() {
        return span;
    }
    let at = span.start.min(text.len());
    let behind = text[at..].chars().next().filter(|c| !c.is_whitespace());
    let before = text[..at].trim_end().char_indices().next_back();
    match (behind, before) {
        (Some(c), _) => at..at + c.len_utf8(),
        (None, Some((start, c))) => start..start + c.len_utf8(),
        (None, None) => at..at,
    }
}

/// Parses each table of a list; those that can't be parsed are left out.
fn each<'t, T>(
    value: Option<Value<'t>>,
    name: &str,
    report: &mut Report,
    read: impl Fn(Section<'t>, &mut Report) -> Option<T>,
) -> Vec<T> {
    let sections = read::tables(value, name, report);
    sections.into_iter().filter_map(|section| read(section, report)).collect()
}

/// The same number in a narrower type; `None` where it does not fit.
fn narrow<T: TryFrom<u64>>(at: Located<u64>) -> Option<Located<T>> {
    Some(Located::new(T::try_from(at.value).ok()?, at.span))
}

/// Parses a whole number within a range into the type that the model has.
fn count<T: TryFrom<u64>>(value: Value, range: (u64, u64), report: &mut Report) -> Option<Located<T>> {
    read::count(value, range, report).and_then(narrow)
}
