//! Serialization of a list of backends as a table: strings that many backends share (service, zone,
//! generation) are stored once, and each backend is a row of values without field names. A row takes about 35
//! bytes; a map with named fields took about 150.

use crate::backend::{Backend, BackendState};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The serialized form of a list of backends.
#[derive(Serialize, Deserialize)]
struct Table {
    /// The distinct strings, which rows refer to by index.
    #[serde(rename = "texts")]
    strings: Vec<String>,
    rows: Vec<Row>,
}

/// A backend, serialized as an array of its values in this order.
#[derive(Serialize, Deserialize)]
struct Row(
    /// The backend's instance id.
    String,
    /// The indices of the service, the zone and the generation in the string table.
    [u32; 3],
    /// The backend's IPv4 address as a number.
    u32,
    /// The port of the backend's address.
    u16,
    /// The number of requests that the backend processes concurrently.
    u32,
    /// Whether the backend is draining.
    bool,
    /// The time until the backend has warmed up, in milliseconds.
    u64,
);

/// Distinct strings in the order of their first use.
#[derive(Default)]
struct StringTable<'b> {
    strings: Vec<String>,
    indices: HashMap<&'b str, u32>,
}

impl<'b> StringTable<'b> {
    /// Returns the index of a string, after adding the string if it is new.
    fn intern(&mut self, string: &'b str) -> u32 {
        let next = self.strings.len() as u32;
        let index = *self.indices.entry(string).or_insert(next);
        if index == next {
            self.strings.push(string.to_owned());
        }
        index
    }
}

/// Serializes backends as a table.
///
/// # Errors
///
/// Errors of the serializer.
pub fn serialize<S: Serializer>(backends: &[Backend], serializer: S) -> Result<S::Ok, S::Error> {
    let mut strings = StringTable::default();
    let rows = backends.iter().map(|backend| row(&mut strings, backend)).collect();
    Table { strings: strings.strings, rows }.serialize(serializer)
}

fn row<'b>(strings: &mut StringTable<'b>, backend: &'b Backend) -> Row {
    let shared = [&backend.service, &backend.zone, &backend.generation].map(|string| strings.intern(string));
    Row(
        backend.instance_id.clone(),
        shared,
        u32::from(*backend.address.ip()),
        backend.address.port(),
        backend.slots,
        backend.state == BackendState::Draining,
        backend.cold_remaining_ms,
    )
}

/// Deserializes a table of backends.
///
/// # Errors
///
/// Errors of the deserializer, and a row with a string index that is out of range.
pub fn deserialize<'d, D: Deserializer<'d>>(deserializer: D) -> Result<Vec<Backend>, D::Error> {
    let Table { strings, rows } = Table::deserialize(deserializer)?;
    let backends = rows.into_iter().map(|row| backend(&strings, row));
    let backends: Option<Vec<Backend>> = backends.collect();
    backends.ok_or_else(|| D::Error::custom("row with a string index out of range in a table of backends"))
}

/// The backend of a row; `None` if a string index is out of range.
fn backend(strings: &[String], row: Row) -> Option<Backend> {
    let Row(instance_id, [service, zone, generation], ip, port, slots, draining, cold_remaining_ms) = row;
    let string = |index: u32| strings.get(index as usize).cloned();
    Some(Backend {
        instance_id,
        service: string(service)?,
        address: SocketAddrV4::new(Ipv4Addr::from(ip), port),
        zone: string(zone)?,
        generation: string(generation)?,
        slots,
        state: if draining { BackendState::Draining } else { BackendState::Ready },
        cold_remaining_ms,
    })
}
