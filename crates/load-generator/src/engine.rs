//! Runs a plan: each request is sent when it is due, whether or not earlier requests have completed. Uses one
//! or more threads, each with its own runtime, connections and record.

mod connect;
mod observation;
mod worker;

pub use connect::{Connect, ConnectFuture, Io, Tcp};
pub use observation::{AttemptLog, AttemptResult, Progress};

use crate::plan::Plan;
use crate::record::Record;
use crate::validity::{Measurements, Verdict, judge};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;
use worker::{SendTimer, WorkerOptions, WorkerOutput};

/// The delay between starting the threads and the begin of the run, so that all threads are ready.
const START_DELAY: Duration = Duration::from_millis(20);

/// The results of a run.
#[derive(Clone, Debug)]
pub struct RunOutput {
    /// The outcomes and latencies of all threads.
    pub record: Record,
    /// The number of requests that the plan scheduled.
    pub due: u64,
    /// The outcome of each attempt; empty unless run with [`AttemptLog::Keep`].
    pub attempts: Vec<AttemptResult>,
    /// Whether the results are valid, and if not, why.
    pub verdict: Verdict,
    /// The busiest worker's share of a core, 0 to 1; `None` if the system does not report it.
    pub cpu_share: Option<f64>,
}

/// The results of a worker's thread.
struct ThreadOutput {
    worker: WorkerOutput,
    cpu_share: Option<f64>,
}

/// Runs a plan on its own threads, and blocks until all of them have finished.
///
/// # Errors
/// A thread or its runtime can't be created, or a thread has panicked.
pub fn run(
    plan: &Arc<Plan>,
    connect: &Arc<dyn Connect>,
    progress: &Arc<Progress>,
    attempt_log: AttemptLog,
) -> io::Result<RunOutput> {
    let start = Instant::now() + START_DELAY;
    let mut threads = Vec::new();
    for number in 0..plan.threads {
        let options = WorkerOptions {
            plan: plan.clone(),
            connect: connect.clone(),
            progress: progress.clone(),
            number,
            timer: SendTimer::Thread,
            start,
            attempt_log,
        };
        let thread = std::thread::Builder::new().name(format!("load-{number}"));
        threads.push(thread.spawn(move || run_worker(options))?);
    }
    let mut record = Record::new(plan.classes.len());
    let (mut attempts, mut cpu_share) = (Vec::new(), None::<f64>);
    for thread in threads {
        let output = thread.join().map_err(|_| io::Error::other("a load generator thread panicked"))?;
        let mut output = output?;
        record.merge(&output.worker.record);
        attempts.append(&mut output.worker.attempts);
        cpu_share = cpu_share.into_iter().chain(output.cpu_share).reduce(f64::max);
    }
    let was_stopped = progress.stop.load(Ordering::Relaxed);
    Ok(judge_run(plan, WorkerOutput { record, attempts }, cpu_share, was_stopped))
}

fn run_worker(options: WorkerOptions) -> io::Result<ThreadOutput> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let work = worker::run(options);
    let (start, cpu_before) = (std::time::Instant::now(), thread_cpu_time());
    let worker = LocalSet::new().block_on(&runtime, work);
    let used = thread_cpu_time().zip(cpu_before).map(|(now, before)| (now - before).as_secs_f64());
    let cpu_share = used.map(|used| used / start.elapsed().as_secs_f64());
    Ok(ThreadOutput { worker, cpu_share })
}

fn judge_run(plan: &Plan, output: WorkerOutput, cpu_share: Option<f64>, was_stopped: bool) -> RunOutput {
    let WorkerOutput { record, attempts } = output;
    let due = plan.requests().count() as u64;
    let measurements = Measurements { due, length: plan.schedule.length, cpu_share, max_lag: plan.max_lag };
    let mut verdict = judge(&record, &measurements);
    if was_stopped {
        verdict.reasons.push("ended before its time".into());
    }
    RunOutput { record, due, attempts, verdict, cpu_share }
}

/// Runs a plan as one worker on the current runtime, which must be single-threaded, and paces it by the
/// runtime's timer. Tests use it with paused time. Of a plan for several threads only the first worker's
/// share is sent.
pub async fn run_on_current_runtime(
    plan: Arc<Plan>,
    connect: Arc<dyn Connect>,
    attempt_log: AttemptLog,
) -> RunOutput {
    let options = WorkerOptions {
        plan: plan.clone(),
        connect,
        progress: Arc::new(Progress::default()),
        number: 0,
        timer: SendTimer::Runtime,
        start: Instant::now(),
        attempt_log,
    };
    let output = LocalSet::new().run_until(worker::run(options)).await;
    judge_run(&plan, output, None, false)
}

/// The CPU time of the current thread, from Linux's `schedstat`; `None` on other systems.
fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
