//! Formats the result of a surge at a cluster as a table for the terminal.

use super::streams::{NamedStream, SIMULATED_SECONDS};
use overload_simulation::{StreamTally, Tally};
use std::fmt::Write;

/// The concurrency limits adapt in the first seconds of a surge, so the last line of a table leaves them out.
const WARM_UP_SECONDS: u32 = 10;

/// A cluster and its load, for the first line of its table.
pub struct ClusterLoad<'a> {
    /// The name of the cluster.
    pub name: &'a str,
    /// The number of the cluster's ready backends.
    pub backends: usize,
    /// The number of requests that these backends together execute concurrently.
    pub cores: f64,
    /// The offered load: arrival rate times mean service time, comparable to `cores`.
    pub offered: f64,
}

/// Appends the table of a cluster: a line for each stream, between a line of totals and one of limits.
pub fn write_table(out: &mut String, load: &ClusterLoad, streams: &[NamedStream], tally: &Tally) {
    let ClusterLoad { name, backends, cores, offered } = load;
    let class_width = streams.iter().map(|stream| stream.class.len()).max().unwrap_or(0).max(5);
    let tenant_width = streams.iter().map(|stream| stream.tenant.len()).max().unwrap_or(0).max(6);
    // Writing to a string can't fail.
    let _ = writeln!(
        out,
        "cluster  {name}: {backends} backends for {cores:.0} concurrent requests; \
         offered load {offered:.1} ({:.0}%)",
        100.0 * offered / cores.max(1.0)
    );
    let _ = writeln!(
        out,
        "  {:<class_width$}  {:<tenant_width$} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9}",
        "class", "tenant", "offered/s", "served/s", "served", "rejected", "p50", "p99"
    );
    for (stream, tally) in streams.iter().zip(&tally.streams) {
        let NamedStream { class, tenant, .. } = stream;
        let _ = write!(out, "  {class:<class_width$}  {tenant:<tenant_width$} ");
        write_figures(out, tally);
    }
    let limits = &tally.limits;
    let (lowest, highest) = limits.iter().fold((f64::MAX, 0.0), |(lowest, highest), limit| {
        (f64::min(lowest, *limit), f64::max(highest, *limit))
    });
    let _ = writeln!(
        out,
        "  after the first {WARM_UP_SECONDS} s: {:.0} served/s; at the end: \
         concurrency limit per backend {lowest:.0} to {highest:.0}, brownout level {}",
        tally.goodput(WARM_UP_SECONDS as usize, SIMULATED_SECONDS as usize),
        tally.brownout_level
    );
}

fn write_figures(out: &mut String, tally: &StreamTally) {
    let percent = |part: u64| 100.0 * part as f64 / tally.arrived.max(1) as f64;
    let per_second = |count: u64| count as f64 / f64::from(SIMULATED_SECONDS);
    // The histogram is in microseconds.
    let latency_ms = |quantile| tally.latency.value_at_quantile(quantile) as f64 / 1000.0;
    let _ = writeln!(
        out,
        "{:>9.1} {:>9.1} {:>7.1}% {:>7.1}% {:>7.0}ms {:>7.0}ms",
        per_second(tally.arrived),
        per_second(tally.served),
        percent(tally.served),
        percent(tally.rejected),
        latency_ms(0.5),
        latency_ms(0.99)
    );
}
