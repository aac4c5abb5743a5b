//! The faults that a simulation injects.

/// How a crashed engine's machine treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// It refuses new connections and resets open ones.
    Refusing,
    /// It does not reply, so that connects time out.
    Unresponsive,
}

/// A fault, or a burst of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The rate of a class is higher than normal.
    Burst {
        /// The index of the class.
        class: usize,
        /// The rate as a multiple of the normal rate.
        factor: f64,
    },
    /// Some requests of a class share the same last shared block.
    HotKey {
        /// The index of the class.
        class: usize,
        /// The share of the requests, 0 to 1.
        share: f64,
    },
    /// Some engines crash, and are replaced at the end of the fault.
    Crash {
        /// The share of the engines, 0 to 1.
        share: f64,
        /// How their machines treat connections.
        mode: CrashMode,
    },
    /// Some engines are slower.
    Slow {
        /// The share of the engines, 0 to 1.
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

/// A fault with its time in seconds, from the start of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The start.
    pub start_s: f64,
    /// The duration.
    pub duration_s: f64,
    /// The fault.
    pub fault: Fault,
}

impl ScheduledFault {
    /// Whether it is in effect at a time in ms.
    pub(crate) fn is_active_at(&self, at_ms: f64) -> bool {
        at_ms >= self.start_s * 1e3 && at_ms < (self.start_s + self.duration_s) * 1e3
    }
}
