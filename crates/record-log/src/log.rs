//! The log: opening and recovery, appending, rewriting.

use crate::folder::{File, Folder};
use crate::frame;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why the log could not be opened, appended to or rewritten.
    #[derive(Debug)]
    pub enum LogError {
        /// A file operation failed: which one, and why.
        Disk(step: &'static str, cause: io::Error) {
            display("record log: failed to {step}: {cause}")
            source(cause)
        }
        /// An acknowledged batch is damaged, since an intact later batch follows it: the file, the offset of
        /// the damaged batch in it, and the number of the later batch.
        Damaged(name: String, offset: u64, later: u64) {
            display("record log: {name} is damaged at byte {offset}, before the intact batch {later}")
        }
        /// The records of one batch take 4 GiB or more.
        TooLong {
            display("record log: the records of one batch must take less than 4 GiB")
        }
        /// An earlier rewrite failed and may have left its file. Appends are rejected until a rewrite
        /// succeeds.
        NeedsRewrite {
            display("record log: append rejected: a rewrite has failed and must succeed first")
        }
    }
}

/// The prefix of file names; the epoch follows.
const PREFIX: &str = "records-";

/// The number of the first batch in each file: the one that a rewrite writes.
const FIRST_BATCH: u64 = 1;

/// A log of records in a directory, of which one file is current.
#[derive(Debug)]
pub struct Log<F: Folder> {
    folder: F,
    /// The current file; `None` before the first write.
    file: Option<F::File>,
    /// The epoch of the current file.
    file_epoch: u64,
    /// The highest epoch used so far, also by failed rewrites.
    epoch: u64,
    /// The length of the acknowledged batches in the current file, in bytes.
    length: u64,
    next_batch: u64,
    /// Whether bytes of a failed append may follow the acknowledged batches.
    has_torn_tail: bool,
    /// Whether a failed rewrite may have left a file that would be taken for the current one at the next
    /// start.
    needs_rewrite: bool,
}

/// The decoded content of a file, up to the first batch that is not intact.
struct Content {
    records: Vec<Vec<u8>>,
    length: u64,
    next_batch: u64,
    /// Whether bytes that are not an intact batch follow.
    torn: bool,
}

impl<F: Folder> Log<F> {
    /// Opens the log in a folder and returns it with its records, in order. A batch that was not acknowledged
    /// may be missing, but never only a part of it. Fails if the disk can't be read or an acknowledged batch
    /// is damaged.
    pub fn open(folder: F) -> Result<(Self, Vec<Vec<u8>>), LogError> {
        let epochs = epochs(&folder)?;
        let mut log = Log {
            folder,
            file: None,
            file_epoch: 0,
            epoch: epochs.last().copied().unwrap_or(0),
            length: 0,
            next_batch: FIRST_BATCH,
            has_torn_tail: false,
            needs_rewrite: false,
        };
        let mut records = Vec::new();
        for epoch in epochs.into_iter().rev() {
            if log.file.is_some() {
                log.remove(epoch);
                continue;
            }
            match log.recover(epoch)? {
                Some(found) => records = found,
                None => log.remove(epoch),
            }
        }
        log.make_durable()?;
        Ok((log, records))
    }

    /// Syncs the recovered file, because a process that was killed may have written it without syncing it.
    fn make_durable(&mut self) -> Result<(), LogError> {
        if let Some(file) = &mut self.file {
            file.sync().map_err(|error| LogError::Disk("sync the recovered file", error))?;
            self.folder.sync().map_err(|error| LogError::Disk("sync the directory", error))?;
        }
        Ok(())
    }

    /// Reads the file of an epoch as the current one. `None` if it has no intact batch, for example because a
    /// rewrite was interrupted.
    fn recover(&mut self, epoch: u64) -> Result<Option<Vec<Vec<u8>>>, LogError> {
        let name = file_name(epoch);
        let mut file = self.folder.open(&name).map_err(|error| LogError::Disk("open a file", error))?;
        let bytes = file.read_all().map_err(|error| LogError::Disk("read a file", error))?;
        let content = decode_file(&name, &bytes)?;
        if content.next_batch == FIRST_BATCH {
            return Ok(None);
        }
        self.file = Some(file);
        self.file_epoch = epoch;
        self.length = content.length;
        self.next_batch = content.next_batch;
        self.has_torn_tail = content.torn;
        Ok(Some(content.records))
    }

    /// Removes a superseded file. Errors are ignored, as the next start tries again.
    fn remove(&self, epoch: u64) {
        let _ = self.folder.remove(&file_name(epoch));
    }

    /// The length of the acknowledged batches in the current file, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one batch and syncs it. After success all of them are durable; after an error or a
    /// crash, either all or none are.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), LogError> {
        if self.needs_rewrite {
            return Err(LogError::NeedsRewrite);
        }
        self.truncate_torn_tail()?;
        let Some(file) = &mut self.file else { return self.rewrite(records) };
        let bytes = frame::encode(self.next_batch, records).ok_or(LogError::TooLong)?;
        self.has_torn_tail = true;
        file.write_at(self.length, &bytes).map_err(|error| LogError::Disk("append a batch", error))?;
        file.sync().map_err(|error| LogError::Disk("sync an appended batch", error))?;
        self.has_torn_tail = false;
        self.length += bytes.len() as u64;
        self.next_batch += 1;
        Ok(())
    }

    /// Truncates the bytes that a failed append has left after the acknowledged batches.
    fn truncate_torn_tail(&mut self) -> Result<(), LogError> {
        let Some(file) = self.file.as_mut().filter(|_| self.has_torn_tail) else { return Ok(()) };
        file.set_len(self.length).map_err(|error| LogError::Disk("truncate a torn batch", error))?;
        file.sync().map_err(|error| LogError::Disk("sync the truncation of a torn batch", error))?;
        self.has_torn_tail = false;
        Ok(())
    }

    /// Replaces all records by `records`. After an error the log has either the old or the new records.
    /// Unless it certainly has the old ones, it then accepts only another rewrite.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), LogError> {
        let bytes = frame::encode(FIRST_BATCH, records).ok_or(LogError::TooLong)?;
        self.epoch += 1;
        let file = match self.write_new_file(&bytes) {
            Ok(file) => file,
            Err(error) => {
                self.discard_failed_rewrite();
                return Err(error);
            }
        };
        let old = std::mem::replace(&mut self.file_epoch, self.epoch);
        self.file = Some(file);
        self.length = bytes.len() as u64;
        self.next_batch = FIRST_BATCH + 1;
        self.has_torn_tail = false;
        self.needs_rewrite = false;
        if old > 0 {
            self.remove(old);
        }
        Ok(())
    }

    fn write_new_file(&self, bytes: &[u8]) -> Result<F::File, LogError> {
        let created = self.folder.create(&file_name(self.epoch));
        let mut file = created.map_err(|error| LogError::Disk("create a file", error))?;
        file.write_at(0, bytes).map_err(|error| LogError::Disk("write a rewritten file", error))?;
        file.sync().map_err(|error| LogError::Disk("sync a rewritten file", error))?;
        self.folder.sync().map_err(|error| LogError::Disk("sync the directory", error))?;
        Ok(file)
    }

    /// Removes the file of a failed rewrite, so that it is not taken for the current one at the next start.
    /// If that is not certain to be durable, another rewrite is required.
    fn discard_failed_rewrite(&mut self) {
        let removed = self.folder.remove(&file_name(self.epoch));
        let is_removed =
            removed.is_ok() || removed.is_err_and(|error| error.kind() == io::ErrorKind::NotFound);
        self.needs_rewrite |= !is_removed || self.folder.sync().is_err();
    }
}

fn file_name(epoch: u64) -> String {
    format!("{PREFIX}{epoch:016}")
}

/// The epochs of the files in the folder, in ascending order.
fn epochs<F: Folder>(folder: &F) -> Result<Vec<u64>, LogError> {
    let names = folder.names().map_err(|error| LogError::Disk("list the directory", error))?;
    let numbers = names.iter().filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok());
    let mut epochs: Vec<u64> = numbers.collect();
    epochs.sort_unstable();
    Ok(epochs)
}

/// Decodes a file. Fails if a damaged batch is followed by an intact one.
fn decode_file(name: &str, bytes: &[u8]) -> Result<Content, LogError> {
    let mut content = Content { records: Vec::new(), length: 0, next_batch: FIRST_BATCH, torn: false };
    let mut offset = 0;
    while let Some(frame) = frame::decode(&bytes[offset..]).filter(|frame| frame.batch == content.next_batch)
    {
        offset += frame.length;
        content.next_batch += 1;
        content.records.extend(frame.records);
    }
    content.length = offset as u64;
    content.torn = offset < bytes.len();
    match frame::find_from(&bytes[offset..], content.next_batch + 1) {
        Some(later) => Err(LogError::Damaged(name.to_string(), content.length, later)),
        None => Ok(content),
    }
}
