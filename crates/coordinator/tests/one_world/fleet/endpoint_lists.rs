//! The simulated distribution of the endpoint list, from the platform to coordinators, to agents and to
//! frontends, and the checks of the lists that frontends have.

use super::platform::{PlatformFault, ReadPlan};
use super::{Fleet, Link, Message, PlantedFault};
use crate::simulation::ms;
use crate::simulation::schedule::STEP;
use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, BackendState, FromAgent, ToAgent,
};
use coordinator::agents::AdvertisedEndpoints;
use coordinator::endpoints::reader_election::{ReaderElection, UpdateOutcome};
use coordinator::membership::members_in_order;
use coordinator::peer_protocol::EndpointListUpdate;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// How often agents are sent the digest of the list.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// How long an agent must have been linked to a coordinator that reaches the platform before its frontend
/// must have stopped sending requests to a backend that is draining or gone. A coordinator reads at most 3.5
/// s after the last read, depending on its rank among five.
const INFORMED_WITHIN: Duration = Duration::from_secs(8);
/// By how much a list may be older than its predecessor if two coordinators read at the same time: the
/// duration of a slow read.
const MAX_AGE_REGRESSION: Duration = Duration::from_millis(3_200);
/// How many of a thousand messages between coordinators arrive twice.
const DUPLICATED_PER_MILLE: u32 = 50;
/// How many of a thousand messages between coordinators arrive late, and therefore out of order.
const LATE_PER_MILLE: u32 = 50;

/// The endpoint list of a coordinator, for one run of its process.
pub struct CoordinatorList {
    election: ReaderElection,
    advertised: Option<AdvertisedEndpoints>,
    read: Option<Read>,
    digest_sent_at: Duration,
    has_begun: bool,
}

/// A read in progress.
struct Read {
    version: BackendListVersion,
    plan: ReadPlan,
    result: Option<ReadResult>,
}

/// A message from one coordinator to another about endpoint lists.
#[derive(Clone)]
pub struct PeerMessage {
    pub to: usize,
    from: usize,
    content: PeerContent,
}

#[derive(Clone)]
enum PeerContent {
    Update(EndpointListUpdate),
    Request,
}

/// Counts of the events that the checks need, to detect runs that check nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    /// Reads that returned a list that was not stale.
    pub reads: usize,
    /// Responses to comparisons by ranges.
    pub comparisons: usize,
    /// Comparisons that were interrupted by the end of their link.
    pub interrupted_comparisons: usize,
    /// Lists that frontends have received.
    pub received: usize,
}

/// The observations that the checks of lists are based on.
pub struct ListChecks {
    /// The result of each read, by its version.
    reads: BTreeMap<BackendListVersion, ReadResult>,
    frontends: Vec<FrontendList>,
    /// Since when a frontend has been linked to a coordinator that reaches the platform, by their numbers.
    informed_since: BTreeMap<(usize, usize), Duration>,
    /// Links with a comparison in progress.
    comparing: BTreeSet<u64>,
    pub counts: ListCounts,
}

/// The endpoints that a read saw, and when it saw them.
struct ReadResult {
    seen: Vec<Backend>,
    seen_at: Duration,
}

/// The list of a frontend.
#[derive(Default)]
struct FrontendList {
    list: Option<BackendList>,
    /// The version of the agent's list after the last step.
    version: BackendListVersion,
    /// When the read with that version saw the list.
    seen_at: Duration,
    /// The instance ids of the backends that any list of this frontend showed as draining.
    drained: BTreeSet<String>,
}

impl CoordinatorList {
    pub fn new(address: SocketAddrV4, now: Duration) -> Self {
        CoordinatorList {
            election: ReaderElection::new(address, now, now),
            advertised: None,
            read: None,
            digest_sent_at: now,
            has_begun: false,
        }
    }

    pub fn digest_message(&self) -> Option<ToAgent> {
        self.advertised.as_ref().map(AdvertisedEndpoints::digest_message)
    }

    /// The endpoints that this coordinator advertises.
    pub fn endpoints(&self) -> Option<Arc<Vec<Backend>>> {
        self.advertised.as_ref().map(|advertised| advertised.endpoints.clone())
    }

    /// Applies the outcome of a read or an update, and returns the message to be broadcast to agents.
    fn advertise(&mut self, outcome: &UpdateOutcome) -> Option<ToAgent> {
        let version = self.election.list().map(|(version, _)| version)?;
        match (outcome, &mut self.advertised) {
            (UpdateOutcome::Changed(endpoints), Some(advertised)) => {
                let base = advertised.version;
                let changes = BackendChanges::between(&advertised.endpoints, endpoints);
                advertised.replace(version, endpoints.clone(), &changes);
                Some(ToAgent::BackendsChanged { base, version, changes })
            }
            (UpdateOutcome::Changed(endpoints), advertised @ None) => {
                let first = advertised.insert(AdvertisedEndpoints::new(version, endpoints.clone()));
                Some(first.digest_message())
            }
            (UpdateOutcome::Confirmed, advertised) => {
                advertised.as_mut().into_iter().for_each(|advertised| advertised.version = version);
                Some(ToAgent::BackendsConfirmed { version })
            }
            (UpdateOutcome::FullListNeeded | UpdateOutcome::Stale, _) => None,
        }
    }
}

impl std::ops::AddAssign for ListCounts {
    fn add_assign(&mut self, other: ListCounts) {
        self.reads += other.reads;
        self.comparisons += other.comparisons;
        self.interrupted_comparisons += other.interrupted_comparisons;
        self.received += other.received;
    }
}

impl ListChecks {
    pub fn new(frontends: usize) -> Self {
        ListChecks {
            reads: BTreeMap::new(),
            frontends: (0..frontends).map(|_| FrontendList::default()).collect(),
            informed_since: BTreeMap::new(),
            comparing: BTreeSet::new(),
            counts: ListCounts::default(),
        }
    }

    pub fn restart_frontend(&mut self, frontend: usize) {
        self.frontends[frontend] = FrontendList::default();
        self.informed_since.retain(|(one, _), _| *one != frontend);
    }

    pub fn link_ended(&mut self, link: u64) {
        self.counts.interrupted_comparisons += usize::from(self.comparing.remove(&link));
    }

    /// The backends that are ready according to a frontend's list, and to which it therefore sends requests.
    pub fn ready_backends(&self, frontend: usize) -> Vec<Backend> {
        let backends = self.frontends[frontend].list.iter().flat_map(|list| &list.backends);
        backends.filter(|backend| backend.state == BackendState::Ready).cloned().collect()
    }
}

impl Fleet {
    pub fn list_counts(&self) -> ListCounts {
        self.lists.counts
    }

    /// Starts to drain a ready backend, and returns its instance id.
    pub fn drain_any_backend(&mut self) -> String {
        let ready = self.platform.backends.values().find(|one| one.drains_since.is_none());
        let name = ready.expect("one that is ready").backend.instance_id.clone();
        let now = self.now();
        self.platform.drain(&name, now);
        name
    }

    /// Whether a frontend sends requests to a backend.
    pub fn is_ready_at(&self, frontend: usize, backend: &str) -> bool {
        self.lists.ready_backends(frontend).iter().any(|one| one.instance_id == backend)
    }

    /// The coordinator that considers itself the reader of the list.
    pub fn reader(&self) -> Option<usize> {
        let machines = &self.schedule.world.machines;
        let reads = |machine: &usize| {
            self.coordinators[*machine].list.election.reader() == Some(machines[*machine].address)
        };
        (0..self.coordinators.len()).find(reads)
    }

    /// Starts a fault between the platform and every coordinator but this one.
    pub fn start_platform_fault_for_all_but(&mut self, machine: usize, fault: PlatformFault, span: Duration) {
        let until = self.now() + span;
        for other in (0..self.coordinators.len()).filter(|other| *other != machine) {
            self.platform.start_fault(other, fault, until);
        }
    }

    pub(super) fn step_platform(&mut self) {
        let now = self.now();
        self.platform.step(now, STEP);
    }

    pub(super) fn inject_platform_fault(&mut self) {
        let (now, machines) = (self.now(), self.coordinators.len().max(1));
        self.platform.inject_fault(machines, now, STEP);
    }

    /// Does what the endpoint registry of a coordinator does: reads the list and broadcasts the digest.
    pub(super) fn step_list(&mut self, machine: usize) {
        if !std::mem::replace(&mut self.coordinators[machine].list.has_begun, true) {
            self.send_to_peers(machine, &PeerContent::Request);
        }
        self.set_reading_order(machine);
        self.begin_read_if_due(machine);
        self.take_snapshot_if_due(machine);
        self.end_read_if_due(machine);
        self.broadcast_digest_if_due(machine);
    }

    fn set_reading_order(&mut self, machine: usize) {
        let view = self.schedule.world.replica(machine).view();
        let order = match view {
            Some(view) => members_in_order(view).iter().map(|member| member.address).collect(),
            None => self.schedule.world.seeds.clone(),
        };
        self.coordinators[machine].list.election.set_order(order);
    }

    /// Whether the other coordinator runs and messages can pass in both directions.
    fn have_contact(&self, one: usize, other: SocketAddrV4) -> bool {
        let world = &self.schedule.world;
        let own = world.machines[one].address;
        let is_cut = world.cuts.contains(&(own, other)) || world.cuts.contains(&(other, own));
        let runs = world.machines.iter().any(|machine| {
            machine.address == other && machine.replica.is_some() && !machine.frozen && !machine.removed
        });
        runs && !is_cut
    }

    fn begin_read_if_due(&mut self, machine: usize) {
        let now = self.now();
        let has_quorum_contact = self.coordinators[machine].has_quorum_contact;
        if self.fault == Some(PlantedFault::ReadsWithMajorityOnly) && !has_quorum_contact {
            return;
        }
        let list = &self.coordinators[machine].list;
        let due = list.election.next_read_at(|peer| self.have_contact(machine, peer));
        if list.read.is_some() || due.is_none_or(|due| now < due) {
            return;
        }
        let plan = self.platform.plan_read(machine, now);
        let list = &mut self.coordinators[machine].list;
        let version = list.election.begin_read();
        list.read = Some(Read { version, plan, result: None });
    }

    /// Takes the platform's snapshot for a read in progress, also while the coordinator is suspended.
    fn take_snapshot_if_due(&mut self, machine: usize) {
        let now = self.now();
        let is_reachable = self.platform.is_reachable(machine, now);
        let Some(read) = &mut self.coordinators[machine].list.read else { return };
        if is_reachable && read.result.is_none() && now >= read.plan.snapshot_at {
            let mut seen = self.platform.list(read.plan.is_truncated);
            seen.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
            read.result = Some(ReadResult { seen, seen_at: now });
        }
    }

    pub(super) fn take_snapshots_for_suspended(&mut self) {
        for machine in 0..self.coordinators.len() {
            if self.runs(machine) && self.is_frozen(machine) {
                self.take_snapshot_if_due(machine);
            }
        }
    }

    fn end_read_if_due(&mut self, machine: usize) {
        let now = self.now();
        let versions_at_end = self.fault == Some(PlantedFault::VersionsAtEndOfRead);
        let list = &mut self.coordinators[machine].list;
        let Some(read) = list.read.take_if(|read| now >= read.plan.ends_at) else { return };
        let Some(result) = read.result else { return list.election.fail_read(now) };
        let version = if versions_at_end { list.election.begin_read() } else { read.version };
        let outcome = list.election.complete_read(version, result.seen.clone(), now);
        if outcome == UpdateOutcome::Stale {
            return;
        }
        self.lists.counts.reads += 1;
        if self.lists.reads.insert(version, result).is_some() {
            self.fail(format!("two lists with version {version}"));
        }
        let list = &mut self.coordinators[machine].list;
        if let Some(update) = list.election.newest_update() {
            self.send_to_peers(machine, &PeerContent::Update(update));
        }
        self.advertise(machine, &outcome);
    }

    fn advertise(&mut self, machine: usize, outcome: &UpdateOutcome) {
        if let Some(message) = self.coordinators[machine].list.advertise(outcome) {
            self.broadcast(machine, &message);
        }
    }

    fn broadcast_digest_if_due(&mut self, machine: usize) {
        let now = self.now();
        let list = &mut self.coordinators[machine].list;
        let Some(digest) = list.digest_message().filter(|_| now >= list.digest_sent_at + DIGEST_INTERVAL)
        else {
            return;
        };
        list.digest_sent_at = now;
        self.broadcast(machine, &digest);
    }

    fn send_to_peers(&mut self, from: usize, content: &PeerContent) {
        for to in (0..self.coordinators.len()).filter(|to| *to != from) {
            self.send_to_peer(PeerMessage { to, from, content: content.clone() });
        }
    }

    /// Sends a message that may arrive twice or out of order, as happens when the connection between two
    /// coordinators is replaced.
    fn send_to_peer(&mut self, message: PeerMessage) {
        if self.random.random_range(0..1_000) < DUPLICATED_PER_MILLE {
            self.put_in_transit(Message::BetweenCoordinators(message.clone()));
        }
        if self.random.random_range(0..1_000) < LATE_PER_MILLE {
            let at = self.now() + ms(self.random.random_range(100..2_000));
            self.messages_sent += 1;
            self.in_transit.insert((at, self.messages_sent), Message::BetweenCoordinators(message));
            return;
        }
        self.put_in_transit(Message::BetweenCoordinators(message));
    }

    pub(super) fn peer_receives(&mut self, message: PeerMessage) {
        let world = &self.schedule.world;
        let (from, to) = (world.machines[message.from].address, world.machines[message.to].address);
        if world.cuts.contains(&(from, to)) || !self.runs(message.to) || !self.runs(message.from) {
            return;
        }
        let now = self.now();
        match message.content {
            PeerContent::Update(update) => {
                let outcome = self.coordinators[message.to].list.election.apply_update(from, update, now);
                if outcome == UpdateOutcome::FullListNeeded {
                    let content = PeerContent::Request;
                    return self.send_to_peer(PeerMessage { to: message.from, from: message.to, content });
                }
                self.advertise(message.to, &outcome);
            }
            PeerContent::Request => {
                if let Some(update) = self.coordinators[message.to].list.election.full_update() {
                    let content = PeerContent::Update(update);
                    self.send_to_peer(PeerMessage { to: message.from, from: message.to, content });
                }
            }
        }
    }

    /// Handles an agent's message about lists, and responds to it.
    pub(super) fn answer_list_request(&mut self, id: u64, link: Link, message: FromAgent) {
        let list = &mut self.coordinators[link.machine].list;
        let advertised = list.advertised.as_ref();
        let response = match message {
            FromAgent::BackendsSeen { version } => {
                if self.fault != Some(PlantedFault::HidesVersions) {
                    list.election.observe_version(version);
                }
                return;
            }
            FromAgent::FetchBackends => advertised.map(|list| {
                let backends = list.endpoints.as_ref().clone();
                ToAgent::Backends(BackendList { version: list.version, backends })
            }),
            FromAgent::FetchBackendsDigest => list.digest_message(),
            FromAgent::CompareBackends { range, .. } => advertised.map(|list| {
                let (version, content) = (list.version, list.content(range));
                ToAgent::BackendsRange { version, range, content }
            }),
            FromAgent::RequestBackends { keys, .. } => advertised.map(|list| {
                let (version, backends) = (list.version, list.with_keys(&keys));
                ToAgent::BackendsRepaired { version, keys, backends }
            }),
            _ => None,
        };
        self.record_comparison(id, response.as_ref());
        if let Some(response) = response {
            self.send_to_agent(id, response);
        }
    }

    fn record_comparison(&mut self, id: u64, response: Option<&ToAgent>) {
        match response {
            Some(ToAgent::BackendsRange { .. }) => {
                self.lists.counts.comparisons += 1;
                self.lists.comparing.insert(id);
            }
            Some(ToAgent::BackendsRepaired { .. }) => drop(self.lists.comparing.remove(&id)),
            _ => {}
        }
    }

    fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Applies a list that a frontend has received, and checks that no backend is ready again after draining.
    pub(super) fn proxy_receives_list(&mut self, frontend: usize, list: BackendList) {
        self.lists.counts.received += 1;
        let known = &mut self.lists.frontends[frontend];
        let ready = |one: &&Backend| one.state == BackendState::Ready;
        let returned =
            list.backends.iter().filter(ready).find(|one| known.drained.contains(&one.instance_id));
        let returned = returned.map(|one| one.instance_id.clone());
        let draining = list.backends.iter().filter(|one| !ready(one)).map(|one| one.instance_id.clone());
        known.drained.extend(draining);
        known.list = Some(list);
        let ready: BTreeSet<u64> = self.lists.ready_backends(frontend).iter().map(Backend::key).collect();
        self.caches.retain_backends(frontend, &ready);
        if let Some(returned) = returned {
            self.fail(format!("frontend {frontend}: {returned} drained and is ready again"));
        }
    }

    /// Runs the checks that have to hold after each step.
    pub(super) fn check_lists(&mut self) {
        self.take_snapshots_for_suspended();
        for frontend in 0..self.frontends.len() {
            self.check_version(frontend);
            self.check_content(frontend);
            self.check_informed(frontend);
        }
    }

    /// Checks that no agent goes back to a lower version, or to a list that was read much earlier.
    fn check_version(&mut self, frontend: usize) {
        let version = self.frontends[frontend].agent.status().list_version;
        let known = &mut self.lists.frontends[frontend];
        let before = std::mem::replace(&mut known.version, version);
        let seen_at = self.lists.reads.get(&version).map_or(known.seen_at, |read| read.seen_at);
        let seen_before = std::mem::replace(&mut known.seen_at, seen_at);
        if version < before || seen_at + MAX_AGE_REGRESSION < seen_before {
            self.fail(format!(
                "frontend {frontend}: list {version} seen at {seen_at:?} replaces {before} \
                 seen at {seen_before:?}"
            ));
        }
    }

    /// Checks that an agent's list is the one that the read with its version saw, except for backends that
    /// the frontend has seen draining.
    fn check_content(&mut self, frontend: usize) {
        let known = &self.lists.frontends[frontend];
        let (Some(list), Some(read)) = (&known.list, self.lists.reads.get(&known.version)) else { return };
        let is_as_read = |(one, read): (&Backend, &Backend)| {
            one.has_same_content(read)
                || (one.instance_id == read.instance_id && known.drained.contains(&one.instance_id))
        };
        let read = &read.seen;
        if list.backends.len() != read.len() || !list.backends.iter().zip(read).all(is_as_read) {
            let version = known.version;
            self.fail(format!(
                "frontend {frontend}: its list {version} is not what was read under that version"
            ));
        }
    }

    /// Checks that a frontend does not send requests to a backend that stopped accepting them
    /// [`INFORMED_WITHIN`] ago or earlier, if it has been linked to a coordinator that reaches the platform
    /// for as long.
    fn check_informed(&mut self, frontend: usize) {
        let now = self.now();
        let mut is_informed = false;
        for machine in 0..self.coordinators.len() {
            let key = (frontend, machine);
            if self.is_informed_by(frontend, machine) {
                let since = *self.lists.informed_since.entry(key).or_insert(now);
                is_informed |= now >= since + INFORMED_WITHIN;
            } else {
                self.lists.informed_since.remove(&key);
            }
        }
        if is_informed && let Some(backend) = self.outdated_backend(frontend) {
            self.fail(format!(
                "frontend {frontend}: {backend} gets requests {INFORMED_WITHIN:?} \
                 after it stopped accepting them"
            ));
        }
    }

    fn is_informed_by(&self, frontend: usize, machine: usize) -> bool {
        let now = self.now();
        let is_linked = self.links.values().any(|link| (link.frontend, link.machine) == (frontend, machine));
        let is_cut = self.frontends[frontend].partitioned_from.contains(&machine);
        let reads = self.platform.is_reachable(machine, now) && !self.platform.is_slow(machine, now);
        is_linked && !is_cut && reads && self.runs(machine) && !self.is_frozen(machine)
    }

    /// A backend that is ready on a frontend's list, but stopped accepting requests [`INFORMED_WITHIN`] ago
    /// or earlier.
    fn outdated_backend(&self, frontend: usize) -> Option<String> {
        let now = self.now();
        let stopped_at = |name: &str| {
            let drains_since = self.platform.backends.get(name).and_then(|one| one.drains_since);
            drains_since.or(self.platform.removed.get(name).copied())
        };
        let ready = self.lists.ready_backends(frontend);
        let outdated = ready
            .into_iter()
            .find(|one| stopped_at(&one.instance_id).is_some_and(|since| now >= since + INFORMED_WITHIN));
        outdated.map(|one| one.instance_id)
    }

    /// Checks, after recovery, that every frontend has the platform's list.
    pub(super) fn check_lists_agree(&mut self) {
        let truth = self.platform.list(false);
        for frontend in 0..self.frontends.len() {
            let known = self.lists.frontends[frontend].list.as_ref();
            let mut truth = truth.clone();
            truth.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
            let agrees = known.is_some_and(|list| {
                list.backends.len() == truth.len()
                    && list.backends.iter().zip(&truth).all(|(one, other)| one.has_same_content(other))
            });
            if !agrees && self.violation().is_none() {
                self.fail(format!("frontend {frontend}: its list is not the platform's after recovery"));
            }
        }
    }
}
