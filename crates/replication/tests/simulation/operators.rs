//! Simulated operators: each submits a change or a read to some machine, and retries at another one until the
//! outcome is definite.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use replication::{Change, Generation, RequestId, RequestOutcome};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long an operator retries an operation.
const ABANDON_AFTER: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
pub enum Operation {
    Write(Change),
    Read,
    ReadIndex,
}

#[derive(Clone, Debug)]
pub struct PendingOperation {
    pub operation: Operation,
    pub started_at: Duration,
    pub sent_at: Duration,
    /// The machine that the current attempt was sent to.
    pub machine: usize,
    /// Whether a response to the current attempt is lost: from an unknown outcome until the retry.
    pub response_ignored: bool,
}

pub struct Operators {
    next: u64,
    pub pending: BTreeMap<RequestId, PendingOperation>,
    /// The newest generation that operators know.
    pub known_generation: u64,
    /// How long an operator waits for a response before it retries at another machine.
    pub retry_after: Duration,
}

impl Default for Operators {
    fn default() -> Self {
        Operators {
            next: 0,
            pending: BTreeMap::new(),
            known_generation: 0,
            retry_after: Duration::from_secs(1),
        }
    }
}

pub fn change(base: u64, generation: u64, label: u64, size: usize) -> Change {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&label.to_be_bytes());
    Change {
        base: Generation(base),
        generation: Generation(generation),
        digest,
        document: Arc::new(ByteBuf::from(vec![label as u8; size])),
    }
}

impl Operators {
    pub fn next_request_id(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }

    /// A random change based on the newest known generation, sometimes on another one.
    pub fn draw_change(&mut self, random: &mut Pcg64Mcg) -> Change {
        let base = match random.random_range(0..20) {
            0 => self.known_generation.saturating_sub(1),
            1 => self.known_generation + random.random_range(1..4),
            _ => self.known_generation,
        };
        let step = if random.random_range(0..20) == 0 { 0 } else { random.random_range(1..4) };
        change(base, base + step, random.random(), random.random_range(10..200))
    }

    /// Removes the operations whose current attempt has waited too long. Those that are to be retried are
    /// returned with their identifier, the abandoned ones as `None`.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<(RequestId, Option<PendingOperation>)> {
        let late = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.sent_at + self.retry_after)
            .map(|(id, _)| *id);
        let late: Vec<RequestId> = late.collect();
        late.into_iter()
            .filter_map(|id| {
                let pending = self.pending.remove(&id)?;
                let continues = now < pending.started_at + ABANDON_AFTER;
                Some((id, continues.then_some(pending)))
            })
            .collect()
    }

    /// Updates the newest known generation from a response.
    pub fn observe_outcome(&mut self, pending: &PendingOperation, outcome: &RequestOutcome) {
        match (&pending.operation, outcome) {
            (Operation::Write(change), RequestOutcome::Committed { .. }) => {
                self.known_generation = self.known_generation.max(change.generation.get())
            }
            (
                _,
                RequestOutcome::Conflict { current }
                | RequestOutcome::NotHigher { current }
                | RequestOutcome::TooOld { current },
            ) => self.known_generation = self.known_generation.max(current.get()),
            (_, RequestOutcome::Current(Some(entry))) => {
                self.known_generation = self.known_generation.max(entry.change.generation.get())
            }
            _ => {}
        }
    }
}
