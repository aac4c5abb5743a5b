//! Starts, kills and restarts the processes of the fleet during a run.

use crate::DemoError;
use crate::processes::{ExitedProcess, Processes, shut_down};
use crate::state::DemoState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The time between two checks for processes that have exited or are due to be restarted.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(100);
/// The exit codes of processes that a user killed: by SIGKILL, SIGTERM or SIGINT, or 0 after a graceful
/// shutdown.
const EXTERNAL_EXIT_CODES: [i32; 4] = [-9, -15, -2, 0];
/// How long a process stays down that exited by itself or that a user killed.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// A scheduled restart of a process.
struct PendingRestart {
    at: Duration,
    index: usize,
}

/// The processes of a run, with their scheduled restarts.
pub struct Fleet {
    state: Rc<DemoState>,
    processes: RefCell<Processes>,
    pending_restarts: RefCell<Vec<PendingRestart>>,
}

impl Fleet {
    /// A fleet of prepared processes that are not started yet.
    pub fn new(state: &Rc<DemoState>, processes: Processes) -> Self {
        Fleet {
            state: state.clone(),
            processes: RefCell::new(processes),
            pending_restarts: RefCell::default(),
        }
    }

    /// Starts all processes.
    ///
    /// # Errors
    /// A process can't be started.
    pub async fn start_all(&self) -> Result<(), DemoError> {
        let count = self.processes.borrow().all.len();
        for index in 0..count {
            self.start(index).await?;
        }
        Ok(())
    }

    async fn start(&self, index: usize) -> Result<(), DemoError> {
        let launch = self.processes.borrow().launch(index);
        let started = tokio::task::spawn_blocking(launch).await;
        let process = started.map_err(|error| DemoError::Io("start a process", error.into()))?;
        let process = process.map_err(|error| DemoError::Io("start a process", error))?;
        self.processes.borrow_mut().set_started(index, process);
        Ok(())
    }

    /// Prints the processes, each with the command that kills it.
    pub fn print_introduction(&self) {
        println!(
            "The fleet runs on loopback. Kill any of its processes to see how the fleet reacts; each is restarted:"
        );
        let processes = self.processes.borrow();
        for (index, process) in processes.all.iter().enumerate() {
            let pid = processes.pid(index).map_or("-".to_string(), |pid| pid.to_string());
            println!("  kill -9 {pid:<8} # {} of {}", process.role, process.name);
        }
        println!(
            "  marlwinch status {} shows the state of the core. Ctrl-C stops the fleet.\n",
            self.state.topology.control_address(0)
        );
    }

    /// Kills a process, and schedules its restart. Does nothing if there is no process with this name and
    /// role.
    pub fn kill(&self, name: &str, role: &str, downtime: Duration) {
        let mut processes = self.processes.borrow_mut();
        let Some(index) = processes.find(name, role) else { return };
        let pid = processes.pid(index).unwrap_or_default();
        let downtime_ms = downtime.as_millis();
        self.state.print_event(&format!("kill -9 {pid}: {role} of {name}, restart in {downtime_ms} ms"));
        self.state.record_fault(processes.all[index].location);
        let at = self.state.now() + downtime;
        self.pending_restarts.borrow_mut().push(PendingRestart { at, index });
        processes.kill(index);
    }

    /// Whether a restart is scheduled.
    pub fn has_pending_restarts(&self) -> bool {
        !self.pending_restarts.borrow().is_empty()
    }

    /// Restarts processes that have exited. Returns only if a process can't be started.
    pub async fn supervise(&self) -> DemoError {
        loop {
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
            self.record_exits();
            for index in self.due_restarts() {
                if let Err(error) = self.start(index).await {
                    return error;
                }
                self.pending_restarts.borrow_mut().retain(|restart| restart.index != index);
                self.record_restart(index);
            }
        }
    }

    fn due_restarts(&self) -> Vec<usize> {
        let now = self.state.now();
        let pending = self.pending_restarts.borrow();
        pending.iter().filter(|restart| restart.at <= now).map(|restart| restart.index).collect()
    }

    /// Records and schedules the restart of processes that exited without being killed by the scenario: a
    /// user killed them, or they failed.
    fn record_exits(&self) {
        for ExitedProcess { index, code } in self.processes.borrow().exited() {
            if self.pending_restarts.borrow().iter().any(|restart| restart.index == index) {
                continue;
            }
            let processes = self.processes.borrow();
            let process = &processes.all[index];
            let line = format!(
                "{} of {} exited with code {code}, not killed by the scenario",
                process.role, process.name
            );
            self.state.print_event(&line);
            if EXTERNAL_EXIT_CODES.contains(&code) {
                self.state.record_fault(process.location);
            } else {
                self.state.observations.borrow_mut().unexpected_exits.push(line);
            }
            let at = self.state.now() + RESTART_DELAY;
            self.pending_restarts.borrow_mut().push(PendingRestart { at, index });
        }
    }

    fn record_restart(&self, index: usize) {
        let processes = self.processes.borrow();
        let (process, pid) = (&processes.all[index], processes.pid(index).unwrap_or_default());
        self.state.print_event(&format!("{} of {} is restarted, pid {pid}", process.role, process.name));
        self.state.record_fault(process.location);
    }

    /// Shuts all processes down.
    pub async fn shut_down(&self) {
        let processes = std::mem::take(&mut self.processes.borrow_mut().all);
        // Dropping a process that has not exited in time kills it.
        let _ = tokio::task::spawn_blocking(move || shut_down(processes)).await;
    }
}
