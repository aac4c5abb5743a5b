//! The capacity of each backend relative to the mean of its cluster: its weight, corrected by its measured
//! speed.

use super::TOLERANCE;
use super::state::BackendState;
use join_up_to::ServerId;
use rustc_hash::FxHashMap;

/// After this number of responses, the measured speed of a backend counts as much as that of its kind.
const HALF_CONFIDENCE: f64 = 64.0;
/// The minimum number of responses of a class for a backend to count in the typical latency of the class.
const MIN_RESPONSES: u32 = 8;
/// The maximum number of responses of a class that count in the speed of a backend.
const MAX_RESPONSES: u32 = 1000;
/// The minimum number of windows in which a backend was saturated for its rate to count.
const MIN_SATURATED_WINDOWS: f64 = 2.0;
/// After this number of windows, the rate of a saturated backend counts as much as its weight and latency.
const HALF_CONFIDENCE_WINDOWS: f64 = 4.0;
/// The range to which relative capacities are clamped.
const RANGE: (f64, f64) = (1e-3, 1e3);

type BackendMap = FxHashMap<ServerId, BackendState>;

/// The speed of a backend, computed from its latency.
struct MeasuredSpeed {
    /// As a multiple of the typical speed.
    relative: f64,
    /// From 0 to 1; grows with the number of responses.
    confidence: f64,
}

/// The relative capacities of all backends without slow start, in the order of the map. `mean_weight` is
/// positive.
pub(super) fn relative_capacities(backends: &BackendMap, mean_weight: f64) -> Vec<(ServerId, f64)> {
    let latencies = typical_latencies(backends);
    let mut speeds_by_kind: FxHashMap<u8, Option<f64>> = FxHashMap::default();
    let mean_error_share =
        backends.values().map(|backend| backend.error_share).sum::<f64>() / backends.len().max(1) as f64;
    let rate_scale = saturated_rate_scale(backends, mean_weight);
    let mut capacities = Vec::with_capacity(backends.len());
    for (id, backend) in backends {
        let kind = backend.endpoint.kind;
        let kind_speed =
            *speeds_by_kind.entry(kind).or_insert_with(|| speed_of_kind(backends, kind, &latencies));
        let speed = estimated_speed(backend, kind_speed, &latencies);
        let capacity = capacity_by_speed(backend.endpoint.weight / mean_weight, speed);
        let capacity = match rate_scale {
            Some(scale) => capacity_by_rate(backend, capacity, scale),
            None => capacity,
        };
        capacities.push((*id, capacity * error_penalty(backend, mean_error_share)));
    }
    capacities
}

/// Clamps a relative capacity to its range; 1 if it is not finite.
pub(super) fn clamp(capacity: f64) -> f64 {
    if capacity.is_finite() { capacity.clamp(RANGE.0, RANGE.1) } else { 1.0 }
}

/// For each class, the geometric mean of the baseline latencies of backends with enough responses, in
/// seconds. `None` if fewer than two have enough.
fn typical_latencies(backends: &BackendMap) -> Vec<Option<f64>> {
    let highest = backends.values().filter_map(|backend| backend.limit.highest_class()).max();
    let classes = 1 + highest.unwrap_or(0);
    (0..classes)
        .map(|class| {
            let known =
                backends.values().filter(|backend| backend.limit.response_count(class) >= MIN_RESPONSES);
            let (count, sum) = known
                .filter_map(|backend| backend.limit.baseline_latency(class))
                .fold((0, 0.0), |(count, sum), seconds| (count + 1, sum + seconds.max(1e-6).ln()));
            (count > 1).then(|| (sum / f64::from(count)).exp())
        })
        .collect()
}

fn measured_speed(backend: &BackendState, latencies: &[Option<f64>]) -> Option<MeasuredSpeed> {
    let (mut responses, mut sum) = (0.0, 0.0);
    for (class, typical) in latencies.iter().enumerate() {
        let (Some(typical), Some(own)) = (typical, backend.limit.baseline_latency(class)) else { continue };
        let count = f64::from(backend.limit.response_count(class).min(MAX_RESPONSES));
        (responses, sum) = (responses + count, sum + count * (typical / own.max(1e-6)).ln());
    }
    (responses > 0.0).then(|| MeasuredSpeed {
        relative: (sum / responses).exp(),
        confidence: responses / (responses + HALF_CONFIDENCE),
    })
}

/// The geometric mean of the speeds of a machine kind, over backends with sufficient confidence.
fn speed_of_kind(backends: &BackendMap, kind: u8, latencies: &[Option<f64>]) -> Option<f64> {
    let speeds: Vec<_> = backends
        .values()
        .filter(|backend| backend.endpoint.kind == kind)
        .filter_map(|backend| measured_speed(backend, latencies))
        .filter(|speed| speed.confidence > 0.5)
        .collect();
    let sum: f64 = speeds.iter().map(|speed| speed.relative.ln()).sum();
    (!speeds.is_empty()).then(|| (sum / speeds.len() as f64).exp())
}

/// The geometric mean of the measured speed and that of the kind, weighted by the confidence in the
/// measurement.
fn estimated_speed(backend: &BackendState, kind_speed: Option<f64>, latencies: &[Option<f64>]) -> f64 {
    let of_kind = kind_speed.unwrap_or(1.0).ln();
    let measured = measured_speed(backend, latencies);
    measured
        .map_or(of_kind, |own| own.relative.ln() * own.confidence + of_kind * (1.0 - own.confidence))
        .exp()
}

/// The weight, corrected if the measured speed contradicts it. A weight may stand for the speed of a backend
/// or for its number of concurrent requests, so speeds between 1 and the weight are consistent with it.
fn capacity_by_speed(weight: f64, speed: f64) -> f64 {
    let (low, high) = (weight.min(1.0), weight.max(1.0));
    if speed > high * (1.0 + TOLERANCE) {
        weight * speed / high
    } else if speed < low * (1.0 - TOLERANCE) {
        weight * speed / low
    } else {
        weight
    }
}

/// The factor that converts rates of saturated backends to relative weights; `None` if fewer than two have
/// been saturated.
fn saturated_rate_scale(backends: &BackendMap, mean_weight: f64) -> Option<f64> {
    let saturated: Vec<_> =
        backends.values().filter(|backend| backend.saturated_rate.windows >= MIN_SATURATED_WINDOWS).collect();
    (saturated.len() > 1).then(|| {
        let weights: f64 = saturated.iter().map(|backend| backend.endpoint.weight / mean_weight).sum();
        let rates = saturated.iter().map(|backend| backend.saturated_rate.per_s).sum::<f64>();
        weights / rates.max(1e-9)
    })
}

/// The capacity, combined with the rate of the backend if that has been saturated.
fn capacity_by_rate(backend: &BackendState, capacity: f64, scale: f64) -> f64 {
    let rate = backend.saturated_rate;
    if rate.windows < MIN_SATURATED_WINDOWS {
        return capacity;
    }
    let confidence = rate.windows / (rate.windows + HALF_CONFIDENCE_WINDOWS);
    capacity.powf(1.0 - confidence) * (rate.per_s * scale).powf(confidence)
}

/// The factor for errors: a backend that fails more than the others responds with errors quickly, and would
/// otherwise be measured as the fastest.
fn error_penalty(backend: &BackendState, mean_error_share: f64) -> f64 {
    let is_outlier = backend.error_share > 0.1 && backend.error_share > 1.5 * mean_error_share;
    if is_outlier { (1.0 - backend.error_share).powi(2) } else { 1.0 }
}
