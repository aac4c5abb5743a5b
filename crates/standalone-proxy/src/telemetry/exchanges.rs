//! Reports the exchanges of a node that runs from a file: metrics in the Prometheus text format, and log
//! lines for a configured share of the exchanges. Observes only: it decides nothing and delays no exchange.

use crate::telemetry::log_filter::EXCHANGE_TARGET;
use crate::telemetry::logging::Logging;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// The maximum number of distinct names in labels since the start. Guards the memory of the node and of the
/// metrics collector against reloads that keep adding names.
const MAX_LABEL_NAMES: usize = 2_000;
/// The label that replaces names beyond that number.
const OTHER: &str = "other";

/// The labels of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExchangeLabels {
    /// The name of its class.
    pub class: String,
    /// The name of its cluster.
    pub cluster: String,
    /// The name of its route.
    pub route: String,
    /// The name of its tenant; `None` if the file has no tenants.
    pub tenant: Option<String>,
}

/// The backend that a response came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedBy {
    /// The name of the backend.
    pub backend: String,
    /// The number of attempts of the request, including the one that brought the response.
    pub attempts: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    class: String,
    cluster: String,
    code: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: String,
    cluster: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BackendLabels {
    cluster: String,
    name: String,
}

type Durations<L> = Family<L, Histogram, fn() -> Histogram>;

/// A histogram with buckets from 0.5 ms to about 33 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 17))
}

/// The metrics of exchanges. The names in `register` are an interface for operators and must not change.
struct ExchangeMetrics {
    responses: Family<ResponseLabels, Counter>,
    first_byte: Durations<ClassLabels>,
    complete: Durations<ClassLabels>,
    backend_first_byte: Durations<BackendLabels>,
    attempts: Family<ClassLabels, Counter>,
    truncated: Family<ClassLabels, Counter>,
    in_flight: Gauge,
    dropped_lines: Gauge,
}

impl ExchangeMetrics {
    fn new() -> Self {
        ExchangeMetrics {
            responses: Family::default(),
            first_byte: Family::new_with_constructor(duration_histogram),
            complete: Family::new_with_constructor(duration_histogram),
            backend_first_byte: Family::new_with_constructor(duration_histogram),
            attempts: Family::default(),
            truncated: Family::default(),
            in_flight: Gauge::default(),
            dropped_lines: Gauge::default(),
        }
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("marlwinch");
        registry.register("answers", "Responses by class, cluster and status", self.responses.clone());
        registry.register(
            "first_byte_seconds",
            "Time from the last byte of a request to the head of its response",
            self.first_byte.clone(),
        );
        registry.register(
            "whole_seconds",
            "Time from the last byte of a request to the last byte of its response",
            self.complete.clone(),
        );
        registry.register(
            "box_first_byte_seconds",
            "The same as first_byte_seconds, by backend",
            self.backend_first_byte.clone(),
        );
        let attempts = self.attempts.clone();
        registry.register(
            "attempts",
            "Attempts of the requests whose response came from a backend",
            attempts,
        );
        let truncated = self.truncated.clone();
        registry.register("cut", "Responses that broke off after their head was sent", truncated);
        registry.register("in_hand", "Requests in flight", self.in_flight.clone());
        let dropped_lines = self.dropped_lines.clone();
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the queue of the log was full",
            dropped_lines,
        );
        registry
    }
}

/// The metrics of exchanges, and the choice of exchanges that get a log line.
pub struct Telemetry {
    registry: Registry,
    metrics: ExchangeMetrics,
    /// The distinct names in labels since the start.
    names: RefCell<HashSet<String>>,
    /// The share of exchanges that get a log line, from 0 to 1.
    logged_share: Cell<f64>,
    /// The sum of the shares since the last line; the next line is due when it reaches 1.
    accrued: Cell<f64>,
    logging: Option<Logging>,
}

impl Telemetry {
    /// Telemetry without exchanges. `logged_share`, from 0 to 1, is the share of exchanges that get a log
    /// line.
    pub fn new(logged_share: f64, logging: Option<Logging>) -> Self {
        let metrics = ExchangeMetrics::new();
        Telemetry {
            registry: metrics.register(),
            metrics,
            names: RefCell::default(),
            logged_share: Cell::new(logged_share),
            accrued: Cell::new(0.0),
            logging,
        }
    }

    /// Changes the share of exchanges that get a log line, from 0 to 1.
    pub fn set_logged_share(&self, share: f64) {
        self.logged_share.set(share);
    }

    /// The metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        if let Some(logging) = &self.logging {
            self.metrics.dropped_lines.set(logging.dropped() as i64);
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Returns a name as a label, or `other` if the maximum number of names is reached.
    fn label(&self, name: &str) -> String {
        let mut names = self.names.borrow_mut();
        if !names.contains(name) {
            if names.len() >= MAX_LABEL_NAMES {
                return OTHER.into();
            }
            names.insert(name.into());
        }
        name.into()
    }

    /// Whether the next exchange gets a log line. Counts the exchange.
    fn is_next_logged(&self) -> bool {
        let accrued = self.accrued.get() + self.logged_share.get();
        self.accrued.set(if accrued >= 1.0 { accrued - 1.0 } else { accrued });
        accrued >= 1.0
    }
}

/// An exchange in progress. Dropping it reports the exchange.
pub struct Exchange {
    telemetry: Rc<Telemetry>,
    labels: ExchangeLabels,
    method: String,
    begun: Instant,
    first_byte: Cell<Option<Duration>>,
    status: Cell<u16>,
    served_by: RefCell<Option<ServedBy>>,
    is_complete: Rc<Cell<bool>>,
}

impl Exchange {
    /// Begins the exchange of a request with this method that has arrived.
    pub fn begin(telemetry: &Rc<Telemetry>, labels: ExchangeLabels, method: &str) -> Self {
        telemetry.metrics.in_flight.inc();
        Exchange {
            telemetry: telemetry.clone(),
            labels,
            method: method.into(),
            begun: Instant::now(),
            first_byte: Cell::default(),
            status: Cell::default(),
            served_by: RefCell::default(),
            is_complete: Rc::default(),
        }
    }

    /// Records the head of the response. `served_by` is `None` for a local response.
    pub fn response_started(&self, status: u16, served_by: Option<ServedBy>) {
        self.first_byte.set(Some(self.begun.elapsed()));
        self.status.set(status);
        self.served_by.replace(served_by);
    }

    /// The flag to be set once the response is complete.
    pub fn completion_flag(&self) -> Rc<Cell<bool>> {
        self.is_complete.clone()
    }

    /// Adds the exchange to the metrics. `elapsed` is its duration.
    fn count(&self, elapsed: Duration, served_by: Option<&ServedBy>) {
        let (telemetry, metrics) = (&self.telemetry, &self.telemetry.metrics);
        let (class, cluster) = (telemetry.label(&self.labels.class), telemetry.label(&self.labels.cluster));
        let class_labels = ClassLabels { class: class.clone(), cluster: cluster.clone() };
        let Some(first_byte) = self.first_byte.get() else { return };
        let code = self.status.get();
        metrics.responses.get_or_create(&ResponseLabels { class, cluster: cluster.clone(), code }).inc();
        metrics.first_byte.get_or_create(&class_labels).observe(first_byte.as_secs_f64());
        if let Some(ServedBy { backend, attempts }) = served_by {
            let backend_labels = BackendLabels { cluster, name: telemetry.label(backend) };
            metrics.backend_first_byte.get_or_create(&backend_labels).observe(first_byte.as_secs_f64());
            metrics.attempts.get_or_create(&class_labels).inc_by(u64::from(*attempts));
        }
        if self.is_complete.get() {
            metrics.complete.get_or_create(&class_labels).observe(elapsed.as_secs_f64());
        } else {
            metrics.truncated.get_or_create(&class_labels).inc();
        }
    }

    /// Writes the log line. The field names are an interface for operators' tools and must not change.
    fn log(&self, elapsed: Duration, served_by: Option<&ServedBy>) {
        let end = match self.first_byte.get() {
            // The client disconnected before there was a response.
            None => "gone",
            Some(_) if self.is_complete.get() => "whole",
            Some(_) => "cut",
        };
        info!(
            target: EXCHANGE_TARGET,
            method = %self.method,
            route = %self.labels.route,
            class = %self.labels.class,
            cluster = %self.labels.cluster,
            tenant = self.labels.tenant.as_deref().unwrap_or_default(),
            server = %served_by.map_or("", |served_by| &served_by.backend),
            attempts = served_by.map_or(0, |served_by| served_by.attempts),
            status = self.status.get(),
            first_byte_ms = self.first_byte.get().unwrap_or_default().as_secs_f64() * 1e3,
            whole_ms = elapsed.as_secs_f64() * 1e3,
            end,
            "exchange"
        );
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.telemetry.metrics.in_flight.dec();
        let elapsed = self.begun.elapsed();
        let served_by = self.served_by.take();
        self.count(elapsed, served_by.as_ref());
        if self.telemetry.is_next_logged() {
            self.log(elapsed, served_by.as_ref());
        }
    }
}

#[cfg(test)]
mod tests;
