//! Agents' requests for the newest configuration, compared with a reference model that records the order in
//! which requests arrived and read indexes were started and confirmed.

use coordinator::agents::{
    AgentConnectionId, AnswerableRequest, ConfigurationRequestId, PendingConfigurationRequests,
    ReadIndexTicket,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use replication::Sequence;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A connection requests the newest configuration, with at least this sequence.
    Request(u8, Sequence),
    BeginReadIndex,
    /// The oldest read index in progress is confirmed with this sequence.
    CompleteReadIndex(Sequence),
    /// The configuration with this sequence becomes known.
    Known(Sequence),
    ConnectionEnds(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let connection = u8::arbitrary(g) % 4;
        let sequence = Sequence(u64::arbitrary(g) % 6);
        match u8::arbitrary(g) % 8 {
            0..=2 => Step::Request(connection, sequence),
            3 => Step::BeginReadIndex,
            4 | 5 => Step::CompleteReadIndex(sequence),
            6 => Step::Known(sequence),
            _ => Step::ConnectionEnds(connection),
        }
    }
}

/// The model of a request. `read_index` is the result of the first confirmed read index that was started
/// after the request arrived.
#[derive(Clone, Copy, Debug)]
struct ModelRequest {
    id: ConfigurationRequestId,
    arrival: usize,
    sequence: Sequence,
    read_index: Option<Sequence>,
}

impl ModelRequest {
    fn is_answered_by(&self, sequence: Sequence) -> bool {
        self.read_index.is_some_and(|read_index| sequence >= read_index.max(self.sequence))
    }
}

fn answerable(connection: u8, id: ConfigurationRequestId) -> AnswerableRequest {
    AnswerableRequest { connection: AgentConnectionId::new(connection.into()), id }
}

quickcheck! {
    /// A request is answered once, and only with a configuration that is not older than a read index that was
    /// started after the request arrived.
    fn only_a_read_index_started_after_the_request_answers_it(steps: Vec<Step>) -> bool {
        let mut pending = PendingConfigurationRequests::default();
        let mut model: BTreeMap<u8, ModelRequest> = BTreeMap::new();
        let mut read_indexes: Vec<(usize, ReadIndexTicket)> = Vec::new();
        let mut requests = 0;
        for (at, step) in steps.into_iter().enumerate() {
            match step {
                Step::Request(connection, sequence) => {
                    requests += 1;
                    let id = ConfigurationRequestId::new(requests);
                    pending.add(AgentConnectionId::new(connection.into()), sequence, id);
                    model.insert(connection, ModelRequest { id, arrival: at, sequence, read_index: None });
                }
                Step::BeginReadIndex => {
                    let is_needed = model.values().any(|one| one.read_index.is_none());
                    let ticket = pending.begin_read_index();
                    if ticket.is_some() != is_needed {
                        return false;
                    }
                    read_indexes.extend(ticket.map(|ticket| (at, ticket)));
                }
                Step::CompleteReadIndex(sequence) if !read_indexes.is_empty() => {
                    let (begun, ticket) = read_indexes.remove(0);
                    pending.complete_read_index(ticket, sequence);
                    let counts = |one: &&mut ModelRequest| one.read_index.is_none() && one.arrival < begun;
                    model.values_mut().filter(counts).for_each(|one| one.read_index = Some(sequence));
                }
                Step::CompleteReadIndex(_) => {}
                Step::Known(sequence) => {
                    let answered: Vec<AnswerableRequest> = model
                        .iter()
                        .filter(|(_, one)| one.is_answered_by(sequence))
                        .map(|(connection, one)| answerable(*connection, one.id))
                        .collect();
                    if pending.take_answerable(sequence) != answered {
                        return false;
                    }
                    model.retain(|_, one| !one.is_answered_by(sequence));
                }
                Step::ConnectionEnds(connection) => {
                    pending.remove(AgentConnectionId::new(connection.into()));
                    model.remove(&connection);
                }
            }
        }
        true
    }
}

#[test]
fn a_read_index_started_before_the_request_does_not_answer_it() {
    let mut pending = PendingConfigurationRequests::default();
    let (first, second) = (ConfigurationRequestId::new(1), ConfigurationRequestId::new(7));
    pending.add(AgentConnectionId::new(1), Sequence(1), first);
    let in_progress = pending.begin_read_index().expect("a request waits");
    pending.add(AgentConnectionId::new(2), Sequence(1), second);
    pending.complete_read_index(in_progress, Sequence(4));
    assert_eq!(pending.take_answerable(Sequence(4)), [answerable(1, first)]);
    let next = pending.begin_read_index().expect("the second still waits");
    pending.complete_read_index(next, Sequence(5));
    assert_eq!(pending.take_answerable(Sequence(4)), [], "older than the read index");
    assert_eq!(pending.take_answerable(Sequence(5)), [answerable(2, second)]);
    assert_eq!(pending.begin_read_index(), None);
}
