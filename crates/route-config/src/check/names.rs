//! Checks of names: each occurs once, and refers to something.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{File, Located, Span};
use crate::read::{closest_word, list};
use std::collections::HashMap;

/// Reports each name that occurred before, with its first position.
pub(super) fn duplicates<'n>(
    what: &str,
    items: impl Iterator<Item = (&'n str, &'n Span)>,
    code: Code,
    help: &str,
    report: &mut Report,
) {
    let mut seen: HashMap<&str, &Span> = HashMap::new();
    for (name, span) in items {
        if let Some(first) = seen.get(name) {
            let message = format!("there is {what} `{name}` already");
            let diagnostic = Diagnostic::new(code, span.clone(), message, help);
            report.push(diagnostic.with_related((*first).clone(), "here"));
        } else {
            seen.insert(name, span);
        }
    }
}

/// All names of a kind are different, and the file has a listener.
pub(super) fn names(file: &File, report: &mut Report) {
    let help = "give each its own name";
    let named = |at: &'_ Located<String>| (at.value.clone(), at.span.clone());
    let mut each = |what: &str, names: Vec<(String, Span)>| {
        let names = names.iter().map(|(name, span)| (name.as_str(), span));
        duplicates(what, names, Code::Duplicate, help, report);
    };
    each("a cluster", file.clusters.iter().map(|c| named(&c.name)).collect());
    each("a class", file.classes.iter().map(|c| named(&c.name)).collect());
    each("a tenant", file.tenants.iter().map(|t| named(&t.name)).collect());
    each("a route", file.routes.iter().filter_map(|r| r.name.as_ref()).map(named).collect());
    let addresses = file.listeners.iter().map(|l| (l.address.value.to_string(), l.address.span.clone()));
    // Port 0 is a different port each time.
    each("a listener", addresses.filter(|(text, _)| !text.ends_with(":0")).collect());
    if file.listeners.is_empty() {
        let help = "add `[[listener]]` with `address = \"127.0.0.1:8080\"`";
        report.push(Diagnostic::new(Code::NoListener, 0..0, "the file has no listener", help));
    }
}

/// Reports a name that refers to nothing.
pub(super) fn unknown(code: Code, what: &str, name: &Located<String>, known: Vec<&str>, report: &mut Report) {
    let help = match closest_word(&name.value, known.iter().copied()) {
        Some(known) => format!("did you mean `{known}`?"),
        None if known.is_empty() => format!("the file has no {what} yet"),
        None => format!("the file has {}", list(&known)),
    };
    let message = format!("there is no {what} `{}`", name.value);
    report.push(Diagnostic::new(code, name.span.clone(), message, help));
}
