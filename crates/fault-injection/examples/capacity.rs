//! Measures with how many nodes and requests per second a trial on this machine still reaches a verdict:
//! `cargo run --release -p fault-injection --example capacity -- target/release/marlwinch`.

use fault_injection::checkers::{Attempts, Verdict, judge, service_summary};
use fault_injection::process::Programs;
use fault_injection::{plan_reader, run};
use std::ffi::OsString;
use std::path::PathBuf;

fn plan(nodes: usize, requests_per_s: usize) -> String {
    format!(
        "name = \"capacity\"\nlength = \"5s\"\nnodes = {{ count = {nodes} }}\n\
         boxes = {{ count = 10, cores = 64, service = \"5ms\" }}\n[bounds]\nconnections = 100000\nmemory = \"1GiB\"\n\
         descriptors = 100000\n[[clients]]\nclass = \"look\"\nrepeat = \"safe\"\npath = \"/look/{{n}}\"\nrate = \"{requests_per_s}/s\"\n"
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let node = std::env::args_os().nth(1).ok_or("the path of the node program is missing")?;
    let node = std::fs::canonicalize(PathBuf::from(node))?;
    let supervisor: Vec<OsString> = vec![node.clone().into(), "trial".into(), "keep".into(), "--".into()];
    let programs = Programs { supervisor, node, variables: Vec::new() };
    for (nodes, requests_per_s) in [
        (3, 500),
        (3, 1000),
        (3, 2000),
        (3, 4000),
        (3, 8000),
        (10, 500),
        (10, 2000),
        (30, 500),
        (60, 500),
        (100, 500),
    ] {
        let plan = plan_reader::read_plan(&plan(nodes, requests_per_s), |_| Err("none"))
            .map_err(|faults| format!("{faults:?}"))?;
        let finished = run::run_plan(&plan, 1, &programs)?;
        let verdict = judge(&finished.history);
        let served = 100.0 * service_summary(&finished.history, &Attempts::of(&finished.history)).before;
        let result = match verdict {
            Verdict::Passed => "passed".to_string(),
            Verdict::Failed { violations } => {
                format!("{} violations, the first: {}", violations.len(), violations[0].description)
            }
            Verdict::NoVerdict { late_ms, .. } => format!("no verdict: timers were up to {late_ms} ms late"),
        };
        println!("{nodes} nodes, {requests_per_s} requests/s: {result}; served {served:.1}%");
    }
    Ok(())
}
