//! The operator's file on disk: only a regular file is read, and no more of it than is ever accepted.

use route_config::diagnostic::{Code, Diagnostic};
use route_config::{InvalidFile, LoadedFile, MAX_FILE_SIZE};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// A valid file, with its text.
pub struct Source {
    /// The text.
    pub text: String,
    /// What it means.
    pub loaded: LoadedFile,
}

/// A file that was rejected, with as much of its text as there is to show.
pub struct InvalidSource {
    /// The text; empty if it could not be read.
    pub text: String,
    /// The faults.
    pub error: InvalidFile,
}

impl InvalidSource {
    fn unreadable(code: Code, message: String, help: &str) -> Self {
        let faults = vec![Diagnostic::new(code, 0..0, message, help)];
        InvalidSource { text: String::new(), error: InvalidFile { diagnostics: faults, omitted: 0 } }
    }
}

/// Reads and checks a file. A pipe or a device could block the node, so it is not even opened.
///
/// # Errors
/// The file can't be read, or its content is invalid.
pub fn load(path: &Path) -> Result<Source, InvalidSource> {
    let failed = |e: io::Error| {
        let help = "name a file that this user may read";
        InvalidSource::unreadable(Code::UnreadableFile, format!("{}: {e}", path.display()), help)
    };
    let metadata = std::fs::metadata(path).map_err(failed)?;
    if !metadata.is_file() {
        let kind = if metadata.is_dir() { "a folder" } else { "no ordinary file" };
        let message = format!("{} is {kind}", path.display());
        return Err(InvalidSource::unreadable(Code::UnreadableFile, message, "name an ordinary file"));
    }
    let mut bytes = Vec::new();
    // One byte more than is accepted shows that there is more; the file may grow while it is read.
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
