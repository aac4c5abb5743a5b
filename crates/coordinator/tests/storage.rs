//! The storage thread: queued appends share one sync, and after a failure no append is attempted until the
//! log is rewritten.

mod support;

use coordinator::storage::{ReplicaLog, Storage, StorageCommand};
use replication::{Input, Record, WriteId};
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use support::records_of_new_disk;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteKind {
    Append,
    Rewrite,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteResult {
    Success,
    Failure,
}

/// A log that reports each write with its number of records, and blocks until the test decides whether it
/// succeeds.
struct SteppedLog {
    writes: Sender<(WriteKind, usize)>,
    results: Receiver<WriteResult>,
}

impl SteppedLog {
    fn step(&self, kind: WriteKind, records: &[Record]) -> io::Result<()> {
        self.writes.send((kind, records.len())).expect("the test listens");
        match self.results.recv() {
            Ok(WriteResult::Success) => Ok(()),
            _ => Err(io::ErrorKind::StorageFull.into()),
        }
    }
}

impl ReplicaLog for SteppedLog {
    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        self.step(WriteKind::Append, records)
    }
    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        self.step(WriteKind::Rewrite, records)
    }
}

/// An arbitrary record: the first one on a new disk.
fn record() -> Record {
    records_of_new_disk().into_iter().next().expect("a new disk gets an identity")
}

#[tokio::test]
async fn appends_queued_during_a_slow_write_share_one_sync() {
    let ((writes, started), (decide, results)) = (channel(), channel());
    let (storage, mut reports) = Storage::start(Box::new(SteppedLog { writes, results })).expect("a thread");
    storage.submit(StorageCommand::Append(WriteId(1), Box::new(record())));
    assert_eq!(started.recv(), Ok((WriteKind::Append, 1)));
    for number in 2..5 {
        storage.submit(StorageCommand::Append(WriteId(number), Box::new(record())));
    }
    for _ in 0..2 {
        decide.send(WriteResult::Success).expect("the thread waits");
    }
    assert_eq!(started.recv(), Ok((WriteKind::Append, 3)));
    for number in 1..5 {
        let report = reports.recv().await;
        assert!(matches!(report, Some(Input::Stored(WriteId(stored))) if stored == number), "{report:?}");
    }
}

#[tokio::test]
async fn appends_fail_after_a_failed_write_until_the_log_is_rewritten() {
    let ((writes, started), (decide, results)) = (channel(), channel());
    let (storage, mut reports) = Storage::start(Box::new(SteppedLog { writes, results })).expect("a thread");
    storage.submit(StorageCommand::Append(WriteId(1), Box::new(record())));
    decide.send(WriteResult::Failure).expect("the thread waits");
    assert!(matches!(reports.recv().await, Some(Input::NotStored(WriteId(1)))));
    storage.submit(StorageCommand::Append(WriteId(2), Box::new(record())));
    assert!(matches!(reports.recv().await, Some(Input::NotStored(WriteId(2)))));
    storage.submit(StorageCommand::Rewrite(WriteId(3), vec![record(), record()]));
    decide.send(WriteResult::Success).expect("the thread waits");
    assert!(matches!(reports.recv().await, Some(Input::Stored(WriteId(3)))));
    assert_eq!(started.try_iter().collect::<Vec<_>>(), [(WriteKind::Append, 1), (WriteKind::Rewrite, 2)]);
}
