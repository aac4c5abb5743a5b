//! Reads the log filter from `MARLWINCH_LOG`.
//!
//! Directives name Rust modules. Filters written before the code was split into packages name modules of the
//! package `marlwinch`. They are translated to the modules that hold that code now, so that existing filters
//! keep their meaning.

use tracing_subscriber::EnvFilter;

/// The environment variable. Holds a level, or directives such as `info,standalone_proxy::upstream=debug`.
const VARIABLE: &str = "MARLWINCH_LOG";

/// The filter if the variable is not set, empty or invalid.
const DEFAULT_LEVEL: &str = "info";

/// The log target of exchanges. It is not a module, and existing filters name it.
pub const EXCHANGE_TARGET: &str = "marlwinch::exchange";

/// The package that formerly contained the whole proxy.
const PACKAGE: &str = "marlwinch";

/// Former modules of the package `marlwinch` and modules renamed since, with the modules that hold their code
/// now. The first match counts.
const FORMER_MODULES: [(&str, &[&str]); 13] = [
    (
        "standalone_proxy::platform_node::run",
        &["standalone_proxy::platform_node::run", "standalone_proxy::platform_node::reload"],
    ),
    ("standalone_proxy::upstream::backends", &["standalone_proxy::upstream"]),
    ("standalone_proxy::decision_loop::gated", &["standalone_proxy::decision_loop::admission_gate"]),
    ("standalone_proxy::decision_loop::open", &["standalone_proxy::decision_loop::open_requests"]),
    ("standalone_proxy::platform_node::control", &["standalone_proxy::platform_node::console"]),
    ("marlwinch::telemetry", &["standalone_proxy::telemetry"]),
    ("marlwinch::platform", &["standalone_proxy::platform_node"]),
    ("marlwinch::clients", &["standalone_proxy::downstream", "http_transport"]),
    ("marlwinch::boxes", &["standalone_proxy::upstream", "http_transport"]),
    ("marlwinch::file", &["standalone_proxy::file_node"]),
    ("marlwinch::turn", &["standalone_proxy::decision_loop", "http_transport::process_pause"]),
    ("marlwinch::wire", &["http_transport"]),
    (PACKAGE, &["marlwinch", "standalone_proxy", "http_transport", "data_plane"]),
];

/// Returns the filter from the environment, or level `info` if it is not set or invalid.
pub fn from_environment() -> EnvFilter {
    let requested = std::env::var(VARIABLE).ok().filter(|directives| !directives.is_empty());
    let filter = requested.and_then(|directives| EnvFilter::try_new(translate(&directives)).ok());
    filter.unwrap_or_else(|| EnvFilter::new(DEFAULT_LEVEL))
}

/// Replaces former modules by the current ones in each directive.
fn translate(directives: &str) -> String {
    let translated: Vec<String> = directives.split(',').map(translate_directive).collect();
    translated.join(",")
}

fn translate_directive(directive: &str) -> String {
    let (module, level) = match directive.split_once('=') {
        Some((module, level)) => (module, Some(level)),
        None => (directive, None),
    };
    // A submodule of a former module may be in any of the current ones, so the directive is applied to all of
    // them.
    let Some((_, current)) = FORMER_MODULES.iter().find(|(former, _)| is_former(module, former)) else {
        return directive.to_owned();
    };
    let translated = current.iter().map(|module| match level {
        Some(level) => format!("{module}={level}"),
        None => (*module).to_owned(),
    });
    translated.collect::<Vec<_>>().join(",")
}

/// Whether a module is `former` or one of its submodules. For the package itself submodules do not match, as
/// those that moved have their own entries in the table.
fn is_former(module: &str, former: &str) -> bool {
    match module.strip_prefix(former) {
        Some("") => true,
        Some(below) => below.starts_with("::") && former != PACKAGE,
        None => false,
    }
}

#[cfg(test)]
mod tests;
