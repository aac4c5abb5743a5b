//! Validation of parsed settings: rejects values that cannot work.

use crate::error::InvalidSettings;
use crate::settings::{Bounds, Settings};
use std::net::SocketAddrV4;

/// The number of ports used of the internal range: the first by coordinators, the second by agents.
const INTERNAL_PORTS: u16 = 2;
/// The number of these that are used on a coordinator's machine.
const COORDINATOR_PORTS: u16 = 1;
/// The largest value of a bound, in its unit: the roles compute times with some of them.
const MAX_BOUND: f64 = 1e9;
/// The largest memory of a machine, in MB: a PiB.
const MAX_MEMORY_MB: u64 = 1 << 30;
/// The largest number of file descriptors of a process.
const MAX_DESCRIPTORS: u64 = 1 << 31;

fn invalid(location: impl Into<String>, reason: impl Into<String>) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { location: location.into(), reason: reason.into() })
}

/// Validates settings. Returns the first error.
pub(crate) fn validate(settings: &Settings) -> Result<(), InvalidSettings> {
    validate_machine(settings)?;
    validate_ports(settings)?;
    validate_listeners(settings)?;
    validate_seeds(settings)?;
    validate_limits(settings)?;
    validate_bounds(&settings.bounds)?;
    validate_platform(settings)
}

fn validate_machine(settings: &Settings) -> Result<(), InvalidSettings> {
    if settings.node_name.is_empty() {
        return invalid("node_name", "is empty");
    }
    if settings.ip.is_unspecified() || settings.ip.is_broadcast() || settings.ip.is_multicast() {
        return invalid("ip", format!("{} is not the address of a machine", settings.ip));
    }
    if settings.heartbeat_ms == Some(0) {
        return invalid("heartbeat_ms", "is 0");
    }
    match &settings.data_dir {
        Some(directory) if !directory.is_absolute() => {
            invalid("data_dir", format!("{directory:?} does not begin with a slash"))
        }
        _ => Ok(()),
    }
}

fn validate_ports(settings: &Settings) -> Result<(), InvalidSettings> {
    let [first, last] = settings.internal_port_range;
    if first == 0 {
        return invalid("internal_port_range[0]", "is 0");
    }
    if last < first {
        return invalid("internal_port_range", format!("ends at {last} before it begins at {first}"));
    }
    let used = if settings.listen.control.is_some() { COORDINATOR_PORTS } else { INTERNAL_PORTS };
    if last - first + 1 < used {
        return invalid("internal_port_range", format!("has 1 port, but {used} are required"));
    }
    Ok(())
}

fn validate_listeners(settings: &Settings) -> Result<(), InvalidSettings> {
    let listen = &settings.listen;
    let named = [("frontend", listen.frontend), ("readiness", listen.readiness), ("control", listen.control)];
    let named: Vec<(&str, SocketAddrV4)> =
        named.into_iter().filter_map(|(name, address)| Some((name, address?))).collect();
    let [first, _] = settings.internal_port_range;
    for (index, (name, address)) in named.iter().enumerate() {
        let location = format!("listen.{name}");
        if address.port() == 0 {
            return invalid(location, "the port is 0");
        }
        if (first..first.saturating_add(INTERNAL_PORTS)).contains(&address.port()) {
            return invalid(
                location,
                format!("port {} is reserved for the fleet's internal protocol", address.port()),
            );
        }
        if let Some((other, _)) = named[..index].iter().find(|(_, other)| other == address) {
            return invalid(location, format!("{address} is also listen.{other}"));
        }
    }
    Ok(())
}

fn validate_seeds(settings: &Settings) -> Result<(), InvalidSettings> {
    for (index, seed) in settings.seed_nodes.iter().enumerate() {
        validate_peer(format!("seed_nodes[{index}]"), *seed)?;
    }
    for (announced, actual) in &settings.address_translation {
        validate_peer(format!("address_translation.{announced}"), *actual)?;
    }
    Ok(())
}

/// Validates an address that connections are opened to.
fn validate_peer(location: String, address: SocketAddrV4) -> Result<(), InvalidSettings> {
    if address.port() == 0 {
        return invalid(location, "the port is 0");
    }
    if address.ip().is_unspecified() {
        return invalid(location, format!("{} is not the address of a machine", address.ip()));
    }
    Ok(())
}

fn validate_limits(settings: &Settings) -> Result<(), InvalidSettings> {
    let limits = &settings.limits;
    validate_positive("limits.cpu_share", limits.cpu_share)?;
    validate_non_negative("limits.link_mbps", limits.link_mbps)?;
    let counts = [
        ("cores", u64::from(limits.cores), u64::MAX),
        ("memory_mb", limits.memory_mb, MAX_MEMORY_MB),
        ("max_fds", limits.max_fds, MAX_DESCRIPTORS),
    ];
    for (name, value, max) in counts {
        if value == 0 {
            return invalid(format!("limits.{name}"), "is 0");
        }
        if value > max {
            return invalid(format!("limits.{name}"), format!("{value} is above {max}"));
        }
    }
    Ok(())
}

fn validate_positive(location: &str, value: f64) -> Result<(), InvalidSettings> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    invalid(location, format!("{value} is not above 0"))
}

fn validate_non_negative(location: &str, value: f64) -> Result<(), InvalidSettings> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    invalid(location, format!("{value} is not a finite number of at least 0"))
}

fn validate_bounds(bounds: &Bounds) -> Result<(), InvalidSettings> {
    let values = [
        ("seed_lag_s", bounds.seed_lag_s),
        ("reuse_after_s", bounds.reuse_after_s),
        ("contact_ms", bounds.contact_ms),
        ("ack_ms", bounds.ack_ms),
        ("catch_up_s", bounds.catch_up_s),
        ("drain_ms", bounds.drain_ms),
        ("grace_s", bounds.grace_s),
        ("loss_slack_ms", bounds.loss_slack_ms),
        ("config_apply_ms", bounds.config_apply_ms),
        ("rollback_slack_ms", bounds.rollback_slack_ms),
        ("max_skew_ms", bounds.max_skew_ms),
        ("revoke_ms", bounds.revoke_ms),
        ("retry_budget_ratio", bounds.retry_budget_ratio),
        ("budget_window_s", bounds.budget_window_s),
        ("budget_slack", bounds.budget_slack),
        ("quota_window_s", bounds.quota_window_s),
        ("quota_over", bounds.quota_over),
        ("quota_slack", bounds.quota_slack),
        ("recovery_s", bounds.recovery_s),
        ("pass_ms", bounds.pass_ms),
        ("again_s", bounds.again_s),
    ];
    for (name, value) in values {
        let location = format!("bounds.{name}");
        validate_non_negative(&location, value)?;
        if value > MAX_BOUND {
            return invalid(location, format!("{value} is above {MAX_BOUND}"));
        }
    }
    Ok(())
}

fn validate_platform(settings: &Settings) -> Result<(), InvalidSettings> {
    let Some(platform) = &settings.cloud_api else { return Ok(()) };
    if platform.address.port() == 0 {
        return invalid("cloud_api.address", "the port is 0");
    }
    for (name, value) in [("rate_per_s", platform.rate_per_s), ("lag_ms", platform.lag_ms)] {
        validate_non_negative(&format!("cloud_api.{name}"), value)?;
    }
    Ok(())
}
