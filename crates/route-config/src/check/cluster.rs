//! Checks of clusters: their backends, and brownout.

use super::names::{duplicates, unknown};
use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::{Backend, BrownoutRuleAction, Cluster, File};
use join_up_to::ServerState;

/// A cluster has backends, each once, and one of them in service.
pub(super) fn backends(cluster: &Cluster, report: &mut Report) {
    let name = &cluster.name;
    if cluster.backends.is_empty() {
        let message = format!("the cluster `{}` has no boxes", name.value);
        let help = "add a `[[cluster.box]]` with a `name` and an `address` below it";
        report.push(Diagnostic::new(Code::NoBackends, name.span.clone(), message, help));
        return;
    }
    let names = cluster.backends.iter().map(|b| (b.name.value.as_str(), &b.name.span));
    duplicates("a box", names, Code::Duplicate, "give each its own name", report);
    let addresses: Vec<_> =
        cluster.backends.iter().map(|b| (b.address.value.to_string(), &b.address.span)).collect();
    let addresses = addresses.iter().map(|(text, span)| (text.as_str(), *span));
    let help = "a box that is listed twice gets twice its part; leave one out";
    duplicates("a box of this cluster at", addresses, Code::DuplicateAddress, help, report);
    let is_ready = |b: &Backend| b.state.as_ref().is_none_or(|state| state.value == ServerState::Ready);
    if !cluster.backends.iter().any(is_ready) {
        let message = format!("no box of the cluster `{}` is in service", name.value);
        let help = "let one be `state = \"in-service\"`, or leave the cluster out";
        report.push(Diagnostic::new(Code::NoBackendInService, name.span.clone(), message, help));
    }
}

/// Brownout rules end below the fraction at which they begin, and name classes that exist.
pub(super) fn brownout(file: &File, cluster: &Cluster, report: &mut Report) {
    for step in cluster.brownout.iter().flatten() {
        if step.release_threshold.value >= step.threshold.value {
            let message = format!(
                "this step is taken back at {:.1}% of work refused, and taken at {:.1}%",
                step.release_threshold.value * 100.0,
                step.threshold.value * 100.0
            );
            let help = "let `back` be well below `at`, or it is taken and taken back for ever";
            let diagnostic = Diagnostic::new(
                Code::ReleaseAboveThreshold,
                step.release_threshold.span.clone(),
                message,
                help,
            );
            report.push(diagnostic.with_related(step.threshold.span.clone(), "taken here"));
        }
        for name in &step.classes {
            if !file.classes.iter().any(|class| class.name.value == name.value) {
                let known = file.classes.iter().map(|c| c.name.value.as_str()).collect();
                unknown(Code::UnknownClass, "class", name, known, report);
            }
        }
    }
}

/// Whether a brownout rule of a cluster serves fallbacks.
pub(super) fn serves_fallback(cluster: &Cluster) -> bool {
    cluster.brownout.iter().flatten().any(|step| step.action == BrownoutRuleAction::ServeFallback)
}
