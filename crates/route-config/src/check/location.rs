//! Checks of a route's host and path, and of the captures that it uses.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{File, Located, PathRule, Route, Span};
use crate::read::{closest_word, list};
use crate::route::{HostRule, Pattern};
use crate::target::{self, EncodedSlash, PathError};

/// The hosts that a route matches; `None` if its host is invalid.
pub(super) fn host(route: &Route, report: &mut Report) -> Option<HostRule> {
    let Some(host) = &route.host else { return Some(HostRule::Any) };
    let (is_wildcard, name) = match host.value.strip_prefix("*.") {
        Some(name) => (true, name),
        None => (false, host.value.as_str()),
    };
    match target::normalize_host(name) {
        Some(normalized) if normalized == name => Some(match is_wildcard {
            true => HostRule::Suffix(format!(".{name}")),
            false => HostRule::Exact(name.into()),
        }),
        Some(normalized) => {
            let message = format!(
                "no request matches the host {:?}: hosts are normalized before they are matched",
                host.value
            );
            let star = if is_wildcard { "*." } else { "" };
            let help = format!("write \"{star}{normalized}\": in lower case, without port and trailing dot");
            report.push(Diagnostic::new(Code::RouteNeverMatches, host.span.clone(), message, help));
            None
        }
        None => {
            let help = "write a name such as `tally.example`, or `*.tally.example` for all its subdomains";
            let message = format!("{:?} is not a valid host", host.value);
            report.push(Diagnostic::new(Code::InvalidHost, host.span.clone(), message, help));
            None
        }
    }
}

/// The paths that a route matches; `None` if its path is invalid or no request can have it.
pub(super) fn pattern(file: &File, route: &Route, report: &mut Report) -> Option<Pattern> {
    let rule = route.path.as_ref()?;
    if let Err(diagnostic) = check_normalized(file, rule) {
        report.push(diagnostic);
        return None;
    }
    let pattern = match &rule.value {
        PathRule::Exact(text) => Pattern::exact(text),
        PathRule::Prefix(text) => Pattern::prefix(text),
        PathRule::Template(text) => Pattern::template(text),
    };
    match pattern {
        Ok(pattern) => Some(pattern),
        Err(error) => {
            let message = format!("{:?} is not a valid path: {error}", rule.value.text());
            let help = "write a path such as `/tally/{station}`";
            report.push(Diagnostic::new(Code::InvalidPath, rule.span.clone(), message, help));
            None
        }
    }
}

/// Checks that a route's path is normalized. Requests' paths are normalized before they are matched, so no
/// request would match any other path.
fn check_normalized(file: &File, rule: &Located<PathRule>) -> Result<(), Diagnostic> {
    let text = rule.value.text();
    let diagnostic =
        |code, message: String, help: String| Err(Diagnostic::new(code, rule.span.clone(), message, help));
    // Only templates may have braces; their syntax is checked by `Pattern::template`.
    let is_template = matches!(rule.value, PathRule::Template(_));
    if !is_template && text.contains(['{', '}']) {
        let help = format!("write `template = {text:?}` for a path with captures");
        return diagnostic(Code::InvalidPath, format!("{text:?} has braces, but is not a template"), help);
    }
    // A capture stands for a non-empty segment, so a template is normalized if it is so without its braces.
    let plain = if is_template { text.replace(['{', '}'], "") } else { text.to_string() };
    let encoded_slash = file.node.encoded_slash.as_ref().map_or(EncodedSlash::Reject, |slash| slash.value);
    match target::normalize_path(&plain, encoded_slash) {
        Ok(normalized) if normalized == plain => Ok(()),
        Ok(normalized) => {
            let message =
                format!("no request matches the path {text:?}: paths are normalized before they are matched");
            let help = match is_template {
                true => "remove escapes of unreserved characters, dot segments and empty segments".into(),
                false => format!("write {normalized:?}"),
            };
            diagnostic(Code::RouteNeverMatches, message, help)
        }
        Err(
            error @ (PathError::EncodedSlash | PathError::AboveRoot | PathError::DotSegmentWithParameters),
        ) => {
            let message =
                format!("no request matches the path {text:?}: {error}, so such requests are rejected");
            diagnostic(
                Code::RouteNeverMatches,
                message,
                "write the normalized path that backends expect".into(),
            )
        }
        Err(error) => {
            let help = "write a path such as `/tally/submit`".to_string();
            diagnostic(Code::InvalidPath, format!("{text:?} is not a valid path: {error}"), help)
        }
    }
}

/// The names of the captures that a rewrite uses; `None` if its braces are unbalanced.
pub fn used_captures(text: &str) -> Option<Vec<&str>> {
    let mut names = Vec::new();
    let mut rest = text;
    while let Some(at) = rest.find(['{', '}']) {
        let inner = rest[at..].strip_prefix('{')?;
        let end = inner.find(['{', '}'])?;
        rest = inner[end..].strip_prefix('}')?;
        names.push(&inner[..end]);
    }
    Some(names)
}

/// Checks that a route uses only captures of its path, and that its rewrite is a normalized path.
pub(super) fn captures(route: &Route, pattern: &Pattern, report: &mut Report) {
    let known: Vec<_> = pattern.captures().collect();
    let mut missing = |name: &str, span: &Span| {
        if known.contains(&name) {
            return;
        }
        let help = match closest_word(name, known.iter().copied()) {
            Some(known) => format!("did you mean `{known}`?"),
            None if known.is_empty() => "only a `template` such as `/tally/{station}` has captures".into(),
            None => format!("the path has the captures {}", list(&known)),
        };
        let message = format!("the path of this route has no capture `{name}`");
        report.push(Diagnostic::new(Code::UnknownCapture, span.clone(), message, help));
    };
    for capture in [&route.key, &route.subject].into_iter().flatten() {
        missing(&capture.value, &capture.span);
    }
    let Some(rewrite) = &route.rewrite else { return };
    let Some(used) = used_captures(&rewrite.value) else {
        let message = format!("unbalanced braces in {:?}", rewrite.value);
        let help = "write captures as `{name}`";
        return report.push(Diagnostic::new(Code::InvalidPath, rewrite.span.clone(), message, help));
    };
    used.iter().for_each(|name| missing(name, &rewrite.span));
    let plain = rewrite.value.replace(['{', '}'], "");
    if !target::normalize_path(&plain, EncodedSlash::Keep).is_ok_and(|normalized| normalized == plain) {
        let message = format!("{:?} is not a normalized path", rewrite.value);
        let help = "write a path such as `/v2/{station}`";
        report.push(Diagnostic::new(Code::InvalidPath, rewrite.span.clone(), message, help));
    }
}
