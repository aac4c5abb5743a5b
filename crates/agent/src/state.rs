//! The agent's state machine: its state, and the effects of each event. Does no I/O and reads no clock:
//! callers pass the time as the duration since an arbitrary fixed moment of a monotonic clock.

use crate::backend_lists::BackendLists;
use crate::configuration_fetch::{ConfigurationFetch, ConfigurationSource};
use crate::configuration_lag::ConfigurationLag;
use crate::effect::{Configuration, Effect};
use crate::ids::LinkId;
use crate::quota_contact::QuotaContact;
use crate::repair::{ListRequest, RepairError};
use control_protocol::{
    Backend, BackendChanges, BackendList, BackendListVersion, ConfigurationSequence, CoreMember, FromAgent,
    FromProxy, QuotaRequest, ToAgent, ToProxy,
};
use range_digest::{KeyRange, RangeContent, RangeDigest};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The interval at which to call [`AgentState::poll`], unless [`AgentState::next_deadline`] is earlier.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// The age of the list from which on it is sent to the proxy at each poll. A lower age is sent only if the
/// last one that was sent had reached this threshold.
const AGE_REPORT_THRESHOLD: Duration = Duration::from_millis(1500);
/// How long the agent sends nothing on a link before it sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// What the agent knows about a coordinator whose link is up.
#[derive(Clone, Debug)]
struct Link {
    address: SocketAddrV4,
    /// The sequence number of the newest configuration that the coordinator has announced.
    announced: ConfigurationSequence,
    has_quorum_contact: bool,
    /// When the agent last sent a message on this link.
    last_sent: Duration,
}

/// The view that the coordinators have agreed on.
#[derive(Clone, Debug, Default)]
struct View {
    number: u64,
    /// The first member is the head of the chain.
    members: Vec<CoreMember>,
}

/// The [`ToProxy::ControlPlaneStatus`] that was last sent to the proxy.
#[derive(Clone, Copy, Debug)]
struct SentStatus {
    list_age: Duration,
    has_quorum_contact: bool,
}

/// The proxy, while it is connected.
#[derive(Clone, Debug)]
struct Proxy {
    /// The sequence number of the newest configuration that the proxy has or was sent.
    sequence: ConfigurationSequence,
    sent_status: Option<SentStatus>,
}

/// The state of an agent as its metrics report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// The number of the newest view; 0 before one has arrived.
    pub view: u64,
    /// The sequence number of the configuration in force at the proxy; 0 for none.
    pub in_force: ConfigurationSequence,
    /// The sequence number of the newest configuration that a coordinator has announced; 0 for none.
    pub announced: ConfigurationSequence,
    /// The number of links that are up.
    pub links: usize,
    /// The version of the list of backends; 0 for none.
    pub list_version: BackendListVersion,
}

/// The state of an agent; see [`Effect`] for what its methods return.
#[derive(Debug, Default)]
pub struct AgentState {
    links: BTreeMap<LinkId, Link>,
    view: View,
    configuration: Option<Configuration>,
    /// The sequence number of the configuration in force at the proxy.
    in_force: ConfigurationSequence,
    /// The number of nodes that carry traffic, as last stated by a coordinator that knew of more than one; 0
    /// before.
    nodes: u32,
    fetch: ConfigurationFetch,
    lag: ConfigurationLag,
    lists: BackendLists,
    proxy: Option<Proxy>,
    quota_contact: QuotaContact,
    /// The link on which changes of the proxy's index of prompt blocks are sent.
    index_link: Option<LinkId>,
}

impl AgentState {
    /// The sequence number of the newest configuration that has arrived; 0 for none.
    pub fn configuration_sequence(&self) -> ConfigurationSequence {
        self.configuration
            .as_ref()
            .map_or(ConfigurationSequence::NONE, |configuration| configuration.sequence)
    }

    /// The coordinators of the newest view, with the head of the chain first; empty before a view has
    /// arrived.
    pub fn members(&self) -> &[CoreMember] {
        &self.view.members
    }

    /// Returns a snapshot of the state for metrics.
    pub fn status(&self) -> AgentStatus {
        AgentStatus {
            view: self.view.number,
            in_force: self.in_force,
            announced: self.lag.newest_announced(),
            links: self.links.len(),
            list_version: self.lists.version().unwrap_or(BackendListVersion::NONE),
        }
    }

    /// How long the proxy has been without an announced configuration, and no newer one has come into force
    /// there; zero if it has the newest one.
    pub fn configuration_lag(&self, now: Duration) -> Duration {
        self.lag.age(now)
    }

    /// Whether a link to a member of the newest view is up, and that member has contact with a majority. Any
    /// other coordinator may know only an older view, and no newer one would be learned from it.
    pub fn has_core_contact(&self) -> bool {
        let is_member = |address| self.view.members.iter().any(|member| member.address == address);
        self.links.values().any(|link| link.has_quorum_contact && is_member(link.address))
    }

    /// Whether a proxy is connected at present.
    pub fn has_proxy(&self) -> bool {
        self.proxy.is_some()
    }

    /// Handles a new link, on which the agent has sent its hello and the coordinator its first message.
    pub fn handle_link_up(&mut self, now: Duration, id: LinkId, address: SocketAddrV4) -> Vec<Effect> {
        let link = Link {
            address,
            announced: ConfigurationSequence::NONE,
            has_quorum_contact: false,
            last_sent: now,
        };
        self.links.insert(id, link);
        let mut effects = Vec::new();
        if self.in_force > ConfigurationSequence::NONE {
            let applied = FromAgent::ConfigurationApplied { sequence: self.in_force };
            effects.push(Effect::SendToCoordinator(id, applied));
        }
        if let Some(version) = self.lists.version() {
            effects.push(Effect::SendToCoordinator(id, FromAgent::BackendsSeen { version }));
        }
        effects
    }

    /// Handles the end of a link: drops what came on it, and may fetch from another coordinator.
    pub fn handle_link_down(&mut self, now: Duration, id: LinkId) -> Vec<Effect> {
        self.links.remove(&id);
        self.lists.remove_link(id);
        self.fetch.remove_link(id);
        let mut effects = self.fetch_if_due(now);
        effects.extend(self.report_status(now));
        effects
    }

    /// Handles a message from a coordinator.
    pub fn handle_coordinator_message(&mut self, now: Duration, id: LinkId, message: ToAgent) -> Vec<Effect> {
        match message {
            ToAgent::View { number, members, nodes, has_quorum_contact } => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.has_quorum_contact = has_quorum_contact;
                }
                let mut effects = self.apply_view(now, View { number, members });
                effects.extend(self.apply_node_count(nodes));
                effects
            }
            ToAgent::ConfigurationAvailable { sequence } => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.announced = link.announced.max(sequence);
                }
                self.lag.record_announced(now, sequence);
                self.fetch_if_due(now)
            }
            ToAgent::NewestConfiguration { request_id, .. } => {
                self.fetch.confirm_newest(id, request_id);
                Vec::new()
            }
            ToAgent::Configuration { sequence, document } => {
                self.apply_configuration(now, id, sequence, document)
            }
            ToAgent::Backends(list) => self.apply_list(now, id, list),
            ToAgent::BackendsChanged { base, version, changes } => {
                self.apply_list_changes(now, id, base, version, &changes)
            }
            ToAgent::BackendsConfirmed { version } => self.confirm_list(now, id, version),
            ToAgent::BackendsDigest { version, digest } => self.compare_digest(now, id, version, digest),
            ToAgent::BackendsRange { version, range, content } => {
                self.compare_range(now, id, version, range, &content)
            }
            ToAgent::BackendsRepaired { version, keys, backends } => {
                self.apply_repair(now, id, version, &keys, &backends)
            }
            ToAgent::QuotaResponse(response) if self.proxy.is_some() => {
                self.quota_contact.record_response(now);
                vec![Effect::SendToProxy(ToProxy::QuotaResponse(response))]
            }
            ToAgent::IndexRequested if self.proxy.is_some() => {
                self.index_link = Some(id);
                vec![Effect::SendToProxy(ToProxy::IndexRequested)]
            }
            ToAgent::IndexCorrections(changes) if self.proxy.is_some() => {
                vec![Effect::SendToProxy(ToProxy::IndexCorrections(changes))]
            }
            ToAgent::QuotaResponse(_)
            | ToAgent::IndexRequested
            | ToAgent::IndexCorrections(_)
            | ToAgent::Heartbeat => Vec::new(),
        }
    }

    fn apply_view(&mut self, now: Duration, view: View) -> Vec<Effect> {
        if view.number > self.view.number && !view.members.is_empty() {
            log::info!("received view {} with {} members", view.number, view.members.len());
            self.view = view;
        }
        self.report_status(now)
    }

    /// Ignores the count of a coordinator that knows only one node, as it has just started.
    fn apply_node_count(&mut self, nodes: u32) -> Option<Effect> {
        if nodes <= 1 || nodes == self.nodes {
            return None;
        }
        self.nodes = nodes;
        self.proxy.as_ref().map(|_| Effect::SendToProxy(ToProxy::Nodes { nodes }))
    }

    fn apply_configuration(
        &mut self,
        now: Duration,
        id: LinkId,
        sequence: ConfigurationSequence,
        document: Vec<u8>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.fetch.accept(now, id, document.len()) {
            log::warn!("link {id}: ignored configuration {sequence}, which was not requested recently");
        } else if sequence > self.configuration_sequence() {
            log::info!("received configuration {sequence} of {} bytes", document.len());
            self.configuration = Some(Configuration { sequence, document: document.into() });
            effects.extend(self.configure_proxy());
        }
        effects.extend(self.fetch_if_due(now));
        effects
    }

    /// Sends the configuration to the proxy, unless the proxy has one that is at least as new.
    fn configure_proxy(&mut self) -> Option<Effect> {
        let configuration = self.configuration.as_ref()?;
        let proxy = self.proxy.as_mut()?;
        if configuration.sequence <= proxy.sequence {
            return None;
        }
        proxy.sequence = configuration.sequence;
        Some(Effect::ConfigureProxy(configuration.clone()))
    }

    fn fetch_if_due(&mut self, now: Duration) -> Vec<Effect> {
        let own = self.configuration_sequence();
        let newer = self.links.iter().filter(|(_, link)| link.announced > own);
        let sources: Vec<ConfigurationSource> =
            newer.map(|(id, link)| ConfigurationSource { link: *id, sequence: link.announced }).collect();
        let Some(request) = self.fetch.begin_if_due(now, &sources) else { return Vec::new() };
        let (sequence, request_id) = (request.sequence, request.request_id);
        vec![self.send(now, request.link, FromAgent::FetchConfiguration { sequence, request_id })]
    }

    fn apply_list(&mut self, now: Duration, id: LinkId, list: BackendList) -> Vec<Effect> {
        let changed = self.lists.apply(now, id, list);
        self.report_list(now, changed)
    }

    fn apply_list_changes(
        &mut self,
        now: Duration,
        id: LinkId,
        base: BackendListVersion,
        version: BackendListVersion,
        changes: &BackendChanges,
    ) -> Vec<Effect> {
        if !self.lists.is_verified(id) {
            return self.request_unknown_list(now, id, version);
        }
        let Some(list) = self.lists.changed_list(id, base, version, changes) else {
            log::error!("link {id}: received changes to list {base}, which is unknown here; reconnecting");
            return vec![Effect::Reconnect(id)];
        };
        self.apply_list(now, id, list)
    }

    fn confirm_list(&mut self, now: Duration, id: LinkId, version: BackendListVersion) -> Vec<Effect> {
        if !self.lists.is_verified(id) {
            return self.request_unknown_list(now, id, version);
        }
        let changed = self.lists.confirm(now, id, version);
        self.report_list(now, changed)
    }

    fn compare_digest(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        digest: RangeDigest,
    ) -> Vec<Effect> {
        let was_verified = self.lists.is_verified(id);
        let request = self.lists.compare_digest(now, id, version, digest);
        let mut effects = self.send_list_request(now, id, version, request);
        if !was_verified && self.lists.is_verified(id) {
            let changed = self.lists.confirm(now, id, version);
            effects.extend(self.report_list(now, changed));
        }
        effects
    }

    fn compare_range(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        range: KeyRange,
        content: &RangeContent,
    ) -> Vec<Effect> {
        match self.lists.compare_range(now, id, version, range, content) {
            Ok(request) => self.send_list_request(now, id, version, request),
            Err(error) => abandon_repair(id, version, &error),
        }
    }

    fn apply_repair(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        keys: &[u64],
        backends: &[Backend],
    ) -> Vec<Effect> {
        let Some(list) = self.lists.repaired_list(id, version, keys, backends) else { return Vec::new() };
        log::info!("link {id}: repaired {} backends of list {version}", keys.len());
        let changed = self.lists.replace(now, id, list);
        self.report_list(now, changed)
    }

    /// Handles a coordinator's reference to a list that is unknown here.
    fn request_unknown_list(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
    ) -> Vec<Effect> {
        let request = self.lists.request_unknown(now, id);
        self.send_list_request(now, id, version, request)
    }

    fn send_list_request(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        request: Option<ListRequest>,
    ) -> Vec<Effect> {
        let Some(request) = request else { return Vec::new() };
        let message = match request {
            ListRequest::Range(range) => FromAgent::CompareBackends { version, range },
            ListRequest::FullList => FromAgent::FetchBackends,
            ListRequest::Digest => FromAgent::FetchBackendsDigest,
            ListRequest::Backends(keys) => FromAgent::RequestBackends { version, keys },
        };
        vec![self.send(now, id, message)]
    }

    /// Sends the newest list to the proxy if it has changed, and the status.
    fn report_list(&mut self, now: Duration, changed: Option<BackendList>) -> Vec<Effect> {
        let Some(list) = changed else { return self.report_status(now) };
        if self.proxy.is_none() {
            return Vec::new();
        }
        let mut effects = vec![Effect::SendToProxy(ToProxy::Backends(list))];
        effects.extend(self.report_status(now));
        effects
    }

    /// Sends the age of the list and the contact with a quorum to the proxy, if these have changed
    /// noticeably.
    fn report_status(&mut self, now: Duration) -> Vec<Effect> {
        let list_age = self.lists.age(now);
        let has_quorum_contact = self.links.values().any(|link| link.has_quorum_contact);
        let Some(proxy) = &mut self.proxy else { return Vec::new() };
        let Some(list_age) = list_age else { return Vec::new() };
        let is_unchanged = |sent: SentStatus| {
            sent.has_quorum_contact == has_quorum_contact
                && sent.list_age < AGE_REPORT_THRESHOLD
                && list_age < AGE_REPORT_THRESHOLD
        };
        if proxy.sent_status.is_some_and(is_unchanged) {
            return Vec::new();
        }
        proxy.sent_status = Some(SentStatus { list_age, has_quorum_contact });
        let endpoints_age_ms = list_age.as_millis() as u64;
        vec![Effect::SendToProxy(ToProxy::ControlPlaneStatus { endpoints_age_ms, has_quorum_contact })]
    }

    /// Handles a new connection from a proxy, which replaces any previous one. `in_force` is the sequence
    /// number of the configuration in force there; 0 for none.
    pub fn handle_proxy_up(&mut self, now: Duration, in_force: ConfigurationSequence) -> Vec<Effect> {
        log::info!("proxy connected with configuration {in_force} in force");
        self.proxy = Some(Proxy { sequence: in_force, sent_status: None });
        self.set_in_force(now, in_force);
        // Earlier responses of the quota leader were to the previous process.
        self.quota_contact = QuotaContact::default();
        // A new process has a new index: the auditor discards the previous one and receives the new one
        // completely.
        self.index_link = None;
        let mut effects: Vec<Effect> = self.configure_proxy().into_iter().collect();
        if self.nodes > 0 {
            effects.push(Effect::SendToProxy(ToProxy::Nodes { nodes: self.nodes }));
        }
        let list = self.lists.newest().cloned();
        effects.extend(list.map(|list| Effect::SendToProxy(ToProxy::Backends(list))));
        effects.extend(self.report_status(now));
        if in_force > ConfigurationSequence::NONE {
            effects.extend(self.send_to_all(now, &FromAgent::ConfigurationApplied { sequence: in_force }));
        }
        effects
    }

    /// Handles the end of the proxy's connection.
    pub fn handle_proxy_down(&mut self, now: Duration) {
        self.proxy = None;
        self.quota_contact.record_disconnect(now);
    }

    /// The last message to send to all coordinators when the node shuts down gracefully.
    pub fn leave_message(&self) -> FromAgent {
        let quota_use_reported = self.proxy.is_none() && self.quota_contact.lasted_until_end();
        FromAgent::Leaving { quota_use_reported }
    }

    /// Handles a message from the proxy.
    pub fn handle_proxy_message(&mut self, now: Duration, message: FromProxy) -> Vec<Effect> {
        match message {
            FromProxy::ConfigurationApplied { sequence } => {
                self.set_in_force(now, sequence);
                self.send_to_all(now, &FromAgent::ConfigurationApplied { sequence })
            }
            FromProxy::QuotaRequest(request) => self.send_quota_request(now, request),
            FromProxy::IndexChanges { restart, changes } => {
                self.send_index_changes(now, FromAgent::IndexChanges { restart, changes })
            }
            FromProxy::Heartbeat | FromProxy::Hello { .. } => Vec::new(),
        }
    }

    fn set_in_force(&mut self, now: Duration, sequence: ConfigurationSequence) {
        self.in_force = sequence;
        self.lag.record_in_force(now, sequence);
    }

    /// Logs that the proxy lacks an announced configuration, with what tells where it is stuck.
    fn report_configuration_lag(&mut self, now: Duration) {
        if !self.lag.take_due_report(now) {
            return;
        }
        let describe =
            |(id, link): (&LinkId, &Link)| format!("{id} {} announced {}", link.address, link.announced);
        let links: Vec<String> = self.links.iter().map(describe).collect();
        log::warn!(
            "configuration {} is not in force for {} ms: {} received, {} in force at the proxy{}; view {}, links: {}",
            self.lag.newest_announced(),
            self.lag.age(now).as_millis(),
            self.configuration_sequence(),
            self.in_force,
            if self.proxy.is_some() { "" } else { " that is not connected" },
            self.view.number,
            links.join(", ")
        );
    }

    /// Sends changes of the index to the head of the chain, which audits it. A new head first receives the
    /// complete index.
    fn send_index_changes(&mut self, now: Duration, message: FromAgent) -> Vec<Effect> {
        let Some(head) = self.head_link() else {
            self.index_link = None;
            return Vec::new();
        };
        if self.index_link != Some(head) {
            self.index_link = Some(head);
            return vec![Effect::SendToProxy(ToProxy::IndexRequested)];
        }
        vec![self.send(now, head, message)]
    }

    fn head_link(&self) -> Option<LinkId> {
        let head = self.view.members.first().map(|member| member.address);
        self.links.iter().find(|(_, link)| Some(link.address) == head).map(|(id, _)| *id)
    }

    /// Sends a quota request to the head of the chain, which is the quota leader. While the head is unknown
    /// or not connected, the request goes to all coordinators, and the one that is the head by then responds.
    fn send_quota_request(&mut self, now: Duration, request: QuotaRequest) -> Vec<Effect> {
        match self.head_link() {
            Some(id) => vec![self.send(now, id, FromAgent::QuotaRequest(request))],
            None => self.send_to_all(now, &FromAgent::QuotaRequest(request)),
        }
    }

    /// Does periodic work. Must be called every [`POLL_INTERVAL`], and at [`Self::next_deadline`].
    pub fn poll(&mut self, now: Duration) -> Vec<Effect> {
        self.report_configuration_lag(now);
        let mut effects = self.fetch_if_due(now);
        if let Some(version) = self.lists.version() {
            for id in self.lists.take_stale_links(now) {
                effects.push(self.send(now, id, FromAgent::BackendsSeen { version }));
            }
        }
        let is_idle = |link: &Link| now >= link.last_sent + HEARTBEAT_INTERVAL;
        let idle: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| is_idle(link)).map(|(id, _)| *id).collect();
        for id in idle {
            effects.push(self.send(now, id, FromAgent::Heartbeat));
        }
        effects.extend(self.report_status(now));
        effects
    }

    /// When the pending request for a configuration times out; `None` if there is none.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.fetch.deadline()
    }

    fn send(&mut self, now: Duration, id: LinkId, message: FromAgent) -> Effect {
        if let Some(link) = self.links.get_mut(&id) {
            link.last_sent = now;
        }
        Effect::SendToCoordinator(id, message)
    }

    fn send_to_all(&mut self, now: Duration, message: &FromAgent) -> Vec<Effect> {
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        links.into_iter().map(|id| self.send(now, id, message.clone())).collect()
    }
}

/// Reconnects, so that the coordinator sends the complete list.
fn abandon_repair(id: LinkId, version: BackendListVersion, error: &RepairError) -> Vec<Effect> {
    log::error!("link {id}: repair of list {version} failed: {error}; reconnecting");
    vec![Effect::Reconnect(id)]
}
