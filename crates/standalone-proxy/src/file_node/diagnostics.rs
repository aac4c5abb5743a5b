//! Formats the diagnostics of an operator's file: as text with the faulty parts underlined, as JSON, or as
//! log lines. A file may contain anything, so characters that could act as control sequences never reach a
//! terminal.

use crate::file_node::source::InvalidSource;
use miette::{GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode};
use route_config::diagnostic::{Diagnostic, Lines, Position, Rule};
use serde::Serialize;
use std::fmt;
use std::io::IsTerminal;
use std::ops::Range;
use std::path::Path;

/// Whether a character can affect a terminal: control characters, and those that change the direction of
/// text.
fn is_hidden(c: char) -> bool {
    c.is_control() || matches!(c, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// Replaces each hidden character of a file by question marks of the same number of bytes, so that offsets
/// stay the same.
fn mask_hidden(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '\n' | '\t' => out.push(c),
            c if is_hidden(c) => (0..c.len_utf8()).for_each(|_| out.push('?')),
            c => out.push(c),
        }
    }
    out
}

/// Escapes the hidden characters of a message about a file, including line breaks.
fn escape_hidden(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        if is_hidden(c) { out.extend(c.escape_default()) } else { out.push(c) }
    }
    out
}

/// Adapts a diagnostic to `miette`, which renders it.
struct Report<'a> {
    fault: &'a Diagnostic,
    source: &'a NamedSource<String>,
}

impl fmt::Debug for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(self.fault, f)
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.fault.message)
    }
}

impl std::error::Error for Report<'_> {}

impl miette::Diagnostic for Report<'_> {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.fault.code))
    }
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.fault.help))
    }
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        // A diagnostic with an empty span concerns the file as a whole.
        if self.fault.span.is_empty() {
            return None;
        }
        let label = match self.fault.code.rule() {
            Some(rule) => format!("would break the rule: {rule}"),
            None => "here".into(),
        };
        let main = LabeledSpan::new_primary_with_span(Some(label), self.fault.span.clone());
        let related = self.fault.related.iter();
        let related =
            related.map(|(span, text)| LabeledSpan::new_with_span(Some(text.clone()), span.clone()));
        Some(Box::new(std::iter::once(main).chain(related)))
    }
}

/// Formats all diagnostics as text with the faulty parts underlined.
pub fn text(path: &Path, file: &InvalidSource) -> String {
    let colour = std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let theme = if colour { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
    let handler = GraphicalReportHandler::new_themed(theme).with_width(110);
    let name = escape_hidden(&path.display().to_string());
    let source = NamedSource::new(&name, mask_hidden(&file.text));
    let mut out = String::new();
    for fault in &file.error.diagnostics {
        let mut fault = fault.clone();
        fault.message = escape_hidden(&fault.message);
        fault.help = escape_hidden(&fault.help);
        if handler.render_report(&mut out, &Report { fault: &fault, source: &source }).is_err() {
            out.push_str(&fault.message);
        }
        out.push('\n');
    }
    let (shown, more) = (file.error.diagnostics.len(), file.error.omitted);
    let omitted = if more > 0 { format!(", and {more} more that are not shown") } else { String::new() };
    out.push_str(&format!("{name}: invalid, {shown} error{}{omitted}\n", plural(shown)));
    out
}

fn plural(count: usize) -> &'static str {
    if count == 1 { "" } else { "s" }
}

/// Formats each diagnostic as one line: file, line and column, code, message, help.
pub fn lines(path: &Path, file: &InvalidSource) -> Vec<String> {
    let lines = Lines::of(&file.text);
    let line = |fault: &Diagnostic| {
        let Position { line, column } = lines.position(fault.span.start);
        let (path, code) = (path.display(), fault.code);
        escape_hidden(&format!("{path}:{line}:{column}: {code}: {}; {}", fault.message, fault.help))
    };
    file.error.diagnostics.iter().map(line).collect()
}

/// A diagnostic as JSON. The serialized names are an interface for operators' tools and must not change.
#[derive(Serialize)]
struct JsonFault<'a> {
    code: &'static str,
    rule: Option<Rule>,
    message: &'a str,
    help: &'a str,
    #[serde(flatten)]
    span: JsonSpan,
    #[serde(rename = "also")]
    related: Vec<JsonRelated<'a>>,
}

/// Another part of the file that a diagnostic concerns.
#[derive(Serialize)]
struct JsonRelated<'a> {
    #[serde(rename = "what")]
    text: &'a str,
    #[serde(flatten)]
    span: JsonSpan,
}

/// A part of the file, by lines and columns and by bytes.
#[derive(Serialize)]
struct JsonSpan {
    start: Position,
    end: Position,
    bytes: [usize; 2],
}

#[derive(Serialize)]
struct JsonReport<'a> {
    file: String,
    accepted: bool,
    faults: Vec<JsonFault<'a>>,
    /// The number of diagnostics that are not listed.
    #[serde(rename = "more")]
    omitted: usize,
}

/// Formats the diagnostics of a file as a JSON object. `file` is `None` if the file is valid.
pub fn json(path: &Path, file: Option<&InvalidSource>) -> String {
    let lines = Lines::of(file.map_or("", |file| &file.text));
    let json_span = |span: &Range<usize>| JsonSpan {
        start: lines.position(span.start),
        end: lines.position(span.end),
        bytes: [span.start, span.end],
    };
    let faults = file.map_or(&[][..], |file| &file.error.diagnostics);
    let faults = faults.iter().map(|fault| JsonFault {
        code: fault.code.as_str(),
        rule: fault.code.rule(),
        message: &fault.message,
        help: &fault.help,
        span: json_span(&fault.span),
        related: fault
            .related
            .iter()
            .map(|(span, text)| JsonRelated { text, span: json_span(span) })
            .collect(),
    });
    let report = JsonReport {
        file: path.display().to_string(),
        accepted: file.is_none(),
        faults: faults.collect(),
        omitted: file.map_or(0, |file| file.error.omitted),
    };
    // All of its fields can always be serialized.
    serde_json::to_string_pretty(&report).unwrap_or_default()
}

#[cfg(test)]
mod tests;
