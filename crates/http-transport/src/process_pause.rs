//! Detects stalls of the process: times in which it was not running because it was stopped, swapped out, or
//! got no CPU. Nothing new should be sent to a backend until all input that arrived during a stall has been
//! read. Sends nothing itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, MissedTickBehavior};
use tracing::info;

/// How often the clock is read by the background task.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum gap between two readings of the clock that counts as a stall. Load does not explain such a
/// gap: it is six intervals, and an iteration of the event loop takes about 10 ms under full load. A stall of
/// 300 ms is always detected, as the gap between the readings before and after it is at least as long.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// The number of iterations of the runtime after which all input that the system had queued has been read. An
/// iteration delivers up to 1,024 ready sockets and runs 61 tasks. A node has at most 1,024 descriptors
/// unless the limit is raised. Doubled for the tasks that are woken in turn.
const CATCH_UP_ITERATIONS: u32 = 2 * 1024 / 61;

/// The maximum time that catching up waits until connections that were opened during a stall are accepted.
/// Needed for a node that accepts no more connections, as it shuts down or another process has its sockets.
const MAX_ACCEPT_WAIT: Duration = Duration::from_millis(250);

/// Derives stalls from readings of the clock. Has no clock itself: the time is passed in.
#[derive(Debug)]
struct StallHistory {
    /// The latest reading of the clock.
    last_reading: Instant,
    /// The last reading before the first stall whose input may still be unread; `None` once all input has
    /// been read.
    catching_up_since: Option<Instant>,
    /// The number of stalls since the start.
    count: u64,
    /// The start and end of the latest stalls, the latest first.
    recent: [Option<(Instant, Instant)>; 4],
}

impl StallHistory {
    fn new(now: Instant) -> Self {
        StallHistory { last_reading: now, catching_up_since: None, count: 0, recent: [None; 4] }
    }

    /// Records a reading of the clock. Returns whether the process was stalled before it.
    fn record(&mut self, now: Instant) -> bool {
        let last = self.last_reading;
        self.last_reading = now.max(last);
        let stalled = now.saturating_duration_since(last) >= STALL_THRESHOLD;
        if stalled {
            // If input of an earlier stall is still unread, what is read next may be as old as that stall.
            self.catching_up_since.get_or_insert(last);
            self.recent.rotate_right(1);
            self.recent[0] = Some((last, now));
            self.count += 1;
        }
        stalled
    }

    /// For how long the process was stalled since `from`, by the latest four stalls.
    fn stalled_since(&self, from: Instant) -> Duration {
        let recent = self.recent.iter().flatten();
        recent.map(|(start, end)| end.saturating_duration_since(from.max(*start))).sum()
    }
}

/// Detects stalls of this process. Shared by all parts that read from sockets or write to them.
#[derive(Debug)]
pub struct StallDetector {
    history: RefCell<StallHistory>,
    stall_detected: Notify,
    caught_up: Notify,
    catch_up_requested: Notify,
    /// Whether connections that were opened during a stall may still wait to be accepted.
    accepts_pending: Cell<bool>,
    delayed_requests: Cell<u64>,
}

impl StallDetector {
    /// Starts a detector with its background tasks on the local set.
    pub fn start() -> Rc<Self> {
        let detector = Rc::new(StallDetector::without_tasks());
        tokio::task::spawn_local(check_clock(detector.clone()));
        tokio::task::spawn_local(catch_up(detector.clone()));
        detector
    }

    /// A detector without background tasks: the clock is read only by calls, and catching up never ends.
    pub fn without_tasks() -> Self {
        StallDetector {
            history: RefCell::new(StallHistory::new(Instant::now())),
            stall_detected: Notify::new(),
            caught_up: Notify::new(),
            catch_up_requested: Notify::new(),
            accepts_pending: Cell::new(false),
            delayed_requests: Cell::new(0),
        }
    }

    /// Reads the clock. Returns whether input that arrived during a stall may still be unread. Must be called
    /// before input is processed or anything is sent.
    pub fn is_catching_up(&self) -> bool {
        let mut history = self.history.borrow_mut();
        if history.record(Instant::now()) {
            self.accepts_pending.set(true);
            self.catch_up_requested.notify_one();
            self.stall_detected.notify_one();
        }
        history.catching_up_since.is_some()
    }

    /// The earliest time at which bytes that are read now may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.is_catching_up();
        self.history.borrow().catching_up_since.unwrap_or_else(Instant::now)
    }

    /// The number of stalls since the start. A decision made under another number is older than the latest
    /// stall.
    pub fn stall_count(&self) -> u64 {
        self.is_catching_up();
        self.history.borrow().count
    }

    /// Waits until all input that arrived during a stall has been read.
    pub async fn wait_until_caught_up(&self) {
        while self.is_catching_up() {
            self.caught_up.notified().await;
        }
    }

    /// For how long the process was stalled since `from`. Considers the latest four stalls.
    pub fn stalled_since(&self, from: Instant) -> Duration {
        self.history.borrow().stalled_since(from)
    }

    /// Waits until connections that were opened during a stall may wait to be accepted.
    pub async fn wait_for_pending_accepts(&self) {
        while !self.accepts_pending.get() {
            self.stall_detected.notified().await;
        }
    }

    /// Records that no connection waits to be accepted, or that there is no capacity for further ones.
    pub fn mark_all_accepted(&self) {
        self.accepts_pending.set(false);
    }

    /// Counts a request that was delayed until the process has caught up.
    pub fn record_delayed_request(&self) {
        self.delayed_requests.set(self.delayed_requests.get() + 1);
    }
}

/// Reads the clock periodically.
async fn check_clock(detector: Rc<StallDetector>) {
    let mut ticks = tokio::time::interval(CLOCK_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        detector.is_catching_up();
    }
}

/// After each stall, lets the runtime read all input that has arrived, and then marks the process as caught
/// up.
async fn catch_up(detector: Rc<StallDetector>) {
    loop {
        detector.catch_up_requested.notified().await;
        let (started, count) = (Instant::now(), detector.stall_count());
        let mut iterations = 0;
        while iterations < CATCH_UP_ITERATIONS
            || detector.accepts_pending.get() && started.elapsed() < MAX_ACCEPT_WAIT
        {
            yield_now().await;
            iterations += 1;
        }
        // Starts again if there was another stall in the meantime.
        if detector.stall_count() != count {
            detector.catch_up_requested.notify_one();
            continue;
        }
        let mut history = detector.history.borrow_mut();
        history.catching_up_since = None;
        if let Some((start, end)) = history.recent[0] {
            let (stalled, elapsed) = (end - start, started.elapsed());
            let delayed = detector.delayed_requests.take();
            // Quoted in docs/operators/trials.md.
            info!(
                "process stalled for {stalled:?}; caught up within {elapsed:?}, {delayed} requests delayed"
            );
        }
        drop(history);
        detector.caught_up.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
