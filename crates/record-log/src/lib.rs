//! A write-ahead log: an append-only file of checksummed records that is rewritten when it gets long.
//!
//! Records are written in batches. A batch is one frame with a checksum and a number, and is synced before
//! the next one is written. Hence only the last frame can be torn. A damaged frame that is followed by an
//! intact frame of a later batch means that acknowledged data is corrupt, which is reported as an error and
//! never truncated.
//!
//! A rewrite creates a new file with a higher epoch in its name and keeps the old one until the new one is
//! durable. Nothing is renamed, so that no power failure can leave a rename half done.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod folder;
mod frame;
mod log;

pub use folder::{DiskFile, DiskFolder, File, Folder};
pub use log::{Log, LogError};

use std::path::Path;

/// Opens the log in a directory, which is created if it does not exist, and returns the log with its records.
/// Fails as [`Log::open`] does.
pub fn open(folder: &Path) -> Result<(Log<DiskFolder>, Vec<Vec<u8>>), LogError> {
    let folder = DiskFolder::new(folder).map_err(|error| LogError::Disk("create the directory", error))?;
    Log::open(folder)
}
