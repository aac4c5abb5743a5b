//! The signals to the process of a role.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks a role to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// SIGHUP: read the settings again.
    Reload,
}

/// The signals that a role handles. None of them ends the process once they are registered.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Registers the handlers. Must be called on a Tokio runtime.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub fn register() -> io::Result<Self> {
        let hang_up = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Signals { terminate, interrupt, hang_up })
    }

    /// Waits for the next signal. Those that came since the last call count as one of each kind, and a request
    /// to shut down comes first. Cancel safe.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalRequest::ShutDown,
            _ = self.interrupt.recv() => SignalRequest::ShutDown,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }

    /// Waits for a request to shut down, and passes over others. Cancel safe.
    pub async fn shut_down(&mut self) {
        while self.next().await != SignalRequest::ShutDown {}
    }
}
