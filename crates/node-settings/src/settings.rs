//! The model of a settings file. The names of types and fields appear in the file, or in errors that
//! operators see.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "MARLWINCH_NODE_FILE";

/// The content of a settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// The name of the node, unique in the fleet.
    pub node_name: String,
    /// The class of the machine, such as `frontend` or `core`; empty if not set.
    #[serde(default)]
    pub machine_class: String,
    /// The IPv4 address of the machine.
    pub ip: Ipv4Addr,
    /// The zone of the machine; empty if not set.
    #[serde(default)]
    pub zone: String,
    /// The region of the machine; empty if not set.
    #[serde(default)]
    pub region: String,
    /// The region of every zone, by the zone's name.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses at which the process listens.
    #[serde(default)]
    pub listen: Listen,
    /// The first and the last port of the range for connections between coordinators, agents and proxies. The
    /// same on every machine.
    pub internal_port_range: [u16; 2],
    /// The operator interfaces of some coordinators, as known when the file was written.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Where to connect to instead of an announced address, for coordinators behind a relay or a network that
    /// translates addresses; empty if there is none.
    #[serde(default)]
    pub address_translation: BTreeMap<SocketAddrV4, SocketAddrV4>,
    /// Whether the fleet starts for the first time, with empty disks, so that the coordinators may form the
    /// first chain.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether a failure of this machine counts towards [`FaultTolerance::machines`].
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// The resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The absolute path of the directory for persistent state; `None` on machines without a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The heartbeat interval, in milliseconds; `None` if it is not set.
    #[serde(default)]
    pub heartbeat_ms: Option<u64>,
    /// The failures that are tolerated at the same time.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The bounds that the operators' rules set for the fleet.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's API, if the list of backends is read from there.
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
}

/// The addresses at which a process listens.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// The address for clients; `None` on machines that serve none.
    pub frontend: Option<SocketAddrV4>,
    /// The address for the platform's readiness probe; `None` for none.
    pub readiness: Option<SocketAddrV4>,
    /// The address of the operator interface, which only coordinators have.
    pub control: Option<SocketAddrV4>,
}

/// The resources that a process may use on its machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The fraction of a core's time, above 0; 1 if not set.
    pub cpu_share: f64,
    /// The number of cores; 1 if not set.
    pub cores: u32,
    /// The memory, in MB, from 1 to 2^30; 256 if not set.
    pub memory_mb: u64,
    /// The number of file descriptors, from 1 to 2^31; 1024 if not set.
    pub max_fds: u64,
    /// The bandwidth of the machine's network interface, in Mbit/s.
    pub link_mbps: f64,
    /// The disk space, in MB; 0 if not set.
    pub disk_mb: u64,
}

/// The number of simultaneous failures under which every rule must still hold.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// The number of failed machines, of those that count for the quorum.
    pub machines: u32,
    /// The number of failed zones; 0 if not set.
    pub zones: u32,
    /// The number of failed regions; 0 if not set.
    pub regions: u32,
}

/// The bounds of the operators' rules. Each is a number from 0 to 1,000,000,000. Fields are named as in the
/// file: those in `_ms` are in milliseconds, those in `_s` in seconds; all others are ratios, or numbers of
/// requests or tokens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Bounds {
    pub seed_lag_s: f64,
    pub reuse_after_s: f64,
    pub contact_ms: f64,
    pub ack_ms: f64,
    pub catch_up_s: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub loss_slack_ms: f64,
    pub config_apply_ms: f64,
    pub rollback_slack_ms: f64,
    pub max_skew_ms: f64,
    pub revoke_ms: f64,
    pub retry_budget_ratio: f64,
    pub budget_window_s: f64,
    pub budget_slack: f64,
    pub quota_window_s: f64,
    pub quota_over: f64,
    pub quota_slack: f64,
    pub recovery_s: f64,
    pub pass_ms: f64,
    pub again_s: f64,
}

/// The platform's API, which lists the backends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct CloudApi {
    /// The address at which the API accepts HTTP requests.
    pub address: SocketAddrV4,
    /// The rate limit for the requests of all nodes together, in requests per second.
    #[serde(default)]
    pub rate_per_s: f64,
    /// The greatest staleness of the list of backends, in milliseconds.
    #[serde(default)]
    pub lag_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cpu_share: 1.0, cores: 1, memory_mb: 256, max_fds: 1024, link_mbps: 1000.0, disk_mb: 0 }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 3000.0,
            ack_ms: 4000.0,
            catch_up_s: 4.0,
            drain_ms: 3000.0,
            grace_s: 8.0,
            loss_slack_ms: 200.0,
            config_apply_ms: 2000.0,
            rollback_slack_ms: 250.0,
            max_skew_ms: 5000.0,
            revoke_ms: 5000.0,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 50.0,
            quota_window_s: 8.0,
            quota_over: 0.1,
            quota_slack: 0.0,
            recovery_s: 12.0,
            pass_ms: 120.0,
            again_s: 8.0,
        }
    }
}

impl Settings {
    /// The address at which the coordinator on a machine accepts connections from agents and other
    /// coordinators.
    pub fn coordinator_address(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.internal_port_range[0])
    }

    /// The address at which the agent accepts the proxy of its machine: at 127.0.0.1, or at the address of
    /// the machine if that is a loopback address, so that several nodes can run on one host.
    pub fn agent_address(&self) -> SocketAddrV4 {
        let ip = if self.ip.is_loopback() { self.ip } else { Ipv4Addr::LOCALHOST };
        SocketAddrV4::new(ip, self.internal_port_range[0] + 1)
    }
}
