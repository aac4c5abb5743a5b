//! Conversions between CBOR bytes and text, and the forms in which values occur.

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Encodes a value as in records and frames.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("it can be encoded");
    bytes
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}

/// Whether a changed value can still be read.
pub fn is_readable<T: DeserializeOwned>(value: &Value) -> bool {
    decode::<T>(&encode(value)).is_ok()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| text.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    (0..text.len()).step_by(2).map(|at| digits(at).expect("hexadecimal digits")).collect()
}

/// The byte lines of a golden file, without its comments.
pub fn lines(text: &str) -> Vec<Vec<u8>> {
    text.lines().filter(|line| !line.starts_with('#')).map(unhex).collect()
}

/// A value in CBOR's diagnostic notation.
pub fn diagnostic(value: &Value) -> String {
    let list = |items: Vec<String>| items.join(", ");
    match value {
        Value::Null => "null".into(),
        Value::Bool(value) => value.to_string(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Bytes(bytes) => format!("h'{}'", hex(bytes)),
        Value::Text(text) => format!("{text:?}"),
        Value::Array(items) => format!("[{}]", list(items.iter().map(diagnostic).collect())),
        Value::Map(entries) => {
            let entry = |(key, value): &(Value, Value)| format!("{}: {}", diagnostic(key), diagnostic(value));
            format!("{{{}}}", list(entries.iter().map(entry).collect()))
        }
        other => panic!("unexpected CBOR value: {other:?}"),
    }
}

/// A step from a value to a part of it.
#[derive(Clone, Debug)]
pub enum Step {
    Key(String),
    Item(usize),
}

pub type Place = Vec<Step>;

/// The name of a place: the same for all items of a list.
pub fn name(place: &Place) -> String {
    let part = |step: &Step| match step {
        Step::Key(key) => key.clone(),
        Step::Item(_) => "[]".into(),
    };
    place.iter().map(part).collect::<Vec<_>>().join(".")
}

/// The value itself and all its parts, with their places.
pub fn parts(value: &Value) -> Vec<(Place, &Value)> {
    let mut parts = Vec::new();
    collect(value, &Vec::new(), &mut parts);
    parts
}

fn collect<'a>(value: &'a Value, place: &Place, parts: &mut Vec<(Place, &'a Value)>) {
    parts.push((place.clone(), value));
    let below = |step: Step| place.iter().cloned().chain([step]).collect::<Place>();
    match value {
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(at, item)| collect(item, &below(Step::Item(at)), parts));
        }
        Value::Map(entries) => {
            for (key, item) in entries {
                let key = key.as_text().expect("keys are texts").to_string();
                collect(item, &below(Step::Key(key)), parts);
            }
        }
        _ => {}
    }
}

/// The part at a place.
pub fn part_mut<'a>(value: &'a mut Value, place: &[Step]) -> &'a mut Value {
    let Some((step, rest)) = place.split_first() else { return value };
    let part = match (step, value) {
        (Step::Item(at), Value::Array(items)) => &mut items[*at],
        (Step::Key(key), Value::Map(entries)) => {
            let found = entries.iter_mut().find(|(name, _)| name.as_text() == Some(key));
            &mut found.expect("the key is there").1
        }
        _ => panic!("no such place"),
    };
    part_mut(part, rest)
}

/// The value with another part at a place.
pub fn with_part(value: &Value, place: &[Step], part: Value) -> Value {
    let mut changed = value.clone();
    *part_mut(&mut changed, place) = part;
    changed
}

/// The value without one key of the map at a place.
pub fn without(value: &Value, place: &[Step], key: &Value) -> Value {
    let mut changed = value.clone();
    if let Value::Map(entries) = part_mut(&mut changed, place) {
        entries.retain(|(name, _)| name != key);
    }
    changed
}

/// The value with one more key in the map at a place.
pub fn with_key(value: &Value, place: &[Step], key: &str) -> Value {
    let mut changed = value.clone();
    if let Value::Map(entries) = part_mut(&mut changed, place) {
        entries.push((key.into(), Value::Null));
    }
    changed
}

/// The forms of a value and its parts: variants, presence, booleans, and whether numbers, texts and lists are
/// empty. A text that begins with a capital letter is a variant; names of zones do not.
pub fn forms(value: &Value) -> BTreeSet<String> {
    parts(value).into_iter().map(|(place, part)| format!("{}: {}", name(&place), form(part))).collect()
}

fn form(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(value) => value.to_string(),
        Value::Integer(number) if i128::from(*number) == 0 => "0".into(),
        Value::Integer(_) => "a number".into(),
        Value::Bytes(_) => "bytes".into(),
        Value::Text(text) if text.starts_with(|first: char| first.is_ascii_uppercase()) => text.clone(),
        Value::Text(text) => if text.is_empty() { "an empty text" } else { "a text" }.into(),
        Value::Array(items) => if items.is_empty() { "an empty list" } else { "a list" }.into(),
        Value::Map(_) => "a map".into(),
        other => panic!("unexpected CBOR value: {other:?}"),
    }
}

/// A small selection of values that have all forms of all offered values.
#[derive(Default)]
pub struct Selection {
    seen: BTreeSet<String>,
    chosen: Vec<(BTreeSet<String>, Value)>,
}

impl Selection {
    /// Chooses a value if it has a form that no value before it has.
    pub fn offer(&mut self, value: Value) {
        let forms = forms(&value);
        if !forms.is_subset(&self.seen) {
            self.seen.extend(forms.iter().cloned());
            self.chosen.push((forms, value));
        }
    }

    /// The chosen values, without those whose forms all occur in the others.
    pub fn finish(mut self) -> Vec<Value> {
        let mut at = 0;
        while at < self.chosen.len() {
            let others = self.chosen.iter().enumerate().filter(|(other, _)| *other != at);
            let covered: BTreeSet<&String> = others.flat_map(|(_, (forms, _))| forms).collect();
            if self.chosen[at].0.iter().all(|form| covered.contains(form)) {
                self.chosen.remove(at);
            } else {
                at += 1;
            }
        }
        self.chosen.into_iter().map(|(_, value)| value).collect()
    }
}

/// The text of a golden file with these values: for each one, its diagnostic notation as a comment, and its
/// bytes.
pub fn text(title: &str, values: &[Value]) -> String {
    let line = |value: &Value| format!("# {}\n{}\n", diagnostic(value), hex(&encode(value)));
    format!("# {title}\n{}", values.iter().map(line).collect::<String>())
}
