//! The log on standard error: text or JSON, filtered by `MARLWINCH_LOG`. Decides only the format of the
//! lines.

use crate::telemetry::log_filter;
use route_config::model::{Log, LogFormat};
use std::io::stderr;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// A log that a separate thread writes for as long as this lives.
pub struct Logging {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logging {
    /// The number of lines that were dropped because the queue was full.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts a log that is written to standard error synchronously, so that no line is lost when the process
/// ends. A second call has no effect.
pub fn start() {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(log_filter::from_environment())
        .event_format(TextFormat)
        .with_writer(stderr);
    let _ = builder.try_init();
}

/// Starts the log of a node that runs from a file: lines are queued for a thread that writes them, so that no
/// exchange waits for the log. Lines that find the queue full are dropped and counted.
pub fn start_queued(log: &Log) -> Logging {
    let (writer, worker) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(log.queue).finish(stderr());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt().with_env_filter(log_filter::from_environment());
    let _ = match log.format {
        LogFormat::Text => builder.event_format(TextFormat).with_writer(writer).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).with_writer(writer).try_init(),
    };
    Logging { _worker: worker, dropped }
}

/// The text format of a line: Unix time in seconds, level, message, fields.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> std::fmt::Result {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        write!(writer, "{:.3} {} ", now.as_secs_f64(), event.metadata().level())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}
