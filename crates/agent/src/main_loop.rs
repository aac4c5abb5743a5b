//! The main loop of an agent: passes events to the state machine and carries out its effects.

use crate::coordinator_selection::{Connectivity, select_coordinators};
use crate::effect::{Configuration, Effect};
use crate::event::Event;
use crate::ids::{LinkId, ProxyId};
use crate::links::{AgentIdentity, CoordinatorLinks};
use crate::metrics::AgentMetrics;
use crate::proxy_connections;
use crate::state::{AgentState, POLL_INTERVAL};
use control_link::{AddressTranslation, FrameWriter};
use control_protocol::{FromAgent, ToProxy};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, Receiver};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The capacity of the queue of events.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// How long the agent has no contact with the core before it connects to the seeds as well.
const SEED_DELAY: Duration = Duration::from_secs(1);

struct Proxy {
    id: ProxyId,
    outgoing: FrameWriter,
}

/// The main loop of an agent: carries out the effects that its state machine requests.
pub struct Agent {
    started_at: Instant,
    state: AgentState,
    identity: Arc<AgentIdentity>,
    links: CoordinatorLinks,
    seeds: Vec<SocketAddrV4>,
    /// The sending halves of the links that are up.
    coordinators: HashMap<LinkId, FrameWriter>,
    /// When the agent last had contact with the core.
    last_core_contact: Instant,
    connectivity: Connectivity,
    proxy: Option<Proxy>,
    events: Receiver<Event>,
    acceptor: JoinHandle<()>,
    last_poll: Instant,
    metrics: Arc<AgentMetrics>,
}

impl Agent {
    /// Starts an agent on the current Tokio runtime. `seeds` are the addresses at which coordinators accept
    /// connections from agents, and `translation` tells where they are reached; `listener` accepts those of
    /// the proxy.
    pub fn start(
        identity: AgentIdentity,
        seeds: Vec<SocketAddrV4>,
        translation: AddressTranslation,
        listener: TcpListener,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let identity = Arc::new(identity);
        let now = Instant::now();
        let mut agent = Agent {
            started_at: now,
            state: AgentState::default(),
            links: CoordinatorLinks::new(identity.clone(), translation, sender.clone()),
            identity,
            seeds,
            coordinators: HashMap::new(),
            last_core_contact: now - SEED_DELAY,
            connectivity: Connectivity::Disconnected,
            proxy: None,
            events,
            acceptor: tokio::spawn(proxy_connections::accept(listener, sender)),
            last_poll: now,
            metrics: Arc::default(),
        };
        agent.select_links();
        agent
    }

    /// The metrics that this agent updates.
    pub fn metrics(&self) -> Arc<AgentMetrics> {
        self.metrics.clone()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.select_links();
    }

    /// Whether a proxy is connected.
    pub fn has_proxy(&self) -> bool {
        self.proxy.is_some()
    }

    /// Waits for the next event or deadline and handles it. Cancel safe: no event is lost if the future is
    /// dropped while it waits.
    pub async fn step(&mut self) {
        let deadline = self.next_deadline();
        tokio::select! {
            Some(event) = self.events.recv() => self.handle(event),
            () = tokio::time::sleep_until(deadline) => self.poll(),
        }
    }

    /// Notifies all coordinators that the node shuts down gracefully, and waits until they have closed their
    /// links, but no longer than `timeout`. Must only be called once the proxy has disconnected.
    pub async fn leave(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.links.leave();
        let message = self.state.leave_message();
        for coordinator in self.coordinators.values() {
            if let Err(error) = coordinator.send(&message) {
                log::debug!("leave message not sent to a coordinator: {error}");
            }
        }
        while !self.coordinators.is_empty() {
            tokio::select! {
                Some(event) = self.events.recv() => {
                    if let Event::CoordinatorDisconnected(id) = event {
                        self.coordinators.remove(&id);
                    }
                }
                () = tokio::time::sleep_until(deadline) => return,
            }
        }
    }

    fn next_deadline(&self) -> Instant {
        let poll = self.last_poll + POLL_INTERVAL;
        self.state.next_deadline().map_or(poll, |deadline| poll.min(self.started_at + deadline))
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn poll(&mut self) {
        let effects = self.state.poll(self.now());
        self.apply(effects);
        if self.last_poll + POLL_INTERVAL <= Instant::now() {
            self.last_poll = Instant::now();
            self.metrics.update(self.now(), &self.state);
            self.select_links();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let effects = match event {
            Event::CoordinatorConnected { id, address, outgoing } => {
                self.metrics.count_link();
                self.coordinators.insert(id, outgoing);
                self.state.handle_link_up(now, id, address)
            }
            Event::CoordinatorMessage(id, _) if !self.coordinators.contains_key(&id) => return,
            Event::CoordinatorMessage(id, message) => self.state.handle_coordinator_message(now, id, message),
            Event::CoordinatorDisconnected(id) => {
                self.coordinators.remove(&id);
                self.state.handle_link_down(now, id)
            }
            Event::ProxyConnected { id, in_force, outgoing } => {
                self.proxy = Some(Proxy { id, outgoing });
                self.state.handle_proxy_up(now, in_force)
            }
            Event::ProxyMessage(id, message) if self.is_connected_proxy(id) => {
                self.state.handle_proxy_message(now, message)
            }
            Event::ProxyDisconnected(id) if self.is_connected_proxy(id) => {
                self.proxy = None;
                self.state.handle_proxy_down(now);
                return;
            }
            Event::ProxyMessage(..) | Event::ProxyDisconnected(_) => return,
        };
        self.apply(effects);
        let sequence = self.state.configuration_sequence();
        self.identity.configuration_sequence.store(sequence.number(), Ordering::Relaxed);
        self.select_links();
    }

    fn is_connected_proxy(&self, id: ProxyId) -> bool {
        self.proxy.as_ref().is_some_and(|proxy| proxy.id == id)
    }

    /// Opens and drops links so that they match the selection of coordinators.
    fn select_links(&mut self) {
        if self.state.has_core_contact() {
            self.last_core_contact = Instant::now();
        }
        let members = self.state.members();
        // Seeds are added only after `SEED_DELAY` without contact, so that a brief loss of all links doesn't
        // change the selection. They are kept until a member is in contact: the members that are known may no
        // longer exist, and only a seed tells the newest view.
        let had_contact = self.last_core_contact.elapsed() < SEED_DELAY;
        let connectivity = if had_contact { Connectivity::Connected } else { Connectivity::Disconnected };
        if self.connectivity != connectivity {
            log_connectivity(connectivity, self.seeds.len());
            self.connectivity = connectivity;
        }
        let targets = select_coordinators(&self.identity.node, members, &self.seeds, connectivity);
        self.links.set_targets(&targets);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reconnect(id) => self.close_link(id),
                Effect::SendToCoordinator(id, message) => self.send_to_coordinator(id, &message),
                Effect::SendToProxy(message) => self.send_to_proxy(&message),
                Effect::ConfigureProxy(configuration) => self.configure_proxy(&configuration),
            }
        }
    }

    fn close_link(&self, id: LinkId) {
        if let Some(coordinator) = self.coordinators.get(&id) {
            coordinator.close();
        }
    }

    fn send_to_coordinator(&self, id: LinkId, message: &FromAgent) {
        let Some(coordinator) = self.coordinators.get(&id) else { return };
        if let Err(error) = coordinator.send(message) {
            log::debug!("message not sent to a coordinator: {error}");
        }
    }

    fn send_to_proxy(&self, message: &ToProxy) {
        let Some(proxy) = &self.proxy else { return };
        if let Err(error) = proxy.outgoing.send(message) {
            log::warn!("message not sent to the proxy: {error}");
        }
    }

    fn configure_proxy(&self, configuration: &Configuration) {
        let document = configuration.document.to_vec();
        self.send_to_proxy(&ToProxy::Configuration { sequence: configuration.sequence, document });
    }
}

fn log_connectivity(connectivity: Connectivity, seeds: usize) {
    match connectivity {
        Connectivity::Connected => log::info!("in contact with the core"),
        Connectivity::Disconnected => {
            log::warn!("no contact with the core for {SEED_DELAY:?}; connecting to {seeds} seeds as well");
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}
