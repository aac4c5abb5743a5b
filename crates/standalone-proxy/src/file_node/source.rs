//! Reads the operator's file from disk. Only a regular file is read, and only up to the maximum size.

use route_config::diagnostic::{Code, Diagnostic};
use route_config::{InvalidFile, LoadedFile, MAX_FILE_SIZE};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// A valid file and its text.
pub struct Source {
    /// The text of the file.
    pub text: String,
    /// The parsed content.
    pub loaded: LoadedFile,
}

/// A file that was rejected, and its text as far as it could be read.
pub struct InvalidSource {
    /// The text; empty if it could not be read.
    pub text: String,
    /// Why it was rejected.
    pub error: InvalidFile,
}

impl InvalidSource {
    fn unreadable(code: Code, message: String, help: &str) -> Self {
        let faults = vec![Diagnostic::new(code, 0..0, message, help)];
        InvalidSource { text: String::new(), error: InvalidFile { diagnostics: faults, omitted: 0 } }
    }
}

/// Reads and checks a file. Other files than regular ones, such as pipes and devices, are not opened, as they
/// could block the node.
///
/// # Errors
/// The file cannot be read or is not a regular file, or its content is invalid.
pub fn load(path: &Path) -> Result<Source, InvalidSource> {
    let failed = |e: io::Error| {
        let help = "name a file that this user may read";
        InvalidSource::unreadable(Code::UnreadableFile, format!("{}: {e}", path.display()), help)
    };
    let metadata = std::fs::metadata(path).map_err(failed)?;
    if !metadata.is_file() {
        let kind = if metadata.is_dir() { "a directory" } else { "not a regular file" };
        let message = format!("{} is {kind}", path.display());
        return Err(InvalidSource::unreadable(Code::UnreadableFile, message, "name a regular file"));
    }
    let mut bytes = Vec::new();
    // Reads one byte more than the maximum to detect a larger file. Its size is not checked beforehand, as it
    // could grow.
    File::open(path)
        .and_then(|file| file.take(MAX_FILE_SIZE as u64 + 1).read_to_end(&mut bytes))
        .map_err(failed)?;
    let loaded = route_config::load(&bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match loaded {
        Ok(loaded) => Ok(Source { text, loaded }),
        Err(error) => Err(InvalidSource { text, error }),
    }
}
