//! Runs a plan of the load generator and shows the progress on the terminal.

use indicatif::{ProgressBar, ProgressStyle};
use load_generator::engine::{AttemptLog, Connect, Progress, RunOutput, Tcp, run};
use load_generator::plan::Plan;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The time between two updates of the progress bar.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the load of a plan to a target. The label is shown before the progress bar.
///
/// # Errors
/// The load generator can't start, or it panics.
pub fn run_with_progress(
    plan: &Arc<Plan>,
    target: SocketAddr,
    label: &str,
    attempt_log: AttemptLog,
) -> io::Result<RunOutput> {
    let progress = Arc::new(Progress::default());
    let connect: Arc<dyn Connect> = Arc::new(Tcp(target));
    let bar = progress_bar(plan.requests().count() as u64, label);
    let running = {
        let (plan, progress) = (plan.clone(), progress.clone());
        std::thread::spawn(move || run(&plan, &connect, &progress, attempt_log))
    };
    while !running.is_finished() {
        let counts: Vec<_> = progress.completed.iter().map(|count| count.load(Ordering::Relaxed)).collect();
        bar.set_position(progress.sent.load(Ordering::Relaxed));
        bar.set_message(format!(
            "{} served, {} rejected, {} failed, {} lost",
            counts[0], counts[1], counts[2], counts[3]
        ));
        std::thread::sleep(UPDATE_INTERVAL);
    }
    bar.finish_and_clear();
    running.join().map_err(|_| io::Error::other("the load generator panicked"))?
}

fn progress_bar(requests: u64, label: &str) -> ProgressBar {
    let bar = ProgressBar::new(requests);
    if let Ok(style) = ProgressStyle::with_template("{prefix}[{elapsed}] {bar:30} {pos}/{len} sent, {msg}") {
        bar.set_style(style);
    }
    bar.set_prefix(label.to_string());
    bar
}
