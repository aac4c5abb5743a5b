//! A trial from its start to its verdict.

use crate::TrialError;
use crate::addresses::{AddressBlock, MAX_COORDINATORS, MAX_FRONTENDS};
use crate::checker::{self, Violation};
use crate::clients::Client;
use crate::deploy_file::RoleCommands;
use crate::disk_monitor;
use crate::disruption::{CoreDisruption, Disruption, FinalFault, draw_final_fault, draw_wave};
use crate::disruptor::Disruptor;
use crate::held_connections::{self, UsagePattern};
use crate::history::History;
use crate::links::{Links, MachineId};
use crate::machines::{Machines, Setup};
use crate::operator::Operator;
use crate::process_end::UnrequestedEnd;
use crate::resource_peak::ResourcePeaks;
use crate::stand_ins;
use crate::world::World;
use fleet_demo::http;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, LocalSet};

/// The number of coordinators of a fleet.
const COORDINATORS: usize = 3;
/// How long the fleet may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which readiness is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the trial goes on after the last disruption: until all machines are in touch again, and as long as
/// a change may take to be in force.
const CALM_END: Duration = Duration::from_secs(9);
/// What differs between the random sources of the parts of a trial.
const OPERATOR_STREAM: u64 = 0x0b;
const CLIENT_STREAM: u64 = 0x0c00;
const HELD_STREAM: u64 = 0x4e1d_0000;

/// What happens in a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Waves of disruptions drawn from the seed, for this long, and a drawn final fault.
    Drawn(Duration),
    /// This disruption alone.
    Single(Disruption),
}

impl Scenario {
    /// All coordinators are replaced while the first frontend is cut off.
    pub const REPLACED_DURING_CUT: Scenario =
        Scenario::Single(Disruption::Core(0, CoreDisruption::ReplaceAllDuringCut));
}

/// What a trial is made of.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// The program with all roles.
    pub program: PathBuf,
    /// The program that supervises each process, by its command `trial keep`.
    pub supervisor: PathBuf,
    /// The deploy file, whose commands the roles are started with.
    pub deploy_file: PathBuf,
    /// What all is drawn from.
    pub seed: u64,
    /// The number of frontends, from 1.
    pub frontends: usize,
    /// What happens.
    pub scenario: Scenario,
    /// Where the settings, logs and data are kept; without one, in a temporary folder, whose place the
    /// environment variable `TMPDIR` decides.
    pub keep: Option<PathBuf>,
}

impl TrialOutcome {
    /// Whether the rule was kept, no process ended by itself, and all stayed within their limits.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.unrequested_ends.is_empty() && self.peaks.are_within_limits()
    }
}

/// The result of a trial.
#[derive(Clone, Debug)]
pub struct TrialOutcome {
    /// The violations of the rule.
    pub violations: Vec<Violation>,
    /// The processes that have ended without having been asked to.
    pub unrequested_ends: Vec<UnrequestedEnd>,
    /// What the processes have used at most.
    pub peaks: ResourcePeaks,
    /// The record.
    pub history: History,
}

/// Runs a trial.
///
/// # Errors
/// The fleet can't be started, or a step of the trial fails.
pub fn run(options: &TrialOptions) -> Result<TrialOutcome, TrialError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| TrialError::Io("start a runtime", error))?;
    let temporary = tempfile::tempdir().map_err(|error| TrialError::Io("create a folder", error))?;
    let folder = options.keep.clone().unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&folder).map_err(|error| TrialError::Io("create a folder", error))?;
    LocalSet::new().block_on(&runtime, run_in(options, folder))
}

async fn run_in(options: &TrialOptions, folder: PathBuf) -> Result<TrialOutcome, TrialError> {
    let frontends = options.frontends.clamp(1, MAX_FRONTENDS);
    let first_block = std::process::id().wrapping_mul(31).wrapping_add(options.seed as u32);
    let (addresses, _reservation) = AddressBlock::reserve(first_block)?;
    let world = Rc::new(World::new(addresses));
    let platform = stand_ins::start(world.addresses).await?;
    let links = Rc::new(Links::start(world.addresses, &machine_ids(frontends), MAX_COORDINATORS).await?);
    let commands = RoleCommands::load(&options.deploy_file)?;
    let (program, supervisor) = (&options.program, &options.supervisor);
    let setup = Setup { program, supervisor, commands, folder: &folder, platform };
    let machines = Rc::new(Machines::new(&world, &links, setup, COORDINATORS, frontends));
    machines.start_all().await?;
    let supervised = machines.clone();
    let disk = disk_monitor::run(world.clone(), folder.clone());
    let trial = Trial { world, machines, links, options, frontends };
    tokio::select! {
        outcome = trial.run() => outcome,
        error = supervised.supervise() => Err(error),
        error = disk => Err(TrialError::Io("write to the disk", error)),
    }
}

fn machine_ids(frontends: usize) -> Vec<MachineId> {
    let coordinators = (0..MAX_COORDINATORS).map(MachineId::Coordinator);
    coordinators.chain((0..frontends).map(MachineId::Frontend)).collect()
}

struct Trial<'o> {
    world: Rc<World>,
    machines: Rc<Machines>,
    links: Rc<Links>,
    options: &'o TrialOptions,
    frontends: usize,
}

impl Trial<'_> {
    async fn run(&self) -> Result<TrialOutcome, TrialError> {
        let seed = self.options.seed;
        let mut operator = Operator::new(&self.world, &self.machines, seed ^ OPERATOR_STREAM);
        if !operator.send_first().await {
            return Err(TrialError::NotStarted("the first configuration was not acknowledged"));
        }
        self.wait_until_ready().await?;
        // Clients go on asking until the trial ends, whatever happens to the machines.
        let mut clients = JoinSet::new();
        for (number, machine) in self.machines.frontends().iter().enumerate() {
            let client = Client::new(&self.world, machine, number, seed ^ CLIENT_STREAM);
            clients.spawn_local(client.run());
            for (index, pattern) in UsagePattern::ALL.into_iter().enumerate() {
                let seed = seed ^ HELD_STREAM ^ ((number * UsagePattern::ALL.len() + index) as u64);
                clients.spawn_local(held_connections::hold(
                    self.world.addresses.client(number),
                    pattern,
                    seed,
                ));
            }
        }
        let changes = tokio::task::spawn_local(operator.run());
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        self.disrupt(&mut random).await?;
        tokio::time::sleep(CALM_END).await;
        self.world.ending.set(true);
        let mut operator = changes.await.map_err(|error| TrialError::Io("end the operator", error.into()))?;
        self.end(&mut random, &mut operator).await?;
        drop(clients);
        let history = self.world.history.take();
        let violations = checker::violations(&history);
        let (unrequested_ends, peaks) = self.machines.take_findings();
        Ok(TrialOutcome { violations, unrequested_ends, peaks, history })
    }

    /// Carries out the disruptions, and waits for the end of all of them.
    async fn disrupt(&self, random: &mut Pcg64Mcg) -> Result<(), TrialError> {
        let disruptor = Rc::new(Disruptor::new(&self.world, &self.machines, &self.links));
        let length = match &self.options.scenario {
            Scenario::Single(disruption) => return disruptor.carry_out(*disruption).await,
            Scenario::Drawn(length) => *length,
        };
        let until = self.world.now() + length;
        let mut running = JoinSet::new();
        while self.world.now() < until {
            let wave = draw_wave(random, self.frontends);
            for (disruption, gap) in wave.disruptions {
                let disruptor = disruptor.clone();
                running.spawn_local(async move { disruptor.carry_out(disruption).await });
                tokio::time::sleep(gap).await;
            }
            tokio::time::sleep(wave.pause).await;
        }
        // Disruptions of the core wait for one another: those that have not begun are left out.
        self.world.disruptions_over.set(true);
        while let Some(ended) = running.join_next().await {
            ended.map_err(|error| TrialError::Io("end a disruption", error.into()))??;
        }
        Ok(())
    }

    /// The final fault, right after one more change, and the reads after it.
    async fn end(&self, random: &mut Pcg64Mcg, operator: &mut Operator) -> Result<(), TrialError> {
        let fault = match self.options.scenario {
            Scenario::Drawn(_) => draw_final_fault(random),
            Scenario::Single(_) => FinalFault::None,
        };
        operator.send_next().await;
        let disruptor = Disruptor::new(&self.world, &self.machines, &self.links);
        let final_fault_at = disruptor.carry_out_final(fault).await?;
        self.world.history.borrow_mut().final_fault_at = final_fault_at;
        tokio::time::sleep(CALM_END).await;
        self.machines.publish_seeds()?;
        operator.read_back().await;
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), TrialError> {
        let started = self.world.now();
        for number in 0..self.frontends {
            let address = self.world.addresses.readiness(number);
            loop {
                let reply = http::call(address, http::get(address, "/api/ready"), START_TIMEOUT).await;
                if reply.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                if self.world.now() > started + START_TIMEOUT {
                    return Err(TrialError::NotStarted("a frontend is not ready"));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
