//! Checks of clusters: their backends and brownout rules.

use super::names::{duplicates, unknown};
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Backend, BrownoutRuleAction, Cluster, File};
use join_up_to::ServerState;

/// Checks that a cluster has backends with distinct names and addresses, and at least one in service.
pub(super) fn backends(cluster: &Cluster, report: &mut Report) {
    let name = &cluster.name;
    if cluster.backends.is_empty() {
        let message = format!("cluster `{}` has no backends", name.value);
        let help = "add a `[[cluster.box]]` with `name` and `address` below it";
        report.push(Diagnostic::new(Code::NoBackends, name.span.clone(), message, help));
        return;
    }
    let names = cluster.backends.iter().map(|b| (b.name.value.as_str(), &b.name.span));
    duplicates("the backend", names, Code::Duplicate, "use a different one", report);
    let addresses: Vec<_> =
        cluster.backends.iter().map(|b| (b.address.value.to_string(), &b.address.span)).collect();
    let addresses = addresses.iter().map(|(text, span)| (text.as_str(), *span));
    let help = "remove one: a backend that is listed twice gets twice its share of requests";
    duplicates("the backend address", addresses, Code::DuplicateAddress, help, report);
    let is_ready = |b: &Backend| b.state.as_ref().is_none_or(|state| state.value == ServerState::Ready);
    if !cluster.backends.iter().any(is_ready) {
        let message = format!("no backend of cluster `{}` is in service", name.value);
        let help = "set `state = \"in-service\"` for one of them, or remove the cluster";
        report.push(Diagnostic::new(Code::NoBackendInService, name.span.clone(), message, help));
    }
}

/// Checks that each brownout rule ends below the fraction at which it begins, and refers to defined classes.
pub(super) fn brownout(file: &File, cluster: &Cluster, report: &mut Report) {
    for rule in cluster.brownout.iter().flatten() {
        if rule.release_threshold.value >= rule.threshold.value {
            let message = format!(
                "this step ends at {:.1}% of rejected load, but begins at {:.1}%",
                rule.release_threshold.value * 100.0,
                rule.threshold.value * 100.0
            );
            let help = "set `back` well below `at`, or the step would switch on and off repeatedly";
            let diagnostic = Diagnostic::new(
                Code::ReleaseAboveThreshold,
                rule.release_threshold.span.clone(),
                message,
                help,
            );
            report.push(diagnostic.with_related(rule.threshold.span.clone(), "the step begins here"));
        }
        for name in &rule.classes {
            if !file.classes.iter().any(|class| class.name.value == name.value) {
                let known = file.classes.iter().map(|c| c.name.value.as_str()).collect();
                unknown(Code::UnknownClass, "class", name, known, report);
            }
        }
    }
}

/// Whether any brownout rule of a cluster serves fallbacks.
pub(super) fn serves_fallback(cluster: &Cluster) -> bool {
    cluster.brownout.iter().flatten().any(|rule| rule.action == BrownoutRuleAction::ServeFallback)
}
