//! A small model for an exhaustive search: three members with their disks, links that keep messages in order,
//! two operators and a reader. The possible next steps are the actions of the model; the passing of time is
//! one of them.

use replication::{
    Change, DEFAULT_HISTORY_LENGTH, Fault, Generation, Input, Message, Output, Record, Replica, RequestId,
    RequestOutcome, Settings, TICK_INTERVAL, View, ViewNumber, WriteId,
};
use rustc_hash::FxHasher;
use serde_bytes::ByteBuf;
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// The name of the property to check.
pub const INVARIANTS: &str = "the invariants of the register hold";

const MEMBERS: usize = 3;

/// The initial state of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All members are in the chain. Two operators submit changes of the same generation and one of the next
    /// generation, a committed change is retried, and there is a read index request.
    TwoOperators,
    /// The head is partitioned, and the others are about to agree on a view without it. Both sides receive
    /// the same requests.
    HeadSuspected,
    /// The same after the others have agreed on a view.
    HeadCutOff,
    /// The tail is partitioned, and the others have committed another change.
    TailCutOff,
    /// All members lose power when a change is only on the head's disk.
    AllWithoutPower,
    /// The tail has lost its disk, and the member that replaces it is about to join.
    TailReplaced,
    /// The middle member shuts down.
    MiddleLeaves,
}

impl Scenario {
    pub const ALL: [Scenario; 7] = [
        Scenario::TwoOperators,
        Scenario::HeadSuspected,
        Scenario::HeadCutOff,
        Scenario::TailCutOff,
        Scenario::AllWithoutPower,
        Scenario::TailReplaced,
        Scenario::MiddleLeaves,
    ];
}

/// The maximum number of events of each kind on one path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    pub ticks: u8,
    pub kills: u8,
    pub wipes: u8,
    pub heals: u8,
}

impl Limits {
    /// No failures, and no time passes.
    pub const NONE: Limits = Limits { ticks: 0, kills: 0, wipes: 0, heals: 0 };
}

impl Default for Limits {
    fn default() -> Self {
        Limits { ticks: 3, kills: 1, wipes: 1, heals: 1 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The first message on a link is delivered.
    Deliver(usize, usize),
    /// The first pending write of a member becomes durable.
    Sync(usize),
    /// One tick passes; members send heartbeats.
    Tick,
    /// A process is killed and restarts immediately; pending writes are lost.
    Kill(usize),
    /// The same, and its disk is lost.
    Wipe(usize),
    /// The partition ends.
    Heal,
}

pub struct SmallWorld {
    pub scenario: Scenario,
    pub limits: Limits,
    pub fault: Option<Fault>,
}

#[derive(Clone, Debug)]
enum Write {
    Append(WriteId, Box<Record>),
    Rewrite(WriteId, Vec<Record>),
}

#[derive(Clone, Debug)]
struct Machine {
    replica: Replica,
    disk: Vec<Record>,
    writes: VecDeque<Write>,
    incarnation: u64,
}

/// A request without a response.
#[derive(Clone, Debug)]
enum PendingRequest {
    Write(Change),
    /// A read or a read index, with the newest sequence that was observed before it.
    Read(u64),
}

#[derive(Clone, Debug)]
pub struct State {
    machines: Vec<Machine>,
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    cut_off: Option<usize>,
    now: Duration,
    remaining: Limits,
    pending_requests: BTreeMap<(usize, RequestId), PendingRequest>,
    history: History,
    fault: Option<Fault>,
}

/// What members and clients have observed.
#[derive(Clone, Debug, Default)]
struct History {
    committed: BTreeMap<u64, Change>,
    rejected: BTreeSet<[u8; 32]>,
    views: BTreeMap<ViewNumber, View>,
    newest: u64,
    violation: Option<String>,
}

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8 + 1), 7680)
}

fn change(base: u64, generation: u64, label: u8) -> Change {
    Change {
        base: Generation(base),
        generation: Generation(generation),
        digest: [label; 32],
        document: Arc::new(ByteBuf::from(vec![label])),
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest().hash(hasher);
    }
}

impl State {
    pub fn violation(&self) -> Option<&str> {
        self.history.violation.as_deref()
    }

    fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }

    fn fail(&mut self, text: String) {
        self.history.violation.get_or_insert(text);
    }

    fn new(limits: Limits, fault: Option<Fault>) -> Self {
        let now = Duration::from_secs(1);
        let mut state = State {
            machines: Vec::new(),
            links: BTreeMap::new(),
            cut_off: None,
            now,
            remaining: limits,
            pending_requests: BTreeMap::new(),
            history: History::default(),
            fault,
        };
        for machine in 0..MEMBERS {
            let (replica, outputs) = open(machine, Vec::new(), 1, now, true, fault);
            state.machines.push(Machine {
                replica,
                disk: Vec::new(),
                writes: VecDeque::new(),
                incarnation: 1,
            });
            state.perform(machine, outputs);
        }
        state
    }

    fn deliver_input(&mut self, machine: usize, input: Input) {
        let outputs = self.machines[machine].replica.handle(self.now, input);
        self.perform(machine, outputs);
    }

    fn perform(&mut self, machine: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let to = (0..MEMBERS).find(|other| address(*other) == to);
                    let Some(to) = to.filter(|to| self.are_connected(machine, *to)) else { continue };
                    self.links.entry((machine, to)).or_default().push_back(message);
                }
                Output::Store(id, record) => {
                    self.machines[machine].writes.push_back(Write::Append(id, Box::new(record)));
                }
                Output::Rewrite(id, records) => {
                    self.machines[machine].writes.push_back(Write::Rewrite(id, records));
                }
                Output::Respond(request, outcome) => self.receive_outcome(machine, request, &outcome),
                Output::Committed(entry) => self.record_committed(entry.sequence.get(), &entry.change),
                Output::ViewChanged(view) => self.record_view(view),
            }
        }
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        self.cut_off != Some(one) && self.cut_off != Some(other)
    }

    fn record_view(&mut self, view: View) {
        let known = self.history.views.entry(view.number).or_insert_with(|| view.clone()).clone();
        if known != view {
            self.fail(format!("two views of number {}", view.number));
        }
    }

    fn record_committed(&mut self, sequence: u64, change: &Change) {
        let known = self.history.committed.entry(sequence).or_insert_with(|| change.clone()).clone();
        if known != *change {
            self.fail(format!("two entries of sequence {sequence}"));
        }
        if self.history.rejected.contains(&change.digest) {
            self.fail(format!("rejected change of generation {} committed", change.generation));
        }
        let before = self.history.committed.get(&(sequence - 1)).map(|before| before.generation);
        if before.is_some_and(|before| before != change.base) {
            self.fail(format!("entry {sequence} is not based on the one before"));
        }
        self.history.newest = self.history.newest.max(sequence);
    }

    fn receive_outcome(&mut self, machine: usize, request: RequestId, outcome: &RequestOutcome) {
        let Some(pending) = self.pending_requests.remove(&(machine, request)) else { return };
        match (pending, outcome) {
            (PendingRequest::Write(change), RequestOutcome::Committed { sequence }) => {
                self.record_committed(sequence.get(), &change)
            }
            (
                PendingRequest::Write(change),
                RequestOutcome::Conflict { .. } | RequestOutcome::NotHigher { .. },
            ) => {
                self.history.rejected.insert(change.digest);
                if self.history.committed.values().any(|committed| committed.digest == change.digest) {
                    self.fail(format!("committed change of generation {} rejected", change.generation));
                }
            }
            (PendingRequest::Read(before), RequestOutcome::ReadIndex { sequence })
                if sequence.get() < before =>
            {
                self.fail(format!("read index {sequence}, but {before} was observed before"));
            }
            (PendingRequest::Read(before), RequestOutcome::Current(entry)) => {
                let sequence = entry.as_ref().map_or(0, |entry| entry.sequence.get());
                if sequence < before {
                    self.fail(format!("read returned {sequence}, but {before} was observed before"));
                }
            }
            (_, _) => {}
        }
    }

    fn submit(
        &mut self,
        machine: usize,
        request: u64,
        input: impl FnOnce(RequestId) -> Input,
        pending: PendingRequest,
    ) {
        let request = RequestId(request);
        self.pending_requests.insert((machine, request), pending);
        self.deliver_input(machine, input(request));
    }

    fn write(&mut self, machine: usize, request: u64, change: Change) {
        self.submit(
            machine,
            request,
            |id| Input::Write(id, change.clone()),
            PendingRequest::Write(change.clone()),
        );
    }

    fn read(&mut self, machine: usize, request: u64) {
        let before = self.history.newest;
        self.submit(machine, request, Input::Read, PendingRequest::Read(before));
    }

    fn read_index(&mut self, machine: usize, request: u64) {
        let before = self.history.newest;
        self.submit(machine, request, Input::ReadIndex, PendingRequest::Read(before));
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let Some(message) = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        self.deliver_input(to, Input::Received { from: address(from), message });
    }

    fn sync(&mut self, machine: usize) {
        let id = match self.machines[machine].writes.pop_front() {
            Some(Write::Append(id, record)) => {
                self.machines[machine].disk.push(*record);
                id
            }
            Some(Write::Rewrite(id, records)) => {
                self.machines[machine].disk = records;
                id
            }
            None => return,
        };
        self.deliver_input(machine, Input::Stored(id));
    }

    /// Partitions a member from the others. Messages in flight on its links are lost.
    fn partition(&mut self, machine: usize) {
        self.cut_off = Some(machine);
        self.links.retain(|(from, to), _| *from != machine && *to != machine);
    }

    fn restart(&mut self, machine: usize, wiped: bool) {
        let incarnation = self.machines[machine].incarnation + 1;
        let disk = if wiped { Vec::new() } else { self.machines[machine].disk.clone() };
        // Connections end with the process.
        self.links.retain(|(from, to), _| *from != machine && *to != machine);
        self.pending_requests.retain(|(at, _), _| *at != machine);
        let (replica, outputs) = open(machine, disk.clone(), incarnation, self.now, false, self.fault);
        self.machines[machine] = Machine { replica, disk, writes: VecDeque::new(), incarnation };
        self.perform(machine, outputs);
    }

    /// Advances the time by one tick. Messages sent by it queue behind those in flight.
    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        (0..MEMBERS).for_each(|machine| self.deliver_input(machine, Input::Tick));
    }

    /// Delivers all messages and completes all writes, in a fixed order.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            let link = self.links.iter().find(|(_, queue)| !queue.is_empty()).map(|(link, _)| *link);
            let writes = (0..MEMBERS).find(|machine| !self.machines[*machine].writes.is_empty());
            match (link, writes) {
                (_, Some(machine)) => self.sync(machine),
                (Some((from, to)), None) => self.deliver(from, to),
                (None, None) => return,
            }
        }
        panic!("messages and writes did not end within 10,000 steps");
    }

    fn settle_for(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.tick();
            self.settle();
        }
    }
}

fn open(
    machine: usize,
    disk: Vec<Record>,
    incarnation: u64,
    now: Duration,
    bootstrap: bool,
    fault: Option<Fault>,
) -> (Replica, Vec<Output>) {
    let settings = Settings {
        address: address(machine),
        zone: String::new(),
        seeds: (0..MEMBERS).map(address).collect(),
        bootstrap,
        tolerated_failures: 1,
        history_length: DEFAULT_HISTORY_LENGTH,
    };
    Replica::open_with_fault(settings, disk, machine as u64 * 1_000 + incarnation, now, fault)
}

impl SmallWorld {
    /// A chain of all members with one committed change.
    fn stable_chain(&self) -> State {
        let mut state = State::new(self.limits, self.fault);
        state.settle_for(40);
        state.write(0, 1, change(0, 1, 1));
        state.settle_for(10);
        assert_eq!(state.history.newest, 1, "the first change is not committed");
        state
    }

    fn initial_state(&self) -> State {
        let mut state = self.stable_chain();
        match self.scenario {
            Scenario::TwoOperators => {
                state.write(0, 10, change(1, 2, 2));
                state.write(2, 11, change(1, 2, 3));
                state.write(1, 12, change(0, 1, 1));
                state.write(1, 14, change(1, 3, 4));
                state.read_index(1, 13);
            }
            Scenario::HeadSuspected | Scenario::HeadCutOff => {
                state.partition(0);
                state.settle_for(if self.scenario == Scenario::HeadCutOff { 25 } else { 13 });
                state.write(0, 10, change(1, 2, 2));
                state.write(1, 11, change(1, 2, 3));
                state.read(0, 12);
                state.read(2, 13);
            }
            Scenario::TailCutOff => {
                state.partition(2);
                state.settle_for(25);
                state.write(0, 9, change(1, 2, 2));
                state.settle_for(3);
                assert_eq!(state.history.newest, 2, "the others have not committed the second change");
                state.read(2, 10);
                state.read_index(2, 11);
                state.write(2, 12, change(1, 2, 3));
            }
            Scenario::AllWithoutPower => {
                state.write(0, 10, change(1, 2, 2));
                state.sync(0);
                (0..MEMBERS).for_each(|machine| state.restart(machine, false));
                state.write(1, 11, change(1, 2, 3));
                state.read(2, 12);
            }
            Scenario::TailReplaced => {
                state.write(0, 10, change(1, 2, 2));
                state.restart(2, true);
                state.remaining.wipes = 0;
                state.settle_for(14);
                state.write(1, 11, change(1, 2, 3));
                state.read_index(1, 12);
            }
            Scenario::MiddleLeaves => {
                state.deliver_input(1, Input::Shutdown);
                state.write(1, 10, change(1, 2, 2));
                state.write(2, 11, change(1, 2, 3));
                state.read(0, 12);
            }
        }
        state
    }
}

impl Model for SmallWorld {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.violation().is_some() {
            return;
        }
        let links = state.links.iter().filter(|(_, queue)| !queue.is_empty());
        actions.extend(links.map(|((from, to), _)| Action::Deliver(*from, *to)));
        for machine in 0..MEMBERS {
            if !state.machines[machine].writes.is_empty() {
                actions.push(Action::Sync(machine));
            }
            if state.remaining.kills > 0 {
                actions.push(Action::Kill(machine));
            }
            if state.remaining.wipes > 0 {
                actions.push(Action::Wipe(machine));
            }
        }
        if state.remaining.ticks > 0 {
            actions.push(Action::Tick);
        }
        if state.remaining.heals > 0 && state.cut_off.is_some() {
            actions.push(Action::Heal);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => state.deliver(from, to),
            Action::Sync(machine) => state.sync(machine),
            Action::Tick => {
                state.remaining.ticks -= 1;
                state.tick();
            }
            Action::Kill(machine) => {
                state.remaining.kills -= 1;
                state.restart(machine, false);
            }
            Action::Wipe(machine) => {
                state.remaining.wipes -= 1;
                state.restart(machine, true);
            }
            Action::Heal => {
                state.remaining.heals -= 1;
                state.cut_off = None;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(INVARIANTS, |_, state: &State| state.violation().is_none())]
    }
}
