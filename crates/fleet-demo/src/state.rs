//! The state that all parts of a run share: addresses, clock and observations.

use crate::DemoError;
use crate::loopback_block::BlockReservation;
use crate::observations::{Arrival, Attempt, Location, Observations, ProcessFault};
use crate::topology::{FRONTENDS, Topology};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The state that all parts of a run share. They run on one thread.
pub struct DemoState {
    /// The addresses of the machines, on a block of loopback of this run alone.
    pub topology: Topology,
    /// The observations of the run so far, which the rules are checked against at its end.
    pub observations: RefCell<Observations>,
    /// Whether each frontend is ready, by its number; `false` until its first successful check.
    pub ready: RefCell<[bool; FRONTENDS]>,
    newest_sent: Cell<Option<u64>>,
    started_at: Instant,
    _reservation: BlockReservation,
}

impl DemoState {
    /// The state at the start of a run.
    ///
    /// # Errors
    /// No free block of loopback addresses was found.
    pub fn new() -> Result<Rc<Self>, DemoError> {
        let (topology, reservation) = Topology::reserve(std::process::id())?;
        Ok(Rc::new(DemoState {
            topology,
            _reservation: reservation,
            observations: RefCell::default(),
            ready: RefCell::default(),
            newest_sent: Cell::default(),
            started_at: Instant::now(),
        }))
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Prints a line, preceded by the time since the start of the run.
    pub fn print_event(&self, line: &str) {
        println!("{:6.1} s  {line}", self.now().as_secs_f64());
    }

    /// Records an arrival, and returns its index.
    pub fn record_arrival(&self, arrival: Arrival) -> usize {
        let mut observations = self.observations.borrow_mut();
        observations.arrivals.push(arrival);
        observations.arrivals.len() - 1
    }

    /// Records that the request of an arrival is executed.
    pub fn record_execution(&self, arrival: usize) {
        self.observations.borrow_mut().arrivals[arrival].executed = true;
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&self, attempt: Attempt) {
        self.observations.borrow_mut().attempts.push(attempt);
    }

    /// Records a kill or restart of a process at the current time.
    pub fn record_fault(&self, location: Location) {
        let at = self.now();
        self.observations.borrow_mut().faults.push(ProcessFault { at, location });
    }

    /// Records that a configuration of this generation is about to be sent.
    pub fn record_sent_configuration(&self, generation: u64) {
        self.newest_sent.set(Some(generation));
    }

    /// The generation of the newest configuration that was sent; `None` until the first one is acknowledged.
    /// Every configuration except the first adds a route.
    pub fn newest_added_route(&self) -> Option<u64> {
        self.newest_sent.get().filter(|_| !self.observations.borrow().acknowledged.is_empty())
    }
}
