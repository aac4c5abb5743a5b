//! Loading of settings from the environment, from a file and from text.

use crate::error::{InvalidSettings, SettingsError};
use crate::settings::{PATH_VARIABLE, Settings};
use crate::validation;
use serde_yaml_ng::{Mapping, Value};
use std::path::Path;

/// The location of errors that concern the complete file.
const WHOLE_FILE: &str = ".";

impl Settings {
    /// Loads the file at the path that the environment variable [`PATH_VARIABLE`] holds.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::PathNotSet)?;
        Settings::load(Path::new(&path))
    }

    /// Loads, parses and validates the settings file at this path.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable(path.into(), error))?;
        Settings::parse(&text).map_err(|error| SettingsError::Invalid(path.into(), error))
    }

    /// Parses and validates the text of a file. A key without a value, or with an empty mapping, counts as
    /// absent.
    pub fn parse(text: &str) -> Result<Self, InvalidSettings> {
        let mut document: Value =
            serde_yaml_ng::from_str(text).map_err(|error| invalid_file(error.to_string()))?;
        if document.is_null() {
            return Err(invalid_file("the file is empty".to_string()));
        }
        remove_empty_values(&mut document);
        let settings: Settings = serde_path_to_error::deserialize(document).map_err(|error| {
            InvalidSettings { location: error.path().to_string(), reason: error.inner().to_string() }
        })?;
        validation::validate(&settings)?;
        Ok(settings)
    }
}

fn invalid_file(reason: String) -> InvalidSettings {
    InvalidSettings { location: WHOLE_FILE.to_string(), reason }
}

/// Removes keys without a value or with an empty mapping, at all levels: a platform may write such keys,
/// whether they are known here or not.
fn remove_empty_values(value: &mut Value) {
    if let Value::Mapping(mapping) = value {
        mapping.values_mut().for_each(remove_empty_values);
        let is_empty = |value: &Value| value.is_null() || value.as_mapping().is_some_and(Mapping::is_empty);
        mapping.retain(|_, value| !is_empty(value));
    }
}
