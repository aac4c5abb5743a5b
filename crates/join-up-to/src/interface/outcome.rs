//! The outcome of an attempt or a probe.

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded with success.
    Served,
    /// The server returned an error; the request may have been executed.
    Error,
    /// The server rejected the request without executing it: its queue is full, or it is draining.
    Rejected,
    /// No response in time; the request may have been executed.
    TimedOut,
    /// No connection was established, so the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// Cancelled by this node; the request may have been executed.
    Cancelled,
    /// Never sent: the request had ended, its deadline had passed or its attempts were used up.
    NotSent,
}

impl Outcome {
    /// All outcomes, in the order of declaration.
    pub const ALL: [Outcome; 8] = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];

    /// Whether this outcome proves that the request was never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
