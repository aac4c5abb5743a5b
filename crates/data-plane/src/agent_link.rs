//! The link to the agent on the same machine. Reconnects for as long as the process runs, sends the greeting
//! and heartbeats, and carries all other messages without interpreting them, except that it tracks the
//! sequence number of the active configuration for the greeting.

use bytes::BytesMut;
use control_protocol::{ConfigurationSequence, FromProxy, ToProxy};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};

/// The first backoff before a reconnect; it doubles after each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff before a reconnect.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// A heartbeat is sent when no other message was sent for this long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// Keeps the link open until the receiver of `inbound` is closed.
pub async fn run(
    address: SocketAddrV4,
    inbound: UnboundedSender<ToProxy>,
    mut outbound: UnboundedReceiver<FromProxy>,
) {
    let (mut backoff, mut active_sequence) = (MIN_BACKOFF, ConfigurationSequence::NONE);
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => {
                backoff = MIN_BACKOFF;
                log::info!("agent at {address}: connected");
                let ended = run_connection(stream, &inbound, &mut outbound, &mut active_sequence).await;
                log::warn!("agent at {address}: connection ended: {ended}");
            }
            Err(error) => log::debug!("agent at {address}: cannot connect: {error}"),
        }
        if inbound.is_closed() {
            return;
        }
        discard_pending(&mut outbound, &mut active_sequence);
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Exchanges messages on one connection until it ends. Returns the reason.
async fn run_connection(
    stream: TcpStream,
    inbound: &UnboundedSender<ToProxy>,
    outbound: &mut UnboundedReceiver<FromProxy>,
    active_sequence: &mut ConfigurationSequence,
) -> io::Error {
    if let Err(error) = stream.set_nodelay(true) {
        return error;
    }
    let (reader, writer) = stream.into_split();
    tokio::select! {
        error = receive_messages(reader, inbound) => error,
        error = send_messages(writer, outbound, active_sequence) => error,
    }
}

async fn receive_messages(mut reader: OwnedReadHalf, inbound: &UnboundedSender<ToProxy>) -> io::Error {
    let mut received = BytesMut::new();
    loop {
        match control_protocol::decode::<ToProxy>(&mut received) {
            Ok(Some(message)) => {
                if inbound.send(message).is_err() {
                    return io::Error::other("the data plane no longer receives messages");
                }
                continue;
            }
            Ok(None) => {}
            Err(error) => return io::Error::new(io::ErrorKind::InvalidData, error),
        }
        match reader.read_buf(&mut received).await {
            Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => {}
            Err(error) => return error,
        }
    }
}

async fn send_messages(
    mut writer: OwnedWriteHalf,
    outbound: &mut UnboundedReceiver<FromProxy>,
    active_sequence: &mut ConfigurationSequence,
) -> io::Error {
    discard_pending(outbound, active_sequence);
    let greeting = FromProxy::Hello { version: control_protocol::VERSION, in_force: *active_sequence };
    let mut next = greeting;
    loop {
        if let Err(error) = write_message(&mut writer, &next).await {
            return error;
        }
        next = match timeout(HEARTBEAT_INTERVAL, outbound.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return io::Error::other("the data plane no longer sends messages"),
            Err(_) => FromProxy::Heartbeat,
        };
        track_sequence(&next, active_sequence);
    }
}

/// Discards messages that were queued for an earlier connection. Their content is sent again, or is out of
/// date.
fn discard_pending(outbound: &mut UnboundedReceiver<FromProxy>, active_sequence: &mut ConfigurationSequence) {
    while let Ok(message) = outbound.try_recv() {
        track_sequence(&message, active_sequence);
    }
}

/// Updates the sequence number of the active configuration if a message reports it.
fn track_sequence(message: &FromProxy, active_sequence: &mut ConfigurationSequence) {
    if let FromProxy::ConfigurationApplied { sequence } = message {
        *active_sequence = *sequence;
    }
}

async fn write_message(writer: &mut OwnedWriteHalf, message: &FromProxy) -> io::Result<()> {
    let frame = control_protocol::encode(message).map_err(io::Error::other)?;
    writer.write_all(&frame).await
}
