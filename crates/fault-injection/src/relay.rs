//! A TCP relay for one directed link: clients connect to the target through it, and link faults are injected
//! here. Bytes that are in the relay when a connection is reset are lost; bytes that a stall holds back are
//! delivered after it. The content is not parsed.

mod link_faults;
mod pump;

use crate::lock::lock;
use crate::plan::{Direction, LinkFault};
pub use link_faults::LinkFaultId;
use link_faults::LinkFaults;
use pump::{PumpEnd, pump};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a target on this machine takes at most to accept a connection, unless it accepts none.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// The poll interval for the departure of a client whose connection the target has not accepted yet.
const DISCONNECT_POLL: Duration = Duration::from_millis(2);
/// The time between two attempts to bind the port again after a cut.
const BIND_RETRY: Duration = Duration::from_millis(5);

struct Shared {
    target: Mutex<SocketAddr>,
    faults: watch::Sender<LinkFaults>,
    /// Called for each connection that the target has accepted.
    on_connect: Box<dyn Fn() + Send + Sync>,
}

/// A relayed link. Dropping it closes its listener and all its connections.
pub struct Relay {
    /// The address that clients of the link connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    last_fault: Mutex<LinkFaultId>,
    _task: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to a target, without faults. `on_connect` is called for each connection that the target
    /// accepts.
    ///
    /// # Errors
    /// No port of loopback can be bound.
    pub async fn start(
        target: SocketAddr,
        on_connect: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            faults: watch::Sender::new(LinkFaults::default()),
            on_connect: Box::new(on_connect),
        });
        let mut task = JoinSet::new();
        task.spawn(accept_connections(shared.clone(), listener, address));
        Ok(Relay { address, shared, last_fault: Mutex::default(), _task: task })
    }

    /// Sets the target of new connections. Open ones keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Injects a fault in addition to those that are active. Returns its id for [`Relay::heal`].
    pub fn inject(&self, fault: LinkFault) -> LinkFaultId {
        let mut last = lock(&self.last_fault);
        let id = last.next();
        *last = id;
        self.shared.faults.send_modify(|faults| faults.add(id, fault));
        id
    }

    /// Whether no fault is active.
    pub fn is_healthy(&self) -> bool {
        self.shared.faults.borrow().is_empty()
    }

    /// Ends a fault. Does nothing if it is not active.
    pub fn heal(&self, id: LinkFaultId) {
        self.shared.faults.send_modify(|faults| faults.remove(id));
    }
}

async fn accept_connections(shared: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
    let mut faults = shared.faults.subscribe();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let is_cut = faults.borrow_and_update().is_cut();
        if is_cut {
            // Without a listener the system refuses connections.
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open) = &listener else {
            sleep(BIND_RETRY).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(relay_connection(shared.clone(), stream));
            },
            changed = faults.changed() => if changed.is_err() { return },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Makes the next close of a connection send a reset (a linger time of zero).
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connection(shared: Arc<Shared>, client: TcpStream) {
    let mut faults = shared.faults.subscribe();
    let (resets, is_half_open) = {
        let now = faults.borrow_and_update();
        (now.resets(), now.is_half_open())
    };
    let _ = client.set_nodelay(true);
    if is_half_open {
        let _ = faults.wait_for(|now| now.resets() != resets || !now.is_half_open()).await;
        return reset(&client);
    }
    let target = *lock(&shared.target);
    let connected = tokio::select! {
        biased;
        () = wait_for_departure(&client) => return,
        connected = TcpStream::connect(target) => connected,
    };
    let Ok(target) = connected else { return reset(&client) };
    let _ = target.set_nodelay(true);
    (shared.on_connect)();
    // Duplicated descriptors, as the halves of the streams are moved into the pumps: with them the linger
    // time can still be set before the sockets are closed.
    let duplicate = |stream: &TcpStream| socket2::SockRef::from(stream).try_clone();
    let handles = [duplicate(&client), duplicate(&target)];
    if pump_both_ways(client, target, faults, resets).await == PumpEnd::Broken {
        for handle in handles.into_iter().flatten() {
            let _ = handle.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Waits until a client gives up while the target has not accepted its connection yet. The relay has accepted
/// the client before it connects to the target, so the client sees an open connection. The first check is
/// delayed because a client that half-closes right after its request has not given up; a target that accepts
/// has done so by then.
async fn wait_for_departure(client: &TcpStream) {
    sleep(CONNECT_TIME).await;
    while !client.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
        sleep(DISCONNECT_POLL).await;
    }
}

/// Forwards both directions until both have ended, one is broken, or the link is reset.
async fn pump_both_ways(
    client: TcpStream,
    target: TcpStream,
    mut faults: watch::Receiver<LinkFaults>,
    resets: u64,
) -> PumpEnd {
    let ((client_in, client_out), (target_in, target_out)) = (client.into_split(), target.into_split());
    let mut pumps = JoinSet::new();
    pumps.spawn(pump(client_in, target_out, faults.clone(), Direction::Request));
    pumps.spawn(pump(target_in, client_out, faults.clone(), Direction::Response));
    let both = async {
        while let Some(end) = pumps.join_next().await {
            if end.unwrap_or(PumpEnd::Broken) == PumpEnd::Broken {
                return PumpEnd::Broken;
            }
        }
        PumpEnd::Complete
    };
    tokio::select! {
        end = both => end,
        _ = faults.wait_for(|now| now.resets() != resets) => PumpEnd::Broken,
    }
}
