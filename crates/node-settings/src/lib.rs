//! The settings file of a process: its model, its validation, and a watcher that detects changes.
//!
//! The environment variable [`PATH_VARIABLE`] holds the path of the file. Unknown fields are ignored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod fingerprint;
mod loading;
mod settings;
mod validation;
mod watcher;

pub use error::{InvalidSettings, SettingsError};
pub use fingerprint::FileFingerprint;
pub use settings::{Bounds, CloudApi, FaultTolerance, Limits, Listen, PATH_VARIABLE, Settings};
pub use watcher::SettingsWatcher;
