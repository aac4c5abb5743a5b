//! The plan of a trial: a fleet, its traffic, the faults, and the limits that the checkers apply. Data only;
//! parsed by [`plan_reader`](crate::plan_reader) and executed by [`run`](crate::run).

use crate::history::{Bounds, Idempotency};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::time::Duration;
use test_servers::backend_model::{ColdStart, ServiceTime};

/// The kind of configuration that nodes are started from.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeKind {
    /// The text of an operator's file. Its listeners and backends are replaced for the trial.
    File(String),
    /// The platform's configuration; the list of backends comes from discovery.
    Platform,
}

/// The backends of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendGroup {
    /// The number of backends. Their names are `box-1`, `box-2` and so on.
    pub count: usize,
    /// Their sites, assigned round-robin.
    pub sites: Vec<String>,
    /// The number of requests that a backend executes concurrently.
    pub cores: u32,
    /// The execution time of a request.
    pub service_time: ServiceTime,
    /// How they warm up after a start; `None` if they have full capacity at once.
    pub cold_start: Option<ColdStart>,
    /// How long they remember an idempotency key.
    pub deduplication_window: Duration,
}

/// Open-loop clients that send requests of one class: the send times do not depend on responses.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientGroup {
    /// The class, as recorded in the history.
    pub class: String,
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// The HTTP method.
    pub method: String,
    /// The path; `{n}` is replaced by the number of the request.
    pub path: String,
    /// Additional header fields, as name and value.
    pub headers: Vec<(String, String)>,
    /// Requests per second, in total over all nodes.
    pub requests_per_s: f64,
    /// How long they wait for a response.
    pub timeout: Duration,
    /// The number of retries, each through the next node: of every request after a rejection or a failed
    /// connect, and of idempotent requests after any failure.
    pub max_retries: u32,
}

/// A range of durations from which one is drawn uniformly; fixed if both ends are equal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DurationRange {
    /// The shortest duration.
    pub min: Duration,
    /// The longest duration.
    pub max: Duration,
}

impl DurationRange {
    /// A fixed duration.
    pub const fn fixed(duration: Duration) -> Self {
        DurationRange { min: duration, max: duration }
    }

    fn draw(self, rng: &mut impl Rng) -> Duration {
        if self.min >= self.max { self.min } else { rng.random_range(self.min..=self.max) }
    }
}

/// What begins a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTrigger {
    /// A time after the start of traffic.
    At(DurationRange),
    /// Clients have sent this number of attempts to a node.
    AfterRequests {
        /// The node's name.
        node: String,
        /// The number of attempts.
        count: u64,
    },
    /// A time after the start of another fault.
    AfterFault {
        /// The other fault's index in the plan.
        fault: usize,
        /// The time after its start.
        delay: DurationRange,
    },
}

/// What a fault applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Participant {
    /// The node or backend of this name.
    Named(String),
    /// A node that is drawn at random.
    AnyNode,
    /// A backend that is drawn at random.
    AnyBackend,
    /// All clients.
    Clients,
    /// The discovery service.
    Discovery,
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the connection.
    Request,
    /// Towards the side that opened the connection.
    Response,
}

/// The directions of a link that a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directions {
    /// One direction.
    Only(Direction),
    /// Both directions.
    Both,
}

impl Directions {
    /// Whether the fault applies to this direction.
    pub fn contain(self, direction: Direction) -> bool {
        match self {
            Directions::Only(only) => only == direction,
            Directions::Both => true,
        }
    }
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are held back until the fault ends, then delivered. Connections stay open.
    Stall(Directions),
    /// Bytes are dropped. Connections are reset when the fault ends.
    Drop(Directions),
    /// Bytes are delayed.
    Delay {
        /// The shortest delay.
        min: Duration,
        /// The difference between the longest and the shortest delay.
        jitter: Duration,
    },
    /// The throughput of each direction of a connection is limited to this number of bytes per second.
    Throttle(u64),
    /// Open connections are reset once; bytes in flight are lost.
    Reset,
    /// Open connections are reset, and new ones are refused until the fault ends.
    Cut,
    /// New connections are accepted but not forwarded, and reset when the fault ends. Open connections are
    /// not affected until then.
    HalfOpen,
    /// Each connection is reset after this number of further response bytes.
    CutAfter(u64),
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Kills a node (SIGKILL). With a duration, the node is restarted from its files after it.
    Kill,
    /// Terminates a node (SIGTERM), and restarts it once it has exited.
    Restart,
    /// Pauses a node (SIGSTOP), and resumes it (SIGCONT) when the fault ends.
    Pause,
    /// Applies a fault to the links from each target to each participant of `to`.
    DisturbLinks {
        /// The participants that accept the connections of the links.
        to: Vec<Participant>,
        /// The fault of the links.
        fault: LinkFault,
    },
    /// Notifies a node that these backends drain. With a duration, it is notified after it that they are in
    /// service again.
    Drain(Vec<Participant>),
    /// Stops a backend, and restarts it cold when the fault ends.
    StopBackend,
}

/// A fault of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it starts.
    pub trigger: FaultTrigger,
    /// What it does.
    pub action: FaultAction,
    /// The participants it applies to, all at the same time; for a link, the side that connects.
    pub targets: Vec<Participant>,
    /// How long it lasts; `None` until traffic ends.
    pub duration: Option<DurationRange>,
    /// The period over which links recover one after another; zero if all recover at once.
    pub recovery_time: Duration,
}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What it tests, in one line.
    pub about: String,
    /// The number of nodes. Their names are `node-1`, `node-2` and so on.
    pub nodes: usize,
    /// The kind of configuration that they are started from.
    pub node_kind: NodeKind,
    /// The backends.
    pub backends: BackendGroup,
    /// The clients.
    pub clients: Vec<ClientGroup>,
    /// How long traffic lasts.
    pub traffic_duration: Duration,
    /// The faults.
    pub faults: Vec<Fault>,
    /// How many of the faults are drawn at random for a run; `None` for all.
    pub sampled_faults: Option<usize>,
    /// The limits that the checkers apply.
    pub bounds: Bounds,
}

impl Plan {
    /// The names of its nodes.
    pub fn node_names(&self) -> Vec<String> {
        (1..=self.nodes).map(|number| format!("node-{number}")).collect()
    }

    /// The name and the site of each backend.
    pub fn backend_names(&self) -> Vec<(String, String)> {
        let sites = self.backends.sites.iter().cycle();
        (1..=self.backends.count).zip(sites).map(|(n, site)| (format!("box-{n}"), site.clone())).collect()
    }

    /// The plan with all random choices made. The result depends only on the plan and the seed.
    pub fn draw(&self, seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 64 | 0x7219_a1b5);
        let mut plan = self.clone();
        if let Some(count) = self.sampled_faults {
            let mut sampled: Vec<usize> = (0..plan.faults.len()).collect();
            while sampled.len() > count {
                sampled.remove(rng.random_range(0..sampled.len()));
            }
            plan.faults = sampled.into_iter().map(|index| self.faults[index].clone()).collect();
            plan.sampled_faults = None;
        }
        for fault in &mut plan.faults {
            match &mut fault.trigger {
                FaultTrigger::At(range) | FaultTrigger::AfterFault { delay: range, .. } => {
                    *range = DurationRange::fixed(range.draw(&mut rng));
                }
                FaultTrigger::AfterRequests { .. } => {}
            }
            if let Some(range) = &mut fault.duration {
                *range = DurationRange::fixed(range.draw(&mut rng));
            }
            self.draw_names(&mut fault.targets, &mut rng);
            if let FaultAction::DisturbLinks { to, .. } | FaultAction::Drain(to) = &mut fault.action {
                self.draw_names(to, &mut rng);
            }
        }
        plan
    }

    /// Replaces `AnyNode` and `AnyBackend` by names, and removes duplicates.
    fn draw_names(&self, participants: &mut Vec<Participant>, rng: &mut Pcg64Mcg) {
        for participant in participants.iter_mut() {
            let name = match participant {
                Participant::AnyNode => format!("node-{}", rng.random_range(1..=self.nodes)),
                Participant::AnyBackend => format!("box-{}", rng.random_range(1..=self.backends.count)),
                _ => continue,
            };
            *participant = Participant::Named(name);
        }
        participants.sort();
        participants.dedup();
    }
}

// The following texts are stored in histories as descriptions of faults, and shown in lists of faults: they
// are stable.

impl fmt::Display for Participant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Participant::Named(name) => name,
            Participant::AnyNode => "any node",
            Participant::AnyBackend => "any box",
            Participant::Clients => "clients",
            Participant::Discovery => "discovery",
        })
    }
}

impl fmt::Display for DurationRange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Span({:?}, {:?})", self.min, self.max)
    }
}

impl fmt::Display for FaultTrigger {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FaultTrigger::At(range) => write!(f, "At({range})"),
            FaultTrigger::AfterRequests { node, count } => write!(f, "Taken({node:?}, {count})"),
            FaultTrigger::AfterFault { fault, delay } => write!(f, "After({fault}, {delay})"),
        }
    }
}

impl fmt::Display for Directions {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Directions::Only(Direction::Request) => "There",
            Directions::Only(Direction::Response) => "Back",
            Directions::Both => "Both",
        })
    }
}

impl fmt::Display for LinkFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LinkFault::Stall(directions) => write!(f, "Hold({directions})"),
            LinkFault::Drop(directions) => write!(f, "Lose({directions})"),
            LinkFault::Delay { min, jitter } => write!(f, "Delay({min:?}, {jitter:?})"),
            LinkFault::Throttle(bytes_per_s) => write!(f, "Slow({bytes_per_s})"),
            LinkFault::Reset => f.write_str("Reset"),
            LinkFault::Cut => f.write_str("Cut"),
            LinkFault::HalfOpen => f.write_str("HalfOpen"),
            LinkFault::CutAfter(bytes) => write!(f, "CutAfter({bytes})"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let join =
            |all: &[Participant]| all.iter().map(Participant::to_string).collect::<Vec<_>>().join(", ");
        let targets = join(&self.targets);
        match &self.action {
            FaultAction::Kill => write!(f, "{targets} killed"),
            FaultAction::Restart => write!(f, "{targets} restarted"),
            FaultAction::Pause => write!(f, "{targets} stopped"),
            FaultAction::StopBackend => write!(f, "{targets} gone"),
            FaultAction::Drain(backends) => write!(f, "{targets} told that {} drains", join(backends)),
            FaultAction::DisturbLinks { to, fault } => write!(f, "{targets} to {}: {fault}", join(to)),
        }?;
        match self.duration {
            Some(DurationRange { min, max }) if min == max => write!(f, " for {min:?}"),
            Some(DurationRange { min, max }) => write!(f, " for {min:?} to {max:?}"),
            None => Ok(()),
        }
    }
}
