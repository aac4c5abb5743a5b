//! Linearizable responses. A response is sent only after a majority of the voters has confirmed, since the
//! request arrived, that this member's view is the latest. This is the read index of Raft (Ongaro,
//! "Consensus: Bridging Theory and Practice", 2014, section 6.4). It is used for reads at the tail, and at
//! the head for responses that follow from entries committed earlier.

use crate::identifiers::{ConfirmationRound, Incarnation, MemberId};
use crate::message::RequestOrigin;
use crate::model::RequestOutcome;
use std::collections::BTreeSet;
use std::time::Duration;

/// The interval at which an unfinished round is resent: a few round trips. After a power failure, when voters
/// restart one after the other, a round completes within this time of the restart of the last voter that is
/// needed for a majority.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of queued requests. Further ones are dropped, and retried by the members that forwarded
/// them.
const MAX_QUEUED: usize = 256;

/// The response to send once the round of the request is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmedResponse {
    /// The newest committed entry.
    NewestEntry,
    /// The sequence of the newest committed entry.
    NewestSequence,
    /// A final outcome, which no later commit can alter.
    Final(RequestOutcome),
}

/// A request whose response waits for a confirmation.
#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedRequest {
    pub(crate) origin: RequestOrigin,
    pub(crate) response: ConfirmedResponse,
}

#[derive(Clone, Debug)]
struct Round {
    number: ConfirmationRound,
    sent_at: Duration,
    confirmed_by: BTreeSet<MemberId>,
    requests: Vec<UnconfirmedRequest>,
}

/// The confirmation rounds of this member; at most one is in progress.
#[derive(Clone, Debug)]
pub(crate) struct ReadIndexRounds {
    last: ConfirmationRound,
    current: Option<Round>,
    /// Requests that arrived after the current round began; they are part of the next one.
    queued: Vec<UnconfirmedRequest>,
}

impl ReadIndexRounds {
    /// Starts the numbering of rounds for an incarnation. The numbers differ between the incarnations of a
    /// member, because a confirmation for an earlier incarnation must not count.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        let last = ConfirmationRound::before_first(incarnation);
        ReadIndexRounds { last, current: None, queued: Vec::new() }
    }

    pub(crate) fn push(&mut self, origin: RequestOrigin, response: ConfirmedResponse) {
        let is_queued = self.queued.iter().any(|request| request.origin == origin);
        if self.queued.len() < MAX_QUEUED && !is_queued {
            self.queued.push(UnconfirmedRequest { origin, response });
        }
    }

    /// Begins a round if requests are queued and none is in progress. Returns the number of the new round.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<ConfirmationRound> {
        if self.current.is_some() || self.queued.is_empty() {
            return None;
        }
        self.last = self.last.next();
        let requests = std::mem::take(&mut self.queued);
        self.current =
            Some(Round { number: self.last, sent_at: now, confirmed_by: BTreeSet::new(), requests });
        Some(self.last)
    }

    /// Returns the number of the round if it is due to be resent, and marks it as sent now.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<ConfirmationRound> {
        let round = self.current.as_mut().filter(|round| now >= round.sent_at + RESEND_INTERVAL)?;
        round.sent_at = now;
        Some(round.number)
    }

    /// Records a voter's confirmation. Returns the requests that may now be responded to.
    pub(crate) fn record_confirmation(
        &mut self,
        number: ConfirmationRound,
        voter: MemberId,
        majority: usize,
    ) -> Vec<UnconfirmedRequest> {
        let Some(round) = self.current.as_mut().filter(|round| round.number == number) else {
            return Vec::new();
        };
        round.confirmed_by.insert(voter);
        if round.confirmed_by.len() < majority {
            return Vec::new();
        }
        self.current.take().map(|round| round.requests).unwrap_or_default()
    }

    /// Removes a cancelled request whose round has not begun.
    pub(crate) fn cancel(&mut self, origin: RequestOrigin) {
        self.queued.retain(|request| request.origin != origin);
    }

    /// Drops all requests, because another view is in force.
    pub(crate) fn clear(&mut self) {
        self.current = None;
        self.queued.clear();
    }
}
