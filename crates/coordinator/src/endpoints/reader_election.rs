//! Which coordinator reads the platform's list and when, and which of the lists that are read or received is the newest. No I/O, no
//! clock.

use crate::peer_protocol::{EndpointListContent, EndpointListUpdate};
use control_protocol::{Backend, BackendChanges, BackendListVersion};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// How often the list is read.
pub const READ_INTERVAL: Duration = Duration::from_millis(700);
/// While there is no list: how much later a coordinator reads for each one before it in the order that has recent contact, and
/// so is about to read.
const FIRST_READ_DELAY: Duration = Duration::from_millis(150);
/// The same for each one before it without recent contact: after a loss of power it may not be back for long.
const FIRST_READ_DELAY_WITHOUT_CONTACT: Duration = Duration::from_millis(15);
/// The longest backoff after reads that failed. A drain has to come through soon after the platform is back.
const MAX_BACKOFF: Duration = Duration::from_millis(1400);
/// The bits of a version that identify the reader, so that no two readers give the same version to two lists.
const READER_BITS: u32 = 16;

/// The highest version that is believed to exist. Guards against one that leaves none above it.
const HIGHEST_VERSION: BackendListVersion = BackendListVersion(1 << 62);

/// What a read or an update has made of the present list.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// It was replaced by another one.
    Changed(Arc<Vec<Backend>>),
    /// It stays, and is as new as this version.
    Confirmed,
    /// The list that the update refers to isn't known: the sender has to send all of it.
    FullListNeeded,
    /// The read or update is not newer than what is known.
    Stale,
}

/// The differences from another list.
#[derive(Clone, Debug)]
struct ChangesFrom {
    /// The version of the read that first saw that other list.
    base: BackendListVersion,
    changes: BackendChanges,
}

/// The present list, and the order in which coordinators read.
#[derive(Debug)]
pub struct ReaderElection {
    own_address: SocketAddrV4,
    order: Vec<SocketAddrV4>,
    /// The highest version that is known to exist.
    highest_known: BackendListVersion,
    /// The version of the read that first saw the present list.
    content_version: BackendListVersion,
    /// The version of the newest read that saw it.
    version: BackendListVersion,
    endpoints: Option<Arc<Vec<Backend>>>,
    /// The differences of the present list from the one before it, where this coordinator has read both.
    changes: Option<ChangesFrom>,
    /// When this coordinator learned of the newest read.
    last_read_at: Duration,
    reader: Option<SocketAddrV4>,
    failures: u32,
    /// The end of the backoff after a failed read.
    retry_at: Duration,
    interval: Duration,
    /// Whether others have newer lists than this reader, so that they ignore its lists.
    is_behind: bool,
    has_withdrawn: bool,
}

impl ReaderElection {
    /// No list yet. Versions begin at `unix_time`, or any other time that goes on over restarts, so that those of a core that
    /// starts again are not older than what agents have. It need not be exact.
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

    /// The coordinators in the order in which they are to read.
    pub fn set_order(&mut self, order: Vec<SocketAddrV4>) {
        self.order = order;
    }

    /// How often the list is to be read: [`READ_INTERVAL`], or less often where the platform accepts no more calls for its pages.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval.max(READ_INTERVAL);
    }

    /// Reads no more: this coordinator is about to shut down.
    pub fn withdraw(&mut self) {
        self.has_withdrawn = true;
    }

    /// When this coordinator is to read next, unless an update arrives before. `None` once it has withdrawn.
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
            let rank = self.before_own().filter(|peer| has_contact(*peer)).count();
            self.interval + READ_INTERVAL * rank as u32
        };
        Some((self.last_read_at + delay).max(self.retry_at))
    }

    fn first_read_delay(&self, has_contact: impl Fn(SocketAddrV4) -> bool) -> Duration {
        let (reachable, unreachable): (Vec<_>, Vec<_>) =
            self.before_own().partition(|peer| has_contact(*peer));
        FIRST_READ_DELAY * reachable.len() as u32
            + FIRST_READ_DELAY_WITHOUT_CONTACT * (unreachable.len() as u32 + 1)
    }

    /// Begins a read, and gives it a version. A coordinator that takes over skips a version: the reader before may be suspended
    /// in a read that it began under the next version, and what it saw is older than what is read now.
    pub fn begin_read(&mut self) -> BackendListVersion {
        self.is_behind = false;
        let step = if self.reader == Some(self.own_address) { 1 } else { 2 };
        let count = (self.highest_known.number() >> READER_BITS) + step;
        let code = u64::from(reader_code(self.own_address));
        self.highest_known = BackendListVersion((count << READER_BITS) | code);
        self.highest_known
    }

    /// The read that was begun under a version saw these endpoints.
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
        if self.is_present(&endpoints) {
            return UpdateOutcome::Confirmed;
        }
        let base = self.content_version;
        let before = self.endpoints.as_ref();
        self.changes =
            before.map(|before| ChangesFrom { base, changes: BackendChanges::between(before, &endpoints) });
        self.content_version = version;
        self.replace(endpoints)
    }

    /// A read failed.
    pub fn fail_read(&mut self, now: Duration) {
        let backoff = READ_INTERVAL * (1 << self.failures.min(4));
        self.retry_at = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
        if self.reader == Some(self.own_address) {
            self.reader = None;
        }
    }

    /// Applies the update of another coordinator that has read.
    pub fn apply_update(
        &mut self,
        from: SocketAddrV4,
        update: EndpointListUpdate,
        now: Duration,
    ) -> UpdateOutcome {
        self.highest_known = self.highest_known.max(update.version.min(HIGHEST_VERSION));
        if self.before_own().any(|peer| peer == from) {
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
        // Two that read at the same time, as after a loss of power, have sent one list under two versions.
        if self.is_present(&endpoints) {
            return UpdateOutcome::Confirmed;
        }
        self.replace(endpoints)
    }

    /// An agent has a list of this version, which others sent it. A reader that is behind reads at once, as its lists are
    /// ignored.
    pub fn observe_version(&mut self, version: BackendListVersion) {
        if version > self.highest_known && version < HIGHEST_VERSION {
            self.highest_known = version;
            self.is_behind = self.reader.is_none_or(|reader| reader == self.own_address);
        }
    }

    /// The update with the full list.
    pub fn full_update(&self) -> Option<EndpointListUpdate> {
        let endpoints = self.endpoints.as_ref()?;
        Some(self.update(EndpointListContent::Full(endpoints.as_ref().clone())))
    }

    /// The update that tells others of the newest read, by this coordinator.
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

    /// The present list with its version.
    pub fn list(&self) -> Option<(BackendListVersion, &Arc<Vec<Backend>>)> {
        self.endpoints.as_ref().map(|endpoints| (self.version, endpoints))
    }

    /// The coordinator that read the list last, if known.
    pub fn reader(&self) -> Option<SocketAddrV4> {
        self.reader
    }

    /// When this coordinator learned of the newest read.
    pub fn last_read_at(&self) -> Duration {
        self.last_read_at
    }

    /// Whether the present list differs from this one in nothing but the time that passes.
    fn is_present(&self, endpoints: &[Backend]) -> bool {
        self.endpoints.as_ref().is_some_and(|present| is_same(present, endpoints))
    }

    fn replace(&mut self, endpoints: Vec<Backend>) -> UpdateOutcome {
        let endpoints = Arc::new(endpoints);
        self.endpoints = Some(endpoints.clone());
        UpdateOutcome::Changed(endpoints)
    }

    /// The coordinators before this one in the order. All, where this one is not in it.
    fn before_own(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.order.iter().copied().take_while(|peer| *peer != self.own_address)
    }
}

fn is_same(one: &[Backend], other: &[Backend]) -> bool {
    one.len() == other.len() && one.iter().zip(other).all(|(one, other)| one.has_same_content(other))
}

/// A few bits of an address that hardly two coordinators share.
fn reader_code(address: SocketAddrV4) -> u16 {
    let hash = u32::from(*address.ip()).wrapping_mul(0x9E37_79B1).wrapping_add(u32::from(address.port()));
    (hash >> READER_BITS) as u16
}
