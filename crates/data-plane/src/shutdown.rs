//! The signals that stop the process or make it check its settings.

use role_runtime::signals::{SignalRequest, Signals};

/// Completes when the process is asked to shut down. On SIGHUP the settings are only checked, since the data
/// plane uses none that may change while it runs.
pub async fn requested(mut signals: Signals) {
    while signals.next().await == SignalRequest::Reload {
        check_settings();
    }
}

fn check_settings() {
    match node_settings::Settings::from_environment() {
        Ok(_) => log::info!("settings: valid; changes take effect at the next start"),
        Err(error) => log::warn!("settings: invalid: {error}"),
    }
}
