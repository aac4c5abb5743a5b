//! Records that are being written, the actions that wait until they are durable, and the health of the disk.

use crate::disk_health::DiskHealth;
use crate::identifiers::{MemberId, WriteId};
use crate::message::MessageBody;
use crate::register::{EntryKey, ReplicationProgress};
use std::collections::VecDeque;
use std::time::Duration;

/// A write that takes longer marks the disk as slow.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(600);

/// A write that takes less time marks a slow disk as healthy again. The gap to [`SLOW_WRITE_THRESHOLD`] keeps
/// members from leaving and rejoining the chain with every other write.
const FAST_WRITE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long a slow disk must have been idle before a probe is written to it. Other writes have to wait for a
/// probe that is in progress.
const PROBE_IDLE_TIME: Duration = Duration::from_millis(500);

/// A write that takes longer marks the disk as failed. A write waits for the batch before it, so this must
/// exceed two syncs of a disk that takes 1 s for each.
const HANG_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The maximum write time that is used to extend time-outs, so that one long stall does not delay the next
/// view change.
const MAX_WRITE_TIME: Duration = Duration::from_millis(1_500);

/// The interval at which a disk that has rejected a write is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The log is rewritten when this many bytes, plus twice the size of the rewritten log, have been appended.
const REWRITE_AFTER_BYTES: usize = 4 << 20;

/// An action to perform once a record is durable.
#[derive(Clone, Debug)]
pub(crate) enum DurableAction {
    /// The identity is durable: the member may send messages from now on.
    Activate {
        newest: EntryKey,
        progress: ReplicationProgress,
    },
    Send(MemberId, Box<MessageBody>),
    /// The register is durable up to this entry.
    AdvanceDurable {
        newest: EntryKey,
        progress: ReplicationProgress,
    },
}

#[derive(Clone, Debug)]
struct PendingWrite {
    id: WriteId,
    ordered_at: Duration,
    action: DurableAction,
}

/// Tracks the writes of a member that are not durable yet, and how long writes take.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    next: u64,
    pending: VecDeque<PendingWrite>,
    /// The duration of the last completed write, from the time it was ordered.
    last_write_time: Duration,
    /// Whether the disk was slow as of the last completed write.
    is_slow: bool,
    completed_at: Duration,
    /// The time of the last rejected write, if the disk rejects writes.
    rejecting_since: Option<Duration>,
    /// The rewrite of the log in progress; `None` while records are only appended.
    rewrite: Option<WriteId>,
    appended_bytes: usize,
    rewritten_bytes: usize,
}

impl WriteTracker {
    /// Creates a tracker for a log that contains `appended_bytes` already.
    pub(crate) fn new(appended_bytes: usize) -> Self {
        WriteTracker {
            next: 1,
            pending: VecDeque::new(),
            last_write_time: Duration::ZERO,
            is_slow: false,
            completed_at: Duration::ZERO,
            rejecting_since: None,
            rewrite: None,
            appended_bytes,
            rewritten_bytes: 0,
        }
    }

    /// Assigns a number to a record to be appended.
    pub(crate) fn begin_append(&mut self, now: Duration, bytes: usize, action: DurableAction) -> WriteId {
        let id = WriteId(self.next);
        self.next += 1;
        self.appended_bytes += bytes;
        self.pending.push_back(PendingWrite { id, ordered_at: now, action });
        id
    }

    /// Assigns a number to a rewrite of the log with `bytes`.
    pub(crate) fn begin_rewrite(&mut self, now: Duration, bytes: usize, action: DurableAction) -> WriteId {
        let id = self.begin_append(now, 0, action);
        self.rewrite = Some(id);
        self.appended_bytes = 0;
        self.rewritten_bytes = bytes;
        id
    }

    /// Marks this write and all before it as durable; returns their actions.
    pub(crate) fn complete(&mut self, now: Duration, id: WriteId) -> Vec<DurableAction> {
        if self.rewrite.is_some_and(|rewrite| rewrite <= id) {
            self.rewrite = None;
            self.rejecting_since = None;
        }
        let mut actions = Vec::new();
        let completed = self.pending.iter().take_while(|write| write.id <= id).count();
        for write in self.pending.drain(..completed).collect::<Vec<_>>() {
            self.record_write_time(now, now.saturating_sub(write.ordered_at));
            actions.push(write.action);
        }
        actions
    }

    fn record_write_time(&mut self, now: Duration, time: Duration) {
        self.completed_at = now;
        self.last_write_time = time;
        if time > SLOW_WRITE_THRESHOLD {
            self.is_slow = true;
        } else if time < FAST_WRITE_THRESHOLD {
            self.is_slow = false;
        }
    }

    /// Handles a rejected write: none of the pending writes will become durable.
    pub(crate) fn fail(&mut self, now: Duration, id: WriteId) {
        let is_pending = self.pending.iter().any(|write| write.id == id);
        if !is_pending {
            return;
        }
        self.pending.clear();
        self.rewrite = None;
        self.rejecting_since = Some(now);
    }

    /// Whether all writes that were ordered are durable.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the disk has rejected a write, so that no records can be appended until a rewrite succeeds.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejecting_since.is_some()
    }

    /// Whether a disk that rejects writes is due to be tried again.
    pub(crate) fn is_retry_due(&self, now: Duration) -> bool {
        self.rewrite.is_none() && self.rejecting_since.is_some_and(|since| now >= since + RETRY_INTERVAL)
    }

    /// Whether the log is long enough for a rewrite.
    pub(crate) fn needs_rewrite(&self) -> bool {
        self.rewrite.is_none() && self.appended_bytes > REWRITE_AFTER_BYTES + 2 * self.rewritten_bytes
    }

    /// Whether a probe should be written to find out whether the disk is still slow: it is slow and nothing
    /// was written for [`PROBE_IDLE_TIME`].
    pub(crate) fn needs_probe(&self, now: Duration) -> bool {
        let has_been_idle = now >= self.completed_at + PROBE_IDLE_TIME;
        self.is_slow && self.is_idle() && has_been_idle && !self.is_rejecting()
    }

    /// The duration of the last write, at most [`MAX_WRITE_TIME`]. Time-outs that wait for writes are
    /// extended by it.
    pub(crate) fn write_time(&self) -> Duration {
        self.last_write_time.min(MAX_WRITE_TIME)
    }

    /// The health of the disk, from past writes and the age of the oldest pending one.
    pub(crate) fn disk_health(&self, now: Duration) -> DiskHealth {
        let oldest =
            self.pending.front().map_or(Duration::ZERO, |first| now.saturating_sub(first.ordered_at));
        if self.is_rejecting() || oldest > HANG_TIMEOUT {
            DiskHealth::Failed
        } else if self.is_slow || oldest > SLOW_WRITE_THRESHOLD {
            DiskHealth::Slow
        } else {
            DiskHealth::Healthy
        }
    }
}
