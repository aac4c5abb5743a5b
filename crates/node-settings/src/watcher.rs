//! Detection of changes to a settings file.

use crate::error::SettingsError;
use crate::fingerprint::FileFingerprint;
use crate::settings::Settings;
use std::path::PathBuf;

/// Watches a settings file: compares its fingerprint and content with those when it was last read.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    fingerprint: Option<FileFingerprint>,
    content: Option<String>,
}

impl SettingsWatcher {
    /// Starts with the present content of the file, which is not reported as a change.
    pub fn new(path: PathBuf) -> Self {
        let fingerprint = FileFingerprint::of(&path);
        let content = std::fs::read_to_string(&path).ok();
        SettingsWatcher { path, fingerprint, content }
    }

    /// Returns the settings if the content of the file has changed since it was last read. The file is read
    /// only if its modification time or its length has changed. `None` also while there is no file, as when
    /// it is being replaced.
    pub fn poll(&mut self) -> Option<Result<Settings, SettingsError>> {
        let fingerprint = FileFingerprint::of(&self.path)?;
        if self.fingerprint == Some(fingerprint) {
            return None;
        }
        let previous = self.content.take();
        let reloaded = self.reload();
        (self.content != previous || self.content.is_none()).then_some(reloaded)
    }

    /// Reads the settings, whether or not the file has changed.
    pub fn reload(&mut self) -> Result<Settings, SettingsError> {
        self.fingerprint = FileFingerprint::of(&self.path);
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| SettingsError::Unreadable(self.path.clone(), error))?;
        let parsed = Settings::parse(&text);
        self.content = Some(text);
        parsed.map_err(|error| SettingsError::Invalid(self.path.clone(), error))
    }
}
