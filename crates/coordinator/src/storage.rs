//! The thread that writes the replica's records, so that a disk that hangs does not block the rest of the
//! coordinator.

use replication::{Input, Record, WriteId};
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The size of the storage thread's stack, in bytes.
const STACK_BYTES: usize = 512 << 10;
/// Writes that take longer than this are logged.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// The log that stores a replica's records. Each call returns only once the records are durable on disk.
pub trait ReplicaLog: Send {
    /// Appends records as one batch. After an error the log still holds everything before this batch.
    fn append(&mut self, records: &[Record]) -> io::Result<()>;
    /// Replaces all earlier records with these. After an error the log is unchanged.
    fn rewrite(&mut self, records: &[Record]) -> io::Result<()>;
}

/// A write that the storage thread performs, in the order of submission.
#[derive(Debug)]
pub enum StorageCommand {
    /// Append a record; the result is reported under the id.
    Append(WriteId, Box<Record>),
    /// Replace all earlier records with these; the result is reported under the id.
    Rewrite(WriteId, Vec<Record>),
}

/// The sending half of the storage thread's queue. The thread ends when this is dropped.
#[derive(Debug)]
pub struct Storage {
    commands: Sender<StorageCommand>,
}

impl Storage {
    /// Starts the thread. The receiver yields [`Input::Stored`] or [`Input::NotStored`] for each command, in
    /// order.
    pub fn start(log: Box<dyn ReplicaLog>) -> io::Result<(Self, UnboundedReceiver<Input>)> {
        let (commands, queue) = channel();
        let (results, written) = unbounded_channel();
        let thread = std::thread::Builder::new().name("storage".into()).stack_size(STACK_BYTES);
        thread.spawn(move || run_writer(log, queue, results))?;
        Ok((Storage { commands }, written))
    }

    /// Queues a write without waiting for it. The command is dropped if the thread has ended.
    pub fn submit(&self, command: StorageCommand) {
        if self.commands.send(command).is_err() {
            log::error!("storage: the storage thread has ended, a write was dropped");
        }
    }
}

/// Whether the log accepts appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    Writable,
    /// A write has failed. All later appends fail without being attempted until a rewrite has restored the
    /// log.
    AwaitingRewrite,
}

fn run_writer(
    mut log: Box<dyn ReplicaLog>,
    commands: Receiver<StorageCommand>,
    results: UnboundedSender<Input>,
) {
    let mut state = LogState::Writable;
    while let Ok(first) = commands.recv() {
        let mut queued = vec![first];
        queued.extend(commands.try_iter());
        for batch in batches(queued) {
            state = batch.write(log.as_mut(), state);
            for id in batch.ids {
                let result = match state {
                    LogState::Writable => Input::Stored(id),
                    LogState::AwaitingRewrite => Input::NotStored(id),
                };
                if results.send(result).is_err() {
                    return;
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchKind {
    Append,
    Rewrite,
}

/// Commands that are written with one sync.
struct Batch {
    kind: BatchKind,
    ids: Vec<WriteId>,
    records: Vec<Record>,
}

impl Batch {
    /// Writes the batch, unless it is an append and the log has to be rewritten first. Returns the resulting
    /// state.
    fn write(&self, log: &mut dyn ReplicaLog, state: LogState) -> LogState {
        if state == LogState::AwaitingRewrite && self.kind == BatchKind::Append {
            return state;
        }
        let started = Instant::now();
        let result = match self.kind {
            BatchKind::Append => log.append(&self.records),
            BatchKind::Rewrite => log.rewrite(&self.records),
        };
        log_result(&result, started.elapsed(), state);
        if result.is_ok() { LogState::Writable } else { LogState::AwaitingRewrite }
    }
}

/// Groups consecutive appends into one batch; each rewrite is a batch of its own.
fn batches(commands: Vec<StorageCommand>) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for command in commands {
        match command {
            StorageCommand::Append(id, record) => match batches.last_mut() {
                Some(batch) if batch.kind == BatchKind::Append => {
                    batch.ids.push(id);
                    batch.records.push(*record);
                }
                _ => batches.push(Batch { kind: BatchKind::Append, ids: vec![id], records: vec![*record] }),
            },
            StorageCommand::Rewrite(id, records) => {
                batches.push(Batch { kind: BatchKind::Rewrite, ids: vec![id], records });
            }
        }
    }
    batches
}

/// Logs the start and the end of a series of failures, and slow writes. `before` is the log's state before
/// the write.
fn log_result(result: &io::Result<()>, elapsed: Duration, before: LogState) {
    let was_failing = before == LogState::AwaitingRewrite;
    match result {
        Err(error) if !was_failing => log::warn!("storage: write failed: {error}"),
        Err(error) => log::debug!("storage: rewrite failed: {error}"),
        Ok(()) if was_failing => log::info!("storage: log rewritten, writes succeed again"),
        Ok(()) if elapsed > SLOW_WRITE => log::warn!("storage: slow write: {} ms", elapsed.as_millis()),
        Ok(()) => {}
    }
}
