//! The state of a replica, and the dispatch of inputs and messages.

use crate::chain_state::{ChainState, ReceivedCopy};
use crate::durability::WriteTracker;
use crate::identifiers::{Incarnation, MemberId, Sequence, ViewNumber};
use crate::interface::{Input, Output, Settings, Status};
use crate::message::{Message, MessageBody, Request};
use crate::model::{Member, View};
use crate::paxos::{ATTEMPT_TIMEOUT, Acceptor, Attempt, AttemptKind, VoterPromise};
use crate::peers::Peers;
use crate::pending_requests::PendingRequests;
use crate::read_index::ReadIndexRounds;
use crate::record::Record;
use crate::register::{Register, ReplicationProgress};
use crate::write_queue::WriteQueue;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A longer gap between two inputs means that the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// How recent the contact with a majority of the voters must be.
const QUORUM_CONTACT_WINDOW: Duration = Duration::from_millis(1_000);

/// A member as a state machine without I/O: inputs go in, outputs for the driver come out.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) id: MemberId,
    /// Drawn at each start, so that this process discards messages meant for an earlier one of the same
    /// member.
    pub(crate) incarnation: Incarnation,
    pub(crate) random: Pcg64Mcg,
    pub(crate) now: Duration,
    /// Whether the identity is on disk. Nothing is sent before it is.
    pub(crate) identity_durable: bool,
    pub(crate) shutting_down: bool,
    pub(crate) view: Option<View>,
    /// The known views before `view`, the oldest first.
    pub(crate) earlier_views: VecDeque<View>,
    pub(crate) acceptor: Acceptor,
    pub(crate) attempt: Option<Attempt>,
    /// Doubles with each attempt that fails, up to a maximum; reset when a view is adopted.
    pub(crate) attempt_timeout: Duration,
    /// The highest round of any known proposal number.
    pub(crate) highest_round: u64,
    /// No attempt begins before this time: a random backoff after a failed attempt, or time left for another
    /// voter's proposal.
    pub(crate) no_attempt_before: Duration,
    /// Since when this member has wanted to replace the view.
    pub(crate) view_desired_since: Option<Duration>,
    /// Since when no member with all committed entries has been reachable.
    pub(crate) leaderless_since: Option<Duration>,
    pub(crate) register: Register,
    pub(crate) progress: ReplicationProgress,
    pub(crate) chain: ChainState,
    pub(crate) writes: WriteTracker,
    pub(crate) peers: Peers,
    pub(crate) pending_requests: PendingRequests,
    pub(crate) write_queue: WriteQueue,
    pub(crate) read_index: ReadIndexRounds,
    /// The sequence of the newest entry that was reported as [`Output::Committed`].
    published: Sequence,
    pub(crate) heartbeat_sent_at: Option<Duration>,
    pub(crate) view_requested_at: Option<Duration>,
    pub(crate) copy_requested_at: Option<Duration>,
    pub(crate) outputs: Vec<Output>,
    /// Messages from this member to itself, handled at the end of the step.
    pub(crate) loopback: VecDeque<Message>,
    #[cfg(feature = "planted-faults")]
    pub(crate) fault: Option<crate::fault::Fault>,
}

impl Replica {
    /// Starts a replica at the time `now` from the records on its disk, which are none for a new disk. `seed`
    /// is the seed of its random source: identities and incarnations are drawn from it, so it must be
    /// different at each start.
    pub fn open(settings: Settings, records: Vec<Record>, seed: u64, now: Duration) -> (Self, Vec<Output>) {
        let mut replica = Self::empty(settings, seed, now);
        let outputs = replica.begin(records);
        (replica, outputs)
    }

    /// Does the same as [`Replica::open`], with an injected fault.
    #[cfg(feature = "planted-faults")]
    pub fn open_with_fault(
        settings: Settings,
        records: Vec<Record>,
        seed: u64,
        now: Duration,
        fault: Option<crate::Fault>,
    ) -> (Self, Vec<Output>) {
        let mut replica = Self::empty(settings, seed, now);
        replica.fault = fault;
        let outputs = replica.begin(records);
        (replica, outputs)
    }

    fn empty(settings: Settings, seed: u64, now: Duration) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let incarnation = Incarnation(random.next_u64() >> 1);
        Replica {
            id: MemberId(0),
            incarnation,
            random,
            now,
            identity_durable: false,
            shutting_down: false,
            view: None,
            earlier_views: VecDeque::new(),
            acceptor: Acceptor::default(),
            attempt: None,
            attempt_timeout: ATTEMPT_TIMEOUT,
            highest_round: 0,
            no_attempt_before: now,
            view_desired_since: None,
            leaderless_since: None,
            register: Register::new(settings.history_length),
            settings,
            progress: ReplicationProgress::default(),
            chain: ChainState::default(),
            writes: WriteTracker::new(0),
            peers: Peers::new(now),
            pending_requests: PendingRequests::default(),
            write_queue: WriteQueue::default(),
            read_index: ReadIndexRounds::new(incarnation),
            published: Sequence::NONE,
            heartbeat_sent_at: None,
            view_requested_at: None,
            copy_requested_at: None,
            outputs: Vec::new(),
            loopback: VecDeque::new(),
            #[cfg(feature = "planted-faults")]
            fault: None,
        }
    }

    fn begin(&mut self, records: Vec<Record>) -> Vec<Output> {
        self.restore(records);
        self.finish_step();
        std::mem::take(&mut self.outputs)
    }

    /// Handles an event and returns the effects to perform, in order. `now` is monotonic time and must not
    /// decrease from call to call.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        if now > self.now + STALL_THRESHOLD {
            self.peers.record_stall(now);
        }
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Received { from, message } => self.receive(from, message),
            Input::Stored(id) => self.write_completed(id),
            Input::NotStored(id) => self.write_failed(id),
            Input::Write(id, change) => self.submit(id, Request::Write(change)),
            Input::Read(id) => self.submit(id, Request::Read),
            Input::ReadIndex(id) => self.submit(id, Request::ReadIndex),
            Input::Cancel(id) => self.cancel(id),
            Input::Shutdown => self.begin_shutdown(),
            Input::SetSeeds(seeds) => self.settings.seeds = seeds,
        }
        self.finish_step();
        std::mem::take(&mut self.outputs)
    }

    /// The newest view that this member knows; `None` before it has joined a group.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether this member is the active head of the chain and has had recent contact with a majority of the
    /// voters.
    pub fn is_acting_head(&self) -> bool {
        self.is_acting_head_at(self.now)
    }

    /// Does the same as [`Replica::is_acting_head`] for the time `now`, which may be later than the last
    /// input. Contact from before a stall of the process is then too old to count.
    pub fn is_acting_head_at(&self, now: Duration) -> bool {
        self.is_head() && self.is_active() && !self.shutting_down && self.has_quorum_contact_at(now)
    }

    /// A snapshot of what this member knows, which may lag behind other members.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            view: self.view.clone(),
            stored: self.chain.durable_newest.sequence,
            committed: self.register.committed_key().sequence,
            generation: self.register.generation(),
            has_quorum_contact: self.has_quorum_contact(),
        }
    }

    fn tick(&mut self) {
        self.tick_disk();
        self.tick_heartbeats();
        self.tick_view_change();
        self.tick_chain();
        self.tick_requests();
    }

    fn begin_shutdown(&mut self) {
        self.shutting_down = true;
        self.send_heartbeats();
    }

    /// Finishes the handling of an input: delivers messages to itself and publishes a newly committed entry.
    fn finish_step(&mut self) {
        while let Some(message) = self.loopback.pop_front() {
            self.receive(self.settings.address, message);
        }
        self.publish_committed();
        self.register.assert_consistent();
    }

    /// Outputs the newest committed entry if it is a new one, and notifies members outside the chain.
    fn publish_committed(&mut self) {
        let Some(entry) = self.register.committed().filter(|entry| entry.sequence > self.published) else {
            return;
        };
        self.published = entry.sequence;
        self.outputs.push(Output::Committed(entry.clone()));
        if self.is_tail() {
            self.send_heartbeats_outside_chain();
        }
    }

    fn receive(&mut self, from: SocketAddrV4, message: Message) {
        self.compare_views(from, &message);
        let Message { sender, view, body } = message;
        let same_view = view == self.view_number() || has_fault!(self, AcceptsOldViews);
        match body {
            MessageBody::Heartbeat(heartbeat) => self.receive_heartbeat(sender, view, *heartbeat),
            MessageBody::Decided(views) => self.adopt_all(views),
            MessageBody::Forward { origin, request } => self.receive_request(origin, request),
            MessageBody::Response { origin, outcome } => self.receive_response(origin, outcome),
            MessageBody::CopyRequest { newest } => self.receive_copy_request(sender, newest),
            MessageBody::Copy { transfer, active } => {
                self.receive_copy(ReceivedCopy { view, transfer: *transfer, active });
            }
            body if same_view => self.receive_in_view(sender, body),
            _ => {}
        }
    }

    /// Handles a message that is valid only if sender and receiver know the same view.
    fn receive_in_view(&mut self, sender: MemberId, body: MessageBody) {
        match body {
            MessageBody::Prepare { slot, number, forced } => {
                let kind = if forced { AttemptKind::Forced } else { AttemptKind::Regular };
                self.receive_prepare(sender, slot, number, kind);
            }
            MessageBody::Promise { slot, number, accepted, synced } => {
                self.receive_promise(sender, slot, number, VoterPromise { accepted, synced });
            }
            MessageBody::Accept { slot, proposal } => self.receive_accept(sender, slot, proposal),
            MessageBody::Accepted { slot, number } => self.receive_accepted(sender, slot, number),
            MessageBody::Rejected { slot, promised } => self.receive_rejected(slot, promised),
            MessageBody::Append { previous, entry } => self.receive_append(sender, previous, entry),
            MessageBody::Offer { newest } => self.receive_offer(sender, newest),
            MessageBody::Sync(transfer) => self.receive_sync(sender, *transfer),
            MessageBody::Progress(progress) => self.receive_progress(sender, progress),
            MessageBody::ConfirmView { round } => self.receive_confirmation_request(sender, round),
            MessageBody::ViewConfirmed { round } => self.receive_confirmation(sender, round),
            _ => {}
        }
    }

    pub(crate) fn view_number(&self) -> ViewNumber {
        self.view.as_ref().map_or(ViewNumber::NONE, |view| view.number)
    }

    pub(crate) fn voters(&self) -> &[Member] {
        self.view.as_ref().map_or(&[], |view| &view.voters)
    }

    pub(crate) fn is_voter(&self, id: MemberId) -> bool {
        self.voters().iter().any(|voter| voter.id == id)
    }

    pub(crate) fn majority(&self) -> usize {
        if has_fault!(self, HalfIsMajority) {
            return self.voters().len().div_ceil(2).max(1) - usize::from(self.voters().len() > 2);
        }
        self.voters().len() / 2 + 1
    }

    /// Whether this member has recently had two-way contact with a majority of the voters.
    pub(crate) fn has_quorum_contact(&self) -> bool {
        self.has_quorum_contact_at(self.now)
    }

    fn has_quorum_contact_at(&self, now: Duration) -> bool {
        let reached = |id| id == self.id || self.peers.has_two_way_contact(now, id, QUORUM_CONTACT_WINDOW);
        let count = self.voters().iter().filter(|voter| reached(voter.id)).count();
        !self.voters().is_empty() && count >= self.majority()
    }
}
