//! Requests and their attempts.

use super::classes::ClassSlot;
use crate::interface::{Outcome, ServerEntry};
use std::time::Duration;

pub struct Attempt {
    /// The list entry of its server at the time of the send.
    pub server: ServerEntry,
    pub sent: Duration,
    /// The load of the server at the send, rounded.
    pub load_level: usize,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the attempt may have been executed; true while it is in flight.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request without final response, or with attempts in flight.
#[derive(Default)]
pub struct Request {
    pub class: ClassSlot,
    /// The expected processing time; `None` if unknown.
    pub cost: Option<Duration>,
    /// The cost relative to the average; 1 if unknown.
    pub relative_cost: f64,
    /// The time by which the client must have the final response.
    pub deadline: Duration,
    pub attempts: Vec<Attempt>,
    pub probe_rounds: u32,
    /// Whether the response is being streamed to the client.
    pub is_streaming: bool,
    /// The maximum time for the body to arrive; `None` unless the body is forwarded while it arrives.
    pub upload_timeout: Option<Duration>,
    /// Whether bytes of an upload's body that are not buffered were forwarded.
    pub is_body_consumed: bool,
    /// When a hedged attempt is due, whether one may be sent now, and how many have been sent.
    pub hedge_at: Option<Duration>,
    pub may_hedge: bool,
    pub hedges: u32,
    /// The end of the backoff before the next retry.
    pub backoff_until: Option<Duration>,
    /// Whether nothing more is to be sent for it.
    pub is_closed: bool,
}

impl Request {
    /// Whether it needs a response and may be sent now: nothing is in flight, or a hedged attempt is due.
    pub fn is_dispatchable(&self) -> bool {
        !self.is_closed && !self.is_streaming && (self.may_hedge || !self.is_in_flight())
    }
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }
    /// Whether its next attempt is a hedged one and not a retry.
    pub fn is_next_hedged(&self) -> bool {
        self.may_hedge && self.is_in_flight()
    }
    /// Its first attempt that may have been executed.
    pub fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
    /// Whether one of its attempts may have been executed.
    pub fn may_have_run(&self) -> bool {
        self.first_possible_execution().is_some()
    }
}
