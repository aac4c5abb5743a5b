//! Coordinators within the test's process, each with its own address, thread and runtime, so that each can be
//! killed like a process.

use coordinator::node::CoordinatorNode;
use coordinator::startup::RunningCoordinator;
use coordinator::storage::ReplicaLog;
use node_settings::Settings;
use replication::Record;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// Counts starts, so that each has a different seed.
static STARTS_SO_FAR: AtomicU64 = AtomicU64::new(1);
static ADDRESSES_SO_FAR: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other test uses: two bytes follow from the process id, the last one is counted.
pub fn next_ip() -> Ipv4Addr {
    let process = std::process::id();
    let number = ADDRESSES_SO_FAR.fetch_add(1, Ordering::Relaxed);
    assert!(number < 255, "too many machines in one test program");
    Ipv4Addr::new(127, 1 + ((process >> 8) % 250) as u8, process as u8, number)
}

/// A simulated disk, which outlives the coordinator that writes to it.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<Vec<Record>>>);

impl ReplicaLog for Disk {
    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        self.0.lock().expect("no panic").extend_from_slice(records);
        Ok(())
    }
    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        *self.0.lock().expect("no panic") = records.to_vec();
        Ok(())
    }
}

/// What the settings of a group of machines are generated from.
pub struct Plan {
    pub ips: Vec<Ipv4Addr>,
    pub ports: [u16; 2],
    pub platform: SocketAddrV4,
}

impl Plan {
    /// Assigns addresses to `count` machines, and ports that are free on the first of them.
    pub fn new(count: usize, platform: SocketAddrV4) -> Self {
        let ips: Vec<Ipv4Addr> = (0..count).map(|_| next_ip()).collect();
        let free = [0, 1].map(|_| TcpListener::bind((ips[0], 0)).expect("a free port"));
        let ports = [0, 1].map(|index: usize| free[index].local_addr().expect("an address").port());
        Plan { ips, ports, platform }
    }

    fn settings(&self, number: usize, bootstrap: bool) -> Settings {
        let ip = self.ips[number];
        let [control, internal] = self.ports;
        let seeds: Vec<String> = self.ips.iter().map(|ip| format!("'{ip}:{control}'")).collect();
        let text = format!(
            "{{node_name: core-{}, ip: {ip}, zone: z{}, listen: {{control: '{ip}:{control}'}},
            internal_port_range: [{internal}, {}], seed_nodes: [{}], bootstrap: {bootstrap},
            fault_tolerance: {{machines: 1}}, cloud_api: {{address: '{}', rate_per_s: 44.0}}}}",
            number + 1,
            number + 1,
            internal.saturating_add(1),
            seeds.join(", "),
            self.platform
        );
        Settings::parse(&text).expect("settings")
    }
}

/// A running coordinator.
pub struct Machine {
    pub name: String,
    pub control: SocketAddrV4,
    pub internal: SocketAddrV4,
    pub node: Arc<CoordinatorNode>,
    stop_request: Option<oneshot::Sender<StopKind>>,
    thread: Option<JoinHandle<()>>,
}

enum StopKind {
    Kill,
    Terminate,
}

impl Machine {
    /// Starts the coordinator with this number on a disk.
    pub fn start(plan: &Plan, number: usize, disk: &Disk, bootstrap: bool) -> Self {
        let settings = plan.settings(number, bootstrap);
        let control = settings.listen.control.expect("control");
        let internal = settings.coordinator_address(settings.ip);
        let name = settings.node_name.clone();
        let (stop_request, stop_requested) = oneshot::channel();
        let (started, node) = std::sync::mpsc::channel();
        let disk = disk.clone();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let records = disk.0.lock().expect("no panic").clone();
                let seed = STARTS_SO_FAR.fetch_add(1, Ordering::Relaxed);
                let running =
                    RunningCoordinator::start(&settings, Box::new(disk), records, seed).expect("it starts");
                started.send(running.node().clone()).expect("the test waits");
                if let Ok(StopKind::Terminate) = stop_requested.await {
                    running.shut_down().await;
                }
            });
        });
        let node = node.recv().expect("it starts");
        Machine { name, control, internal, node, stop_request: Some(stop_request), thread: Some(thread) }
    }

    /// Waits until this coordinator is the acting head of the chain.
    pub async fn wait_until_acting_head(&self) {
        self.node.replica.role_status().wait_for(|role| role.acting_head).await.expect("it runs");
    }

    /// Stops the coordinator as SIGKILL would.
    pub fn kill(mut self) {
        self.stop(StopKind::Kill);
    }

    /// Shuts the coordinator down as SIGTERM would, and waits until it has ended.
    pub fn terminate(mut self) {
        self.stop(StopKind::Terminate);
    }

    fn stop(&mut self, kind: StopKind) {
        if let Some(sender) = self.stop_request.take() {
            // If the thread has already ended with a panic, joining it below reports that.
            let _ = sender.send(kind);
        }
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.stop(StopKind::Kill);
        }
    }
}
