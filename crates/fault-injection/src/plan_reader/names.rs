//! Resolves the names of participants in a plan.

use super::values::push;
use crate::plan::Participant;
use route_config::diagnostic::{Code, Report};
use route_config::model::Located;
use route_config::read::{self, Value};
use std::ops::Range;
use toml::de::DeValue;

/// The numbers of nodes and backends of a plan, which determine the valid names.
pub(super) struct Names {
    pub(super) nodes: usize,
    pub(super) backends: usize,
}

/// A participant, with the position of its name in the text.
pub(super) struct PlacedParticipant {
    pub(super) participant: Participant,
    pub(super) span: Range<usize>,
}

impl Names {
    /// Resolves a name; an unknown one is reported.
    pub(super) fn resolve(&self, name: &Located<String>, report: &mut Report) -> Option<Participant> {
        match name.value.as_str() {
            "any-node" => return Some(Participant::AnyNode),
            "any-box" => return Some(Participant::AnyBackend),
            "clients" => return Some(Participant::Clients),
            "discovery" => return Some(Participant::Discovery),
            _ => {}
        }
        let number = |prefix: &str| name.value.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
        let is_node = number("node-").is_some_and(|n| (1..=self.nodes).contains(&n));
        let is_backend = number("box-").is_some_and(|n| (1..=self.backends).contains(&n));
        if is_node || is_backend {
            return Some(Participant::Named(name.value.clone()));
        }
        let nodes = format!("`node-1` to `node-{}`", self.nodes);
        let backends = format!("`box-1` to `box-{}`", self.backends);
        let help =
            format!("valid names are {nodes}, {backends}, `any-node`, `any-box`, `clients` and `discovery`");
        push(report, Code::InvalidChoice, name.span.clone(), format!("unknown name {:?}", name.value), &help);
        None
    }

    /// Resolves a list of names; invalid ones are reported and left out.
    pub(super) fn resolve_all(&self, names: Vec<Value>, report: &mut Report) -> Vec<PlacedParticipant> {
        let resolved = names.into_iter().filter_map(|value| {
            let text = read::text(value, report)?;
            Some(PlacedParticipant { participant: self.resolve(&text, report)?, span: text.span })
        });
        resolved.collect()
    }
}

/// The values of a list of names. A single string stands for a list of one.
pub(super) fn name_list<'t>(value: Value<'t>, report: &mut Report) -> Option<Vec<Value<'t>>> {
    match value.get_ref() {
        DeValue::String(_) => Some(vec![value]),
        _ => read::array(value, "names", report),
    }
}

pub(super) fn is_node(participant: &Participant) -> bool {
    matches!(participant, Participant::AnyNode)
        || matches!(participant, Participant::Named(name) if name.starts_with("node-"))
}

pub(super) fn is_backend(participant: &Participant) -> bool {
    matches!(participant, Participant::AnyBackend)
        || matches!(participant, Participant::Named(name) if name.starts_with("box-"))
}
