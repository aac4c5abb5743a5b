//! The list of backends as the platform publishes it, and the differences between two such lists.

use crate::backend::Backend;
use crate::backend_list_version::BackendListVersion;
use range_digest::{DigestedSet, RangeDigest};
use serde::{Deserialize, Serialize};

/// The complete list of backends, from one read of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendList {
    /// Higher than the version of every list that the reading coordinator knew when the read began. A
    /// receiver ignores a list that is not newer than its own.
    pub version: BackendListVersion,
    /// The backends, sorted by instance id.
    #[serde(with = "crate::backend_table")]
    pub backends: Vec<Backend>,
}

/// The differences between two lists that are sorted by instance id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendChanges {
    /// The entries of backends that were added or have changed.
    #[serde(with = "crate::backend_table")]
    pub changed: Vec<Backend>,
    /// The instance ids of backends that were removed.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

/// A list as a set that can be compared by digests of ranges: [`Backend::key`] and [`Backend::content_hash`]
/// of each entry.
pub fn list_digest_set(backends: &[Backend]) -> DigestedSet {
    backends.iter().map(|backend| (backend.key(), backend.content_hash())).collect()
}

/// The digest of a complete list. Equals the digest of [`list_digest_set`], but does not build the set.
pub fn list_digest(backends: &[Backend]) -> RangeDigest {
    let mut digest = RangeDigest::default();
    backends.iter().for_each(|backend| digest.add(backend.key(), backend.content_hash()));
    digest
}

impl BackendChanges {
    /// The changes that turn one list into another. Both must be sorted by instance id.
    pub fn between(before: &[Backend], after: &[Backend]) -> Self {
        let contains = |list: &[Backend], id: &str| find(list, id).is_ok();
        let is_unchanged = |backend: &Backend| {
            find(before, &backend.instance_id).is_ok_and(|index| before[index].has_same_content(backend))
        };
        BackendChanges {
            changed: after.iter().filter(|backend| !is_unchanged(backend)).cloned().collect(),
            removed: before
                .iter()
                .filter(|backend| !contains(after, &backend.instance_id))
                .map(|backend| backend.instance_id.clone())
                .collect(),
        }
    }

    /// Applies these changes to a list that is sorted by instance id, and returns the changed list.
    pub fn apply(&self, before: &[Backend]) -> Vec<Backend> {
        let mut list = before.to_vec();
        list.retain(|backend| !self.removed.contains(&backend.instance_id));
        for backend in &self.changed {
            match find(&list, &backend.instance_id) {
                Ok(index) => list[index] = backend.clone(),
                Err(index) => list.insert(index, backend.clone()),
            }
        }
        list
    }

    /// The number of backends that were added, changed or removed.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the two lists are equal, apart from the remaining warm-up of backends.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The index of a backend in a list that is sorted by instance id; as an error, the index at which to insert
/// it.
fn find(list: &[Backend], id: &str) -> Result<usize, usize> {
    list.binary_search_by(|backend| backend.instance_id.as_str().cmp(id))
}
