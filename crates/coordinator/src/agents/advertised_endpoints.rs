//! The endpoint list that is advertised to all agents, and the messages that carry it.

use super::connection::encode_frame;
use bytes::Bytes;
use control_protocol::{Backend, BackendChanges, BackendList, BackendListVersion, ToAgent};
use range_digest::{DigestedSet, KeyRange, RangeContent};
use std::sync::Arc;

/// The advertised endpoint list, with its digests and its encoded form.
pub struct AdvertisedEndpoints {
    /// The version of the newest read that saw this list.
    pub version: BackendListVersion,
    /// All endpoints on the list, shared without copying.
    pub endpoints: Arc<Vec<Backend>>,
    /// The endpoints' keys and content hashes, with digests of ranges of keys.
    digests: DigestedSet,
    /// The encoded full list, cached once an agent has requested it.
    full_frame: Option<VersionedFrame>,
}

struct VersionedFrame {
    version: BackendListVersion,
    frame: Bytes,
}

impl AdvertisedEndpoints {
    /// Creates the first list to be advertised.
    pub fn new(version: BackendListVersion, endpoints: Arc<Vec<Backend>>) -> Self {
        let digests = control_protocol::list_digest_set(&endpoints);
        AdvertisedEndpoints { version, endpoints, digests, full_frame: None }
    }

    /// Replaces the list. `changes` have to be the differences of the new list from the current one.
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

    /// The frames for an agent that requests the full list. The list is encoded once; if it was confirmed
    /// under a newer version since, a second frame says so.
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

    /// A message with the digest of the full list.
    pub fn digest_message(&self) -> ToAgent {
        let digest = self.digests.digest(KeyRange::ALL);
        ToAgent::BackendsDigest { version: self.version, digest }
    }

    /// The content of the list in a range of keys: its items, or digests of subranges if there are many.
    pub fn content(&self, range: KeyRange) -> RangeContent {
        self.digests.content(range)
    }

    /// The endpoints with these keys; keys without an endpoint are ignored.
    pub fn with_keys(&self, keys: &[u64]) -> Vec<Backend> {
        self.endpoints.iter().filter(|endpoint| keys.contains(&endpoint.key())).cloned().collect()
    }
}
