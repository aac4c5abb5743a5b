//! Reading of a policy file.

use policy::{Policy, PolicyError};
use quick_error::quick_error;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why a policy file is rejected.
    #[derive(Debug)]
    pub enum PolicyFileError {
        /// The file can't be read. Holds its path and the system's error.
        Read(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// The text is not a valid policy. Holds the path and the first error.
        Invalid(path: PathBuf, error: PolicyError) {
            display("{}: {error}", path.display())
            source(error)
        }
    }
}

/// Reads and validates a policy file.
///
/// # Errors
///
/// The file can't be read, or is not a valid policy.
pub fn read_policy(path: &Path) -> Result<Policy, PolicyFileError> {
    let text = std::fs::read_to_string(path).map_err(|error| PolicyFileError::Read(path.into(), error))?;
    Policy::parse(&text).map_err(|error| PolicyFileError::Invalid(path.into(), error))
}
