//! The changes that wait at the head of the chain, and the decision on each of them.

use crate::identifiers::Generation;
use crate::message::RequestOrigin;
use crate::model::{Change, RequestOutcome};
use crate::register::Register;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of waiting changes. Further ones are dropped, and retried by the members that forwarded
/// them.
const MAX_QUEUED: usize = 32;

/// How long a change whose base has not arrived is kept after it was last received. Clients that still want
/// it retry within this time.
const AWAITING_BASE_RETENTION: Duration = Duration::from_millis(2_500);

/// A waiting change and the requests that submitted it.
#[derive(Clone, Debug)]
pub(crate) struct QueuedWrite {
    pub(crate) change: Change,
    pub(crate) origins: Vec<RequestOrigin>,
    /// When the change was last submitted or retried.
    received_at: Duration,
}

/// How the head proceeds with a change, given the committed entries.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WriteDecision {
    /// The change is based on the current generation: append it as the next entry.
    Append,
    /// Respond with a final outcome: no later commit can alter it.
    Respond(RequestOutcome),
    /// Keep it until its base is committed. It can't be rejected, as the base may still arrive, and another
    /// copy of the change in flight would then be accepted.
    WaitForBase,
}

/// The changes that the head has received and not yet appended or responded to.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteQueue {
    queued: VecDeque<QueuedWrite>,
    /// Changes whose base has not arrived yet.
    awaiting_base: Vec<QueuedWrite>,
    /// The requests that submitted the change that is being replicated.
    pub(crate) in_flight: Vec<RequestOrigin>,
}

impl WriteQueue {
    /// Queues a change. A retry of a waiting change only adds its origin.
    pub(crate) fn push(&mut self, now: Duration, change: Change, origin: RequestOrigin) {
        let mut all = self.queued.iter_mut().chain(&mut self.awaiting_base);
        if let Some(same) = all.find(|write| write.change.digest == change.digest) {
            same.received_at = now;
            add_once(&mut same.origins, origin);
        } else if self.queued.len() + self.awaiting_base.len() < MAX_QUEUED {
            self.queued.push_back(QueuedWrite { change, origins: vec![origin], received_at: now });
        }
    }

    /// Removes and returns the next change to decide on: a change whose base is committed at this generation
    /// comes first.
    pub(crate) fn pop(&mut self, generation: Generation) -> Option<QueuedWrite> {
        let ready = self.awaiting_base.iter().position(|write| write.change.base <= generation);
        ready.map(|position| self.awaiting_base.remove(position)).or_else(|| self.queued.pop_front())
    }

    /// Keeps a change until its base is committed.
    pub(crate) fn push_awaiting_base(&mut self, write: QueuedWrite) {
        self.awaiting_base.push(write);
    }

    /// Drops changes without a base that clients no longer retry.
    pub(crate) fn drop_expired(&mut self, now: Duration) {
        self.awaiting_base.retain(|write| now < write.received_at + AWAITING_BASE_RETENTION);
    }

    /// Adds a request that gets a response when the change in flight is committed.
    pub(crate) fn join_in_flight(&mut self, origin: RequestOrigin) {
        add_once(&mut self.in_flight, origin);
    }

    /// Removes a cancelled request. A change in flight continues; a waiting change is dropped if no other
    /// request has submitted it.
    pub(crate) fn cancel(&mut self, origin: RequestOrigin) {
        self.in_flight.retain(|other| *other != origin);
        for write in self.queued.iter_mut().chain(&mut self.awaiting_base) {
            write.origins.retain(|other| *other != origin);
        }
        self.queued.retain(|write| !write.origins.is_empty());
        self.awaiting_base.retain(|write| !write.origins.is_empty());
    }

    /// Drops all changes, because another view is in force: the members that forwarded them send them to its
    /// head.
    pub(crate) fn clear(&mut self) {
        self.queued.clear();
        self.awaiting_base.clear();
        self.in_flight.clear();
    }
}

/// Decides on a change. Called only while no entry is in flight.
pub(crate) fn decide(register: &Register, change: &Change) -> WriteDecision {
    let current = register.generation();
    if let Some(sequence) = register.find_committed(&change.digest) {
        return WriteDecision::Respond(RequestOutcome::Committed { sequence });
    }
    if change.generation <= register.pruned_generation() {
        return WriteDecision::Respond(RequestOutcome::TooOld { current });
    }
    if change.base > current {
        return WriteDecision::WaitForBase;
    }
    if change.base < current {
        return WriteDecision::Respond(RequestOutcome::Conflict { current });
    }
    if change.generation <= current {
        return WriteDecision::Respond(RequestOutcome::NotHigher { current });
    }
    WriteDecision::Append
}

fn add_once(origins: &mut Vec<RequestOrigin>, origin: RequestOrigin) {
    if !origins.contains(&origin) {
        origins.push(origin);
    }
}
