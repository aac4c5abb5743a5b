//! The settings file, reloaded on SIGHUP or when it changes.
//!
//! Unlike `node_settings::SettingsWatcher`, this does not compare the content: a file that was rewritten
//! unchanged is read and validated again, so that an error in it is logged again.

use node_settings::{FileFingerprint, Settings};
use std::path::PathBuf;
use std::time::Duration;

/// How often the file is polled for changes.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The file's path and the fingerprint that it had when it was last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    last_read: Option<FileFingerprint>,
}

impl SettingsFile {
    /// Takes the file's current state as already read.
    pub fn new(path: PathBuf) -> Self {
        let last_read = FileFingerprint::of(&path);
        SettingsFile { path, last_read }
    }

    /// Reads the file if its fingerprint has changed.
    pub fn poll(&mut self) -> Option<Settings> {
        let fingerprint = FileFingerprint::of(&self.path);
        if fingerprint.is_none() || fingerprint == self.last_read {
            return None;
        }
        self.read()
    }

    /// Reads the file. If it is invalid, the error is logged and `None` returned: the current settings stay
    /// in force.
    pub fn read(&mut self) -> Option<Settings> {
        self.last_read = FileFingerprint::of(&self.path);
        match Settings::load(&self.path) {
            Ok(settings) => Some(settings),
            Err(error) => {
                log::warn!("settings: {error}");
                None
            }
        }
    }
}
