//! Compiles the settings of a cluster's admission gate: limits of backends, priorities of classes, shares of
//! tenants, brownout.

use super::routes::ClusterClass;
use crate::model::{BrownoutRule, BrownoutRuleAction, Cluster, File, LimitRule};
use crate::resolve::built_in;
use admission_control::GateSettings;
use admission_control::backends::LimitSettings;
use admission_control::brownout::{BrownoutAction, BrownoutStep};
use admission_control::gate::TenantSettings;
use admission_control::limit::LimitBounds;
use std::time::Duration;

/// The settings of a cluster's admission gate. Guaranteed rates and limits are for all nodes together, so
/// each node takes an equal part; an adaptive limit only starts at that part.
pub(super) fn gate_settings(file: &File, cluster: &Cluster, classes: &[ClusterClass]) -> GateSettings {
    let nodes = f64::from(file.node_count());
    let rule = cluster.limit.as_ref().map_or(Some(built_in::LIMIT), |limit| limit.value);
    let bounds = rule.map(|rule| limit_bounds(rule, nodes));
    let brownout = cluster.brownout.as_ref().map_or_else(built_in_brownout, |rules| {
        rules.iter().map(|rule| brownout_step(file, rule, classes)).collect()
    });
    let tenants = file.tenants.iter().map(|tenant| TenantSettings {
        name: tenant.name.value.clone(),
        share: tenant.share.as_ref().map(|share| share.value),
        guaranteed_rate: tenant.allowance.as_ref().map_or(0.0, |allowance| allowance.value) / nodes,
    });
    GateSettings {
        limits: LimitSettings { bounds, slow_start: cluster.slow_start.as_ref().map(|time| time.value) },
        classes: classes.iter().map(|class| class.gate.clone()).collect(),
        tenants: tenants.collect(),
        brownout,
    }
}

fn limit_bounds(rule: LimitRule, nodes: f64) -> LimitBounds {
    match rule {
        LimitRule::Fixed(fixed) => {
            let per_node = (fixed / nodes).max(1.0);
            LimitBounds { initial: per_node, min: 1.0, max: per_node, is_adaptive: false, nodes }
        }
        LimitRule::Adaptive { initial, min, max } => {
            LimitBounds { initial: (initial / nodes).max(min), min, max, is_adaptive: true, nodes }
        }
    }
}

fn brownout_step(file: &File, rule: &BrownoutRule, classes: &[ClusterClass]) -> BrownoutStep {
    let is_shed = |class: &ClusterClass| {
        let name = &file.classes[class.class_in_file].name.value;
        rule.classes.iter().any(|shed| shed.value == *name)
    };
    let shed = || classes.iter().enumerate().filter(|(_, class)| is_shed(class)).map(|(at, _)| at).collect();
    BrownoutStep {
        threshold: rule.threshold.value,
        release_threshold: rule.release_threshold.value,
        hold_time: rule.hold_time,
        action: match rule.action {
            BrownoutRuleAction::DisableHedging => BrownoutAction::DisableHedging,
            BrownoutRuleAction::DisableRetries => BrownoutAction::DisableRetries,
            BrownoutRuleAction::ShedClasses => BrownoutAction::ShedClasses(shed()),
            BrownoutRuleAction::ServeFallback => BrownoutAction::ServeFallback,
        },
    }
}

/// The built-in brownout rules: hedging is switched off first, as it is optional work, then retries after an
/// attempt that may have been executed.
fn built_in_brownout() -> Vec<BrownoutStep> {
    let step = |threshold, release_threshold, hold_s, action| BrownoutStep {
        threshold,
        release_threshold,
        hold_time: Duration::from_secs(hold_s),
        action,
    };
    vec![
        step(0.02, 0.005, 1, BrownoutAction::DisableHedging),
        step(0.1, 0.02, 2, BrownoutAction::DisableRetries),
    ]
}
