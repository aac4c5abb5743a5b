//! Parses values of TOML tables, each with its position. Errors, unknown keys included, are added to the
//! report. Which keys there are is up to the caller.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Located, Span};
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};
use units::{self, DurationError};

/// The minimum similarity of a word to a known one to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// A table that is being parsed. Keys that were not read by the time of [`Section::finish`] are reported as
/// unknown.
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// The position of the table.
    pub span: Span,
    /// The name of the table in messages.
    pub name: String,
    known: Vec<&'static str>,
}

/// A TOML value with its position.
pub type Value<'t> = &'t Spanned<DeValue<'t>>;

/// The name of a value's type in messages.
fn type_of(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a floating-point number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

/// The known word that is most similar to a word; `None` if none is similar enough to be suggested.
pub fn closest_word<'k>(word: &str, known: impl IntoIterator<Item = &'k str>) -> Option<&'k str> {
    let scored = known.into_iter().map(|k| (strsim::jaro_winkler(word, k), k));
    scored.filter(|(score, _)| *score > MIN_SIMILARITY).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| k)
}

impl<'t> Section<'t> {
    /// Starts parsing a table; `name` is its name in messages.
    pub fn new(table: &'t DeTable<'t>, span: Span, name: impl Into<String>) -> Self {
        Section { table, span, name: name.into(), known: Vec::new() }
    }

    /// The value of an optional key; `None` if it is absent.
    pub fn get(&mut self, key: &'static str) -> Option<Value<'t>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// The value of a required key; if it is absent, that is reported with an example value.
    pub fn required(&mut self, key: &'static str, example: &str, report: &mut Report) -> Option<Value<'t>> {
        let value = self.get(key);
        if value.is_none() {
            let message = format!("missing key `{key}` in {}", self.name);
            let help = format!("add it, for example as `{key} = {example}`");
            report.push(Diagnostic::new(Code::MissingKey, self.span.clone(), message, help));
        }
        value
    }

    /// Finishes the table: reports every key that was not read as unknown.
    pub fn finish(self, report: &mut Report) {
        for key in self.table.keys().filter(|key| !self.known.contains(&key.get_ref().as_ref())) {
            let help = match closest_word(key.get_ref(), self.known.iter().copied()) {
                Some(known) => format!("did you mean `{known}`?"),
                None => format!("valid keys: {}", list(&self.known)),
            };
            let message = format!("unknown key `{}` in {}", key.get_ref(), self.name);
            report.push(Diagnostic::new(Code::UnknownKey, key.span(), message, help));
        }
    }
}

/// Formats words as a list for a message, each in backticks.
pub fn list(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

/// Reports a value of the wrong type; always returns `None`.
fn wrong_type<T>(value: Value, wanted: &str, report: &mut Report) -> Option<T> {
    let message = format!("expected {wanted}, found {}", type_of(value.get_ref()));
    let help = format!("write {wanted}");
    report.push(Diagnostic::new(Code::WrongType, value.span(), message, help));
    None
}

/// Parses a table; `name` is its name in messages.
pub fn table<'t>(value: Value<'t>, name: &str, report: &mut Report) -> Option<Section<'t>> {
    match value.get_ref() {
        DeValue::Table(table) => Some(Section::new(table, value.span(), name)),
        _ => wrong_type(value, &format!("the table `{name}`"), report),
    }
}

/// Parses an array of tables, such as `[[route]]`; items that are not tables are reported and left out.
pub fn tables<'t>(value: Option<Value<'t>>, name: &str, report: &mut Report) -> Vec<Section<'t>> {
    let Some(value) = value else { return Vec::new() };
    match value.get_ref() {
        DeValue::Array(items) => items.iter().filter_map(|item| table(item, name, report)).collect(),
        _ => wrong_type(value, &format!("an array of tables, each headed [{name}]"), report)
            .unwrap_or_default(),
    }
}

/// Parses a string.
pub fn text(value: Value, report: &mut Report) -> Option<Located<String>> {
    match value.get_ref() {
        DeValue::String(text) => Some(Located::new(text.to_string(), value.span())),
        _ => wrong_type(value, "a quoted string", report),
    }
}

/// The maximum length of a name. Names go into logs and metrics.
const MAX_NAME_LENGTH: usize = 64;

/// Parses a name: letters, digits, `.`, `_` and `-`.
pub fn name(value: Value, report: &mut Report) -> Option<Located<String>> {
    let text = text(value, report)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.value.is_empty() || text.value.len() > MAX_NAME_LENGTH || !text.value.chars().all(is_allowed) {
        let message = format!("{:?} is not a valid name", text.value);
        let help = format!("use 1 to {MAX_NAME_LENGTH} letters, digits, `.`, `_` or `-`");
        report.push(Diagnostic::new(Code::InvalidName, text.span, message, help));
        return None;
    }
    Some(text)
}

/// Parses a duration with its unit, longer than zero.
pub fn positive_duration(value: Value, report: &mut Report) -> Option<Located<Duration>> {
    duration(value, false, report)
}

/// Parses a duration with its unit; zero is allowed.
pub fn duration_or_zero(value: Value, report: &mut Report) -> Option<Located<Duration>> {
    duration(value, true, report)
}

/// Parses a duration with its unit; zero is allowed only if `allow_zero` is set.
pub fn duration(value: Value, allow_zero: bool, report: &mut Report) -> Option<Located<Duration>> {
    let unit_help = "write a number and a unit: `250ms`, `1.5s`, `2m`, `1h`";
    let diagnostic = |code, message: String, help: &str| Diagnostic::new(code, value.span(), message, help);
    let text = match value.get_ref() {
        DeValue::String(text) => text,
        DeValue::Integer(number) => {
            let help = format!("write \"{number}ms\" or \"{number}s\"");
            let message = format!("the duration {number} has no unit");
            report.push(diagnostic(Code::MissingDurationUnit, message, &help));
            return None;
        }
        _ => return wrong_type(value, "a quoted duration such as \"250ms\"", report),
    };
    match units::parse_duration(text) {
        Ok(time) if time.is_zero() && !allow_zero => {
            report.push(diagnostic(
                Code::ZeroDuration,
                "this duration must not be zero".into(),
                "set a positive duration",
            ));
            None
        }
        Ok(time) => Some(Located::new(time, value.span())),
        Err(DurationError::MissingUnit) => {
            report.push(diagnostic(
                Code::MissingDurationUnit,
                format!("the duration {text:?} has no unit"),
                unit_help,
            ));
            None
        }
        Err(DurationError::TooLong) => {
            let message = format!("{text:?} is longer than a day");
            report.push(diagnostic(Code::DurationTooLong, message, "the maximum is `24h`"));
            None
        }
        Err(DurationError::Malformed) => {
            report.push(diagnostic(
                Code::InvalidDuration,
                format!("{text:?} is not a valid duration"),
                unit_help,
            ));
            None
        }
    }
}

/// The value of an integer or a float; `None` for any other type or if it does not fit.
fn parse_number(value: Value) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok(),
        _ => None,
    }
}

/// Parses a number within inclusive bounds.
pub fn number(value: Value, (min, max): (f64, f64), report: &mut Report) -> Option<Located<f64>> {
    let is_number = matches!(value.get_ref(), DeValue::Integer(_) | DeValue::Float(_));
    if !is_number {
        return wrong_type(value, "a number", report);
    }
    match parse_number(value).filter(|n| *n >= min && *n <= max) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = "this number is out of range";
            let help = format!("write a number from {min} to {max}");
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// Parses an integer within inclusive bounds.
pub fn count(value: Value, (min, max): (u64, u64), report: &mut Report) -> Option<Located<u64>> {
    let DeValue::Integer(digits) = value.get_ref() else {
        return wrong_type(value, "an integer", report);
    };
    let read = u64::from_str_radix(digits.as_str(), digits.radix()).ok();
    match read.filter(|n| (min..=max).contains(n)) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = format!("{digits} is out of range");
            let help = format!("write an integer from {min} to {max}");
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// Parses a share from 0 to 1, such as `0.25` or `"25%"`.
pub fn share(value: Value, report: &mut Report) -> Option<Located<f64>> {
    let read = match value.get_ref() {
        DeValue::String(text) => units::parse_percent(text),
        DeValue::Integer(_) | DeValue::Float(_) => parse_number(value),
        _ => return wrong_type(value, "a share such as 0.2 or \"20%\"", report),
    };
    match read.filter(|share| (0.0..=1.0).contains(share)) {
        Some(share) => Some(Located::new(share, value.span())),
        None => {
            let help = "write a number from 0 to 1, or a percentage from \"0%\" to \"100%\"";
            report.push(Diagnostic::new(
                Code::ShareOutOfRange,
                value.span(),
                "this is not a valid share",
                help,
            ));
            None
        }
    }
}

/// Parses a rate such as `"50/s"` or `"300/m"`; the result is per second.
pub fn rate(value: Value, report: &mut Report) -> Option<Located<f64>> {
    let DeValue::String(text) = value.get_ref() else {
        return wrong_type(value, "a quoted rate such as \"50/s\"", report);
    };
    match units::parse_rate(text) {
        Some(rate) => Some(Located::new(rate, value.span())),
        None => {
            let message = format!("{text:?} is not a valid rate");
            let help = "write a number and a unit of time: `50/s`, `300/m`, `10/h`";
            report.push(Diagnostic::new(Code::InvalidRate, value.span(), message, help));
            None
        }
    }
}

/// Parses a size such as `"64KiB"` within inclusive bounds; the result is in bytes.
pub fn bytes(value: Value, (min, max): (u64, u64), report: &mut Report) -> Option<Located<u64>> {
    let DeValue::String(text) = value.get_ref() else {
        return wrong_type(value, "a quoted size such as \"64MiB\"", report);
    };
    match units::parse_bytes(text).filter(|n| (min..=max).contains(n)) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = format!("{text:?} is not a size from {min}B to {max}B");
            let help = "write an integer and `B`, `KiB`, `MiB` or `GiB`";
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// Parses an IP address with a port.
pub fn address(value: Value, report: &mut Report) -> Option<Located<SocketAddr>> {
    let text = text(value, report)?;
    match text.value.parse() {
        Ok(address) => Some(Located::new(address, text.span)),
        Err(_) => {
            let message = format!("{:?} is not an IP address with a port", text.value);
            let help = "write `127.0.0.1:8080` or `[::1]:8080`; host names are not resolved";
            report.push(Diagnostic::new(Code::InvalidAddress, text.span, message, help));
            None
        }
    }
}

/// Parses one of the given words to the value beside it.
pub fn choice<T: Copy>(value: Value, words: &[(&str, T)], report: &mut Report) -> Option<Located<T>> {
    let text = text(value, report)?;
    match words.iter().find(|(word, _)| *word == text.value) {
        Some((_, meaning)) => Some(Located::new(*meaning, text.span)),
        None => {
            let known: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            let help = match closest_word(&text.value, known.iter().copied()) {
                Some(word) => format!("did you mean `{word}`?"),
                None => format!("write one of {}", list(&known)),
            };
            let message = format!("unknown value `{}`, expected one of {}", text.value, list(&known));
            report.push(Diagnostic::new(Code::InvalidChoice, text.span, message, help));
            None
        }
    }
}

/// Parses an array; `what` names its items in messages.
pub fn array<'t>(value: Value<'t>, what: &str, report: &mut Report) -> Option<Vec<Value<'t>>> {
    match value.get_ref() {
        DeValue::Array(items) => Some(items.iter().collect()),
        _ => wrong_type(value, &format!("an array of {what}"), report),
    }
}

/// Parses `false` as `None`, and any other value by `read`.
pub fn unless_false<'t, T>(
    value: Value<'t>,
    report: &mut Report,
    read: impl FnOnce(Value<'t>, &mut Report) -> Option<T>,
) -> Option<Located<Option<T>>> {
    match value.get_ref() {
        DeValue::Boolean(false) => Some(Located::new(None, value.span())),
        _ => read(value, report).map(|read| Located::new(Some(read), value.span())),
    }
}
