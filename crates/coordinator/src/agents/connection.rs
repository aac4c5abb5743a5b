//! An agent's connection: its identity, its state and the sending of messages on it.

use bytes::Bytes;
use control_link::FrameWriter;
use control_protocol::ToAgent;
use replication::Sequence;
use std::time::Duration;

/// Identifies an agent's connection within this process. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentConnectionId(u64);

impl AgentConnectionId {
    /// Makes an id of a number that no other connection of this process has had.
    pub const fn new(number: u64) -> Self {
        AgentConnectionId(number)
    }

    /// Returns the number of the connection.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// What the first frame of a connection says about its agent.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// The name of the agent's node.
    pub node: String,
    /// The zone of the agent's machine.
    pub zone: String,
}

/// An agent's open connection, and what its messages have told so far.
pub struct AgentConnection {
    pub identity: AgentIdentity,
    /// The sequence of the configuration that the agent's proxy has applied; 0 if none.
    pub applied_sequence: Sequence,
    pub last_sent: Duration,
    pub last_received: Duration,
    outgoing: FrameWriter,
}

impl AgentConnection {
    pub fn new(identity: AgentIdentity, outgoing: FrameWriter, now: Duration) -> Self {
        AgentConnection {
            identity,
            applied_sequence: Sequence::NONE,
            last_sent: now,
            last_received: now,
            outgoing,
        }
    }

    pub fn send(&self, message: &ToAgent) {
        self.send_frame(encode_frame(message));
    }

    pub fn send_frame(&self, frame: Bytes) {
        if let Err(error) = self.outgoing.send_frame(frame) {
            log::debug!("agent of {}: frame not sent: {error}", self.identity.node);
        }
    }

    pub fn close(&self) {
        self.outgoing.close();
    }
}

/// Encodes a message. This can fail only for a configuration that exceeds the largest frame, and the
/// operator's API does not accept one that large. After a failure, which is logged, the frame is empty.
pub fn encode_frame(message: &ToAgent) -> Bytes {
    match control_protocol::encode(message) {
        Ok(frame) => frame.into(),
        Err(error) => {
            log::error!("message to agents not encoded: {error}");
            Bytes::new()
        }
    }
}
