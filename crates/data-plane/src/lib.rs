//! The data plane: accepts clients' requests, matches them against the operator's configuration and forwards
//! each to a backend.
//!
//! Everything runs as local tasks on one thread. [`run`] is the complete program; [`serve`] is the same with
//! sockets and a channel to the agent that the caller provides.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_link;
mod attempt;
mod backend;
mod client_connection;
pub mod event_stream;
mod header_names;
mod maintenance;
mod metrics;
mod readiness;
mod request;
mod request_attempts;
mod request_body;
mod request_error;
mod request_handler;
mod response;
mod response_body;
pub mod retry_safety;
mod server;
mod service;
mod shutdown;
mod state;
mod tenant_quotas;

use control_protocol::{FromProxy, ToProxy};
use http_transport::listeners::BACKLOG;
use node_settings::Settings;
use policy::Policy;
use role_runtime::process::{self, RoleError, RoleOptions, RoleStart};
use state::DataPlaneState;
use std::io;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};

/// The two directions of messages between a data plane and its agent.
pub struct AgentChannel {
    /// The messages from the agent, in the order in which they were sent.
    pub from_agent: UnboundedReceiver<ToProxy>,
    /// Messages to the agent. They are dropped once the receiver is closed.
    pub to_agent: UnboundedSender<FromProxy>,
}

/// The sockets that a data plane listens on.
pub struct Sockets {
    /// The socket that accepts clients' connections.
    pub frontend: TcpListener,
    /// The socket that accepts the platform's readiness checks.
    pub readiness: TcpListener,
}

/// Runs the data plane until the process receives a termination signal and has shut down. Fails if the settings
/// are invalid, a socket can't be bound or a signal handler can't be installed.
pub fn run(options: RoleOptions) -> ExitCode {
    process::run("data plane", options, async |start| {
        LocalSet::new().run_until(run_until_signalled(start)).await
    })
}

async fn run_until_signalled(start: RoleStart) -> Result<(), RoleError> {
    let RoleStart { settings, options, signals } = start;
    let sockets = Sockets {
        frontend: listen(settings.listen.frontend, "frontend")?,
        readiness: listen(settings.listen.readiness, "readiness")?,
    };
    let (inbound, from_agent) = unbounded_channel();
    let (to_agent, outbound) = unbounded_channel();
    spawn_local(agent_link::run(settings.agent_address(), inbound, outbound));
    let state = Rc::new(DataPlaneState::new(&settings, options.policy, to_agent));
    role_runtime::metrics::start(settings.ip, options.metrics.as_ref(), state.metrics.clone());
    serve_state(state, sockets, from_agent, shutdown::requested(signals)).await;
    Ok(())
}

/// Serves until `shutdown` completes and all requests accepted by then have their responses, or until shortly
/// before the end of the shutdown grace period. Must be called on a `LocalSet`.
pub async fn serve(
    settings: Settings,
    sockets: Sockets,
    agent: AgentChannel,
    shutdown: impl Future<Output = ()>,
) {
    let AgentChannel { from_agent, to_agent } = agent;
    let state = Rc::new(DataPlaneState::new(&settings, Policy::default(), to_agent));
    serve_state(state, sockets, from_agent, shutdown).await;
}

async fn serve_state(
    state: Rc<DataPlaneState>,
    sockets: Sockets,
    mut from_agent: UnboundedReceiver<ToProxy>,
    shutdown: impl Future<Output = ()>,
) {
    let agent_state = state.clone();
    spawn_local(async move {
        while let Some(message) = from_agent.recv().await {
            agent_state.apply(message);
        }
    });
    spawn_local(readiness::serve(state.clone(), sockets.readiness));
    spawn_local(maintenance::run(state.clone()));
    let quota_state = state.clone();
    spawn_local(async move {
        let send = |request| quota_state.send_to_agent(FromProxy::QuotaRequest(request));
        quota_state.quotas.send_requests(send).await;
    });
    server::serve(&state, sockets.frontend, shutdown).await;
}

fn listen(address: Option<SocketAddrV4>, setting: &str) -> io::Result<TcpListener> {
    let missing = || io::Error::new(io::ErrorKind::InvalidInput, format!("listen.{setting} is not set"));
    let address = address.ok_or_else(missing)?;
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(BACKLOG)
    };
    let context = |error: io::Error| {
        io::Error::new(error.kind(), format!("listen.{setting}: cannot listen on {address}: {error}"))
    };
    bind().map_err(context)
}
