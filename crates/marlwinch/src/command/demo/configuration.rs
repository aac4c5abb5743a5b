//! The configuration of the demonstration's node, in the format of the platform.

use test_servers::environment::Environment;

/// A request class in the settings. Times are in milliseconds.
fn class(name: &str, target_ms: f64, give_up_ms: f64, idempotency: &str, credit: f64) -> serde_json::Value {
    serde_json::json!({"Name": name, "Target": target_ms, "GiveUp": give_up_ms, "Idempotency": idempotency,
        "Group": "zone", "Window": 600.0, "Credit": credit})
}

/// The configuration, in JSON, of a node that forwards to the backends of this environment.
pub fn node_configuration(environment: &Environment) -> String {
    let settings = serde_json::json!({
        "NInstances": 1, "Ordinal": 0, "Zone": 0, "Quantum": 1.0, "RegistryMode": "push",
        "Localities": environment.sites, "HostTypes": environment.machine_types,
        "Classes": [class("tally-submit", 400.0, 1000.0, "guarded", 10.0),
            class("tally-correct", 500.0, 2500.0, "single_shot", 2.0)],
        "Projects": [{"Name": "semarang", "AllowancePerS": 150.0, "Share": 0.6},
            {"Name": "banyumas", "AllowancePerS": 100.0, "Share": 0.4}],
        "LoadReport": {"Columns": ["concurrent", "depth"], "Via": "piggyback"},
        "Permissions": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 250.0, "IdleClose": 15000.0,
            "MaxRetryAfter": 1000.0, "ParallelTries": true, "Probes": false, "RetryAfter": true},
        "Rules": {"DrainGrace": 2000.0, "ColdFrom": 0.32, "RampTime": 7800.0, "OverloadFactor": 4.0,
            "TipAfter": 1500.0}});
    let known: serde_json::Value =
        serde_json::from_str(&environment.discovery.snapshot()).unwrap_or_default();
    serde_json::json!({"name": "demo", "listen": "127.0.0.1:0", "discovery": environment.discovery.address.to_string(),
        "seed": "de30", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": settings})
    .to_string()
}
