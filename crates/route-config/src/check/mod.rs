//! Checks the values of a file against each other: references to undefined names, settings that would break a
//! rule, and ambiguous routes. Finds all errors in one pass. [`names`], [`node`] and [`cluster`] check the
//! tables that don't depend on routes, [`request_settings`] the settings of classes and routes, [`route`] and
//! [`location`] the routes.

mod cluster;
mod location;
mod names;
mod node;
mod request_settings;
mod route;

pub use location::used_captures;

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Class, File, RequestSettings};
use crate::resolve::{Level, Levels, ResolvedSettings};
use crate::route::{Condition, ambiguous_routes};
use http::Method;
use join_up_to::Repeat;
use std::collections::HashMap;

/// A valid route.
pub struct CheckedRoute {
    /// Its index in the file.
    pub number: usize,
    /// The conditions that a request must meet to match it.
    pub condition: Condition,
    /// The index of its class in the file.
    pub class: usize,
    /// The index of its cluster in the file.
    pub cluster: usize,
    /// The settings of its requests, after inheritance.
    pub settings: ResolvedSettings,
}

/// The methods that routes of a class may accept. Intermediaries may repeat the methods of a safe class, so
/// no other class may accept them.
pub fn allowed_methods(repeat: Repeat) -> &'static [Method] {
    match repeat {
        Repeat::Safe => &[Method::GET, Method::HEAD, Method::OPTIONS],
        _ => &[Method::POST, Method::PUT, Method::PATCH, Method::DELETE],
    }
}

/// The levels from which the settings of a class are resolved.
pub fn class_levels<'f>(file: &'f File, class: &'f Class) -> Vec<(Level, &'f RequestSettings)> {
    vec![(Level::Defaults, &file.defaults), (Level::Class, &class.settings)]
}

/// Checks a file, and returns its valid routes: all of them if the report is empty.
pub fn file(file: &File, report: &mut Report) -> Vec<CheckedRoute> {
    names::names(file, report);
    file.clusters.iter().for_each(|cluster| cluster::backends(cluster, report));
    file.clusters.iter().for_each(|cluster| cluster::brownout(file, cluster, report));
    node::node(file, report);
    node::shares(file, report);
    for class in &file.classes {
        let settings = Levels(class_levels(file, class)).resolve();
        request_settings::request_settings(file, class, &settings, report);
    }
    let classes: HashMap<_, _> =
        file.classes.iter().enumerate().map(|(i, c)| (c.name.value.as_str(), i)).collect();
    let clusters: HashMap<_, _> =
        file.clusters.iter().enumerate().map(|(i, c)| (c.name.value.as_str(), i)).collect();
    let mut routes = Vec::with_capacity(file.routes.len());
    for (number, route) in file.routes.iter().enumerate() {
        routes.extend(route::route(file, number, route, (&classes, &clusters), report));
    }
    if file.routes.is_empty() {
        let help = "add a `[[route]]` with `prefix = \"/\"`, a `class` and a `cluster`";
        report.push(Diagnostic::new(Code::NoRoutes, 0..0, "the file has no routes", help));
    }
    ambiguous(file, &routes, report);
    routes
}

/// Reports pairs of routes that match some request equally well.
fn ambiguous(file: &File, routes: &[CheckedRoute], report: &mut Report) {
    let conditions: Vec<_> = routes.iter().map(|route| route.condition.clone()).collect();
    for (first, second) in ambiguous_routes(&conditions) {
        let span = |at: usize| {
            let route = &file.routes[routes[at].number];
            route.path.as_ref().map_or(route.span.clone(), |path| path.span.clone())
        };
        let message = "this route and another one match the same request equally well";
        let help = "add a host, a header or other methods to one of them, or remove one";
        let diagnostic = Diagnostic::new(Code::AmbiguousRoutes, span(second), message, help);
        report.push(diagnostic.with_related(span(first), "the other route"));
    }
}
