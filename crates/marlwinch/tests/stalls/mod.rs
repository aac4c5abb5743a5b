//! Whether a trial in real time says anything: where a process has to wait for a processor, figures are those of the machine.
//! What must hold at any speed is asked of every trial; figures are asked of one that was not disturbed. A machine that is
//! itself short of its processors is slow for all: against that, figures are held beside others of the same seconds.

use std::time::{Duration, Instant};

/// The share of a trial's time for which the process may have waited for a processor.
const MOST_WAITING: f64 = 0.15;
/// Trials that are made at most.
const TRIALS: usize = 6;

/// How long the threads of a process have been ready to run and had no processor.
fn waited(process: u32) -> Duration {
    let folder = std::fs::read_dir(format!("/proc/{process}/task")).expect("its threads");
    let of_thread = |entry: std::io::Result<std::fs::DirEntry>| {
        // A thread may end between the two reads.
        let text = std::fs::read_to_string(entry.ok()?.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Duration::from_nanos(folder.filter_map(of_thread).sum())
}

/// Looks at a process while a trial lasts.
pub struct Disturbance {
    process: u32,
    began: Instant,
    waited: Duration,
}

impl Disturbance {
    /// Begins to look.
    pub fn of(process: u32) -> Self {
        Disturbance { process, began: Instant::now(), waited: waited(process) }
    }

    /// Whether the process had the processor that it wanted.
    pub fn was_small(self) -> bool {
        let waiting = (waited(self.process) - self.waited).as_secs_f64() / self.began.elapsed().as_secs_f64();
        println!("the process waited for {waiting:.3} of the time");
        waiting <= MOST_WAITING
    }
}

/// Makes a trial until one says that it was not disturbed, and gives what that has shown.
pub fn undisturbed<T>(trial: impl Fn() -> (bool, T)) -> T {
    for _ in 0..TRIALS {
        let (is_undisturbed, shown) = trial();
        if is_undisturbed {
            return shown;
        }
    }
    panic!("the machine disturbed {TRIALS} trials");
}
