//! The commands that check settings, configuration and policy files, and the command that shows the status of
//! a coordinator. Each writes its result to the given output and returns the exit code.

use super::exit::INVALID_FILE;
use super::status_client::fetch_status;
use super::status_table::format_status;
use marlwinch_roles::read_policy;
use node_settings::Settings;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;

/// Checks a settings file. Writes the first error, or the name of the node if there is none.
pub fn check_settings(path: &Path, out: &mut impl Write) -> ExitCode {
    match Settings::load(path) {
        Ok(settings) => write_lines(
            out,
            &[format!("{}: valid settings for node {}", path.display(), settings.node_name)],
            0,
        ),
        Err(error) => write_lines(out, &[error.to_string()], INVALID_FILE),
    }
}

/// Checks a configuration with the validation of the coordinators. Writes one line for each error, or the
/// generation and the numbers of routes, services and tenants if there is none.
pub fn check_configuration(path: &Path, out: &mut impl Write) -> ExitCode {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) => return write_lines(out, &[format!("{}: {error}", path.display())], INVALID_FILE),
    };
    match configuration::check(&bytes) {
        Ok(configuration) => {
            let (generation, routes) = (configuration.generation, configuration.routes.len());
            let (services, tenants) = (configuration.services.len(), configuration.tenants.len());
            let counts = format!("{routes} routes, {services} services, {tenants} tenants");
            write_lines(
                out,
                &[format!("{}: valid configuration, generation {generation}: {counts}", path.display())],
                0,
            )
        }
        Err(errors) => {
            let line = |error: &configuration::ConfigurationError| format!("{}: {error}", path.display());
            write_lines(out, &errors.iter().map(line).collect::<Vec<_>>(), INVALID_FILE)
        }
    }
}

/// Checks a policy file. Writes the first error, or that the file is valid.
pub fn check_policy(path: &Path, out: &mut impl Write) -> ExitCode {
    match read_policy(path) {
        Ok(_) => write_lines(out, &[format!("{}: valid policy", path.display())], 0),
        Err(error) => write_lines(out, &[error.to_string()], INVALID_FILE),
    }
}

/// Fetches the status of the coordinator with this control address and writes it as tables. Writes the error
/// and returns [`INVALID_FILE`] if that fails.
pub fn show_status(address: SocketAddrV4, out: &mut impl Write) -> ExitCode {
    match fetch_status(address) {
        Ok(status) => write_lines(out, &format_status(&status), 0),
        Err(error) => write_lines(out, &[error.to_string()], INVALID_FILE),
    }
}

/// Writes lines. Write errors are ignored, as a reader such as `head` may close the pipe early.
fn write_lines(out: &mut impl Write, lines: &[String], code: u8) -> ExitCode {
    for line in lines {
        let _ = writeln!(out, "{line}");
    }
    ExitCode::from(code)
}
