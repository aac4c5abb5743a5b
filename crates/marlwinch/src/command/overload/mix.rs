//! The mix of requests of a surge by class and tenant, checked against the plan of routes.

use super::arguments::{MixPart, OverloadArguments};
use super::error::SurgeError;
use route_config::Plan;

/// The names of the classes of a plan's routes, sorted and each once.
fn known_classes(plan: &Plan) -> Vec<&str> {
    let mut classes: Vec<_> = plan.routes.iter().map(|route| route.class_name.as_str()).collect();
    classes.sort_unstable();
    classes.dedup();
    classes
}

/// Checks that the plan has a class that an option names.
pub fn check_class(plan: &Plan, option: &'static str, class: &str) -> Result<(), SurgeError> {
    let known = known_classes(plan);
    if known.contains(&class) {
        return Ok(());
    }
    Err(SurgeError::UnknownClass(option, class.into(), known.join(", ")))
}

/// The mix of the arguments, or all classes and tenants with equal weight. Each part has a tenant if the plan
/// has any.
pub fn resolve_mix(plan: &Plan, arguments: &OverloadArguments) -> Result<Vec<MixPart>, SurgeError> {
    let mut parts = Vec::new();
    if arguments.mix.is_empty() {
        for class in known_classes(plan) {
            add_part(plan, &mut parts, &MixPart { class: class.into(), tenant: None, weight: 1.0 });
        }
    }
    for part in &arguments.mix {
        check_class(plan, "--mix", &part.class)?;
        if let Some(tenant) = part.tenant.as_ref().filter(|tenant| !plan.tenants.contains(tenant)) {
            return Err(SurgeError::UnknownTenant(tenant.clone()));
        }
        add_part(plan, &mut parts, part);
    }
    Ok(parts)
}

/// Adds a part; one without a tenant is divided evenly among all tenants.
fn add_part(plan: &Plan, parts: &mut Vec<MixPart>, part: &MixPart) {
    if part.tenant.is_some() || plan.tenants.is_empty() {
        parts.push(part.clone());
        return;
    }
    let weight = part.weight / plan.tenants.len() as f64;
    let of_tenant =
        |tenant: &String| MixPart { class: part.class.clone(), tenant: Some(tenant.clone()), weight };
    parts.extend(plan.tenants.iter().map(of_tenant));
}
