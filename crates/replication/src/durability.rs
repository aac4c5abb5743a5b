//! Records on their way to the disk, and what has to wait until they are durable.

use crate::disk_health::DiskHealth;
use crate::identifiers::{MemberId, WriteId};
use crate::message::MessageBody;
use crate::register::{EntryKey, ReplicationProgress};
use std::collections::VecDeque;
use std::time::Duration;

/// How long a write may take before the disk counts as slow.
const SLOW_AFTER: Duration = Duration::from_millis(600);

/// A disk that counts as slow is no longer slow with a write that takes less than this. Guards against members that leave and
/// rejoin the chain with every other write.
const FAST_WITHIN: Duration = Duration::from_millis(300);

/// How long nothing is written to a slow disk before a probe is. Real writes wait for a probe that is under way.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// How long a write may take before the disk counts as hanging. Longer than two syncs of a disk that takes 1 s for each: a
/// write waits for the batch before it.
const HANG_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The most that the time of one write counts for in time-outs, so that one long stall does not delay the next view change.
const MAX_WRITE_TIME: Duration = Duration::from_millis(1_500);

/// How often a disk that rejected a write is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// How many bytes may be appended before the log is rewritten, beside twice what the rewritten log takes.
const REWRITE_AFTER_BYTES: usize = 4 << 20;

/// What is done once a record is durable.
#[derive(Clone, Debug)]
pub(crate) enum DurableAction {
    /// The identity is durable: from now on the member may send messages.
    Activate {
        newest: EntryKey,
        progress: ReplicationProgress,
    },
    Send(MemberId, Box<MessageBody>),
    /// The register is durable as far as this.
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

/// The writes of a member.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    next: u64,
    pending: VecDeque<PendingWrite>,
    /// How long the write took that was completed last, from its order on.
    last_write_time: Duration,
    /// Whether the disk was slow when a write was completed last.
    is_slow: bool,
    /// When a write was completed last.
    completed_at: Duration,
    /// Since when the disk rejects writes.
    rejecting_since: Option<Duration>,
    /// The rewrite under way.
    rewrite: Option<WriteId>,
    appended_bytes: usize,
    rewritten_bytes: usize,
}

impl WriteTracker {
    /// For a log that has `appended_bytes` already.
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

    /// Numbers a record that is to be appended.
    pub(crate) fn begin_append(&mut self, now: Duration, bytes: usize, action: DurableAction) -> WriteId {
        let id = WriteId(self.next);
        self.next += 1;
        self.appended_bytes += bytes;
        self.pending.push_back(PendingWrite { id, ordered_at: now, action });
        id
    }

    /// Numbers a rewrite of `bytes`.
    pub(crate) fn begin_rewrite(&mut self, now: Duration, bytes: usize, action: DurableAction) -> WriteId {
        let id = self.begin_append(now, 0, action);
        self.rewrite = Some(id);
        self.appended_bytes = 0;
        self.rewritten_bytes = bytes;
        id
    }

    /// Returns what is to be done now that this record, and every one before it, is durable.
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
        if time > SLOW_AFTER {
            self.is_slow = true;
        } else if time < FAST_WITHIN {
            self.is_slow = false;
        }
    }

    /// The disk has rejected a write: nothing pending becomes durable.
    pub(crate) fn fail(&mut self, now: Duration, id: WriteId) {
        let is_pending = self.pending.iter().any(|write| write.id == id);
        if !is_pending {
            return;
        }
        self.pending.clear();
        self.rewrite = None;
        self.rejecting_since = Some(now);
    }

    /// Whether everything that was ordered is durable.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether records can't be appended, since the disk has rejected one.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejecting_since.is_some()
    }

    /// Whether it is time to retry a disk that rejects writes.
    pub(crate) fn is_retry_due(&self, now: Duration) -> bool {
        self.rewrite.is_none() && self.rejecting_since.is_some_and(|since| now >= since + RETRY_INTERVAL)
    }

    /// Whether the log is long enough to be rewritten.
    pub(crate) fn needs_rewrite(&self) -> bool {
        self.rewrite.is_none() && self.appended_bytes > REWRITE_AFTER_BYTES + 2 * self.rewritten_bytes
    }

    /// Whether a write is to be ordered only to learn whether the disk is still slow: nothing was written for a while.
    pub(crate) fn needs_probe(&self, now: Duration) -> bool {
        let has_rested = now >= self.completed_at + PROBE_AFTER;
        self.is_slow && self.is_idle() && has_rested && !self.is_rejecting()
    }

    /// How long a write takes at present, at most [`MAX_WRITE_TIME`]. Time-outs that wait for writes grow with it.
    pub(crate) fn write_time(&self) -> Duration {
        self.last_write_time.min(MAX_WRITE_TIME)
    }

    /// The state of the disk.
    pub(crate) fn disk_health(&self, now: Duration) -> DiskHealth {
        let oldest =
            self.pending.front().map_or(Duration::ZERO, |first| now.saturating_sub(first.ordered_at));
        if self.is_rejecting() || oldest > HANG_TIMEOUT {
            DiskHealth::Failed
        } else if self.is_slow || oldest > SLOW_AFTER {
            DiskHealth::Slow
        } else {
            DiskHealth::Healthy
        }
    }
}
