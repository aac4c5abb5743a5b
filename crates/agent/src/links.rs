//! Links to the coordinators. Each has a task, which reconnects until its coordinator is no longer selected.

use crate::event::Event;
use crate::ids::LinkId;
use control_link::{AddressTranslation, CloseCause, LinkError};
use control_protocol::{ConfigurationSequence, FromAgent, ToAgent, VERSION};
use std::collections::HashMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::sleep;

/// The pause before the first attempt to reconnect to a coordinator; doubled after each failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The time without a byte after which a coordinator counts as partitioned or stalled, and the link is
/// reopened.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(2);

/// What an agent states about itself in its hello.
#[derive(Debug)]
pub struct AgentIdentity {
    /// The name of the node that the agent runs on.
    pub node: String,
    /// The address of the node's machine.
    pub ip: Ipv4Addr,
    /// The zone of the node's machine.
    pub zone: String,
    /// The sequence number of the newest configuration that has arrived; 0 for none.
    pub configuration_sequence: AtomicU64,
}

/// State that the tasks of all links share.
struct Shared {
    identity: Arc<AgentIdentity>,
    translation: AddressTranslation,
    events: Sender<Event>,
    last_id: AtomicU64,
    /// Set when the agent leaves: links that end are no longer reopened.
    is_leaving: AtomicBool,
}

/// Keeps the task of a coordinator's links running. Dropping it makes the task close its link and end. A link
/// that was reported as up is also reported as down, after all of its messages: the order of the events is
/// that of one task.
struct TaskGuard {
    _running: watch::Sender<()>,
}

/// Tells a task that its [`TaskGuard`] was dropped.
struct StopSignal(watch::Receiver<()>);

impl StopSignal {
    /// Waits until the guard is dropped. Cancel safe.
    async fn wait(&mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// The tasks of the links, by the address of their coordinator. Dropping this ends them.
pub(crate) struct CoordinatorLinks {
    shared: Arc<Shared>,
    tasks: HashMap<SocketAddrV4, TaskGuard>,
}

impl CoordinatorLinks {
    /// Creates a set without links. The tasks will send their events to `events`. `translation` tells where the
    /// coordinators are reached.
    pub fn new(identity: Arc<AgentIdentity>, translation: AddressTranslation, events: Sender<Event>) -> Self {
        let (last_id, is_leaving) = (AtomicU64::default(), AtomicBool::default());
        let shared = Arc::new(Shared { identity, translation, events, last_id, is_leaving });
        CoordinatorLinks { shared, tasks: HashMap::new() }
    }

    /// Opens the missing links to these coordinators, and closes the links to all others.
    pub fn set_targets(&mut self, targets: &[SocketAddrV4]) {
        self.tasks.retain(|address, _| {
            let is_selected = targets.contains(address);
            if !is_selected {
                log::info!("coordinator {address}: no longer selected, link closed");
            }
            is_selected
        });
        for address in targets {
            if !self.tasks.contains_key(address) {
                let (running, stopped) = watch::channel(());
                tokio::spawn(self.shared.clone().keep_connected(*address, StopSignal(stopped)));
                self.tasks.insert(*address, TaskGuard { _running: running });
            }
        }
    }

    /// Stops reopening links that end.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }
}

/// Why a link ended or could not be opened.
struct LinkEnd {
    error: LinkError,
    /// Why this side has closed the link; `None` if it has not.
    cause: Option<CloseCause>,
    /// Whether the coordinator had sent any message.
    was_up: bool,
}

impl LinkEnd {
    /// The end of a link that was never up.
    fn not_established(error: LinkError) -> Self {
        LinkEnd { error, cause: None, was_up: false }
    }
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.error, self.cause) {
            (LinkError::Closed(_), Some(cause)) => write!(formatter, "{} ({cause})", self.error),
            (LinkError::Closed(_), None) => write!(formatter, "{} (by the peer)", self.error),
            _ => self.error.fmt(formatter),
        }
    }
}

impl Shared {
    /// Opens one link after the other until the task is stopped.
    async fn keep_connected(self: Arc<Self>, address: SocketAddrV4, mut stopped: StopSignal) {
        let mut backoff = INITIAL_BACKOFF;
        while !self.events.is_closed() && !self.is_leaving.load(Ordering::Relaxed) {
            let id = LinkId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1);
            let Some(end) = self.serve_link(address, id, &mut stopped).await else { return };
            if end.was_up {
                log::warn!("coordinator {address}: link lost: {end}");
                backoff = INITIAL_BACKOFF;
            } else {
                log::debug!("coordinator {address}: {end}");
            }
            tokio::select! {
                () = sleep(backoff) => {}
                () = stopped.wait() => return,
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Opens one link and sends its messages to the main loop until the link ends. Returns why it has ended;
    /// `None` if the task is stopped.
    async fn serve_link(
        &self,
        address: SocketAddrV4,
        id: LinkId,
        stopped: &mut StopSignal,
    ) -> Option<LinkEnd> {
        let connected = tokio::select! {
            connected = control_link::connect(self.translation.resolve(address)) => connected,
            () = stopped.wait() => return None,
        };
        let stream = match connected {
            Ok(stream) => stream,
            Err(error) => return Some(LinkEnd::not_established(error)),
        };
        let (mut incoming, outgoing) = control_link::split(stream, address.into());
        if let Err(error) = outgoing.send(&self.hello()) {
            return Some(LinkEnd::not_established(error));
        }
        let mut is_up = false;
        let error = loop {
            let received = tokio::select! {
                received = incoming.next_within::<ToAgent>(COORDINATOR_TIMEOUT) => received,
                () = stopped.wait() => break None,
            };
            let message = match received {
                Ok(message) => message,
                Err(error) => break Some(error),
            };
            // Sending an event fails only when the agent ends, and this task with it.
            if !std::mem::replace(&mut is_up, true) {
                log::info!("coordinator {address}: connected");
                let outgoing = outgoing.clone();
                let _ = self.events.send(Event::CoordinatorConnected { id, address, outgoing }).await;
            }
            let _ = self.events.send(Event::CoordinatorMessage(id, message)).await;
        };
        let cause = outgoing.close_cause();
        outgoing.close();
        if is_up {
            let _ = self.events.send(Event::CoordinatorDisconnected(id)).await;
        }
        error.map(|error| LinkEnd { error, cause, was_up: is_up })
    }

    fn hello(&self) -> FromAgent {
        FromAgent::Hello {
            version: VERSION,
            node: self.identity.node.clone(),
            ip: self.identity.ip,
            zone: self.identity.zone.clone(),
            configuration_sequence: ConfigurationSequence(
                self.identity.configuration_sequence.load(Ordering::Relaxed),
            ),
        }
    }
}
