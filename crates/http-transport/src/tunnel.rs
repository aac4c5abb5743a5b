//! Two connections that have switched protocols: bytes are relayed unchanged in both directions until both
//! sides have closed, both are silent for too long, or the deadline passes. Does not interpret the bytes.

use crate::stream_deadline::StreamDeadline;
use bytes::Bytes;
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// The maximum number of bytes that are read from one side before the other side has accepted them.
const CHUNK_SIZE: usize = 16 << 10;
/// How often the idle time-out and the deadline are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long hyper may take to release the connection to the backend after the switch.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that hyper has released, and the bytes read from it after the last message.
pub type RawConnection = (TcpStream, Bytes);

/// The backend's side of a connection that has switched protocols.
pub struct Tunnel {
    /// Resolves once hyper has released the connection to the backend.
    pub raw: oneshot::Receiver<RawConnection>,
    /// When the tunnel is closed at the latest.
    pub deadline: StreamDeadline,
    /// How long both sides may be silent.
    pub idle_timeout: Duration,
    /// Dropped when the tunnel ends.
    pub guards: Vec<Box<dyn Any>>,
}

impl fmt::Debug for Tunnel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Tunnel idle {:?}", self.idle_timeout)
    }
}

/// Relays bytes in both directions until the tunnel ends, and then closes both connections.
pub async fn relay((mut client, from_client): RawConnection, tunnel: Tunnel) {
    let Tunnel { raw, deadline, idle_timeout, guards } = tunnel;
    let Ok(Ok((mut backend, from_backend))) = timeout(SWITCH_TIMEOUT, raw).await else { return };
    let last_activity = Cell::new(Instant::now());
    let (mut client_reader, mut client_writer) = client.split();
    let (mut backend_reader, mut backend_writer) = backend.split();
    let both_directions = async {
        tokio::try_join!(
            relay_direction(&mut client_reader, &mut backend_writer, from_client, &last_activity),
            relay_direction(&mut backend_reader, &mut client_writer, from_backend, &last_activity),
        )
    };
    let timed_out = async {
        while last_activity.get().elapsed() < idle_timeout && !deadline.has_passed() {
            sleep(CHECK_INTERVAL.min(idle_timeout)).await;
        }
    };
    tokio::select! {
        _ = both_directions => {}
        () = timed_out => {}
    }
    drop(guards);
}

/// Relays `first` and the following bytes until the sender closes its side, and then closes the receiver's
/// side as well.
async fn relay_direction(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    first: Bytes,
    last_activity: &Cell<Instant>,
) -> io::Result<()> {
    to.write_all(&first).await?;
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let count = from.read(&mut chunk).await?;
        last_activity.set(Instant::now());
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
