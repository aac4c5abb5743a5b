//! The state of a member's disk, as the members report it to each other.

/// Whether a disk is of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskHealth {
    Healthy,
    /// It completes writes, each much later than usual disks do.
    Slow,
    /// It hangs or rejects writes.
    Failed,
}
