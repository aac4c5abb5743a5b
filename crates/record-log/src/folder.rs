//! File system access of a log, behind traits so that tests can simulate a disk.

use std::fs::{self, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A directory that contains only files.
pub trait Folder {
    /// The open files that this directory gives out.
    type File: File;

    /// The names of all files, in no particular order.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Creates a file for reading and writing. An existing file of this name is truncated.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Removes a file. Fails with [`io::ErrorKind::NotFound`] if there is none of this name.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes all creations and removals of files durable.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is open for reading and writing.
pub trait File {
    /// Reads the file from its start to its end.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;

    /// Writes `bytes` at `offset`. After an error, some of them may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to this length in bytes, or extends it with zeros.
    fn set_len(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and length of the file durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A [`Folder`] in the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
}

impl DiskFolder {
    /// Opens the directory at `path`; creates it if it does not exist.
    pub fn new(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(DiskFolder { path: path.to_path_buf() })
    }
}

impl Folder for DiskFolder {
    type File = DiskFile;

    fn names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn create(&self, name: &str) -> io::Result<DiskFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        Ok(DiskFile(options.open(self.path.join(name))?))
    }

    fn open(&self, name: &str) -> io::Result<DiskFile> {
        Ok(DiskFile(OpenOptions::new().read(true).write(true).open(self.path.join(name))?))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

/// An open file of a [`DiskFolder`].
#[derive(Debug)]
pub struct DiskFile(fs::File);

impl File for DiskFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.0.seek(SeekFrom::Start(0))?;
        self.0.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.seek(SeekFrom::Start(offset))?;
        self.0.write_all(bytes)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
