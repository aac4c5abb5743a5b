//! The settings files of the processes, in JSON, which is valid YAML.

use crate::topology::{COORDINATORS, INTERNAL_PORTS, Topology, ZONES, coordinator_name, frontend_name};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

/// The setting `drain_ms`: how long after its drain is listed a backend may still get new requests.
pub const DRAIN_BOUND: Duration = Duration::from_millis(3000);
/// The setting `config_apply_ms`: how long an acknowledged configuration may take to be in force at a
/// frontend.
pub const CONFIG_APPLY_BOUND: Duration = Duration::from_millis(2000);

/// How a coordinator without stored data starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterStart {
    /// It forms a new core with the others.
    Bootstrap,
    /// It joins an existing core.
    Join,
}

/// The settings of a coordinator, as JSON.
pub fn coordinator_settings(
    topology: &Topology,
    number: usize,
    data: &Path,
    platform: SocketAddrV4,
    start: ClusterStart,
) -> String {
    let mut settings = common_settings(topology, topology.coordinator_ip(number), platform);
    settings["node_name"] = json!(coordinator_name(number));
    settings["machine_class"] = json!("core");
    settings["zone"] = json!(ZONES[number % ZONES.len()]);
    settings["listen"] = json!({"control": topology.control_address(number).to_string()});
    settings["counts_for_quorum"] = json!(true);
    settings["bootstrap"] = json!(start == ClusterStart::Bootstrap);
    settings["data_dir"] = json!(data);
    settings.to_string()
}

/// The settings of a frontend, as JSON. Its agent and its data plane share them.
pub fn frontend_settings(topology: &Topology, number: usize, platform: SocketAddrV4) -> String {
    let (client_address, readiness) = (topology.client_address(number), topology.readiness_address(number));
    let mut settings = common_settings(topology, topology.frontend_ip(number), platform);
    settings["node_name"] = json!(frontend_name(number));
    settings["machine_class"] = json!("frontend");
    settings["zone"] = json!(ZONES[number % ZONES.len()]);
    settings["listen"] = json!({"frontend": client_address.to_string(), "readiness": readiness.to_string()});
    settings.to_string()
}

fn common_settings(topology: &Topology, ip: Ipv4Addr, platform: SocketAddrV4) -> Value {
    let seeds: Vec<String> =
        (0..COORDINATORS).map(|number| topology.control_address(number).to_string()).collect();
    let drain_ms = DRAIN_BOUND.as_millis() as u64;
    let config_apply_ms = CONFIG_APPLY_BOUND.as_millis() as u64;
    json!({"ip": ip, "region": "loopback", "internal_port_range": INTERNAL_PORTS, "seed_nodes": seeds,
        "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 256, "max_fds": 1024, "link_mbps": 1000.0,
            "disk_mb": 64},
        "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {"drain_ms": drain_ms, "config_apply_ms": config_apply_ms, "grace_s": 4},
        "cloud_api": {"address": platform.to_string(), "rate_per_s": 40.0, "lag_ms": 100}})
}
