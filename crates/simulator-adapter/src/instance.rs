//! A simulated node: a balancer whose panics are caught.

use crate::wire::{RawReport, load_report};
use join_up_to::settings::{self, Column};
use join_up_to::{Action, Balancer, Event};
use quick_error::quick_error;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

quick_error! {
    /// An error that prevents an instance from starting or continuing.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum InstanceError {
        /// Its settings are invalid.
        Settings(message: String) {
            display("{}", message)
        }
        /// The balancer panicked with this message.
        Panic(message: String) {
            display("{}", message)
        }
    }
}

/// A running instance: a balancer, and the columns of its load reports.
pub struct Instance {
    balancer: Balancer,
    columns: Vec<Column>,
}

impl Instance {
    /// Starts an instance from its settings as JSON text and the seed of its random number generator.
    pub fn start(settings: &[u8], seed: u64) -> Result<Self, InstanceError> {
        let (settings, host) =
            settings::parse(settings).map_err(|error| InstanceError::Settings(error.to_string()))?;
        Ok(Instance { balancer: Balancer::new(settings, seed), columns: host.columns })
    }

    /// Passes an event to the balancer and returns the actions. After a panic the instance must not be used
    /// again.
    pub fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        raw: Option<RawReport>,
    ) -> Result<Vec<Action>, InstanceError> {
        let report = raw.map(|raw| load_report(raw, &self.columns));
        match &mut event {
            Event::AttemptEnded(end) => end.report = report,
            Event::Probed(end) => end.report = report,
            _ => {}
        }
        let mut actions = Vec::new();
        catch_panic(|| self.balancer.handle(now, event, &mut actions)).map(|()| actions)
    }
}

/// Runs a function. If it panics, the error contains the panic message.
pub fn catch_panic(function: impl FnOnce()) -> Result<(), InstanceError> {
    catch_unwind(AssertUnwindSafe(function)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the decisions panicked");
        InstanceError::Panic(text.to_string())
    })
}
