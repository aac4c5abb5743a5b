//! Requests for newer configurations. They go to one coordinator at a time, and to all in turn; a
//! configuration is accepted only if it was confirmed to be the newest a short time ago.

use crate::ids::LinkId;
use control_protocol::ConfigurationSequence;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The time after which a request without a confirmation is sent to another coordinator. Once one has
/// confirmed that it sends the newest configuration, [`FRESHNESS_LIMIT`] applies, as the document may be large.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time between the request for a configuration and its arrival, not counting two seconds for
/// each MiB of its size. A configuration that takes longer is rejected, as it may be outdated: the
/// coordinator may have stalled after it confirmed that this was the newest one and before it sent it.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);
/// What [`FRESHNESS_LIMIT`] is extended by for each MiB of a configuration.
const TRANSFER_TIME_PER_MEBIBYTE: Duration = Duration::from_secs(2);
const MEBIBYTE: f64 = 1_048_576.0;

/// The most requests that are remembered to recognize late responses.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// A request for a configuration that was sent on a link.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    request_id: u64,
    link: LinkId,
    sent_at: Duration,
}

/// The request for which a response is awaited.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request_id: u64,
    link: LinkId,
    deadline: Duration,
}

/// A coordinator that has a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConfigurationSource {
    pub link: LinkId,
    /// The sequence number of the coordinator's newest configuration.
    pub sequence: ConfigurationSequence,
}

/// A request to send to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FetchRequest {
    pub link: LinkId,
    pub sequence: ConfigurationSequence,
    pub request_id: u64,
}

/// The requests that were sent, and the one that is pending.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationFetch {
    pending: Option<PendingRequest>,
    /// The links that were asked since a configuration was last accepted, in this order.
    asked: Vec<LinkId>,
    last_request_id: u64,
    sent: VecDeque<SentRequest>,
    /// By link, the request to which the next configuration on it responds.
    confirmed: BTreeMap<LinkId, SentRequest>,
}

impl ConfigurationFetch {
    /// Begins a request to one of the coordinators with a newer configuration: to the newest one that was not
    /// asked yet. `None` if there is no such coordinator, and while a response is awaited.
    pub fn begin_if_due(&mut self, now: Duration, sources: &[ConfigurationSource]) -> Option<FetchRequest> {
        if self.pending.is_some_and(|pending| now < pending.deadline) {
            return None;
        }
        if let Some(pending) = self.pending.take() {
            let sent_at = self.sent.iter().find(|sent| sent.request_id == pending.request_id);
            let waited = sent_at.map_or(Duration::ZERO, |sent| now.saturating_sub(sent.sent_at));
            log::info!("link {}: no configuration received within {} ms", pending.link, waited.as_millis());
        }
        let ConfigurationSource { link, sequence } = self.next_source(sources)?;
        self.asked.push(link);
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.pending = Some(PendingRequest { request_id, link, deadline: now + FETCH_TIMEOUT });
        self.sent.push_back(SentRequest { request_id, link, sent_at: now });
        if self.sent.len() > MAX_REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        Some(FetchRequest { link, sequence, request_id })
    }

    /// The newest source that was not asked yet. Once all were, a new turn begins, with another one than the
    /// last if there is one.
    fn next_source(&mut self, sources: &[ConfigurationSource]) -> Option<ConfigurationSource> {
        let is_asked = |asked: &[LinkId], source: &ConfigurationSource| asked.contains(&source.link);
        if sources.iter().all(|source| is_asked(&self.asked, source)) {
            self.asked.drain(..self.asked.len().saturating_sub(1));
        }
        let others = sources.iter().filter(|source| !is_asked(&self.asked, source));
        others.max_by_key(|source| source.sequence).or(sources.first()).copied()
    }

    /// Records a coordinator's confirmation that the configuration which it sends next was the newest one
    /// after this request.
    pub fn confirm_newest(&mut self, link: LinkId, request_id: u64) {
        let is_requested = |sent: &&SentRequest| sent.request_id == request_id && sent.link == link;
        let Some(request) = self.sent.iter().find(is_requested).copied() else { return };
        self.confirmed.insert(link, request);
        if let Some(pending) = self.pending.as_mut().filter(|pending| pending.request_id == request_id) {
            pending.deadline = request.sent_at + FRESHNESS_LIMIT;
        }
    }

    /// Whether to accept a configuration of this size that has arrived on a link: only if it was requested on
    /// that link recently, and confirmed to be the newest.
    pub fn accept(&mut self, now: Duration, link: LinkId, bytes: usize) -> bool {
        let Some(request) = self.confirmed.remove(&link) else { return false };
        let limit = FRESHNESS_LIMIT + TRANSFER_TIME_PER_MEBIBYTE.mul_f64(bytes as f64 / MEBIBYTE);
        let is_fresh = now < request.sent_at + limit;
        if is_fresh {
            self.pending = None;
            self.asked.clear();
        }
        is_fresh
    }

    /// Drops the pending request and the confirmation of a link that has ended.
    pub fn remove_link(&mut self, link: LinkId) {
        if self.pending.is_some_and(|pending| pending.link == link) {
            self.pending = None;
        }
        self.confirmed.remove(&link);
        self.asked.retain(|asked| *asked != link);
    }

    /// When the pending request times out; `None` if there is none.
    pub fn deadline(&self) -> Option<Duration> {
        self.pending.map(|pending| pending.deadline)
    }
}
