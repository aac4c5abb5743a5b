//! What happens in a trial, drawn from its seed.

use crate::machines::Signal;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// Which direction of a frontend's links a cut holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Both directions.
    Both,
    /// What the frontend sends.
    FromFrontend,
    /// What the coordinators send.
    ToFrontend,
}

/// The number of signals in a series.
const SERIES_LENGTH: usize = 6;
/// The longest pause after a signal of a series, in ms: also the time in which an ended process is started again.
const MAX_SERIES_PAUSE_MS: u64 = 450;

/// A signal and the pause after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignalStep {
    /// The signal.
    pub signal: Signal,
    /// The pause after it.
    pub pause: Duration,
}

/// Signals that follow one another shortly. None of them is left paused.
pub type SignalSeries = [SignalStep; SERIES_LENGTH];

/// A disruption of a frontend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendDisruption {
    /// SIGKILL of both processes.
    Kill,
    /// SIGKILL of the agent.
    KillAgent,
    /// SIGKILL of the data plane.
    KillDataPlane,
    /// SIGTERM of both processes.
    Terminate,
    /// SIGTERM of the agent.
    TerminateAgent,
    /// SIGHUP of both processes.
    Reload,
    /// Settings that can't be read, with SIGHUP, for a while.
    InvalidSettings(Duration),
    /// Signals that follow one another shortly, to both processes.
    Signals(SignalSeries),
    /// SIGSTOP of both processes for a while.
    Pause(Duration),
    /// All links to coordinators are reset once.
    ResetLinks,
    /// All links to coordinators hold bytes back for a while.
    Stall(Duration, CutDirection),
    /// All links to coordinators refuse connections for a while.
    Cut(Duration),
    /// All links to coordinators deliver late for a while.
    Delay(Duration, Duration),
}

/// A disruption of one coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorDisruption {
    /// SIGKILL; it is started again.
    Kill,
    /// SIGTERM; it is started again.
    Terminate,
    /// SIGSTOP for a while.
    Pause(Duration),
    /// The links to the other coordinators hold bytes back for a while.
    Cut(Duration),
    /// The links to the other coordinators are reset once.
    ResetLinks,
    /// Settings that can't be read, with SIGHUP, for a while.
    InvalidSettings(Duration),
    /// Signals that follow one another shortly.
    Signals(SignalSeries),
    /// SIGKILL; it is started again with an empty disk.
    Wipe,
    /// SIGKILL for good; a second later another one joins at a new address, with an empty disk.
    Replace,
    /// Another one joins at a new address, with an empty disk, and then it gets SIGTERM for good.
    ReplaceGracefully,
}

/// A disruption of the whole core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreDisruption {
    /// SIGKILL of all coordinators, which are started again after this time.
    KillAll(Duration),
    /// SIGTERM of all coordinators, one after the other.
    TerminateInTurn(Duration),
    /// All coordinators are replaced one after the other while a frontend is cut off.
    ReplaceAllDuringCut,
    /// All coordinators are replaced one after the other while a frontend is stopped.
    ReplaceAllDuringPause,
}

/// A disruption, with the machine that it hits where there is a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Of the frontend with this number.
    Frontend(usize, FrontendDisruption),
    /// Of a coordinator, by its position among those that were not removed.
    Coordinator(usize, CoordinatorDisruption),
    /// Of the core; the frontend with this number is the one that is cut off or stopped.
    Core(usize, CoreDisruption),
}

/// What ends a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// Nothing.
    None,
    /// All machines lose their processes at the same moment, right after an acknowledgement.
    KillAll,
    /// One coordinator loses its disk right after an acknowledgement, and all other machines lose their
    /// processes at the same moment, frontends as well.
    WipeOneAndKillAll,
}

/// Disruptions that begin shortly after one another, and the pause before the next ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The disruptions, each with the pause after its start.
    pub disruptions: Vec<(Disruption, Duration)>,
    /// The pause after the wave.
    pub pause: Duration,
}

/// Draws the next wave.
pub fn draw_wave(random: &mut impl Rng, frontends: usize) -> Wave {
    let count = random.random_range(1..=6);
    let gaps = [10, 100, 400, 1500].map(Duration::from_millis);
    let pauses = [300, 1500, 4500, 8000].map(Duration::from_millis);
    let gap = |random: &mut _| gaps.choose(random).copied().unwrap_or_default();
    let disruptions = (0..count).map(|_| (draw(random, frontends), gap(random))).collect();
    Wave { disruptions, pause: pauses.choose(random).copied().unwrap_or_default() }
}

/// Draws what ends a trial.
pub fn draw_final_fault(random: &mut impl Rng) -> FinalFault {
    let all = [FinalFault::None, FinalFault::KillAll, FinalFault::WipeOneAndKillAll];
    all.choose(random).copied().unwrap_or(FinalFault::None)
}

fn draw(random: &mut impl Rng, frontends: usize) -> Disruption {
    let frontend = random.random_range(0..frontends.max(1));
    match random.random_range(0..20) {
        0..11 => Disruption::Frontend(frontend, draw_frontend_disruption(random)),
        11..17 => Disruption::Coordinator(random.random_range(0..3), draw_coordinator_disruption(random)),
        _ => Disruption::Core(frontend, draw_core_disruption(random)),
    }
}

fn span(random: &mut impl Rng, longest_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(300..longest_ms))
}

/// Mostly reloads, which must end nothing, among signals that end, pause and resume.
fn draw_signals(random: &mut impl Rng) -> SignalSeries {
    let signals = [
        Signal::Reload,
        Signal::Reload,
        Signal::Reload,
        Signal::Terminate,
        Signal::Terminate,
        Signal::Kill,
        Signal::Pause,
        Signal::Resume,
    ];
    std::array::from_fn(|_| SignalStep {
        signal: signals.choose(random).copied().unwrap_or(Signal::Reload),
        pause: Duration::from_millis(random.random_range(0..MAX_SERIES_PAUSE_MS)),
    })
}

fn draw_frontend_disruption(random: &mut impl Rng) -> FrontendDisruption {
    let directions = [CutDirection::Both, CutDirection::FromFrontend, CutDirection::ToFrontend];
    let direction = directions.choose(random).copied().unwrap_or(CutDirection::Both);
    match random.random_range(0..14) {
        0 => FrontendDisruption::Kill,
        1 => FrontendDisruption::KillAgent,
        2 => FrontendDisruption::KillDataPlane,
        3 => FrontendDisruption::Terminate,
        4 => FrontendDisruption::TerminateAgent,
        5 => FrontendDisruption::Reload,
        6 => FrontendDisruption::Pause(span(random, 6000)),
        7 => FrontendDisruption::ResetLinks,
        8 => FrontendDisruption::Stall(span(random, 6000), direction),
        9 => FrontendDisruption::Cut(span(random, 6000)),
        10 | 11 => FrontendDisruption::Signals(draw_signals(random)),
        12 => FrontendDisruption::InvalidSettings(span(random, 2500)),
        _ => FrontendDisruption::Delay(
            span(random, 10_000),
            Duration::from_millis(random.random_range(5..120)),
        ),
    }
}

fn draw_coordinator_disruption(random: &mut impl Rng) -> CoordinatorDisruption {
    match random.random_range(0..11) {
        0 => CoordinatorDisruption::Kill,
        1 => CoordinatorDisruption::Terminate,
        2 => CoordinatorDisruption::Pause(span(random, 5000)),
        3 => CoordinatorDisruption::Cut(span(random, 5000)),
        4 => CoordinatorDisruption::ResetLinks,
        5 => CoordinatorDisruption::Wipe,
        6 => CoordinatorDisruption::Replace,
        7 | 8 => CoordinatorDisruption::Signals(draw_signals(random)),
        9 => CoordinatorDisruption::InvalidSettings(span(random, 2500)),
        _ => CoordinatorDisruption::ReplaceGracefully,
    }
}

fn draw_core_disruption(random: &mut impl Rng) -> CoreDisruption {
    match random.random_range(0..5) {
        0 => CoreDisruption::KillAll(span(random, 2500)),
        1 => CoreDisruption::TerminateInTurn(span(random, 3000)),
        2 | 3 => CoreDisruption::ReplaceAllDuringCut,
        _ => CoreDisruption::ReplaceAllDuringPause,
    }
}
