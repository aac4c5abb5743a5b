//! The server list: updates, and requests for it if it is not pushed.

use super::{Balancer, HOUSEKEEPING_TOKEN};
use crate::interface::*;
use crate::state::{Server, TokenBucket};
use std::time::Duration;

impl Balancer {
    /// Handles an update of the list, or the failure of a request for it.
    pub(super) fn on_list(
        &mut self,
        kind: ListKind,
        version: u32,
        entries: Vec<ServerEntry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            return self.retry_list_request(actions);
        }
        if kind != ListKind::Cached {
            (self.list_request_at, self.list_backoff) = (None, Duration::ZERO);
        }
        if version < self.list_version {
            return; // An older list would restore servers that have been removed.
        }
        self.list_version = version;
        if kind != ListKind::Changes {
            self.fleet.mark_all_gone();
        }
        for entry in entries {
            self.update_server(entry);
        }
        if kind != ListKind::Changes {
            self.fleet.remove_gone();
        }
        self.slow_start_check_at = self.now;
    }

    /// Adds or updates a server. After a restart it keeps only what does not depend on its process.
    fn update_server(&mut self, entry: ServerEntry) {
        let mut server = self.fleet.remove(entry.id).unwrap_or_default();
        if server.entry.id != entry.id || server.entry.started != entry.started {
            // Slow start begins with a random fraction of a request, so that not all nodes send one at once.
            let slow_start_credit = TokenBucket::new(self.fleet.random(), self.now);
            let Server { in_flight, capacity, rank, .. } = server;
            server = Server { in_flight, capacity, rank, slow_start_credit, ..Server::default() };
        }
        let mut server = Server { entry, ..server };
        self.weights.apply(&mut server);
        self.fleet.insert(server);
    }

    /// Schedules another request for the list after a failed one, with exponential backoff and jitter.
    fn retry_list_request(&mut self, actions: &mut Vec<Action>) {
        let interval = self.settings.rules.list_request_interval;
        self.list_backoff = (2 * self.list_backoff).clamp(interval / 16, interval / 2);
        let wait = self.list_backoff.mul_f64(0.5 + self.fleet.random() / 2.0);
        self.request_list_after(wait, actions);
    }

    /// Requests the list if that is due, and schedules the next request in case there is no response.
    pub(super) fn request_list_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.list_request_at.is_some_and(|at| self.now >= at) {
            actions.push(Action::Subscribe { on: true });
            self.request_list_after(self.settings.rules.list_request_interval / 2, actions);
        }
    }

    /// Schedules the next request for the list.
    pub(super) fn request_list_after(&mut self, wait: Duration, actions: &mut Vec<Action>) {
        self.list_request_at = Some(self.now + wait);
        actions.push(Action::SetTimer { after: wait, token: HOUSEKEEPING_TOKEN });
    }
}
