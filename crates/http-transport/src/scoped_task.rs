//! A task that is aborted when its owner is dropped.

use std::future::Future;
use tracing::debug;

/// A task that is aborted when this is dropped. Aborting the task of a connection closes its socket.
pub struct ScopedTask(tokio::task::JoinHandle<()>);

impl ScopedTask {
    /// Spawns a task on the local set.
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        ScopedTask(tokio::task::spawn_local(work))
    }
    /// Spawns the task that drives a connection; an error that ends the connection is logged.
    pub fn spawn_connection(connection: impl Future<Output = hyper::Result<()>> + 'static) -> Self {
        ScopedTask::spawn(async move {
            if let Err(e) = connection.await {
                debug!("connection failed: {e}");
            }
        })
    }
}

impl Drop for ScopedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
