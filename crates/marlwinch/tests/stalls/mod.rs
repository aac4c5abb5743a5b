//! Finds out whether a trial in real time was disturbed by a busy machine. If the process had to wait for a
//! CPU, its latencies and rates are those of the machine. So every trial checks what must hold at any speed,
//! and only an undisturbed one is used for latencies and rates. Against a machine that is slow as a whole,
//! these are compared with a reference that is measured at the same time.

use std::time::{Duration, Instant};

/// The largest share of a trial's time for which the process may have waited for a CPU.
const MAX_WAITING_SHARE: f64 = 0.15;
/// At most this number of trials are made.
const MAX_TRIALS: usize = 6;

/// How long the threads of a process have been ready to run without a CPU, in total.
fn waiting_time(process: u32) -> Duration {
    let folder = std::fs::read_dir(format!("/proc/{process}/task")).expect("its threads");
    let of_thread = |entry: std::io::Result<std::fs::DirEntry>| {
        // A thread may end between the two reads.
        let text = std::fs::read_to_string(entry.ok()?.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Duration::from_nanos(folder.filter_map(of_thread).sum())
}

/// Measures how long a process waits for a CPU during a trial.
pub struct Disturbance {
    process: u32,
    started: Instant,
    waited: Duration,
}

impl Disturbance {
    /// Starts the measurement of a process.
    pub fn of(process: u32) -> Self {
        Disturbance { process, started: Instant::now(), waited: waiting_time(process) }
    }

    /// Whether the process waited for at most [`MAX_WAITING_SHARE`] of the time.
    pub fn was_small(self) -> bool {
        let waiting =
            (waiting_time(self.process) - self.waited).as_secs_f64() / self.started.elapsed().as_secs_f64();
        println!("the process waited for {waiting:.3} of the time");
        waiting <= MAX_WAITING_SHARE
    }
}

/// Repeats a trial until one reports that it was undisturbed, and returns the result of that one.
pub fn undisturbed<T>(trial: impl Fn() -> (bool, T)) -> T {
    for _ in 0..MAX_TRIALS {
        let (is_undisturbed, result) = trial();
        if is_undisturbed {
            return result;
        }
    }
    panic!("the machine disturbed {MAX_TRIALS} trials");
}
