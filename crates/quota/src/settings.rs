//! Settings of the enforcement of limits, and the time-outs between nodes and the quota leader.

use std::time::Duration;

/// A node has lost contact with the quota leader when this time has passed since it sent the newest request
/// that has a response.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1100);
/// The quota leader starts to account for a node's fallback rate when this time has passed since it received
/// the node's newest acknowledged request. Longer than two requests and a response take. Shorter than
/// [`CONTACT_TIMEOUT`] by the time that a message may take, so that the quota leader never starts later than
/// the node.
pub(crate) const NODE_TIMEOUT: Duration = Duration::from_millis(900);
/// The time for which a node uses its fallback rate after [`CONTACT_TIMEOUT`].
pub(crate) const FALLBACK_DURATION: Duration = Duration::from_secs(10);

/// The tolerance within which all nodes together may exceed a limit. Has to be the same in all processes of a
/// fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The length of the window over which use is counted, in seconds.
    pub window_s: f64,
    /// The tolerated excess as a fraction of what the limit allows in a window.
    pub overuse_ratio: f64,
    /// A further tolerated excess, in tokens. Applies only to limits in tokens.
    pub token_slack: f64,
}
