//! The processes of the deployment: three core machines and some frontends, each with an address of its own.

use std::fs::{self, OpenOptions};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const CORE_MACHINES: u8 = 3;
/// The last byte of the address of the first frontend.
const FIRST_FRONTEND: u8 = 20;
/// The last byte of the platform's address.
const PLATFORM: u8 = 250;

/// The deployment. Dropping it ends its processes and removes its folder.
pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    /// The first three bytes of all addresses.
    network: String,
    frontends: u8,
    /// Whether the settings say that the whole system starts for the first time.
    bootstrap: bool,
    children: Vec<Child>,
}

impl Fleet {
    /// Chooses a loopback network whose ports are free, and a temporary folder.
    pub fn prepare(root: &str, frontends: u8) -> Result<Self, String> {
        let id = std::process::id();
        let is_free = |network: &String| {
            let ports = [(1, 8665), (1, 7680), (FIRST_FRONTEND, 8662), (PLATFORM, 8667), (200, 8000)];
            ports.iter().all(|(host, port)| TcpListener::bind(format!("{network}.{host}:{port}")).is_ok())
        };
        let networks = (0..50).map(|step| format!("127.{}.{}", 64 + (id / 200 + step) % 100, id % 200));
        let network = networks.into_iter().find(is_free).ok_or("no loopback network has free ports")?;
        let folder = std::env::temp_dir().join(format!("marlwinch-review-{id}"));
        fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        Ok(Fleet { root: root.into(), folder, network, frontends, bootstrap: true, children: Vec::new() })
    }

    /// An address of the network.
    pub fn address(&self, host: u8, port: u16) -> String {
        format!("{}.{host}:{port}", self.network)
    }

    /// Where the platform is to listen.
    pub fn platform(&self) -> String {
        self.address(PLATFORM, 8667)
    }

    /// The operator's addresses.
    pub fn coordinators(&self) -> Vec<String> {
        (1..=CORE_MACHINES).map(|host| self.address(host, 8665)).collect()
    }

    /// The clients' addresses.
    pub fn frontends(&self) -> Vec<String> {
        (0..self.frontends).map(|number| self.address(FIRST_FRONTEND + number, 8662)).collect()
    }

    /// The addresses of the readiness checks.
    pub fn readiness(&self) -> Vec<String> {
        (0..self.frontends).map(|number| self.address(FIRST_FRONTEND + number, 8663)).collect()
    }

    /// Starts all processes, those of the frontends first: machines start in any order, and what they need may
    /// not listen yet.
    pub fn start(&mut self) -> Result<(), String> {
        self.start_frontends()?;
        for host in 1..=CORE_MACHINES {
            let data = self.folder.join(format!("core-{host}"));
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
            let listen = format!("listen:\n  control: \"{}\"\n", self.address(host, 8665));
            let extra = format!("{listen}data_dir: \"{}\"\n", data.display());
            self.start_roles(&format!("core-{host}"), "core", host, &extra, &["coordinator"])?;
        }
        Ok(())
    }

    fn start_frontends(&mut self) -> Result<(), String> {
        for number in 0..self.frontends {
            let host = FIRST_FRONTEND + number;
            let (clients, readiness) = (self.address(host, 8662), self.address(host, 8663));
            let extra = format!("listen:\n  frontend: \"{clients}\"\n  readiness: \"{readiness}\"\n");
            let roles = ["agent", "data-plane"];
            self.start_roles(&format!("frontend-{number}"), "frontend", host, &extra, &roles)?;
        }
        Ok(())
    }

    /// Kills all processes at the same moment, and waits until they have ended.
    pub fn kill_all(&mut self) {
        self.children.iter_mut().for_each(|child| drop(child.kill()));
        self.children.iter_mut().for_each(|child| drop(child.wait()));
        self.children.clear();
        self.bootstrap = false;
    }

    /// Writes the settings of a machine and starts its roles with the commands of the deploy file.
    fn start_roles(
        &mut self,
        name: &str,
        class: &str,
        host: u8,
        extra: &str,
        roles: &[&str],
    ) -> Result<(), String> {
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = self.settings(name, class, host) + extra;
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        for role in roles {
            let command = self.command(role)?;
            let mut words = command.split(' ');
            let program = self.root.join(words.next().unwrap_or_default());
            let log = self.folder.join(format!("{name}-{role}.log"));
            let log = OpenOptions::new().create(true).append(true).open(log);
            let log = log.map_err(|error| error.to_string())?;
            let errors = log.try_clone().map_err(|error| error.to_string())?;
            let child = Command::new(&program)
                .args(words)
                .current_dir(&self.root)
                .env("MARLWINCH_NODE_FILE", &settings)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()
                .map_err(|error| format!("{}: {error}", program.display()))?;
            self.children.push(child);
        }
        Ok(())
    }

    /// The line `run` of a role in the deploy file.
    fn command(&self, role: &str) -> Result<String, String> {
        let path = self.root.join("deploy/system.toml");
        let text = fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        let section = format!("[roles.{role}]");
        let lines = text.lines().skip_while(|line| *line != section);
        let run = lines.into_iter().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        run.map(str::to_string).ok_or_else(|| format!("{}: no command for {role}", path.display()))
    }

    fn settings(&self, name: &str, class: &str, host: u8) -> String {
        let seeds: Vec<String> = self.coordinators().iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let (network, platform, seeds) = (&self.network, self.platform(), seeds.concat());
        let (is_core, bootstrap) = (class == "core", self.bootstrap);
        format!(
            "node_name: \"{name}\"\nmachine_class: \"{class}\"\nip: \"{network}.{host}\"\nzone: \"a\"\nregion: \"r\"\n\
             internal_port_range:\n  - 7680\n  - 7695\nseed_nodes:\n{seeds}bootstrap: {bootstrap}\ncounts_for_quorum: {is_core}\n\
             limits:\n  cpu_share: 1.0\n  cores: 1\n  memory_mb: 256\n  max_fds: 1024\n  link_mbps: 1000.0\n  disk_mb: 128\n\
             fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 3000\n  \
             grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  \
             closed: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 56\n  \
             quota_window_s: 8\n  quota_over: 0.1\n  quota_slack: 110000\n  recovery_s: 12\n  pass_ms: 120\n  again_s: 8.1\n\
             cloud_api:\n  address: \"{platform}\"\n  rate_per_s: 44.0\n  duties: []\n  lag_ms: 800\n"
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
