//! Parses the text of a file to the model: defines the keys and their types. Each value is checked by itself;
//! `check` checks values against each other. There is a module for each part of the file: [`node`],
//! [`cluster`], [`class`], [`route`], and the [`request_settings`] that classes, routes and defaults share.

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

/// The maximum size of a file in bytes, which is enough for about 30,000 routes. Limits the memory and the
/// time that a reload takes.
pub const MAX_FILE_SIZE: usize = 8 << 20;

/// Converts the bytes of a file to text, if they are UTF-8 and not too many.
pub fn text(bytes: &[u8]) -> Result<&str, Diagnostic> {
    if bytes.len() > MAX_FILE_SIZE {
        let message = format!("the file has {} bytes, and the maximum is {MAX_FILE_SIZE}", bytes.len());
        let help = "use fewer routes, by templates and prefixes, or a separate file for each node";
        return Err(Diagnostic::new(Code::FileTooLarge, 0..0, message, help));
    }
    std::str::from_utf8(bytes).map_err(|e| {
        let at = e.valid_up_to();
        let help = "save the file as UTF-8";
        Diagnostic::new(Code::NotUtf8, at..at + 1, format!("byte {at} of the file is not valid UTF-8"), help)
    })
}

/// Parses a file. Values that can't be parsed are reported and left out.
pub fn file(text: &str, report: &mut Report) -> File {
    let (document, errors) = DeTable::parse_recoverable(text);
    for e in &errors {
        let span = shown_span(text, e.span().unwrap_or(0..0));
        report.push(Diagnostic::new(
            Code::InvalidToml,
            span,
            e.message().to_string(),
            "fix the TOML syntax here",
        ));
    }
    if !errors.is_empty() {
        // After a syntax error, values that the TOML parser skipped would be reported as missing.
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
        listeners: parse_tables(root.get("listener"), "[listener]", report, node::listener),
        defaults: defaults
            .map(|section| request_settings::only_request_settings(section, report))
            .unwrap_or_default(),
        clusters: parse_tables(root.get("cluster"), "[cluster]", report, cluster::cluster),
        classes: parse_tables(root.get("class"), "[class]", report, class::class),
        tenants: parse_tables(root.get("tenant"), "[tenant]", report, class::tenant),
        routes: parse_tables(root.get("route"), "[route]", report, route::route),
    };
    root.finish(report);
    file
}

/// The position to show for a syntax error. If the TOML parser reports an empty span between two characters,
/// that is the character after it, or else the last one before it, so that there is something to underline.
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

/// Parses each table of an array; those that can't be parsed are left out.
fn parse_tables<'t, T>(
    value: Option<Value<'t>>,
    name: &str,
    report: &mut Report,
    read: impl Fn(Section<'t>, &mut Report) -> Option<T>,
) -> Vec<T> {
    let sections = read::tables(value, name, report);
    sections.into_iter().filter_map(|section| read(section, report)).collect()
}

/// Converts a number to a narrower type; `None` if it does not fit.
fn narrow<T: TryFrom<u64>>(at: Located<u64>) -> Option<Located<T>> {
    Some(Located::new(T::try_from(at.value).ok()?, at.span))
}

/// Parses an integer within an inclusive range to the type of the model.
fn count<T: TryFrom<u64>>(value: Value, range: (u64, u64), report: &mut Report) -> Option<Located<T>> {
    read::count(value, range, report).and_then(narrow)
}
