//! The disk of a machine with its driver: writes in batches, one sync each; stalls, refusals, loss of power.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use replication::{Message, Record, WriteId};
use std::time::Duration;

#[derive(Clone)]
enum Order {
    Append(Box<Record>),
    Rewrite(Vec<Record>),
}

#[derive(Default)]
pub struct Disk {
    /// What a start of the process finds, encoded.
    records: Vec<Vec<u8>>,
    queue: Vec<(WriteId, Order)>,
    /// The batch under way.
    batch: Vec<(WriteId, Order)>,
    /// Whether the log takes nothing but a rewrite, since an append has failed.
    broken: bool,
    pub full: bool,
    /// How many more records fit before it is full.
    pub room: Option<usize>,
    pub stalled_until: Duration,
    pub sync: Duration,
}

pub enum Done {
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
    pub fn new(sync: Duration) -> Self {
        Disk { sync, ..Disk::default() }
    }

    pub fn append(&mut self, id: WriteId, record: Record) {
        self.queue.push((id, Order::Append(Box::new(record))));
    }

    pub fn rewrite(&mut self, id: WriteId, records: Vec<Record>) {
        self.queue.push((id, Order::Rewrite(records)));
    }

    /// Begins a batch if none is under way: gives how long it takes.
    pub fn begin(&mut self, now: Duration, random: &mut Pcg64Mcg) -> Option<Duration> {
        if self.queue.is_empty() || !self.batch.is_empty() {
            return None;
        }
        self.batch = std::mem::take(&mut self.queue);
        let jitter = self.sync.mul_f64(random.random_range(0.8..1.5));
        Some(jitter.max(self.stalled_until.saturating_sub(now)))
    }

    /// Ends the batch under way.
    pub fn finish(&mut self) -> Vec<Done> {
        let batch = std::mem::take(&mut self.batch);
        batch
            .into_iter()
            .map(|(id, order)| if self.write(&order) { Done::Stored(id) } else { Done::NotStored(id) })
            .collect()
    }

    /// Uses up the room for one more record.
    fn fill(&mut self) {
        if let Some(room) = &mut self.room {
            self.full |= *room == 0;
            *room = room.saturating_sub(1);
        }
    }

    /// Removes what filled it.
    pub fn free(&mut self) {
        self.full = false;
        self.room = None;
    }

    fn write(&mut self, order: &Order) -> bool {
        self.fill();
        match order {
            Order::Append(_) if self.full || self.broken => self.broken = true,
            Order::Append(record) => self.records.push(encode(record)),
            Order::Rewrite(_) if self.full => self.broken = true,
            Order::Rewrite(records) => {
                self.records = records.iter().map(encode).collect();
                self.broken = false;
            }
        }
        !self.broken
    }

    /// The process is killed or loses power: of the batch under way a part may have been written, the rest is gone.
    pub fn interrupt(&mut self, random: &mut Pcg64Mcg) {
        let kept = random.random_range(0..=self.batch.len());
        for (_, order) in std::mem::take(&mut self.batch).into_iter().take(kept) {
            if !self.write(&order) {
                break;
            }
        }
        self.queue.clear();
        self.broken = false;
    }

    /// Whether what a voter says is on its disk; true for what is no vote. Goes by what messages and records print.
    pub fn holds_vote(&self, message: &Message) -> bool {
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
        *self = Disk::new(self.sync);
    }
}
