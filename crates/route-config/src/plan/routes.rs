//! Compiles routes, and the classes and limits that they refer to.

use super::{KeySource, PathPiece, RoutePlan};
use crate::admission::Limit;
use crate::check::{CheckedRoute, class_levels, used_captures};
use crate::model::{Class, File, PathRule, Route, TenantRate};
use crate::resolve::{Levels, ResolvedSettings};
use crate::route::Condition;
use admission_control::gate::ClassSettings;
use join_up_to::{AttemptPolicy, Hedging, Repeat};
use std::collections::HashMap;

/// A class of a cluster: one of the file, or one made for a route that overrides settings.
pub(super) struct ClusterClass {
    /// The index of its class in the file.
    pub(super) class_in_file: usize,
    /// The class as the balancer sees it.
    pub(super) class: join_up_to::Class,
    /// The class as the admission gate sees it.
    pub(super) gate: ClassSettings,
}

/// Compiles routes one by one, and collects their classes and limits.
pub(super) struct RouteCompiler<'f> {
    file: &'f File,
    /// The resolved settings of each class of the file.
    class_settings: Vec<ResolvedSettings>,
    /// The classes of each cluster.
    classes: Vec<Vec<ClusterClass>>,
    limits: Vec<Limit>,
    // Maps instead of searches, as there may be as many names as routes.
    class_numbers: HashMap<(usize, String), usize>,
    limit_numbers: HashMap<String, usize>,
}

impl<'f> RouteCompiler<'f> {
    pub(super) fn new(file: &'f File) -> Self {
        let settings = |class| Levels(class_levels(file, class)).resolve();
        RouteCompiler {
            file,
            class_settings: file.classes.iter().map(settings).collect(),
            classes: file.clusters.iter().map(|_| Vec::new()).collect(),
            limits: Vec::new(),
            class_numbers: HashMap::new(),
            limit_numbers: HashMap::new(),
        }
    }

    /// Compiles a route.
    pub(super) fn add(&mut self, checked: CheckedRoute) -> (RoutePlan, Condition) {
        let route = &self.file.routes[checked.number];
        let class = &self.file.classes[checked.class];
        let route_name = route_name(route);
        // A route whose settings equal those of its class shares the budgets and limits of the class; any
        // other has its own.
        let overrides_class = checked.settings != self.class_settings[checked.class];
        let class_name = &class.name.value;
        let name = if overrides_class { format!("{class_name} at {route_name}") } else { class_name.clone() };
        let class_number = self.class_number(&checked, class, &name);
        let limit = self.limit_number(&checked, name);
        let captures: Vec<_> = checked.condition.pattern.captures().map(String::from).collect();
        let capture = |name: &str| captures.iter().position(|known| known == name);
        let plan = RoutePlan {
            name: route_name,
            class_name: class_name.clone(),
            cluster: checked.cluster,
            class: class_number,
            repeat: class.repeat.value,
            limit,
            key: key_source(route, class, capture),
            subject: route.subject.as_ref().and_then(|subject| capture(&subject.value)),
            rewrite: route.rewrite.as_ref().map(|rewrite| path_pieces(&rewrite.value, &captures)),
            settings: checked.settings,
            route_in_file: checked.number,
            class_in_file: checked.class,
        };
        (plan, checked.condition)
    }

    /// The limits of all routes, and the classes of each cluster.
    pub(super) fn finish(self) -> (Vec<Limit>, Vec<Vec<ClusterClass>>) {
        (self.limits, self.classes)
    }

    /// The index of the class with this name in the route's cluster; the class is added if it is new.
    fn class_number(&mut self, checked: &CheckedRoute, class: &Class, name: &str) -> usize {
        let classes = &mut self.classes[checked.cluster];
        *self.class_numbers.entry((checked.cluster, name.to_string())).or_insert_with(|| {
            classes.push(ClusterClass {
                class_in_file: checked.class,
                class: balancer_class(class.repeat.value, &checked.settings),
                gate: gate_class(name.to_string(), &checked.settings),
            });
            classes.len() - 1
        })
    }

    /// The index of the limit with this name; the limit is added if it is new.
    fn limit_number(&mut self, checked: &CheckedRoute, name: String) -> usize {
        let (file, limits) = (self.file, &mut self.limits);
        *self.limit_numbers.entry(name.clone()).or_insert_with(|| {
            limits.push(limit(name, &checked.settings, file.node_count()));
            limits.len() - 1
        })
    }
}

/// Where the key of a route's requests is found, if its class is keyed. A capture takes precedence over a
/// header.
fn key_source(route: &Route, class: &Class, capture: impl Fn(&str) -> Option<usize>) -> Option<KeySource> {
    let Repeat::Keyed { .. } = class.repeat.value else { return None };
    let from_path = route.key.as_ref().and_then(|key| capture(&key.value).map(KeySource::Capture));
    from_path.or_else(|| class.key_header.as_ref().map(|header| KeySource::Header(header.value.clone())))
}

/// A route's name for logs and limits: the one in the file, or one made of its conditions.
fn route_name(route: &Route) -> String {
    if let Some(name) = &route.name {
        return name.value.clone();
    }
    let path = match route.path.as_ref().map(|path| &path.value) {
        Some(PathRule::Exact(text) | PathRule::Template(text)) => text.clone(),
        Some(PathRule::Prefix(text)) => format!("{text}*"),
        None => String::new(),
    };
    let host = route.host.as_ref().map_or("", |host| &host.value);
    let mut name = format!("{host}{path}");
    // Routes that differ only in methods or headers need different names, as limits are identified by name.
    for method in route.methods.iter().flat_map(|methods| &methods.value) {
        name = format!("{method} {name}");
    }
    for header in &route.headers {
        let (header, value) = &header.value;
        name = format!("{name} {header}={value:?}");
    }
    name
}

/// The class of a route for the balancer.
fn balancer_class(repeat: Repeat, settings: &ResolvedSettings) -> join_up_to::Class {
    join_up_to::Class {
        latency_target: settings.latency_target.value.unwrap_or(settings.timeout.value),
        latency_target_stretch: 0.0,
        deadline: settings.timeout.value,
        value: settings.priority_weight.value,
        late_value: settings.late_value.value,
        repeat,
        streamed: false,
        attempt_policy: AttemptPolicy {
            max_attempts: Some(settings.max_attempts.value),
            attempt_timeout: settings.attempt_timeout.value,
            retry_on: settings.retry_on.value,
            backoff: settings.backoff.value,
            hedging: match settings.hedging.value {
                Some(rule) => Hedging::After {
                    delay: rule.delay,
                    max_per_request: rule.max_per_request,
                    max_fraction: rule.max_fraction,
                },
                None => Hedging::Never,
            },
            retry_budget: Some(settings.retry_budget.value),
            retry_after: Some(settings.retry_after.value),
        },
    }
}

/// The class of a route for the admission gate.
fn gate_class(name: String, settings: &ResolvedSettings) -> ClassSettings {
    ClassSettings {
        name,
        priority_weight: settings.priority_weight.value,
        min_retry_after: settings.retry_after.value,
        max_queue_time: settings.max_queue_time.value,
    }
}

/// The limits at one node. The rate of a tenant is for all nodes together, so each node takes an equal part.
fn limit(name: String, settings: &ResolvedSettings, nodes: u32) -> Limit {
    let per_node = |rate: TenantRate| TenantRate {
        per_s: rate.per_s / f64::from(nodes),
        burst: (rate.burst / f64::from(nodes)).max(1.0),
    };
    Limit {
        name,
        max_in_flight: settings.max_in_flight.value,
        queue: settings.queue.value,
        tenant_rate: settings.tenant_rate.value.map(per_node),
        retry_after: settings.retry_after.value,
    }
}

/// Splits a rewrite into literal text and captures.
fn path_pieces(text: &str, captures: &[String]) -> Vec<PathPiece> {
    let mut pieces = Vec::new();
    let mut rest = text;
    for name in used_captures(text).unwrap_or_default() {
        let Some(at) = rest.find('{') else { break };
        pieces.push(PathPiece::Text(rest[..at].into()));
        pieces.extend(captures.iter().position(|known| known == name).map(PathPiece::Capture));
        rest = &rest[at + name.len() + 2..];
    }
    pieces.push(PathPiece::Text(rest.into()));
    pieces
}
