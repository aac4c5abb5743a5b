//! Learning of decided views, and entering them.

use crate::identifiers::MemberId;
use crate::interface::Output;
use crate::message::{Message, MessageBody};
use crate::model::View;
use crate::paxos::ATTEMPT_TIMEOUT;
use crate::record::RecordBody;
use crate::replica::Replica;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The number of earlier views that are sent with the one in force. A member that was away learns from them
/// whether it was in their chains.
const EARLIER_VIEWS: usize = 6;

/// The minimum interval between two requests for the view.
const VIEW_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

impl Replica {
    /// Sends the known views to a sender that is behind, and requests them from a sender that is ahead.
    pub(crate) fn compare_views(&mut self, from: SocketAddrV4, message: &Message) {
        let own = self.view_number();
        if message.sender == self.id || matches!(message.body, MessageBody::Decided(_)) {
            return;
        }
        if message.view < own {
            self.send_to(from, MessageBody::Decided(self.known_views()));
            return;
        }
        let is_due = self.view_requested_at.is_none_or(|last| self.now >= last + VIEW_REQUEST_INTERVAL);
        if message.view > own && is_due {
            self.view_requested_at = Some(self.now);
            let heartbeat = self.own_heartbeat();
            self.send_to(from, MessageBody::Heartbeat(Box::new(heartbeat)));
        }
    }

    /// The views that this member knows, the oldest first and the one in force last.
    pub(crate) fn known_views(&self) -> Vec<View> {
        self.earlier_views.iter().chain(&self.view).cloned().collect()
    }

    /// The known views, followed by a newly decided one.
    pub(crate) fn known_views_up_to(&self, decided: &View) -> Vec<View> {
        let mut views = self.known_views();
        views.push(decided.clone());
        views
    }

    /// Adopts decided views, the oldest first. The last one comes into force if it is newer than the one
    /// known here. The earlier ones are recorded: if this member is in all their chains, it has everything
    /// that was committed in them although it never acted in them, because nothing is committed in a view
    /// before its whole chain is synced.
    pub(crate) fn adopt_all(&mut self, mut views: Vec<View>) {
        let Some(last) = views.pop() else { return };
        if last.number <= self.view_number() {
            return;
        }
        for skipped in views.into_iter().filter(|view| view.number < last.number) {
            self.skip_view(skipped);
        }
        self.adopt(last);
    }

    /// Records a decided view that has already been superseded.
    fn skip_view(&mut self, view: View) {
        if view.number != self.view_number().next() {
            return;
        }
        self.record_view(&view);
        let action = self.advance_durable_action();
        self.store(RecordBody::View(view), action);
    }

    /// Records a view as the newest one, without the steps of entering it.
    pub(crate) fn record_view(&mut self, view: &View) {
        if let Some(since) = view.idle_since {
            self.progress.skip_idle(since, view.number);
        }
        if view.chain.contains(&self.id) {
            self.progress.enter(view.number);
        }
        self.earlier_views.extend(self.view.replace(view.clone()));
        while self.earlier_views.len() > EARLIER_VIEWS {
            self.earlier_views.pop_front();
        }
    }

    /// Enters a decided view if it is newer than the one known here.
    pub(crate) fn adopt(&mut self, view: View) {
        if view.number <= self.view_number() {
            return;
        }
        log::info!("replication: entering view {} with chain {:x?}", view.number, view.chain);
        let is_head = view.chain.first() == Some(&self.id);
        self.record_view(&view);
        self.acceptor = Default::default();
        self.attempt = None;
        self.attempt_timeout = ATTEMPT_TIMEOUT;
        self.view_desired_since = None;
        self.leaderless_since = None;
        self.write_queue.clear();
        self.read_index.clear();
        self.chain.enter_view();
        self.pending_requests.mark_all_due();
        let action = self.advance_durable_action();
        self.store(RecordBody::View(view.clone()), action);
        if is_head {
            self.become_head();
        }
        self.outputs.push(Output::ViewChanged(view));
        self.send_due_requests();
    }

    /// Whether this member may exit without data loss: it is outside the chain, and the head reports that the
    /// whole chain has the committed state.
    pub fn has_handed_over(&self) -> bool {
        let Some(view) = self.view.as_ref().filter(|_| self.chain_position().is_none()) else { return false };
        let reports_active = |id: &MemberId| {
            let peer = self.peers.get(*id).filter(|_| self.peers.hears(self.now, *id));
            peer.is_some_and(|peer| peer.view == view.number && peer.heartbeat.active)
        };
        view.chain.first().is_some_and(reports_active) || has_fault!(self, ShutsDownTooEarly)
    }
}
