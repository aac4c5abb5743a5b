//! Errors of a configuration file, with their codes, positions and texts for operators, and the rule of the
//! node that each would break. Rendering them is left to the caller.

use serde::Serialize;
use std::collections::HashSet;
use std::fmt;
use std::ops::Range;

/// The guarantees of a node that an invalid file could break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Rule {
    /// Each accepted request gets exactly one final response, before its timeout.
    #[serde(rename = "one-answer-in-time")]
    OneResponseInTime,
    /// No request with side effects is executed twice.
    #[serde(rename = "no-effect-twice")]
    NoDuplicateEffects,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::OneResponseInTime => "exactly one final response, in time",
            Rule::NoDuplicateEffects => "no duplicate side effects",
        })
    }
}

macro_rules! codes {
    ($($name:ident = $text:literal, $rule:expr, $summary:literal;)*) => {
        /// The kind of an error. Its code, such as `MW100`, is stable: it is never given another meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code { $(#[doc = $summary] $name,)* }

        impl Code {
            /// All codes, in ascending order.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// The code as text: `MW` and three digits.
            pub fn as_str(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// A description of the kind of error, in one line.
            pub fn summary(self) -> &'static str {
                match self { $(Code::$name => $summary,)* }
            }

            /// The rule that a file with this error would break; `None` if it breaks none.
            pub fn rule(self) -> Option<Rule> {
                match self { $(Code::$name => $rule,)* }
            }
        }
    };
}

use Rule::{NoDuplicateEffects, OneResponseInTime};

codes! {
    NotUtf8 = "MW001", None, "The file is not valid UTF-8.";
    FileTooLarge = "MW002", None, "The file exceeds the maximum size.";
    UnreadableFile = "MW003", None, "The path is not a regular file, or the file can't be read.";
    InvalidToml = "MW004", None, "The file is not valid TOML.";
    UnknownKey = "MW010", None, "A key that is unknown or not allowed here.";
    WrongType = "MW011", None, "A value of the wrong type for its key.";
    MissingKey = "MW012", None, "A required key is missing.";
    Duplicate = "MW013", None, "A name or an address that is already in use.";
    InvalidName = "MW014", None, "A name that is empty, too long, or has characters other than letters, digits, `.`, `_` and `-`.";
    MissingDurationUnit = "MW020", None, "A duration without a unit.";
    ZeroDuration = "MW021", None, "A duration of zero where a positive one is required.";
    DurationTooLong = "MW022", None, "A duration longer than a day.";
    InvalidDuration = "MW023", None, "A string that is not a valid duration.";
    ShareOutOfRange = "MW024", None, "A share that is not a number from 0 to 1.";
    NumberOutOfRange = "MW025", None, "A number or a size outside its range, or one that can't be parsed.";
    InvalidAddress = "MW026", None, "A string that is not an IP address with a port, or not a network.";
    InvalidRate = "MW027", None, "A string that is not a valid rate.";
    InvalidHeader = "MW028", None, "An invalid header name or value, or a header that applies to one connection only.";
    InvalidMethod = "MW029", None, "A method that is invalid or not supported.";
    InvalidHost = "MW030", None, "A string that is not a valid host.";
    InvalidPath = "MW031", None, "A string that is not a valid path or template.";
    InvalidChoice = "MW032", None, "A string that is not one of the allowed values.";
    UnknownClass = "MW040", None, "A reference to a class that the file does not define.";
    UnknownCluster = "MW041", None, "A reference to a cluster that the file does not define.";
    UnknownZone = "MW042", None, "A zone that has no backends.";
    UnknownCapture = "MW043", None, "A reference to a capture that the route's path does not have.";
    NoBackends = "MW050", None, "A cluster without backends.";
    DuplicateAddress = "MW051", None, "Two backends of a cluster with the same address.";
    NoBackendInService = "MW052", None, "A cluster with no backend in service.";
    MissingScope = "MW053", Some(NoDuplicateEffects), "A class is keyed by zone or cell, which is not set for a backend.";
    UnsafeRetried = "MW100", Some(NoDuplicateEffects), "An unsafe class allows retries after an attempt that may have been executed.";
    UnsafeHedged = "MW101", Some(NoDuplicateEffects), "An unsafe class allows hedged requests.";
    RetryAfterKeyWindow = "MW102", Some(NoDuplicateEffects), "A keyed class allows an attempt after backends have forgotten its key.";
    KeyedWithoutKey = "MW103", Some(NoDuplicateEffects), "The source of a keyed class's key is not set.";
    UnsafeMethodInSafeClass = "MW104", Some(NoDuplicateEffects), "A route of a safe class accepts a method with side effects.";
    SafeMethodInClassWithEffects = "MW105", Some(NoDuplicateEffects), "A route of a class with side effects accepts a method that any intermediary may repeat.";
    AttemptsExceedTimeout = "MW106", Some(OneResponseInTime), "All attempts and back-offs together exceed the request's timeout.";
    ExceedsClientTimeout = "MW107", Some(OneResponseInTime), "The request's timeout exceeds the clients' timeout.";
    HedgeTooLate = "MW108", None, "A hedged request would be sent after the first attempt has timed out.";
    AttemptTooLong = "MW109", Some(OneResponseInTime), "An attempt's timeout exceeds the request's timeout.";
    ConnectTooLong = "MW110", None, "The connect timeout is not below the attempt's timeout.";
    HedgesWithoutAttempts = "MW111", None, "More hedged requests than the maximum number of attempts allows.";
    RetriesWithoutBudget = "MW112", None, "Retries are allowed, but their budget is zero.";
    LatencyTargetTooLong = "MW113", None, "The latency target exceeds the request's timeout.";
    TenantRatesBelowRetryBudget = "MW114", None, "The rate limits of all tenants together are below the floor of the retry budget.";
    QueueTooLong = "MW115", Some(OneResponseInTime), "The maximum time in a queue leaves no time for a response.";
    SharesExceedOne = "MW116", None, "The shares of all tenants add up to more than 1.";
    QueueWithoutLimit = "MW117", None, "A queue without a maximum of requests in flight.";
    ReleaseAboveThreshold = "MW118", None, "A brownout step that does not end below the fraction at which it begins.";
    InvalidLimitBounds = "MW119", None, "A limit that starts outside its bounds, or a fixed limit with bounds.";
    FallbackInClassWithEffects = "MW120", Some(NoDuplicateEffects), "A class with side effects has a fallback, which clients could take for a success.";
    FallbackUnused = "MW121", None, "A fallback that no brownout step of its cluster serves.";
    StepClassesMismatch = "MW122", None, "A brownout step that lists classes but does not shed, or sheds but lists none.";
    UpgradeInClassWithEffects = "MW123", Some(NoDuplicateEffects), "A class with side effects allows protocol upgrades, which are requested by GET.";
    StreamShorterThanGap = "MW124", None, "The maximum duration of a stream is below its maximum gap.";
    AmbiguousRoutes = "MW130", None, "Two routes that match the same request equally well.";
    RouteNeverMatches = "MW131", None, "A route that no request can match.";
    RoutePathCount = "MW132", None, "A route with no path, or with more than one.";
    NoRoutes = "MW133", None, "The file has no routes, so every request would get a 404.";
    NoListener = "MW140", None, "The file has no listener.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error of a configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// The kind of the error.
    pub code: Code,
    /// What is wrong, in one line.
    pub message: String,
    /// The range of bytes that is wrong; empty if the error concerns the whole file.
    pub span: Range<usize>,
    /// Related positions, each with a label.
    pub related: Vec<(Range<usize>, String)>,
    /// What to write instead.
    pub help: String,
}

impl Diagnostic {
    /// Creates an error without related positions.
    pub fn new(code: Code, span: Range<usize>, message: impl Into<String>, help: impl Into<String>) -> Self {
        Diagnostic { code, message: message.into(), span, related: Vec::new(), help: help.into() }
    }

    /// Adds a related position with a label.
    pub fn with_related(mut self, span: Range<usize>, what: impl Into<String>) -> Self {
        self.related.push((span, what.into()));
        self
    }
}

/// Collects errors. Beyond [`Report::MAX_DIAGNOSTICS`] they are only counted.
#[derive(Debug, Default)]
pub struct Report {
    found: Vec<Diagnostic>,
    seen: HashSet<(Code, usize, String)>,
    /// The number of errors that were only counted.
    pub omitted: usize,
}

impl Report {
    /// The maximum number of errors that are kept. Limits the memory for a large file with an error in each
    /// line.
    pub const MAX_DIAGNOSTICS: usize = 200;

    /// Adds an error. The same error at the same position counts once, as a setting of a class is checked
    /// again for each of its routes.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        let Diagnostic { code, span, message, .. } = &diagnostic;
        if !self.seen.insert((*code, span.start, message.clone())) {
            return;
        }
        if self.found.len() < Report::MAX_DIAGNOSTICS {
            self.found.push(diagnostic);
        } else {
            self.omitted += 1;
        }
    }

    /// Whether no error was reported.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Whether some value could not be parsed, and is therefore missing from the parsed file. An unknown key
    /// has no such value.
    pub fn has_missing_values(&self) -> bool {
        self.omitted > 0 || self.found.iter().any(|diagnostic| diagnostic.code != Code::UnknownKey)
    }

    /// The errors that were kept, sorted by position.
    pub fn into_sorted(mut self) -> Vec<Diagnostic> {
        self.found.sort_by_key(|d| (d.span.start, d.code));
        self.found
    }
}

/// The position of a byte in the text. Its field names are part of the JSON report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// Converts byte offsets of a text to lines and columns.
pub struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    /// Indexes the lines of a text.
    pub fn of(text: &'t str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        Lines { text, starts: std::iter::once(0).chain(ends).collect() }
    }

    /// The position of a byte; that of the end of the text for an offset beyond it.
    pub fn position(&self, at: usize) -> Position {
        let at = at.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= at) - 1;
        let before = self.text.as_bytes().get(self.starts[line]..at).unwrap_or_default();
        let column = String::from_utf8_lossy(before).chars().count() + 1;
        Position { line: line + 1, column }
    }
}

#[cfg(test)]
mod tests;
