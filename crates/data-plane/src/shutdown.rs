//! The signals that stop the process or make it check its settings.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// A future that completes when the process receives SIGTERM or SIGINT. On SIGHUP the settings are only
/// checked, since the data plane uses none that may change while it runs.
///
/// # Errors
/// A signal handler could not be installed.
pub fn signals() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = interrupt.recv() => return,
                _ = hang_up.recv() => check_settings(),
            }
        }
    })
}

fn check_settings() {
    match node_settings::Settings::from_environment() {
        Ok(_) => log::info!("settings: valid; changes take effect at the next start"),
        Err(error) => log::warn!("settings: invalid: {error}"),
    }
}
