//! Recognizes requests that clients retry after a rejection. The fingerprints of rejected requests are stored
//! until some time after the requested retry, in bounded memory.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The maximum number of stored rejections. Bounds memory to some 3 MB: two seconds at 30,000 rejections per
/// second.
const MAX_REJECTIONS: usize = 1 << 16;
/// How long after the requested retry time a request is still recognized as a retry.
const GRACE: Duration = Duration::from_secs(30);

/// A hash of the parts of a request that identify it; equal for a request and its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

/// A request that was rejected.
#[derive(Clone, Copy, Debug)]
struct RejectedRequest {
    expires_at: Duration,
    rejections: u32,
}

/// The rejected requests whose clients may retry.
#[derive(Debug, Default)]
pub struct ClientRetries {
    rejected: FxHashMap<RequestFingerprint, RejectedRequest>,
    /// Rejections with their expiry times, in the order of rejection.
    order: VecDeque<(Duration, RequestFingerprint)>,
}

impl ClientRetries {
    /// The number of times that a request with this fingerprint has been rejected; 0 after it was served or
    /// expired.
    pub fn rejection_count(&mut self, now: Duration, fingerprint: RequestFingerprint) -> u32 {
        self.remove_expired(now);
        self.rejected.get(&fingerprint).map_or(0, |request| request.rejections)
    }

    /// Records a rejection. The client is asked to retry after `retry_after`.
    pub fn record_rejection(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
        retry_after: Duration,
    ) {
        self.remove_expired(now);
        let expires_at = now.saturating_add(retry_after).saturating_add(GRACE);
        let new = RejectedRequest { expires_at, rejections: 0 };
        let request = self.rejected.entry(fingerprint).or_insert(new);
        *request = RejectedRequest { expires_at, rejections: request.rejections.saturating_add(1) };
        self.order.push_back((expires_at, fingerprint));
        if self.order.len() > MAX_REJECTIONS
            && let Some((expires_at, fingerprint)) = self.order.pop_front()
        {
            self.remove_if_current(expires_at, fingerprint);
        }
    }

    /// Records that a request was served: the next one with its fingerprint is a new request.
    pub fn record_served(&mut self, fingerprint: RequestFingerprint) {
        self.rejected.remove(&fingerprint);
    }

    /// The number of stored fingerprints, which may include expired ones.
    pub fn len(&self) -> usize {
        self.rejected.len()
    }

    /// Whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.rejected.is_empty()
    }

    /// Removes a request, unless it has been rejected again and expires later.
    fn remove_if_current(&mut self, expires_at: Duration, fingerprint: RequestFingerprint) {
        if self.rejected.get(&fingerprint).is_some_and(|request| request.expires_at == expires_at) {
            self.rejected.remove(&fingerprint);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        // In the order of rejection: a rejection with a longer wait delays the expiry of later ones with a
        // shorter wait, by a few seconds at most.
        while let Some((expires_at, fingerprint)) = self.order.front().copied().filter(|(at, _)| *at <= now) {
            self.order.pop_front();
            self.remove_if_current(expires_at, fingerprint);
        }
    }
}
