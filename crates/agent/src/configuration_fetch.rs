//! Requests for newer configurations. They go to one coordinator at a time, and a configuration is accepted
//! only if it was confirmed to be the newest a short time ago.

use crate::ids::LinkId;
use control_protocol::ConfigurationSequence;
use std::collections::VecDeque;
use std::time::Duration;

/// The time after which a request without a response is sent to another coordinator.
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
    /// The link of the last request, unless its response has arrived.
    last_link: Option<LinkId>,
    last_request_id: u64,
    sent: VecDeque<SentRequest>,
    /// The request to which the next configuration on its link responds.
    confirmed: Option<SentRequest>,
}

impl ConfigurationFetch {
    /// Begins a request to one of the coordinators with a newer configuration, preferably not the one that
    /// was asked last. `None` if there is no such coordinator, and while a response is awaited.
    pub fn begin_if_due(&mut self, now: Duration, sources: &[ConfigurationSource]) -> Option<FetchRequest> {
        if self.pending.is_some_and(|pending| now < pending.deadline) {
            return None;
        }
        if let Some(pending) = self.pending.take() {
            log::info!("link {}: no configuration received within {FETCH_TIMEOUT:?}", pending.link);
        }
        let others = sources.iter().filter(|source| Some(source.link) != self.last_link);
        let newest = others.max_by_key(|source| source.sequence).or(sources.first());
        let ConfigurationSource { link, sequence } = *newest?;
        self.pending = Some(PendingRequest { link, deadline: now + FETCH_TIMEOUT });
        self.last_link = Some(link);
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.sent.push_back(SentRequest { request_id, link, sent_at: now });
        if self.sent.len() > MAX_REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        Some(FetchRequest { link, sequence, request_id })
    }

    /// Records a coordinator's confirmation that the configuration which it sends next was the newest one
    /// after this request.
    pub fn confirm_newest(&mut self, link: LinkId, request_id: u64) {
        let is_requested = |sent: &&SentRequest| sent.request_id == request_id && sent.link == link;
        self.confirmed = self.sent.iter().find(is_requested).copied().or(self.confirmed);
    }

    /// Whether to accept a configuration of this size that has arrived on a link: only if it was requested on
    /// that link recently, and confirmed to be the newest.
    pub fn accept(&mut self, now: Duration, link: LinkId, bytes: usize) -> bool {
        let Some(request) = self.confirmed.take_if(|request| request.link == link) else { return false };
        let limit = FRESHNESS_LIMIT + TRANSFER_TIME_PER_MEBIBYTE.mul_f64(bytes as f64 / MEBIBYTE);
        let is_fresh = now < request.sent_at + limit;
        if is_fresh && self.pending.is_some_and(|pending| pending.link == link) {
            self.pending = None;
            self.last_link = None;
        }
        is_fresh
    }

    /// Drops the pending request and the confirmation of a link that has ended.
    pub fn remove_link(&mut self, link: LinkId) {
        if self.pending.is_some_and(|pending| pending.link == link) {
            self.pending = None;
        }
        self.confirmed.take_if(|request| request.link == link);
    }

    /// When the pending request times out; `None` if there is none.
    pub fn deadline(&self) -> Option<Duration> {
        self.pending.map(|pending| pending.deadline)
    }
}
