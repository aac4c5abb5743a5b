//! Reads the faults of a plan.

use super::MAX_BYTES;
use super::names::{Names, PlacedParticipant, is_backend, is_node, name_list};
use super::values::{ZeroDuration, duration_range, or_default, push};
use crate::plan::{
    Direction, Directions, DurationRange, Fault, FaultAction, FaultTrigger, LinkFault, NodeKind, Participant,
};
use route_config::diagnostic::{Code, Report};
use route_config::model::Located;
use route_config::read::{self, Section, Value};
use std::ops::Range;
use std::time::Duration;

/// The largest number of requests after which a fault begins.
const MAX_REQUESTS: u64 = 1_000_000;

/// The value of `do`.
#[derive(Clone, Copy, PartialEq)]
enum FaultWord {
    Kill,
    Restart,
    Stop,
    Drain,
    Leave,
    Link(LinkWord),
}

#[derive(Clone, Copy, PartialEq)]
enum LinkWord {
    Hold,
    Lose,
    Delay,
    Slow,
    Reset,
    Cut,
    HalfOpen,
    CutAfter,
}

const WORDS: [(&str, FaultWord); 13] = [
    ("kill", FaultWord::Kill),
    ("restart", FaultWord::Restart),
    ("stop", FaultWord::Stop),
    ("drain", FaultWord::Drain),
    ("leave", FaultWord::Leave),
    ("hold", FaultWord::Link(LinkWord::Hold)),
    ("lose", FaultWord::Link(LinkWord::Lose)),
    ("delay", FaultWord::Link(LinkWord::Delay)),
    ("slow", FaultWord::Link(LinkWord::Slow)),
    ("reset", FaultWord::Link(LinkWord::Reset)),
    ("cut", FaultWord::Link(LinkWord::Cut)),
    ("half-open", FaultWord::Link(LinkWord::HalfOpen)),
    ("cut-after", FaultWord::Link(LinkWord::CutAfter)),
];

/// The keys of a fault, each read by itself.
struct FaultFields<'t> {
    /// The place of the fault.
    span: Range<usize>,
    word: Option<Located<FaultWord>>,
    targets: Vec<PlacedParticipant>,
    at: Option<DurationRange>,
    taken: Option<Located<u64>>,
    by: Option<Located<String>>,
    after: Option<Located<u64>>,
    lasts: Option<DurationRange>,
    to: Vec<Value<'t>>,
    gradually: Option<Located<Duration>>,
    directions: Directions,
    delay: Option<DurationRange>,
    bytes: Option<Located<u64>>,
}

/// Reads one fault. `fault_count` is the number of faults that the plan has.
pub(super) fn read_fault(
    section: Section,
    names: &Names,
    node_kind: &NodeKind,
    fault_count: usize,
    report: &mut Report,
) -> Option<Fault> {
    let mut fields = FaultFields::read(section, names, fault_count, report);
    let trigger = fields.trigger(names, report)?;
    let word = fields.word.as_ref()?.value;
    let to = names.resolve_all(std::mem::take(&mut fields.to), report);
    fields.check_targets(word, report);
    let action = match word {
        FaultWord::Kill => FaultAction::Kill,
        FaultWord::Restart => FaultAction::Restart,
        FaultWord::Stop => FaultAction::Pause,
        FaultWord::Leave => FaultAction::StopBackend,
        FaultWord::Drain => fields.drain(to, report)?,
        FaultWord::Link(word) => fields.disturb_links(word, to, node_kind, report)?,
    };
    if fields.targets.is_empty() {
        return None;
    }
    if let (Some(gradually), false) = (&fields.gradually, matches!(word, FaultWord::Link(_))) {
        let help = "leave it out: it says how links heal";
        push(report, Code::InvalidChoice, gradually.span.clone(), "this fault is of no link".into(), help);
    }
    let recovery_time = fields.gradually.map_or(Duration::ZERO, |time| time.value);
    let targets = participants(fields.targets);
    Some(Fault { trigger, action, targets, duration: fields.lasts, recovery_time })
}

fn participants(placed: Vec<PlacedParticipant>) -> Vec<Participant> {
    placed.into_iter().map(|placed| placed.participant).collect()
}

impl<'t> FaultFields<'t> {
    fn read(mut section: Section<'t>, names: &Names, fault_count: usize, report: &mut Report) -> Self {
        let span = section.span.clone();
        let word = section.required("do", "\"kill\"", report).and_then(|v| read::choice(v, &WORDS, report));
        let targets = section.required("of", "[\"node-1\"]", report).and_then(|v| name_list(v, report));
        let targets = names.resolve_all(targets.unwrap_or_default(), report);
        let at = section.get("at").and_then(|v| duration_range(v, ZeroDuration::Allowed, report));
        let taken = section.get("taken").and_then(|v| read::count(v, (1, MAX_REQUESTS), report));
        let by = section.get("by").and_then(|v| read::text(v, report));
        let after = section.get("after").and_then(|v| read::count(v, (1, fault_count as u64), report));
        let lasts = section.get("lasts").and_then(|v| duration_range(v, ZeroDuration::Rejected, report));
        let to = section.get("to").and_then(|v| name_list(v, report)).unwrap_or_default();
        let gradually = section.get("gradually").and_then(|v| read::duration(v, false, report));
        let directions = [
            ("there", Directions::Only(Direction::Request)),
            ("back", Directions::Only(Direction::Response)),
            ("both", Directions::Both),
        ];
        let directions = or_default(section.get("way"), Directions::Both, |v| {
            Some(read::choice(v, &directions, report)?.value)
        });
        let delay = section.get("delay").and_then(|v| duration_range(v, ZeroDuration::Rejected, report));
        let bytes = section.get("bytes").and_then(|v| read::bytes(v, (1, MAX_BYTES), report));
        section.finish(report);
        FaultFields {
            span,
            word,
            targets,
            at,
            taken,
            by,
            after,
            lasts,
            to,
            gradually,
            directions,
            delay,
            bytes,
        }
    }

    fn trigger(&self, names: &Names, report: &mut Report) -> Option<FaultTrigger> {
        match (self.at, &self.taken, &self.by, &self.after) {
            (Some(at), None, None, None) => Some(FaultTrigger::At(at)),
            (at, None, None, Some(number)) => Some(FaultTrigger::AfterFault {
                fault: number.value as usize - 1,
                delay: at.unwrap_or(DurationRange::fixed(Duration::ZERO)),
            }),
            (None, Some(taken), Some(by), None) => match names.resolve(by, report)? {
                Participant::Named(node) if node.starts_with("node-") => {
                    Some(FaultTrigger::AfterRequests { node, count: taken.value })
                }
                _ => {
                    let what = "only a node takes requests".into();
                    push(report, Code::InvalidChoice, by.span.clone(), what, "name a node");
                    None
                }
            },
            _ => {
                let help = "write `at = \"2s\"`, or `taken = 200` with `by = \"node-1\"`, or `after = 1` with or without `at`";
                let what = "when this fault begins is not said, or twice".into();
                push(report, Code::MissingKey, self.span.clone(), what, help);
                None
            }
        }
    }

    /// Reports targets that the fault can't concern.
    fn check_targets(&self, word: FaultWord, report: &mut Report) {
        let is_possible: fn(&Participant) -> bool = match word {
            FaultWord::Leave => is_backend,
            FaultWord::Link(_) => |target| is_node(target) || *target == Participant::Clients,
            _ => is_node,
        };
        let help =
            if word == FaultWord::Leave { "name a box" } else { "name a node, or `clients` for a link" };
        for target in self.targets.iter().filter(|target| !is_possible(&target.participant)) {
            push(report, Code::InvalidChoice, target.span.clone(), "this can't befall it".into(), help);
        }
    }

    fn drain(&self, to: Vec<PlacedParticipant>, report: &mut Report) -> Option<FaultAction> {
        if to.is_empty() || !to.iter().all(|to| is_backend(&to.participant)) {
            let what = "which box drains is not said".into();
            push(report, Code::MissingKey, self.span.clone(), what, "add `to = \"box-1\"`");
            return None;
        }
        Some(FaultAction::Drain(participants(to)))
    }

    fn disturb_links(
        &self,
        word: LinkWord,
        to: Vec<PlacedParticipant>,
        node_kind: &NodeKind,
        report: &mut Report,
    ) -> Option<FaultAction> {
        if to.is_empty() {
            let help = "add `to = \"box-1\"`, a node for `clients`, or `discovery`";
            let what = "where the link leads is not said".into();
            push(report, Code::MissingKey, self.span.clone(), what, help);
            return None;
        }
        let from_clients = self.targets.iter().any(|target| target.participant == Participant::Clients);
        for PlacedParticipant { participant, span } in &to {
            if from_clients != is_node(participant) || *participant == Participant::Clients {
                let help = "clients connect to nodes; nodes to boxes and to discovery";
                push(report, Code::InvalidChoice, span.clone(), "there is no such link".into(), help);
            }
            if *participant == Participant::Discovery && *node_kind != NodeKind::Platform {
                let help = "write `kind = \"platform\"` for the nodes";
                let what = "nodes from a file call no discovery".into();
                push(report, Code::InvalidChoice, span.clone(), what, help);
            }
        }
        let fault = self.link_fault(word, report)?;
        Some(FaultAction::DisturbLinks { to: participants(to), fault })
    }

    fn link_fault(&self, word: LinkWord, report: &mut Report) -> Option<LinkFault> {
        match word {
            LinkWord::Hold => Some(LinkFault::Stall(self.directions)),
            LinkWord::Lose => Some(LinkFault::Drop(self.directions)),
            LinkWord::Reset => Some(LinkFault::Reset),
            LinkWord::Cut => Some(LinkFault::Cut),
            LinkWord::HalfOpen => Some(LinkFault::HalfOpen),
            LinkWord::Delay => {
                let DurationRange { min, max } =
                    self.required(self.delay, "delay", "[\"20ms\", \"60ms\"]", report)?;
                Some(LinkFault::Delay { min, jitter: max - min })
            }
            LinkWord::Slow => Some(LinkFault::Throttle(self.required_bytes(report)?)),
            LinkWord::CutAfter => Some(LinkFault::CutAfter(self.required_bytes(report)?)),
        }
    }

    fn required_bytes(&self, report: &mut Report) -> Option<u64> {
        let bytes = self.bytes.as_ref().map(|bytes| bytes.value);
        self.required(bytes, "bytes", "\"16KiB\"", report)
    }

    /// The value of a key that the fault needs; a missing one is reported.
    fn required<T>(&self, value: Option<T>, key: &str, example: &str, report: &mut Report) -> Option<T> {
        if value.is_none() {
            let what = format!("this fault has no `{key}`");
            push(report, Code::MissingKey, self.span.clone(), what, &format!("add `{key} = {example}`"));
        }
        value
    }
}
