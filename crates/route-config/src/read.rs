//! Parses values of TOML tables: each with its position; errors, also unknown keys, are added to the report. Knows no key
//! of the file.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Located, Span};
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};
use units::{self, DurationError};

/// The minimum similarity of a word to a known one to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// A table that is being parsed. Keys that were not read are unknown ones.
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// The position of the table.
    pub span: Span,
    /// Its name in messages.
    pub name: String,
    known: Vec<&'static str>,
}

/// A value of the file.
pub type Value<'t> = &'t Spanned<DeValue<'t>>;

/// The type of a value in a message.
fn type_of(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// The known word that is most similar to a word, if one is similar at all.
pub fn closest_word<'k>(word: &str, known: impl IntoIterator<Item = &'k str>) -> Option<&'k str> {
    let scored = known.into_iter().map(|k| (strsim::jaro_winkler(word, k), k));
    scored.filter(|(score, _)| *score > MIN_SIMILARITY).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| k)
}

impl<'t> Section<'t> {
    /// Begins to parse a table.
    pub fn new(table: &'t DeTable<'t>, span: Span, name: impl Into<String>) -> Self {
        Section { table, span, name: name.into(), known: Vec::new() }
    }

    /// The value of a key, if it is present.
    pub fn get(&mut self, key: &'static str) -> Option<Value<'t>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// The value of a required key.
    pub fn required(&mut self, key: &'static str, example: &str, report: &mut Report) -> Option<Value<'t>> {
        let value = self.get(key);
        if value.is_none() {
            let message = format!("{} has no `{key}`", self.name);
            let help = format!("add a line such as `{key} = {example}`");
            report.push(Diagnostic::new(Code::MissingKey, self.span.clone(), message, help));
        }
        value
    }

    /// Ends the parsing: every key that was not read is an error.
    pub fn finish(self, report: &mut Report) {
        for key in self.table.keys().filter(|key| !self.known.contains(&key.get_ref().as_ref())) {
            let help = match closest_word(key.get_ref(), self.known.iter().copied()) {
                Some(known) => format!("did you mean `{known}`?"),
                None => format!("it takes {}", list(&self.known)),
            };
            let message = format!("{} has no key `{}`", self.name, key.get_ref());
            report.push(Diagnostic::new(Code::UnknownKey, key.span(), message, help));
        }
    }
}

/// A list of words, for a message.
pub fn list(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

/// Reports a value of the wrong type.
fn wrong_type<T>(value: Value, wanted: &str, report: &mut Report) -> Option<T> {
    let message = format!("this is {}, not {wanted}", type_of(value.get_ref()));
    let help = format!("write {wanted}");
    report.push(Diagnostic::new(Code::WrongType, value.span(), message, help));
    None
}

/// A table.
pub fn table<'t>(value: Value<'t>, name: &str, report: &mut Report) -> Option<Section<'t>> {
    match value.get_ref() {
        DeValue::Table(table) => Some(Section::new(table, value.span(), name)),
        _ => wrong_type(value, &format!("a table, {name}"), report),
    }
}

/// A list of tables, such as `[[route]]` makes.
pub fn tables<'t>(value: Option<Value<'t>>, name: &str, report: &mut Report) -> Vec<Section<'t>> {
    let Some(value) = value else { return Vec::new() };
    match value.get_ref() {
        DeValue::Array(items) => items.iter().filter_map(|item| table(item, name, report)).collect(),
        _ => {
            wrong_type(value, &format!("a list of tables, each headed [{name}]"), report).unwrap_or_default()
        }
    }
}

/// A text.
pub fn text(value: Value, report: &mut Report) -> Option<Located<String>> {
    match value.get_ref() {
        DeValue::String(text) => Some(Located::new(text.to_string(), value.span())),
        _ => wrong_type(value, "a text in quotes", report),
    }
}

/// The maximum length of a name. Names go into logs and metrics.
const MAX_NAME_LENGTH: usize = 64;

/// A name: letters, digits, `.`, `_` and `-`.
pub fn name(value: Value, report: &mut Report) -> Option<Located<String>> {
    let text = text(value, report)?;
    let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.value.is_empty() || text.value.len() > MAX_NAME_LENGTH || !text.value.chars().all(good) {
        let message = format!("{:?} is not a name", text.value);
        let help = format!("1 to {MAX_NAME_LENGTH} letters, digits, `.`, `_` or `-`");
        report.push(Diagnostic::new(Code::InvalidName, text.span, message, help));
        return None;
    }
    Some(text)
}

/// A duration with its unit, longer than zero.
pub fn positive_duration(value: Value, report: &mut Report) -> Option<Located<Duration>> {
    duration(value, false, report)
}

/// A duration with its unit, zero included.
pub fn duration_or_zero(value: Value, report: &mut Report) -> Option<Located<Duration>> {
    duration(value, true, report)
}

/// A duration with its unit; zero only where `zero` allows it.
pub fn duration(value: Value, zero: bool, report: &mut Report) -> Option<Located<Duration>> {
    let units = "write a number and a unit: `250ms`, `1.5s`, `2m`, `1h`";
    let diagnostic = |code, message: String, help: &str| Diagnostic::new(code, value.span(), message, help);
    let text = match value.get_ref() {
        DeValue::String(text) => text,
        DeValue::Integer(number) => {
            let help = format!("write \"{number}ms\" or \"{number}s\"");
            let message = format!("the duration {number} has no unit");
            report.push(diagnostic(Code::MissingDurationUnit, message, &help));
            return None;
        }
        _ => return wrong_type(value, "a duration in quotes, such as \"250ms\"", report),
    };
    match units::parse_duration(text) {
        Ok(time) if time.is_zero() && !zero => {
            report.push(diagnostic(
                Code::ZeroDuration,
                "this duration is zero".into(),
                "write how long it is to be",
            ));
            None
        }
        Ok(time) => Some(Located::new(time, value.span())),
        Err(DurationError::MissingUnit) => {
            report.push(diagnostic(
                Code::MissingDurationUnit,
                format!("the duration {text:?} has no unit"),
                units,
            ));
            None
        }
        Err(DurationError::TooLong) => {
            let message = format!("{text:?} is longer than a day");
            report.push(diagnostic(Code::DurationTooLong, message, "a day (`24h`) is the longest"));
            None
        }
        Err(DurationError::Malformed) => {
            report.push(diagnostic(Code::InvalidDuration, format!("{text:?} is no duration"), units));
            None
        }
    }
}

/// A number, whole or not.
fn figure(value: Value) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok(),
        _ => None,
    }
}

/// A number within bounds, both of them included.
pub fn number(value: Value, (min, max): (f64, f64), report: &mut Report) -> Option<Located<f64>> {
    let is_number = matches!(value.get_ref(), DeValue::Integer(_) | DeValue::Float(_));
    if !is_number {
        return wrong_type(value, "a number", report);
    }
    match figure(value).filter(|n| *n >= min && *n <= max) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = "this number is outside its range";
            let help = format!("write a number from {min} to {max}");
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// A whole number within bounds, both of them included.
pub fn count(value: Value, (min, max): (u64, u64), report: &mut Report) -> Option<Located<u64>> {
    let DeValue::Integer(digits) = value.get_ref() else {
        return wrong_type(value, "a whole number", report);
    };
    let read = u64::from_str_radix(digits.as_str(), digits.radix()).ok();
    match read.filter(|n| (min..=max).contains(n)) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = format!("{digits} is outside its range");
            let help = format!("write a whole number from {min} to {max}");
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// A share: `0.25` or `"25%"`.
pub fn share(value: Value, report: &mut Report) -> Option<Located<f64>> {
    let read = match value.get_ref() {
        DeValue::String(text) => units::parse_percent(text),
        DeValue::Integer(_) | DeValue::Float(_) => figure(value),
        _ => return wrong_type(value, "a share, such as 0.2 or \"20%\"", report),
    };
    match read.filter(|share| (0.0..=1.0).contains(share)) {
        Some(share) => Some(Located::new(share, value.span())),
        None => {
            let help = "write a number from 0 to 1, or a text from \"0%\" to \"100%\"";
            report.push(Diagnostic::new(
                Code::ShareOutOfRange,
                value.span(),
                "this is no share of a whole",
                help,
            ));
            None
        }
    }
}

/// A rate: `"50/s"`, `"300/m"`; per second.
pub fn rate(value: Value, report: &mut Report) -> Option<Located<f64>> {
    let DeValue::String(text) = value.get_ref() else {
        return wrong_type(value, "a rate in quotes, such as \"50/s\"", report);
    };
    match units::parse_rate(text) {
        Some(rate) => Some(Located::new(rate, value.span())),
        None => {
            let message = format!("{text:?} is no rate");
            let help = "write a number and what it is for: `50/s`, `300/m`, `10/h`";
            report.push(Diagnostic::new(Code::InvalidRate, value.span(), message, help));
            None
        }
    }
}

/// A size in bytes: `"64KiB"`.
pub fn bytes(value: Value, (min, max): (u64, u64), report: &mut Report) -> Option<Located<u64>> {
    let DeValue::String(text) = value.get_ref() else {
        return wrong_type(value, "a size in quotes, such as \"64MiB\"", report);
    };
    match units::parse_bytes(text).filter(|n| (min..=max).contains(n)) {
        Some(n) => Some(Located::new(n, value.span())),
        None => {
            let message = format!("{text:?} is no size from {min}B to {max}B");
            let help = "write a whole number and `B`, `KiB`, `MiB` or `GiB`";
            report.push(Diagnostic::new(Code::NumberOutOfRange, value.span(), message, help));
            None
        }
    }
}

/// An address with its port.
pub fn address(value: Value, report: &mut Report) -> Option<Located<SocketAddr>> {
    let text = text(value, report)?;
    match text.value.parse() {
        Ok(address) => Some(Located::new(address, text.span)),
        Err(_) => {
            let message = format!("{:?} is no address with a port", text.value);
            let help = "write `127.0.0.1:8080` or `[::1]:8080`; names are not looked up";
            report.push(Diagnostic::new(Code::InvalidAddress, text.span, message, help));
            None
        }
    }
}

/// One of some words.
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
            let message = format!("`{}` is none of {}", text.value, list(&known));
            report.push(Diagnostic::new(Code::InvalidChoice, text.span, message, help));
            None
        }
    }
}

/// A list of anything.
pub fn array<'t>(value: Value<'t>, what: &str, report: &mut Report) -> Option<Vec<Value<'t>>> {
    match value.get_ref() {
        DeValue::Array(items) => Some(items.iter().collect()),
        _ => wrong_type(value, &format!("a list of {what}"), report),
    }
}

/// `false` for none, else the value that `read` parses.
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
