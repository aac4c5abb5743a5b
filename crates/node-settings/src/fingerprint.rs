//! Detection of changes to a file by its metadata.

use std::path::Path;
use std::time::SystemTime;

/// The modification time and the length of a file. If a file is written again, its fingerprint is expected to
/// differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileFingerprint {
    modified: Option<SystemTime>,
    length: u64,
}

impl FileFingerprint {
    /// The present fingerprint of a file; `None` if there is no such file.
    pub fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileFingerprint { modified: metadata.modified().ok(), length: metadata.len() })
    }
}
