//! Which machines were in touch at a moment, so that a rule with a time bound holds for them.

use crate::history::{FrontendId, History, Time};
use std::time::Duration;

/// The setting `contact_ms`.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// What the record tells about contact.
pub struct Contact<'h> {
    history: &'h History,
}

impl<'h> Contact<'h> {
    /// Judges by this record.
    pub fn new(history: &'h History) -> Self {
        Contact { history }
    }

    /// Whether a frontend saw no fault of its own for the whole [`CONTACT`] before this moment: its processes
    /// ran, and it had a path both ways to the coordinators.
    pub fn is_fault_free(&self, frontend: FrontendId, at: Time) -> bool {
        let faults = self.history.frontend_faults.iter().filter(|fault| fault.frontend == frontend);
        faults.into_iter().all(|fault| !overlaps(fault.from, fault.until, at))
    }

    /// Whether the core was stable: no fault of it in the [`CONTACT`] before this moment, or in twice that
    /// after a final fault that took most of it.
    pub fn is_core_stable(&self, at: Time) -> bool {
        let after_final_fault = self.history.final_fault_at.is_some_and(|fault| at >= fault);
        let span = if after_final_fault { CONTACT * 2 } else { CONTACT };
        let disturbed = |from: Time, until: Time| from <= at && until + span > at;
        !self.history.core_faults.iter().any(|fault| disturbed(fault.from, fault.until))
    }

    /// Whether a frontend is in touch at this moment.
    pub fn is_in_touch(&self, frontend: FrontendId, at: Time) -> bool {
        self.is_fault_free(frontend, at) && self.is_core_stable(at)
    }

    /// Whether more than half of the core ran all the while between two moments, connected.
    pub fn had_majority(&self, from: Time, until: Time) -> bool {
        let lost = self.history.core_faults.iter().filter(|fault| !fault.majority_remained);
        lost.into_iter().all(|fault| fault.until + CONTACT <= from || fault.from > until)
    }
}

/// Whether a span overlaps the [`CONTACT`] before a moment.
fn overlaps(from: Time, until: Time, at: Time) -> bool {
    from <= at && until + CONTACT > at
}
