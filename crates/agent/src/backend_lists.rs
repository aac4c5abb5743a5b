//! The lists of backends that coordinators send, and the newest of them.

use crate::ids::LinkId;
use crate::repair::{ComparisonReason, ListRequest, Repair, RepairError, repaired};
use control_protocol::{Backend, BackendChanges, BackendList, BackendListVersion, BackendState};
use range_digest::{KeyRange, RangeContent, RangeDigest};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// The time after which a request for the complete list may be sent to another coordinator.
const FULL_LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long after its last confirmation the newest list counts as unconfirmed: a list is read every 0.7 s, so
/// the coordinator that read it may have failed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a draining backend is remembered after the last list that contains it.
const DRAINING_RETENTION: Duration = Duration::from_secs(60);

/// The list of one coordinator, as far as it is known.
#[derive(Clone, Debug)]
struct CoordinatorList {
    version: BackendListVersion,
    backends: Arc<Vec<Backend>>,
    /// Whether the coordinator is known to have exactly this list. Otherwise this is another coordinator's
    /// list, which is being compared with that of this one.
    is_verified: bool,
    /// Whether the coordinator has sent anything about its list since [`BackendLists::take_stale_links`] was
    /// last called.
    is_active: bool,
    /// The comparison with the coordinator's list, while it is in progress.
    repair: Option<Repair>,
}

/// A pending request for the complete list.
#[derive(Clone, Copy, Debug)]
struct FullListRequest {
    link: LinkId,
    deadline: Duration,
}

/// The lists of all connected coordinators, and the newest of these.
#[derive(Debug, Default)]
pub(crate) struct BackendLists {
    by_link: BTreeMap<LinkId, CoordinatorList>,
    newest: Option<BackendList>,
    /// When the newest list was last confirmed.
    confirmed_at: Duration,
    full_list_request: Option<FullListRequest>,
    /// The instance ids of backends that were seen draining, each with the time of the last list that
    /// contains it. A draining backend never becomes ready again.
    draining: HashMap<String, Duration>,
}

impl BackendLists {
    /// The newest list, in which draining backends stay draining.
    pub fn newest(&self) -> Option<&BackendList> {
        self.newest.as_ref()
    }

    /// The version of the newest read of the platform's list that confirms the newest list.
    pub fn version(&self) -> Option<BackendListVersion> {
        self.newest.as_ref().map(|list| list.version)
    }

    /// The time since the newest list was confirmed; `None` without a list.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest.as_ref().map(|_| now.saturating_sub(self.confirmed_at))
    }

    /// Applies a list that a coordinator has sent. Returns the newest list if that has changed.
    pub fn apply(&mut self, now: Duration, id: LinkId, list: BackendList) -> Option<BackendList> {
        let version = list.version;
        let backends = self.store(id, list);
        self.adopt_if_newer(now, version, &backends)
    }

    /// Stores the list of a coordinator.
    fn store(&mut self, id: LinkId, list: BackendList) -> Arc<Vec<Backend>> {
        let backends = Arc::new(list.backends);
        let stored = CoordinatorList {
            version: list.version,
            backends: backends.clone(),
            is_verified: true,
            is_active: true,
            repair: None,
        };
        self.by_link.insert(id, stored);
        self.full_list_request.take_if(|request| request.link == id);
        backends
    }

    /// Whether a coordinator is known to have exactly the list that is stored for its link.
    pub fn is_verified(&self, id: LinkId) -> bool {
        self.by_link.get(&id).is_some_and(|list| list.is_verified)
    }

    /// What to request from a coordinator that refers to a list which is unknown here: its digest if another
    /// coordinator has sent a list to compare with; otherwise the complete list, but only from one
    /// coordinator at a time.
    pub fn request_unknown(&mut self, now: Duration, id: LinkId) -> Option<ListRequest> {
        self.by_link.remove(&id);
        if self.newest_verified().is_some() {
            return Some(ListRequest::Digest);
        }
        if self.full_list_request.is_some_and(|request| now < request.deadline) {
            return None;
        }
        Some(self.request_full_list(now, id))
    }

    fn request_full_list(&mut self, now: Duration, id: LinkId) -> ListRequest {
        self.by_link.remove(&id);
        self.full_list_request = Some(FullListRequest { link: id, deadline: now + FULL_LIST_TIMEOUT });
        ListRequest::FullList
    }

    fn newest_verified(&self) -> Option<Arc<Vec<Backend>>> {
        let verified = self.by_link.values().filter(|list| list.is_verified);
        verified.max_by_key(|list| list.version).map(|list| list.backends.clone())
    }

    /// A coordinator's previous list with its changes applied. `None` if the previous list is unknown here.
    pub fn changed_list(
        &self,
        id: LinkId,
        base: BackendListVersion,
        version: BackendListVersion,
        changes: &BackendChanges,
    ) -> Option<BackendList> {
        let previous = self.by_link.get(&id).filter(|list| list.is_verified && list.version == base)?;
        Some(BackendList { version, backends: changes.apply(&previous.backends) })
    }

    /// Handles a coordinator's confirmation of its last list. Returns the newest list if that has changed.
    pub fn confirm(&mut self, now: Duration, id: LinkId, version: BackendListVersion) -> Option<BackendList> {
        let list = self.by_link.get_mut(&id).filter(|list| list.is_verified)?;
        list.version = list.version.max(version);
        list.is_active = true;
        let backends = list.backends.clone();
        self.adopt_if_newer(now, version, &backends)
    }

    /// Compares the digest of a coordinator's list with the list that is stored for its link, or else with
    /// the newest one of the others. Returns what to request if they differ.
    pub fn compare_digest(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        digest: RangeDigest,
    ) -> Option<ListRequest> {
        if !self.is_verified(id) && !self.assume_newest(id, version) {
            return self.request_unknown(now, id);
        }
        let list = self.by_link.get_mut(&id).filter(|list| list.version == version)?;
        let reason =
            if list.is_verified { ComparisonReason::Verification } else { ComparisonReason::FirstContact };
        list.repair = Repair::begin(reason, version, &list.backends, digest);
        list.is_verified |= list.repair.is_none();
        list.repair.as_mut().and_then(Repair::next_request)
    }

    /// Assumes, until it is compared, that a coordinator has the same list as the others. Returns false if no
    /// other coordinator's list is known.
    fn assume_newest(&mut self, id: LinkId, version: BackendListVersion) -> bool {
        let Some(backends) = self.newest_verified() else { return false };
        let assumed =
            CoordinatorList { version, backends, is_verified: false, is_active: true, repair: None };
        self.by_link.insert(id, assumed);
        true
    }

    /// Compares the content of a range of a coordinator's list. Returns what to request next. If the
    /// coordinator's list has changed in the meantime, the comparison ends, and the next digest begins a new
    /// one.
    pub fn compare_range(
        &mut self,
        now: Duration,
        id: LinkId,
        version: BackendListVersion,
        range: KeyRange,
        content: &RangeContent,
    ) -> Result<Option<ListRequest>, RepairError> {
        let Some(list) = self.by_link.get_mut(&id) else { return Ok(None) };
        let Some(repair) = list.repair.as_mut().filter(|repair| repair.version() == version) else {
            list.repair = None;
            return Ok(None);
        };
        match repair.compare_range(range, content) {
            Ok(()) => Ok(repair.next_request()),
            Err(_) if !list.is_verified => Ok(Some(self.request_full_list(now, id))),
            Err(error) => Err(error),
        }
    }

    /// Ends a comparison: returns the list of the link, in which the differing backends are replaced by the
    /// coordinator's entries. `None` if no comparison of this version has requested these keys.
    pub fn repaired_list(
        &mut self,
        id: LinkId,
        version: BackendListVersion,
        keys: &[u64],
        backends: &[Backend],
    ) -> Option<BackendList> {
        let list = self.by_link.get_mut(&id).filter(|list| list.version == version)?;
        list.repair.take_if(|repair| repair.has_requested(keys))?;
        Some(BackendList { version, backends: repaired(&list.backends, keys, backends) })
    }

    /// Replaces the list of a link with a repaired one of the same version; also the newest list, unless that
    /// has a higher version. Returns the newest list if that has changed.
    pub fn replace(&mut self, now: Duration, id: LinkId, list: BackendList) -> Option<BackendList> {
        let version = list.version;
        let backends = self.store(id, list);
        let is_outdated = self.newest.as_ref().is_some_and(|newest| newest.version > version);
        if is_outdated { None } else { self.adopt(now, version, &backends) }
    }

    fn adopt_if_newer(
        &mut self,
        now: Duration,
        version: BackendListVersion,
        backends: &[Backend],
    ) -> Option<BackendList> {
        if self.newest.as_ref().is_some_and(|newest| version <= newest.version) {
            return None;
        }
        self.adopt(now, version, backends)
    }

    fn adopt(
        &mut self,
        now: Duration,
        version: BackendListVersion,
        backends: &[Backend],
    ) -> Option<BackendList> {
        self.confirmed_at = now;
        let backends = self.keep_draining(now, backends);
        match &mut self.newest {
            Some(newest) if newest.backends == backends => {
                newest.version = version;
                None
            }
            newest => {
                log::debug!("list {version} of {} backends", backends.len());
                *newest = Some(BackendList { version, backends });
                newest.clone()
            }
        }
    }

    /// The list, in which every backend that was seen draining is still draining. Backends are remembered
    /// because the platform may omit one from a list and include it in the next.
    fn keep_draining(&mut self, now: Duration, backends: &[Backend]) -> Vec<Backend> {
        let mut backends = backends.to_vec();
        for backend in &mut backends {
            if self.draining.contains_key(&backend.instance_id) {
                backend.state = BackendState::Draining;
            }
        }
        let draining = backends.iter().filter(|backend| backend.state == BackendState::Draining);
        self.draining.extend(draining.map(|backend| (backend.instance_id.clone(), now)));
        self.draining.retain(|_, listed_at| now < *listed_at + DRAINING_RETENTION);
        backends
    }

    /// Removes the list of a link that has ended.
    pub fn remove_link(&mut self, id: LinkId) {
        self.by_link.remove(&id);
        self.full_list_request.take_if(|request| request.link == id);
    }

    /// The links to coordinators that must learn the version of the newest list, as their own is older. These
    /// are the links on which nothing about a list has arrived since the last call, and all of them while the
    /// newest list is unconfirmed: its reader may have failed, and a list that these coordinators read would
    /// be ignored until their versions exceed that of the newest one. A coordinator that has started later
    /// uses versions that are higher by far.
    pub fn take_stale_links(&mut self, now: Duration) -> Vec<LinkId> {
        let Some(version) = self.version() else { return Vec::new() };
        let is_unconfirmed = now >= self.confirmed_at + CONFIRMATION_TIMEOUT;
        let mut stale = Vec::new();
        for (id, list) in self.by_link.iter_mut().filter(|(_, list)| list.is_verified) {
            let is_silent = !std::mem::take(&mut list.is_active);
            if list.version < version && (is_silent || is_unconfirmed) {
                stale.push(*id);
            }
        }
        stale
    }
}
