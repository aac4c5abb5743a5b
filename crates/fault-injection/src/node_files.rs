//! The configuration files that a trial starts its nodes from: an operator's file with its listeners and
//! backends replaced, or the platform's configuration. Only composes their texts; does no I/O.

use crate::plan::NodeKind;
use quick_error::quick_error;
use std::net::SocketAddr;
use test_servers::discovery::{Endpoint, Lifecycle};
use toml::{Table, Value};

/// The listen address of nodes. Each logs the port that the system assigned.
const ANY_PORT: &str = "127.0.0.1:0";

/// The state of a backend as a node is notified of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It accepts requests.
    InService,
    /// It drains: it must not get new requests.
    Draining,
}

/// A backend as one node reaches it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendLink {
    /// The backend's name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// The address of the relay between the node and the backend.
    pub address: SocketAddr,
    /// Its state as the node is notified of it.
    pub drain_state: DrainState,
}

/// A node's position among the nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePosition {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its index, from 0.
    pub index: usize,
    /// The number of nodes.
    pub nodes: usize,
}

/// The file and the arguments with which a node is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCommand {
    /// The name of the file that it reads.
    pub file: &'static str,
    /// The command line arguments.
    pub arguments: &'static [&'static str],
}

quick_error! {
    /// Why an operator's file can't be used for a node.
    #[derive(Debug)]
    pub enum NodeFileError {
        /// It is not valid TOML.
        Parse(source: toml::de::Error) {
            from()
            display("{source}")
            source(source)
        }
        /// The changed file can't be written as TOML.
        Serialize(source: toml::ser::Error) {
            from()
            display("{source}")
            source(source)
        }
    }
}

/// The operator's file for one node. All backends of the trial replace those of each cluster, and the node
/// and listener settings are set for the trial. Admin and trace settings are removed; the rest of the file is
/// unchanged.
///
/// # Errors
/// The text is not valid TOML.
pub fn operator_file(
    text: &str,
    position: &NodePosition,
    backends: &[BackendLink],
) -> Result<String, NodeFileError> {
    let mut file: Table = text.parse()?;
    let text = |text: &str| Value::String(text.to_string());
    let node = file.entry("node").or_insert_with(|| Value::Table(Table::new()));
    if let Some(node) = node.as_table_mut() {
        node.insert("name".into(), text(&position.name));
        node.insert("nodes".into(), Value::Integer(position.nodes as i64));
        node.insert("number".into(), Value::Integer(position.index as i64));
        node.insert("zone".into(), text(&position.site));
    }
    let listener = Table::from_iter([("address".to_string(), text(ANY_PORT))]);
    file.insert("listener".into(), Value::Array(vec![Value::Table(listener)]));
    for cluster in file.get_mut("cluster").and_then(Value::as_array_mut).into_iter().flatten() {
        let Some(cluster) = cluster.as_table_mut() else { continue };
        let entries = backends.iter().map(|backend| {
            let mut entry = Table::new();
            entry.insert("name".into(), text(&backend.name));
            entry.insert("address".into(), text(&backend.address.to_string()));
            entry.insert("zone".into(), text(&backend.site));
            if backend.drain_state == DrainState::Draining {
                entry.insert("state".into(), text("draining"));
            }
            Value::Table(entry)
        });
        cluster.insert("box".into(), Value::Array(entries.collect()));
    }
    // The nodes run on one machine and can't share an admin address or a trace file.
    file.remove("admin");
    file.remove("trace");
    Ok(toml::to_string(&file)?)
}

/// The platform's configuration for one node, as JSON. `endpoints` is the initial list of backends, as JSON.
pub fn platform_configuration(
    position: &NodePosition,
    sites: &[String],
    discovery: SocketAddr,
    endpoints: &str,
    seed: u64,
) -> String {
    let class = |name: &str, target: f64, timeout: f64, idempotency: &str, credit: f64| {
        serde_json::json!({"Name": name, "Target": target, "GiveUp": timeout, "Idempotency": idempotency,
            "Group": "zone", "Window": 600.0, "Credit": credit})
    };
    let zone = sites.iter().position(|site| *site == position.site).unwrap_or(0);
    let settings = serde_json::json!({
        "NInstances": position.nodes, "Ordinal": position.index, "Zone": zone, "Quantum": 1.0, "RegistryMode": "push",
        "Localities": sites, "HostTypes": ["std"],
        "Classes": [class("look", 400.0, 1000.0, "free", 1.0), class("submit", 400.0, 1000.0, "guarded", 10.0),
            class("correct", 500.0, 1000.0, "single_shot", 2.0)],
        "Projects": [{"Name": "semarang", "AllowancePerS": 10_000.0, "Share": 1.0}],
        "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "piggyback"},
        "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "IdleClose": 15000.0,
            "MaxRetryAfter": 1000.0, "ParallelTries": true, "Probes": false, "RetryAfter": true},
        "Rules": {"DrainGrace": 2000.0, "ColdFrom": 0.32, "RampTime": 7800.0, "OverloadFactor": 4.0,
            "TipAfter": 1500.0}});
    let endpoints: serde_json::Value = serde_json::from_str(endpoints).unwrap_or_default();
    serde_json::json!({"name": position.name, "listen": ANY_PORT,
        "discovery": discovery.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": endpoints, "settings": settings})
    .to_string()
}

/// The entry of a backend in the list that discovery publishes to one node.
pub fn endpoint(link: &BackendLink, lifecycle: Lifecycle, started_at_ms: u64) -> Endpoint {
    Endpoint {
        instance_id: link.name.clone(),
        host_port: link.address,
        zone: link.site.clone(),
        machine_type: "std".into(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started_at_ms,
    }
}

/// The configuration file and the arguments of nodes of this kind.
pub fn node_command(kind: &NodeKind) -> NodeCommand {
    match kind {
        NodeKind::File(_) => NodeCommand { file: "node.toml", arguments: &["run", "node.toml"] },
        NodeKind::Platform => NodeCommand { file: "config.json", arguments: &[] },
    }
}
