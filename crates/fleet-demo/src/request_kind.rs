//! The kinds of requests, with the properties of their routes.

use std::time::Duration;

/// The service of the language model.
pub const MODEL_SERVICE: &str = "form-reader";
/// The service of plain calls.
pub const PLAIN_SERVICE: &str = "tally";
/// The host of all routes.
pub const HOST: &str = "count.example";

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// A stream that is not idempotent.
    Form,
    /// A stream that another backend can resume.
    Question,
    /// A plain call that is not idempotent.
    Pull,
    /// A plain call that is safe.
    Lookup,
    /// A safe plain call on a route that a configuration added: a probe that shows whether that configuration
    /// is in force.
    Added,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 5] = [
        RequestKind::Form,
        RequestKind::Question,
        RequestKind::Pull,
        RequestKind::Lookup,
        RequestKind::Added,
    ];

    /// Its name in tables and paths.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Form => "form",
            RequestKind::Question => "question",
            RequestKind::Pull => "pull",
            RequestKind::Lookup => "lookup",
            RequestKind::Added => "added",
        }
    }

    /// The `route_type` of its route.
    pub fn route_type(self) -> &'static str {
        match self {
            RequestKind::Form | RequestKind::Question => "streaming",
            RequestKind::Pull => "non_idempotent",
            RequestKind::Lookup | RequestKind::Added => "safe",
        }
    }

    /// The service that executes it.
    pub fn service(self) -> &'static str {
        if self.is_stream() { MODEL_SERVICE } else { PLAIN_SERVICE }
    }

    /// Whether its response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Form | RequestKind::Question)
    }

    /// Whether it may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, RequestKind::Form | RequestKind::Pull)
    }

    /// The number of events of its response; 0 for a plain call.
    pub fn event_count(self) -> u32 {
        match self {
            RequestKind::Form => 9,
            RequestKind::Question => 24,
            RequestKind::Pull | RequestKind::Lookup | RequestKind::Added => 0,
        }
    }

    /// How long a client waits for the complete response.
    pub fn deadline(self) -> Duration {
        if self.is_stream() { Duration::from_millis(5000) } else { Duration::from_millis(2500) }
    }
}
