//! The actions that a [`Balancer`](crate::Balancer) requests from its node.

use super::ids::{RequestId, ServerId};
use std::time::Duration;

/// An action for the node to execute, in the order in which actions are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; its end is reported by [`Event::AttemptEnded`](super::Event::AttemptEnded).
    Send {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The server that the attempt is sent to.
        server: ServerId,
        /// The time from now after which the node ends the attempt as timed out.
        timeout: Duration,
    },
    /// Send the final response: the request is rejected, and a retry by the client is safe.
    Refuse {
        /// The request to reject.
        id: RequestId,
        /// How long the client should wait before it retries; `None` to give no hint.
        retry_after: Option<Duration>,
    },
    /// Send the final response: the request has failed and may have been executed.
    Fail {
        /// The request that has failed.
        id: RequestId,
    },
    /// Cancel an attempt in flight; its end is reported as for any other attempt.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
    },
    /// Request an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The time until the event, from now.
        after: Duration,
        /// An opaque number that is returned in the event.
        token: u64,
    },
    /// Request a load report of a server.
    Probe {
        /// The server to probe; the result arrives as [`Event::Probed`](super::Event::Probed).
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server whose connections without a request in flight are closed.
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
        /// The content of the message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write an entry to the operators' log.
    Log {
        /// The text of the log entry.
        text: String,
    },
}
