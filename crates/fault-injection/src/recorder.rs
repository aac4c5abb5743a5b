//! Records all observations of a run with their monotonic times. Does not evaluate them.

use crate::history::{Entry, Event};
use crate::lock::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_servers::clock::Clock;

/// The sleep whose overrun is measured as the lateness of timers.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);

/// Collects the entries of a run. Clones share the entries.
#[derive(Clone)]
pub struct Recorder {
    clock: Clock,
    entries: Arc<Mutex<Vec<Entry>>>,
    /// The number of attempts sent to each node.
    attempts: Arc<Mutex<HashMap<String, u64>>>,
    max_lateness: Arc<Mutex<Duration>>,
}

impl Recorder {
    /// A recorder without entries; times are read from `clock`.
    pub fn new(clock: Clock) -> Self {
        Recorder { clock, entries: Arc::default(), attempts: Arc::default(), max_lateness: Arc::default() }
    }

    /// Records an event at the current time. `source` is who observed it, or whom it concerns.
    pub fn record(&self, source: &str, event: Event) {
        if let Event::AttemptSent { node, .. } = &event {
            *lock(&self.attempts).entry(node.clone()).or_default() += 1;
        }
        let mut entries = lock(&self.entries);
        // The time is read under the lock, so that the entries are sorted by time.
        entries.push(Entry::new(self.clock.now(), source, event));
    }

    /// The number of attempts recorded as sent to a node so far.
    pub fn attempts_sent_to(&self, node: &str) -> u64 {
        lock(&self.attempts).get(node).copied().unwrap_or(0)
    }

    /// Records by how much a timer of the trial overran. Only the maximum is kept.
    pub fn record_lateness(&self, lateness: Duration) {
        let mut max = lock(&self.max_lateness);
        *max = (*max).max(lateness);
    }

    /// Measures the lateness of timers until the returned guard is dropped: on a dedicated thread, which
    /// shows delays by the system, and in a task on the runtime of the relays and clients, which shows delays
    /// by their load.
    pub fn monitor_lateness(&self) -> LatenessMonitor {
        let running = Arc::new(());
        let (is_running, recorder) = (Arc::downgrade(&running), self.clone());
        std::thread::spawn(move || {
            while is_running.upgrade().is_some() {
                let start = Instant::now();
                std::thread::sleep(LATENESS_INTERVAL);
                recorder.record_lateness(start.elapsed().saturating_sub(LATENESS_INTERVAL));
            }
        });
        let (is_running, recorder) = (Arc::downgrade(&running), self.clone());
        tokio::spawn(async move {
            while is_running.upgrade().is_some() {
                let start = Instant::now();
                tokio::time::sleep(LATENESS_INTERVAL).await;
                recorder.record_lateness(start.elapsed().saturating_sub(LATENESS_INTERVAL));
            }
        });
        LatenessMonitor { _running: running }
    }

    /// Removes and returns all entries, followed by one with the maximum lateness of the timers.
    pub fn take_entries(&self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut *lock(&self.entries));
        let by_ms = lock(&self.max_lateness).as_millis() as u64;
        entries.push(Entry::new(self.clock.now(), "rig", Event::TimersLate { by_ms }));
        entries
    }
}

/// A guard: the lateness of timers is measured until it is dropped.
pub struct LatenessMonitor {
    _running: Arc<()>,
}
