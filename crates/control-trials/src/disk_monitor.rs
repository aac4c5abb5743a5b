//! Measures the disk that the coordinators of a trial share. Where it is slow, all of them are: that is more
//! than a core tolerates, and a fault that the record has to have.

use crate::world::World;
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The pause between two writes.
const INTERVAL: Duration = Duration::from_millis(50);
/// A write that takes longer than this is a fault of the disk. Coordinators log writes of this length.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// The size of a write, in bytes.
const WRITE_BYTES: usize = 4 << 10;

/// Writes a file in this folder again and again, as a coordinator does with its log, and records each slow write
/// as a fault of the whole core. Returns once a write fails.
pub async fn run(world: Rc<World>, folder: PathBuf) -> io::Error {
    let path = folder.join("disk-monitor");
    loop {
        let (from, path) = (world.now(), path.clone());
        let written = tokio::task::spawn_blocking(move || write_durably(path)).await;
        if let Err(error) = written.unwrap_or_else(|error| Err(io::Error::other(error))) {
            return error;
        }
        let elapsed = world.now() - from;
        if elapsed > SLOW_WRITE {
            world.event(format!("the disk was slow: a write took {} ms", elapsed.as_millis()));
            world.core_fault(from, false);
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn write_durably(path: PathBuf) -> io::Result<()> {
    let mut file = File::options().create(true).append(true).open(path)?;
    file.write_all(&[0; WRITE_BYTES])?;
    file.sync_data()
}
