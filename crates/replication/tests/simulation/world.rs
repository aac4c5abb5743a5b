//! The simulated world: machines, network and time.

use super::checker::Checker;
use super::disk::{Disk, WriteResult};
use super::ms;
use super::operators::{Operation, Operators, PendingOperation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use replication::{
    Change, Entry, Fault, Input, MemberId, Message, Output, Replica, RequestId, RequestOutcome, Settings,
    TICK_INTERVAL, View,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub struct Machine {
    pub address: SocketAddrV4,
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// Incremented at each start and stop of its process; events for an earlier value are dropped.
    pub incarnation: u64,
    pub frozen: bool,
    /// Inputs that arrived while it was frozen, delivered afterwards.
    deferred: Vec<Input>,
    pub removed: bool,
    pub bootstrap: bool,
    /// The newest entry that this process reported as committed.
    pub newest: Option<Entry>,
    /// When it was last started, stopped or unfrozen.
    pub stable_since: Duration,
}

enum Event {
    Tick { machine: usize, incarnation: u64 },
    Deliver { from: SocketAddrV4, to: SocketAddrV4, message: Box<Message> },
    DiskDone { machine: usize, incarnation: u64 },
    Start { machine: usize, incarnation: u64 },
    Unfreeze { machine: usize, incarnation: u64 },
}

struct Scheduled(Duration, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Called with each output of a replica and the number of its machine.
pub type OutputObserver = Box<dyn FnMut(usize, &Output)>;

pub struct World {
    pub now: Duration,
    pub random: Pcg64Mcg,
    pub machines: Vec<Machine>,
    pub seeds: Vec<SocketAddrV4>,
    pub tolerated: usize,
    events: BinaryHeap<Reverse<Scheduled>>,
    event_count: u64,
    /// Directed links, as pairs of addresses, that deliver nothing.
    pub cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// How many of a thousand messages are lost, duplicated or delayed.
    pub lost_per_mille: u32,
    pub duplicated_per_mille: u32,
    pub delayed_per_mille: u32,
    last_arrival: BTreeMap<(SocketAddrV4, SocketAddrV4), Duration>,
    pub operators: Operators,
    /// Read index requests of coordinators, with their outcomes. They are not retried.
    pub read_index_outcomes: BTreeMap<RequestId, Option<RequestOutcome>>,
    pub checker: Checker,
    /// The fault injected into all replicas that start from now on.
    pub fault: Option<Fault>,
    pub sync_time: Duration,
    /// Messages to drop: sender, recipient, and a part of the message's debug text.
    pub dropped_messages: Vec<(usize, usize, &'static str)>,
    /// The history length of the replicas.
    pub history_length: usize,
    /// Whether new views and injected failures are printed.
    pub prints_views: bool,
    /// Called with all outputs of replicas.
    pub observer: Option<OutputObserver>,
    /// Whether each promise and acceptance that is sent must be on its sender's disk.
    pub checks_votes: bool,
}

pub fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(number).expect("few machines")), 7680)
}

impl World {
    /// A world of `count` machines with empty disks; the first three at most are the seeds.
    pub fn new(seed: u64, count: usize, tolerated: usize) -> Self {
        let mut world = World {
            now: ms(1_000),
            random: Pcg64Mcg::seed_from_u64(seed),
            machines: Vec::new(),
            seeds: (1..=count.min(3)).map(address).collect(),
            tolerated,
            events: BinaryHeap::new(),
            event_count: 0,
            cuts: BTreeSet::new(),
            lost_per_mille: 0,
            duplicated_per_mille: 0,
            delayed_per_mille: 0,
            last_arrival: BTreeMap::new(),
            operators: Operators::default(),
            read_index_outcomes: BTreeMap::new(),
            checker: Checker::default(),
            fault: None,
            sync_time: ms(2),
            dropped_messages: Vec::new(),
            history_length: replication::DEFAULT_HISTORY_LENGTH,
            prints_views: false,
            observer: None,
            checks_votes: false,
        };
        for _ in 0..count {
            world.add_machine(true);
        }
        world
    }

    /// Adds a machine with an empty disk that starts within 0.3 s. Returns its number.
    pub fn add_machine(&mut self, bootstrap: bool) -> usize {
        let machine = self.machines.len();
        self.machines.push(Machine {
            address: address(machine + 1),
            replica: None,
            disk: Disk::new(self.sync_time),
            incarnation: 0,
            frozen: false,
            deferred: Vec::new(),
            removed: false,
            bootstrap,
            newest: None,
            stable_since: self.now,
        });
        let delay = self.random.random_range(0..300);
        self.start_after(machine, ms(delay));
        machine
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse(Scheduled(at, self.event_count, event)));
    }

    pub fn start_after(&mut self, machine: usize, delay: Duration) {
        let incarnation = self.machines[machine].incarnation;
        self.schedule(self.now + delay, Event::Start { machine, incarnation });
    }

    /// Kills the process, as a crash or a power loss does. The disk keeps its content.
    pub fn stop(&mut self, machine: usize) {
        let now = self.now;
        let random = &mut self.random;
        let stopped = &mut self.machines[machine];
        stopped.incarnation += 1;
        stopped.replica = None;
        stopped.frozen = false;
        stopped.deferred.clear();
        stopped.stable_since = now;
        stopped.disk.interrupt(random);
    }

    /// Stops a machine and starts it again after `down`.
    pub fn restart(&mut self, machine: usize, down: Duration) {
        self.stop(machine);
        self.start_after(machine, down);
    }

    /// Stops a machine, wipes its disk, and starts it again after `down`.
    pub fn restart_wiped(&mut self, machine: usize, down: Duration) {
        self.stop(machine);
        self.machines[machine].disk.wipe();
        self.machines[machine].bootstrap = false;
        self.start_after(machine, down);
    }

    pub fn remove(&mut self, machine: usize) {
        self.stop(machine);
        self.machines[machine].removed = true;
    }

    pub fn freeze(&mut self, machine: usize, span: Duration) {
        if self.machines[machine].replica.is_none() {
            return;
        }
        self.machines[machine].frozen = true;
        let incarnation = self.machines[machine].incarnation;
        self.schedule(self.now + span, Event::Unfreeze { machine, incarnation });
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        let pair = (self.machines[from].address, self.machines[to].address);
        self.cuts.insert(pair);
    }

    pub fn cut_off(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            self.cut(machine, other);
            self.cut(other, machine);
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| self.machines[*at].replica.is_some()).collect()
    }

    pub fn replica(&self, machine: usize) -> &Replica {
        self.machines[machine].replica.as_ref().expect("it runs")
    }

    /// The newest view that any machine knows.
    pub fn view(&self) -> Option<View> {
        let views = self.machines.iter().filter_map(|machine| machine.replica.as_ref()?.view().cloned());
        views.max_by_key(|view| view.number)
    }

    pub fn machine_of(&self, id: MemberId) -> Option<usize> {
        self.running().into_iter().find(|machine| self.replica(*machine).status().id == id)
    }

    pub fn head(&self) -> Option<usize> {
        self.machine_of(*self.view()?.chain.first()?)
    }

    pub fn tail(&self) -> Option<usize> {
        self.machine_of(*self.view()?.chain.last()?)
    }

    /// Whether all running machines know one view, and its chain and voters are as many of them as there can
    /// be.
    pub fn all_in_chain(&self) -> bool {
        let Some(view) = self.view() else { return false };
        let wanted = (2 * self.tolerated + 1).min(self.running().len());
        let all_know = self.running().iter().all(|machine| self.replica(*machine).view() == Some(&view));
        let alive = view.chain.iter().all(|id| self.machine_of(*id).is_some());
        all_know && alive && view.chain.len() == wanted && view.voters.len() == wanted
    }

    /// Runs until the time `end`, or until an invariant is violated.
    pub fn run_until(&mut self, end: Duration) {
        while self.checker.violation.is_none() {
            let next = self.events.peek().map(|Reverse(Scheduled(at, ..))| *at);
            if next.is_none_or(|at| at > end) {
                break;
            }
            let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle_event(event);
        }
        self.now = self.now.max(end);
        self.retry_overdue();
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end && self.checker.violation.is_none() {
            self.run_until((self.now + ms(50)).min(end));
        }
    }

    /// Runs until `done` holds, for at most `limit`. Returns how long it took; `None` if it did not.
    pub fn run_until_holds(&mut self, limit: Duration, done: impl Fn(&World) -> bool) -> Option<Duration> {
        let started_at = self.now;
        while !done(self) {
            if self.now >= started_at + limit || self.checker.violation.is_some() {
                return None;
            }
            self.run_until(self.now + ms(5));
        }
        Some(self.now - started_at)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { machine, incarnation } if self.is_current(machine, incarnation) => {
                let late = self.random.random_range(0..3);
                self.schedule(self.now + TICK_INTERVAL + ms(late), Event::Tick { machine, incarnation });
                if !self.machines[machine].frozen {
                    self.deliver_input(machine, Input::Tick);
                }
            }
            Event::Deliver { from, to, message } => self.deliver(from, to, *message),
            Event::DiskDone { machine, incarnation } if self.is_current(machine, incarnation) => {
                self.disk_done(machine)
            }
            Event::Start { machine, incarnation } if incarnation == self.machines[machine].incarnation => {
                self.start(machine)
            }
            Event::Unfreeze { machine, incarnation } if self.is_current(machine, incarnation) => {
                self.unfreeze(machine)
            }
            _ => {}
        }
    }

    fn is_current(&self, machine: usize, incarnation: u64) -> bool {
        self.machines[machine].incarnation == incarnation && self.machines[machine].replica.is_some()
    }

    fn start(&mut self, machine: usize) {
        if self.machines[machine].removed || self.machines[machine].replica.is_some() {
            return;
        }
        let started = &mut self.machines[machine];
        let settings = Settings {
            address: started.address,
            zone: format!("zone-{machine}"),
            seeds: self.seeds.clone(),
            bootstrap: started.bootstrap,
            tolerated_failures: self.tolerated,
            history_length: self.history_length,
        };
        let records = started.disk.read();
        started.incarnation += 1;
        started.newest = None;
        started.stable_since = self.now;
        let incarnation = started.incarnation;
        let seed = self.random.random();
        let (replica, outputs) = Replica::open_with_fault(settings, records, seed, self.now, self.fault);
        self.machines[machine].replica = Some(replica);
        self.perform(machine, outputs);
        self.schedule(self.now + TICK_INTERVAL, Event::Tick { machine, incarnation });
    }

    fn unfreeze(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.machines[machine].stable_since = self.now;
        for input in std::mem::take(&mut self.machines[machine].deferred) {
            self.deliver_input(machine, input);
        }
    }

    pub fn deliver_input(&mut self, machine: usize, input: Input) {
        let now = self.now;
        let recipient = &mut self.machines[machine];
        if recipient.frozen {
            recipient.deferred.push(input);
            return;
        }
        if let Some(replica) = &mut recipient.replica {
            let outputs = replica.handle(now, input);
            self.perform(machine, outputs);
        }
    }

    fn perform(&mut self, machine: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Some(observer) = &mut self.observer {
                observer(machine, &output);
            }
            match output {
                Output::Send { to, message } => self.send(machine, to, message),
                Output::Store(id, record) => self.machines[machine].disk.append(id, record),
                Output::Rewrite(id, records) => self.machines[machine].disk.rewrite(id, records),
                Output::Respond(request, outcome) => self.receive_outcome(request, &outcome),
                Output::Committed(entry) => {
                    let who = self.machines[machine].address.to_string();
                    let newest = &mut self.machines[machine].newest;
                    if newest.as_ref().is_some_and(|newest| entry.sequence <= newest.sequence) {
                        self.checker
                            .violation
                            .get_or_insert(format!("{who} reports {} again or out of order", entry.sequence));
                    }
                    self.checker.check_committed(self.now, &who, &entry);
                    *newest = Some(entry);
                }
                Output::ViewChanged(view) => self.view_changed(machine, &view),
            }
        }
        self.begin_disk(machine);
    }

    fn view_changed(&mut self, machine: usize, view: &View) {
        let who = self.machines[machine].address.to_string();
        self.checker.check_view(&who, view);
        if self.prints_views {
            let number =
                |id: &MemberId| view.voters.iter().find(|voter| voter.id == *id).map(|voter| voter.address);
            let chain: Vec<_> = view.chain.iter().map(number).collect();
            let voters: Vec<_> = view.voters.iter().map(|voter| voter.address).collect();
            println!("{:?} {machine}: view {} chain {chain:?} voters {voters:?}", self.now, view.number);
        }
    }

    fn begin_disk(&mut self, machine: usize) {
        let incarnation = self.machines[machine].incarnation;
        if let Some(span) = self.machines[machine].disk.begin(self.now, &mut self.random) {
            self.schedule(self.now + span, Event::DiskDone { machine, incarnation });
        }
    }

    fn disk_done(&mut self, machine: usize) {
        let done = self.machines[machine].disk.finish();
        for end in done {
            let input = match end {
                WriteResult::Stored(id) => Input::Stored(id),
                WriteResult::NotStored(id) => Input::NotStored(id),
            };
            self.deliver_input(machine, input);
        }
        self.begin_disk(machine);
    }

    fn send(&mut self, machine: usize, to: SocketAddrV4, message: Message) {
        let from = self.machines[machine].address;
        if self.checks_votes && !self.machines[machine].disk.contains_vote(&message) {
            self.checker
                .violation
                .get_or_insert(format!("{from} sends {message:?}, which is not on its disk"));
        }
        let copies = if self.random.random_range(0..1_000) < self.duplicated_per_mille { 2 } else { 1 };
        for _ in 0..copies {
            if self.random.random_range(0..1_000) < self.lost_per_mille {
                continue;
            }
            let late = if self.random.random_range(0..1_000) < self.delayed_per_mille {
                self.random.random_range(0..2_000)
            } else {
                0
            };
            let delay = Duration::from_micros(self.random.random_range(900..1_400)) + ms(late);
            let earliest = self.last_arrival.get(&(from, to)).copied().unwrap_or_default();
            let at = if late > 0 { self.now + delay } else { (self.now + delay).max(earliest) };
            if late == 0 {
                self.last_arrival.insert((from, to), at);
            }
            self.schedule(at, Event::Deliver { from, to, message: Box::new(message.clone()) });
        }
    }

    fn is_dropped(&self, from: SocketAddrV4, to: SocketAddrV4, message: &Message) -> bool {
        self.dropped_messages.iter().any(|(one, other, what)| {
            let between = (self.machines[*one].address, self.machines[*other].address);
            between == (from, to) && format!("{message:?}").contains(what)
        })
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: Message) {
        if self.cuts.contains(&(from, to)) || self.is_dropped(from, to, &message) {
            return;
        }
        let machine = self.machines.iter().position(|machine| machine.address == to && !machine.removed);
        if let Some(machine) = machine {
            self.deliver_input(machine, Input::Received { from, message });
        }
    }

    /// Has an operator submit an operation to a machine.
    pub fn submit(&mut self, machine: usize, operation: Operation) -> RequestId {
        let pending = PendingOperation {
            operation,
            started_at: self.now,
            sent_at: self.now,
            machine,
            response_ignored: false,
        };
        self.send_pending(pending)
    }

    pub fn write(&mut self, machine: usize, change: Change) -> RequestId {
        self.submit(machine, Operation::Write(change))
    }

    fn send_pending(&mut self, pending: PendingOperation) -> RequestId {
        let request = self.operators.next_request_id();
        let machine = pending.machine;
        let input = match &pending.operation {
            Operation::Write(change) => Input::Write(request, change.clone()),
            Operation::Read => Input::Read(request),
            Operation::ReadIndex => Input::ReadIndex(request),
        };
        self.operators.pending.insert(request, pending);
        if self.machines[machine].replica.is_some() {
            self.deliver_input(machine, input);
        }
        request
    }

    /// Has a coordinator request the sequence of the newest entry. The outcome is stored in
    /// [`World::read_index_outcomes`].
    pub fn request_read_index(&mut self, machine: usize) -> RequestId {
        let request = self.operators.next_request_id();
        self.read_index_outcomes.insert(request, None);
        self.deliver_input(machine, Input::ReadIndex(request));
        request
    }

    fn receive_outcome(&mut self, request: RequestId, outcome: &RequestOutcome) {
        if let Some(read_index) = self.read_index_outcomes.get_mut(&request) {
            *read_index = Some(outcome.clone());
            return;
        }
        let Some(pending) = self.operators.pending.remove(&request) else { return };
        if *outcome == RequestOutcome::Unknown || pending.response_ignored {
            self.operators.pending.insert(request, PendingOperation { response_ignored: true, ..pending });
            return;
        }
        self.operators.observe_outcome(&pending, outcome);
        match (&pending.operation, outcome) {
            (Operation::Write(change), outcome) => {
                self.checker.check_change_outcome(self.now, change, outcome);
            }
            (Operation::Read, RequestOutcome::Current(entry)) => {
                self.checker.check_read(pending.sent_at, self.now, entry.as_ref())
            }
            (Operation::ReadIndex, RequestOutcome::ReadIndex { sequence }) => {
                self.checker.check_read_index(pending.sent_at, self.now, sequence.get());
            }
            (Operation::Read | Operation::ReadIndex, _) => {
                self.checker.violation.get_or_insert("a read got the response to a change".into());
            }
        }
    }

    /// Cancels the operations that have waited too long, and retries them at another machine.
    fn retry_overdue(&mut self) {
        for (request, pending) in self.operators.take_overdue(self.now) {
            if let Some(machine) = self.running_machine(request, &pending) {
                self.deliver_input(machine, Input::Cancel(request));
            }
            let running = self.running();
            if let (Some(pending), false) = (pending, running.is_empty()) {
                let machine = running[self.random.random_range(0..running.len())];
                self.send_pending(PendingOperation {
                    sent_at: self.now,
                    machine,
                    response_ignored: false,
                    ..pending
                });
            }
        }
    }

    fn running_machine(&self, _request: RequestId, pending: &Option<PendingOperation>) -> Option<usize> {
        pending
            .as_ref()
            .map(|pending| pending.machine)
            .filter(|machine| self.machines[*machine].replica.is_some())
    }
}
