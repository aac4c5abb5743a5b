//! Provides the connection for an exchange: an idle one or a new one.

use crate::headers::MAX_HEAD_SIZE;
use crate::upstream::backend_client::BackendClient;
use crate::upstream::messages::ExchangeSpec;
use crate::upstream::pool::Connection;
use http_forwarding::attempt::{ConnectionUse, SuccessCriterion};
use http_transport::backend_stream::{ExchangeProgress, MonitoredStream};
use http_transport::body::MessageBody;
use http_transport::open_count::OpenGuard;
use http_transport::scoped_task::ScopedTask;
use http_transport::tunnel::RawConnection;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use join_up_to::{Outcome, ServerId};
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::debug;

/// From this number of connections in use on, a new connection is opened rather than waiting for a reuse
/// delay: the backend gets requests so often that the waits would add up.
const BUSY_CONNECTIONS: usize = 4;

/// The result of looking for an idle connection.
enum IdleLookup {
    /// An idle connection whose reuse delay is over.
    Usable(Connection),
    /// The reuse delay of an idle connection is over at `usable_at`; `in_use` connections are in use.
    Delayed { usable_at: Instant, in_use: usize },
    /// There is no idle connection, or the backend is not listed.
    Nothing,
}

/// The purpose for which a connection is opened.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionPurpose {
    /// Any number of exchanges.
    Exchanges,
    /// One exchange, after which it may switch to another protocol.
    Upgrade,
}

impl BackendClient {
    /// Returns a connection for an exchange. `None` after a wait for a reuse delay: the caller must check the
    /// conditions of the exchange again and then call this again.
    pub(super) async fn acquire(
        &self,
        backend: ServerId,
        spec: &ExchangeSpec<'_>,
    ) -> Result<Option<(Connection, ConnectionUse)>, Outcome> {
        let purpose = match spec.upgrade_idle_timeout {
            Some(_) => ConnectionPurpose::Upgrade,
            None => ConnectionPurpose::Exchanges,
        };
        let lookup = match purpose {
            ConnectionPurpose::Upgrade => IdleLookup::Nothing,
            ConnectionPurpose::Exchanges => self.find_idle(backend),
        };
        match lookup {
            IdleLookup::Usable(connection) => Ok(Some((connection, ConnectionUse::Reused))),
            // With the platform's backends, waiting for the reuse delay costs less than opening a connection.
            // For a busy backend of an operator's file, a new connection is opened unless no sockets are
            // left.
            IdleLookup::Delayed { usable_at, in_use }
                if self.criterion == SuccessCriterion::Status200
                    || in_use < BUSY_CONNECTIONS
                    || !self.sockets.has_capacity() =>
            {
                sleep_until(usable_at).await;
                Ok(None)
            }
            IdleLookup::Delayed { .. } | IdleLookup::Nothing => {
                let connection = self.connect(backend, spec.timeouts.connect, purpose).await?;
                Ok(Some((connection, ConnectionUse::New)))
            }
        }
    }

    /// Looks for an idle connection whose reuse delay is over, or else for the time at which the first delay
    /// ends.
    fn find_idle(&self, backend: ServerId) -> IdleLookup {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&backend) else { return IdleLookup::Nothing };
        pool.close_expired(self.max_idle.get());
        let delay = self.reuse_delay.current();
        let usable = pool
            .idle
            .iter()
            .rposition(|idle| idle.since.elapsed() >= delay && idle.connection.sender.is_ready());
        if let Some(index) = usable {
            return IdleLookup::Usable(pool.idle.remove(index).connection);
        }
        let in_use = pool.open.get().saturating_sub(pool.idle.len());
        let mut usable_times = pool.idle.iter().map(|idle| idle.since + delay);
        match usable_times.find(|at| *at > Instant::now()) {
            Some(usable_at) => IdleLookup::Delayed { usable_at, in_use },
            None => IdleLookup::Nothing,
        }
    }

    async fn connect(
        &self,
        backend: ServerId,
        connect_timeout: Duration,
        purpose: ConnectionPurpose,
    ) -> Result<Connection, Outcome> {
        let pool = self.pools.borrow().get(&backend).map(|pool| (pool.address, pool.open.clone()));
        let (address, open_in_pool) = pool.ok_or(Outcome::NotSent)?;
        if !self.sockets.has_capacity() && !self.sockets.evict_idle() {
            return Err(Outcome::NotSent);
        }
        let open_guards = [OpenGuard::new(&self.sockets.open), OpenGuard::new(&open_in_pool)];
        self.counters.opened.set(self.counters.opened.get() + 1);
        let connected = timeout(connect_timeout, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok::<_, io::Error>(stream)
        });
        let stream = match connected.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(self.connect_failed(backend, address, &error)),
            Err(error) => return Err(self.connect_failed(backend, address, &error)),
        };
        let progress = Rc::new(ExchangeProgress::default());
        // The platform's protocol demands that the connection of a cancelled request is closed and not reset.
        if self.criterion == SuccessCriterion::NoBackendFailure {
            progress.reset_when_abandoned();
        }
        let stream =
            MonitoredStream::new(stream, progress.clone(), self.stalls.clone(), self.reuse_delay.clone());
        let (sender, driver, raw) = handshake(stream, purpose)
            .await
            .map_err(|error| self.connect_failed(backend, address, &error))?;
        Ok(Connection { raw, sender, progress, address, _driver: driver, _open_guards: open_guards })
    }

    fn connect_failed(&self, backend: ServerId, address: SocketAddr, error: &dyn Display) -> Outcome {
        debug!("backend {backend:?}: cannot connect to {address}: {error}");
        self.counters.failed.set(self.counters.failed.get() + 1);
        Outcome::ConnectFailed
    }
}

type Handshake = (SendRequest<MessageBody>, ScopedTask, Option<oneshot::Receiver<RawConnection>>);

/// Starts HTTP on a new connection, and spawns the task that drives it.
async fn handshake(stream: MonitoredStream, purpose: ConnectionPurpose) -> hyper::Result<Handshake> {
    let (sender, driver) =
        http1::Builder::new().max_buf_size(MAX_HEAD_SIZE).handshake(TokioIo::new(stream)).await?;
    if purpose == ConnectionPurpose::Exchanges {
        return Ok((sender, ScopedTask::spawn_connection(driver), None));
    }
    let (release, raw) = oneshot::channel();
    let driver = ScopedTask::spawn(async move {
        if let Ok(parts) = driver.without_shutdown().await
            && let Some(stream) = parts.io.into_inner().into_stream()
        {
            let _ = release.send((stream, parts.read_buf));
        }
    });
    Ok((sender, driver, Some(raw)))
}
