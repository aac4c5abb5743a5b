//! The log of a role: lines on standard output and standard error.

use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};

/// The environment variable with the level of the log: error, warn, info, debug or trace.
const LOG_VARIABLE: &str = "MARLWINCH_LOG";

/// Starts logging at the level of [`LOG_VARIABLE`], or at `info` if it is unset or invalid.
pub fn start() {
    let level = std::env::var(LOG_VARIABLE).ok().and_then(|level| level.parse().ok());
    let config = ConfigBuilder::new().set_time_level(LevelFilter::Off).build();
    // It fails only if a logger is set already, as in tests.
    let _ = SimpleLogger::init(level.unwrap_or(LevelFilter::Info), config);
}
