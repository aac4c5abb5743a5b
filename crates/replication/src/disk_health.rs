//! The health of a member's disk, as members report it to each other.

/// The state of a member's disk, judged by how long its writes take and whether they fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskHealth {
    Healthy,
    /// Writes complete, but take much longer than usual.
    Slow,
    /// Writes do not complete in time or are rejected.
    Failed,
}
