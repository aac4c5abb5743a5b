//! Decides what the end of an attempt proves about the execution of its request, and whether another attempt
//! may be made. No other module decides this. No I/O, no clock.
//!
//! A request that may have run is retried only if its route is idempotent. Only two things prove that it has
//! not run: no byte of it was written, or its backend states it, by status 421 or by `X-Not-Executed` on a
//! response to this request that is not a success. A time-out, a reset, a closed connection or a response to
//! another request prove nothing.

use hyper::StatusCode;

/// The number of attempts without a byte written after which a request fails.
const MAX_UNWRITTEN_ATTEMPTS: u32 = 3;

/// What an attempt proves about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionEvidence {
    /// No byte of the request was written, so it has not run.
    NotWritten,
    /// The backend states that it has not run the request.
    Rejected,
    /// Another instance than the expected one responded, and has not run the request.
    Misdirected,
    /// The backend may have executed the request, so a retry could execute it twice.
    MayHaveRun,
}

/// Which request a response belongs to, by the request id in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseOwner {
    /// The ids are equal, or the request has none.
    ThisRequest,
    /// The request has an id, but the response has none.
    Unknown,
    /// The response has another id than the request.
    OtherRequest,
}

/// Whether an attempt has written any byte of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestBytes {
    /// Nothing was passed to the system for sending.
    NoneWritten,
    /// At least one byte was passed to the system, so that the backend may have received it.
    SomeWritten,
}

/// How an attempt ended, as far as it matters for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No response arrived before the attempt's deadline.
    TimedOut,
    /// The connection failed or was closed, or what was received is not an HTTP response.
    ConnectionBroken,
    /// The head of a response arrived.
    Response {
        /// The status of the response.
        status: StatusCode,
        /// Whether the response has the header `X-Not-Executed`.
        not_executed: bool,
        /// The request that the response belongs to.
        owner: ResponseOwner,
    },
}

/// Determines what an attempt proves, from whether any byte of the request was written and how the attempt
/// ended.
pub fn execution_evidence(written: RequestBytes, end: AttemptEnd) -> ExecutionEvidence {
    match end {
        AttemptEnd::TimedOut | AttemptEnd::ConnectionBroken if written == RequestBytes::NoneWritten => {
            ExecutionEvidence::NotWritten
        }
        AttemptEnd::TimedOut
        | AttemptEnd::ConnectionBroken
        | AttemptEnd::Response { owner: ResponseOwner::OtherRequest, .. } => ExecutionEvidence::MayHaveRun,
        AttemptEnd::Response { status: StatusCode::MISDIRECTED_REQUEST, .. } => {
            ExecutionEvidence::Misdirected
        }
        AttemptEnd::Response { status, not_executed: true, .. } if !status.is_success() => {
            ExecutionEvidence::Rejected
        }
        AttemptEnd::Response { .. } => ExecutionEvidence::MayHaveRun,
    }
}

/// The retries that a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryPolicy {
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// The most attempts of one request that may reach a backend.
    pub max_attempts: u32,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttemptHistory {
    /// Attempts that have reached a backend.
    written: u32,
    /// Attempts without a byte written.
    unwritten: u32,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Adds what an ended attempt proves about the execution of the request.
    pub fn record(&mut self, evidence: ExecutionEvidence) {
        match evidence {
            ExecutionEvidence::NotWritten => self.unwritten += 1,
            ExecutionEvidence::Rejected | ExecutionEvidence::Misdirected => self.written += 1,
            ExecutionEvidence::MayHaveRun => {
                self.written += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether the request may have run at any backend.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether any attempt has reached a backend. The next one is then a retry, which counts against the
    /// retry budget.
    pub fn has_reached_backend(&self) -> bool {
        self.written > 0
    }

    /// Whether fewer attempts have reached a backend than the route allows.
    pub fn has_attempts_left(&self, policy: RetryPolicy) -> bool {
        self.written < policy.max_attempts
    }

    /// Whether another attempt may be made. A first attempt is allowed even if the route's maximum is 0.
    pub fn allows_attempt(&self, policy: RetryPolicy) -> bool {
        let may_run = policy.idempotent || !self.may_have_run;
        let has_attempts_left = !self.has_reached_backend() || self.has_attempts_left(policy);
        may_run && self.unwritten < MAX_UNWRITTEN_ATTEMPTS && has_attempts_left
    }
}
