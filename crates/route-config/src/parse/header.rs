//! Parses header names and the header conditions of routes.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Located, Span};
use crate::read::{self, Value};
use http::{HeaderName, HeaderValue};
use toml::de::DeValue;

/// Headers that concern a single connection or the framing of a message. They may differ between client and
/// backend, so routes can't match them.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Parses the name of an end-to-end header.
pub(super) fn header_name(value: Value, report: &mut Report) -> Option<Located<HeaderName>> {
    let text = read::text(value, report)?;
    named_header(&text.value, text.span, report)
}

fn named_header(text: &str, span: Span, report: &mut Report) -> Option<Located<HeaderName>> {
    let diagnostic =
        |message: String, help: &str| Diagnostic::new(Code::InvalidHeader, span.clone(), message, help);
    let Ok(name) = HeaderName::from_bytes(text.as_bytes()) else {
        let help = "write a name such as `x-account`: letters, digits and `-`";
        report.push(diagnostic(format!("{text:?} is not a valid header name"), help));
        return None;
    };
    if HOP_BY_HOP.contains(&name.as_str()) {
        let help = "use an end-to-end header";
        report.push(diagnostic(format!("header `{name}` applies to one connection only"), help));
        return None;
    }
    Some(Located::new(name, span))
}

/// Parses the headers that a request must have, each with its value or `None` for any value. Invalid ones are
/// reported and left out.
pub(super) fn headers(value: Value, report: &mut Report) -> Vec<Located<(HeaderName, Option<HeaderValue>)>> {
    let DeValue::Table(table) = value.get_ref() else {
        let _ = read::table(value, "headers", report);
        return Vec::new();
    };
    let mut headers: Vec<Located<(HeaderName, Option<HeaderValue>)>> = Vec::new();
    for (key, value) in table.iter() {
        let Some(name) = named_header(key.get_ref(), key.span(), report) else { continue };
        if headers.iter().any(|known| known.value.0 == name.value) {
            let message = format!("header `{}` is listed twice, in different case", name.value);
            report.push(Diagnostic::new(Code::Duplicate, key.span(), message, "keep one of them"));
            continue;
        }
        let expected = match value.get_ref() {
            DeValue::Boolean(true) => None,
            DeValue::String(text) => {
                let trimmed = text.trim_matches([' ', '\t']) == text.as_ref();
                match HeaderValue::from_str(text).ok().filter(|_| trimmed) {
                    Some(text) => Some(text),
                    None => {
                        let message = "invalid header value";
                        let help = "remove line breaks, and blanks around the value";
                        report.push(Diagnostic::new(Code::InvalidHeader, value.span(), message, help));
                        continue;
                    }
                }
            }
            _ => {
                let message = "expected a header's value, or true for any value";
                let help = format!("write `{} = \"value\"` or `{} = true`", name.value, name.value);
                report.push(Diagnostic::new(Code::WrongType, value.span(), message, help));
                continue;
            }
        };
        headers.push(Located::new((name.value, expected), name.span));
    }
    headers
}
