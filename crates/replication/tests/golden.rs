//! Messages between replicas and records on disk are compared byte for byte with golden files.
//!
//! Golden files are written only by `GOLDEN=write cargo test -p replication --test golden`. Otherwise a
//! missing or different file fails the test, which prints the first difference. The files are in
//! `tests/golden`:
//!
//! - `messages.txt` and `records.txt`: messages and records as CBOR, in every form in which they occur in the
//!   runs of `golden_files/plays.rs`. Each line of hexadecimal digits is one value; the comment above it is
//!   the same value in diagnostic notation. `messages.txt` predates the reports of slow disks and is not
//!   written again; the runs still produce all of its forms.
//! - `slow-disk-messages.txt`: messages of the forms that were added with the reports of slow disks.
//! - `old-messages.txt` and `old-records.txt`: the same values as older versions wrote them, without the
//!   fields that were added later.
//! - `leniency.txt`: which fields may be missing, and where unknown fields are ignored.
//! - `values.txt`: the values that the driver of a replica receives.
//! - `plays.txt`: the outputs of each run, as counts and a digest. They follow from the seeds. After an
//!   intended change of the simulation, only this file may be written again; the others are the formats that
//!   deployed machines use.

mod golden_files;
mod simulation;

use ciborium::Value;
use golden_files::cbor::{self, Place, Step, decode, encode, lines, name, parts};
use golden_files::plays::{RecordedRuns, record_runs};
use golden_files::{assert_matches_golden, golden_text};
use replication::{
    Change, Entry, Generation, Member, MemberId, Message, Record, RequestId, RequestOutcome, Sequence,
    Status, View, ViewNumber,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::sync::{Arc, LazyLock};

static RECORDED: LazyLock<RecordedRuns> = LazyLock::new(record_runs);

/// The text of `messages.txt`, which is never written again.
fn messages() -> String {
    golden_files::read("messages.txt")
}

fn records() -> String {
    cbor::text("What replicas keep on disk.", &RECORDED.records)
}

/// The forms in which these messages occur.
fn all_forms(messages: &[Value]) -> BTreeSet<String> {
    messages.iter().flat_map(cbor::forms).collect()
}

/// The messages that have a form which does not occur in `messages.txt`.
fn messages_of_new_forms(messages: &[Value]) -> Vec<Value> {
    let kept = all_forms(&golden_messages());
    messages.iter().filter(|message| !cbor::forms(message).is_subset(&kept)).cloned().collect()
}

fn golden_messages() -> Vec<Value> {
    values(&messages())
}

#[test]
fn messages_take_all_forms_of_the_golden_file() {
    let fresh = all_forms(&RECORDED.messages);
    let gone: Vec<String> = all_forms(&golden_messages()).difference(&fresh).cloned().collect();
    assert!(gone.is_empty(), "{gone:#?}");
}

#[test]
fn messages_of_new_forms_match_the_golden_file() {
    let new = messages_of_new_forms(&RECORDED.messages);
    assert_matches_golden("slow-disk-messages.txt", &cbor::text("What members with slow disks say.", &new));
}

#[test]
fn golden_messages_of_new_forms_round_trip() {
    let fresh =
        || cbor::text("What members with slow disks say.", &messages_of_new_forms(&RECORDED.messages));
    assert_round_trip::<Message>(&golden_text("slow-disk-messages.txt", fresh));
}

#[test]
fn records_match_the_golden_file() {
    assert_matches_golden("records.txt", &records());
}

#[test]
fn simulated_runs_match_the_golden_file() {
    assert_matches_golden("plays.txt", &RECORDED.summary);
}

/// Asserts that each value is encoded with the same bytes after it was decoded.
fn assert_round_trip<T: DeserializeOwned + Serialize + Debug>(text: &str) {
    let all = lines(text);
    assert!(!all.is_empty());
    for bytes in all {
        let value: T = decode(&bytes).unwrap_or_else(|error| panic!("{}: {error}", cbor::hex(&bytes)));
        assert_eq!(cbor::hex(&encode(&value)), cbor::hex(&bytes), "{value:?}");
    }
}

#[test]
fn golden_messages_round_trip() {
    assert_round_trip::<Message>(&messages());
}

#[test]
fn golden_records_round_trip() {
    assert_round_trip::<Record>(&golden_text("records.txt", records));
}

fn values(text: &str) -> Vec<Value> {
    lines(text).iter().map(|bytes| ciborium::from_reader(bytes.as_slice()).expect("CBOR")).collect()
}

/// The variants that are allowed at a place, if it holds an enum. Taken from the error message for an unknown
/// variant.
fn variants<T: DeserializeOwned + Debug>(value: &Value, place: &Place) -> Option<BTreeSet<String>> {
    let changed = cbor::with_part(value, place, Value::Text("no such".into()));
    let error = decode::<T>(&encode(&changed)).err()?;
    let (_, expected) = error.split_once("unknown variant `no such`, expected ")?;
    Some(expected.split('`').skip(1).step_by(2).map(String::from).collect())
}

/// The variant at a place that holds an enum.
fn variant(part: &Value) -> Option<String> {
    match part {
        Value::Text(name) => Some(name.clone()),
        Value::Map(entries) => entries.first()?.0.as_text().map(String::from),
        _ => None,
    }
}

/// The forms that the types allow at some place and that do not occur there: variants of enums, presence of
/// optional values, and both booleans.
fn missing_forms<T: DeserializeOwned + Debug>(values: &[Value]) -> Vec<String> {
    let mut allowed: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut seen: BTreeSet<(String, String)> = BTreeSet::new();
    for value in values {
        for (place, part) in parts(value) {
            let name = name(&place);
            let forms = allowed.entry(name.clone()).or_insert_with(|| {
                let mut forms = variants::<T>(value, &place).unwrap_or_default();
                let optional = cbor::is_readable::<T>(&cbor::with_part(value, &place, Value::Null));
                forms.extend(
                    optional.then(|| ["nothing", "something"].map(String::from)).into_iter().flatten(),
                );
                forms.extend(
                    part.is_bool().then(|| ["false", "true"].map(String::from)).into_iter().flatten(),
                );
                forms
            });
            if forms.is_empty() {
                continue;
            }
            let presence = if part.is_null() { "nothing" } else { "something" };
            seen.insert((name.clone(), presence.into()));
            seen.extend(variant(part).map(|variant| (name.clone(), variant)));
            seen.extend(part.as_bool().map(|value| (name, value.to_string())));
        }
    }
    let allowed =
        allowed.into_iter().flat_map(|(name, forms)| forms.into_iter().map(move |form| (name.clone(), form)));
    allowed.filter(|form| !seen.contains(form)).map(|(name, form)| format!("{name}: {form}")).collect()
}

/// Forms that messages never have although their types allow them: a copy has only committed entries, and an
/// unknown outcome is not sent as a response. ([`RequestOutcome::Unknown`] is among the values that the
/// driver receives.)
const NEVER_SENT: [&str; 3] = [
    "body.Copy.transfer.committed: nothing",
    "body.Copy.transfer.pending: something",
    "body.Reply.answer: Unclear",
];

/// Forms that records never have although their types allow them: the first view follows no other.
const NEVER_STORED: [&str; 1] = ["Identity.first_view.idle_since: something"];

#[test]
fn every_variant_occurs_in_golden_messages() {
    assert_eq!(missing_forms::<Message>(&golden_messages()), NEVER_SENT);
}

#[test]
fn every_variant_occurs_in_golden_records() {
    assert_eq!(missing_forms::<Record>(&values(&golden_text("records.txt", records))), NEVER_STORED);
}

/// Lists the fields that may be missing, and the maps that may contain unknown fields.
fn leniency<T: DeserializeOwned>(values: &[Value]) -> String {
    let (mut may_miss, mut must_have) = (BTreeSet::new(), BTreeSet::new());
    let (mut takes_more, mut takes_none) = (BTreeSet::new(), BTreeSet::new());
    let mut seen = BTreeSet::new();
    for value in values {
        for (place, part) in parts(value) {
            let Value::Map(entries) = part else { continue };
            for (key, _) in entries {
                let field = place.iter().cloned().chain(key.as_text().map(|key| Step::Key(key.into())));
                let field = name(&field.collect());
                if seen.insert(field.clone()) {
                    let lenient = cbor::is_readable::<T>(&cbor::without(value, &place, key));
                    if lenient { &mut may_miss } else { &mut must_have }.insert(field);
                }
            }
            let lenient = cbor::is_readable::<T>(&cbor::with_key(value, &place, "not known"));
            if lenient { &mut takes_more } else { &mut takes_none }.insert(name(&place));
        }
    }
    let list = |title: &str, names: BTreeSet<String>| {
        let names: String = names.iter().map(|name| format!("{name}\n")).collect();
        format!("## {title}\n{names}")
    };
    [
        list("may be missing", may_miss),
        list("must be there", must_have),
        list("may hold what is not known", takes_more),
        list("is the name of a variant with its content", takes_none),
    ]
    .concat()
}

#[test]
fn decoders_are_as_lenient_as_before() {
    let messages = leniency::<Message>(&golden_messages());
    let records = leniency::<Record>(&values(&golden_text("records.txt", records)));
    assert_matches_golden("leniency.txt", &format!("# Messages\n{messages}\n# Records\n{records}"));
}

/// Whether the map has all these keys.
fn has(entries: &[(Value, Value)], keys: &[&str]) -> bool {
    keys.iter().all(|key| entries.iter().any(|(name, _)| name.as_text() == Some(key)))
}

/// Fields that were added later, each with the other fields that identify its map.
const LATER_FIELDS: [(&str, &[&str]); 4] = [
    ("idle_since", &["number", "voters", "chain"]),
    ("generation", &["sequence", "view", "digest"]),
    ("forgotten", &["base", "keys", "committed", "pending"]),
    ("renounced", &["slot", "ballot"]),
];

/// The value as the first versions wrote it.
fn old_form(value: &Value) -> Value {
    match value {
        Value::Array(items) => Value::Array(items.iter().map(old_form).collect()),
        Value::Map(entries) => {
            let came_later = |key: &Value| {
                let field = LATER_FIELDS.iter().find(|(name, _)| key.as_text() == Some(name));
                field.is_some_and(|(_, others)| has(entries, others))
            };
            let old = entries.iter().filter(|(key, _)| !came_later(key));
            Value::Map(old.map(|(key, item)| (key.clone(), old_form(item))).collect())
        }
        other => other.clone(),
    }
}

/// The old forms of the values that have one, each followed by its new encoding after it was decoded.
fn old_forms<T: DeserializeOwned + Serialize>(title: &str, values: &[Value]) -> String {
    let mut text =
        format!("# {title} Each first as it was, then as it is written by a program that has read it so.\n");
    for value in values {
        let old = old_form(value);
        if old != *value {
            let read: T = decode(&encode(&old)).expect("the old form is read");
            let line = cbor::text(&cbor::diagnostic(&old), std::slice::from_ref(&old));
            text += &format!(
                "{}{}\n",
                line.split_once('\n').map_or("", |(_, rest)| rest),
                cbor::hex(&encode(&read))
            );
        }
    }
    text
}

/// Asserts that in each pair the old form is decoded as the same value as the new one, which is encoded
/// unchanged.
fn assert_old_forms_are_read<T: DeserializeOwned + Serialize + PartialEq + Debug>(text: &str) {
    let all = lines(text);
    assert!(!all.is_empty() && all.len().is_multiple_of(2));
    let old: Vec<Value> = all.iter().step_by(2).map(|bytes| decode(bytes).expect("CBOR")).collect();
    for (name, others) in LATER_FIELDS {
        let is_without =
            |part: &Value| part.as_map().is_some_and(|map| has(map, others) && !has(map, &[name]));
        let occurs = old.iter().any(|value| parts(value).iter().any(|(_, part)| is_without(part)));
        let is_stored_only =
            name == "renounced" && std::any::type_name::<T>() == std::any::type_name::<Message>();
        assert!(occurs || is_stored_only, "no old form without {name}");
    }
    for pair in all.chunks(2) {
        let [old, new] = pair else { unreachable!("pairs") };
        let (from_old, from_new): (T, T) = (decode(old).expect("old"), decode(new).expect("new"));
        assert_eq!(from_old, from_new);
        assert_eq!(cbor::hex(&encode(&from_old)), cbor::hex(new));
        assert_ne!(old, new);
    }
}

#[test]
fn messages_of_older_programs_are_read() {
    let fresh = || old_forms::<Message>("Messages of older programs.", &golden_messages());
    assert_matches_golden("old-messages.txt", &fresh());
    assert_old_forms_are_read::<Message>(&golden_text("old-messages.txt", fresh));
}

#[test]
fn records_of_older_programs_are_read() {
    let fresh =
        || old_forms::<Record>("Records of older programs.", &values(&golden_text("records.txt", records)));
    assert_matches_golden("old-records.txt", &fresh());
    assert_old_forms_are_read::<Record>(&golden_text("old-records.txt", fresh));
}

fn member(number: u8) -> Member {
    Member {
        id: MemberId(u64::from(number) << 56 | 7),
        address: std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7680),
        zone: if number == 3 { String::new() } else { format!("zone-{number}") },
    }
}

fn view(idle_since: Option<u64>) -> View {
    View {
        number: ViewNumber(12),
        voters: [1, 2, 3].map(member).to_vec(),
        chain: vec![member(2).id, member(1).id],
        idle_since: idle_since.map(ViewNumber),
    }
}

fn entry() -> Entry {
    let document = Arc::new(ByteBuf::from(br#"{"generation":300}"#.to_vec()));
    let digest = std::array::from_fn(|at| at as u8 * 8);
    Entry {
        sequence: Sequence(70_000),
        view: ViewNumber(11),
        change: Change { base: Generation(299), generation: Generation(300), digest, document },
    }
}

/// The name of each outcome in the golden file. A new outcome has to be added here and below.
fn outcome_name(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Committed { sequence: _ } => "Taken",
        RequestOutcome::Conflict { current: _ } => "Conflict",
        RequestOutcome::NotHigher { current: _ } => "NotHigher",
        RequestOutcome::TooOld { current: _ } => "TooOld",
        RequestOutcome::Current(None) => "Current, nothing",
        RequestOutcome::Current(Some(_)) => "Current",
        RequestOutcome::ReadIndex { sequence: _ } => "Proven",
        RequestOutcome::Unknown => "Unclear",
    }
}

fn outcomes() -> [RequestOutcome; 8] {
    [
        RequestOutcome::Committed { sequence: Sequence(70_000) },
        RequestOutcome::Conflict { current: Generation(301) },
        RequestOutcome::NotHigher { current: Generation(300) },
        RequestOutcome::TooOld { current: Generation(302) },
        RequestOutcome::Current(None),
        RequestOutcome::Current(Some(entry())),
        RequestOutcome::ReadIndex { sequence: Sequence(5) },
        RequestOutcome::Unknown,
    ]
}

fn status(view: Option<View>) -> Status {
    let has_quorum_contact = view.is_some();
    Status {
        id: member(2).id,
        view,
        stored: Sequence(70_001),
        committed: Sequence(70_000),
        generation: Generation(300),
        has_quorum_contact,
    }
}

/// The golden lines of a value, after a check that it is decoded as the same value.
fn line<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> String {
    let bytes = encode(value);
    let again: T = decode(&bytes).expect("it is read");
    assert_eq!(&again, value);
    let read: Value = decode(&bytes).expect("CBOR");
    format!("# {name}: {}\n{}\n", cbor::diagnostic(&read), cbor::hex(&bytes))
}

#[test]
fn interface_values_match_the_golden_file() {
    let mut text = String::from("# What the driver of a replica sees.\n");
    text += &line("MemberId", &member(1).id);
    text += &line("Member", &member(1));
    text += &line("Member without a zone", &member(3));
    text += &line("CallId", &RequestId(9));
    text += &line("Change", &entry().change);
    text += &line("Entry", &entry());
    text += &line("View", &view(None));
    text += &line("View after idle ones", &view(Some(8)));
    outcomes().iter().for_each(|outcome| text += &line(outcome_name(outcome), outcome));
    text += &line("Status", &status(Some(view(Some(8)))));
    text += &line("Status without a view", &status(None));
    assert_matches_golden("values.txt", &text);
    let names: BTreeSet<&str> = outcomes().iter().map(outcome_name).collect();
    assert_eq!(names.len(), outcomes().len());
    let old: Value = old_form(&decode(&encode(&view(None))).expect("CBOR"));
    assert_eq!(decode::<View>(&encode(&old)), Ok(view(None)));
}
