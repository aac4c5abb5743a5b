//! Checks the invariants of the register against everything that machines and operators observe.

use replication::{Change, Entry, RequestOutcome, View, ViewNumber};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

type Digest = [u8; 32];

#[derive(Default)]
pub struct Checker {
    /// The committed entries, by sequence.
    committed: BTreeMap<u64, Entry>,
    rejected: BTreeSet<Digest>,
    /// The highest sequence that anyone has observed as committed, with the time, in order.
    seen: Vec<(Duration, u64)>,
    views: BTreeMap<ViewNumber, View>,
    pub acknowledged: usize,
    pub rejections: usize,
    pub reads: usize,
    pub unknown_outcomes: usize,
    pub violation: Option<String>,
}

impl Checker {
    pub fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    fn record_seen(&mut self, now: Duration, sequence: u64) {
        if self.seen.last().is_none_or(|(_, last)| *last < sequence) {
            self.seen.push((now, sequence));
        }
    }

    /// The highest sequence that was observed before `time`.
    pub fn seen_before(&self, time: Duration) -> u64 {
        let count = self.seen.partition_point(|(at, _)| *at < time);
        count.checked_sub(1).map_or(0, |last| self.seen[last].1)
    }

    pub fn newest(&self) -> u64 {
        self.seen.last().map_or(0, |(_, sequence)| *sequence)
    }

    pub fn generation(&self) -> u64 {
        self.committed.values().next_back().map_or(0, |entry| entry.change.generation.get())
    }

    /// A machine reports a view: there is only one of each number.
    pub fn check_view(&mut self, who: &str, view: &View) {
        let known = self.views.entry(view.number).or_insert_with(|| view.clone());
        if known != view {
            self.fail(format!("{who}: two views of number {}", view.number));
        }
    }

    /// A machine reports a committed entry.
    pub fn check_committed(&mut self, now: Duration, who: &str, entry: &Entry) {
        let known = self.committed.entry(entry.sequence.get()).or_insert_with(|| entry.clone());
        if known.change != entry.change {
            self.fail(format!("{who}: two entries of sequence {}", entry.sequence));
        }
        if self.rejected.contains(&entry.change.digest) {
            self.fail(format!("{who}: rejected change of generation {} committed", entry.change.generation));
        }
        let before = self.committed.get(&(entry.sequence.get() - 1)).map(|before| before.change.generation);
        if before.is_some_and(|before| before != entry.change.base)
            || entry.change.generation <= entry.change.base
        {
            self.fail(format!("{who}: entry {} is not based on the one before", entry.sequence));
        }
        let after = self.committed.get(&(entry.sequence.get() + 1)).map(|after| after.change.base);
        if after.is_some_and(|after| after != entry.change.generation) {
            self.fail(format!("{who}: entry {} is not the base of the next one", entry.sequence));
        }
        self.record_seen(now, entry.sequence.get());
    }

    /// An operator receives the outcome of a change.
    pub fn check_change_outcome(&mut self, now: Duration, change: &Change, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Committed { sequence } => {
                self.acknowledged += 1;
                let entry = Entry { sequence: *sequence, view: ViewNumber::NONE, change: change.clone() };
                self.check_committed(now, "operator", &entry);
            }
            RequestOutcome::Conflict { .. } | RequestOutcome::NotHigher { .. } => {
                self.record_rejected(change)
            }
            RequestOutcome::Unknown => self.unknown_outcomes += 1,
            RequestOutcome::TooOld { .. } => self.unknown_outcomes += 1,
            RequestOutcome::Current(_) | RequestOutcome::ReadIndex { .. } => {
                self.fail("a change got the response to a read".into())
            }
        }
    }

    fn record_rejected(&mut self, change: &Change) {
        self.rejections += 1;
        self.rejected.insert(change.digest);
        if self.committed.values().any(|entry| entry.change.digest == change.digest) {
            self.fail(format!("change of generation {} rejected although committed", change.generation));
        }
    }

    /// A client receives the sequence of the newest entry; it sent the request at `started_at`.
    pub fn check_read_index(&mut self, started_at: Duration, now: Duration, sequence: u64) {
        if sequence < self.seen_before(started_at) {
            let seen = self.seen_before(started_at);
            self.fail(format!("read index {sequence}, but {seen} was observed before the request"));
        }
        self.record_seen(now, sequence);
    }

    /// An operator receives the result of a read; it sent the request at `started_at`.
    pub fn check_read(&mut self, started_at: Duration, now: Duration, entry: Option<&Entry>) {
        self.reads += 1;
        let sequence = entry.map_or(0, |entry| entry.sequence.get());
        if sequence < self.seen_before(started_at) {
            let seen = self.seen_before(started_at);
            self.fail(format!("read returned {sequence}, but {seen} was observed before the request"));
        }
        if let Some(entry) = entry {
            self.check_committed(now, "read", entry);
        }
    }
}
