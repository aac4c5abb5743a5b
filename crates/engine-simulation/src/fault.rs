//! The faults that a simulation injects.

/// How a crashed engine's machine treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// The machine refuses new connections and resets open ones.
    Refusing,
    /// The machine does not reply, so that connects time out.
    Unresponsive,
}

/// A fault, or a burst of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The rate of a class is higher than normal.
    Burst {
        /// The index of the class in the site's list.
        class: usize,
        /// The rate as a multiple of the normal rate.
        factor: f64,
    },
    /// Some requests of a class share the same last shared block.
    HotKey {
        /// The index of the class in the site's list.
        class: usize,
        /// The share of the class's requests, 0 to 1.
        share: f64,
    },
    /// Some engines crash, and are replaced at the end of the fault.
    Crash {
        /// The share of the engines that crash, 0 to 1; at least one does.
        share: f64,
        /// How the machines of crashed engines treat connections.
        mode: CrashMode,
    },
    /// The steps of some engines take longer, until the fault ends.
    Slow {
        /// The share of the engines that are slow, 0 to 1; at least one is.
        share: f64,
        /// The time of a step as a multiple of the normal time.
        factor: f64,
    },
    /// All engines are replaced one by one, as for a release, by new ones with empty caches.
    Release,
}

impl Fault {
    /// The fault as part of the name of a random site. Golden files contain these names, so they keep former
    /// identifiers and the two-letter abbreviation of the state of a crash.
    pub(crate) fn label(&self) -> String {
        match self {
            Fault::Burst { class, factor } => format!("Burst {{ class: {class}, times: {factor:.2} }}"),
            Fault::HotKey { class, share } => format!("HotKey {{ class: {class}, share: {share:.2} }}"),
            Fault::Crash { share, mode } => {
                let dark = match mode {
                    CrashMode::Refusing => "fa",
                    CrashMode::Unresponsive => "tr",
                };
                format!("Crash {{ share: {share:.2}, dark: {dark} }}")
            }
            Fault::Slow { share, factor } => format!("Slow {{ share: {share:.2}, times: {factor:.2} }}"),
            Fault::Release => "Release".into(),
        }
    }
}

/// A fault with its start and its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The start, in seconds since the start of the simulation.
    pub start_s: f64,
    /// The duration in seconds; the replacements of a release are spread over it.
    pub duration_s: f64,
    /// The kind and the extent of the fault.
    pub fault: Fault,
}

impl ScheduledFault {
    /// Whether the fault is in effect at a time in ms since the start of the simulation.
    pub(crate) fn is_active_at(&self, at_ms: f64) -> bool {
        at_ms >= self.start_s * 1e3 && at_ms < (self.start_s + self.duration_s) * 1e3
    }
}
