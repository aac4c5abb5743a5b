//! The active faults of a link, and their combined effect on its bytes.

use crate::plan::{Direction, LinkFault};
use std::time::Duration;

/// The fractional parts of its multiples are spread evenly over 0 to 1 without a period that a protocol could
/// synchronize with.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The id of an injected fault, with which it is ended. Unique within its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaultId(u64);

impl LinkFaultId {
    pub(super) fn next(self) -> Self {
        LinkFaultId(self.0 + 1)
    }
}

/// The faults that are active on a link.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkFaults {
    active: Vec<(LinkFaultId, LinkFault)>,
    /// A counter that is increased whenever open connections must be reset.
    resets: u64,
}

impl LinkFaults {
    pub(super) fn add(&mut self, id: LinkFaultId, fault: LinkFault) {
        self.resets += u64::from(matches!(fault, LinkFault::Reset | LinkFault::Cut));
        if fault != LinkFault::Reset {
            self.active.push((id, fault));
        }
    }

    pub(super) fn remove(&mut self, id: LinkFaultId) {
        // Bytes are missing from its open connections, so they can't continue.
        let is_lossy = |fault: &LinkFault| matches!(fault, LinkFault::Drop(_) | LinkFault::HalfOpen);
        let lost_bytes = self.active.iter().any(|(known, fault)| *known == id && is_lossy(fault));
        self.resets += u64::from(lost_bytes);
        self.active.retain(|(known, _)| *known != id);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// The counter of resets of open connections. A connection is reset once it differs from when it was
    /// opened.
    pub(super) fn resets(&self) -> u64 {
        self.resets
    }

    fn any(&self, is: impl Fn(&LinkFault) -> bool) -> bool {
        self.active.iter().any(|(_, fault)| is(fault))
    }

    fn min(&self, of: impl Fn(&LinkFault) -> Option<u64>) -> Option<u64> {
        self.active.iter().filter_map(|(_, fault)| of(fault)).min()
    }

    pub(super) fn stall(&self, direction: Direction) -> bool {
        self.any(|fault| matches!(fault, LinkFault::Stall(directions) if directions.contain(direction)))
    }

    pub(super) fn drop(&self, direction: Direction) -> bool {
        self.any(|fault| matches!(fault, LinkFault::Drop(directions) if directions.contain(direction)))
    }

    /// The delay of a chunk, by its number in its direction. Deterministic, and spread evenly over the range.
    pub(super) fn delay(&self, chunk_number: u64) -> Duration {
        let fraction = (chunk_number as f64 * GOLDEN_RATIO).fract();
        let delay_of = |fault: &LinkFault| match fault {
            LinkFault::Delay { min, jitter } => *min + jitter.mul_f64(fraction),
            _ => Duration::ZERO,
        };
        self.active.iter().map(|(_, fault)| delay_of(fault)).sum()
    }

    /// The lowest throughput limit, in bytes per second.
    pub(super) fn throttle(&self) -> Option<u64> {
        self.min(|fault| if let LinkFault::Throttle(rate) = fault { Some(*rate) } else { None })
    }

    /// After how many further response bytes a connection is reset, the least of all active faults.
    pub(super) fn cut_after(&self) -> Option<u64> {
        self.min(|fault| if let LinkFault::CutAfter(bytes) = fault { Some(*bytes) } else { None })
    }

    pub(super) fn is_cut(&self) -> bool {
        self.any(|fault| *fault == LinkFault::Cut)
    }

    pub(super) fn is_half_open(&self) -> bool {
        self.any(|fault| *fault == LinkFault::HalfOpen)
    }
}
