//! Parses routes: their conditions, class, cluster and settings.

use super::header::headers;
use super::request_settings::request_settings;
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::*;
use crate::read::{self, Section, Value};
use http::Method;

/// Parses a `[[route]]` with its conditions and settings.
pub(super) fn route(mut s: Section, report: &mut Report) -> Option<Route> {
    let name = s.get("name").and_then(|v| read::name(v, report));
    let host = s.get("host").and_then(|v| read::text(v, report));
    let methods = s.get("methods").and_then(|v| methods(v, report));
    let path = path_rule(&mut s, report);
    let headers = s.get("headers").map(|v| headers(v, report)).unwrap_or_default();
    let class = s.required("class", "\"look\"", report).and_then(|v| read::text(v, report));
    let cluster = s.required("cluster", "\"tally\"", report).and_then(|v| read::text(v, report));
    let rewrite = s.get("rewrite").and_then(|v| read::text(v, report));
    let key = s.get("key").and_then(|v| read::text(v, report));
    let subject = s.get("subject").and_then(|v| read::text(v, report));
    let settings = request_settings(&mut s, report);
    let span = s.span.clone();
    s.finish(report);
    let (class, cluster) = (class?, cluster?);
    Some(Route { span, name, host, methods, path, headers, class, cluster, rewrite, key, subject, settings })
}

/// The constructor of a variant of [`PathRule`].
type PathRuleKind = fn(String) -> PathRule;

/// Parses the path of a route, which must be set by exactly one of three keys.
fn path_rule(section: &mut Section, report: &mut Report) -> Option<Located<PathRule>> {
    let mut path = None;
    let rules: [(&'static str, PathRuleKind); 3] =
        [("path", PathRule::Exact), ("prefix", PathRule::Prefix), ("template", PathRule::Template)];
    let mut present: Vec<(&str, Span)> = Vec::new();
    for (key, rule) in rules {
        let Some(value) = section.get(key) else { continue };
        present.push((key, value.span()));
        path = read::text(value, report).map(|text| Located::new(rule(text.value), text.span)).or(path);
    }
    match present.as_slice() {
        [_] => {}
        [] => {
            let help = "add `path = \"/a\"`, `prefix = \"/a\"` or `template = \"/a/{b}\"`";
            report.push(Diagnostic::new(
                Code::RoutePathCount,
                section.span.clone(),
                "this route has no path",
                help,
            ));
        }
        [(first, at), (key, span), ..] => {
            let message = format!("this route has both `{first}` and `{key}`");
            let diagnostic = Diagnostic::new(Code::RoutePathCount, span.clone(), message, "keep one of them");
            report.push(diagnostic.with_related(at.clone(), "the other path"));
        }
    }
    path
}

fn methods(value: Value, report: &mut Report) -> Option<Located<Vec<Method>>> {
    let items = read::array(value, "methods, such as [\"GET\"]", report)?;
    let help = "write `GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE` or `OPTIONS`";
    if items.is_empty() {
        let message = "the list of methods is empty";
        report.push(Diagnostic::new(Code::InvalidMethod, value.span(), message, help));
        return None;
    }
    let mut methods = Vec::new();
    for item in items {
        let text = read::text(item, report)?;
        let known = [
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::OPTIONS,
        ];
        match known.iter().find(|method| method.as_str() == text.value) {
            Some(method) if !methods.contains(method) => methods.push(method.clone()),
            Some(_) => {}
            None => {
                let upper = text.value.to_ascii_uppercase();
                let help = match known.iter().find(|method| method.as_str() == upper) {
                    Some(method) => format!("write methods in upper case: `{method}`"),
                    None => help.to_string(),
                };
                let message = format!("{:?} is not a supported method", text.value);
                report.push(Diagnostic::new(Code::InvalidMethod, text.span, message, help));
                return None;
            }
        }
    }
    Some(Located::new(methods, value.span()))
}
