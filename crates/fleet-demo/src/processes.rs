//! The processes of the fleet: writes their files, and starts, kills and restarts them. Each runs under a
//! supervisor, so that none outlives this process.

use crate::DemoError;
use crate::node_settings::{ClusterStart, coordinator_settings, frontend_settings};
use crate::observations::Location;
use crate::topology::{COORDINATORS, FRONTENDS, Topology, coordinator_name, frontend_name};
use fault_injection::process::{Launch, Process, Programs};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a process may take to shut down before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// A process of the fleet.
pub struct FleetProcess {
    /// The name of the machine that it belongs to.
    pub name: String,
    /// The role of the process, which is the subcommand of the program.
    pub role: &'static str,
    /// The part of the fleet that the process belongs to.
    pub location: Location,
    launch: Launch,
    process: Option<Process>,
}

/// A process that has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExitedProcess {
    /// The index of the process in [`Processes::all`].
    pub index: usize,
    /// The exit code, or the negative number of the signal that ended the process.
    pub code: i32,
}

/// The processes of the fleet, with the programs that they are started from.
pub struct Processes {
    programs: Programs,
    /// The coordinators, then an agent and a data plane for each frontend.
    pub all: Vec<FleetProcess>,
}

impl Processes {
    /// Writes the settings of all processes into a folder, without starting any.
    ///
    /// # Errors
    /// A file or folder can't be written.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        topology: &Topology,
        platform: SocketAddrV4,
    ) -> Result<Processes, DemoError> {
        let supervisor = vec![program.into(), "trial".into(), "keep".into(), "--".into()];
        let programs = Programs { supervisor, node: program.to_path_buf(), variables: Vec::new() };
        let mut processes = Processes { programs, all: Vec::new() };
        for number in 0..COORDINATORS {
            let name = coordinator_name(number);
            let data = folder.join(format!("{name}-data"));
            std::fs::create_dir_all(&data).map_err(|error| DemoError::Io("create a data folder", error))?;
            let settings = coordinator_settings(topology, number, &data, platform, ClusterStart::Bootstrap);
            processes.add(folder, &name, &settings, "coordinator", Location::Core)?;
        }
        for number in 0..FRONTENDS {
            let (name, settings) = (frontend_name(number), frontend_settings(topology, number, platform));
            processes.add(folder, &name, &settings, "agent", Location::Agent(number))?;
            processes.add(folder, &name, &settings, "data-plane", Location::DataPlane(number))?;
        }
        Ok(processes)
    }

    fn add(
        &mut self,
        folder: &Path,
        name: &str,
        settings: &str,
        role: &'static str,
        location: Location,
    ) -> Result<(), DemoError> {
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).map_err(|error| DemoError::Io("write a settings file", error))?;
        let log = folder.join(format!("{name}-{role}.log"));
        let program: PathBuf = self.programs.node.clone();
        let variables = vec![("MARLWINCH_NODE_FILE".into(), file.into())];
        let arguments = vec![role.into()];
        let launch = Launch { program, arguments, variables, folder: folder.into(), log_file: Some(log) };
        let name = name.to_string();
        self.all.push(FleetProcess { name, role, location, launch, process: None });
        Ok(())
    }

    /// Returns a closure that starts a process. It blocks, and is to be called on a thread for blocking
    /// calls.
    pub fn launch(&self, index: usize) -> impl FnOnce() -> std::io::Result<Process> + Send + 'static {
        let (programs, launch) = (self.programs.clone(), self.all[index].launch.clone());
        move || Process::start(&programs, &launch)
    }

    /// Stores a started process. An earlier one with this index must have exited.
    pub fn set_started(&mut self, index: usize, process: Process) {
        self.all[index].process = Some(process);
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&mut self, index: usize) {
        if let Some(process) = &mut self.all[index].process {
            process.kill();
        }
    }

    /// The process id of a process; `None` if it does not run.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.all[index].process.as_ref()?.pid()
    }

    /// The processes that have exited and were not restarted.
    pub fn exited(&self) -> Vec<ExitedProcess> {
        let code = |process: &FleetProcess| process.process.as_ref().and_then(Process::exit_code);
        let exited = |(index, process)| Some(ExitedProcess { index, code: code(process)? });
        self.all.iter().enumerate().filter_map(exited).collect()
    }

    /// The index of the process with this machine name and role.
    pub fn find(&self, name: &str, role: &str) -> Option<usize> {
        self.all.iter().position(|process| process.name == name && process.role == role)
    }
}

/// Shuts all processes down (SIGTERM), and kills those that do not exit in time.
pub fn shut_down(mut processes: Vec<FleetProcess>) {
    for process in &mut processes {
        if let Some(process) = &mut process.process {
            process.terminate();
        }
    }
    for process in processes.iter().filter_map(|process| process.process.as_ref()) {
        process.wait_for_exit(SHUTDOWN_TIMEOUT);
    }
}
