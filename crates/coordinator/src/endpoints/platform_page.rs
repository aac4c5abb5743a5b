//! Parsing of a page of the platform's list. Unknown fields are ignored, and invalid entries are skipped.

use control_protocol::{Backend, BackendState};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddrV4;

/// The valid entries of a page, and what was skipped.
#[derive(Debug, Default, PartialEq)]
pub struct PlatformPage {
    /// The entries of the page that could be parsed.
    pub endpoints: Vec<Backend>,
    /// The token of the next page; `None` or empty on the last page.
    pub next_page_token: Option<String>,
    /// How many invalid entries were skipped.
    pub skipped: usize,
    /// Why the first skipped entry is invalid; `None` if none was skipped.
    pub first_error: Option<String>,
}

/// A page without invalid entries, which is the usual case.
#[derive(Deserialize)]
struct ValidPage {
    instances: Vec<Entry>,
    #[serde(default)]
    next_page_token: Option<String>,
}

/// A page whose entries are parsed one by one, to skip invalid ones.
#[derive(Deserialize)]
struct UncheckedPage {
    instances: Vec<Value>,
    #[serde(default)]
    next_page_token: Option<String>,
}

#[derive(Deserialize)]
struct Entry {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    generation: Value,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    cold_remaining_ms: f64,
}

/// Parses a page. Fails if the bytes are not a page in JSON; invalid entries are no error.
pub fn parse_page(bytes: &[u8]) -> Result<PlatformPage, serde_json::Error> {
    if let Ok(page) = serde_json::from_slice::<ValidPage>(bytes) {
        let endpoints = page.instances.into_iter().map(Backend::from).collect();
        let next_page_token = page.next_page_token;
        return Ok(PlatformPage { endpoints, next_page_token, ..PlatformPage::default() });
    }
    let unchecked: UncheckedPage = serde_json::from_slice(bytes)?;
    let mut page = PlatformPage { next_page_token: unchecked.next_page_token, ..PlatformPage::default() };
    for value in unchecked.instances {
        match serde_json::from_value::<Entry>(value) {
            Ok(entry) => page.endpoints.push(Backend::from(entry)),
            Err(error) => {
                page.skipped += 1;
                page.first_error.get_or_insert_with(|| error.to_string());
            }
        }
    }
    Ok(page)
}

impl From<Entry> for Backend {
    fn from(entry: Entry) -> Self {
        // Backends in any other state, also one unknown to this program, accept no new work.
        let state = if entry.state == "ready" { BackendState::Ready } else { BackendState::Draining };
        let generation = match entry.generation {
            Value::String(text) => text,
            Value::Null => String::new(),
            other => other.to_string(),
        };
        Backend {
            instance_id: entry.instance_id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            generation,
            slots: entry.slots,
            state,
            cold_remaining_ms: entry.cold_remaining_ms.max(0.0) as u64,
        }
    }
}
