//! The endpoint list: read from the platform by one coordinator at a time, sent to the other coordinators,
//! and distributed by each of them to its agents.

pub mod platform_page;
pub mod platform_reader;
pub mod reader_election;

use crate::agents::Agents;
use crate::clock::{self, Clock};
use crate::membership::members_in_order;
use crate::peer_protocol::{EndpointListUpdate, PeerMessage};
use crate::peers::Peers;
use control_protocol::{Backend, BackendListVersion};
use platform_reader::PlatformReader;
use reader_election::{ReaderElection, UpdateOutcome};
use replication::View;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Only coordinators from which a message arrived this recently count in the order of readers.
const RANK_CONTACT_WITHIN: Duration = Duration::from_millis(1000);
/// Coordinators from which a message arrived this recently are sent updates, even if they are not in the
/// view.
const UPDATE_CONTACT_WITHIN: Duration = Duration::from_secs(10);

/// The current endpoint list, the election of the coordinator that reads it, and its distribution.
pub struct EndpointRegistry {
    election: Mutex<ReaderElection>,
    seeds: Mutex<Vec<SocketAddrV4>>,
    view: Mutex<Option<Arc<View>>>,
    peers: Arc<Peers>,
    agents: Arc<Agents>,
    clock: Clock,
    /// Notified when the time of this coordinator's next read may have changed.
    schedule_changed: Notify,
}

/// What this coordinator knows of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointListSummary {
    /// The address of the coordinator that read the list last; `None` before the first read and after a read
    /// of this coordinator's own has failed.
    pub reader: Option<SocketAddrV4>,
    /// The version of the newest read; [`BackendListVersion::NONE`] if there is no list yet.
    pub version: BackendListVersion,
    /// The number of endpoints on the list.
    pub endpoints: usize,
    /// The time since this coordinator learned of the newest read, or since its start if there was none.
    pub age: Duration,
}

impl EndpointRegistry {
    /// Starts without an endpoint list, view or seeds.
    pub fn new(peers: Arc<Peers>, agents: Arc<Agents>, clock: Clock) -> Self {
        let election = ReaderElection::new(peers.own_address(), clock::unix_time(), clock.now());
        EndpointRegistry {
            election: Mutex::new(election),
            seeds: Mutex::default(),
            view: Mutex::default(),
            peers,
            agents,
            clock,
            schedule_changed: Notify::new(),
        }
    }

    /// Applies a new view: its members, in order, are the candidates to read the list.
    pub fn set_view(&self, view: Arc<View>) {
        *lock(&self.view) = Some(view);
        self.update_order();
    }

    /// Sets the coordinators that the settings name. They are the candidates to read the list while there is
    /// no view.
    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        *lock(&self.seeds) = seeds;
        self.update_order();
    }

    /// Stops reading the list, because this coordinator is shutting down.
    pub fn stop_reading(&self) {
        self.election().withdraw();
        self.schedule_changed.notify_one();
    }

    /// Recomputes when to read next, after another coordinator has announced its shutdown.
    pub fn reconsider_reading(&self) {
        self.schedule_changed.notify_one();
    }

    /// Applies an update from another coordinator and forwards a changed list to agents. Requests the full
    /// list if the update builds on one that is not known here.
    pub fn apply_update(&self, from: SocketAddrV4, update: EndpointListUpdate) {
        let (outcome, before, after) = {
            let mut election = self.election();
            let before = election.reader();
            let outcome = election.apply_update(from, update, self.clock.now());
            (outcome, before, election.reader())
        };
        self.log_reader_change(before, after);
        match outcome {
            UpdateOutcome::FullListNeeded => self.peers.send(from, &PeerMessage::EndpointListRequest),
            outcome => self.distribute_to_agents(&outcome),
        }
    }

    /// Sends the full list to a coordinator that has requested it; nothing if there is no list yet.
    pub fn send_full_list(&self, to: SocketAddrV4) {
        let update = self.election().full_update();
        if let Some(update) = update {
            self.peers.send(to, &PeerMessage::EndpointList(update));
        }
    }

    /// Records that an agent has a list of this version, which it may have received from any coordinator.
    pub fn observe_version(&self, version: BackendListVersion) {
        self.election().observe_version(version);
        self.schedule_changed.notify_one();
    }

    /// What this coordinator knows of the list.
    pub fn summary(&self) -> EndpointListSummary {
        let election = self.election();
        let list = election.list();
        EndpointListSummary {
            reader: election.reader(),
            version: list.map_or(BackendListVersion::NONE, |(version, _)| version),
            endpoints: list.map_or(0, |(_, endpoints)| endpoints.len()),
            age: self.clock.now().saturating_sub(election.last_read_at()),
        }
    }

    /// Reads the platform's list whenever it is this coordinator's turn. Never returns.
    pub async fn run(&self, reader: PlatformReader) {
        for peer in self.order() {
            self.peers.send(peer, &PeerMessage::EndpointListRequest);
        }
        let mut is_failing = false;
        loop {
            self.wait_for_turn().await;
            self.update_interval(&reader);
            let version = self.election().begin_read();
            match reader.read().await {
                Ok(endpoints) => {
                    if std::mem::take(&mut is_failing) {
                        log::info!("list of backends: reads from the platform succeed again");
                    }
                    self.apply_read(version, endpoints);
                    self.update_interval(&reader);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log::warn!("{error}");
                    }
                    log::debug!("{error}");
                    self.election().fail_read(self.clock.now());
                }
            }
        }
    }

    fn update_interval(&self, reader: &PlatformReader) {
        let endpoints = self.summary().endpoints;
        self.election().set_interval(reader.min_interval(endpoints));
    }

    async fn wait_for_turn(&self) {
        loop {
            let next_read =
                self.election().next_read_at(|peer| self.peers.has_recent_contact(peer, RANK_CONTACT_WITHIN));
            match next_read {
                Some(at) if at <= self.clock.now() => return,
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.schedule_changed.notified() => {}
                },
                None => self.schedule_changed.notified().await,
            }
        }
    }

    fn apply_read(&self, version: BackendListVersion, endpoints: Vec<Backend>) {
        let (outcome, before, update) = {
            let mut election = self.election();
            let before = election.reader();
            let outcome = election.complete_read(version, endpoints, self.clock.now());
            let update = election.newest_update();
            (outcome, before, update)
        };
        if outcome == UpdateOutcome::Stale {
            log::debug!("list {version}: discarded, a newer list arrived before this read completed");
            return;
        }
        self.log_reader_change(before, Some(self.peers.own_address()));
        if let Some(update) = update {
            self.send_to_peers(update);
        }
        self.distribute_to_agents(&outcome);
    }

    fn send_to_peers(&self, update: EndpointListUpdate) {
        let frame = match control_protocol::encode(&PeerMessage::EndpointList(update)) {
            Ok(frame) => bytes::Bytes::from(frame),
            Err(error) => return log::error!("list of backends: update to peers not encoded: {error}"),
        };
        for peer in self.recipients() {
            self.peers.send_frame(peer, frame.clone());
        }
    }

    fn distribute_to_agents(&self, outcome: &UpdateOutcome) {
        let version = self.summary().version;
        match outcome {
            UpdateOutcome::Changed(endpoints) => {
                log::info!("list {version}: {} backends", endpoints.len());
                self.agents.advertise_endpoints(version, endpoints);
            }
            UpdateOutcome::Confirmed => self.agents.confirm_endpoints(version),
            UpdateOutcome::FullListNeeded | UpdateOutcome::Stale => {}
        }
    }

    /// The other members of the view, or the seeds if there is no view, and every coordinator with recent
    /// contact.
    fn recipients(&self) -> BTreeSet<SocketAddrV4> {
        let mut recipients: BTreeSet<SocketAddrV4> =
            self.peers.recent_contacts(UPDATE_CONTACT_WITHIN).into_iter().collect();
        recipients.extend(self.order());
        recipients.remove(&self.peers.own_address());
        recipients
    }

    /// The candidates to read the list, by priority.
    fn order(&self) -> Vec<SocketAddrV4> {
        match lock(&self.view).as_deref() {
            Some(view) => members_in_order(view).iter().map(|member| member.address).collect(),
            None => lock(&self.seeds).clone(),
        }
    }

    fn update_order(&self) {
        let order = self.order();
        self.election().set_order(order);
        self.schedule_changed.notify_one();
    }

    fn log_reader_change(&self, before: Option<SocketAddrV4>, after: Option<SocketAddrV4>) {
        if let Some(after) = after.filter(|after| before != Some(*after)) {
            let name = self.peers.node_name(after).unwrap_or_default();
            log::info!("the list of backends is read by {name} {after}");
        }
    }

    fn election(&self) -> MutexGuard<'_, ReaderElection> {
        lock(&self.election)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
