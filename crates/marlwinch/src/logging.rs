//! Lines on standard error, and a limit on those that another side can cause.

use log::{LevelFilter, Log, Metadata, Record, warn};
use std::cell::Cell;
use std::io::Write;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

struct StdErr;

impl Log for StdErr {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("marlwinch")
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            // A log that nobody reads any more must not end the node.
            let _ =
                writeln!(std::io::stderr(), "{:.3} {} {}", now.as_secs_f64(), record.level(), record.args());
        }
    }
    fn flush(&self) {}
}

/// Sends what is logged to standard error: `info` and above, or what `MARLWINCH_LOG` says.
pub fn start() {
    static LOGGER: StdErr = StdErr;
    let level = std::env::var("MARLWINCH_LOG").ok().and_then(|level| level.parse().ok());
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}

/// Warnings of one sort, at most one a second. Guards against a log flooded by bad input.
#[derive(Default)]
pub struct Limited {
    last: Cell<Option<Instant>>,
    skipped: Cell<u32>,
}

impl Limited {
    /// Logs the text, or counts it if there was one within the last second.
    pub fn warn(&self, text: impl FnOnce() -> String) {
        if self.last.get().is_some_and(|at| at.elapsed() < Duration::from_secs(1)) {
            return self.skipped.set(self.skipped.get().saturating_add(1));
        }
        self.last.set(Some(Instant::now()));
        match self.skipped.take() {
            0 => warn!("{}", text()),
            skipped => warn!("{} (and {skipped} more of the kind)", text()),
        }
    }
}
