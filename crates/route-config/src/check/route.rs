//! Checks of routes: their class and cluster are defined, their settings are valid, and their class allows
//! their methods.

use super::cluster::serves_fallback;
use super::location::{captures, host, pattern};
use super::names::unknown;
use super::{CheckedRoute, allowed_methods, class_levels, request_settings};
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Backend, Class, File, Route};
use crate::read::list;
use crate::resolve::{Level, Levels};
use crate::route::Condition;
use http::Method;
use join_up_to::{Repeat, Scope};
use std::collections::HashMap;

/// Checks a route; `None` if an error leaves its class, cluster, host or path unknown. `classes` and
/// `clusters` map names to indices in the file.
pub(super) fn route(
    file: &File,
    number: usize,
    route: &Route,
    (classes, clusters): (&HashMap<&str, usize>, &HashMap<&str, usize>),
    report: &mut Report,
) -> Option<CheckedRoute> {
    let class = classes.get(route.class.value.as_str()).copied();
    if class.is_none() {
        let known = file.classes.iter().map(|c| c.name.value.as_str()).collect();
        unknown(Code::UnknownClass, "class", &route.class, known, report);
    }
    let cluster = clusters.get(route.cluster.value.as_str()).copied();
    if cluster.is_none() {
        let known = file.clusters.iter().map(|c| c.name.value.as_str()).collect();
        unknown(Code::UnknownCluster, "cluster", &route.cluster, known, report);
    }
    let host = host(route, report);
    let pattern = pattern(file, route, report);
    if let Some(pattern) = &pattern {
        captures(route, pattern, report);
    }
    let (class, cluster) = (class?, cluster?);
    let route_class = &file.classes[class];
    let mut levels = class_levels(file, route_class);
    levels.push((Level::Route, &route.settings));
    let resolved = Levels(levels).resolve();
    request_settings::request_settings(file, route_class, &resolved, report);
    keyed(file, route, route_class, cluster, report);
    if resolved.fallback.value.is_some() && !serves_fallback(&file.clusters[cluster]) {
        let message =
            format!("no brownout step of cluster `{}` serves fallbacks", file.clusters[cluster].name.value);
        let help = "add a `[[cluster.step]]` with `does = \"fallback\"`, or remove the fallback";
        report.push(Diagnostic::new(
            Code::FallbackUnused,
            request_settings::span_of(&resolved.fallback, route_class),
            message,
            help,
        ));
    }
    let methods = methods(route, route_class, report);
    let headers = route.headers.iter().map(|header| header.value.clone()).collect();
    let condition = Condition { host: host?, pattern: pattern?, methods, headers };
    Some(CheckedRoute { number, condition, class, cluster, settings: resolved })
}

/// Checks that the source of a keyed class's key is set, and that the backends of its routes have the zone or
/// cell of its scope.
fn keyed(file: &File, route: &Route, class: &Class, cluster: usize, report: &mut Report) {
    let Repeat::Keyed { scope, .. } = class.repeat.value else {
        if let Some(key) = &route.key {
            let message = format!("`key` is not allowed here: class `{}` is not keyed", class.name.value);
            report.push(Diagnostic::new(Code::UnknownKey, key.span.clone(), message, "remove it"));
        }
        return;
    };
    if class.key_header.is_none() && route.key.is_none() {
        let message = format!("class `{}` is keyed, but the source of its key is not set", class.name.value);
        let help =
            "set `key-header = \"idempotency-key\"` in the class, or `key` with a capture in the route";
        let diagnostic = Diagnostic::new(Code::KeyedWithoutKey, class.repeat.span.clone(), message, help);
        report.push(diagnostic.with_related(route.class.span.clone(), "a route of this class"));
    }
    let (word, is_missing): (_, fn(&Backend) -> bool) = match scope {
        Scope::All => return,
        Scope::Zone => ("zone", |b| b.zone.is_none()),
        Scope::Cell => ("cell", |b| b.cell.is_none()),
    };
    let cluster = &file.clusters[cluster];
    if let Some(without) = cluster.backends.iter().find(|b| is_missing(b)) {
        let message = format!(
            "class `{}` is keyed by {word}, but this backend of cluster `{}` has no {word}",
            class.name.value, cluster.name.value
        );
        let help = format!("set `{word}` for each backend of the cluster");
        let diagnostic = Diagnostic::new(Code::MissingScope, without.name.span.clone(), message, help);
        report.push(diagnostic.with_related(class.repeat.span.clone(), "the class is keyed"));
    }
}

fn methods(route: &Route, class: &Class, report: &mut Report) -> Vec<Method> {
    let allowed = allowed_methods(class.repeat.value);
    let Some(methods) = &route.methods else { return allowed.to_vec() };
    if let Some(method) = methods.value.iter().find(|method| !allowed.contains(method)) {
        let name = &class.name.value;
        let (code, message) = match class.repeat.value {
            Repeat::Safe => (
                Code::UnsafeMethodInSafeClass,
                format!("class `{name}` is safe and may be repeated, but {method} has side effects"),
            ),
            _ => (
                Code::SafeMethodInClassWithEffects,
                format!("class `{name}` has side effects, but any intermediary may repeat a {method}"),
            ),
        };
        let allowed: Vec<_> = allowed.iter().map(Method::as_str).collect();
        let help = format!("use {}, or another class", list(&allowed));
        let diagnostic = Diagnostic::new(code, methods.span.clone(), message, help);
        report.push(diagnostic.with_related(class.repeat.span.clone(), "the class of the route"));
    }
    methods.value.clone()
}
