//! Reads the `[[fault]]` tables of a plan.

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

/// The largest number of requests that may trigger a fault.
const MAX_REQUESTS: u64 = 1_000_000;

/// The fault that the value of `do` names.
#[derive(Clone, Copy, PartialEq)]
enum FaultKeyword {
    Kill,
    Restart,
    Pause,
    Drain,
    StopBackend,
    Link(LinkKeyword),
}

/// The link fault that the value of `do` names.
#[derive(Clone, Copy, PartialEq)]
enum LinkKeyword {
    Stall,
    Drop,
    Delay,
    Throttle,
    Reset,
    Cut,
    HalfOpen,
    CutAfter,
}

const KEYWORDS: [(&str, FaultKeyword); 13] = [
    ("kill", FaultKeyword::Kill),
    ("restart", FaultKeyword::Restart),
    ("stop", FaultKeyword::Pause),
    ("drain", FaultKeyword::Drain),
    ("leave", FaultKeyword::StopBackend),
    ("hold", FaultKeyword::Link(LinkKeyword::Stall)),
    ("lose", FaultKeyword::Link(LinkKeyword::Drop)),
    ("delay", FaultKeyword::Link(LinkKeyword::Delay)),
    ("slow", FaultKeyword::Link(LinkKeyword::Throttle)),
    ("reset", FaultKeyword::Link(LinkKeyword::Reset)),
    ("cut", FaultKeyword::Link(LinkKeyword::Cut)),
    ("half-open", FaultKeyword::Link(LinkKeyword::HalfOpen)),
    ("cut-after", FaultKeyword::Link(LinkKeyword::CutAfter)),
];

/// The values of a fault's keys, not yet checked against each other.
struct FaultFields<'t> {
    /// The position of the fault's table in the text.
    span: Range<usize>,
    keyword: Option<Located<FaultKeyword>>,
    targets: Vec<PlacedParticipant>,
    at: Option<DurationRange>,
    /// The value of `taken`.
    request_count: Option<Located<u64>>,
    /// The value of `by`.
    counting_node: Option<Located<String>>,
    /// The value of `after`: the number of another fault, from 1.
    after_fault: Option<Located<u64>>,
    /// The value of `lasts`.
    duration: Option<DurationRange>,
    to: Vec<Value<'t>>,
    /// The value of `gradually`.
    recovery_time: Option<Located<Duration>>,
    directions: Directions,
    delay: Option<DurationRange>,
    bytes: Option<Located<u64>>,
}

/// Reads one fault; `None` if it is invalid. `fault_count` is the number of faults in the plan.
pub(super) fn read_fault(
    section: Section,
    names: &Names,
    node_kind: &NodeKind,
    fault_count: usize,
    report: &mut Report,
) -> Option<Fault> {
    let mut fields = FaultFields::read(section, names, fault_count, report);
    let trigger = fields.trigger(names, report)?;
    let keyword = fields.keyword.as_ref()?.value;
    let to = names.resolve_all(std::mem::take(&mut fields.to), report);
    fields.check_targets(keyword, report);
    let action = match keyword {
        FaultKeyword::Kill => FaultAction::Kill,
        FaultKeyword::Restart => FaultAction::Restart,
        FaultKeyword::Pause => FaultAction::Pause,
        FaultKeyword::StopBackend => FaultAction::StopBackend,
        FaultKeyword::Drain => fields.drain(to, report)?,
        FaultKeyword::Link(keyword) => fields.disturb_links(keyword, to, node_kind, report)?,
    };
    if fields.targets.is_empty() {
        return None;
    }
    if let (Some(recovery_time), false) = (&fields.recovery_time, matches!(keyword, FaultKeyword::Link(_))) {
        let help = "leave it out";
        push(
            report,
            Code::InvalidChoice,
            recovery_time.span.clone(),
            "`gradually` applies only to faults of links".into(),
            help,
        );
    }
    let recovery_time = fields.recovery_time.map_or(Duration::ZERO, |time| time.value);
    let targets = participants(fields.targets);
    Some(Fault { trigger, action, targets, duration: fields.duration, recovery_time })
}

fn participants(placed: Vec<PlacedParticipant>) -> Vec<Participant> {
    placed.into_iter().map(|placed| placed.participant).collect()
}

impl<'t> FaultFields<'t> {
    fn read(mut section: Section<'t>, names: &Names, fault_count: usize, report: &mut Report) -> Self {
        let span = section.span.clone();
        let keyword =
            section.required("do", "\"kill\"", report).and_then(|v| read::choice(v, &KEYWORDS, report));
        let targets = section.required("of", "[\"node-1\"]", report).and_then(|v| name_list(v, report));
        let targets = names.resolve_all(targets.unwrap_or_default(), report);
        let at = section.get("at").and_then(|v| duration_range(v, ZeroDuration::Allowed, report));
        let request_count = section.get("taken").and_then(|v| read::count(v, (1, MAX_REQUESTS), report));
        let counting_node = section.get("by").and_then(|v| read::text(v, report));
        let after_fault = section.get("after").and_then(|v| read::count(v, (1, fault_count as u64), report));
        let duration = section.get("lasts").and_then(|v| duration_range(v, ZeroDuration::Rejected, report));
        let to = section.get("to").and_then(|v| name_list(v, report)).unwrap_or_default();
        let recovery_time = section.get("gradually").and_then(|v| read::duration(v, false, report));
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
            keyword,
            targets,
            at,
            request_count,
            counting_node,
            after_fault,
            duration,
            to,
            recovery_time,
            directions,
            delay,
            bytes,
        }
    }

    fn trigger(&self, names: &Names, report: &mut Report) -> Option<FaultTrigger> {
        match (self.at, &self.request_count, &self.counting_node, &self.after_fault) {
            (Some(at), None, None, None) => Some(FaultTrigger::At(at)),
            (at, None, None, Some(number)) => Some(FaultTrigger::AfterFault {
                fault: number.value as usize - 1,
                delay: at.unwrap_or(DurationRange::fixed(Duration::ZERO)),
            }),
            (None, Some(count), Some(node_name), None) => match names.resolve(node_name, report)? {
                Participant::Named(node) if node.starts_with("node-") => {
                    Some(FaultTrigger::AfterRequests { node, count: count.value })
                }
                _ => {
                    let what = "`by` must name a node".into();
                    push(
                        report,
                        Code::InvalidChoice,
                        node_name.span.clone(),
                        what,
                        "name a node, such as `node-1`",
                    );
                    None
                }
            },
            _ => {
                let help = "write `at = \"2s\"`, `taken = 200` with `by = \"node-1\"`, \
                            or `after = 1` with or without `at`";
                let what = "this fault needs exactly one trigger".into();
                push(report, Code::MissingKey, self.span.clone(), what, help);
                None
            }
        }
    }

    /// Reports targets that the fault can't apply to.
    fn check_targets(&self, keyword: FaultKeyword, report: &mut Report) {
        let is_possible: fn(&Participant) -> bool = match keyword {
            FaultKeyword::StopBackend => is_backend,
            FaultKeyword::Link(_) => |target| is_node(target) || *target == Participant::Clients,
            _ => is_node,
        };
        let help = if keyword == FaultKeyword::StopBackend {
            "name a backend, such as `box-1`"
        } else {
            "name a node; a fault of a link may also name `clients`"
        };
        for target in self.targets.iter().filter(|target| !is_possible(&target.participant)) {
            push(
                report,
                Code::InvalidChoice,
                target.span.clone(),
                format!("this fault does not apply to {}", target.participant),
                help,
            );
        }
    }

    fn drain(&self, to: Vec<PlacedParticipant>, report: &mut Report) -> Option<FaultAction> {
        if to.is_empty() || !to.iter().all(|to| is_backend(&to.participant)) {
            let what = "`to` must name the backends that drain".into();
            push(report, Code::MissingKey, self.span.clone(), what, "add `to = \"box-1\"`");
            return None;
        }
        Some(FaultAction::Drain(participants(to)))
    }

    fn disturb_links(
        &self,
        keyword: LinkKeyword,
        to: Vec<PlacedParticipant>,
        node_kind: &NodeKind,
        report: &mut Report,
    ) -> Option<FaultAction> {
        if to.is_empty() {
            let help = "add `to = \"box-1\"`, a node for `clients`, or `discovery`";
            let what = "this fault of a link has no `to`".into();
            push(report, Code::MissingKey, self.span.clone(), what, help);
            return None;
        }
        let from_clients = self.targets.iter().any(|target| target.participant == Participant::Clients);
        for PlacedParticipant { participant, span } in &to {
            if from_clients != is_node(participant) || *participant == Participant::Clients {
                let help = "clients connect to nodes, and nodes connect to backends and to discovery";
                push(report, Code::InvalidChoice, span.clone(), "there is no such link".into(), help);
            }
            if *participant == Participant::Discovery && *node_kind != NodeKind::Platform {
                let help = "write `kind = \"platform\"` for the nodes";
                let what = "nodes that are started from a file do not connect to discovery".into();
                push(report, Code::InvalidChoice, span.clone(), what, help);
            }
        }
        let fault = self.link_fault(keyword, report)?;
        Some(FaultAction::DisturbLinks { to: participants(to), fault })
    }

    fn link_fault(&self, keyword: LinkKeyword, report: &mut Report) -> Option<LinkFault> {
        match keyword {
            LinkKeyword::Stall => Some(LinkFault::Stall(self.directions)),
            LinkKeyword::Drop => Some(LinkFault::Drop(self.directions)),
            LinkKeyword::Reset => Some(LinkFault::Reset),
            LinkKeyword::Cut => Some(LinkFault::Cut),
            LinkKeyword::HalfOpen => Some(LinkFault::HalfOpen),
            LinkKeyword::Delay => {
                let DurationRange { min, max } =
                    self.required(self.delay, "delay", "[\"20ms\", \"60ms\"]", report)?;
                Some(LinkFault::Delay { min, jitter: max - min })
            }
            LinkKeyword::Throttle => Some(LinkFault::Throttle(self.required_bytes(report)?)),
            LinkKeyword::CutAfter => Some(LinkFault::CutAfter(self.required_bytes(report)?)),
        }
    }

    fn required_bytes(&self, report: &mut Report) -> Option<u64> {
        let bytes = self.bytes.as_ref().map(|bytes| bytes.value);
        self.required(bytes, "bytes", "\"16KiB\"", report)
    }

    /// A required value; a missing one is reported with an example.
    fn required<T>(&self, value: Option<T>, key: &str, example: &str, report: &mut Report) -> Option<T> {
        if value.is_none() {
            let what = format!("this fault has no `{key}`");
            push(report, Code::MissingKey, self.span.clone(), what, &format!("add `{key} = {example}`"));
        }
        value
    }
}
