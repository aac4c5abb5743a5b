//! The list of backends from discovery: parses it, and remembers the last valid entry of each backend.

use crate::endpoint_update::{EndpointUpdate, ListVersion, ListedEndpoint};
use http_transport::rate_limited_log::RateLimitedLog;
use join_up_to::{ListKind, ServerEntry, ServerId, ServerState};
use quick_error::quick_error;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, TryFromFloatSecsError};

/// The number that discovery has given a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub struct Generation(u32);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The last valid entry of each backend. An invalid entry in a later list leaves its backend unchanged.
pub struct EndpointRegistry {
    zones: Vec<String>,
    kinds: Vec<String>,
    endpoints: HashMap<ServerId, KnownEndpoint>,
    /// The highest generation so far.
    generation: Generation,
    /// Added to a generation to get the version that the node uses, so that versions never decrease.
    version_offset: u32,
    version: ListVersion,
    error_log: RateLimitedLog,
}

struct KnownEndpoint {
    instance_id: String,
    listed: ListedEndpoint,
}

/// Whether the generations of a list can be compared with those of earlier lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The list is from the discovery that sent the earlier lists.
    SameDiscovery,
    /// The list is the first one from another discovery, and counts as the newest whatever its generation.
    NewDiscovery,
}

quick_error! {
    /// Why a list is invalid.
    #[derive(Debug)]
    pub enum ListError {
        /// The text is not JSON.
        Json(error: serde_json::Error) {
            display("{error}")
            from()
            source(error)
        }
        /// A field is missing or malformed.
        InvalidField(error: serde_path_to_error::Error<serde_json::Error>) {
            display("{error}")
            from()
            source(error)
        }
    }
}

quick_error! {
    /// Why an entry of a list is invalid.
    #[derive(Debug)]
    enum EntryError {
        /// A field is missing or malformed.
        InvalidField(error: serde_path_to_error::Error<serde_json::Error>) {
            display("{error}")
            from()
            source(error)
        }
        /// The hash of the instance id, which the node uses as the id, equals that of another instance.
        IdCollision(instance_id: String, known: String) {
            display("instanceId: {instance_id:?} has the same hash as {known:?}")
        }
        /// The zone is not in the settings.
        UnknownZone(zone: String) { display("zone: {zone:?} is not in Localities of the settings") }
        /// The start time of the process is invalid.
        InvalidStart(error: TryFromFloatSecsError) {
            display("startedAtMs: {error}")
            from()
            source(error)
        }
    }
}

/// A list as sent by discovery. The name of the type is part of error texts that operators see.
#[derive(Deserialize)]
struct RawList {
    generation: Generation,
    #[serde(default)]
    reset: bool,
    instances: Vec<serde_json::Value>,
}

/// An entry of a list as sent by discovery. The name of the type is part of error texts that operators see.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEntry {
    instance_id: String,
    host_port: SocketAddr,
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: Lifecycle,
    #[serde(default = "default_weight")]
    weight: f32,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Lifecycle {
    InService,
    Terminating,
    Terminated,
}

fn default_weight() -> f32 {
    1.0
}

/// Whether a text is a list. The entries are not checked.
pub fn is_list(text: &[u8]) -> bool {
    serde_json::from_slice::<RawList>(text).is_ok()
}

impl EndpointRegistry {
    /// An empty registry. `zones` and `kinds` are the names in the settings.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        EndpointRegistry {
            zones,
            kinds,
            endpoints: HashMap::new(),
            generation: Generation::default(),
            version_offset: 0,
            version: ListVersion::default(),
            error_log: RateLimitedLog::default(),
        }
    }

    /// The highest generation of the lists so far, 0 before the first one.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The highest version of the lists so far, as numbered by the node.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// The log for warnings about invalid lists and entries.
    pub fn error_log(&self) -> &RateLimitedLog {
        &self.error_log
    }

    /// Replaces the names of zones and kinds. Returns whether they have changed; the complete list must then
    /// be requested.
    pub fn rename(&mut self, zones: &[String], kinds: &[String]) -> bool {
        let is_same = self.zones == zones && self.kinds == kinds;
        (self.zones, self.kinds) = (zones.to_vec(), kinds.to_vec());
        !is_same
    }

    /// Applies the text of a list.
    ///
    /// # Errors
    /// The text is not JSON, or those of [`Self::apply_list`]. Nothing is changed then.
    pub fn apply_text(&mut self, text: &[u8], source: ListSource) -> Result<EndpointUpdate, ListError> {
        self.apply_list(serde_json::from_slice(text)?, source)
    }

    /// Applies a list. An invalid entry is logged and leaves its backend unchanged: if the list is complete,
    /// the backend stays listed.
    ///
    /// # Errors
    /// The list itself is malformed, not only an entry. Nothing is changed then.
    pub fn apply_list(
        &mut self,
        list: serde_json::Value,
        source: ListSource,
    ) -> Result<EndpointUpdate, ListError> {
        let list: RawList = serde_path_to_error::deserialize(list)?;
        let mut endpoints = Vec::with_capacity(list.instances.len());
        for raw in list.instances {
            let id = raw.get("instanceId").and_then(|id| id.as_str()).map(ServerId::named);
            match self.apply_entry(raw) {
                Ok(listed) => endpoints.push(listed),
                Err(error) => {
                    self.error_log.warn(|| {
                        format!("discovery: generation {}: entry skipped: {error}", list.generation)
                    });
                    let known = id.filter(|_| list.reset).and_then(|id| self.endpoints.get(&id));
                    endpoints.extend(known.map(|known| known.listed));
                }
            }
        }
        if list.reset {
            let listed: Vec<_> = endpoints.iter().map(|listed| listed.entry.id).collect();
            self.endpoints.retain(|id, _| listed.contains(id));
        }
        let version = self.advance_version(list.generation, source);
        let kind = if list.reset { ListKind::Full } else { ListKind::Changes };
        Ok(EndpointUpdate { kind, version, endpoints })
    }

    /// Determines the version of a list with this generation.
    fn advance_version(&mut self, generation: Generation, source: ListSource) -> ListVersion {
        if source == ListSource::NewDiscovery {
            self.version_offset = self.version.0.saturating_sub(generation.0);
            self.generation = generation;
        }
        let version = ListVersion(generation.0.saturating_add(self.version_offset));
        self.generation = self.generation.max(generation);
        self.version = self.version.max(version);
        version
    }

    fn apply_entry(&mut self, raw: serde_json::Value) -> Result<ListedEndpoint, EntryError> {
        let raw: RawEntry = serde_path_to_error::deserialize(raw)?;
        let id = ServerId::named(&raw.instance_id);
        if let Some(known) = self.endpoints.get(&id).filter(|known| known.instance_id != raw.instance_id) {
            return Err(EntryError::IdCollision(raw.instance_id, known.instance_id.clone()));
        }
        let zone = self.zones.iter().position(|zone| *zone == raw.zone);
        let zone = zone.and_then(|zone| u8::try_from(zone).ok());
        let kind = self.kinds.iter().position(|kind| *kind == raw.machine_type).unwrap_or(usize::MAX);
        let started = Duration::try_from_secs_f64(raw.started_at_ms / 1000.0)?;
        let entry = ServerEntry {
            id,
            zone: zone.ok_or(EntryError::UnknownZone(raw.zone))?,
            kind: u8::try_from(kind).unwrap_or(u8::MAX),
            cell: raw.cell,
            state: match raw.lifecycle {
                Lifecycle::InService => ServerState::Ready,
                Lifecycle::Terminating => ServerState::Draining,
                Lifecycle::Terminated => ServerState::Gone,
            },
            weight: raw.weight,
            // The balancer's clock is Unix time (see `decision_loop::clock`).
            started: (!started.is_zero()).then_some(started),
        };
        let listed = ListedEndpoint { entry, address: raw.host_port };
        if entry.state == ServerState::Gone {
            self.endpoints.remove(&id);
        } else {
            self.endpoints.insert(id, KnownEndpoint { instance_id: raw.instance_id, listed });
        }
        Ok(listed)
    }
}

#[cfg(test)]
mod tests;
