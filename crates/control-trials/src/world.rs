//! The state that all tasks of a trial share, on one thread.

use crate::addresses::AddressBlock;
use crate::history::{CoreFault, FrontendFault, FrontendId, History, Time};
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// The record, the clock and the addresses of a running trial.
pub struct World {
    /// The addresses of all machines.
    pub addresses: AddressBlock,
    /// The record so far.
    pub history: RefCell<History>,
    /// Set when no further disruption is to begin.
    pub disruptions_over: Cell<bool>,
    /// Set when the changes are to end.
    pub ending: Cell<bool>,
    started_at: Instant,
}

impl World {
    /// An empty record that starts now.
    pub fn new(addresses: AddressBlock) -> Self {
        World {
            addresses,
            history: RefCell::default(),
            disruptions_over: Cell::new(false),
            ending: Cell::new(false),
            started_at: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> Time {
        self.started_at.elapsed()
    }

    /// Records a line of text.
    pub fn event(&self, text: String) {
        let now = self.now();
        self.history.borrow_mut().events.push((now, text));
    }

    /// Records a fault of a frontend that lasts until now; with `from` equal to now, of a moment.
    pub fn frontend_fault(&self, frontend: FrontendId, from: Time) {
        let fault = FrontendFault { frontend, from, until: self.now() };
        self.history.borrow_mut().frontend_faults.push(fault);
    }

    /// Records a fault of the core that lasts until now.
    pub fn core_fault(&self, from: Time, majority_remained: bool) {
        let fault = CoreFault { from, until: self.now(), majority_remained };
        self.history.borrow_mut().core_faults.push(fault);
    }
}
