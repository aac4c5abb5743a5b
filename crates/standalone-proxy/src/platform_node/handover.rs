//! Passes the listening sockets of a running process to its successor, over a Unix socket. Both processes
//! then share the queues of connections, so that no connection is refused during the handover.
//!
//! The running process sends a greeting with the sockets attached. The successor answers `ready` once it has
//! a list of backends. The predecessor then stops accepting connections and answers `yours`, and the
//! successor starts to accept. If the successor ends before the predecessor, the predecessor accepts
//! connections again.

use http_transport::listeners::Listeners;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::fs::Permissions;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

/// The first message of a handover. Its number changes whenever the protocol changes, so that processes of
/// different versions recognize that they are incompatible.
const GREETING: &[u8] = b"marlwinch handover 1\n";
const READY: &str = "ready\n";
const YOURS: &str = "yours\n";
/// The maximum number of sockets in a handover.
const MAX_SOCKETS: usize = 16;
/// How long each side waits for a message of the other. A predecessor that sends nothing must not delay the
/// start.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a successor may take to get its list of backends before the predecessor gives up on it.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after a failure to listen for a successor.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The path of the Unix socket at which the process that listens at `address` offers the handover. Both
/// processes must have access to the folder.
pub fn socket_path(folder: &Path, address: SocketAddr) -> PathBuf {
    folder.join(format!("marlwinch-{}-{}.sock", address.ip(), address.port()))
}

/// What a successor has received from its predecessor.
pub struct InheritedSockets {
    /// The listening sockets.
    pub listeners: Vec<TcpListener>,
    /// The connection to the predecessor.
    pub predecessor: StdUnixStream,
}

/// Requests the sockets of the running process. `None` if there is no such process or it sends none.
pub fn request_sockets(path: &Path) -> Option<InheritedSockets> {
    let predecessor = StdUnixStream::connect(path).ok()?;
    match receive(&predecessor) {
        Ok(listeners) if !listeners.is_empty() => Some(InheritedSockets { listeners, predecessor }),
        Ok(_) => None,
        Err(e) => {
            warn!("handover: no sockets from the running process: {e}");
            None
        }
    }
}

fn receive(predecessor: &StdUnixStream) -> io::Result<Vec<TcpListener>> {
    predecessor.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
    let mut greeting = [0; GREETING.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut attached = RecvAncillaryBuffer::new(&mut space);
    let slices = &mut [IoSliceMut::new(&mut greeting)];
    let received = recvmsg(predecessor, slices, &mut attached, RecvFlags::CMSG_CLOEXEC)?;
    let mut listeners = Vec::new();
    for message in attached.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            listeners.extend(sockets.map(TcpListener::from));
        }
    }
    if received.bytes != GREETING.len() || greeting != *GREETING {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the greeting is not that of this version"));
    }
    listeners.iter().try_for_each(|listener| listener.set_nonblocking(true))?;
    Ok(listeners)
}

/// The connection to the predecessor, which does not accept connections again as long as it is open.
pub struct PredecessorConnection {
    _stream: BufReader<UnixStream>,
}

/// Notifies the predecessor that this process is ready, and waits for the answer. This process may start to
/// accept connections whatever the answer is.
pub async fn take_over(predecessor: StdUnixStream) -> io::Result<PredecessorConnection> {
    predecessor.set_nonblocking(true)?;
    let mut stream = BufReader::new(UnixStream::from_std(predecessor)?);
    let answer = timeout(MESSAGE_TIMEOUT, async {
        stream.get_mut().write_all(READY.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_line(&mut answer).await?;
        Ok::<_, io::Error>(answer)
    });
    match answer.await {
        Ok(Ok(answer)) if answer == YOURS => info!("handover: took over from the previous process"),
        Ok(Ok(answer)) => {
            warn!(
                "handover: unexpected answer {answer:?} of the previous process; \
                 accepting connections beside it"
            );
        }
        Ok(Err(e)) => warn!("handover: no answer of the previous process: {e}; accepting connections"),
        Err(_) => warn!(
            "handover: no answer of the previous process within {MESSAGE_TIMEOUT:?}; \
             accepting connections beside it"
        ),
    }
    Ok(PredecessorConnection { _stream: stream })
}

/// Offers the sockets to successors of this process, one at a time, until it is dropped.
pub async fn offer(path: PathBuf, listeners: Rc<Listeners>) {
    let mut has_warned = false;
    loop {
        let listener = match listen(&path) {
            Ok(listener) => listener,
            Err(e) => {
                if !std::mem::replace(&mut has_warned, true) {
                    warn!("handover: cannot listen on {}: {e}", path.display());
                }
                sleep(BIND_RETRY_INTERVAL).await;
                continue;
            }
        };
        let mut owned_path = OwnedPath(Some(&path));
        loop {
            match listener.accept().await {
                Ok((stream, _)) => match hand_over(stream, &listeners, &mut owned_path).await {
                    Ok(()) => break,
                    Err(e) => info!("handover failed: {e}"),
                },
                Err(e) => {
                    debug!("handover: cannot accept a connection at {}: {e}", path.display());
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
        // The successor has ended, and this process offers the handover again.
    }
}

/// The path of the Unix socket; `None` once it belongs to a successor. Dropping this removes the socket that
/// it names.
struct OwnedPath<'a>(Option<&'a Path>);

impl Drop for OwnedPath<'_> {
    fn drop(&mut self) {
        if let Some(path) = self.0 {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn listen(path: &Path) -> io::Result<UnixListener> {
    // A process that was killed may have left the socket behind.
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Performs a handover. Returns once the successor, after taking over, has ended.
///
/// # Errors
/// The successor did not take over.
async fn hand_over(
    stream: UnixStream,
    listeners: &Listeners,
    owned_path: &mut OwnedPath<'_>,
) -> io::Result<()> {
    if stream.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, "the peer belongs to another user"));
    }
    let sockets = listeners.duplicate()?;
    timeout(MESSAGE_TIMEOUT, stream.async_io(Interest::WRITABLE, || send(&stream, &sockets))).await??;
    drop(sockets);
    let mut stream = BufReader::new(stream);
    let mut message = String::new();
    timeout(START_TIMEOUT, stream.read_line(&mut message)).await??;
    if message != READY {
        let text = format!("unexpected message {message:?} of the successor, expected {READY:?}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    listeners.set_paused(true);
    // From now on the path belongs to the successor.
    owned_path.0 = None;
    info!("handover: the successor accepts connections from now on");
    let _ = stream.get_mut().write_all(YOURS.as_bytes()).await;
    let mut remaining = String::new();
    let _ = stream.read_line(&mut remaining).await;
    warn!("handover: the successor has ended; accepting connections again");
    listeners.set_paused(false);
    Ok(())
}

fn send(stream: &UnixStream, sockets: &[TcpListener]) -> io::Result<()> {
    let sockets: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut attached = SendAncillaryBuffer::new(&mut space);
    if sockets.len() > MAX_SOCKETS || !attached.push(SendAncillaryMessage::ScmRights(&sockets)) {
        let count = sockets.len();
        return Err(io::Error::other(format!(
            "cannot hand over {count} sockets, the maximum is {MAX_SOCKETS}"
        )));
    }
    // A message this short is written completely or not at all.
    sendmsg(stream, &[IoSlice::new(GREETING)], &mut attached, SendFlags::NOSIGNAL)?;
    Ok(())
}
