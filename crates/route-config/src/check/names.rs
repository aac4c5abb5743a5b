//! Checks that names are unique and that references to them are defined.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{File, Located, Span};
use crate::read::{closest_word, list};
use std::collections::HashMap;

/// Reports each name that occurs more than once, with the position of its first occurrence.
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
            let message = format!("{what} `{name}` is already defined");
            let diagnostic = Diagnostic::new(code, span.clone(), message, help);
            report.push(diagnostic.with_related((*first).clone(), "first defined here"));
        } else {
            seen.insert(name, span);
        }
    }
}

/// Checks that the names of each kind of table are unique, and that the file has a listener.
pub(super) fn names(file: &File, report: &mut Report) {
    let help = "use a different one";
    let named = |at: &'_ Located<String>| (at.value.clone(), at.span.clone());
    let mut check_unique = |what: &str, names: Vec<(String, Span)>| {
        let names = names.iter().map(|(name, span)| (name.as_str(), span));
        duplicates(what, names, Code::Duplicate, help, report);
    };
    check_unique("the cluster", file.clusters.iter().map(|c| named(&c.name)).collect());
    check_unique("the class", file.classes.iter().map(|c| named(&c.name)).collect());
    check_unique("the tenant", file.tenants.iter().map(|t| named(&t.name)).collect());
    check_unique("the route", file.routes.iter().filter_map(|r| r.name.as_ref()).map(named).collect());
    let addresses = file.listeners.iter().map(|l| (l.address.value.to_string(), l.address.span.clone()));
    // Several listeners may have port 0, as the system chooses a free port for each.
    check_unique("the listener address", addresses.filter(|(text, _)| !text.ends_with(":0")).collect());
    if file.listeners.is_empty() {
        let help = "add `[[listener]]` with `address = \"127.0.0.1:8080\"`";
        report.push(Diagnostic::new(Code::NoListener, 0..0, "the file has no listener", help));
    }
}

/// Reports a reference to an undefined name.
pub(super) fn unknown(code: Code, what: &str, name: &Located<String>, known: Vec<&str>, report: &mut Report) {
    let help = match closest_word(&name.value, known.iter().copied()) {
        Some(known) => format!("did you mean `{known}`?"),
        None if known.is_empty() => format!("the file defines no {what}"),
        None => format!("the file defines {}", list(&known)),
    };
    let message = format!("unknown {what} `{}`", name.value);
    report.push(Diagnostic::new(code, name.span.clone(), message, help));
}
