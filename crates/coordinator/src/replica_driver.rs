//! The driver of the replica: passes inputs to the state machine and performs its outputs.

use crate::clock::Clock;
use crate::membership::{RoleStatus, members_in_order};
use crate::peer_protocol::PeerMessage;
use crate::peers::Peers;
use crate::storage::{Storage, StorageCommand};
use replication::{Change, Entry, Input, Output, Replica, RequestId, RequestOutcome, Status, View};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};

/// Runs the replica: connects it with the storage thread, the peers and the clients of requests in progress.
pub struct ReplicaDriver {
    state: Mutex<DriverState>,
    peers: Arc<Peers>,
    clock: Clock,
    committed: watch::Sender<Option<Arc<Entry>>>,
    view: watch::Sender<Option<Arc<View>>>,
    role_status: watch::Sender<RoleStatus>,
}

struct DriverState {
    replica: Replica,
    storage: Storage,
    pending: HashMap<RequestId, oneshot::Sender<RequestOutcome>>,
    last_request: u64,
}

/// A request in progress. Dropping it cancels the request; a change that was already sent may still be
/// committed.
pub struct PendingRequest<'a> {
    driver: &'a ReplicaDriver,
    id: RequestId,
    outcome: oneshot::Receiver<RequestOutcome>,
}

impl ReplicaDriver {
    /// Starts with a replica that was just opened, and performs the outputs of opening it.
    pub fn start(
        replica: Replica,
        outputs: Vec<Output>,
        storage: Storage,
        peers: Arc<Peers>,
        clock: Clock,
    ) -> Self {
        let view = replica.view().cloned().map(Arc::new);
        let state = DriverState { replica, storage, pending: HashMap::new(), last_request: 0 };
        let driver = ReplicaDriver {
            state: Mutex::new(state),
            peers,
            clock,
            committed: watch::channel(None).0,
            view: watch::channel(view).0,
            role_status: watch::channel(RoleStatus::default()).0,
        };
        driver.perform_initial(outputs);
        driver
    }

    /// Watches the newest entry that this member knows to be committed; `None` if there is none.
    pub fn committed(&self) -> watch::Receiver<Option<Arc<Entry>>> {
        self.committed.subscribe()
    }

    /// Watches the view in force; `None` if this member knows no view yet.
    pub fn view(&self) -> watch::Receiver<Option<Arc<View>>> {
        self.view.subscribe()
    }

    /// Watches this member's role, which is updated with each tick. It may be out of date after the process
    /// was suspended: see [`ReplicaDriver::is_acting_head`].
    pub fn role_status(&self) -> watch::Receiver<RoleStatus> {
        self.role_status.subscribe()
    }

    /// The replica's state, for operators and metrics.
    pub fn status(&self) -> Status {
        self.state().replica.status()
    }

    /// Waits until a chain without this member stores everything that is committed. Has no time limit of its
    /// own.
    pub async fn wait_until_handed_over(&self) {
        // The wait can't fail, because the sender lives as long as this driver.
        let _ = self.role_status().wait_for(|role| role.handed_over).await;
    }

    /// Passes an input to the replica and performs the outputs.
    pub fn handle(&self, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        self.run(&mut self.state(), VecDeque::from([input]));
        if is_tick {
            self.publish_role_status();
        }
    }

    /// Requests a change of the configuration.
    pub fn write(&self, change: Change) -> PendingRequest<'_> {
        self.request(|id| Input::Write(id, change))
    }

    /// Requests a linearizable read of the newest entry.
    pub fn read(&self) -> PendingRequest<'_> {
        self.request(Input::Read)
    }

    /// Requests the read index: the sequence of the newest entry, as confirmed by a majority.
    pub fn read_index(&self) -> PendingRequest<'_> {
        self.request(Input::ReadIndex)
    }

    /// Whether this member is the head of the chain and has quorum contact at this moment. Unlike the
    /// published role this accounts for the time during which the process was suspended.
    pub fn is_acting_head(&self) -> bool {
        self.state().replica.is_acting_head_at(self.clock.now())
    }

    fn request(&self, input: impl FnOnce(RequestId) -> Input) -> PendingRequest<'_> {
        let (sender, outcome) = oneshot::channel();
        let mut state = self.state();
        state.last_request += 1;
        let id = RequestId(state.last_request);
        state.pending.insert(id, sender);
        self.run(&mut state, VecDeque::from([input(id)]));
        PendingRequest { driver: self, id, outcome }
    }

    fn cancel(&self, id: RequestId) {
        let mut state = self.state();
        if state.pending.remove(&id).is_some() {
            self.run(&mut state, VecDeque::from([Input::Cancel(id)]));
        }
    }

    fn state(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Performs the outputs of opening the replica.
    fn perform_initial(&self, outputs: Vec<Output>) {
        let mut state = self.state();
        let mut inputs = VecDeque::new();
        self.perform(&mut state, outputs, &mut inputs);
        self.run(&mut state, inputs);
    }

    /// Passes inputs to the replica, and then those that follow from its outputs.
    fn run(&self, state: &mut DriverState, mut inputs: VecDeque<Input>) {
        while let Some(input) = inputs.pop_front() {
            let outputs = state.replica.handle(self.clock.now(), input);
            self.perform(state, outputs, &mut inputs);
        }
    }

    /// Performs outputs. Messages of the replica to itself are appended to `inputs`.
    fn perform(&self, state: &mut DriverState, outputs: Vec<Output>, inputs: &mut VecDeque<Input>) {
        for output in outputs {
            match output {
                Output::Send { to, message } if to == self.peers.own_address() => {
                    inputs.push_back(Input::Received { from: to, message });
                }
                Output::Send { to, message } => self.peers.send(to, &PeerMessage::Replica(message)),
                Output::Store(id, record) => {
                    state.storage.submit(StorageCommand::Append(id, Box::new(record)));
                }
                Output::Rewrite(id, records) => state.storage.submit(StorageCommand::Rewrite(id, records)),
                Output::Respond(id, outcome) => {
                    if let Some(sender) = state.pending.remove(&id) {
                        // Fails only if the client no longer waits.
                        let _ = sender.send(outcome);
                    }
                }
                Output::Committed(entry) => self.publish_committed(entry),
                Output::ViewChanged(view) => self.publish_view(view),
            }
        }
    }

    fn publish_committed(&self, entry: Entry) {
        log::info!("configuration {}: committed, sequence {}", entry.change.generation, entry.sequence);
        self.committed.send_if_modified(|known| {
            let is_newer = known.as_ref().is_none_or(|known| known.sequence < entry.sequence);
            if is_newer {
                *known = Some(Arc::new(entry));
            }
            is_newer
        });
    }

    fn publish_view(&self, view: View) {
        let addresses: Vec<String> =
            members_in_order(&view).iter().map(|member| member.address.to_string()).collect();
        let (number, chain_length) = (view.number, view.chain.len());
        log::info!("view {number}: chain of {chain_length}, members in order {}", addresses.join(" "));
        self.view.send_replace(Some(Arc::new(view)));
    }

    fn publish_role_status(&self) {
        let role = self.current_role_status();
        let before = *self.role_status.borrow();
        if before == role {
            return;
        }
        if before.has_quorum_contact != role.has_quorum_contact {
            let change = if role.has_quorum_contact { "established" } else { "lost" };
            log::info!("contact with a majority {change}");
        }
        if before.acting_head != role.acting_head {
            let change = if role.acting_head { "acting" } else { "no longer acting" };
            log::info!("{change} as head of the chain");
        }
        self.role_status.send_replace(role);
    }

    fn current_role_status(&self) -> RoleStatus {
        let state = self.state();
        RoleStatus {
            acting_head: state.replica.is_acting_head(),
            handed_over: state.replica.has_handed_over(),
            has_quorum_contact: state.replica.status().has_quorum_contact,
        }
    }
}

impl PendingRequest<'_> {
    /// Waits for the outcome. Has no time limit of its own.
    pub async fn outcome(mut self) -> RequestOutcome {
        // The sender is dropped without an outcome only when the driver is dropped.
        (&mut self.outcome).await.unwrap_or(RequestOutcome::Unknown)
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.driver.cancel(self.id);
    }
}
