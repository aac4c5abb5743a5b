//! The task that owns the [`Balancer`], its timers and the open requests. Passes events to the balancer and
//! carries out its actions in order. Decides nothing.

use crate::decision_loop::admission_gate::{AdmissionGate, GateOutcome};
use crate::decision_loop::clock::Clock;
use crate::decision_loop::event::{Arrival, ClusterChange, FinalResponse, NodeEvent};
use crate::decision_loop::list_requests::ListRequests;
use crate::decision_loop::open_requests::{Attempt, OpenRequest, abandon, start_attempt};
use crate::endpoint_update::{EndpointUpdate, ListVersion};
use crate::telemetry::node_metrics::NodeMetrics;
use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::AttemptResult;
use admission_control::retry_storm::AttemptKind;
use http_forwarding::local_response::{Execution, LocalResponse, local_response};
use http_transport::process_pause::StallDetector;
use hyper::{StatusCode, header};
use join_up_to::{Action, AttemptEnd, Balancer, Event, ListKind, Outcome, ProbeEnd, RequestId, ServerId};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{debug, info, warn};

/// How often the counts of the node are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How long the node waits for the first list from discovery before it becomes ready with the list from its
/// configuration. A backend on that one may be draining or removed by now.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the size of the pool is published. Readers of the metrics need it to be at most half a second
/// old.
const POOL_METRICS_INTERVAL: Duration = Duration::from_millis(200);
/// How often idle connections are checked for expiry.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts since the start, for the log.
#[derive(Default)]
struct RequestCounts {
    arrived: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    disconnected: u64,
    attempts: u64,
    /// Ended attempts, by outcome.
    outcomes: [u64; 8],
}

/// A timer of the balancer. Ordered by due time; timers that are due at the same time are ordered as they
/// were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Duration,
    sequence: u64,
    token: u64,
}

/// The balancer with its timers, its open requests and its connections.
pub struct Node {
    balancer: Balancer,
    clock: Clock,
    backends: Rc<BackendClient>,
    events: mpsc::UnboundedSender<NodeEvent>,
    open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
    /// Whether there is a backend to send to according to a list newer than that of the configuration, or the
    /// wait for such a list is over.
    ready: Rc<Cell<bool>>,
    list_version: ListVersion,
    counts: RequestCounts,
    /// Whether the cluster was removed, so that no further request arrives.
    is_removed: bool,
    /// The admission gate, on a node that runs from an operator's file.
    gate: Option<AdmissionGate>,
    /// The metrics in which the size of the pool is published.
    metrics: Option<Rc<NodeMetrics>>,
    /// Passes on requests for the list, where it is not pushed.
    list_requests: Option<Rc<ListRequests>>,
    stalls: Rc<StallDetector>,
    /// Requests that arrived while the node was catching up after a stall of the process.
    delayed: Vec<Arrival>,
}

impl Node {
    /// A node without backends. `events` is the channel of its own [`Self::run`].
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        backends: Rc<BackendClient>,
        events: mpsc::UnboundedSender<NodeEvent>,
        ready: Rc<Cell<bool>>,
        stalls: Rc<StallDetector>,
    ) -> Self {
        Node {
            balancer,
            clock,
            is_removed: false,
            backends,
            events,
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            ready,
            list_version: ListVersion::default(),
            counts: RequestCounts::default(),
            gate: None,
            metrics: None,
            list_requests: None,
            stalls,
            delayed: Vec::new(),
        }
    }

    /// Sets where the list is requested when the balancer needs it.
    pub fn with_list_requests(mut self, list_requests: Option<Rc<ListRequests>>) -> Self {
        self.list_requests = list_requests;
        self
    }

    /// Sets the metrics in which the size of the pool is published.
    pub fn with_metrics(mut self, metrics: Rc<NodeMetrics>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Puts an admission gate with this list of backends in front of the balancer.
    pub fn with_gate(mut self, mut gate: AdmissionGate, endpoints: &[admission_control::Endpoint]) -> Self {
        gate.set_endpoints(self.clock.now(), endpoints);
        self.gate = Some(gate);
        self
    }

    /// Runs until no sender of events is left, or the cluster was removed and all its requests are answered.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<NodeEvent>,
        mut updates: mpsc::Receiver<EndpointUpdate>,
        initial: Option<EndpointUpdate>,
    ) {
        let mut has_initial = false;
        if let Some(initial) = initial {
            has_initial = !initial.endpoints.is_empty();
            self.apply_update(initial);
            self.run_gate();
        }
        let mut first_list_timeout = pin!(sleep(FIRST_LIST_TIMEOUT));
        let mut log = tokio::time::interval(LOG_INTERVAL);
        let mut prune = tokio::time::interval(PRUNE_INTERVAL);
        let mut pool_metrics = tokio::time::interval(POOL_METRICS_INTERVAL);
        loop {
            // After a stall, all input that arrived in the meantime is handled first: disconnects, lists,
            // responses. Only then do due timers fire and new requests start.
            let is_catching_up = self.stalls.is_catching_up();
            if !is_catching_up {
                self.fire_timers();
                self.run_gate();
                for arrival in std::mem::take(&mut self.delayed) {
                    self.arrive(arrival);
                }
            }
            if self.is_finished() {
                return;
            }
            let due = self.next_deadline();
            tokio::select! {
                biased;
                Some(update) = updates.recv() => self.apply_update(update),
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = self.stalls.wait_until_caught_up(), if is_catching_up => {}
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() && !is_catching_up => {}
                () = &mut first_list_timeout, if has_initial && !self.ready.get() => self.ready.set(true),
                _ = prune.tick() => self.backends.prune_idle(),
                _ = log.tick() => self.log_counts(),
                _ = pool_metrics.tick(), if self.metrics.is_some() => self.publish_pool_metrics(),
            }
        }
    }

    /// Whether the cluster was removed and all its requests are answered.
    fn is_finished(&self) -> bool {
        self.is_removed
            && self.open.is_empty()
            && self.delayed.is_empty()
            && self.gate.as_ref().is_none_or(AdmissionGate::is_empty)
    }

    /// When the next timer of the balancer or of the gate is due.
    fn next_deadline(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse(timer)| timer.due);
        let tick = self.gate.as_ref().and_then(AdmissionGate::next_tick);
        timer.into_iter().chain(tick).min().map(|due| self.clock.instant(due))
    }

    fn publish_pool_metrics(&self) {
        if let Some(metrics) = &self.metrics {
            let pool = self.balancer.pool();
            metrics.pool_size.set(pool.listed);
            metrics.pool_ejected.set(pool.ejected);
        }
    }

    /// Applies a list. One that is older than the last is ignored here, as the balancer ignores it: otherwise
    /// the connections would be to other backends than those that the balancer knows.
    fn apply_update(&mut self, update: EndpointUpdate) {
        if update.kind == ListKind::Failed {
            let (kind, version, entries) = (update.kind, update.version.0, Vec::new());
            return self.notify(Event::List { kind, version, entries });
        }
        if update.version < self.list_version {
            return warn!(
                "discovery: list version {} ignored: older than the current version {}",
                update.version, self.list_version
            );
        }
        self.list_version = update.version;
        self.backends.apply_update(&update);
        if update.kind != ListKind::Cached && self.backends.has_endpoints() {
            self.ready.set(true);
        }
        let entries = update.endpoints.into_iter().map(|listed| listed.entry).collect();
        self.notify(Event::List { kind: update.kind, version: update.version.0, entries });
    }

    /// Fires the timers that are due. None may fire early: the balancer would ignore it and then wait
    /// forever.
    fn fire_timers(&mut self) {
        while let Some(Reverse(timer)) =
            self.timers.peek().filter(|Reverse(timer)| timer.due <= self.clock.now()).copied()
        {
            self.timers.pop();
            self.notify(Event::Timer { token: timer.token });
        }
    }

    fn handle_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Arrived(arrival) => {
                self.counts.arrived += 1;
                if self.stalls.is_catching_up() {
                    self.stalls.record_delayed_request();
                    self.delayed.push(arrival);
                } else {
                    self.arrive(arrival);
                }
            }
            NodeEvent::ClusterChanged(change) => self.apply_cluster_change(*change),
            NodeEvent::SettingsChanged(settings) => self.balancer.reconfigure(*settings),
            NodeEvent::ClusterRemoved => self.is_removed = true,
            NodeEvent::ShuttingDown(within) => self.notify(Event::Ending { within }),
            NodeEvent::ClientDisconnected(id) => self.client_disconnected(id),
            NodeEvent::UploadStreaming(id) => self.notify(Event::BodyConsumed { id }),
            NodeEvent::UploadFinished(id) => {
                if let Some(open) = self.open.get_mut(&id) {
                    // The durations that are reported to the balancer exclude the time in which the body
                    // arrived.
                    open.attempts.iter_mut().for_each(|attempt| attempt.sent_at = Instant::now());
                    let remaining = open.remaining;
                    self.notify(Event::Uploaded { id, remaining });
                }
            }
            NodeEvent::AttemptEnded { id, attempt, result } => self.attempt_ended(id, attempt, result),
            NodeEvent::HealthCheckEnded { backend, elapsed, result } => {
                let AttemptResult { outcome, load_report, .. } = result;
                self.notify(Event::Probed(ProbeEnd {
                    server: backend,
                    outcome,
                    elapsed,
                    report: load_report,
                }));
            }
        }
    }

    fn apply_cluster_change(&mut self, change: ClusterChange) {
        let ClusterChange { settings, update, gate: gate_settings, stream_grace, gate_endpoints } = change;
        self.balancer.reconfigure(settings);
        self.backends.set_stream_grace(stream_grace);
        self.apply_update(update);
        if let Some(gate) = &mut self.gate {
            let now = self.clock.now();
            gate.set_endpoints(now, &gate_endpoints);
            gate.reconfigure(now, gate_settings);
        }
    }

    /// Removes the request of a client that has disconnected: one that is delayed, queued at the gate, or
    /// open.
    fn client_disconnected(&mut self, id: RequestId) {
        let now = self.clock.now();
        if let Some(index) = self.delayed.iter().position(|arrival| arrival.request.id == id) {
            self.delayed.swap_remove(index);
            self.counts.disconnected += 1;
        } else if self.gate.as_mut().is_some_and(|gate| gate.remove_waiting(now, id)) {
            self.counts.disconnected += 1;
        } else if let Some(response) = self.open.get_mut(&id).and_then(|open| open.response.take()) {
            drop(response);
            self.counts.disconnected += 1;
            self.notify(Event::ClientGone { id });
            self.remove_if_finished(id);
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let now = self.clock.now();
        let outcome = match &mut self.gate {
            Some(gate) => gate.arrive(now, arrival),
            None => Some(GateOutcome::Admitted(arrival)),
        };
        self.apply_gate_outcome(outcome);
    }

    fn apply_gate_outcome(&mut self, outcome: Option<GateOutcome>) {
        match outcome {
            Some(GateOutcome::Admitted(arrival)) => self.start(arrival),
            Some(GateOutcome::Rejected) => self.counts.rejected += 1,
            None => {}
        }
    }

    /// Passes a request to the balancer, with the time that its client has left.
    fn start(&mut self, arrival: Arrival) {
        let (id, mut request) = (arrival.request.id, arrival.request);
        request.remaining = request.remaining.saturating_sub(arrival.arrived_at.elapsed());
        let (payload, response) = (arrival.payload, Some(arrival.response));
        let open = OpenRequest {
            payload,
            response,
            attempts: Vec::new(),
            abandoned: false,
            remaining: request.remaining,
            repeat: arrival.repeat,
            error_response: None,
        };
        self.open.insert(id, open);
        self.notify(match arrival.upload_timeout {
            None => Event::Request(request),
            Some(within) => Event::Upload { request, within },
        });
    }

    /// Passes changed limits of the gate to the balancer and starts or rejects requests that have left its
    /// queue, until the gate has no more changes.
    fn run_gate(&mut self) {
        loop {
            let now = self.clock.now();
            let Some(gate) = &mut self.gate else { return };
            gate.tick(now);
            let (events, dequeued) = (gate.take_events(now), gate.take_dequeued());
            if events.is_empty() && dequeued.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.notify(event));
            dequeued.into_iter().for_each(|outcome| self.apply_gate_outcome(Some(outcome)));
        }
    }

    /// Handles the end of an attempt. Results that arrive after its cancellation are ignored: each attempt
    /// ends once.
    fn attempt_ended(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt_count = open.attempts.len() as u32;
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        if attempt.task.take().is_none() {
            return;
        }
        let AttemptResult { outcome, load_report, mut response } = result;
        if let Some(response) = &mut response {
            response.attempts = attempt_count;
        }
        attempt.timed_out = outcome == Outcome::TimedOut;
        attempt.outcome = Some(outcome);
        // The time in which this process was stalled says nothing about the backend.
        let stalled = self.stalls.stalled_since(attempt.sent_at);
        let (server, elapsed) = (attempt.backend, attempt.sent_at.elapsed().saturating_sub(stalled));
        if outcome != Outcome::Served {
            debug!("attempt {number} of {id:?} at {server:?}: {outcome:?} after {elapsed:?}");
        }
        let (served, error_response) = match outcome {
            Outcome::Served => (response, None),
            _ => (None, response),
        };
        open.error_response = error_response;
        if let Some(served) = served
            && let Some(response) = open.response.take()
        {
            self.counts.served += 1;
            response.send(FinalResponse::Served(served));
        }
        let finished = open.response.is_none();
        self.counts.outcomes[outcome as usize] += 1;
        let now = self.clock.now();
        if let Some(gate) = &mut self.gate {
            gate.attempt_ended(now, id, server, outcome, elapsed);
        }
        let attempt = number;
        let report = load_report;
        self.notify(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.remove_if_finished(id);
    }

    /// Removes a request if it has its response and no attempt is in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |open: &OpenRequest| open.response.is_none() && !open.has_attempt_in_flight();
        if self.open.get(&id).is_some_and(is_finished) {
            self.open.remove(&id);
            let now = self.clock.now();
            if let Some(gate) = &mut self.gate {
                gate.request_finished(now, id);
            }
        }
    }

    /// Passes an event to the balancer and carries out its actions, and then does the same for the events
    /// that these actions cause immediately.
    fn notify(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let ended = if let Event::AttemptEnded(end) = &event { Some(end.id) } else { None };
            let now = self.clock.now();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, now, &mut events);
            }
            if let Some(id) = ended {
                self.remove_if_finished(id);
            }
        }
    }

    /// Carries out one action. `now` is the time at which the event was passed to the balancer.
    fn perform(&mut self, action: Action, now: Duration, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, server, timeout } => self.start_attempt(id, server, timeout, now, events),
            Action::Refuse { id, .. } | Action::Fail { id } if self.send_error_response(id) => {
                self.remove_if_finished(id);
            }
            Action::Refuse { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.fail(id),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt, now, events),
            Action::SetTimer { after, token } => {
                self.timers_set += 1;
                let due = self.clock.now() + after;
                self.timers.push(Reverse(Timer { due, sequence: self.timers_set, token }));
            }
            Action::Probe { server } => self.check_health(server),
            Action::CloseIdle { server } => self.backends.close_idle(server),
            Action::Log { text } => info!("balancer: {text}"),
            // Opening a watch serves both actions: it brings the complete list where one is needed.
            Action::Subscribe { on: true } | Action::FetchList => {
                if let Some(list_requests) = &self.list_requests {
                    list_requests.request();
                }
            }
            // This node exchanges no messages with other nodes.
            Action::Subscribe { on: false } | Action::Tell { .. } => {
                debug!("action not supported by this node: {action:?}")
            }
        }
    }

    fn start_attempt(
        &mut self,
        id: RequestId,
        backend: ServerId,
        timeout: Duration,
        now: Duration,
        events: &mut VecDeque<Event>,
    ) {
        if let Some(open) = self.open.get_mut(&id) {
            if let Some(gate) = &mut self.gate {
                let is_first = open.attempts.is_empty();
                let kind = if is_first { AttemptKind::First } else { AttemptKind::Additional };
                gate.attempt_sent(now, backend, kind);
            }
            start_attempt(open, &self.backends, &self.events, (id, backend, timeout), events);
        }
        self.counts.attempts += 1;
    }

    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>) {
        if let Some(response) = abandon(&mut self.open, id) {
            self.counts.rejected += 1;
            response.send(FinalResponse::Rejected { retry_after, fallback: false });
        }
        self.remove_if_finished(id);
    }

    fn fail(&mut self, id: RequestId) {
        let is_too_slow = |attempt: &Attempt| attempt.timed_out || attempt.task.is_some();
        let timed_out = self.open.get(&id).is_some_and(|open| open.attempts.iter().any(is_too_slow));
        if let Some(response) = abandon(&mut self.open, id) {
            self.counts.failed += 1;
            response.send(FinalResponse::Failed { timed_out });
        }
        self.remove_if_finished(id);
    }

    fn cancel_attempt(&mut self, id: RequestId, number: u32, now: Duration, events: &mut VecDeque<Event>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        let Some(task) = attempt.task.take() else { return };
        task.abort();
        let outcome = Outcome::Cancelled;
        attempt.outcome = Some(outcome);
        self.counts.outcomes[outcome as usize] += 1;
        if let Some(gate) = &mut self.gate {
            let outcome = if open.abandoned { Outcome::TimedOut } else { outcome };
            gate.attempt_ended(now, id, attempt.backend, outcome, attempt.sent_at.elapsed());
        }
        events.push_back(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: number,
            server: attempt.backend,
            outcome,
            elapsed: attempt.sent_at.elapsed(),
            finished: open.response.is_none(),
            report: None,
        }));
    }

    fn check_health(&self, backend: ServerId) {
        let (backends, events) = (self.backends.clone(), self.events.clone());
        spawn_local(async move {
            let started = Instant::now();
            let result = backends.check_health(backend).await;
            let elapsed = started.elapsed();
            let _ = events.send(NodeEvent::HealthCheckEnded { backend, elapsed, result });
        });
    }

    /// Sends the client the error response of the last attempt, if there is one and no attempt is in flight.
    /// Returns whether it was sent.
    fn send_error_response(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if open.has_attempt_in_flight() || open.response.is_none() {
            return false;
        }
        let Some(mut error_response) = open.error_response.take() else { return false };
        let Some(response) = open.response.take() else { return false };
        let may_have_been_executed =
            open.attempts.iter().any(|a| a.outcome.is_some_and(|outcome| !outcome.never_ran()));
        let execution = if may_have_been_executed { Execution::Possible } else { Execution::RuledOut };
        if local_response(error_response.status.as_u16(), open.repeat, execution) == LocalResponse::BadGateway
        {
            error_response.status = StatusCode::BAD_GATEWAY;
            error_response.headers.remove(header::RETRY_AFTER);
        }
        open.abandoned = true;
        match error_response.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => self.counts.rejected += 1,
            _ => self.counts.failed += 1,
        }
        response.send(FinalResponse::BackendError(error_response));
        true
    }

    fn log_counts(&self) {
        let (counts, connections) = (&self.counts, &self.backends.counters);
        let [served, error, rejected, timed_out, connect_failed, reset, cancelled, not_sent] =
            counts.outcomes;
        info!(
            "requests received {} served {} rejected {} failed {} disconnected {} open {} | \
             attempts {} served {served} error {error} \
             rejected {rejected} timed_out {timed_out} connect_failed {connect_failed} reset {reset} \
             cancelled {cancelled} not_sent {not_sent} | connections {} opened {} failed {} stale {}",
            counts.arrived,
            counts.served,
            counts.rejected,
            counts.failed,
            counts.disconnected,
            self.open.len(),
            counts.attempts,
            self.backends.open_connections(),
            connections.opened.get(),
            connections.failed.get(),
            connections.stale.get(),
        );
        if let Some(gate) = &self.gate {
            info!("{}", gate.summary());
        }
    }
}
