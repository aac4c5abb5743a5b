//! The record of a trial: what the operator, the clients and the backends have seen, and what was done to the
//! machines. Data only; times count from the start of the trial.

use crate::document::{Generation, Handling, TestRequest, Version};
use std::fmt;
use std::time::Duration;

/// A time since the start of the trial.
pub type Time = Duration;

/// A frontend, by its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontendId(pub usize);

impl fmt::Display for FrontendId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "frontend-{}", self.0 + 1)
    }
}

/// A request of a client and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The frontend that it was sent to.
    pub frontend: FrontendId,
    /// How often processes of the frontend had been started when it was sent.
    pub incarnation: u32,
    /// When the client sent it.
    pub sent_at: Time,
    /// When the client had the answer, or gave up.
    pub ended_at: Time,
    /// What was asked for.
    pub request: TestRequest,
    /// What became of it.
    pub handling: Handling,
}

/// The result of a change, as the operator has seen it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// A coordinator answered 200.
    Acknowledged {
        /// When the answer arrived.
        at: Time,
        /// The name of the coordinator.
        by: String,
    },
    /// A coordinator refused it, with this status.
    Refused(u16),
    /// There was no clear answer: it may or may not be in force.
    Unclear,
}

/// Why the operator sent a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A valid change on the newest version that the operator knows.
    Ordinary,
    /// One of two different changes that were sent at the same time upon the same version.
    Race,
    /// The newest acknowledged change once more, with no other change made since.
    Repeated,
}

/// A valid change of the configuration that the operator sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The version that was sent.
    pub version: Version,
    /// The generation that it builds upon.
    pub base: Generation,
    /// Why it was sent.
    pub kind: ChangeKind,
    /// When it was sent first.
    pub sent_at: Time,
    /// What the operator was told.
    pub outcome: ChangeOutcome,
}

impl Change {
    /// When the change was acknowledged; `None` if it was not.
    pub fn acknowledged_at(&self) -> Option<Time> {
        match &self.outcome {
            ChangeOutcome::Acknowledged { at, .. } => Some(*at),
            _ => None,
        }
    }

    /// Whether a frontend may have the version in force.
    pub fn may_be_in_force(&self) -> bool {
        !matches!(self.outcome, ChangeOutcome::Refused(_))
    }
}

/// An invalid document that the operator sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidChange {
    /// The number by which its own route is recognized.
    pub number: u64,
    /// What is wrong with it.
    pub flaw: crate::document::Flaw,
    /// Whether a coordinator acknowledged it.
    pub acknowledged: bool,
}

/// A read of the configuration at a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The name of the coordinator.
    pub coordinator: String,
    /// When the read was sent.
    pub sent_at: Time,
    /// The document that was returned; `None` if none came.
    pub document: Option<String>,
    /// Whether it was read after the end of the trial's disruptions, again and again until a document came.
    pub is_final: bool,
}

/// A span in which a frontend saw fault: of its processes, its connections or its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontendFault {
    /// The frontend.
    pub frontend: FrontendId,
    /// When it began.
    pub from: Time,
    /// When it ended; equal to `from` for a single moment.
    pub until: Time,
}

/// A span in which the core was disturbed: one of its machines was killed, stopped, started, removed, cut off,
/// joined again or had its connections reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreFault {
    /// When it began.
    pub from: Time,
    /// When it ended; equal to `from` for a single moment.
    pub until: Time,
    /// Whether more than half of the core ran all the while, connected.
    pub majority_remained: bool,
}

/// The record of a trial.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The requests of all clients, in the order of their ends.
    pub observations: Vec<Observation>,
    /// The valid changes, in the order in which they were sent.
    pub changes: Vec<Change>,
    /// The invalid documents.
    pub invalid_changes: Vec<InvalidChange>,
    /// The reads of the configuration.
    pub reads: Vec<Read>,
    /// The faults of frontends.
    pub frontend_faults: Vec<FrontendFault>,
    /// The faults of the core.
    pub core_faults: Vec<CoreFault>,
    /// When the final fault took most of the core; `None` without one.
    pub final_fault_at: Option<Time>,
    /// A line of text for each disruption, in order, with its time.
    pub events: Vec<(Time, String)>,
}
