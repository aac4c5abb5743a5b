//! Compares the settings that are parsed from three files with golden files: a file with every key, one with
//! the required keys only (which gives the defaults), and one as a platform writes it.
//!
//! The files `tests/golden/*.yaml` are edited by hand. The parsed settings are only written by `GOLDEN=write
//! cargo test -p node-settings --test golden`. Otherwise, a missing or different file fails the test, which
//! prints the first difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;

use node_settings::{Bounds, CloudApi, FaultTolerance, Limits, Listen, PATH_VARIABLE, Settings};
use std::fmt::{Debug, Display};

const FILES: [&str; 3] = ["full", "least", "written_by_the_platform"];
/// The keys that a file must have.
const REQUIRED: [&str; 4] = ["node_name", "ip", "internal_port_range", "cloud_api.address"];
/// Values that are derived from settings.
const DERIVED: [&str; 2] = ["(coordinator's address)", "(agent's address)"];

/// The names of settings as in a file, with their values.
#[derive(Default)]
struct SettingsDump(Vec<(String, String)>);

impl SettingsDump {
    fn add(&mut self, name: &str, value: impl Debug) {
        self.0.push((name.to_owned(), format!("{value:?}")));
    }

    fn add_optional(&mut self, name: &str, value: Option<impl Display>) {
        self.0.push((name.to_owned(), value.map_or("(none)".to_owned(), |value| value.to_string())));
    }

    fn text(&self) -> String {
        self.0.iter().map(|(name, value)| format!("{name}: {value}\n")).collect()
    }

    fn value(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

/// All settings. The patterns are exhaustive, so that a new setting does not compile without a line here.
fn dump(settings: &Settings) -> SettingsDump {
    let mut dump = SettingsDump::default();
    let Settings {
        node_name,
        machine_class,
        ip,
        zone,
        region,
        zones,
        listen,
        internal_port_range,
        seed_nodes,
        address_translation,
        bootstrap,
        counts_for_quorum,
        limits,
        data_dir,
        heartbeat_ms,
        fault_tolerance,
        bounds,
        cloud_api,
    } = settings;
    dump.add("node_name", node_name);
    dump.add("machine_class", machine_class);
    dump.add_optional("ip", Some(ip));
    dump.add("zone", zone);
    dump.add("region", region);
    dump.add("zones", zones);
    let Listen { frontend, readiness, control } = listen;
    dump.add_optional("listen.frontend", *frontend);
    dump.add_optional("listen.readiness", *readiness);
    dump.add_optional("listen.control", *control);
    dump.add("internal_port_range", internal_port_range);
    dump.add("seed_nodes", seed_nodes);
    dump.add("address_translation", address_translation);
    dump.add("bootstrap", bootstrap);
    dump.add("counts_for_quorum", counts_for_quorum);
    let Limits { cpu_share, cores, memory_mb, max_fds, link_mbps, disk_mb } = limits;
    dump.add("limits.cpu_share", cpu_share);
    dump.add("limits.cores", cores);
    dump.add("limits.memory_mb", memory_mb);
    dump.add("limits.max_fds", max_fds);
    dump.add("limits.link_mbps", link_mbps);
    dump.add("limits.disk_mb", disk_mb);
    dump.add_optional("data_dir", data_dir.as_ref().map(|directory| directory.display()));
    dump.add_optional("heartbeat_ms", *heartbeat_ms);
    let FaultTolerance { machines, zones, regions } = fault_tolerance;
    dump.add("fault_tolerance.machines", machines);
    dump.add("fault_tolerance.zones", zones);
    dump.add("fault_tolerance.regions", regions);
    dump_bounds(&mut dump, bounds);
    match cloud_api {
        Some(CloudApi { address, rate_per_s, lag_ms }) => {
            dump.add_optional("cloud_api.address", Some(address));
            dump.add("cloud_api.rate_per_s", rate_per_s);
            dump.add("cloud_api.lag_ms", lag_ms);
        }
        None => dump.add_optional("cloud_api", None::<String>),
    }
    dump.add_optional("(coordinator's address)", Some(settings.coordinator_address(settings.ip)));
    dump.add_optional("(agent's address)", Some(settings.agent_address()));
    dump
}

fn dump_bounds(dump: &mut SettingsDump, bounds: &Bounds) {
    let Bounds {
        seed_lag_s,
        reuse_after_s,
        contact_ms,
        ack_ms,
        catch_up_s,
        drain_ms,
        grace_s,
        loss_slack_ms,
        config_apply_ms,
        rollback_slack_ms,
        max_skew_ms,
        revoke_ms,
        retry_budget_ratio,
        budget_window_s,
        budget_slack,
        quota_window_s,
        quota_over,
        quota_slack,
        recovery_s,
        pass_ms,
        again_s,
    } = bounds;
    dump.add("bounds.seed_lag_s", seed_lag_s);
    dump.add("bounds.reuse_after_s", reuse_after_s);
    dump.add("bounds.contact_ms", contact_ms);
    dump.add("bounds.ack_ms", ack_ms);
    dump.add("bounds.catch_up_s", catch_up_s);
    dump.add("bounds.drain_ms", drain_ms);
    dump.add("bounds.grace_s", grace_s);
    dump.add("bounds.loss_slack_ms", loss_slack_ms);
    dump.add("bounds.config_apply_ms", config_apply_ms);
    dump.add("bounds.rollback_slack_ms", rollback_slack_ms);
    dump.add("bounds.max_skew_ms", max_skew_ms);
    dump.add("bounds.revoke_ms", revoke_ms);
    dump.add("bounds.retry_budget_ratio", retry_budget_ratio);
    dump.add("bounds.budget_window_s", budget_window_s);
    dump.add("bounds.budget_slack", budget_slack);
    dump.add("bounds.quota_window_s", quota_window_s);
    dump.add("bounds.quota_over", quota_over);
    dump.add("bounds.quota_slack", quota_slack);
    dump.add("bounds.recovery_s", recovery_s);
    dump.add("bounds.pass_ms", pass_ms);
    dump.add("bounds.again_s", again_s);
}

fn read(name: &str) -> SettingsDump {
    let path = compare::path(&format!("{name}.yaml"));
    dump(&Settings::load(&path).unwrap_or_else(|error| panic!("{error}")))
}

#[test]
fn the_settings_of_each_file_match_its_golden_file() {
    for name in FILES {
        compare::assert_matches_golden(&format!("{name}.read.txt"), &read(name).text());
    }
}

/// The full file gives every setting another value than the default, so that a key that is not read is
/// noticed.
#[test]
fn the_full_file_has_no_default_values() {
    let (full, least) = (read("full"), read("least"));
    for (name, value) in &full.0 {
        let may_be_equal = REQUIRED.contains(&name.as_str()) || DERIVED.contains(&name.as_str());
        assert!(may_be_equal || least.value(name) != Some(value), "{name} has the default value {value}");
    }
}

/// The absence of a required key is an error, and no other key is required.
#[test]
fn only_the_required_keys_are_required() {
    let least = compare::read("least.yaml") + "cloud_api:\n  address: 10.200.0.96:8667\n";
    assert!(Settings::parse(&least).is_ok());
    for name in REQUIRED {
        let key = name.rsplit('.').next().expect("a key");
        let without = |line: &&str| !line.trim_start().starts_with(&format!("{key}:"));
        let mut text = least.lines().filter(without).collect::<Vec<_>>().join("\n");
        if name.contains('.') {
            text += "\n  lag_ms: 1\n";
        }
        let error = Settings::parse(&text).expect_err(name);
        assert!(error.reason.contains(&format!("missing field `{key}`")), "{name}: {error}");
    }
}

#[test]
fn the_environment_variable_has_the_documented_name() {
    assert_eq!(PATH_VARIABLE, "MARLWINCH_NODE_FILE");
}
