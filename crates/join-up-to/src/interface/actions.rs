//! The actions that a [`Balancer`](crate::Balancer) requests from its node.

use super::ids::{RequestId, ServerId};
use std::time::Duration;

/// An action for the node to execute, in the order in which actions are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server that it is sent to.
        server: ServerId,
        /// The attempt times out after this time.
        timeout: Duration,
    },
    /// Send the final response: the request is rejected, and a retry by the client is safe.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; `None` to give no hint.
        retry_after: Option<Duration>,
    },
    /// Send the final response: the request has failed and may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
    },
    /// Request an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The time until the event, from now.
        after: Duration,
        /// Returned in the event.
        token: u64,
    },
    /// Request a load report of a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Start or end the subscription to changes of the server list.
    Subscribe {
        /// `true` starts the subscription, `false` ends it.
        on: bool,
    },
    /// Request the full server list once.
    FetchList,
    /// Send a message to another node, or to all of them.
    Tell {
        /// The number of the receiving node; `None` for all nodes.
        to: Option<u32>,
        /// The content, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write to the operators' log.
    Log {
        /// The text of the entry.
        text: String,
    },
}
