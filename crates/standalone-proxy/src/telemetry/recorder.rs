//! Records the requests of a node as a trace that the load generator can replay. A separate thread writes the
//! trace; a line that finds the queue full is dropped and counted, so that no request waits.

use load_generator::trace::TraceEntry;
use std::cell::Cell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The maximum time for which lines stay in the write buffer. Lets a reader follow the trace.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// The names of a request's class and tenant.
pub struct TraceLabels {
    /// The name of the class.
    pub class: String,
    /// The name of the tenant; `None` if there are no tenants.
    pub tenant: Option<String>,
}

/// The recorded properties of a request.
pub struct RecordedRequest<'r> {
    /// The method.
    pub method: &'r str,
    /// The path and query.
    pub target: &'r str,
    /// The names of its class and tenant.
    pub labels: TraceLabels,
    /// Whether it has an idempotency key.
    pub has_key: bool,
    /// The size of its body, in bytes.
    pub body_size: usize,
}

/// Records requests. Dropping it ends the trace once all queued lines are written.
pub struct Recorder {
    lines: SyncSender<TraceEntry>,
    start: Instant,
    dropped: Cell<u64>,
}

impl Recorder {
    /// Records to a new file of at most `max_size` bytes. At most `queue` lines wait to be written.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn to_file(path: &Path, queue: usize, max_size: u64) -> io::Result<Self> {
        let file = File::create(path)?;
        info!("recording a trace to {}, at most {max_size} bytes", path.display());
        Ok(Recorder::to_writer(BufWriter::new(file), queue, max_size))
    }

    /// Records to a writer. The limits are those of [`Recorder::to_file`].
    pub fn to_writer(out: impl Write + Send + 'static, queue: usize, max_size: u64) -> Self {
        let (lines, receiver) = sync_channel(queue);
        std::thread::spawn(move || {
            if let Err(e) = write(out, &receiver, max_size) {
                warn!("trace recording stopped: {e}");
            }
        });
        Recorder { lines, start: Instant::now(), dropped: Cell::new(0) }
    }

    /// Records a request, or counts it as dropped if the queue is full.
    pub fn record(&self, request: RecordedRequest<'_>) {
        let line = TraceEntry {
            method: request.method.to_string(),
            target: request.target.to_string(),
            t: self.start.elapsed().as_secs_f64(),
            class: request.labels.class,
            tenant: request.labels.tenant,
            key: request.has_key,
            body: request.body_size,
        };
        if self.lines.try_send(line).is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// The number of lines dropped so far.
    #[cfg(test)]
    fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        info!("trace recording ended, {} lines were dropped", self.dropped.get());
    }
}

fn write(mut out: impl Write, lines: &Receiver<TraceEntry>, max_size: u64) -> io::Result<()> {
    let mut written = 0;
    loop {
        let line = match lines.recv_timeout(FLUSH_INTERVAL) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                out.flush()?;
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => return out.flush(),
        };
        let mut text = serde_json::to_vec(&line)?;
        text.push(b'\n');
        written += text.len() as u64;
        if written > max_size {
            out.flush()?;
            return Err(io::Error::other(format!("the trace has reached its maximum of {max_size} bytes")));
        }
        out.write_all(&text)?;
    }
}

#[cfg(test)]
mod tests;
