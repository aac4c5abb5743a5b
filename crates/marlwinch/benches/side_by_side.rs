//! Compares a node with a configuration file to a direct connection to a backend and to a minimal hyper
//! proxy, in one run: requests per second, CPU time and latency of a request, memory. Also finds the highest
//! rate that the load generator sustains. Run with `cargo bench -p marlwinch --bench side_by_side`; `-- 12`
//! runs with 12 backends only.

mod rig;

use load_generator::engine::{AttemptLog, Connect, Progress, Tcp, run};
use load_generator::plan::Plan;
use rig::{HelperProcess, Round};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const ROUND_DURATION: Duration = Duration::from_millis(1500);
const CLIENTS: [usize; 4] = [1, 16, 64, 256];

/// Measures a round after a warm-up and prints its line.
fn measure(name: &str, clients: usize, process: &HelperProcess) -> Round {
    let _ = process.closed_loop(clients, ROUND_DURATION / 3);
    let round = process.closed_loop(clients, ROUND_DURATION);
    println!(
        "{name:24}{clients:8}{:11.0}{:9.1}{:9.0}{:9.0}{:8.1}{:9}",
        round.rate,
        round.cpu,
        round.p50,
        round.p99,
        process.resident_mib(),
        round.rejected
    );
    round
}

/// Sends requests in an open loop at this rate. Returns the p50 and p99 latencies in microseconds, measured
/// from the scheduled send times, and whether the report is valid.
fn open_loop(target: SocketAddr, rate: f64) -> (f64, f64, bool) {
    let mut plan = Plan::steady(rate, Duration::from_secs(3), "POST", "/correct/7f3a").expect("a plan");
    plan.classes[0].body = 4;
    plan.connections = 800;
    let (plan, connect): (_, Arc<dyn Connect>) = (Arc::new(plan), Arc::new(Tcp(target)));
    let finished = run(&plan, &connect, &Arc::new(Progress::default()), AttemptLog::Discard).expect("a run");
    let at = |quantile| finished.record.all.latency.value_at_quantile(quantile) as f64;
    (at(0.5), at(0.99), finished.verdict.is_valid())
}

fn main() {
    if rig::run_as_helper() {
        return;
    }
    println!(
        "{:24}{:>8}{:>11}{:>9}{:>9}{:>9}{:>8}{:>9}",
        "", "clients", "requests/s", "CPU µs", "p50 µs", "p99 µs", "MiB", "rejected"
    );
    let requested: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    for count in if requested.is_empty() { vec![12, 100, 1000] } else { requested } {
        let backends = HelperProcess::backends(count);
        let proxy = HelperProcess::minimal_proxy(&backends.addresses);
        let node = HelperProcess::file_node(&backends.addresses);
        for clients in CLIENTS {
            if count == 12 {
                measure("direct", clients, &backends);
            }
            let minimal = measure(&format!("proxy, {count} backends"), clients, &proxy);
            let ours = measure(&format!("node, {count} backends"), clients, &node);
            println!(
                "{:24}{clients:8}{:10.2}×{:8.2}×{:8.2}×{:8.2}×",
                "  node / minimal proxy",
                ours.rate / minimal.rate,
                ours.cpu / minimal.cpu,
                ours.p50 / minimal.p50,
                ours.p99 / minimal.p99
            );
        }
        if count == 12 {
            let capacity = node.closed_loop(64, ROUND_DURATION).rate;
            println!(
                "\nlatency in µs at a share of the node's rate with 64 clients ({capacity:.0}/s), open loop"
            );
            for share in [0.1, 0.5, 0.8] {
                let (minimal, ours) = (
                    open_loop(proxy.addresses[0], capacity * share),
                    open_loop(node.addresses[0], capacity * share),
                );
                println!(
                    "  {:3.0}%: p50 {:.0} and {:.0}, p99 {:.0} and {:.0} (minimal proxy, node){}",
                    share * 100.0,
                    minimal.0,
                    ours.0,
                    minimal.1,
                    ours.1,
                    if minimal.2 && ours.2 { "" } else { "  NOT VALID" }
                );
            }
            println!("\nload generator with one thread, one backend: highest rate with a valid report");
            let mut best = 0.0;
            for rate in [5_000.0, 10_000.0, 15_000.0, 20_000.0, 30_000.0, 40_000.0] {
                let (_, p99, valid) = open_loop(backends.addresses[0], rate);
                println!("  {rate:.0}/s: {}, p99 {p99:.0} µs", if valid { "valid" } else { "NOT VALID" });
                if valid {
                    best = rate;
                }
            }
            let closed_loop = backends.closed_loop(64, ROUND_DURATION).rate;
            println!("  {best:.0}/s; a closed loop of 64 threads reaches {closed_loop:.0}/s\n");
        }
    }
}
