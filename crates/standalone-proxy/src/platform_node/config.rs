//! The configuration with which the node is started: the file, and the environment variables that name it or
//! override it.

use crate::endpoint_update::EndpointUpdate;
use crate::platform_node::endpoint_registry::{EndpointRegistry, ListError, ListSource};
use crate::platform_node::settings::{self, InvalidSetting, NodeSettings};
use join_up_to::ListKind;
use join_up_to::settings::SettingsError;
use quick_error::quick_error;
use serde::Deserialize;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::PathBuf;

/// The minimum number of descriptors that a node needs.
const MIN_SOCKETS: usize = 64;

/// The configuration of a node, checked.
pub struct Config {
    /// The name of the node in the log.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery, from which the list of backends comes.
    pub discovery: SocketAddr,
    /// The seed for the random numbers of the balancer.
    pub seed: u64,
    /// The number of file descriptors that the process may use.
    pub sockets: usize,
    /// The memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The address of the console for operators; `None` if there is no console.
    pub console: Option<SocketAddr>,
    pub(super) settings: NodeSettings,
    /// A folder that outlives the process, for the socket of the handover to its successor; `None` if there
    /// is no handover.
    pub handover_folder: Option<PathBuf>,
    /// The settings as written in the file.
    pub(super) settings_source: serde_json::Value,
    /// The backends that are known so far.
    pub(super) registry: EndpointRegistry,
    /// The list of backends in the file, if there is one.
    pub(super) initial_list: Option<EndpointUpdate>,
}

quick_error! {
    /// Why the node cannot start. The text is one line that names the file or variable, and the field.
    #[derive(Debug)]
    pub enum ConfigError {
        /// `ROUTER_CONFIG` is not set.
        FileNotSet {
            display("ROUTER_CONFIG: not set; it names the configuration of the platform's node. To see the node at work, \
                     run `marlwinch demo`; to run one from an operator's file, `marlwinch run FILE`; all else is in \
                     `marlwinch --help`")
        }
        /// An environment variable holds an invalid address.
        InvalidVariable(name: &'static str, error: AddrParseError) {
            display("{name}: {error}")
            source(error)
        }
        /// The file cannot be read.
        Unreadable(path: String, error: io::Error) {
            display("{path}: {error}")
            source(error)
        }
        /// The content of the file is invalid.
        InvalidContent(path: String, error: ContentError) {
            display("{path}: {}", error.to_string().replace('\n', " "))
            source(error)
        }
    }
}

quick_error! {
    /// Why the text of a configuration is invalid. The text names the field.
    #[derive(Debug)]
    pub enum ContentError {
        /// A field is missing or malformed.
        InvalidField(error: serde_path_to_error::Error<serde_json::Error>) {
            display("{error}")
            from()
            source(error)
        }
        /// There is more text after the JSON value.
        TrailingText(error: serde_json::Error) {
            display("{error}")
            source(error)
        }
        /// The seed is not a hexadecimal number of at most 64 bits.
        InvalidSeed(error: ParseIntError) {
            display("seed: {error}")
            source(error)
        }
        /// The settings cannot be parsed.
        InvalidSettings(error: SettingsError) {
            display("settings: {error}")
            source(error)
        }
        /// A setting has an invalid value.
        InvalidSetting(error: InvalidSetting) {
            display("settings.{error}")
            from()
            source(error)
        }
        /// A setting is missing that the previous configuration had.
        MissingSetting(key: String) { display("settings.{key}: missing") }
        /// A class has no name.
        UnnamedClass { display("settings.Classes: a class without a Name") }
        /// The limit of sockets is below the minimum.
        TooFewSockets(sockets: usize) { display("limits.sockets: {sockets} is below the minimum of {MIN_SOCKETS}") }
        /// The list of backends is invalid.
        InvalidList(error: ListError) {
            display("known: {error}")
            from()
            source(error)
        }
    }
}

/// The configuration file. The name of the type is part of error texts that operators see.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    console: Option<SocketAddr>,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// Reads the file again. Its `discovery` now takes precedence over `ROUTER_DISCOVERY`, which can't change
/// while the node runs. The address of discovery and the settings apply at once, everything else takes effect
/// at the next start. The file is checked completely. It must have all keys of the previous settings: a file
/// that lacks one was truncated or is a mistake.
///
/// # Errors
/// Those of [`load`]; a setting is missing.
pub fn reload(
    variable: impl Fn(&str) -> Option<String>,
    last_settings: &serde_json::Value,
) -> Result<Config, ConfigError> {
    let config = read(&variable)?;
    match settings::first_missing_key(last_settings, &config.settings_source) {
        None => Ok(config),
        Some(key) => {
            let path = variable("ROUTER_CONFIG").unwrap_or_default();
            Err(ConfigError::InvalidContent(path, ContentError::MissingSetting(key)))
        }
    }
}

/// Reads the file that `ROUTER_CONFIG` names. The variables `ROUTER_NAME`, `ROUTER_LISTEN`,
/// `ROUTER_DISCOVERY` and `ROUTER_CONSOLE` take precedence over the fields of the file.
///
/// # Errors
/// `ROUTER_CONFIG` is not set, the file is unreadable or invalid, or another variable is invalid.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let mut config = read(&variable)?;
    if let Some(name) = variable("ROUTER_NAME") {
        config.name = name;
    }
    let address = |name: &'static str| match variable(name).map(|text| text.parse()) {
        None => Ok(None),
        Some(Ok(address)) => Ok(Some(address)),
        Some(Err(error)) => Err(ConfigError::InvalidVariable(name, error)),
    };
    config.listen = address("ROUTER_LISTEN")?.unwrap_or(config.listen);
    config.discovery = address("ROUTER_DISCOVERY")?.unwrap_or(config.discovery);
    config.handover_folder = variable("TMPDIR").map(PathBuf::from);
    config.console = address("ROUTER_CONSOLE")?.or(config.console);
    Ok(config)
}

fn read(variable: &impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = variable("ROUTER_CONFIG").ok_or(ConfigError::FileNotSet)?;
    let text = std::fs::read(&path).map_err(|error| ConfigError::Unreadable(path.clone(), error))?;
    parse(&text).map_err(|error| ConfigError::InvalidContent(path, error))
}

/// Parses the text of a configuration.
///
/// # Errors
/// A field is missing, malformed or has an invalid value.
pub fn parse(text: &[u8]) -> Result<Config, ContentError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let file: File = serde_path_to_error::deserialize(&mut json)?;
    json.end().map_err(ContentError::TrailingText)?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(ContentError::InvalidSeed)?;
    let (balancer, host) = join_up_to::settings::parse(file.settings.to_string().as_bytes())
        .map_err(ContentError::InvalidSettings)?;
    settings::validate(&file.settings)?;
    if host.classes.iter().any(String::is_empty) {
        return Err(ContentError::UnnamedClass);
    }
    if file.limits.sockets < MIN_SOCKETS {
        return Err(ContentError::TooFewSockets(file.limits.sockets));
    }
    let mut registry = EndpointRegistry::new(host.zones.clone(), host.kinds.clone());
    let initial_list = match file.known {
        None | Some(serde_json::Value::Null) => None,
        Some(list) => {
            let update = registry.apply_list(list, ListSource::SameDiscovery)?;
            Some(EndpointUpdate { kind: ListKind::Cached, ..update })
        }
    };
    Ok(Config {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        seed,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        console: file.console,
        handover_folder: None,
        settings: NodeSettings { balancer, host },
        settings_source: file.settings,
        registry,
        initial_list,
    })
}
