//! Connections from the proxy on the same machine.

use crate::event::Event;
use crate::ids::ProxyId;
use control_link::LinkError;
use control_protocol::{FromProxy, VERSION};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout};

/// The longest time from accepting a connection to receiving its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before the next attempt when a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Accepts connections until the agent ends.
pub(crate) async fn accept(listener: TcpListener, events: Sender<Event>) {
    let mut last_id = 0;
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, peer)) => {
                last_id += 1;
                tokio::spawn(serve_connection(ProxyId(last_id), stream, peer, events.clone()));
            }
            Err(error) => {
                log::warn!("connection of a proxy not accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(id: ProxyId, stream: TcpStream, peer: SocketAddr, events: Sender<Event>) {
    if let Err(error) = control_link::configure_accepted(&stream) {
        log::debug!("proxy {peer}: socket options not set: {error}");
    }
    let (mut incoming, outgoing) = control_link::split(stream, peer);
    let hello = timeout(HELLO_TIMEOUT, incoming.next::<FromProxy>()).await;
    let in_force = match hello {
        Ok(Ok(FromProxy::Hello { version, in_force })) if version == VERSION => in_force,
        Ok(Ok(FromProxy::Hello { version, .. })) => {
            log::warn!("proxy {peer} rejected: protocol version {version}, expected {VERSION}");
            return;
        }
        Ok(Ok(_)) => return log::warn!("proxy {peer} rejected: its first message is not a hello"),
        Ok(Err(error)) => return log::debug!("proxy {peer}: no hello received: {error}"),
        Err(_) => return log::debug!("proxy {peer}: no hello received within {HELLO_TIMEOUT:?}"),
    };
    // The main loop owns the only sending half, so a proxy that is replaced is disconnected.
    let _ = events.send(Event::ProxyConnected { id, in_force, outgoing }).await;
    let error = forward_messages(id, &mut incoming, &events).await;
    log::info!("proxy {peer} disconnected: {error}");
    let _ = events.send(Event::ProxyDisconnected(id)).await;
}

/// Sends the messages of a proxy to the main loop until its connection ends. Returns why it has ended.
async fn forward_messages(
    id: ProxyId,
    incoming: &mut control_link::FrameReader,
    events: &Sender<Event>,
) -> LinkError {
    loop {
        match incoming.next::<FromProxy>().await {
            Ok(message) => {
                if events.send(Event::ProxyMessage(id, message)).await.is_err() {
                    return LinkError::Closed(incoming.peer());
                }
            }
            Err(error) => return error,
        }
    }
}
