//! The simulated disk of a machine with its driver: writes in batches with one sync each, stalls, rejected
//! writes, power loss.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use replication::{Message, Record, WriteId};
use std::time::Duration;

#[derive(Clone)]
enum PendingWrite {
    Append(Box<Record>),
    Rewrite(Vec<Record>),
}

#[derive(Default)]
pub struct Disk {
    /// The encoded records that the process finds when it starts.
    records: Vec<Vec<u8>>,
    queue: Vec<(WriteId, PendingWrite)>,
    /// The batch that is being written.
    batch: Vec<(WriteId, PendingWrite)>,
    /// Whether an append has failed, so that the log accepts only a rewrite.
    needs_rewrite: bool,
    pub full: bool,
    /// The number of records that still fit until the disk is full; unlimited if `None`.
    pub capacity: Option<usize>,
    pub stalled_until: Duration,
    pub sync_time: Duration,
}

pub enum WriteResult {
    Stored(WriteId),
    NotStored(WriteId),
}

fn encode(record: &Record) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("a record can be encoded");
    bytes
}

fn decode(bytes: &Vec<u8>) -> Record {
    ciborium::from_reader(bytes.as_slice()).expect("a record can be decoded")
}

impl Disk {
    pub fn new(sync_time: Duration) -> Self {
        Disk { sync_time, ..Disk::default() }
    }

    pub fn append(&mut self, id: WriteId, record: Record) {
        self.queue.push((id, PendingWrite::Append(Box::new(record))));
    }

    pub fn rewrite(&mut self, id: WriteId, records: Vec<Record>) {
        self.queue.push((id, PendingWrite::Rewrite(records)));
    }

    /// Begins a batch if none is being written; returns how long it will take.
    pub fn begin(&mut self, now: Duration, random: &mut Pcg64Mcg) -> Option<Duration> {
        if self.queue.is_empty() || !self.batch.is_empty() {
            return None;
        }
        self.batch = std::mem::take(&mut self.queue);
        let jitter = self.sync_time.mul_f64(random.random_range(0.8..1.5));
        Some(jitter.max(self.stalled_until.saturating_sub(now)))
    }

    /// Finishes the batch that is being written.
    pub fn finish(&mut self) -> Vec<WriteResult> {
        let batch = std::mem::take(&mut self.batch);
        let mut results = Vec::new();
        for (id, write) in batch {
            let is_stored = self.write_record(&write);
            results.push(if is_stored { WriteResult::Stored(id) } else { WriteResult::NotStored(id) });
        }
        results
    }

    /// Uses up the capacity for one record.
    fn use_capacity(&mut self) {
        if let Some(capacity) = &mut self.capacity {
            self.full |= *capacity == 0;
            *capacity = capacity.saturating_sub(1);
        }
    }

    /// Makes the disk empty enough for all further records.
    pub fn make_room(&mut self) {
        self.full = false;
        self.capacity = None;
    }

    fn write_record(&mut self, write: &PendingWrite) -> bool {
        self.use_capacity();
        match write {
            PendingWrite::Append(_) if self.full || self.needs_rewrite => self.needs_rewrite = true,
            PendingWrite::Append(record) => self.records.push(encode(record)),
            PendingWrite::Rewrite(_) if self.full => self.needs_rewrite = true,
            PendingWrite::Rewrite(records) => {
                self.records = records.iter().map(encode).collect();
                self.needs_rewrite = false;
            }
        }
        !self.needs_rewrite
    }

    /// The process is killed or loses power: a prefix of the batch may have been written, the rest is lost.
    pub fn interrupt(&mut self, random: &mut Pcg64Mcg) {
        let written = random.random_range(0..=self.batch.len());
        for (_, write) in std::mem::take(&mut self.batch).into_iter().take(written) {
            if !self.write_record(&write) {
                break;
            }
        }
        self.queue.clear();
        self.needs_rewrite = false;
    }

    /// Whether the promise or acceptance in a message is on this disk; true for other messages. Compares the
    /// debug text of messages and records.
    pub fn contains_vote(&self, message: &Message) -> bool {
        let text = format!("{:?}", message);
        let vote = text.split_once("body: Promise {").map(|(_, rest)| ("Record(Promise", rest));
        let vote =
            vote.or_else(|| text.split_once("body: Accepted {").map(|(_, rest)| ("Record(Accept", rest)));
        let Some((kind, rest)) = vote else { return true };
        let number = rest.find("ProposalNumber").and_then(|at| Some(&rest[at..=at + rest[at..].find('}')?]));
        let number = number.expect("a vote names its proposal number");
        let mut records = self.read().into_iter().map(|record| format!("{record:?}"));
        records.any(|record| record.starts_with(kind) && record.contains(number))
    }

    pub fn read(&self) -> Vec<Record> {
        self.records.iter().map(decode).collect()
    }

    pub fn wipe(&mut self) {
        *self = Disk::new(self.sync_time);
    }
}
