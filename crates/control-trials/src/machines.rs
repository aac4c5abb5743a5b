//! The machines of a trial and the processes on them: writes their settings, starts, stops and signals them,
//! and starts again what has ended by itself.

use crate::TrialError;
use crate::addresses::INTERNAL_PORTS;
use crate::deploy_file::{Role, RoleCommands};
use crate::history::FrontendId;
use crate::history::Time;
use crate::links::{Links, MachineId};
use crate::process_end::{EndRequest, UnrequestedEnd};
use crate::resource_peak::{MAX_DESCRIPTORS, MEMORY_MB, ResourcePeaks};
use crate::world::World;
use fault_injection::process::{Launch, Process, Programs};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The setting `grace_s`: how long a process has to end after SIGTERM, in seconds.
pub const GRACE_S: u64 = 8;
/// How long a process that has ended stays down before it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The interval at which ended processes are looked for.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// How long the list of coordinators in the settings of running machines trails behind the core.
pub const SEED_LAG: Duration = Duration::from_millis(3000);
/// The interval at which the resources of all processes are measured.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(1000);
/// How many lines of a log are kept of a process that ended by itself.
const LAST_LINES: usize = 8;
/// A settings file that no role can read.
const INVALID_SETTINGS: &str = "node_name: [";

/// A signal that a machine's processes may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
}

impl Signal {
    /// What the signal asks of a process as to its end.
    fn end_request(self) -> EndRequest {
        match self {
            Signal::Kill => EndRequest::Kill,
            Signal::Terminate => EndRequest::Terminate,
            Signal::Reload | Signal::Pause | Signal::Resume => EndRequest::None,
        }
    }
}

/// A process that has ended, and what it was asked for.
struct EndedProcess {
    role: Role,
    code: i32,
    request: EndRequest,
}

/// What is to become of a machine whose processes have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Upkeep {
    /// They are started again.
    Restarted,
    /// They stay down until the machine is started.
    Down,
    /// The machine is gone for good.
    Removed,
}

/// A process, and whether it was asked to end.
struct RunningProcess {
    process: Process,
    request: EndRequest,
}

/// A machine with its processes.
pub struct Machine {
    /// Which machine it is.
    pub id: MachineId,
    /// The name of the node.
    pub name: String,
    bootstrap: Cell<bool>,
    upkeep: Cell<Upkeep>,
    /// How often processes of the machine were started.
    starts: Cell<u32>,
    /// What the state of the settings file asks of processes as to their end.
    settings_request: Cell<EndRequest>,
    processes: RefCell<BTreeMap<Role, RunningProcess>>,
}

impl Machine {
    /// The roles that run on the machine.
    fn roles(&self) -> &'static [Role] {
        match self.id {
            MachineId::Coordinator(_) => &[Role::Coordinator],
            MachineId::Frontend(_) => &[Role::Agent, Role::DataPlane],
        }
    }

    /// How often processes of the machine were started.
    pub fn incarnation(&self) -> u32 {
        self.starts.get()
    }

    /// Sends a signal to the processes of these roles, or of all with an empty list.
    pub fn signal(&self, signal: Signal, roles: &[Role]) {
        let mut processes = self.processes.borrow_mut();
        let selected = processes.iter_mut().filter(|(role, _)| roles.is_empty() || roles.contains(role));
        for (_, running) in selected {
            match signal {
                Signal::Kill => running.process.kill(),
                Signal::Terminate => running.process.terminate(),
                Signal::Reload => running.process.reload(),
                Signal::Pause => running.process.pause(),
                Signal::Resume => running.process.resume(),
            }
            running.request = running.request.max(signal.end_request());
        }
    }

    fn ended(&self) -> Vec<EndedProcess> {
        let processes = self.processes.borrow();
        let ended = processes.iter().filter_map(|(role, running)| {
            let request = running.request.max(self.settings_request.get());
            Some(EndedProcess { role: *role, code: running.process.exit_code()?, request })
        });
        ended.collect()
    }

    /// Whether all roles run, and none was asked to end.
    pub fn is_running(&self) -> bool {
        let processes = self.processes.borrow();
        let is_running = |running: &RunningProcess| {
            running.request < EndRequest::Terminate && running.process.pid().is_some()
        };
        processes.len() == self.roles().len() && processes.values().all(is_running)
    }

    /// Records that processes that start now may find invalid settings, or no longer may.
    fn record_settings(&self, request: EndRequest) {
        let before = self.settings_request.replace(request);
        for running in self.processes.borrow_mut().values_mut() {
            running.request = running.request.max(before);
        }
    }
}

/// All machines of a trial.
pub struct Machines {
    world: Rc<World>,
    links: Rc<Links>,
    programs: Programs,
    commands: RoleCommands,
    folder: PathBuf,
    platform: SocketAddrV4,
    /// The coordinators that were not removed, the oldest first.
    core: RefCell<Vec<Rc<Machine>>>,
    frontends: Vec<Rc<Machine>>,
    next_coordinator: Cell<usize>,
    /// The numbers of the coordinators that the settings name.
    seeds: RefCell<Vec<usize>>,
    /// The processes that have ended without having been asked to.
    unrequested_ends: RefCell<Vec<UnrequestedEnd>>,
    /// What the processes have used at most.
    peaks: RefCell<ResourcePeaks>,
    last_measured: Cell<Time>,
}

/// What a trial's machines are started from.
pub struct Setup<'s> {
    /// The program with all roles.
    pub program: &'s Path,
    /// The program that supervises a process.
    pub supervisor: &'s Path,
    /// The commands of the roles.
    pub commands: RoleCommands,
    /// The folder for settings, data and logs.
    pub folder: &'s Path,
    /// The address of the platform.
    pub platform: SocketAddrV4,
}

impl Machines {
    /// The machines of a new fleet, none of which runs yet.
    pub fn new(
        world: &Rc<World>,
        links: &Rc<Links>,
        setup: Setup,
        coordinators: usize,
        frontends: usize,
    ) -> Self {
        let supervisor = vec![setup.supervisor.into(), "trial".into(), "keep".into(), "--".into()];
        let programs = Programs { supervisor, node: setup.program.into(), variables: Vec::new() };
        let frontend = |number| Rc::new(new_machine(MachineId::Frontend(number), true));
        let coordinator = |number| Rc::new(new_machine(MachineId::Coordinator(number), true));
        Machines {
            world: world.clone(),
            links: links.clone(),
            programs,
            commands: setup.commands,
            folder: setup.folder.into(),
            platform: setup.platform,
            core: RefCell::new((0..coordinators).map(coordinator).collect()),
            frontends: (0..frontends).map(frontend).collect(),
            next_coordinator: Cell::new(coordinators),
            seeds: RefCell::new((0..coordinators).collect()),
            unrequested_ends: RefCell::default(),
            peaks: RefCell::default(),
            last_measured: Cell::default(),
        }
    }

    /// The coordinators that were not removed.
    pub fn core(&self) -> Vec<Rc<Machine>> {
        self.core.borrow().clone()
    }

    /// The frontends.
    pub fn frontends(&self) -> &[Rc<Machine>] {
        &self.frontends
    }

    /// The numbers of the coordinators that the operator knows of.
    pub fn known_coordinators(&self) -> Vec<usize> {
        self.seeds.borrow().clone()
    }

    /// Returns the processes that have ended without having been asked to, and what all have used at most.
    pub fn take_findings(&self) -> (Vec<UnrequestedEnd>, ResourcePeaks) {
        (self.unrequested_ends.take(), self.peaks.take())
    }

    /// Starts all machines, without waiting until they are ready.
    ///
    /// # Errors
    /// A process can't be started.
    pub async fn start_all(&self) -> Result<(), TrialError> {
        for machine in self.core().iter().chain(&self.frontends) {
            self.start(machine).await?;
        }
        self.core().iter().chain(&self.frontends).for_each(|machine| machine.bootstrap.set(false));
        Ok(())
    }

    /// Starts the processes of a machine that don't run.
    ///
    /// # Errors
    /// A process can't be started.
    pub async fn start(&self, machine: &Rc<Machine>) -> Result<(), TrialError> {
        machine.upkeep.set(Upkeep::Restarted);
        for role in machine.roles() {
            if !machine.processes.borrow().contains_key(role) {
                self.start_role(machine, *role).await?;
            }
        }
        Ok(())
    }

    async fn start_role(&self, machine: &Rc<Machine>, role: Role) -> Result<(), TrialError> {
        let settings = self.write_settings(machine)?;
        let mut arguments = vec![role.name().into()];
        arguments.extend(self.commands.arguments(role).iter().skip(1).map(Into::into));
        let variables = vec![("MARLWINCH_NODE_FILE".into(), settings.into())];
        let launch = Launch {
            program: self.programs.node.clone(),
            arguments,
            variables,
            folder: self.folder.clone(),
            log_file: Some(self.log_file(machine, role)),
        };
        let programs = self.programs.clone();
        let started = tokio::task::spawn_blocking(move || Process::start(&programs, &launch)).await;
        let started = started.unwrap_or_else(|error| Err(std::io::Error::other(error)));
        let process = started.map_err(|error| TrialError::Io("start a process", error))?;
        machine.starts.set(machine.starts.get() + 1);
        let running = RunningProcess { process, request: EndRequest::None };
        machine.processes.borrow_mut().insert(role, running);
        self.record_start(machine);
        Ok(())
    }

    fn record_start(&self, machine: &Machine) {
        let now = self.world.now();
        match machine.id {
            MachineId::Frontend(number) => self.world.frontend_fault(FrontendId(number), now),
            MachineId::Coordinator(_) => self.world.core_fault(now, true),
        }
    }

    /// Kills the processes of a machine, which stays down until it is started.
    pub async fn take_down(&self, machine: &Rc<Machine>) {
        machine.upkeep.set(Upkeep::Down);
        machine.signal(Signal::Kill, &[]);
        while !machine.processes.borrow().is_empty() {
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
        }
    }

    /// Empties the disk of a coordinator that is down.
    ///
    /// # Errors
    /// The folder can't be removed.
    pub fn wipe(&self, machine: &Machine) -> Result<(), TrialError> {
        let failed = |error| TrialError::Io("empty a data folder", error);
        std::fs::remove_dir_all(self.data_folder(machine)).map_err(failed)
    }

    /// Adds a coordinator with an empty disk at a new address, and starts it. `None` if there is no address
    /// left.
    ///
    /// # Errors
    /// Its process can't be started.
    pub async fn add_coordinator(&self, limit: usize) -> Result<Option<Rc<Machine>>, TrialError> {
        let number = self.next_coordinator.get();
        if number >= limit {
            return Ok(None);
        }
        self.next_coordinator.set(number + 1);
        let machine = Rc::new(new_machine(MachineId::Coordinator(number), false));
        self.core.borrow_mut().push(machine.clone());
        self.start(&machine).await?;
        Ok(Some(machine))
    }

    /// Removes a coordinator for good: its processes get this signal, and are killed after the grace period.
    pub fn remove_coordinator(self: &Rc<Self>, machine: &Rc<Machine>, signal: Signal) {
        machine.upkeep.set(Upkeep::Removed);
        machine.signal(signal, &[]);
        self.core.borrow_mut().retain(|other| !Rc::ptr_eq(other, machine));
        self.kill_after_grace(machine);
    }

    /// Kills the processes of a machine that run now, if they still run after the grace period.
    pub fn kill_after_grace(self: &Rc<Self>, machine: &Rc<Machine>) {
        let (machine, starts) = (machine.clone(), machine.incarnation());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs(GRACE_S)).await;
            if machine.incarnation() == starts {
                machine.signal(Signal::Kill, &[]);
            }
        });
    }

    /// Writes the coordinators of now into the settings of all machines, as the platform does after a while.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn publish_seeds(&self) -> Result<(), TrialError> {
        let number = |machine: &Rc<Machine>| match machine.id {
            MachineId::Coordinator(number) => Some(number),
            MachineId::Frontend(_) => None,
        };
        *self.seeds.borrow_mut() = self.core.borrow().iter().filter_map(number).collect();
        for machine in self.core().iter().chain(&self.frontends) {
            self.write_settings(machine)?;
        }
        Ok(())
    }

    /// Starts again what has ended. Returns only if a process can't be started.
    pub async fn supervise(&self) -> TrialError {
        loop {
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
            let machines: Vec<Rc<Machine>> =
                self.core().into_iter().chain(self.frontends.iter().cloned()).collect();
            for machine in &machines {
                if let Err(error) = self.restart_ended(machine).await {
                    return error;
                }
            }
            if self.world.now() >= self.last_measured.get() + MEASUREMENT_INTERVAL {
                self.last_measured.set(self.world.now());
                machines.iter().for_each(|machine| self.measure(machine));
            }
        }
    }

    /// Measures what the processes of a machine use.
    fn measure(&self, machine: &Machine) {
        for (role, running) in machine.processes.borrow().iter() {
            if let Some(usage) = running.process.resource_usage() {
                self.peaks.borrow_mut().add(*role, &usage);
            }
        }
    }

    /// Records the end of a process that wasn't asked to end.
    fn record_unrequested_end(&self, machine: &Machine, ended: &EndedProcess) {
        let log = std::fs::read_to_string(self.log_file(machine, ended.role)).unwrap_or_default();
        let lines: Vec<String> = log.lines().map(String::from).collect();
        let end = UnrequestedEnd {
            at: self.world.now(),
            machine: machine.name.clone(),
            role: ended.role.name(),
            code: ended.code,
            last_lines: lines[lines.len().saturating_sub(LAST_LINES)..].to_vec(),
        };
        self.world.event(end.to_string());
        self.unrequested_ends.borrow_mut().push(end);
    }

    async fn restart_ended(&self, machine: &Rc<Machine>) -> Result<(), TrialError> {
        for ended in machine.ended() {
            let role = ended.role;
            machine.processes.borrow_mut().remove(&role);
            if !ended.request.allows(ended.code) {
                self.record_unrequested_end(machine, &ended);
            }
            if machine.upkeep.get() == Upkeep::Restarted {
                tokio::time::sleep(RESTART_DELAY).await;
                if machine.upkeep.get() == Upkeep::Restarted
                    && !machine.processes.borrow().contains_key(&role)
                {
                    self.start_role(machine, role).await?;
                }
            }
        }
        Ok(())
    }

    /// Has a machine's settings file invalid for a while, tells its processes, and restores it.
    ///
    /// # Errors
    /// A file can't be written.
    pub async fn invalidate_settings(&self, machine: &Rc<Machine>, span: Duration) -> Result<(), TrialError> {
        let failed = |error| TrialError::Io("write a settings file", error);
        machine.record_settings(EndRequest::InvalidSettings);
        std::fs::write(self.settings_file(machine), INVALID_SETTINGS).map_err(failed)?;
        machine.signal(Signal::Reload, &[]);
        tokio::time::sleep(span).await;
        self.write_settings(machine)?;
        machine.record_settings(EndRequest::None);
        Ok(())
    }

    fn log_file(&self, machine: &Machine, role: Role) -> PathBuf {
        self.folder.join(format!("{}.{}.log", machine.name, role.name()))
    }

    fn settings_file(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.yaml", machine.name))
    }

    fn data_folder(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.data", machine.name))
    }

    fn write_settings(&self, machine: &Machine) -> Result<PathBuf, TrialError> {
        let failed = |error| TrialError::Io("write a settings file", error);
        let path = self.settings_file(machine);
        let draft = path.with_extension("draft");
        std::fs::write(&draft, self.settings(machine)?.to_string()).map_err(failed)?;
        std::fs::rename(&draft, &path).map_err(failed)?;
        Ok(path)
    }

    /// The settings of a machine, as JSON, which the roles read as YAML.
    fn settings(&self, machine: &Machine) -> Result<Value, TrialError> {
        let addresses = self.world.addresses;
        let seeds: Vec<String> =
            self.seeds.borrow().iter().map(|number| addresses.control(*number).to_string()).collect();
        let translation: BTreeMap<String, String> = self
            .links
            .translation(machine.id, addresses)
            .into_iter()
            .map(|(announced, relay)| (announced.to_string(), relay.to_string()))
            .collect();
        let mut settings = json!({"node_name": machine.name, "zone": "zone", "region": "loopback",
            "internal_port_range": INTERNAL_PORTS, "seed_nodes": seeds, "address_translation": translation,
            "bootstrap": machine.bootstrap.get(), "heartbeat_ms": 1200,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS, "link_mbps": 1000.0,
                "disk_mb": 128},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"config_apply_ms": 2000, "grace_s": GRACE_S},
            "cloud_api": {"address": self.platform.to_string(), "rate_per_s": 40.0, "lag_ms": 100}});
        match machine.id {
            MachineId::Coordinator(number) => {
                let data = self.data_folder(machine);
                std::fs::create_dir_all(&data)
                    .map_err(|error| TrialError::Io("create a data folder", error))?;
                settings["machine_class"] = json!("core");
                settings["ip"] = json!(addresses.coordinator_ip(number));
                settings["counts_for_quorum"] = json!(true);
                settings["data_dir"] = json!(data);
                settings["listen"] = json!({"control": addresses.control(number).to_string()});
            }
            MachineId::Frontend(number) => {
                settings["machine_class"] = json!("frontend");
                settings["ip"] = json!(addresses.frontend_ip(number));
                settings["listen"] = json!({"frontend": addresses.client(number).to_string(),
                    "readiness": addresses.readiness(number).to_string()});
            }
        }
        Ok(settings)
    }
}

fn new_machine(id: MachineId, bootstrap: bool) -> Machine {
    let name = match id {
        MachineId::Coordinator(number) => format!("core-{}", number + 1),
        MachineId::Frontend(number) => format!("frontend-{}", number + 1),
    };
    Machine {
        id,
        name,
        bootstrap: Cell::new(bootstrap),
        upkeep: Cell::new(Upkeep::Down),
        starts: Cell::new(0),
        settings_request: Cell::default(),
        processes: RefCell::default(),
    }
}
