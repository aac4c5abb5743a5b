//! Errors from loading a settings file. Operators see their texts.

use crate::settings::PATH_VARIABLE;
use quick_error::quick_error;
use std::fmt::{self, Display, Formatter};
use std::path::PathBuf;

/// The first error in a settings file. An error of the parser is kept as a single line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings {
    /// The path of the invalid value in the file, such as `limits.cores`; `.` for the complete file.
    pub location: String,
    /// A text for operators that says why the value is invalid.
    pub reason: String,
}

impl Display for InvalidSettings {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.location, self.reason)
    }
}

impl std::error::Error for InvalidSettings {}

quick_error! {
    /// Why a settings file was not loaded.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The environment variable with the path of the file is not set.
        PathNotSet { display("{PATH_VARIABLE} is not set") }
        /// The file could not be read, or is not UTF-8.
        Unreadable(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The file is not valid YAML, or a value in it is missing or invalid.
        Invalid(path: PathBuf, error: InvalidSettings) {
            display("{}: {error}", path.display())
            source(error)
        }
    }
}
