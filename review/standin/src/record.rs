//! The record of what was sent, answered and run.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines with their times.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    /// An empty record, whose times count from now.
    pub fn new() -> Arc<Self> {
        Arc::new(Record { started: Instant::now(), lines: Mutex::default() })
    }

    /// Adds a line.
    pub fn line(&self, text: String) {
        let line = format!("{:9.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        std::fs::write(path, self.lines.lock().unwrap_or_else(PoisonError::into_inner).concat())
    }
}
