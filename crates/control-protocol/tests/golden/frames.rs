//! Golden files of frames. Each frame has a title, its diagnostic notation, and its bytes in hexadecimal,
//! which are decoded into the message's type and encoded again.
#![allow(dead_code)] // not every test file that includes this uses all of it

use crate::compare;
use bytes::BytesMut;
use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::{Debug, Write};

/// The size of the length at the beginning of a frame.
const LENGTH_BYTES: usize = 4;
/// The number of bytes on each line of hexadecimal digits.
const BYTES_PER_LINE: usize = 48;

/// Sample messages of one type and the golden file of their frames.
pub struct Messages<'m, M> {
    /// The name of the golden file.
    pub file: &'m str,
    /// A description of the messages, for the first line of the file.
    pub about: &'m str,
    /// The messages with their titles.
    pub samples: Vec<(&'m str, M)>,
    /// The name of a message's variant on the wire. Must be an exhaustive match, so that a new variant does
    /// not compile without a name.
    pub variant: fn(&M) -> &'static str,
    /// The names of all variants on the wire.
    pub variants: &'m [&'m str],
}

impl<M: Serialize + DeserializeOwned + PartialEq + Debug> Messages<'_, M> {
    /// Asserts that the samples contain every variant under its name on the wire, that the frame of each
    /// sample equals the approved one, and that this frame is decoded into the sample and encoded into the
    /// same bytes again.
    pub fn assert_match_golden(&self) {
        let mut seen = BTreeSet::new();
        let mut frames = Vec::new();
        for (title, message) in &self.samples {
            let frame = control_protocol::encode(message).expect("a frame");
            let variant = (self.variant)(message);
            assert_eq!(name_on_wire(&frame), variant, "{title}");
            seen.insert(variant);
            frames.push((*title, frame));
        }
        assert_eq!(
            seen,
            self.variants.iter().copied().collect(),
            "{}: variants among the samples",
            self.file
        );
        compare::assert_matches_golden(self.file, &text(self.about, &frames));
        let approved = read(self.file);
        assert_eq!(approved.len(), self.samples.len());
        for ((title, message), frame) in self.samples.iter().zip(approved) {
            assert_eq!(&decoded::<M>(&frame), message, "{title}");
            assert_eq!(control_protocol::encode(message).expect("a frame"), frame, "{title}");
        }
    }
}

/// Asserts that frames of older versions, which lack some fields, are still decoded into these messages.
pub fn assert_old_frames_decode<M: DeserializeOwned + PartialEq + Debug>(
    file: &str,
    about: &str,
    samples: &[(&str, Vec<u8>, M)],
) {
    let frames: Vec<(&str, Vec<u8>)> =
        samples.iter().map(|(title, frame, _)| (*title, frame.clone())).collect();
    compare::assert_matches_golden(file, &text(about, &frames));
    let approved = read(file);
    assert_eq!(approved.len(), samples.len());
    for ((title, _, message), frame) in samples.iter().zip(approved) {
        assert_eq!(&decoded::<M>(&frame), message, "{title}");
    }
}

/// The message of a frame, which must not be followed by other bytes.
pub fn decoded<M: DeserializeOwned>(frame: &[u8]) -> M {
    let mut buffer = BytesMut::from(frame);
    let message = control_protocol::decode(&mut buffer).expect("a valid frame").expect("a complete frame");
    assert!(buffer.is_empty(), "{} bytes remain", buffer.len());
    message
}

/// The frame of a message from which a field is removed, at every level.
pub fn without(message: &impl Serialize, field: &str) -> Vec<u8> {
    let mut value = value(&control_protocol::encode(message).expect("a frame"));
    assert!(remove(&mut value, field) > 0, "there is no field {field}");
    let mut body = Vec::new();
    ciborium::into_writer(&value, &mut body).expect("CBOR");
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Removes a field at every level. Returns how often it occurred.
fn remove(value: &mut Value, field: &str) -> usize {
    match value {
        Value::Map(entries) => {
            let all = entries.len();
            entries.retain(|(key, _)| key.as_text() != Some(field));
            let removed = all - entries.len();
            removed + entries.iter_mut().map(|(_, value)| remove(value, field)).sum::<usize>()
        }
        Value::Array(values) => values.iter_mut().map(|value| remove(value, field)).sum(),
        _ => 0,
    }
}

/// The frames of a golden file.
pub fn read(file: &str) -> Vec<Vec<u8>> {
    let text = compare::read(file);
    let mut frames: Vec<Vec<u8>> = Vec::new();
    for line in text.lines() {
        if line.starts_with("## ") {
            frames.push(Vec::new());
        } else if !line.is_empty() && line.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let digits: Vec<char> = line.chars().collect();
            let byte = |pair: &[char]| {
                let pair: String = pair.iter().collect();
                u8::from_str_radix(&pair, 16).expect("two digits")
            };
            frames.last_mut().expect("a title before it").extend(digits.chunks(2).map(byte));
        }
    }
    frames
}

/// The text of a golden file with these frames.
fn text(about: &str, frames: &[(&str, Vec<u8>)]) -> String {
    let mut text = format!("# {about}\n");
    for (title, frame) in frames {
        write!(text, "\n## {title}\n= {}\n", diagnostic(&value(frame))).expect("to a text");
        for line in frame.chunks(BYTES_PER_LINE) {
            let digits: String = line.iter().map(|byte| format!("{byte:02x}")).collect();
            writeln!(text, "{digits}").expect("to a text");
        }
    }
    text
}

fn value(frame: &[u8]) -> Value {
    let (length, body) = frame.split_first_chunk::<LENGTH_BYTES>().expect("a length");
    assert_eq!(u32::from_be_bytes(*length) as usize, body.len(), "the length of a frame");
    ciborium::from_reader(body).expect("CBOR")
}

/// The name of a variant on the wire: a text, or the key of a map with a single entry.
fn name_on_wire(frame: &[u8]) -> String {
    match value(frame) {
        Value::Text(name) => name,
        Value::Map(entries) => match entries.as_slice() {
            [(Value::Text(name), _)] => name.clone(),
            _ => panic!("not a map with one entry: {entries:?}"),
        },
        other => panic!("not a variant: {other:?}"),
    }
}

/// The diagnostic notation of CBOR (RFC 8949, section 8), for the types of values that messages contain.
fn diagnostic(value: &Value) -> String {
    let joined = |parts: Vec<String>| parts.join(", ");
    match value {
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => format!("{number:?}"),
        Value::Bool(boolean) => boolean.to_string(),
        Value::Null => "null".to_owned(),
        Value::Text(text) => format!("{text:?}"),
        Value::Bytes(bytes) => {
            let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("h'{digits}'")
        }
        Value::Array(values) => format!("[{}]", joined(values.iter().map(diagnostic).collect())),
        Value::Map(entries) => {
            let entry = |(key, value): &(Value, Value)| format!("{}: {}", diagnostic(key), diagnostic(value));
            format!("{{{}}}", joined(entries.iter().map(entry).collect()))
        }
        other => panic!("not a type of value in a message: {other:?}"),
    }
}
