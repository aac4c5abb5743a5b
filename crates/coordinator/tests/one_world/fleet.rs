//! Simulated coordinators around the replicas, with agents and nodes and the messages between them.

mod backend_caches;
mod endpoint_lists;
mod index_audits;
mod platform;

use super::frontend::{Frontend, QUOTA_SETTINGS, RATE, max_admitted_in_window, tenant};
use super::simulation::ms;
use super::simulation::schedule::{STEP, Schedule};
pub use endpoint_lists::ListCounts;

use agent::{COORDINATOR_TIMEOUT, Effect, LinkId, POLL_INTERVAL};
use backend_caches::BackendCaches;
use control_protocol::{ConfigurationSequence, CoreMember, FromAgent, FromProxy, ToAgent, ToProxy};
use coordinator::agents::{
    AgentConnectionId, ConfigurationRequestId, PendingConfigurationRequests, ReadIndexTicket,
};
use coordinator::membership::{RoleStatus, members_in_order};
use coordinator::quotas::Quotas;
use endpoint_lists::{CoordinatorList, ListChecks};
use index_audits::{AuditRun, ReportedMismatch};
use node_settings::Bounds;
use platform::Platform;
pub use platform::PlatformFault;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use replication::{RequestId, RequestOutcome, Sequence, ViewNumber};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The pause before an agent opens another link after one has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The pause before a failed read index is retried.
const READ_INDEX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often the role of a replica is published to the other components of its coordinator.
const ROLE_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the last fault the core has recovered, also from overlapping losses.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// How long a committed change may take to reach all agents while there are no faults.
const DISTRIBUTED_WITHIN: Duration = Duration::from_secs(2);
/// The rate of faults of frontends, over all frontends.
const FRONTEND_FAULTS_PER_S: f64 = 0.8;

/// A deliberate fault of the coordinators or agents, to prove that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A coordinator sends a configuration without a confirmed read index.
    SendsUnconfirmed,
    /// A quota allocator continues to grant after its coordinator has stopped being the acting head.
    GrantsForEver,
    /// A read gets its version when it ends, no matter how long ago it saw the list.
    VersionsAtEndOfRead,
    /// Agents don't report their list versions to coordinators.
    HidesVersions,
    /// Coordinators without quorum contact don't read the list.
    ReadsWithMajorityOnly,
    /// Backends' responses to the audit have the content of another backend, so that the audit finds false
    /// mismatches.
    CorrectsWrongBackend,
}

/// The components of a coordinator other than its replica, for one run of its process.
struct Coordinator {
    life: u64,
    requests: PendingConfigurationRequests,
    read_index: Option<PendingReadIndex>,
    read_index_retry_at: Duration,
    available: u64,
    view: ViewNumber,
    has_quorum_contact: bool,
    quotas: Quotas,
    role_published_at: Duration,
    list: CoordinatorList,
    audit: Option<AuditRun>,
}

impl Coordinator {
    fn start(life: u64, address: SocketAddrV4, now: Duration) -> Self {
        let bounds = Bounds {
            quota_window_s: QUOTA_SETTINGS.window_s,
            quota_over: QUOTA_SETTINGS.overuse_ratio,
            quota_slack: QUOTA_SETTINGS.token_slack,
            ..Bounds::default()
        };
        Coordinator {
            life,
            requests: PendingConfigurationRequests::default(),
            read_index: None,
            read_index_retry_at: Duration::ZERO,
            available: 0,
            view: ViewNumber::NONE,
            has_quorum_contact: false,
            quotas: Quotas::new(&bounds, policy::Limits::default()),
            role_published_at: Duration::ZERO,
            list: CoordinatorList::new(address, now),
            audit: None,
        }
    }
}

/// A read index in progress.
#[derive(Clone, Copy)]
struct PendingReadIndex {
    call: RequestId,
    ticket: ReadIndexTicket,
}

/// A connection of an agent to a coordinator's process.
#[derive(Clone, Copy)]
struct Link {
    frontend: usize,
    machine: usize,
    life: u64,
    /// When the agent last received anything on this link, heartbeats included.
    last_received: Duration,
}

enum Message {
    ToCoordinator(u64, FromAgent),
    ToAgent(u64, ToAgent),
    BetweenCoordinators(endpoint_lists::PeerMessage),
}

/// The direction of a message on a link.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    ToCoordinator,
    ToAgent,
}

/// The sort key of messages in transit: the time of arrival, then the order in which they were sent.
type Arrival = (Duration, u64);

pub struct Fleet {
    pub schedule: Schedule,
    coordinators: Vec<Coordinator>,
    frontends: Vec<Frontend>,
    links: BTreeMap<u64, Link>,
    last_link_id: u64,
    reconnect_at: BTreeMap<(usize, usize), Duration>,
    /// The messages in transit, in the order in which they arrive.
    in_transit: BTreeMap<Arrival, Message>,
    messages_sent: u64,
    /// When the last message in each direction of a link arrives. Each connection delivers in order; there is
    /// no order between connections.
    last_arrival: BTreeMap<(u64, Direction), Duration>,
    platform: Platform,
    lists: ListChecks,
    caches: BackendCaches,
    reported: Vec<ReportedMismatch>,
    /// How many requests were admitted, and when, within the last window.
    admitted: VecDeque<(Duration, usize)>,
    /// The ratio of arriving requests to the tenant's rate limit.
    load_factor: f64,
    random: Pcg64Mcg,
    fault: Option<PlantedFault>,
    violation: Option<String>,
}

impl Fleet {
    pub fn new(schedule: Schedule, frontends: usize, fault: Option<PlantedFault>) -> Self {
        let now = schedule.world.now;
        let seed: u64 = schedule.world.random.clone().random();
        Fleet {
            schedule,
            coordinators: Vec::new(),
            frontends: (0..frontends).map(|_| Frontend::start(now)).collect(),
            links: BTreeMap::new(),
            last_link_id: 0,
            reconnect_at: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            messages_sent: 0,
            last_arrival: BTreeMap::new(),
            platform: Platform::new(seed, now),
            lists: ListChecks::new(frontends),
            caches: BackendCaches::default(),
            reported: Vec::new(),
            admitted: VecDeque::new(),
            load_factor: 1.5,
            random: Pcg64Mcg::seed_from_u64(seed),
            fault,
            violation: None,
        }
    }

    fn now(&self) -> Duration {
        self.schedule.world.now
    }

    /// The first invariant that was violated, if any.
    pub fn violation(&self) -> Option<String> {
        self.violation.clone().or_else(|| self.schedule.world.checker.violation.clone())
    }

    pub fn configuration_of(&self, frontend: usize) -> u64 {
        self.frontends[frontend].agent.configuration_sequence().number()
    }

    /// Sets the ratio of arriving requests to the tenant's rate limit.
    pub fn set_load_factor(&mut self, load_factor: f64) {
        self.load_factor = load_factor;
    }

    /// Runs with random faults of the core, the frontends and the platform.
    pub fn run_with_faults(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end && self.violation().is_none() {
            self.schedule.step(true);
            self.inject_frontend_fault();
            self.inject_platform_fault();
            self.step();
        }
    }

    /// Runs without injecting faults and without operators' changes. The platform's backends still change.
    pub fn run_without_faults(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end && self.violation().is_none() {
            let next = self.now() + STEP;
            self.schedule.world.run_until(next);
            self.step();
        }
    }

    /// Ends all faults and waits for recovery. Then checks that every agent has the newest configuration, the
    /// platform's list and a correct index.
    pub fn recover_and_check(&mut self) {
        self.heal_frontend_partitions();
        self.platform.heal();
        self.stop_losing_blocks();
        while !self.schedule.are_failures_over() && self.violation().is_none() {
            self.schedule.step(false);
            self.step();
        }
        let end = self.now() + RECOVERY_TIME;
        while self.now() < end && self.violation().is_none() {
            self.schedule.step(false);
            self.step();
        }
        let newest = self.schedule.world.checker.newest();
        self.platform.stop_changes();
        self.run_without_faults(DISTRIBUTED_WITHIN);
        self.check_lists_agree();
        self.check_indexes();
        let have: Vec<u64> = (0..self.frontends.len()).map(|at| self.configuration_of(at)).collect();
        if have.iter().any(|have| *have < newest) && self.violation().is_none() {
            self.violation = Some(format!("agents have {have:?} after recovery, {newest} was the newest"));
        }
    }

    pub fn restart_frontend(&mut self, frontend: usize) {
        let now = self.now();
        let partitioned_from = std::mem::take(&mut self.frontends[frontend].partitioned_from);
        self.frontends[frontend] = Frontend::start(now);
        self.frontends[frontend].partitioned_from = partitioned_from;
        self.lists.restart_frontend(frontend);
        self.caches.restart_frontend(frontend);
        let links = &self.links;
        let of_it: Vec<u64> =
            links.iter().filter(|(_, link)| link.frontend == frontend).map(|(id, _)| *id).collect();
        for id in of_it {
            self.drop_link(id);
        }
    }

    pub fn partition_frontend(&mut self, frontend: usize, machine: usize) {
        self.frontends[frontend].partitioned_from.insert(machine);
    }

    pub fn heal_frontend_partitions(&mut self) {
        self.frontends.iter_mut().for_each(|frontend| frontend.partitioned_from.clear());
    }

    fn inject_frontend_fault(&mut self) {
        if !self.random.random_bool(FRONTEND_FAULTS_PER_S * STEP.as_secs_f64()) {
            return;
        }
        let frontend = self.random.random_range(0..self.frontends.len());
        let machine = self.random.random_range(0..self.schedule.world.machines.len());
        match self.random.random_range(0..5) {
            0 => self.restart_frontend(frontend),
            1 | 2 => self.partition_frontend(frontend, machine),
            3 => {
                // The frontend reaches only one coordinator.
                for other in (0..self.schedule.world.machines.len()).filter(|other| *other != machine) {
                    self.partition_frontend(frontend, other);
                }
            }
            _ => self.heal_frontend_partitions(),
        }
    }

    /// Runs one step of everything but the replicas, which have already run this step, and checks the
    /// invariants.
    fn step(&mut self) {
        self.apply_process_changes();
        self.step_platform();
        self.close_timed_out_links();
        self.connect();
        self.deliver();
        for machine in 0..self.coordinators.len() {
            self.step_coordinator(machine);
        }
        for frontend in 0..self.frontends.len() {
            self.step_frontend(frontend);
        }
        self.check_limit();
        self.check_lists();
    }

    fn runs(&self, machine: usize) -> bool {
        self.schedule.world.machines[machine].replica.is_some()
    }

    fn is_frozen(&self, machine: usize) -> bool {
        self.schedule.world.machines[machine].frozen
    }

    fn apply_process_changes(&mut self) {
        for machine in 0..self.schedule.world.machines.len() {
            let (life, address) = (
                self.schedule.world.machines[machine].incarnation,
                self.schedule.world.machines[machine].address,
            );
            let now = self.now();
            if machine == self.coordinators.len() {
                self.coordinators.push(Coordinator::start(life, address, now));
            } else if self.coordinators[machine].life != life {
                self.coordinators[machine] = Coordinator::start(life, address, now);
            }
        }
        let ended = |link: &Link| self.schedule.world.machines[link.machine].incarnation != link.life;
        let ended: Vec<u64> = self.links.iter().filter(|(_, link)| ended(link)).map(|(id, _)| *id).collect();
        for id in ended {
            self.drop_link(id);
        }
    }

    /// Agents close links on which nothing arrives, not even heartbeats. On a link without a fault heartbeats
    /// are assumed.
    fn close_timed_out_links(&mut self) {
        let now = self.now();
        let mut silent = Vec::new();
        for (id, link) in &mut self.links {
            let is_cut = self.frontends[link.frontend].partitioned_from.contains(&link.machine);
            if !is_cut && !self.schedule.world.machines[link.machine].frozen {
                link.last_received = now;
            } else if now >= link.last_received + COORDINATOR_TIMEOUT {
                silent.push(*id);
            }
        }
        for id in silent {
            self.drop_link(id);
        }
    }

    fn drop_link(&mut self, id: u64) {
        let now = self.now();
        let Some(link) = self.links.remove(&id) else { return };
        self.coordinators[link.machine].requests.remove(AgentConnectionId::new(id));
        self.lists.link_ended(id);
        self.reconnect_at.insert((link.frontend, link.machine), now + RECONNECT_DELAY);
        let effects = self.frontends[link.frontend].agent.handle_link_down(now, LinkId(id));
        self.perform(link.frontend, effects);
    }

    fn connect(&mut self) {
        let now = self.now();
        for frontend in 0..self.frontends.len() {
            for machine in 0..self.coordinators.len() {
                let from = self.reconnect_at.get(&(frontend, machine)).copied().unwrap_or_default();
                let is_up =
                    self.links.values().any(|link| (link.frontend, link.machine) == (frontend, machine));
                let reaches = !self.frontends[frontend].partitioned_from.contains(&machine);
                if !is_up && now >= from && reaches && self.runs(machine) && !self.is_frozen(machine) {
                    self.open_link(frontend, machine);
                }
            }
        }
    }

    fn open_link(&mut self, frontend: usize, machine: usize) {
        let now = self.now();
        self.last_link_id += 1;
        let id = self.last_link_id;
        let life = self.coordinators[machine].life;
        self.links.insert(id, Link { frontend, machine, life, last_received: now });
        let address = self.schedule.world.machines[machine].address;
        let effects = self.frontends[frontend].agent.handle_link_up(now, LinkId(id), address);
        self.perform(frontend, effects);
        let available = self.coordinators[machine].available;
        self.send_to_agent(id, self.view_message(machine));
        if available > 0 {
            self.send_to_agent(
                id,
                ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(available) },
            );
        }
        if let Some(digest) = self.coordinators[machine].list.digest_message() {
            self.send_to_agent(id, digest);
        }
    }

    fn view_message(&self, machine: usize) -> ToAgent {
        let replica = self.schedule.world.replica(machine);
        let members = replica.view().map(members_in_order).unwrap_or_default();
        let member = |member: &replication::Member| CoreMember {
            id: member.id.get(),
            address: member.address,
            zone: member.zone.clone(),
        };
        ToAgent::View {
            number: replica.view().map_or(0, |view| view.number.get()),
            members: members.into_iter().map(member).collect(),
            nodes: self.frontends.len() as u32,
            has_quorum_contact: self.coordinators[machine].has_quorum_contact,
        }
    }

    fn delay(&mut self) -> Duration {
        ms(self.random.random_range(1..40))
    }

    fn put_in_transit(&mut self, message: Message) {
        let mut at = self.now() + self.delay();
        let direction = match &message {
            Message::ToCoordinator(link, _) => Some((*link, Direction::ToCoordinator)),
            Message::ToAgent(link, _) => Some((*link, Direction::ToAgent)),
            Message::BetweenCoordinators(_) => None,
        };
        if let Some(direction) = direction {
            let last = self.last_arrival.entry(direction).or_default();
            at = at.max(*last);
            *last = at;
        }
        self.messages_sent += 1;
        self.in_transit.insert((at, self.messages_sent), message);
    }

    fn send_to_agent(&mut self, link: u64, message: ToAgent) {
        self.put_in_transit(Message::ToAgent(link, message));
    }

    /// Performs the effects of an agent.
    fn perform(&mut self, frontend: usize, effects: Vec<Effect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                Effect::SendToCoordinator(id, message) => {
                    if let FromAgent::FetchConfiguration { request_id, .. } = &message {
                        self.frontends[frontend].requested_at.insert(*request_id, now);
                    }
                    self.put_in_transit(Message::ToCoordinator(id.0, message));
                }
                Effect::SendToProxy(ToProxy::QuotaResponse(response)) => {
                    self.frontends[frontend].apply_quota_response(now, &response)
                }
                Effect::SendToProxy(ToProxy::Backends(list)) => self.proxy_receives_list(frontend, list),
                Effect::SendToProxy(ToProxy::IndexRequested) => self.report_whole_index(frontend),
                Effect::SendToProxy(ToProxy::IndexCorrections(changes)) => {
                    self.correct_index(frontend, &changes);
                }
                Effect::Reconnect(id) => self.drop_link(id.0),
                Effect::SendToProxy(_) | Effect::ConfigureProxy(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        let mut next: Arrival = (Duration::ZERO, 0);
        while let Some(arrival) = self.in_transit.range(next..).next().map(|(arrival, _)| *arrival) {
            if arrival.0 > self.now() {
                return;
            }
            next = (arrival.0, arrival.1 + 1);
            // Messages that can't be delivered now stay in transit, as in a connection's queue.
            if !self.is_held_back(&self.in_transit[&arrival])
                && let Some(message) = self.in_transit.remove(&arrival)
            {
                self.receive(message);
            }
        }
    }

    fn is_held_back(&self, message: &Message) -> bool {
        let (id, to_coordinator) = match message {
            Message::ToCoordinator(id, _) => (id, true),
            Message::ToAgent(id, _) => (id, false),
            Message::BetweenCoordinators(message) => return self.is_frozen(message.to),
        };
        self.links.get(id).is_some_and(|link| {
            let is_cut = self.frontends[link.frontend].partitioned_from.contains(&link.machine);
            is_cut || (to_coordinator && self.is_frozen(link.machine))
        })
    }

    fn receive(&mut self, message: Message) {
        let link = |id: &u64| self.links.get(id).copied();
        match message {
            Message::ToCoordinator(id, message) => {
                if let Some(link) = link(&id) {
                    self.coordinator_receives(id, link, message);
                }
            }
            Message::ToAgent(id, message) => {
                if let Some(link) = link(&id) {
                    self.agent_receives(id, link.frontend, message);
                }
            }
            Message::BetweenCoordinators(message) => self.peer_receives(message),
        }
    }

    fn coordinator_receives(&mut self, id: u64, link: Link, message: FromAgent) {
        let now = self.now();
        let nodes = self.frontends.len() as u32;
        let grants_for_ever = self.fault == Some(PlantedFault::GrantsForEver);
        let is_acting_head = self.schedule.world.replica(link.machine).is_acting_head_at(now);
        let coordinator = &mut self.coordinators[link.machine];
        match message {
            FromAgent::FetchConfiguration { sequence, request_id } => {
                let request = ConfigurationRequestId::new(request_id);
                coordinator.requests.add(AgentConnectionId::new(id), Sequence(sequence.number()), request);
                if self.fault == Some(PlantedFault::SendsUnconfirmed) {
                    let ticket = coordinator.requests.begin_read_index();
                    ticket
                        .into_iter()
                        .for_each(|ticket| coordinator.requests.complete_read_index(ticket, Sequence::NONE));
                }
            }
            FromAgent::QuotaRequest(request) if is_acting_head || grants_for_ever => {
                let name = format!("frontend-{}", link.frontend);
                if let Some(response) = coordinator.quotas.respond(&name, &request, nodes, now) {
                    self.send_to_agent(id, ToAgent::QuotaResponse(response));
                }
            }
            FromAgent::IndexChanges { restart, changes } => {
                self.apply_index_report(link, restart, &changes);
            }
            message => self.answer_list_request(id, link, message),
        }
    }

    fn agent_receives(&mut self, id: u64, frontend: usize, message: ToAgent) {
        let now = self.now();
        let before = self.configuration_of(frontend);
        let newest = match &message {
            ToAgent::NewestConfiguration { request_id, .. } => Some(*request_id),
            _ => None,
        };
        if let Some(request_id) = newest {
            self.frontends[frontend].requested_at.retain(|requested, _| *requested >= request_id);
        }
        let effects = self.frontends[frontend].agent.handle_coordinator_message(now, LinkId(id), message);
        let after = self.configuration_of(frontend);
        if after != before {
            self.check_configuration(frontend, before, after);
        }
        self.perform(frontend, effects);
    }

    /// Checks a configuration that an agent has received: it was the newest at some moment since the agent
    /// requested it.
    fn check_configuration(&mut self, frontend: usize, before: u64, after: u64) {
        let now = self.now();
        let requested = self.frontends[frontend].requested_at.values().next().copied().unwrap_or(now);
        let checker = &mut self.schedule.world.checker;
        let seen = checker.seen_before(requested);
        if after < before {
            checker.fail(format!("frontend {frontend} goes back from configuration {before} to {after}"));
        }
        if after < seen {
            checker.fail(format!(
                "frontend {frontend} receives configuration {after}, {seen} was seen before it asked"
            ));
        }
    }

    fn step_coordinator(&mut self, machine: usize) {
        if !self.runs(machine) || self.is_frozen(machine) {
            return;
        }
        self.publish_role(machine);
        self.announce_available(machine);
        self.confirm_read_index(machine);
        self.answer_requests(machine);
        self.step_list(machine);
        self.step_audit(machine);
    }

    /// Publishes the replica's role to the other components, as the driver of the replica does with each
    /// tick.
    fn publish_role(&mut self, machine: usize) {
        let now = self.now();
        if now < self.coordinators[machine].role_published_at + ROLE_INTERVAL {
            return;
        }
        let replica = self.schedule.world.replica(machine);
        let (acting_head, has_quorum_contact) =
            (replica.is_acting_head(), replica.status().has_quorum_contact);
        let number = replica.view().map_or(ViewNumber::NONE, |view| view.number);
        let role = RoleStatus { has_quorum_contact, acting_head, handed_over: false };
        let coordinator = &mut self.coordinators[machine];
        coordinator.role_published_at = now;
        let keeps = self.fault == Some(PlantedFault::GrantsForEver) && !acting_head;
        if !keeps {
            coordinator.quotas.set_role_status(role, now, now.as_millis() as u64 * 1_000);
        }
        let differs = (number, has_quorum_contact) != (coordinator.view, coordinator.has_quorum_contact);
        if number != coordinator.view {
            coordinator.quotas.set_view(number, now);
            coordinator.quotas.set_tenants(vec![tenant()], now);
        }
        (coordinator.view, coordinator.has_quorum_contact) = (number, has_quorum_contact);
        self.start_or_end_audit(machine, acting_head);
        if differs {
            let message = self.view_message(machine);
            self.broadcast(machine, &message);
        }
    }

    fn announce_available(&mut self, machine: usize) {
        let newest = self.newest(machine);
        if newest > self.coordinators[machine].available {
            self.coordinators[machine].available = newest;
            self.broadcast(
                machine,
                &ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(newest) },
            );
        }
    }

    fn newest(&self, machine: usize) -> u64 {
        self.schedule.world.machines[machine].newest.as_ref().map_or(0, |entry| entry.sequence.get())
    }

    fn broadcast(&mut self, machine: usize, message: &ToAgent) {
        let of_it = self.links.iter().filter(|(_, link)| link.machine == machine).map(|(id, _)| *id);
        for id in of_it.collect::<Vec<u64>>() {
            self.send_to_agent(id, message.clone());
        }
    }

    /// Runs one read index at a time, which serves all requests that arrived before it started.
    fn confirm_read_index(&mut self, machine: usize) {
        let now = self.now();
        if let Some(PendingReadIndex { call, ticket }) = self.coordinators[machine].read_index {
            let response = self.schedule.world.read_index_outcomes.get(&call).cloned().flatten();
            let Some(response) = response else { return };
            self.schedule.world.read_index_outcomes.remove(&call);
            let coordinator = &mut self.coordinators[machine];
            coordinator.read_index = None;
            match response {
                RequestOutcome::ReadIndex { sequence } => {
                    coordinator.requests.complete_read_index(ticket, sequence)
                }
                _ => coordinator.read_index_retry_at = now + READ_INDEX_RETRY_DELAY,
            }
        }
        if now < self.coordinators[machine].read_index_retry_at {
            return;
        }
        if let Some(ticket) = self.coordinators[machine].requests.begin_read_index() {
            let call = self.schedule.world.request_read_index(machine);
            self.coordinators[machine].read_index = Some(PendingReadIndex { call, ticket });
        }
    }

    fn answer_requests(&mut self, machine: usize) {
        let sequence = self.newest(machine);
        if sequence == 0 {
            return;
        }
        for answerable in self.coordinators[machine].requests.take_answerable(Sequence(sequence)) {
            let (id, request_id) = (answerable.connection.number(), answerable.id.number());
            self.send_to_agent(
                id,
                ToAgent::NewestConfiguration { request_id, sequence: ConfigurationSequence(sequence) },
            );
            self.send_to_agent(
                id,
                ToAgent::Configuration { sequence: ConfigurationSequence(sequence), document: vec![0; 10] },
            );
        }
    }

    fn step_frontend(&mut self, frontend: usize) {
        let now = self.now();
        let each = RATE * self.load_factor / self.frontends.len() as f64;
        let admitted = self.frontends[frontend].requests(now, each * STEP.as_secs_f64());
        if admitted > 0 {
            self.admitted.push_back((now, admitted));
        }
        if let Some(request) = self.frontends[frontend].quota_request(now) {
            let effects =
                self.frontends[frontend].agent.handle_proxy_message(now, FromProxy::QuotaRequest(request));
            self.perform(frontend, effects);
        }
        self.send_inference_request(frontend);
        let due = self.frontends[frontend].agent.next_deadline().is_some_and(|due| now >= due);
        if due || now >= self.frontends[frontend].last_polled + POLL_INTERVAL {
            self.frontends[frontend].last_polled = now;
            let effects = self.frontends[frontend].agent.poll(now);
            self.perform(frontend, effects);
        }
    }

    /// Checks that no more requests were admitted within the last window than the limit allows.
    fn check_limit(&mut self) {
        let now = self.now();
        let window = Duration::from_secs_f64(QUOTA_SETTINGS.window_s);
        while self.admitted.front().is_some_and(|(at, _)| now >= *at + window) {
            self.admitted.pop_front();
        }
        let admitted: usize = self.admitted.iter().map(|(_, count)| count).sum();
        if admitted as f64 > max_admitted_in_window() {
            self.violation.get_or_insert(format!(
                "{admitted} requests admitted in a window, {} are allowed",
                max_admitted_in_window()
            ));
        }
    }
}
