//! Forwards the bytes of one direction of a connection, subject to the faults of the link.

use super::link_faults::LinkFaults;
use crate::plan::Direction;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// The size of the read buffer, and so the largest chunk, in bytes.
const CHUNK: usize = 16 << 10;
/// The number of chunks that may be queued in one direction. Beyond that the relay stops reading, so that the
/// sender is subject to backpressure, as with a full TCP window.
const MAX_IN_FLIGHT: usize = 64;
/// A throttled direction writes in portions of this part of a second.
const THROTTLE_PARTS: u64 = 20;

/// How one direction ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PumpEnd {
    /// The sender has closed its side, and the close was forwarded.
    Complete,
    /// With an error, or by a fault of the link.
    Broken,
}

/// Bytes that were read, and when they are to be written.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Forwards one direction: reads each chunk on arrival, and writes it when it is due.
pub(super) async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: watch::Receiver<LinkFaults>,
    direction: Direction,
) -> PumpEnd {
    let (chunks, due_chunks) = mpsc::channel::<Chunk>(MAX_IN_FLIGHT);
    let reader = read_chunks(from, chunks, faults.clone(), direction);
    let writer = Writer { to, faults, direction, written: 0, cut_at: None };
    // After the end of the reader the writer still writes the queued chunks. After the end of the writer
    // nothing can be delivered, so the reader is dropped.
    let (mut reader, mut writer) = (pin!(reader), pin!(writer.write_chunks(due_chunks)));
    let mut reader_ended = false;
    loop {
        tokio::select! {
            end = &mut writer => return end,
            end = &mut reader, if !reader_ended => match end {
                PumpEnd::Complete => reader_ended = true,
                PumpEnd::Broken => return PumpEnd::Broken,
            },
        }
    }
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    mut faults: watch::Receiver<LinkFaults>,
    direction: Direction,
) -> PumpEnd {
    let mut buffer = vec![0; CHUNK];
    for number in 0.. {
        match from.read(&mut buffer).await {
            Ok(0) => return PumpEnd::Complete,
            Err(_) => return PumpEnd::Broken,
            Ok(n) => {
                let (delay, is_dropped) = {
                    let now = faults.borrow_and_update();
                    (now.delay(number), now.drop(direction))
                };
                let chunk = Chunk { due: Instant::now() + delay, bytes: buffer[..n].to_vec() };
                if !is_dropped && chunks.send(chunk).await.is_err() {
                    return PumpEnd::Broken;
                }
            }
        }
    }
    PumpEnd::Broken
}

struct Writer {
    to: OwnedWriteHalf,
    faults: watch::Receiver<LinkFaults>,
    direction: Direction,
    /// The number of bytes written so far.
    written: u64,
    /// The value of `written` at which a fault resets the connection; `None` without such a fault.
    cut_at: Option<u64>,
}

impl Writer {
    async fn write_chunks(mut self, mut chunks: mpsc::Receiver<Chunk>) -> PumpEnd {
        while let Some(Chunk { due, bytes }) = chunks.recv().await {
            // Chunks without a delay skip the sleep: the runtime's timer would delay them by a millisecond or
            // two.
            if due > Instant::now() {
                sleep_until(due).await;
            }
            if self.write_chunk(&bytes).await == PumpEnd::Broken {
                return PumpEnd::Broken;
            }
        }
        match self.to.shutdown().await {
            Ok(()) => PumpEnd::Complete,
            Err(_) => PumpEnd::Broken,
        }
    }

    async fn write_chunk(&mut self, bytes: &[u8]) -> PumpEnd {
        let direction = self.direction;
        let mut rest = bytes;
        while !rest.is_empty() {
            if self.faults.wait_for(|now| !now.stall(direction)).await.is_err() {
                return PumpEnd::Broken;
            }
            let (throttle, cut_after) = {
                let now = self.faults.borrow();
                (now.throttle(), now.cut_after().filter(|_| direction == Direction::Response))
            };
            // Bytes are counted from the start of the fault, not of the connection.
            self.cut_at = cut_after.map(|bytes| self.cut_at.unwrap_or(self.written + bytes));
            let until_cut = self.cut_at.map_or(usize::MAX, |at| (at - self.written.min(at)) as usize);
            let at_once = throttle.map_or(rest.len(), |rate| (rate / THROTTLE_PARTS).max(1) as usize);
            let n = rest.len().min(at_once).min(until_cut);
            if self.to.write_all(&rest[..n]).await.is_err() {
                return PumpEnd::Broken;
            }
            self.written += n as u64;
            rest = &rest[n..];
            if n == until_cut {
                return PumpEnd::Broken;
            }
            if let Some(rate) = throttle {
                sleep(Duration::from_secs_f64(n as f64 / rate as f64)).await;
            }
        }
        PumpEnd::Complete
    }
}
