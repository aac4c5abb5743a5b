//! The on-disk log of the replica's records.

use crate::storage::ReplicaLog;
use quick_error::quick_error;
use record_log::{DiskFolder, LogError};
use replication::Record;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the log's folder within the data folder.
const FOLDER: &str = "replica";
/// The folder of a log that can't be read is renamed to this prefix and a number, so that it is kept for
/// inspection.
const QUARANTINE_PREFIX: &str = "damaged";
/// How many such folders are kept at most, so that they don't fill a small disk.
const MAX_QUARANTINED: usize = 3;

quick_error! {
    /// Why a replica's log could not be opened, with the path of the log.
    #[derive(Debug)]
    pub enum OpenError {
        /// An operation on the disk failed; a retry may succeed.
        Disk(path: PathBuf, error: LogError) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// An acknowledged record of the log is damaged.
        Damaged(path: PathBuf, error: LogError) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// A record is intact on disk, but can't be decoded as a record of this version of the program.
        Undecodable(path: PathBuf, error: ciborium::de::Error<io::Error>) {
            display("{}: cannot decode a record: {error}", path.display())
            source(error)
        }
    }
}

struct ReplicaLogFile {
    log: record_log::Log<DiskFolder>,
}

impl ReplicaLog for ReplicaLogFile {
    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let encoded = encode_all(records)?;
        self.log.append(&slices(&encoded)).map_err(io::Error::other)
    }

    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        let encoded = encode_all(records)?;
        self.log.rewrite(&slices(&encoded)).map_err(io::Error::other)
    }
}

/// Opens the log in the data folder and returns it with its records.
///
/// A damaged log is moved away as a whole and an empty one opened in its place. The member then starts like
/// one whose disk was lost, which the other members tolerate. Continuing with the readable rest would be
/// unsafe, because it may lack a promise that this member has made.
pub fn open(data_dir: &Path) -> Result<(Box<dyn ReplicaLog>, Vec<Record>), OpenError> {
    let folder = data_dir.join(FOLDER);
    match read(&folder) {
        Err(error @ (OpenError::Damaged(..) | OpenError::Undecodable(..))) => {
            log::error!("{error}; moving the log away and starting as a new member");
            quarantine(data_dir, &folder)?;
            read(&folder)
        }
        result => result,
    }
}

fn read(folder: &Path) -> Result<(Box<dyn ReplicaLog>, Vec<Record>), OpenError> {
    let (log, encoded) = record_log::open(folder).map_err(|error| match error {
        LogError::Damaged(..) => OpenError::Damaged(folder.into(), error),
        error => OpenError::Disk(folder.into(), error),
    })?;
    let decoded = encoded.iter().map(|bytes| ciborium::from_reader(bytes.as_slice()));
    let records: Result<Vec<Record>, _> = decoded.collect();
    let records = records.map_err(|error| OpenError::Undecodable(folder.into(), error))?;
    Ok((Box::new(ReplicaLogFile { log }), records))
}

/// Renames the folder of a damaged log, or removes it if [`MAX_QUARANTINED`] of them are kept already.
fn quarantine(data_dir: &Path, folder: &Path) -> Result<(), OpenError> {
    let failed = |error| OpenError::Disk(folder.into(), LogError::Disk("move the damaged log away", error));
    let names = (1..=MAX_QUARANTINED).map(|number| data_dir.join(format!("{QUARANTINE_PREFIX}-{number}")));
    match names.into_iter().find(|path| !path.exists()) {
        Some(path) => std::fs::rename(folder, path).map_err(failed)?,
        None => std::fs::remove_dir_all(folder).map_err(failed)?,
    }
    let parent = std::fs::File::open(data_dir).map_err(failed)?;
    parent.sync_all().map_err(failed)
}

fn encode_all(records: &[Record]) -> io::Result<Vec<Vec<u8>>> {
    let encode = |record: &Record| {
        let mut bytes = Vec::new();
        ciborium::into_writer(record, &mut bytes).map_err(io::Error::other)?;
        Ok(bytes)
    };
    records.iter().map(encode).collect()
}

fn slices(encoded: &[Vec<u8>]) -> Vec<&[u8]> {
    encoded.iter().map(Vec::as_slice).collect()
}
