//! The list of endpoints that is advertised to all agents, and the messages that carry it.

use super::connection::encode_frame;
use bytes::Bytes;
use control_protocol::{Backend, BackendChanges, BackendList, BackendListVersion, ToAgent};
use range_digest::{DigestedSet, KeyRange, RangeContent};
use std::sync::Arc;

/// The list of endpoints that is advertised to all agents.
pub struct AdvertisedEndpoints {
    /// The version of the newest read that saw it.
    pub version: BackendListVersion,
    /// Its entries.
    pub endpoints: Arc<Vec<Backend>>,
    /// The same as a set whose ranges can be compared.
    digests: DigestedSet,
    /// The full list as a frame, once an agent has requested it.
    full_frame: Option<VersionedFrame>,
}

struct VersionedFrame {
    version: BackendListVersion,
    frame: Bytes,
}

impl AdvertisedEndpoints {
    /// The first list.
    pub fn new(version: BackendListVersion, endpoints: Arc<Vec<Backend>>) -> Self {
        let digests = control_protocol::list_digest_set(&endpoints);
        AdvertisedEndpoints { version, endpoints, digests, full_frame: None }
    }

    /// Replaces the list by another one, of which these are the differences.
    pub fn replace(
        &mut self,
        version: BackendListVersion,
        endpoints: Arc<Vec<Backend>>,
        changes: &BackendChanges,
    ) {
        let removed =
            self.endpoints.iter().filter(|endpoint| changes.removed.contains(&endpoint.instance_id));
        for endpoint in removed {
            self.digests.remove(endpoint.key());
        }
        for endpoint in &changes.changed {
            self.digests.insert(endpoint.key(), endpoint.content_hash());
        }
        (self.version, self.endpoints, self.full_frame) = (version, endpoints, None);
    }

    /// The full list, in a frame that is encoded once, and its newest confirmation.
    pub fn full_frames(&mut self) -> Vec<Bytes> {
        let (version, endpoints) = (self.version, &self.endpoints);
        let full = self.full_frame.get_or_insert_with(|| {
            let list = BackendList { version, backends: endpoints.as_ref().clone() };
            VersionedFrame { version, frame: encode_frame(&ToAgent::Backends(list)) }
        });
        let mut frames = vec![full.frame.clone()];
        if full.version != version {
            frames.push(encode_frame(&ToAgent::BackendsConfirmed { version }));
        }
        frames
    }

    /// The message with the digest of the full list.
    pub fn digest_message(&self) -> ToAgent {
        let digest = self.digests.digest(KeyRange::ALL);
        ToAgent::BackendsDigest { version: self.version, digest }
    }

    /// Its content in a range of keys.
    pub fn content(&self, range: KeyRange) -> RangeContent {
        self.digests.content(range)
    }

    /// The endpoints with these keys.
    pub fn with_keys(&self, keys: &[u64]) -> Vec<Backend> {
        self.endpoints.iter().filter(|endpoint| keys.contains(&endpoint.key())).cloned().collect()
    }
}
