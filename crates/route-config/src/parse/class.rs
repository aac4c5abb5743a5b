//! Parses classes and tenants.

use super::header::header_name;
use super::request_settings::request_settings;
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use join_up_to::{Repeat, Scope};

/// Parses a `[[tenant]]`.
pub(super) fn tenant(mut s: Section, report: &mut Report) -> Option<Tenant> {
    let name = s.required("name", "\"semarang\"", report).and_then(|v| read::name(v, report));
    let share = s.get("share").and_then(|v| read::share(v, report));
    let allowance = s.get("allowance").and_then(|v| read::rate(v, report));
    s.finish(report);
    Some(Tenant { name: name?, share, allowance })
}

/// Parses a `[[class]]` with its settings.
pub(super) fn class(mut s: Section, report: &mut Report) -> Option<Class> {
    #[derive(Clone, Copy, PartialEq)]
    enum RepeatKind {
        Safe,
        Keyed,
        Unsafe,
    }
    let kinds = [("safe", RepeatKind::Safe), ("keyed", RepeatKind::Keyed), ("unsafe", RepeatKind::Unsafe)];
    let scopes = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];
    let name = s.required("name", "\"tally-submit\"", report).and_then(|v| read::name(v, report));
    let kind = s.required("repeat", "\"unsafe\"", report).and_then(|v| read::choice(v, &kinds, report));
    let is_keyed = kind.as_ref().is_some_and(|kind| kind.value == RepeatKind::Keyed);
    let scope = keyed_only(is_keyed, &mut s, "scope", "\"zone\"", report);
    let scope = scope.and_then(|v| read::choice(v, &scopes, report));
    let window = keyed_only(is_keyed, &mut s, "window", "\"600ms\"", report);
    let window = window.and_then(|v| read::positive_duration(v, report));
    let key_header = s.get("key-header").and_then(|v| header_name(v, report));
    let settings = request_settings(&mut s, report);
    s.finish(report);
    let kind = kind?;
    let repeat = match kind.value {
        RepeatKind::Safe => Repeat::Safe,
        RepeatKind::Unsafe => Repeat::Unsafe,
        RepeatKind::Keyed => Repeat::Keyed { scope: scope?.value, window: window?.value },
    };
    Some(Class { name: name?, repeat: Located::new(repeat, kind.span), key_header, settings })
}

/// The value of a key that is required in a keyed class and not allowed in others.
fn keyed_only<'t>(
    is_keyed: bool,
    s: &mut Section<'t>,
    key: &'static str,
    example: &str,
    report: &mut Report,
) -> Option<Value<'t>> {
    if is_keyed {
        return s.required(key, example, report);
    }
    let value = s.get(key)?;
    let message = format!("`{key}` is allowed only in a keyed class");
    let help = "remove it, or set `repeat = \"keyed\"`";
    report.push(Diagnostic::new(Code::UnknownKey, value.span(), message, help));
    None
}
