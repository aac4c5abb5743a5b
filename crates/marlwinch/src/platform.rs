//! The platform's node: one thread, its configuration from the platform, its list from discovery. Joins the parts and
//! answers to signals; what a part does is the part's own.

use crate::admit::Places;
use crate::backends::{Backends, Passed, Sockets};
use crate::clients::{Clients, Connections, Listeners};
use crate::config::{self, Config};
use crate::discovery;
use crate::driver::Driver;
use crate::logging;
use crate::node::{Clock, Node};
use crate::platform_front::PlatformFront;
use larchspread::Balancer;
use log::{error, info};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{LocalSet, spawn_local};

/// Descriptors for the listener, discovery, the runtime and the standard streams.
pub(crate) const KEPT_FREE: usize = 32;
/// What a client's connection holds without its request and answer: hyper's buffers for both sides and a head.
pub(crate) const KIB_A_CLIENT: usize = 48;

/// Runs the node that the platform's variables describe, until it is told to end.
pub fn main() -> ExitCode {
    logging::start();
    let config = match config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(e) => {
            error!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            error!("no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run(config, |_| {})) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            error!("{what}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until SIGTERM and all is answered. `listening` is told where clients connect.
pub async fn run(config: Config, listening: impl FnOnce(SocketAddr)) -> Result<(), String> {
    // Before anything else: a signal that nobody handles ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    // A third of the descriptors for clients, as much as they may hold: whoever holds more has others turned away
    // before they reach the node. A quarter of the memory for their connections and half for what is in hand.
    let (sockets, memory_kib) = (config.sockets - KEPT_FREE, config.memory_mb << 10);
    let most_clients = (sockets / 3).min(memory_kib / 4 / KIB_A_CLIENT).max(1);
    let host = config.host;
    let backends = Rc::new(Backends::new(
        Rc::new(Sockets::new(sockets - most_clients)),
        Passed::Ok,
        &config.settings,
        host.idle_close,
        host.columns.clone(),
    ));
    let (events, events_out) = mpsc::unbounded_channel();
    let (lists, lists_out) = mpsc::channel(4);
    let ready = Rc::new(Cell::new(false));
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    info!("{} listens on {address}: at most {most_clients} clients", config.name);
    listening(address);

    let balancer = Balancer::new(config.settings.clone(), config.seed);
    let node = Node::new(balancer, Clock::start(), backends, events.clone(), ready.clone());
    let node = spawn_local(node.run(events_out, lists_out, config.known));
    let (roster, mut discovery) = (Rc::new(RefCell::new(config.roster)), config.discovery);
    let mut watch = Driver::spawn(discovery::follow(discovery, roster.clone(), lists.clone(), None));
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match config::reread(|name| std::env::var(name).ok()) {
                Ok(address) if address == discovery => {
                    info!("told to read the configuration again: no change")
                }
                Ok(address) => {
                    info!("told to read the configuration again: discovery is at {address}");
                    discovery = address;
                    let replaced = |old| discovery::follow(address, roster.clone(), lists.clone(), Some(old));
                    watch = Driver::spawn(replaced(watch));
                }
                Err(e) => error!("told to read the configuration again, and going on with the old one: {e}"),
            }
        }
    });
    let retry_after = config.settings.limits.max_retry_after;
    let front = PlatformFront { settings: config.settings, host, events };
    let clients = Rc::new(Clients {
        front: RefCell::new(Rc::new(front)),
        places: Places::default(),
        recorder: RefCell::default(),
        retry_after,
        ready,
        ending: Cell::new(false),
        taken: Cell::new(1),
        connections: Connections::default(),
        room_in_hand: Semaphore::new(memory_kib / 2),
        ids: RefCell::default(),
    });
    let end = async move {
        terminate.recv().await;
    };
    tokio::select! {
        () = crate::clients::serve(clients, Rc::new(Listeners::new(vec![listener])), most_clients, end) => Ok(()),
        // It runs for as long as the clients' side holds its channel: this is a fault, and no request would be
        // answered any more.
        end = node => Err(format!("the node's task ended: {:?}", end.err())),
    }
}
