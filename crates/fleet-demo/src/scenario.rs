//! The scenario of a run: configuration changes, a drain, a lost block and killed processes, each at a fixed
//! fraction of the run's length.

use crate::DemoError;
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::monitoring;
use crate::node_settings::DRAIN_BOUND;
use crate::observations::{Drain, LostBlock};
use crate::operator::Operator;
use crate::platform::Platform;
use crate::request_kind::{MODEL_SERVICE, PLAIN_SERVICE};
use crate::state::DemoState;
use crate::topology::{coordinator_name, frontend_name};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The number of backends of the language model at the start.
const MODEL_BACKENDS: usize = 6;
/// The number of backends of plain calls.
const PLAIN_BACKENDS: usize = 3;
/// How long a draining backend continues to serve after the bound by which it gets no new requests.
const DRAIN_SLACK: Duration = Duration::from_millis(1000);
/// How long a killed process stays down, as a fraction of the length of the run.
const DOWNTIME_FRACTION: f64 = 0.1;
/// The longest that a killed process stays down.
const MAX_DOWNTIME: Duration = Duration::from_millis(1500);

/// The scenario, with the platform and the operator that it acts through.
pub struct Scenario {
    state: Rc<DemoState>,
    platform: Rc<Platform>,
    operator: Operator,
}

impl Scenario {
    /// A scenario whose operator has not sent a configuration yet.
    pub fn new(state: &Rc<DemoState>, platform: &Rc<Platform>) -> Self {
        Scenario { state: state.clone(), platform: platform.clone(), operator: Operator::default() }
    }

    /// Starts the backends, and adds them to the platform's list.
    ///
    /// # Errors
    /// A backend can't listen.
    pub async fn start_backends(&self) -> Result<(), DemoError> {
        for number in 0..MODEL_BACKENDS + PLAIN_BACKENDS {
            let service = if number < MODEL_BACKENDS { MODEL_SERVICE } else { PLAIN_SERVICE };
            let address = self.state.topology.backend_address(number);
            self.platform.add(Backend::start(&self.state, address, service, number).await?);
        }
        Ok(())
    }

    /// Sends the first configuration.
    ///
    /// # Errors
    /// It is rejected or not acknowledged in time.
    pub async fn configure(&self) -> Result<(), DemoError> {
        let generation = self.operator.change(&self.state).await?;
        self.state.print_event(&format!("the first configuration, generation {generation}, is acknowledged"));
        Ok(())
    }

    /// Runs the scenario over the length of the run.
    ///
    /// # Errors
    /// A configuration is rejected or not acknowledged in time.
    pub async fn run(&self, fleet: &Fleet, length: Duration) -> Result<(), DemoError> {
        let start = Instant::now();
        let at = |fraction: f64| tokio::time::sleep_until(start + length.mul_f64(fraction));
        let downtime = length.mul_f64(DOWNTIME_FRACTION).min(MAX_DOWNTIME);
        at(0.12).await;
        self.change_configuration().await?;
        at(0.25).await;
        self.drain_backend();
        at(0.35).await;
        let head = monitoring::acting_head(&self.state).await.unwrap_or(0);
        fleet.kill(&coordinator_name(head), "coordinator", downtime);
        at(0.45).await;
        self.lose_block();
        at(0.5).await;
        self.change_configuration().await?;
        at(0.65).await;
        fleet.kill(&frontend_name(1), "agent", downtime);
        at(0.8).await;
        self.change_configuration().await
    }

    async fn change_configuration(&self) -> Result<(), DemoError> {
        let start = self.state.now();
        let generation = self.operator.change(&self.state).await?;
        let took_ms = (self.state.now() - start).as_millis();
        self.state.print_event(&format!("configuration {generation} is acknowledged after {took_ms} ms"));
        Ok(())
    }

    /// Has a backend of the language model evict a prompt block without reporting it.
    fn lose_block(&self) {
        let backends = self.platform.backends();
        let candidates =
            backends.iter().filter(|backend| backend.service == MODEL_SERVICE && !backend.draining.get());
        let Some((instance, key)) =
            candidates.rev().find_map(|backend| Some((backend.instance.clone(), backend.lose_block()?)))
        else {
            return;
        };
        let block = format!("{key:016x}");
        self.state
            .print_event(&format!("backend {instance} loses prompt block {block} without reporting it"));
        let at = self.state.now();
        self.state.observations.borrow_mut().lost_blocks.push(LostBlock { at, instance, block });
    }

    /// Drains the first backend of the list and stops it later, and adds a replacement to the list.
    fn drain_backend(&self) {
        let Some(draining) = self.platform.backends().first().cloned() else { return };
        self.state
            .print_event(&format!("backend {} of service {} drains", draining.instance, draining.service));
        draining.draining.set(true);
        let (instance, listed_at) = (draining.instance.clone(), self.state.now());
        self.state.observations.borrow_mut().drains.push(Drain { instance, listed_at });
        let (state, platform) = (self.state.clone(), self.platform.clone());
        spawn_local(async move {
            let number = MODEL_BACKENDS + PLAIN_BACKENDS;
            match Backend::start(&state, state.topology.backend_address(number), MODEL_SERVICE, number).await
            {
                Ok(replacement) => platform.add(replacement),
                Err(error) => state.print_event(&error.to_string()),
            }
            tokio::time::sleep(DRAIN_BOUND + DRAIN_SLACK).await;
            platform.remove(&draining);
            draining.stop();
        });
    }
}
