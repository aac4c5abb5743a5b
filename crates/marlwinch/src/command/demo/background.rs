//! The components of the demonstration that run until the process ends, each on its own thread: the signal
//! handler, the backends with discovery, and the node.

use super::error::DemoError;
use standalone_proxy::platform_node::config;
use standalone_proxy::platform_node::run as platform;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use test_servers::environment::Environment;
use test_servers::script::Script;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// How long a component may take to report that it has started.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The exit code of a process that a signal ended is this plus the signal's number, as shells report it.
const SIGNAL_EXIT_BASE: i32 = 128;

/// Runs a component on its own thread and returns the first result that it reports. The name is for error
/// messages.
fn start_thread<T: Send + 'static>(
    name: &'static str,
    run: impl FnOnce(Sender<Result<T, DemoError>>) + Send + 'static,
) -> Result<T, DemoError> {
    let (reporter, reports) = channel();
    let spawned = std::thread::Builder::new().name(name.into()).spawn(move || run(reporter));
    spawned.map_err(DemoError::Thread)?;
    reports.recv_timeout(START_TIMEOUT).map_err(|_| DemoError::StartTimeout(name, START_TIMEOUT))?
}

fn new_runtime() -> Result<tokio::runtime::Runtime, DemoError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(DemoError::Runtime)
}

/// From now on SIGINT and SIGTERM end the process and all its components. The default actions would not: a
/// shell that starts the process in the background lets it ignore SIGINT, and the node handles SIGTERM as a
/// shutdown of itself only.
pub fn end_on_signals() -> Result<(), DemoError> {
    start_thread("signals", move |reporter| {
        let wait = || -> Result<(), DemoError> {
            new_runtime()?.block_on(async {
                let failed = |name| move |error| DemoError::SignalHandler(name, error);
                let mut interrupt = signal(SignalKind::interrupt()).map_err(failed("SIGINT"))?;
                let mut terminate = signal(SignalKind::terminate()).map_err(failed("SIGTERM"))?;
                let _ = reporter.send(Ok(()));
                let received = tokio::select! {
                    _ = interrupt.recv() => SignalKind::interrupt(),
                    _ = terminate.recv() => SignalKind::terminate(),
                };
                std::process::exit(SIGNAL_EXIT_BASE + received.as_raw_value())
            })
        };
        if let Err(error) = wait() {
            let _ = reporter.send(Err(error));
        }
    })
}

/// Starts the backends and discovery on a thread of their own, which runs until the process ends.
pub fn start_backends(script: Script) -> Result<Arc<Environment>, DemoError> {
    start_thread("backends", move |reporter| {
        let result = new_runtime().and_then(|runtime| {
            let environment = runtime.block_on(Environment::start(&script)).map_err(DemoError::Backends)?;
            Ok((runtime, Arc::new(environment)))
        });
        match result {
            Ok((runtime, environment)) => {
                let _ = reporter.send(Ok(environment));
                runtime.block_on(std::future::pending())
            }
            Err(error) => drop(reporter.send(Err(error))),
        }
    })
}

/// Starts the node with a configuration in JSON, and returns the address at which it accepts clients.
pub fn start_node(configuration: String) -> Result<SocketAddr, DemoError> {
    start_thread("node", move |reporter| {
        let error_reporter = reporter.clone();
        let run = || -> Result<(), DemoError> {
            let config = config::parse(configuration.as_bytes())?;
            let listening = move |address| drop(reporter.send(Ok(address)));
            LocalSet::new().block_on(&new_runtime()?, platform::run(config, listening))?;
            Ok(())
        };
        if let Err(error) = run() {
            let _ = error_reporter.send(Err(error));
        }
    })
}
