//! The balancer: its state, and the dispatch of events to the modules below. `requests` handles arrival,
//! deadline and final response of a request, `dispatch` sends attempts, `outcomes` processes their ends,
//! `probing` sends probes, `server_list` maintains the server list, `rules` and `slow_start` enforce the
//! rules, and `pick` selects a server. Deviations from the paper are described in `docs/design/node.md`.

mod dispatch;
mod outcomes;
mod pick;
mod probing;
mod requests;
mod rules;
mod server_list;
mod slow_start;

use crate::interface::*;
use crate::join::Traffic;
use crate::rate::Rate;
use crate::state::{AverageCost, Capacity, Classes, Fleet, OnTimeRates, Request};
use crate::throttle::Throttle;
use crate::weights::Weights;
use std::collections::BTreeMap;
use std::time::Duration;

/// Later times are clamped to this one, so that adding a duration does not overflow.
const MAX_TIME: Duration = Duration::from_secs(1 << 48);
/// The token of the timer for server list requests; a request's timers carry its id.
const HOUSEKEEPING_TOKEN: u64 = u64::MAX;
/// The default retry budget: retries as a fraction of first attempts.
const RETRY_SHARE: f64 = 0.2;
/// The weight of an observation in an exponential moving average.
const SMOOTHING: f64 = 1.0 / 8.0;
/// The range to which a provided relative capacity is clamped.
const RELATIVE_CAPACITY_RANGE: (f64, f64) = (1e-6, 1e6);

/// The balancer of one node: turns events into actions.
pub struct Balancer {
    settings: Settings,
    classes: Classes,
    now: Duration,
    fleet: Fleet,
    /// When to check next which servers have completed slow start.
    slow_start_check_at: Duration,
    /// The rate at which a server past slow start serves this node, in requests of average cost per second.
    warm_server_rate: f64,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for probe results, in the order in which they started to wait.
    waiting_for_probes: Vec<RequestId>,
    /// Moving average of the response time in seconds.
    response_time: f64,
    average_cost: AverageCost,
    /// Moving average of an idle server's response time, as a multiple of the request's cost.
    slowdown: f64,
    /// This node's sends and the load reports it received; m is computed from them.
    own_traffic: Traffic,
    on_time_rates: OnTimeRates,
    /// For servers shared by many nodes: adaptive throttling, and server weights learned from load reports.
    throttle: Throttle,
    weights: Weights,
    probe_tokens: f64,
    retry_tokens: f64,
    /// Request arrivals, with a time constant of a minute.
    request_rate: Rate,
    /// Cost of arriving requests, and cost served by servers past slow start, relative to the average cost.
    arrived_cost: Rate,
    served_cost: Rate,
    /// The version of the current server list.
    list_version: u32,
    /// If the list is not pushed: when to request it next, and the backoff after the last failed request.
    list_request_at: Option<Duration>,
    list_backoff: Duration,
    restrictions: AttemptRestrictions,
    /// The deadline of all requests during shutdown; `Duration::MAX` before.
    shutdown_deadline: Duration,
}

/// The numbers of listed and ejected servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolStatus {
    /// Servers of the list that have not been removed.
    pub listed: usize,
    /// Ready servers that are currently ejected as outliers.
    pub ejected: usize,
}

impl Balancer {
    /// A balancer without servers. `seed` initializes its random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = settings.clamped();
        let target = settings.classes.iter().map(|class| class.latency_target).min().unwrap_or_default();
        let cost_window_s = 3.0 * settings.rules.overload_time.as_secs_f64();
        Balancer {
            now: Duration::ZERO,
            fleet: Fleet::new(seed),
            slow_start_check_at: Duration::ZERO,
            warm_server_rate: 0.0,
            requests: BTreeMap::new(),
            waiting_for_probes: Vec::new(),
            response_time: target.as_secs_f64() / 2.0,
            slowdown: 1.0,
            average_cost: AverageCost::default(),
            own_traffic: Traffic::default(),
            on_time_rates: OnTimeRates::new(1, 0.25),
            throttle: Throttle::new(settings.rules.overload_time),
            weights: Weights::default(),
            probe_tokens: 0.0,
            retry_tokens: 1.0 / RETRY_SHARE,
            request_rate: Rate::new(60.0),
            arrived_cost: Rate::new(cost_window_s),
            served_cost: Rate::new(cost_window_s),
            list_version: 0,
            list_request_at: None,
            list_backoff: Duration::ZERO,
            restrictions: AttemptRestrictions::default(),
            shutdown_deadline: Duration::MAX,
            classes: Classes::new(&settings.classes),
            settings,
        }
    }

    /// Replaces the settings. Requests keep the class they arrived with, even if it is removed. Everything
    /// learned about servers is kept.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings.clamped();
        self.classes.replace(&self.settings.classes);
        self.slow_start_check_at = self.now;
    }

    /// The current numbers of listed and ejected servers.
    pub fn pool(&self) -> PoolStatus {
        let is_ejected = |id: &&ServerId| self.fleet[id].ejected_until.is_some_and(|until| self.now < until);
        PoolStatus {
            listed: self.fleet.listed(),
            ejected: self.fleet.ready.iter().filter(is_ejected).count(),
        }
    }

    /// Handles an event that occurred at `now`, and appends the resulting actions in the order of execution.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let is_first = self.now.is_zero();
        self.now = now.clamp(self.now.max(Duration::from_nanos(1)), MAX_TIME);
        if is_first && self.settings.list_on_request {
            // Jitter: all nodes may have started at the same time.
            let wait = self.settings.rules.list_request_interval.mul_f64(self.fleet.random() / 4.0);
            self.request_list_after(wait, actions);
        }
        match event {
            Event::List { kind, version, entries } => self.on_list(kind, version, entries, actions),
            Event::Request(new) => self.on_request(new.clamped(), None, actions),
            Event::Upload { request, within } => self.on_request(request.clamped(), Some(within), actions),
            Event::BodyConsumed { id } => {
                self.requests.entry(id).and_modify(|request| request.is_body_consumed = true);
            }
            Event::Uploaded { id, remaining } => self.on_uploaded(id, remaining, actions),
            Event::Started { id, .. } => {
                self.requests.entry(id).and_modify(|request| request.is_streaming = true);
            }
            Event::AttemptEnded(end) => self.on_attempt_end(end, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Ending { within } => self.on_shutdown(within, actions),
            Event::Timer { token } => self.on_timer(RequestId(token), actions),
            Event::Probed(end) => self.on_probe_end(end, actions),
            Event::Capacity { server, max_in_flight, relative } => {
                let (min, max) = RELATIVE_CAPACITY_RANGE;
                let relative = if relative.is_finite() { relative.clamp(min, max) } else { 1.0 };
                let capacity = Capacity { max_in_flight: max_in_flight.max(1), relative };
                self.fleet.modify(server, |server| server.capacity = Some(capacity));
            }
            Event::Restrict(restrictions) => self.restrictions = restrictions,
            Event::Peer { .. } => {}
        }
    }
}
