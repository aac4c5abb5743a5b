//! The streams of requests that a surge sends to a cluster.

use super::arguments::{MixPart, OverloadArguments, RejectedClients, ServiceTime};
use overload_simulation::{ClientRetry, ServiceTime as SimulatedServiceTime, Stream};
use route_config::Plan;
use std::time::Duration;

/// The simulated duration of a surge, in seconds.
pub const SIMULATED_SECONDS: u32 = 30;
/// The service time of a class without one in the arguments.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// A stream with the names of its class and tenant, which the table shows.
pub struct NamedStream {
    /// The name of the class of the requests.
    pub class: String,
    /// The name of the tenant; empty if the plan has no tenants.
    pub tenant: String,
    /// The rate, times and retries of the requests, as the simulation takes them.
    pub stream: Stream,
}

/// Where routes of a class lead. Routes with the same cluster and class count as one target of a surge.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RouteTarget {
    cluster: usize,
    class: usize,
    time_limit: Duration,
}

/// The streams of a cluster. The requests of a part of the mix are divided evenly among the targets of its
/// class.
pub fn cluster_streams(
    plan: &Plan,
    cluster: usize,
    arguments: &OverloadArguments,
    mix: &[MixPart],
    rate_per_weight: f64,
) -> Vec<NamedStream> {
    let mut streams = Vec::new();
    for part in mix {
        let targets = route_targets(plan, &part.class);
        let service_time = service_time(&arguments.service, &part.class);
        let rate = part.weight * rate_per_weight / targets.len() as f64;
        for target in targets.iter().filter(|target| target.cluster == cluster) {
            let stream = Stream {
                class: target.class,
                tenant: tenant_index(plan, part),
                node: 0,
                rate,
                from: 0.0,
                to: f64::from(SIMULATED_SECONDS),
                timeout: target.time_limit,
                service_time: SimulatedServiceTime::Exponential(service_time.as_secs_f64()),
                retry: retries(arguments.again),
            };
            let class_settings = plan.clusters[cluster].gate.classes.get(target.class);
            let class = class_settings.map_or(&part.class, |settings| &settings.name).clone();
            streams.push(NamedStream { class, tenant: part.tenant.clone().unwrap_or_default(), stream });
        }
    }
    streams
}

fn route_targets(plan: &Plan, class: &str) -> Vec<RouteTarget> {
    let routes = plan.routes.iter().filter(|route| route.class_name == class);
    let mut targets: Vec<_> = routes
        .map(|route| RouteTarget {
            cluster: route.cluster,
            class: route.class,
            time_limit: route.settings.timeout.value,
        })
        .collect();
    targets.sort_unstable();
    targets.dedup_by_key(|target| (target.cluster, target.class));
    targets
}

/// The first time for this class, otherwise the first time for all classes. The list is reversed because
/// `max_by_key` returns the last of equal items.
fn service_time(times: &[ServiceTime], class: &str) -> Duration {
    let applies = |time: &&ServiceTime| time.class.as_ref().is_none_or(|its_class| its_class == class);
    let times = times.iter().rev().filter(applies);
    times.max_by_key(|time| time.class.is_some()).map_or(DEFAULT_SERVICE_TIME, |time| time.time)
}

fn tenant_index(plan: &Plan, part: &MixPart) -> usize {
    let index = part.tenant.as_ref().and_then(|tenant| plan.tenants.iter().position(|known| known == tenant));
    index.unwrap_or(0)
}

fn retries(clients: RejectedClients) -> ClientRetry {
    match clients {
        RejectedClients::GiveUp => ClientRetry::Never,
        RejectedClients::RetryWhenAllowed => ClientRetry::WhenAllowed(3),
        RejectedClients::RetryAtOnce => ClientRetry::AtOnce(10),
    }
}
