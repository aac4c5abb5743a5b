//! Agents' requests for the newest configuration. Each is answered only with a configuration that a majority
//! has confirmed to be the newest after the request arrived (a read index, as in section 6.4 of Ongaro's
//! dissertation on Raft). No I/O, no clock.

use super::connection::AgentConnectionId;
use replication::Sequence;
use std::collections::BTreeMap;

/// Identifies a request on its connection, with a number that the agent chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigurationRequestId(u64);

impl ConfigurationRequestId {
    /// Wraps the number that the agent has sent with its request.
    pub const fn new(number: u64) -> Self {
        ConfigurationRequestId(number)
    }

    /// The number that the agent chose.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// An agent's request for a configuration that has no response yet.
#[derive(Clone, Copy, Debug)]
struct ConfigurationRequest {
    id: ConfigurationRequestId,
    /// The agent knows that this sequence exists, and accepts no older one.
    min_sequence: Sequence,
    /// Only read indexes with this ticket or a later one were started after the request arrived.
    min_ticket: ReadIndexTicket,
    /// The sequence that was confirmed to be the newest after the request arrived; `None` until then.
    read_index: Option<Sequence>,
}

impl ConfigurationRequest {
    /// Whether the configuration with this sequence answers the request: none newer was committed when it
    /// arrived.
    fn is_answered_by(&self, sequence: Sequence) -> bool {
        self.read_index.is_some_and(|read_index| sequence >= read_index.max(self.min_sequence))
    }
}

/// Identifies a read index that was started, and with it the requests that had arrived by then: it is valid
/// for these alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadIndexTicket(u64);

/// A request that may be answered now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerableRequest {
    /// The connection on which the request arrived.
    pub connection: AgentConnectionId,
    /// The request's id on that connection.
    pub id: ConfigurationRequestId,
}

/// The pending requests, at most one per connection.
#[derive(Clone, Debug, Default)]
pub struct PendingConfigurationRequests {
    waiting: BTreeMap<AgentConnectionId, ConfigurationRequest>,
    /// The ticket of the next read index.
    next_ticket: ReadIndexTicket,
}

impl PendingConfigurationRequests {
    /// Adds a request for the newest configuration, which has to have at least this sequence. Replaces the
    /// connection's earlier request, if any.
    pub fn add(&mut self, connection: AgentConnectionId, min_sequence: Sequence, id: ConfigurationRequestId) {
        let min_ticket = self.next_ticket;
        let request = ConfigurationRequest { id, min_sequence, min_ticket, read_index: None };
        self.waiting.insert(connection, request);
    }

    /// Starts a read index for all requests that have arrived so far. `None` if no request needs one.
    pub fn begin_read_index(&mut self) -> Option<ReadIndexTicket> {
        if self.waiting.values().all(|request| request.read_index.is_some()) {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket = ReadIndexTicket(ticket.0 + 1);
        Some(ticket)
    }

    /// Applies a confirmed read index: this sequence was the newest at some moment after the ticket was
    /// issued.
    pub fn complete_read_index(&mut self, ticket: ReadIndexTicket, sequence: Sequence) {
        let unconfirmed = self.waiting.values_mut().filter(|request| request.read_index.is_none());
        for request in unconfirmed.filter(|request| request.min_ticket <= ticket) {
            request.read_index = Some(sequence);
        }
    }

    /// Removes and returns the requests that the configuration with this sequence answers.
    pub fn take_answerable(&mut self, sequence: Sequence) -> Vec<AnswerableRequest> {
        let answered = self.waiting.iter().filter(|(_, request)| request.is_answered_by(sequence));
        let answered: Vec<AnswerableRequest> = answered
            .map(|(connection, request)| AnswerableRequest { connection: *connection, id: request.id })
            .collect();
        for request in &answered {
            self.waiting.remove(&request.connection);
        }
        answered
    }

    /// Removes the request of a connection that has ended.
    pub fn remove(&mut self, connection: AgentConnectionId) {
        self.waiting.remove(&connection);
    }
}
