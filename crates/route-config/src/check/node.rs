//! Checks of the node's settings and of the tenants' shares.

use crate::diagnostic::{Code, Diagnostic, Report};
use crate::model::File;
use crate::read::closest_word;
use std::collections::HashSet;

/// The maximum number of zones that the balancer distinguishes.
const MAX_ZONES: usize = 200;

/// Checks that the node's zone has backends, that there are not too many zones, and that the node's index is
/// below the number of nodes.
pub(super) fn node(file: &File, report: &mut Report) {
    let zones: HashSet<_> = file
        .clusters
        .iter()
        .flat_map(|c| &c.backends)
        .filter_map(|b| Some(b.zone.as_ref()?.value.as_str()))
        .collect();
    if let Some(zone) = file.node.zone.as_ref().filter(|zone| !zones.contains(zone.value.as_str())) {
        let help = match closest_word(&zone.value, zones.iter().copied()) {
            Some(known) => format!("did you mean `{known}`?"),
            None => "set `zone` for the backends that are in it".into(),
        };
        let message = format!("no backend is in the zone `{}`", zone.value);
        report.push(Diagnostic::new(Code::UnknownZone, zone.span.clone(), message, help));
    }
    if zones.len() > MAX_ZONES {
        let span = file.clusters[0].name.span.clone();
        let message = format!("the backends are in {} zones", zones.len());
        let help = format!("use at most {MAX_ZONES} zones");
        report.push(Diagnostic::new(Code::NumberOutOfRange, span, message, help));
    }
    let nodes = file.node_count();
    if let Some(number) = file.node.number.as_ref().filter(|number| number.value >= nodes) {
        let message = format!("node number {} is not below the number of nodes, {nodes}", number.value);
        let help = "`number` counts from 0, and `nodes` is the number of nodes";
        report.push(Diagnostic::new(Code::NumberOutOfRange, number.span.clone(), message, help));
    }
}

/// Checks that the tenants' shares add up to at most 1.
pub(super) fn shares(file: &File, report: &mut Report) {
    let sum: f64 = file.tenants.iter().filter_map(|t| Some(t.share.as_ref()?.value)).sum();
    // The tolerance allows for rounding in sums of decimal fractions.
    if let Some(last) = file.tenants.iter().rev().find_map(|t| t.share.as_ref()).filter(|_| sum > 1.0 + 1e-6)
    {
        let message = format!("the tenants' shares add up to {:.1}%", sum * 100.0);
        let help = "lower them to at most 100% in total";
        report.push(Diagnostic::new(Code::SharesExceedOne, last.span.clone(), message, help));
    }
}
