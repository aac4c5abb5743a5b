//! The balancer's requests for the list of backends, where one discovery service serves all nodes and gets a
//! request only when a node needs the list.

use std::cell::Cell;
use tokio::sync::Notify;

/// Whether the balancer has requested the list.
#[derive(Default)]
pub struct ListRequests {
    is_requested: Cell<bool>,
    changed: Notify,
}

impl ListRequests {
    /// Requests the list.
    pub fn request(&self) {
        self.is_requested.set(true);
        self.changed.notify_one();
    }

    /// Waits for the next request. Requests made before the call count as served by the list that was
    /// received last.
    pub async fn wait_for_request(&self) {
        self.is_requested.set(false);
        while !self.is_requested.get() {
            self.changed.notified().await;
        }
    }
}
