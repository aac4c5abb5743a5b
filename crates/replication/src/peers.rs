//! Failure detection: which members' heartbeats arrive here, and which members receive each other's
//! heartbeats.

use crate::identifiers::{MemberId, ViewNumber};
use crate::message::{HeardPeer, Heartbeat};
use crate::model::Member;
use std::collections::BTreeMap;
use std::time::Duration;

/// A member counts as unreachable if no heartbeat of it arrived for this long: three heartbeat intervals and
/// the scheduling delay of a busy machine.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(650);

/// How long the heartbeats of a member must have arrived without a gap before it may join the chain.
const STABLE_AFTER: Duration = Duration::from_millis(250);

/// How long a member must have reported that it does not hear another before this counts. Its report may be
/// as old as one heartbeat interval.
const NOT_HEARING_AFTER: Duration = Duration::from_millis(250);

/// After its start, a process takes all other members as heard for this long.
const START_GRACE: Duration = Duration::from_millis(1_000);

/// How long a member outside the view is kept after its last heartbeat.
const RETENTION: Duration = Duration::from_secs(5);

/// The last heartbeat of another member, and what followed from earlier ones.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) heartbeat: Heartbeat,
    /// The number of the view that the member knows.
    pub(crate) view: ViewNumber,
    heard_at: Duration,
    /// The start of the current period in which its heartbeats have arrived without a gap.
    stable_since: Duration,
    /// When this process sent the most recent heartbeat that the other member is known to have received.
    echoed_sent_at: Option<Duration>,
    /// The members whose heartbeats it does not receive, and since when.
    unheard_since: BTreeMap<MemberId, Duration>,
}

/// What this process knows of the other members from their heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    known: BTreeMap<MemberId, Peer>,
    grace_until: Duration,
}

impl Peers {
    pub(crate) fn new(now: Duration) -> Self {
        Peers { known: BTreeMap::new(), grace_until: now + START_GRACE }
    }

    /// Handles a stall of this process: the recorded times are outdated, so all members count as heard for
    /// one time-out.
    pub(crate) fn record_stall(&mut self, now: Duration) {
        self.grace_until = self.grace_until.max(now + HEARTBEAT_TIMEOUT);
    }

    pub(crate) fn in_grace_period(&self, now: Duration) -> bool {
        now < self.grace_until
    }

    /// Records a heartbeat. Returns whether its sender has restarted since the last one.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Duration,
        own_id: MemberId,
        view: ViewNumber,
        heartbeat: Heartbeat,
        members: &[Member],
    ) -> bool {
        let id = heartbeat.member.id;
        let before = self.known.remove(&id);
        let restarted =
            before.as_ref().is_some_and(|peer| peer.heartbeat.incarnation != heartbeat.incarnation);
        let is_old = |peer: &Peer| !restarted && peer.heartbeat.sent_ms > heartbeat.sent_ms;
        if before.as_ref().is_some_and(is_old) {
            self.known.extend(before.map(|peer| (id, peer)));
            return false;
        }
        let known_unheard_since =
            before.as_ref().filter(|_| !restarted).map(|peer| peer.unheard_since.clone()).unwrap_or_default();
        let echo = heartbeat.heard.iter().find(|heard| heard.id == own_id && heard.sent_ms > 0);
        let echo = echo.map(|heard| Duration::from_millis(heard.sent_ms));
        // A time later than now was sent by an earlier incarnation of this process.
        let echoed_sent_at = echo.filter(|sent| *sent <= now);
        let steady = before.as_ref().filter(|peer| !restarted && now < peer.heard_at + HEARTBEAT_TIMEOUT);
        let peer = Peer {
            view,
            heard_at: now,
            stable_since: steady.map_or(now, |peer| peer.stable_since),
            echoed_sent_at: echoed_sent_at.or(before.as_ref().and_then(|peer| peer.echoed_sent_at)),
            unheard_since: updated_unheard_since(known_unheard_since, now, &heartbeat, members),
            heartbeat,
        };
        self.known.insert(id, peer);
        restarted
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.known.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
    }

    /// Whether the heartbeats of a member arrive, or can't have arrived yet since the start or a stall of
    /// this process.
    pub(crate) fn hears(&self, now: Duration, id: MemberId) -> bool {
        self.hears_within(now, id, HEARTBEAT_TIMEOUT)
    }

    pub(crate) fn hears_within(&self, now: Duration, id: MemberId, span: Duration) -> bool {
        self.in_grace_period(now) || self.known.get(&id).is_some_and(|peer| now < peer.heard_at + span)
    }

    pub(crate) fn is_stable(&self, now: Duration, id: MemberId) -> bool {
        let Some(peer) = self.known.get(&id) else { return false };
        now < peer.heard_at + HEARTBEAT_TIMEOUT && now >= peer.stable_since + STABLE_AFTER
    }

    /// Whether, within `span`, a heartbeat was sent from here, received there and acknowledged by a heartbeat
    /// back. Correct however long this process was stalled, because the time compared is that of sending, on
    /// its own clock.
    pub(crate) fn has_two_way_contact(&self, now: Duration, id: MemberId, span: Duration) -> bool {
        let echoed = self.known.get(&id).and_then(|peer| peer.echoed_sent_at);
        echoed.is_some_and(|sent| now < sent + span)
    }

    /// Whether the heartbeats of `receiver` arrive, and the last one reports that it hears `sender`.
    pub(crate) fn reports_hearing(&self, now: Duration, receiver: MemberId, sender: MemberId) -> bool {
        let peer = self.known.get(&receiver).filter(|peer| now < peer.heard_at + HEARTBEAT_TIMEOUT);
        peer.is_some_and(|peer| peer.heartbeat.heard.iter().any(|heard| heard.id == sender))
    }

    /// Whether `receiver` has reported for [`NOT_HEARING_AFTER`] that it does not hear `sender`.
    pub(crate) fn reports_not_hearing(&self, now: Duration, receiver: MemberId, sender: MemberId) -> bool {
        let since = self.known.get(&receiver).and_then(|peer| peer.unheard_since.get(&sender));
        since.is_some_and(|since| now >= *since + NOT_HEARING_AFTER)
    }

    /// The members that this one hears, for its heartbeat.
    pub(crate) fn heard_list(&self, now: Duration, members: &[Member]) -> Vec<HeardPeer> {
        let named = members.iter().map(|member| member.id);
        let others = self.known.keys().copied().filter(|id| members.iter().all(|member| member.id != *id));
        let heard = named.chain(others).filter(|id| self.hears(now, *id));
        let sent_ms = |id: &MemberId| self.known.get(id).map_or(0, |peer| peer.heartbeat.sent_ms);
        heard.map(|id| HeardPeer { id, sent_ms: sent_ms(&id) }).collect()
    }

    /// Removes members outside the view whose heartbeats have stopped.
    pub(crate) fn remove_departed(&mut self, now: Duration, members: &[Member]) {
        self.known.retain(|id, peer| {
            now < peer.heard_at + RETENTION || members.iter().any(|member| member.id == *id)
        });
    }
}

/// Updates the members that the sender of a heartbeat does not hear, and since when.
fn updated_unheard_since(
    mut unheard_since: BTreeMap<MemberId, Duration>,
    now: Duration,
    heartbeat: &Heartbeat,
    members: &[Member],
) -> BTreeMap<MemberId, Duration> {
    unheard_since.retain(|id, _| members.iter().any(|member| member.id == *id));
    for member in members.iter().filter(|member| member.id != heartbeat.member.id) {
        if heartbeat.heard.iter().any(|heard| heard.id == member.id) {
            unheard_since.remove(&member.id);
        } else {
            unheard_since.entry(member.id).or_insert(now);
        }
    }
    unheard_since
}
