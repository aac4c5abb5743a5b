//! A test harness around the balancer of one node. It passes valid events to the balancer, executes the actions,
//! and checks the four rules with its own bookkeeping.
#![allow(dead_code)] // each test file uses its own part of this

pub mod stream_text;

use join_up_to::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready server that is not in slow start. Servers are in zone and cell `number % 3`.
pub fn entry(number: u64) -> ServerEntry {
    let (zone, cell) = ((number % 3) as u8, (number % 3) as u16);
    ServerEntry {
        id: ServerId(number),
        zone,
        cell,
        state: ServerState::Ready,
        weight: 1.0,
        ..Default::default()
    }
}

pub fn class(repeat: Repeat) -> Class {
    Class {
        latency_target: ms(400),
        latency_target_stretch: 0.0,
        deadline: ms(1000),
        value: 1.0,
        late_value: 0.0,
        repeat,
        streamed: false,
        attempt_policy: AttemptPolicy::default(),
    }
}

/// Three nodes; class 0 is safe, 1 unsafe, 2 keyed by zone, 3 keyed by cell, 4 keyed over all servers.
pub fn settings() -> Settings {
    let keyed = |scope| Repeat::Keyed { scope, window: ms(300) };
    let repeats = [Repeat::Safe, Repeat::Unsafe, keyed(Scope::Zone), keyed(Scope::Cell), keyed(Scope::All)];
    let mut settings = Settings { nodes: 3, classes: repeats.map(class).to_vec(), ..Settings::default() };
    settings.limits.cancel = true;
    settings.limits.parallel_attempts = true;
    settings
}

pub fn reports_from_probes() -> Settings {
    let mut settings = settings();
    settings.reports = ReportSource::Probes;
    settings.limits.probes = true;
    settings.prices.probe = 0.002;
    settings
}

pub fn reports_in_responses() -> Settings {
    Settings { reports: ReportSource::Answers, ..settings() }
}

pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Makes a request that is served after 20 ms with a load report. Returns the server.
pub fn serve(harness: &mut Harness, load: f32) -> u64 {
    let (id, actions) = harness.request(0);
    let to = sent_to(&actions);
    assert_eq!(to.len(), 1, "a request is sent at once while servers have capacity: {actions:?}");
    harness.advance(ms(20));
    harness.end_attempt(id, 0, Outcome::Served, Some(load));
    to[0]
}

/// Runs `count` requests of 30 ms, with the outcome of attempts by server. Returns the number of attempts by
/// server.
pub fn play(
    harness: &mut Harness,
    count: usize,
    outcome_at: impl Fn(u64) -> Outcome,
) -> BTreeMap<u64, usize> {
    let mut used = BTreeMap::new();
    for _ in 0..count {
        harness.request(1);
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            let server = harness.server_of(id, attempt).0;
            *used.entry(server).or_insert(0) += 1;
            harness.end_attempt(id, attempt, outcome_at(server), Some(0.0));
        }
    }
    used
}

struct SentAttempt {
    server: ServerId,
    sent: Duration,
    ends_at: Duration,
    outcome: Option<Outcome>,
}

struct TrackedRequest {
    /// The class as it was when the request arrived.
    class: Class,
    deadline: Duration,
    has_response: bool,
    attempts: Vec<SentAttempt>,
}

/// A node with its servers, clients and clock. Panics if an action violates a rule.
pub struct Harness {
    pub now: Duration,
    pub settings: Settings,
    pub balancer: Balancer,
    /// All actions so far, in order.
    pub log: Vec<Action>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: BTreeMap<(Duration, usize), u64>,
    timers_set: usize,
    /// The last list entry of each server, and since when it has been listed as draining or gone.
    listed: BTreeMap<ServerId, (ServerEntry, Option<Duration>)>,
    probes: Vec<(ServerId, Duration)>,
    next_id: u64,
    /// The version of the last list.
    pub version: u32,
    /// The FNV-1a hash of the debug text of all events and actions so far, in order.
    pub stream: u64,
    /// The same events and actions as `stream_text`, one per line; `None` if not recorded.
    pub transcript: Option<String>,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        Harness {
            now: ms(100_000),
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            log: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            listed: BTreeMap::new(),
            probes: Vec::new(),
            next_id: 1,
            version: 0,
            stream: 0xcbf2_9ce4_8422_2325,
            transcript: None,
        }
    }

    /// A harness whose node has a list of `count` ready servers, numbered from 0.
    pub fn with_servers(settings: Settings, count: u64) -> Self {
        let mut harness = Harness::new(settings);
        harness.list(ListKind::Full, (0..count).map(entry).collect());
        harness
    }

    /// Passes an event to the node, checks and executes its actions, and returns them.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let text = format!("{:?} {event:?}", self.now);
        let event_text = self.transcript.as_ref().map(|_| stream_text::event(&event));
        self.balancer.handle(self.now, event, &mut actions);
        for byte in format!("{text} {actions:?}").bytes() {
            self.stream = (self.stream ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        if let (Some(transcript), Some(event)) = (&mut self.transcript, event_text) {
            *transcript += &format!("{} {event}\n", stream_text::time(self.now));
            actions
                .iter()
                .for_each(|action| *transcript += &format!("    {}\n", stream_text::action(action)));
        }
        actions.iter().for_each(|action| self.execute(action));
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        let now = self.now;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.listed.values_mut().for_each(|(_, stop)| *stop = stop.or(Some(now)));
        }
        for entry in &entries {
            let since = self.listed.get(&entry.id).and_then(|(_, stop)| *stop).unwrap_or(now);
            let stop = (entry.state != ServerState::Ready).then_some(since);
            self.listed.insert(entry.id, (*entry, stop));
        }
        self.version += u32::from(kind != ListKind::Failed);
        self.handle(Event::List { kind, version: self.version, entries })
    }

    /// Replaces the node's settings. Requests in flight are checked against the settings with which they
    /// arrived.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.balancer.reconfigure(settings.clone());
        self.settings = settings;
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 0, ms(1000), None)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        tenant: usize,
        remaining: Duration,
        cost: Option<Duration>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + remaining;
        let policy = self.settings.classes[class].clone();
        self.requests.insert(
            id,
            TrackedRequest { class: policy, deadline, has_response: false, attempts: Vec::new() },
        );
        let new = NewRequest { id, class, tenant, key: 0, remaining, cost, client_retry: false };
        (id, self.handle(Event::Request(new)))
    }

    /// Ends an attempt that is in flight.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load: Option<f32>,
    ) -> Vec<Action> {
        let tracked = self.requests.get_mut(&id).expect("a request");
        let one = &mut tracked.attempts[attempt];
        assert!(one.outcome.is_none(), "the test ends an attempt twice");
        one.outcome = Some(outcome);
        let (server, elapsed) = (one.server, self.now - one.sent);
        tracked.has_response |= outcome == Outcome::Served;
        let finished = tracked.has_response;
        let report = load.map(|load| LoadReport { in_flight: Some(load), ..LoadReport::default() });
        let attempt = attempt as u32;
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            finished,
            report,
        }))
    }

    /// Ends the oldest probe in flight; without a load, it has timed out.
    pub fn end_probe(&mut self, load: Option<f32>) -> Option<ServerId> {
        let (server, sent) = (!self.probes.is_empty()).then(|| self.probes.remove(0))?;
        let outcome = if load.is_some() { Outcome::Served } else { Outcome::TimedOut };
        let report = load.map(|load| LoadReport { in_flight: Some(load), ..LoadReport::default() });
        self.handle(Event::Probed(ProbeEnd { server, outcome, elapsed: self.now - sent, report }));
        Some(server)
    }

    /// Ends all probes: servers in `idle` report that they are idle, the others that they are busy.
    pub fn complete_probes(&mut self, idle: &[u64]) {
        while let Some((server, _)) = self.probes.first() {
            let load = if idle.contains(&server.0) { 0.0 } else { 2.0 };
            self.end_probe(Some(load));
        }
    }

    pub fn client_disconnects(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("a request").has_response = true;
        self.handle(Event::ClientGone { id });
    }

    /// Advances the clock: timers fire, and attempts and probes time out.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.tick).min(end);
            while let Some((&due, _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= self.now) {
                let token = self.timers.remove(&due).expect("a timer");
                self.handle(Event::Timer { token });
            }
            for (id, attempt) in self.attempts_in_flight() {
                let one = &self.requests[&id].attempts[attempt];
                if one.outcome.is_none() && one.ends_at <= self.now {
                    self.end_attempt(id, attempt, Outcome::TimedOut, None);
                }
            }
            while self.probes.first().is_some_and(|(_, sent)| self.now >= *sent + ms(250)) {
                self.end_probe(None);
            }
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.has_response || self.now <= tracked.deadline + ms(5),
                    "rule 1: {id:?} has no final response"
                );
            }
        }
    }

    /// The attempts in flight.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts =
            self.requests.iter().flat_map(|(id, t)| t.attempts.iter().enumerate().map(|(i, t)| (*id, i, t)));
        attempts.filter(|(_, _, t)| t.outcome.is_none()).map(|(id, i, _)| (id, i)).collect()
    }

    /// The time since the first attempt of a request was sent.
    pub fn time_since_first_send(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].attempts[0].sent
    }

    pub fn has_response(&self, id: RequestId) -> bool {
        self.requests[&id].has_response
    }

    pub fn server_of(&self, id: RequestId, attempt: usize) -> ServerId {
        self.requests[&id].attempts[attempt].server
    }

    /// The requests without final response.
    pub fn open_requests(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, t)| !t.has_response).map(|(id, _)| *id).collect()
    }

    fn execute(&mut self, action: &Action) {
        match action {
            Action::Send { id, server, timeout } => self.check_send(*id, *server, *timeout),
            Action::Refuse { id, .. } => {
                let tracked = self.requests.get_mut(id).expect("rule 1: rejects an unknown request");
                assert!(!tracked.has_response, "rule 1: a second final response for {id:?}");
                let ran = tracked.attempts.iter().any(|t| !t.outcome.is_some_and(proves_not_executed));
                let allowed = match tracked.class.repeat {
                    Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. } => true,
                    _ => !ran,
                };
                assert!(allowed, "rule 2: {id:?} may have been executed and is rejected");
                tracked.has_response = true;
            }
            Action::Fail { id } => {
                let tracked = self.requests.get_mut(id).expect("rule 1: fails an unknown request");
                assert!(!tracked.has_response, "rule 1: a second final response for {id:?}");
                tracked.has_response = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancel, "cancels an attempt although that is not permitted");
                let one = &mut self.requests.get_mut(id).expect("a request").attempts[*attempt as usize];
                one.ends_at = self.now; // its outcome follows when time advances
            }
            Action::SetTimer { after, token } => {
                // Never in the batch of events that is being handled.
                let due = (self.now + *after).max(self.now + Duration::from_nanos(1));
                self.timers_set += 1;
                self.timers.insert((due, self.timers_set), *token);
            }
            Action::Probe { server } => {
                assert!(self.settings.limits.probes, "probes although that is not permitted");
                self.probes.push((*server, self.now));
            }
            Action::Subscribe { .. } | Action::FetchList => {}
            other => panic!("unexpected action {other:?}"),
        }
    }

    fn check_send(&mut self, id: RequestId, to: ServerId, timeout: Duration) {
        let tracked = self.requests.get_mut(&id).expect("rule 1: sends an unknown request");
        assert!(!tracked.has_response, "rule 1: {id:?} is sent after its final response");
        let (entry, stop) = self.listed.get(&to).expect("sends to a server that was never listed");
        let grace = self.settings.rules.drain_grace;
        assert!(
            stop.is_none_or(|at| self.now <= at.saturating_add(grace)),
            "rule 3: {to:?} is draining or gone"
        );
        let (limits, policy) = (&self.settings.limits, &tracked.class.attempt_policy);
        let most = policy.max_attempts.unwrap_or(limits.max_attempts);
        assert!(tracked.attempts.len() < most as usize, "too many attempts");
        let out = tracked.attempts.iter().filter(|t| t.outcome.is_none()).count();
        match policy.hedging {
            Hedging::Automatic => assert!(out == 0 || limits.parallel_attempts, "two attempts at once"),
            Hedging::Never => assert!(out == 0, "a hedged attempt although hedging is off"),
            Hedging::After { delay, max_per_request: most, .. } => {
                assert!(out <= most as usize, "more hedged attempts at once than allowed");
                let last = tracked.attempts.last().filter(|t| t.outcome.is_none());
                assert!(last.is_none_or(|t| self.now >= t.sent + delay), "a hedged attempt too soon");
            }
        }
        if out == 0 {
            let ended = |t: &SentAttempt| t.outcome.is_none_or(|outcome| policy.retry_on.allows(outcome));
            assert!(tracked.attempts.iter().all(ended), "a retry after an outcome that does not allow it");
        }
        assert!(
            timeout <= policy.attempt_timeout.unwrap_or(timeout),
            "exceeds the attempt timeout of the class"
        );
        let ran = tracked.attempts.iter().find(|t| !t.outcome.is_some_and(proves_not_executed));
        if let Some(first) = ran {
            let home = &self.listed[&first.server].0;
            let allowed = match tracked.class.repeat {
                Repeat::Safe => true,
                Repeat::Unsafe => false,
                Repeat::Keyed { scope, window } => {
                    let group = match scope {
                        Scope::All => true,
                        Scope::Zone => home.zone == entry.zone,
                        Scope::Cell => home.cell == entry.cell,
                    };
                    group && self.now <= first.sent.saturating_add(window)
                }
            };
            assert!(allowed, "rule 2: {id:?} may have been executed and is sent to {to:?}");
        }
        let ends_at = (self.now + timeout).min(tracked.deadline);
        tracked.attempts.push(SentAttempt { server: to, sent: self.now, ends_at, outcome: None });
    }
}

/// Whether the rules accept an outcome as proof that the request was not executed.
fn proves_not_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
