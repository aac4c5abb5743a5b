//! `marlwinch explain --overload`: which requests would be served and which rejected during a surge.
//! Translates the arguments for the package `overload-simulation`, which simulates the surge in virtual time,
//! and formats its result.

mod arguments;
mod error;
mod mix;
mod streams;
mod table;

pub use arguments::{MixPart, OverloadArguments, RejectedClients, ServiceTime};
pub use error::SurgeError;

use overload_simulation::{BackendSpec, ListedBackend, Surge, simulate};
use route_config::{ClusterPlan, Plan};
use streams::{NamedStream, SIMULATED_SECONDS};
use table::ClusterLoad;

/// The largest number of requests of a simulation. So many take some seconds.
const MAX_REQUESTS: f64 = 5e6;

/// Simulates the surge for each cluster of the plan that receives requests of it. Returns one table for each
/// cluster.
///
/// # Errors
/// The arguments name an unknown class or tenant, or the rate is missing or too high.
pub fn explain_overload(plan: &Plan, arguments: &OverloadArguments) -> Result<String, SurgeError> {
    let rate = arguments.rate.ok_or(SurgeError::MissingRate)?;
    if rate * f64::from(SIMULATED_SECONDS) > MAX_REQUESTS {
        return Err(SurgeError::RateTooHigh(MAX_REQUESTS / f64::from(SIMULATED_SECONDS)));
    }
    let mix = mix::resolve_mix(plan, arguments)?;
    for class in arguments.service.iter().filter_map(|service| service.class.as_ref()) {
        mix::check_class(plan, "--service", class)?;
    }
    let weights: f64 = mix.iter().map(|part| part.weight).sum();
    let mut out = String::new();
    for (number, cluster) in plan.clusters.iter().enumerate() {
        let streams = streams::cluster_streams(plan, number, arguments, &mix, rate / weights);
        if streams.is_empty() {
            continue;
        }
        let surge = cluster_surge(cluster, arguments, &streams);
        let load = ClusterLoad {
            name: &cluster.name,
            backends: surge.backends.len(),
            cores: surge.backends.iter().map(|backend| f64::from(backend.spec.cores)).sum(),
            offered: surge.streams.iter().map(|stream| stream.rate * stream.service_time.mean()).sum(),
        };
        table::write_table(&mut out, &load, &streams, &simulate(&surge));
    }
    Ok(out)
}

/// The surge at a cluster. One node is simulated with all ready backends and all requests; the other nodes
/// are assumed to have the same ratio of backends to requests.
fn cluster_surge(cluster: &ClusterPlan, arguments: &OverloadArguments, streams: &[NamedStream]) -> Surge {
    let ready =
        cluster.backends.iter().filter(|backend| backend.entry.state == join_up_to::ServerState::Ready);
    let backends = ready.map(|backend| {
        let weight = f64::from(backend.entry.weight);
        let cores = (f64::from(arguments.cores) * weight).round().max(1.0) as u32;
        ListedBackend { spec: BackendSpec::without_degradation(cores), weight, kind: backend.entry.kind }
    });
    Surge {
        settings: join_up_to::Settings { nodes: 1, ..cluster.settings.clone() },
        gate: Some(cluster.gate.clone()),
        backends: backends.collect(),
        streams: streams.iter().map(|stream| stream.stream.clone()).collect(),
        faults: Vec::new(),
        seconds: SIMULATED_SECONDS,
        seed: arguments.seed,
    }
}
