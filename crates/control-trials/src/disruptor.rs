//! Carries disruptions out and records the faults that they are.

use crate::TrialError;
use crate::addresses::MAX_COORDINATORS;
use crate::core_status::wait_for_complete_chain;
use crate::deploy_file::Role;
use crate::disruption::{
    CoordinatorDisruption, CoreDisruption, CutDirection, Disruption, FinalFault, FrontendDisruption,
    SignalSeries,
};
use crate::history::{FrontendId, Time};
use crate::links::{Links, MachineId};
use crate::machines::{Machine, Machines, SEED_LAG, Signal};
use crate::world::World;
use fault_injection::plan::{Direction, Directions, LinkFault};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// How long the core is left alone after a disruption of it: the setting `catch_up_s`.
const CATCH_UP: Duration = Duration::from_secs(4);
/// From which time on beyond [`CATCH_UP`] an incomplete chain is recorded.
const LATE_CATCH_UP: Duration = Duration::from_secs(1);
/// The time between the end of a coordinator and the start of the one that replaces it.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// How long a wiped coordinator stays down.
const WIPE_DOWNTIME: Duration = Duration::from_millis(300);
/// The interval at which a restart is looked for.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the machines stay down at a final fault.
const FINAL_DOWNTIME: Duration = Duration::from_secs(1);

/// Carries out the disruptions of a trial. Those of the core wait for one another, so that no more coordinators
/// are lost at a time than the settings tolerate, unless all are.
pub struct Disruptor {
    world: Rc<World>,
    machines: Rc<Machines>,
    links: Rc<Links>,
    core_turn: Mutex<()>,
}

impl Disruptor {
    /// A disruptor of these machines.
    pub fn new(world: &Rc<World>, machines: &Rc<Machines>, links: &Rc<Links>) -> Self {
        Disruptor {
            world: world.clone(),
            machines: machines.clone(),
            links: links.clone(),
            core_turn: Mutex::new(()),
        }
    }

    /// Carries out a disruption, and waits for its end.
    ///
    /// # Errors
    /// A process can't be started, or a file not be written.
    pub async fn carry_out(&self, disruption: Disruption) -> Result<(), TrialError> {
        match disruption {
            Disruption::Frontend(number, kind) => self.disrupt_frontend(number, kind).await,
            Disruption::Coordinator(position, kind) => self.disrupt_coordinator(position, kind).await,
            Disruption::Core(frontend, kind) => self.disrupt_core(frontend, kind).await,
        }
    }

    async fn disrupt_frontend(&self, number: usize, kind: FrontendDisruption) -> Result<(), TrialError> {
        let Some(machine) = self.machines.frontends().get(number).cloned() else { return Ok(()) };
        self.world.event(format!("{kind:?} {}", machine.name));
        let from = self.world.now();
        match kind {
            FrontendDisruption::Kill => machine.signal(Signal::Kill, &[]),
            FrontendDisruption::KillAgent => machine.signal(Signal::Kill, &[Role::Agent]),
            FrontendDisruption::KillDataPlane => machine.signal(Signal::Kill, &[Role::DataPlane]),
            FrontendDisruption::Terminate => self.terminate(&machine, &[]),
            FrontendDisruption::TerminateAgent => self.terminate(&machine, &[Role::Agent]),
            // No fault: the configuration has to come into force all the same.
            FrontendDisruption::Reload => return self.reload(&machine),
            FrontendDisruption::InvalidSettings(span) => {
                return self.machines.invalidate_settings(&machine, span).await;
            }
            FrontendDisruption::Signals(series) => self.send_signals(&machine, &series).await,
            FrontendDisruption::Delay(span, delay) => return self.delay(&machine, span, delay).await,
            FrontendDisruption::Pause(span) => self.pause(&machine, span).await,
            FrontendDisruption::ResetLinks => {
                self.links.heal(self.links.disturb_from(machine.id, LinkFault::Reset));
            }
            FrontendDisruption::Stall(span, direction) => {
                let fault = LinkFault::Stall(stalled(direction));
                self.disturb_for(&machine, fault, span).await;
            }
            FrontendDisruption::Cut(span) => self.disturb_for(&machine, LinkFault::Cut, span).await,
        }
        self.world.frontend_fault(FrontendId(number), from);
        Ok(())
    }

    fn terminate(&self, machine: &Rc<Machine>, roles: &[Role]) {
        machine.signal(Signal::Terminate, roles);
        self.machines.kill_after_grace(machine);
    }

    /// Sends signals that follow one another shortly. Ended processes are started again meanwhile.
    async fn send_signals(&self, machine: &Rc<Machine>, series: &SignalSeries) {
        for step in series {
            match step.signal {
                Signal::Terminate => self.terminate(machine, &[]),
                signal => machine.signal(signal, &[]),
            }
            tokio::time::sleep(step.pause).await;
        }
        machine.signal(Signal::Resume, &[]);
        wait_until_running(machine).await;
    }

    fn reload(&self, machine: &Machine) -> Result<(), TrialError> {
        self.machines.publish_seeds()?;
        machine.signal(Signal::Reload, &[]);
        Ok(())
    }

    async fn delay(&self, machine: &Machine, span: Duration, delay: Duration) -> Result<(), TrialError> {
        let fault = LinkFault::Delay { min: delay, jitter: delay };
        self.disturb_for(machine, fault, span).await;
        Ok(())
    }

    async fn pause(&self, machine: &Machine, span: Duration) {
        machine.signal(Signal::Pause, &[]);
        tokio::time::sleep(span).await;
        machine.signal(Signal::Resume, &[]);
    }

    async fn disturb_for(&self, machine: &Machine, fault: LinkFault, span: Duration) {
        let faults = self.links.disturb_from(machine.id, fault);
        tokio::time::sleep(span).await;
        self.links.heal(faults);
    }

    async fn disrupt_coordinator(
        &self,
        position: usize,
        kind: CoordinatorDisruption,
    ) -> Result<(), TrialError> {
        let _turn = self.core_turn.lock().await;
        if self.world.disruptions_over.get() {
            return Ok(());
        }
        let core = self.machines.core();
        let machine = core[position % core.len()].clone();
        self.disrupt_member(&machine, kind).await?;
        self.wait_until_caught_up().await;
        Ok(())
    }

    async fn disrupt_member(
        &self,
        machine: &Rc<Machine>,
        kind: CoordinatorDisruption,
    ) -> Result<(), TrialError> {
        self.world.event(format!("{kind:?} {}", machine.name));
        let from = self.world.now();
        self.world.core_fault(from, true);
        match kind {
            CoordinatorDisruption::Kill => {
                let incarnation = machine.incarnation();
                machine.signal(Signal::Kill, &[]);
                wait_for_restart(machine, incarnation).await;
            }
            CoordinatorDisruption::Terminate => {
                let incarnation = machine.incarnation();
                self.terminate(machine, &[]);
                wait_for_restart(machine, incarnation).await;
            }
            CoordinatorDisruption::Pause(span) => self.pause(machine, span).await,
            CoordinatorDisruption::Cut(span) => self.cut_from_core(machine, span).await,
            CoordinatorDisruption::ResetLinks => self.reset_between_coordinators(machine),
            CoordinatorDisruption::InvalidSettings(span) => {
                self.machines.invalidate_settings(machine, span).await?;
            }
            CoordinatorDisruption::Signals(series) => self.send_signals(machine, &series).await,
            CoordinatorDisruption::Wipe => {
                self.machines.take_down(machine).await;
                self.machines.wipe(machine)?;
                tokio::time::sleep(WIPE_DOWNTIME).await;
                self.machines.start(machine).await?;
            }
            CoordinatorDisruption::Replace => {
                self.machines.remove_coordinator(machine, Signal::Kill);
                tokio::time::sleep(REPLACEMENT_DELAY).await;
                self.machines.add_coordinator(MAX_COORDINATORS).await?;
                self.publish_seeds_later();
            }
            CoordinatorDisruption::ReplaceGracefully => {
                if self.machines.add_coordinator(MAX_COORDINATORS).await?.is_some() {
                    tokio::time::sleep(REPLACEMENT_DELAY).await;
                    self.machines.remove_coordinator(machine, Signal::Terminate);
                    self.publish_seeds_later();
                }
            }
        }
        self.world.core_fault(from, true);
        Ok(())
    }

    /// Waits for [`CATCH_UP`], and until the chain is complete: while it is not, another loss could be one too
    /// many.
    async fn wait_until_caught_up(&self) {
        tokio::time::sleep(CATCH_UP).await;
        let waited = wait_for_complete_chain(&self.world, &self.machines).await;
        if waited > LATE_CATCH_UP {
            self.world.event(format!("the chain was complete {waited:?} after catch_up_s"));
        }
    }

    async fn cut_from_core(&self, machine: &Machine, span: Duration) {
        let MachineId::Coordinator(number) = machine.id else { return };
        let fault = LinkFault::Stall(Directions::Both);
        let faults = self.links.disturb_between_coordinators(number, fault);
        tokio::time::sleep(span).await;
        self.links.heal(faults);
    }

    fn reset_between_coordinators(&self, machine: &Machine) {
        if let MachineId::Coordinator(number) = machine.id {
            self.links.heal(self.links.disturb_between_coordinators(number, LinkFault::Reset));
        }
    }

    fn publish_seeds_later(&self) {
        let (machines, world) = (self.machines.clone(), self.world.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SEED_LAG).await;
            if let Err(error) = machines.publish_seeds() {
                world.event(format!("the seeds were not published: {error}"));
            }
        });
    }

    async fn disrupt_core(&self, frontend: usize, kind: CoreDisruption) -> Result<(), TrialError> {
        let _turn = self.core_turn.lock().await;
        if self.world.disruptions_over.get() {
            return Ok(());
        }
        match kind {
            CoreDisruption::KillAll(downtime) => self.kill_core(downtime).await?,
            CoreDisruption::TerminateInTurn(gap) => self.terminate_in_turn(gap).await,
            CoreDisruption::ReplaceAllDuringCut => {
                self.replace_all_during(frontend, LinksOrProcesses::Links).await?;
            }
            CoreDisruption::ReplaceAllDuringPause => {
                self.replace_all_during(frontend, LinksOrProcesses::Processes).await?;
            }
        }
        self.wait_until_caught_up().await;
        Ok(())
    }

    async fn kill_core(&self, downtime: Duration) -> Result<(), TrialError> {
        let from = self.world.now();
        self.world.event("KillAll coordinators".into());
        for machine in self.machines.core() {
            self.machines.take_down(&machine).await;
        }
        tokio::time::sleep(downtime).await;
        for machine in self.machines.core() {
            self.machines.start(&machine).await?;
        }
        self.world.core_fault(from, false);
        Ok(())
    }

    async fn terminate_in_turn(&self, gap: Duration) {
        let from = self.world.now();
        self.world.event(format!("TerminateInTurn {gap:?}"));
        let incarnations: Vec<(Rc<Machine>, u32)> = self
            .machines
            .core()
            .into_iter()
            .map(|machine| (machine.clone(), machine.incarnation()))
            .collect();
        for (machine, _) in &incarnations {
            self.terminate(machine, &[]);
            tokio::time::sleep(gap).await;
        }
        for (machine, incarnation) in &incarnations {
            wait_for_restart(machine, *incarnation).await;
        }
        self.world.core_fault(from, false);
    }

    /// Replaces all coordinators one after the other, while a frontend has no links or doesn't run.
    async fn replace_all_during(&self, frontend: usize, what: LinksOrProcesses) -> Result<(), TrialError> {
        let Some(machine) = self.machines.frontends().get(frontend).cloned() else { return Ok(()) };
        self.world.event(format!("ReplaceAll without {what:?} of {}", machine.name));
        let from = self.world.now();
        let faults = match what {
            LinksOrProcesses::Links => Some(self.links.disturb_from(machine.id, LinkFault::Cut)),
            LinksOrProcesses::Processes => {
                machine.signal(Signal::Pause, &[]);
                None
            }
        };
        for (number, coordinator) in self.machines.core().into_iter().enumerate() {
            let kinds = [CoordinatorDisruption::Replace, CoordinatorDisruption::ReplaceGracefully];
            self.disrupt_member(&coordinator, kinds[number % kinds.len()]).await?;
            self.wait_until_caught_up().await;
        }
        tokio::time::sleep(SEED_LAG).await;
        faults.into_iter().for_each(|faults| self.links.heal(faults));
        machine.signal(Signal::Resume, &[]);
        self.world.event(format!("{} is back", machine.name));
        self.world.frontend_fault(FrontendId(frontend), from);
        Ok(())
    }

    /// Carries out what ends the trial, right after the last acknowledgement. Returns when it began; `None`
    /// without a fault.
    ///
    /// # Errors
    /// A process can't be started, or a disk not be emptied.
    pub async fn carry_out_final(&self, fault: FinalFault) -> Result<Option<Time>, TrialError> {
        if fault == FinalFault::None {
            return Ok(None);
        }
        let from = self.world.now();
        self.world.event(format!("final fault: {fault:?}"));
        let core = self.machines.core();
        let all: Vec<Rc<Machine>> = core.iter().chain(self.machines.frontends()).cloned().collect();
        all.iter().for_each(|machine| machine.signal(Signal::Kill, &[]));
        for machine in &all {
            self.machines.take_down(machine).await;
        }
        if let Some(wiped) = core.first().filter(|_| fault == FinalFault::WipeOneAndKillAll) {
            self.machines.wipe(wiped)?;
        }
        tokio::time::sleep(FINAL_DOWNTIME).await;
        for machine in &all {
            self.machines.start(machine).await?;
        }
        self.world.core_fault(from, false);
        (0..self.machines.frontends().len())
            .for_each(|number| self.world.frontend_fault(FrontendId(number), from));
        Ok(Some(self.world.now()))
    }
}

/// Waits until a process of a machine has been started since it had this number of starts.
async fn wait_for_restart(machine: &Machine, incarnation: u32) {
    while machine.incarnation() == incarnation {
        tokio::time::sleep(RESTART_POLL_INTERVAL).await;
    }
}

/// Waits until all roles of a machine run, and none of them was asked to end.
async fn wait_until_running(machine: &Machine) {
    while !machine.is_running() {
        tokio::time::sleep(RESTART_POLL_INTERVAL).await;
    }
}

/// What a frontend lacks for a while.
#[derive(Clone, Copy, Debug)]
enum LinksOrProcesses {
    Links,
    Processes,
}

fn stalled(direction: CutDirection) -> Directions {
    match direction {
        CutDirection::Both => Directions::Both,
        CutDirection::FromFrontend => Directions::Only(Direction::Request),
        CutDirection::ToFrontend => Directions::Only(Direction::Response),
    }
}
