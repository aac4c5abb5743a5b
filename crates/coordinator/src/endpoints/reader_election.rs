//! Decides which coordinator reads the platform's list and when, and which of the lists that were read or
//! received is the newest. No I/O, no clock.

use crate::peer_protocol::{EndpointListContent, EndpointListUpdate};
use control_protocol::{Backend, BackendChanges, BackendListVersion};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// How often the list is read, unless the platform's rate limit requires a longer interval.
pub const READ_INTERVAL: Duration = Duration::from_millis(700);
/// While there is no list: a coordinator's delay for each candidate before it that has recent contact, and is
/// therefore about to read.
const FIRST_READ_DELAY: Duration = Duration::from_millis(150);
/// The same for each candidate before it without recent contact. Short, because after a power failure that
/// candidate may not be back for a long time.
const FIRST_READ_DELAY_WITHOUT_CONTACT: Duration = Duration::from_millis(15);
/// The longest backoff after failed reads. Short enough that a drain is noticed soon after the platform is
/// back.
const MAX_BACKOFF: Duration = Duration::from_millis(1400);
/// The low bits of a version, which identify the reader, so that two readers never use the same version for
/// different lists.
const READER_BITS: u32 = 16;

/// The highest version that is accepted from others, so that there are always higher ones left for new reads.
const HIGHEST_VERSION: BackendListVersion = BackendListVersion(1 << 62);

/// The effect of a read or an update on the current list.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// The list was replaced with this one.
    Changed(Arc<Vec<Backend>>),
    /// The content is unchanged, and now has the newer version.
    Confirmed,
    /// The update builds on a list that is not known here: its sender has to send the full list.
    FullListNeeded,
    /// The read or update is not newer than the current list, and was ignored.
    Stale,
}

/// The differences of the current list from its predecessor.
#[derive(Clone, Debug)]
struct ChangesFrom {
    /// The version of the read that first saw the predecessor.
    base: BackendListVersion,
    changes: BackendChanges,
}

/// The current list, and this coordinator's place in the order of readers.
///
/// There is no vote: the first candidate with contact reads, and each candidate after it waits longer for
/// news of a read before it reads itself.
#[derive(Debug)]
pub struct ReaderElection {
    own_address: SocketAddrV4,
    order: Vec<SocketAddrV4>,
    /// The highest version that is known to exist.
    highest_known: BackendListVersion,
    /// The version of the read that first saw the current list.
    content_version: BackendListVersion,
    /// The version of the newest read that saw the current list.
    version: BackendListVersion,
    endpoints: Option<Arc<Vec<Backend>>>,
    /// The differences from the predecessor, if this coordinator has read the current list and there was one.
    changes: Option<ChangesFrom>,
    /// When this coordinator learned of the newest read.
    last_read_at: Duration,
    reader: Option<SocketAddrV4>,
    failures: u32,
    /// The end of the backoff after a failed read.
    retry_at: Duration,
    interval: Duration,
    /// Whether this coordinator is the reader, but agents have lists with higher versions and so ignore its
    /// lists.
    is_behind: bool,
    has_withdrawn: bool,
}

impl ReaderElection {
    /// Starts without a list. Versions begin at `unix_time`, so that the versions of a core that restarts as
    /// a whole are higher than those that agents have. Any time that continues across restarts will do; it
    /// need not be exact.
    pub fn new(own_address: SocketAddrV4, unix_time: Duration, now: Duration) -> Self {
        let first = BackendListVersion((unix_time.as_millis() as u64) << READER_BITS);
        ReaderElection {
            own_address,
            order: Vec::new(),
            highest_known: first.min(HIGHEST_VERSION),
            content_version: BackendListVersion::NONE,
            version: BackendListVersion::NONE,
            endpoints: None,
            changes: None,
            last_read_at: now,
            reader: None,
            failures: 0,
            retry_at: now,
            interval: READ_INTERVAL,
            is_behind: false,
            has_withdrawn: false,
        }
    }

    /// Sets the candidates to read the list, by priority.
    pub fn set_order(&mut self, order: Vec<SocketAddrV4>) {
        self.order = order;
    }

    /// Sets the interval between reads. [`READ_INTERVAL`] is the minimum; long lists need a longer interval
    /// to stay within the platform's rate limit.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval.max(READ_INTERVAL);
    }

    /// Stops this coordinator from reading, because it is shutting down.
    pub fn withdraw(&mut self) {
        self.has_withdrawn = true;
    }

    /// When this coordinator has to read next, unless an update arrives earlier. `None` once it has
    /// withdrawn.
    pub fn next_read_at(&self, has_contact: impl Fn(SocketAddrV4) -> bool) -> Option<Duration> {
        if self.has_withdrawn {
            return None;
        }
        let delay = if self.is_behind {
            Duration::ZERO
        } else if self.endpoints.is_none() {
            self.first_read_delay(has_contact)
        } else if self.reader == Some(self.own_address) {
            self.interval
        } else {
            let rank = self.higher_priority_peers().filter(|peer| has_contact(*peer)).count();
            self.interval + READ_INTERVAL * rank as u32
        };
        Some((self.last_read_at + delay).max(self.retry_at))
    }

    fn first_read_delay(&self, has_contact: impl Fn(SocketAddrV4) -> bool) -> Duration {
        let (reachable, unreachable): (Vec<_>, Vec<_>) =
            self.higher_priority_peers().partition(|peer| has_contact(*peer));
        FIRST_READ_DELAY * reachable.len() as u32
            + FIRST_READ_DELAY_WITHOUT_CONTACT * (unreachable.len() as u32 + 1)
    }

    /// Starts a read and returns its version.
    ///
    /// A coordinator that takes over skips one version: the previous reader may be suspended in a read that
    /// it started under the next version, and what that read saw is older than what is read now.
    pub fn begin_read(&mut self) -> BackendListVersion {
        self.is_behind = false;
        let step = if self.reader == Some(self.own_address) { 1 } else { 2 };
        let count = (self.highest_known.number() >> READER_BITS) + step;
        let code = u64::from(reader_code(self.own_address));
        self.highest_known = BackendListVersion((count << READER_BITS) | code);
        self.highest_known
    }

    /// Applies the endpoints that were seen by the read with a version from [`ReaderElection::begin_read`].
    pub fn complete_read(
        &mut self,
        version: BackendListVersion,
        mut endpoints: Vec<Backend>,
        now: Duration,
    ) -> UpdateOutcome {
        self.failures = 0;
        if version <= self.version {
            return UpdateOutcome::Stale;
        }
        (self.version, self.last_read_at, self.reader) = (version, now, Some(self.own_address));
        endpoints.sort_by(|one, other| one.instance_id.cmp(&other.instance_id));
        if self.is_current(&endpoints) {
            return UpdateOutcome::Confirmed;
        }
        let base = self.content_version;
        let before = self.endpoints.as_ref();
        self.changes =
            before.map(|before| ChangesFrom { base, changes: BackendChanges::between(before, &endpoints) });
        self.content_version = version;
        self.replace(endpoints)
    }

    /// Records a failed read: the next one is delayed by a backoff that grows with each failure.
    pub fn fail_read(&mut self, now: Duration) {
        let backoff = READ_INTERVAL * (1 << self.failures.min(4));
        self.retry_at = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
        if self.reader == Some(self.own_address) {
            self.reader = None;
        }
    }

    /// Applies the update of another coordinator that has read the list.
    pub fn apply_update(
        &mut self,
        from: SocketAddrV4,
        update: EndpointListUpdate,
        now: Duration,
    ) -> UpdateOutcome {
        self.highest_known = self.highest_known.max(update.version.min(HIGHEST_VERSION));
        if self.higher_priority_peers().any(|peer| peer == from) {
            self.reader = Some(from);
        }
        if update.version <= self.version {
            return UpdateOutcome::Stale;
        }
        let is_known = update.content_version == self.content_version && self.endpoints.is_some();
        let endpoints = match (update.content, &self.endpoints) {
            _ if is_known => None,
            (EndpointListContent::Full(endpoints), _) => Some(endpoints),
            (EndpointListContent::Changes { base, changes }, Some(before))
                if base == self.content_version =>
            {
                Some(changes.apply(before))
            }
            _ => return UpdateOutcome::FullListNeeded,
        };
        (self.version, self.last_read_at, self.reader) = (update.version, now, Some(from));
        let Some(endpoints) = endpoints else { return UpdateOutcome::Confirmed };
        self.content_version = update.content_version;
        self.changes = None;
        // Two coordinators that read at the same time, as after a power failure, have sent the same list
        // under two versions.
        if self.is_current(&endpoints) {
            return UpdateOutcome::Confirmed;
        }
        self.replace(endpoints)
    }

    /// Records that an agent has a list of this version. If it is higher than all known ones and this
    /// coordinator is the reader, or none is known, it reads at once: agents ignore its lists until their
    /// versions are higher.
    pub fn observe_version(&mut self, version: BackendListVersion) {
        if version > self.highest_known && version < HIGHEST_VERSION {
            self.highest_known = version;
            self.is_behind = self.reader.is_none_or(|reader| reader == self.own_address);
        }
    }

    /// An update with the full list; `None` if there is no list yet.
    pub fn full_update(&self) -> Option<EndpointListUpdate> {
        let endpoints = self.endpoints.as_ref()?;
        Some(self.update(EndpointListContent::Full(endpoints.as_ref().clone())))
    }

    /// The update that announces this coordinator's newest read to the others: the differences alone where
    /// possible.
    pub fn newest_update(&self) -> Option<EndpointListUpdate> {
        if self.content_version != self.version {
            return Some(self.update(EndpointListContent::Unchanged));
        }
        match self.changes.clone() {
            Some(ChangesFrom { base, changes }) => {
                Some(self.update(EndpointListContent::Changes { base, changes }))
            }
            None => self.full_update(),
        }
    }

    fn update(&self, content: EndpointListContent) -> EndpointListUpdate {
        EndpointListUpdate { content_version: self.content_version, version: self.version, content }
    }

    /// The current list with its version; `None` if there is no list yet.
    pub fn list(&self) -> Option<(BackendListVersion, &Arc<Vec<Backend>>)> {
        self.endpoints.as_ref().map(|endpoints| (self.version, endpoints))
    }

    /// The coordinator that read the list last; `None` before the first read and after a read of this
    /// coordinator's own has failed.
    pub fn reader(&self) -> Option<SocketAddrV4> {
        self.reader
    }

    /// When this coordinator learned of the newest read; its start if there was none.
    pub fn last_read_at(&self) -> Duration {
        self.last_read_at
    }

    /// Whether the current list has these endpoints; remaining times that merely count down are not compared.
    fn is_current(&self, endpoints: &[Backend]) -> bool {
        self.endpoints.as_ref().is_some_and(|current| is_same(current, endpoints))
    }

    fn replace(&mut self, endpoints: Vec<Backend>) -> UpdateOutcome {
        let endpoints = Arc::new(endpoints);
        self.endpoints = Some(endpoints.clone());
        UpdateOutcome::Changed(endpoints)
    }

    /// The candidates with a higher priority than this coordinator; all of them if it is not a candidate
    /// itself.
    fn higher_priority_peers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.order.iter().copied().take_while(|peer| *peer != self.own_address)
    }
}

fn is_same(one: &[Backend], other: &[Backend]) -> bool {
    one.len() == other.len() && one.iter().zip(other).all(|(one, other)| one.has_same_content(other))
}

/// A hash of an address, for the low bits of versions. Two coordinators hardly ever share it.
fn reader_code(address: SocketAddrV4) -> u16 {
    let hash = u32::from(*address.ip()).wrapping_mul(0x9E37_79B1).wrapping_add(u32::from(address.port()));
    (hash >> READER_BITS) as u16
}
