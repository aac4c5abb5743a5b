//! Errors of a file: codes, positions, and the rule that would be broken. Prints nothing. The texts are for operators.

use serde::Serialize;
use std::collections::HashSet;
use std::fmt;
use std::ops::Range;

/// The rules of a node that an error of the file would break.
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
            Rule::OneResponseInTime => "one final answer, in time",
            Rule::NoDuplicateEffects => "no effect twice",
        })
    }
}

macro_rules! codes {
    ($($name:ident = $text:literal, $rule:expr, $summary:literal;)*) => {
        /// The kind of an error. Its text, such as `MW100`, never changes its meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code { $(#[doc = $summary] $name,)* }

        impl Code {
            /// All codes, in order.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// `MW` and three digits.
            pub fn as_str(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// What errors of this kind have in common, in a line.
            pub fn summary(self) -> &'static str {
                match self { $(Code::$name => $summary,)* }
            }

            /// The rule that the file would break.
            pub fn rule(self) -> Option<Rule> {
                match self { $(Code::$name => $rule,)* }
            }
        }
    };
}

use Rule::{NoDuplicateEffects, OneResponseInTime};

codes! {
    NotUtf8 = "MW001", None, "The file is not UTF-8 text.";
    FileTooLarge = "MW002", None, "The file is larger than any that is read.";
    UnreadableFile = "MW003", None, "The path names no ordinary file, or it can't be read.";
    InvalidToml = "MW004", None, "The text is not TOML.";
    UnknownKey = "MW010", None, "A key that means nothing here.";
    WrongType = "MW011", None, "A value of another type than the key takes.";
    MissingKey = "MW012", None, "A key that must be there is not.";
    Duplicate = "MW013", None, "A name or an address that is already taken.";
    InvalidName = "MW014", None, "A name that is empty, too long or holds other than letters, digits, `.`, `_` and `-`.";
    MissingDurationUnit = "MW020", None, "A duration without its unit.";
    ZeroDuration = "MW021", None, "A duration of zero where there must be some time.";
    DurationTooLong = "MW022", None, "A duration of more than a day.";
    InvalidDuration = "MW023", None, "A text that is no duration.";
    ShareOutOfRange = "MW024", None, "A share outside 0 to 1.";
    NumberOutOfRange = "MW025", None, "A number outside its range, or none at all.";
    InvalidAddress = "MW026", None, "A text that is no address with a port.";
    InvalidRate = "MW027", None, "A text that is no rate.";
    InvalidHeader = "MW028", None, "A text that is no header name or value, or a header that can't be matched on.";
    InvalidMethod = "MW029", None, "A text that is no method.";
    InvalidHost = "MW030", None, "A text that is no host.";
    InvalidPath = "MW031", None, "A text that is no path or template.";
    InvalidChoice = "MW032", None, "A word that is none of those allowed here.";
    UnknownClass = "MW040", None, "A route names a class that the file does not have.";
    UnknownCluster = "MW041", None, "A route names a cluster that the file does not have.";
    UnknownZone = "MW042", None, "A zone that no box is in.";
    UnknownCapture = "MW043", None, "A template uses a capture that the path does not have.";
    NoBackends = "MW050", None, "A cluster without boxes.";
    DuplicateAddress = "MW051", None, "Two boxes of a cluster at one address.";
    NoBackendInService = "MW052", None, "A cluster none of whose boxes takes requests.";
    MissingScope = "MW053", Some(NoDuplicateEffects), "A class is keyed by zone or cell, and a box does not say its own.";
    UnsafeRetried = "MW100", Some(NoDuplicateEffects), "An unsafe class has further attempts after it may have run.";
    UnsafeHedged = "MW101", Some(NoDuplicateEffects), "An unsafe class has second copies.";
    RetryAfterKeyWindow = "MW102", Some(NoDuplicateEffects), "A keyed class may be sent again after the boxes have forgotten its key.";
    KeyedWithoutKey = "MW103", Some(NoDuplicateEffects), "A keyed class names no place where its key is found.";
    UnsafeMethodInSafeClass = "MW104", Some(NoDuplicateEffects), "A safe class is reached by a method that has effects.";
    SafeMethodInClassWithEffects = "MW105", Some(NoDuplicateEffects), "A class with effects is reached by a method that anybody may repeat.";
    AttemptsExceedTimeout = "MW106", Some(OneResponseInTime), "Attempts and back-offs together outlast the request's time.";
    ExceedsClientTimeout = "MW107", Some(OneResponseInTime), "The request's time outlasts the clients' patience.";
    HedgeTooLate = "MW108", None, "A second copy would go out when its first attempt is over.";
    AttemptTooLong = "MW109", Some(OneResponseInTime), "An attempt may take longer than its request.";
    ConnectTooLong = "MW110", None, "A connect may take as long as the whole attempt.";
    HedgesWithoutAttempts = "MW111", None, "More copies than there are attempts for them.";
    RetriesWithoutBudget = "MW112", None, "Further attempts are allowed, and their budget is nothing.";
    LatencyTargetTooLong = "MW113", None, "The aim is longer than the request's time.";
    TenantRatesBelowRetryBudget = "MW114", None, "All tenants together may send less than the retry budget's floor.";
    QueueTooLong = "MW115", Some(OneResponseInTime), "A request may wait in the queue for all of its time.";
    SharesExceedOne = "MW116", None, "Tenants' shares add up to more than the whole.";
    QueueWithoutLimit = "MW117", None, "A queue without a limit to wait for.";
    ReleaseAboveThreshold = "MW118", None, "A step whose way back is not below its way in.";
    InvalidLimitBounds = "MW119", None, "A limit that starts outside of its bounds.";
    FallbackInClassWithEffects = "MW120", Some(NoDuplicateEffects), "A class with effects has a fallback, which its clients would take for their effect.";
    FallbackUnused = "MW121", None, "A fallback that no step of its cluster answers with.";
    StepClassesMismatch = "MW122", None, "A step that names classes and sheds none, or sheds and names none.";
    UpgradeInClassWithEffects = "MW123", Some(NoDuplicateEffects), "A class with effects passes switches of protocol on, which only a safe one can ask for.";
    StreamShorterThanGap = "MW124", None, "A stream that would end sooner than the pause it may make.";
    AmbiguousRoutes = "MW130", None, "Two routes that some request can't tell apart.";
    RouteNeverMatches = "MW131", None, "A route that no request can match.";
    RoutePathCount = "MW132", None, "A route without a path, or with more than one.";
    NoRoutes = "MW133", None, "No routes, so that every request would be answered 404.";
    NoListener = "MW140", None, "Nothing to listen on.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// Its kind.
    pub code: Code,
    /// What is wrong, in a line.
    pub message: String,
    /// The bytes of the text that are wrong.
    pub span: Range<usize>,
    /// Related positions, and what they are.
    pub related: Vec<(Range<usize>, String)>,
    /// What to write instead.
    pub help: String,
}

impl Diagnostic {
    /// An error at a position, and what to write instead.
    pub fn new(code: Code, span: Range<usize>, message: impl Into<String>, help: impl Into<String>) -> Self {
        Diagnostic { code, message: message.into(), span, related: Vec::new(), help: help.into() }
    }

    /// Adds a related position.
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
    /// As many as anybody reads. Limits the memory for a large file with an error in each line.
    pub const MAX_DIAGNOSTICS: usize = 200;

    /// Adds an error. The same error at the same position, found by way of another route, counts once.
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

    /// Whether there is no error.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Whether some value could not be parsed, so that it would look like a missing one. An unknown key is no such value.
    pub fn has_missing_values(&self) -> bool {
        self.omitted > 0 || self.found.iter().any(|diagnostic| diagnostic.code != Code::UnknownKey)
    }

    /// All errors, by position.
    pub fn into_sorted(mut self) -> Vec<Diagnostic> {
        self.found.sort_by_key(|d| (d.span.start, d.code));
        self.found
    }
}

/// The position of a byte in the text. Its fields are seen in the report as JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// The lines of a text, to find the positions of bytes.
pub struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    /// Finds the lines.
    pub fn of(text: &'t str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        Lines { text, starts: std::iter::once(0).chain(ends).collect() }
    }

    /// The position of a byte; the end of the text for any beyond.
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
