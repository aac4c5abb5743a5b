//! Immediate rejection of requests where every backend is known to be full.

use crate::backend::Backend;
use crate::interface::Load;
use rand::Rng;
use std::time::Duration;

/// How long a backend counts as full after it rejected a request: about the time in which it takes the next
/// request off its queue.
const FULL_DURATION: Duration = Duration::from_millis(200);
/// The shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Records that a backend rejected a request. Has no effect if the backend reports free slots at the same
/// time, as it then rejected the request for another reason.
pub fn record_rejection(backend: &mut Backend, now: Duration) {
    let has_free_slots = |load: Load| load.waiting == 0 && load.running < load.slots;
    if backend.reported_load.is_some_and(|report| report.received_at == now && has_free_slots(report.load)) {
        return;
    }
    backend.full_until = now + FULL_DURATION;
    let Some(waiting) =
        backend.reported_load.map(|report| report.load.waiting).filter(|waiting| *waiting > 0)
    else {
        return;
    };
    let full_queue_length = backend.full_queue_length.map_or(waiting, |length| length.min(waiting));
    backend.full_queue_length = Some(full_queue_length);
}

/// Whether a backend's queue is full: the backend rejected a request recently, or a recent load shows a queue
/// at least as long as the shortest one at which it rejected a request.
pub fn is_full(backend: &Backend, now: Duration) -> bool {
    if now < backend.full_until {
        return true;
    }
    let (Some(full_queue_length), Some(report)) = (backend.full_queue_length, backend.reported_load) else {
        return false;
    };
    now.saturating_sub(report.received_at) <= FULL_DURATION && report.load.waiting >= full_queue_length
}

/// The `Retry-After` of a rejection: the latency target times a random factor from 0.5 to 1.5, so that
/// clients do not all return at once.
pub fn retry_after(latency_target: Duration, random: &mut impl Rng) -> Duration {
    let jitter = random.random_range(0.5..1.5);
    latency_target.mul_f64(jitter).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
