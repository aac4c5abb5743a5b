//! What the processes of a trial have used at most.

use crate::deploy_file::Role;
use fault_injection::history::ResourceUsage;
use std::collections::BTreeMap;
use std::fmt;

/// The memory that a process of a trial may use, in MB: the setting `memory_mb`.
pub const MEMORY_MB: u64 = 256;
/// The descriptors that a process of a trial may have open: the setting `max_fds`.
pub const MAX_DESCRIPTORS: u64 = 1024;

/// The largest use of each role, over all its processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourcePeaks {
    peaks: BTreeMap<Role, ResourceUsage>,
}

impl ResourcePeaks {
    /// Adds a measurement of a process.
    pub fn add(&mut self, role: Role, usage: &ResourceUsage) {
        let peak = self.peaks.entry(role).or_insert(*usage);
        peak.memory_kib = usage.memory_kib.max(peak.memory_kib);
        peak.descriptors = usage.descriptors.max(peak.descriptors);
    }

    /// Whether all processes stayed within the settings.
    pub fn are_within_limits(&self) -> bool {
        let is_within =
            |peak: &ResourceUsage| peak.memory_kib <= MEMORY_MB << 10 && peak.descriptors <= MAX_DESCRIPTORS;
        self.peaks.values().all(is_within)
    }
}

impl fmt::Display for ResourcePeaks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (role, peak)) in self.peaks.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            let ResourceUsage { memory_kib, descriptors, .. } = peak;
            write!(formatter, "{separator}{} {memory_kib} KiB, {descriptors} descriptors", role.name())?;
        }
        Ok(())
    }
}
