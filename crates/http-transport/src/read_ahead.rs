//! Reads ahead what a client sends while a request is in flight, so that the close of its connection is
//! detected at once.

use crate::client_connections::ConnectionState;
use crate::shared_stream::SharedStream;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The maximum number of bytes of one read.
pub const READ_AHEAD_SIZE: usize = 16 << 10;
/// The maximum number of reads that are buffered for one connection.
const MAX_BUFFERED_READS: usize = 64;

/// Waits until the client has closed the connection while a request is in flight. hyper detects a close only
/// after the last pipelined byte, and reads no pipelined bytes before the response is sent. They are read
/// here and buffered for hyper. Memory for that is taken from `memory`, the memory of the node for requests
/// in flight, in KiB. Beyond `MAX_BUFFERED_READS` the client gets backpressure, and only a close that the
/// system has already received is detected.
pub async fn wait_for_disconnect(socket: &SharedStream, state: &ConnectionState, memory: &Arc<Semaphore>) {
    let (mut memory_permits, mut is_memory_exhausted) = (Vec::new(), false);
    loop {
        if socket.buffered_len() == 0 {
            memory_permits.clear();
        }
        let is_busy = state.idle_since.get().is_none();
        let may_read =
            state.request_complete.get() && memory_permits.len() < MAX_BUFFERED_READS && !is_memory_exhausted;
        tokio::select! {
            () = state.request_progress.notified() => is_memory_exhausted = false,
            () = socket.wait_for_close(), if is_busy => return,
            has_bytes = socket.wait_for_unread(), if may_read => {
                if !has_bytes {
                    return;
                }
                match memory.clone().try_acquire_many_owned((READ_AHEAD_SIZE >> 10) as u32) {
                    Ok(permit) => {
                        memory_permits.push(permit);
                        socket.read_ahead(READ_AHEAD_SIZE);
                    }
                    Err(_) => is_memory_exhausted = true,
                }
            },
        }
    }
}
