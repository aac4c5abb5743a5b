//! A simulated disk that on power loss tears, drops and reorders unsynced changes of contents and file names.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use record_log::{File, Folder};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// The unit in which writes are torn, in bytes.
const SECTOR: usize = 64;

#[derive(Clone)]
enum Change {
    Write(usize, Vec<u8>),
    SetLength(usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Write(offset, written) => {
                let end = offset + written.len();
                bytes.resize(bytes.len().max(end), 0);
                bytes[*offset..end].copy_from_slice(written);
            }
            Change::SetLength(length) => bytes.resize(*length, 0),
        }
    }

    /// Applies the change as a power loss leaves it: completely, not at all, or torn.
    fn apply_torn(&self, bytes: &mut Vec<u8>, random: &mut Pcg64Mcg) {
        match (random.random_range(0..3), self) {
            (0, _) => {}
            (1, _) | (_, Change::SetLength(_)) => self.apply(bytes),
            (_, Change::Write(offset, written)) => {
                for (index, part) in written.chunks(SECTOR).enumerate() {
                    if random.random() {
                        Change::Write(offset + index * SECTOR, part.to_vec()).apply(bytes);
                    }
                }
            }
        }
    }
}

#[derive(Clone, Default)]
struct Stored {
    synced: Vec<u8>,
    unsynced: Vec<Change>,
    /// Whether its creation is durable.
    name_durable: bool,
    /// Whether it is removed and the removal is not durable yet.
    removed: bool,
}

impl Stored {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.unsynced.iter().for_each(|change| change.apply(&mut bytes));
        bytes
    }
}

#[derive(Default)]
pub struct State {
    files: BTreeMap<String, Stored>,
    /// The number of operations that succeed before all further ones fail; `None` if none fails.
    pub operations_left: Option<u32>,
}

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            None => Ok(()),
            Some(0) => Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
        }
    }
}

#[derive(Clone, Default)]
pub struct Disk(pub Rc<RefCell<State>>);

impl Disk {
    pub fn lose_power(&self, random: &mut Pcg64Mcg) {
        let mut state = self.0.borrow_mut();
        let loses_all_unsynced = random.random_range(0..4) == 0;
        let files = std::mem::take(&mut state.files);
        for (name, file) in files {
            let mut bytes = file.synced;
            let unsynced = if loses_all_unsynced { Vec::new() } else { file.unsynced };
            unsynced.iter().for_each(|change| change.apply_torn(&mut bytes, random));
            let kept = if file.removed {
                file.name_durable && random.random()
            } else {
                file.name_durable || random.random()
            };
            if kept {
                state.files.insert(name, Stored { synced: bytes, name_durable: true, ..Stored::default() });
            }
        }
    }

    /// The name and content of the only file.
    pub fn only_file(&self) -> (String, Vec<u8>) {
        let state = self.0.borrow();
        let mut present = state.files.iter().filter(|(_, file)| !file.removed);
        let (name, file) = present.next().expect("there is a file");
        assert!(present.next().is_none(), "there is one file");
        (name.clone(), file.bytes())
    }

    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let file = Stored { synced: bytes, name_durable: true, ..Stored::default() };
        self.0.borrow_mut().files.insert(name.to_string(), file);
    }
}

impl Folder for Disk {
    type File = OpenFile;

    fn names(&self) -> io::Result<Vec<String>> {
        let state = self.0.borrow();
        Ok(state.files.iter().filter(|(_, file)| !file.removed).map(|(name, _)| name.clone()).collect())
    }

    fn create(&self, name: &str) -> io::Result<OpenFile> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        let file = state.files.entry(name.to_string()).or_default();
        file.removed = false;
        file.unsynced.push(Change::SetLength(0));
        Ok(OpenFile { disk: self.clone(), name: name.to_string() })
    }

    fn open(&self, name: &str) -> io::Result<OpenFile> {
        Ok(OpenFile { disk: self.clone(), name: name.to_string() })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        let file = state.files.get_mut(name).filter(|file| !file.removed);
        file.ok_or(io::ErrorKind::NotFound)?.removed = true;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        state.files.retain(|_, file| !file.removed);
        state.files.values_mut().for_each(|file| file.name_durable = true);
        Ok(())
    }
}

pub struct OpenFile {
    disk: Disk,
    name: String,
}

impl OpenFile {
    fn change(&self, change: Change) {
        let mut state = self.disk.0.borrow_mut();
        if let Some(file) = state.files.get_mut(&self.name) {
            file.unsynced.push(change);
        }
    }
}

impl File for OpenFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let state = self.disk.0.borrow();
        Ok(state.files.get(&self.name).ok_or(io::ErrorKind::NotFound)?.bytes())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let offset = usize::try_from(offset).expect("small files");
        let failed = self.disk.0.borrow_mut().count_operation().err();
        let written = if failed.is_some() { bytes.len() / 2 } else { bytes.len() };
        self.change(Change::Write(offset, bytes[..written].to_vec()));
        failed.map_or(Ok(()), Err)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.disk.0.borrow_mut().count_operation()?;
        self.change(Change::SetLength(usize::try_from(length).expect("small files")));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.0.borrow_mut();
        state.count_operation()?;
        if let Some(file) = state.files.get_mut(&self.name) {
            file.synced = file.bytes();
            file.unsynced.clear();
            file.name_durable = true;
        }
        Ok(())
    }
}
