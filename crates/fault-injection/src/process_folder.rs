//! The working folder of a process, and the condition in which the next start of the process finds it.

use std::io;
use std::path::{Path, PathBuf};

/// The condition of a folder at the next start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderCondition {
    /// All files as the process left them.
    Unchanged,
    /// No files.
    Empty,
    /// The files of the last [`ProcessFolder::take_snapshot`]; no files if there was none.
    Snapshot,
    /// Every second file of each folder deleted, and the others truncated to half their length.
    Damaged,
}

/// The working folder of a process.
#[derive(Debug)]
pub struct ProcessFolder {
    path: PathBuf,
    snapshot: PathBuf,
}

impl ProcessFolder {
    /// Creates a folder within `parent`, unless it is there already.
    ///
    /// # Errors
    /// It can't be created.
    pub fn new(parent: &Path, name: &str) -> io::Result<Self> {
        let (path, snapshot) = (parent.join(name), parent.join(format!("{name}.copy")));
        std::fs::create_dir_all(&path)?;
        Ok(ProcessFolder { path, snapshot })
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Copies the folder as it is now. Replaces an earlier snapshot.
    ///
    /// # Errors
    /// A file can't be copied.
    pub fn take_snapshot(&self) -> io::Result<()> {
        remove_if_present(&self.snapshot)?;
        copy_recursively(&self.path, &self.snapshot)
    }

    /// Prepares the folder for the next start. The process must not run.
    ///
    /// # Errors
    /// A file can't be copied, removed or truncated.
    pub fn set_condition(&self, condition: FolderCondition) -> io::Result<()> {
        match condition {
            FolderCondition::Unchanged => Ok(()),
            FolderCondition::Empty => {
                remove_if_present(&self.path)?;
                std::fs::create_dir_all(&self.path)
            }
            FolderCondition::Snapshot => {
                remove_if_present(&self.path)?;
                if self.snapshot.exists() {
                    copy_recursively(&self.snapshot, &self.path)
                } else {
                    std::fs::create_dir_all(&self.path)
                }
            }
            FolderCondition::Damaged => damage_recursively(&self.path),
        }
    }
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match std::fs::remove_dir_all(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

fn sorted_entries(path: &Path) -> io::Result<Vec<PathBuf>> {
    let mut all = std::fs::read_dir(path)?.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    all.sort();
    Ok(all)
}

fn copy_recursively(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for path in sorted_entries(from)? {
        let target = to.join(path.file_name().unwrap_or_default());
        if path.is_dir() {
            copy_recursively(&path, &target)?;
        } else {
            std::fs::copy(&path, &target)?;
        }
    }
    Ok(())
}

fn damage_recursively(path: &Path) -> io::Result<()> {
    for (number, path) in sorted_entries(path)?.into_iter().enumerate() {
        match (path.is_dir(), number % 2) {
            (true, _) => damage_recursively(&path)?,
            (false, 0) => {
                let length = std::fs::metadata(&path)?.len();
                std::fs::OpenOptions::new().write(true).open(&path)?.set_len(length / 2)?;
            }
            (false, _) => std::fs::remove_file(&path)?,
        }
    }
    Ok(())
}
