//! The wire format of the simulator, which sends batches of events and receives one reply with actions for
//! each. Numbers are big-endian; times are in milliseconds, as `f64`.

use join_up_to::settings::{Column, millis};
use join_up_to::{
    Action, AttemptEnd, Event, ListKind, LoadReport, NewRequest, Outcome, ProbeEnd, RequestId, ServerEntry,
    ServerId, ServerState,
};
use quick_error::quick_error;
use std::io::{self, Read};
use std::time::Duration;

/// Lengths in bytes: the header of a batch, an event record, an action record, and an entry of a server list.
const BATCH_HEADER_LENGTH: usize = 20;
const EVENT_LENGTH: usize = 48;
const ACTION_LENGTH: usize = 32;
const ENTRY_LENGTH: usize = 23;

quick_error! {
    /// An error in reading a batch.
    #[derive(Debug)]
    pub enum WireError {
        /// The input failed.
        Read(error: io::Error) {
            from()
            display("cannot read a batch: {}", error)
            source(error)
        }
        /// The input ended within the header, after this number of bytes.
        ShortHeader(length: usize) {
            display("batch header: {} of {} bytes", length, BATCH_HEADER_LENGTH)
        }
        /// The time of a batch is not finite.
        InvalidClock(batch: u32) {
            display("batch {}: the clock is not a finite number", batch)
        }
        /// The input ended within the body: bytes received, and the length in the header.
        ShortBody(batch: u32, received: usize, length: usize) {
            display("batch {}: body: {} of {} bytes", batch, received, length)
        }
        /// The body is too short for the number of records in the header.
        TooManyRecords(batch: u32, count: usize, length: usize) {
            display("batch {}: {} records do not fit in {} bytes", batch, count, length)
        }
        /// A record is invalid.
        Record(batch: u32, record: usize, error: RecordError) {
            display("batch {}: record {}: {}", batch, record, error)
            source(error)
        }
    }
}

quick_error! {
    /// An error in a record of a batch.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// No event has this code.
        UnknownEvent(code: u8) {
            display("unknown event code {}", code)
        }
        /// No kind of list has this code.
        UnknownListKind(code: u8) {
            display("unknown list kind code {}", code)
        }
        /// No outcome has this code.
        UnknownOutcome(code: u8) {
            display("unknown outcome code {}", code)
        }
        /// No server state has this code.
        UnknownServerState(code: u8) {
            display("unknown server state code {}", code)
        }
        /// A load report has more than four values.
        TooManyValues(count: usize) {
            display("a load report has {} values, the maximum is 4", count)
        }
        /// A field refers to bytes past the end of the tail.
        OutsideTail(count: usize, size: usize, start: usize, tail: usize) {
            display("refers to {} x {} bytes at offset {} of a tail of {} bytes", count, size, start, tail)
        }
    }
}

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The instance starts.
    Start {
        /// The seed of the node's random number generator.
        seed: u64,
        /// The node's settings, as JSON.
        settings: Vec<u8>,
    },
    /// The instance stops.
    Stop,
    /// An event for the balancer of the instance, and its raw load report if there is one. [`load_report`]
    /// converts that, as it depends on the columns in the settings of the instance.
    Event(Event, Option<RawReport>),
}

/// The values of a load report, and the number of values that are set.
pub type RawReport = ([f32; 4], usize);

/// A batch of records.
#[derive(Debug)]
pub struct Batch {
    /// The number of the batch, which is repeated in the reply.
    pub number: u32,
    /// The simulated time of all events in the batch.
    pub clock: Duration,
    count: usize,
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input. Returns any [`WireError`] except `Record`, as records are
/// parsed by [`Batch::records`].
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::new();
    input.by_ref().take(BATCH_HEADER_LENGTH as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER_LENGTH {
        return Err(WireError::ShortHeader(header.len()));
    }
    let at = Fields(&header);
    let (number, count, length) = (at.u32(0), at.u32(4) as usize, at.u32(8) as usize);
    let clock = at.f64(12);
    if !clock.is_finite() {
        return Err(WireError::InvalidClock(number));
    }
    // The length is not trusted: with `take`, memory is allocated only for bytes that are received.
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(WireError::ShortBody(number, body.len(), length));
    }
    if count.checked_mul(EVENT_LENGTH).is_none_or(|records| records > length) {
        return Err(WireError::TooManyRecords(number, count, length));
    }
    Ok(Some(Batch { number, clock: millis(clock), count, body }))
}

impl Batch {
    /// Parses the records in order, each with the number of its instance.
    pub fn records(&self) -> impl Iterator<Item = Result<(u16, Input), WireError>> + '_ {
        let (records, tail) = self.body.split_at(self.count * EVENT_LENGTH);
        records.chunks_exact(EVENT_LENGTH).enumerate().map(move |(i, record)| {
            let at = Fields(record);
            input(at, tail)
                .map(|input| (at.u16(1), input))
                .map_err(|error| WireError::Record(self.number, i, error))
        })
    }
}

/// Parses a record. `tail` follows the records and holds their variable-length data.
fn input(at: Fields, tail: &[u8]) -> Result<Input, RecordError> {
    let id = || RequestId(at.u64(3));
    let plain = |event| Ok(Input::Event(event, None));
    match at.u8(0) {
        1 => Ok(Input::Start { seed: at.u64(3), settings: slice(tail, at, 11, 1)?.to_vec() }),
        2 => plain(Event::List {
            kind: list_kind(at.u8(3))?,
            version: at.u32(4),
            entries: entries(slice(tail, at, 8, ENTRY_LENGTH)?)?,
        }),
        3 => {
            let flags = at.u8(39);
            plain(Event::Request(NewRequest {
                id: id(),
                class: at.u16(11).into(),
                tenant: at.u16(13).into(),
                key: at.u64(15),
                remaining: millis(at.f64(23)),
                cost: (flags & 1 != 0).then(|| millis(at.f64(31))),
                client_retry: flags & 2 != 0,
            }))
        }
        4 => plain(Event::Started { id: id(), attempt: at.u8(19).into(), server: at.server(20) }),
        5 => Ok(Input::Event(
            Event::AttemptEnded(AttemptEnd {
                id: id(),
                attempt: at.u8(11).into(),
                server: at.server(12),
                outcome: outcome(at.u8(18))?,
                elapsed: millis(at.f64(19)),
                finished: at.u8(27) != 0,
                report: None,
            }),
            at.report(28)?,
        )),
        6 => plain(Event::ClientGone { id: id() }),
        7 => plain(Event::Timer { token: at.u64(3) }),
        8 => Ok(Input::Event(
            Event::Probed(ProbeEnd {
                server: at.server(3),
                outcome: outcome(at.u8(9))?,
                elapsed: millis(at.f64(10)),
                report: None,
            }),
            at.report(18)?,
        )),
        9 => plain(Event::Peer { from: at.u32(3), data: slice(tail, at, 7, 1)?.to_vec() }),
        10 => Ok(Input::Stop),
        code => Err(RecordError::UnknownEvent(code)),
    }
}

/// The part of the tail that the field at `position` refers to by an offset and a number of items of `size`
/// bytes.
fn slice<'a>(tail: &'a [u8], at: Fields, position: usize, size: usize) -> Result<&'a [u8], RecordError> {
    let (start, count) = (at.u32(position) as usize, at.u32(position + 4) as usize);
    let end = count.checked_mul(size).and_then(|length| start.checked_add(length));
    end.and_then(|end| tail.get(start..end)).ok_or(RecordError::OutsideTail(count, size, start, tail.len()))
}

fn list_kind(code: u8) -> Result<ListKind, RecordError> {
    match code {
        0 => Ok(ListKind::Changes),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        _ => Err(RecordError::UnknownListKind(code)),
    }
}

fn outcome(code: u8) -> Result<Outcome, RecordError> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(RecordError::UnknownOutcome(code)),
    }
}

fn entries(bytes: &[u8]) -> Result<Vec<ServerEntry>, RecordError> {
    bytes.chunks_exact(ENTRY_LENGTH).map(|entry| Fields(entry).entry()).collect()
}

/// Converts a raw load report, whose values are in the order of the columns in the settings.
pub fn load_report((values, count): RawReport, columns: &[Column]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(&values[..count]) {
        column.set(&mut report, *value);
    }
    report
}

/// Big-endian fields at fixed offsets of a record.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }
    fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    fn f32(self, at: usize) -> f32 {
        f32::from_be_bytes(self.bytes(at))
    }
    fn f64(self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }
    /// A server id: an IPv4 address and a port as one number.
    fn server(self, at: usize) -> ServerId {
        ServerId(u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4)))
    }
    fn report(self, at: usize) -> Result<Option<RawReport>, RecordError> {
        let count = usize::from(self.u8(at));
        if count > 4 {
            return Err(RecordError::TooManyValues(count));
        }
        let values = [0, 1, 2, 3].map(|i| self.f32(at + 1 + 4 * i));
        Ok((count > 0).then_some((values, count)))
    }
    fn entry(self) -> Result<ServerEntry, RecordError> {
        let started = self.f64(15);
        Ok(ServerEntry {
            id: self.server(0),
            zone: self.u8(6),
            kind: self.u8(7),
            cell: self.u16(8),
            state: match self.u8(10) {
                0 => ServerState::Gone,
                1 => ServerState::Draining,
                2 => ServerState::Ready,
                code => return Err(RecordError::UnknownServerState(code)),
            },
            weight: self.f32(11),
            started: (started > 0.0).then(|| millis(started)),
        })
    }
}

/// Builds the reply to one batch.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Fail { id } => self.record(65, instance).u64(id.0),
            Action::Probe { server } => self.record(66, instance).server(*server),
            Action::Log { text } => self.text(67, instance, text),
            Action::SetTimer { after, token } => self.record(68, instance).millis(*after).u64(*token),
            Action::Cancel { id, attempt } => self.record(69, instance).u64(id.0).u8(*attempt as u8),
            Action::Subscribe { on } => self.record(70, instance).u8((*on).into()),
            Action::FetchList => self.record(72, instance),
            Action::Tell { to, data } => {
                let at = self.tail.len() as u32;
                self.tail.extend(data);
                let to = to.map_or(u16::MAX, |to| to as u16);
                self.record(73, instance).u16(to).u32(at).u32(data.len() as u32)
            }
            Action::CloseIdle { server } => self.record(74, instance).server(*server),
            Action::Refuse { id, retry_after } => {
                self.record(75, instance).u64(id.0).millis(retry_after.unwrap_or_default())
            }
            Action::Send { id, server, timeout } => {
                self.record(76, instance).u64(id.0).server(*server).millis(*timeout)
            }
        };
        self.close_record();
    }

    /// Adds the panic message of an instance's balancer.
    pub fn push_fault(&mut self, instance: u16, text: &str) {
        self.text(71, instance, text);
        self.close_record();
    }

    /// The complete frame of the reply to the batch with this number.
    pub fn frame(mut self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        frame.extend(number.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    fn record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.u8(code).u16(instance)
    }
    fn close_record(&mut self) {
        self.count += 1;
        self.records.resize(self.count as usize * ACTION_LENGTH, 0);
    }
    fn text(&mut self, code: u8, instance: u16, text: &str) -> &mut Self {
        let at = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance).u32(at).u32(text.len() as u32)
    }
    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }
    fn u8(&mut self, value: u8) -> &mut Self {
        self.put(&[value])
    }
    fn u16(&mut self, value: u16) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u32(&mut self, value: u32) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u64(&mut self, value: u64) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn millis(&mut self, value: Duration) -> &mut Self {
        self.put(&(value.as_micros() as f64 / 1000.0).to_be_bytes())
    }
    fn server(&mut self, server: ServerId) -> &mut Self {
        self.u32((server.0 >> 16) as u32).u16(server.0 as u16)
    }
}
