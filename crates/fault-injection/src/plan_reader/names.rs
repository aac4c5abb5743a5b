//! The names of participants in a plan.

use super::values::push;
use crate::plan::Participant;
use route_config::diagnostic::{Code, Report};
use route_config::model::Located;
use route_config::read::{self, Value};
use std::ops::Range;
use toml::de::DeValue;

/// How many participants a plan has of each sort.
pub(super) struct Names {
    pub(super) nodes: usize,
    pub(super) backends: usize,
}

/// A participant, and where the text names it.
pub(super) struct PlacedParticipant {
    pub(super) participant: Participant,
    pub(super) span: Range<usize>,
}

impl Names {
    /// The participant of a name; an unknown name is reported.
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
        let help = format!(
            "there are `node-1` to `node-{}`, `box-1` to `box-{}`, `any-node`, `any-box`, `clients`, `discovery`",
            self.nodes, self.backends
        );
        push(
            report,
            Code::InvalidChoice,
            name.span.clone(),
            format!("nobody is called {:?}", name.value),
            &help,
        );
        None
    }

    /// The participants of a list of names; faulty ones are reported and left out.
    pub(super) fn resolve_all(&self, names: Vec<Value>, report: &mut Report) -> Vec<PlacedParticipant> {
        let resolved = names.into_iter().filter_map(|value| {
            let text = read::text(value, report)?;
            Some(PlacedParticipant { participant: self.resolve(&text, report)?, span: text.span })
        });
        resolved.collect()
    }
}

/// The values of a list of names, which may be one name.
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
