//! How many requests one box may hold, learnt from its answers. Knows nothing of other boxes, tenants or queues.
//!
//! Latency is measured against each class's own usual figure, so that 2 ms and 900 ms under one limit say the same of the
//! box. What waits in the box is reckoned from that (as TCP Vegas does), and the limit kept where a little waits: the box
//! is never idle and never crowded. A limit that is lowered for latency is a trial: the rate is measured before and after.
//! If it falls with the limit, the latency was not the load's doing (a slow database, or answers that were quicker than
//! usual at the start), and the limit goes back up with the new latency as the usual one.

use std::collections::VecDeque;
use std::time::Duration;

/// Answers that a window wants before it says something: fewer are noise.
const SAMPLES: f64 = 32.0;
/// So many answers of a class make its first usual figure.
const FIRST: u32 = 8;
/// The shortest and the longest window.
const SHORTEST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(1);
/// Latency up to this multiple of the usual is no sign of waiting: service times vary.
const TOLERANCE: f64 = 1.3;
/// Of what the box holds, so much may wait in it: grow below the first, shrink above the second.
const GROW_BELOW: (f64, f64) = (3.0, 0.15);
const SHRINK_ABOVE: (f64, f64) = (6.0, 0.35);
/// The usual latency follows lower figures fast, and higher ones slowly and only while little waits.
const FALL: f64 = 0.2;
const RISE: f64 = 0.02;
/// What a trial lowers the limit to: as little as shows, where latency says that the box is crowded; more where it is to be
/// found out from which limit on it is.
const CUT: f64 = 0.7;
const DEEP_CUT: f64 = 0.5;
/// What a trial raises it to. A box of which little is known is tried with more first, which serves whoever waits.
const RAISE: f64 = 2.0;
/// Answers, or seconds, that a rate is measured over: fewer say nothing of a difference by a sixth, or by a third.
const ENOUGH: (f64, f64) = (96.0, 3.0);
const DEEP_ENOUGH: (f64, f64) = (48.0, 1.5);
/// After so many windows in full use the limit is tried again, whatever latency says: the usual may have been learnt from a
/// box that was crowded all the time.
const TRY_AGAIN: u32 = 300;
/// So does one that has grown to twice what was tried last, and this many more.
const GROWN: f64 = 16.0;
/// Where several nodes share boxes, all try at the start of each such span of the clock: they measure, halve their limits
/// at the first time, measure again from the second on and judge at the third. Clocks may be a few tenths of a second apart.
const SLOT: Duration = Duration::from_secs(16);
const CUT_AT: Duration = Duration::from_millis(1500);
const SETTLED_AT: Duration = Duration::from_millis(2200);
const TOLD_AT: Duration = Duration::from_millis(3700);
/// For so many windows after it turned out that load was not the cause, the limit is not lowered for latency.
const CALM: u32 = 20;
/// Changes that are kept, with their evidence.
const KEPT: usize = 16;

/// What a limit may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Where it starts.
    pub start: f64,
    /// Never below.
    pub least: f64,
    /// Never above.
    pub most: f64,
    /// Whether it moves at all.
    pub adapts: bool,
    /// How many nodes use the box, this one included. What one of them leaves the others take, so that a trial of one says
    /// nothing: all make theirs at the same times of the clock, without a word between them.
    pub nodes: f64,
}

/// What the end of an attempt says of its box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// An answer.
    Served,
    /// The box turned it away unseen: it says itself that it holds too much.
    Refused,
    /// No answer in its time.
    Late,
    /// No connection, or one that broke.
    Failed,
    /// Nothing of load: an error's time is not that of the work.
    Other,
}

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All of it was in use and little waited in the box.
    Room,
    /// More waited in the box than it needs.
    Waiting,
    /// The box turned requests away.
    Refused,
    /// Answers did not come in time.
    Late,
    /// Connections failed or broke.
    Failed,
    /// The rate fell with the limit: the latency is not the load's doing.
    NotLoad,
}

/// A change of a limit and its evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// When.
    pub at: Duration,
    /// From what.
    pub from: f64,
    /// To what.
    pub to: f64,
    /// Why.
    pub cause: Cause,
    /// Latency in multiples of the usual, in the window that says so.
    pub ratio: f64,
    /// Answers a second in it.
    pub rate: f64,
}

/// A class's usual latency at this box, in seconds; 0 while unknown. And what the window has of it.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    seconds: f64,
    count: u32,
    sum: f64,
    /// What it was reckoned with before an answer came, until it has one of its own.
    seen: u32,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    since: Duration,
    served: u32,
    refused: u32,
    late: u32,
    failed: u32,
    elapsed: f64,
    /// The usual latencies of what was served: the work done, and how evenly it is spread over answers.
    usual: f64,
    squares: f64,
    peak: u32,
    /// What was held, summed over ends: its mean is what an end found.
    held: f64,
}

impl Window {
    fn new(since: Duration, out: u32) -> Self {
        Window {
            since,
            served: 0,
            refused: 0,
            late: 0,
            failed: 0,
            elapsed: 0.0,
            usual: 0.0,
            squares: 0.0,
            peak: out,
            held: 0.0,
        }
    }
    /// So many answers of one kind would say as much: of 100 looks and two corrections it is the two that tell.
    fn telling(&self) -> f64 {
        self.usual * self.usual / self.squares.max(1e-18)
    }
    fn ends(&self) -> u32 {
        self.served + self.refused + self.late + self.failed
    }
}

/// Work done over a time.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    work: f64,
    squares: f64,
    seconds: f64,
}

impl Measured {
    fn add(&mut self, window: &Window, seconds: f64) {
        self.work += window.usual;
        self.squares += window.squares;
        self.seconds += seconds;
    }
    fn is_enough(&self, (telling, seconds): (f64, f64)) -> bool {
        self.work * self.work >= telling * self.squares.max(1e-18) || self.seconds >= seconds
    }
    fn rate(&self) -> f64 {
        self.work / self.seconds.max(1e-3)
    }
}

/// A trial of whether the limit has to do with the latency.
#[derive(Clone, Copy, Debug)]
enum Trial {
    /// None is under way.
    None,
    /// The rate under the limit as it is, before it is lowered.
    Before { deep: bool, measured: Measured },
    /// What was sent under the limit before goes out of the figures.
    Settling(Step),
    /// The rate under the other limit.
    After(Step, Measured),
}

/// A step of a trial: from which limit and rate, by which factor.
#[derive(Clone, Copy, Debug)]
struct Step {
    first: f64,
    rate: f64,
    by: f64,
}

impl Step {
    fn enough(&self) -> (f64, f64) {
        if self.by == CUT { ENOUGH } else { DEEP_ENOUGH }
    }
    /// Whether the rate has followed the limit: it has passed the middle, by ratio, between not at all and as far.
    fn follows(&self, rate: f64) -> bool {
        let middle = self.rate * self.by.sqrt();
        if self.by > 1.0 { rate > middle } else { rate < middle }
    }
}

/// A box's limit.
#[derive(Debug)]
pub struct BoxLimit {
    bounds: Bounds,
    limit: f64,
    out: u32,
    classes: Vec<Usual>,
    window: Window,
    /// Whether it has ever been lowered: until then it grows fast.
    lowered: bool,
    trial: Trial,
    calm: u32,
    /// Windows in full use since the last trial, and the limit at its end.
    untried: u32,
    tried_at: f64,
    changes: VecDeque<Change>,
}

impl BoxLimit {
    /// A box of which nothing is known yet.
    pub fn new(bounds: Bounds, now: Duration) -> Self {
        BoxLimit {
            bounds,
            limit: bounds.start.clamp(bounds.least, bounds.most),
            out: 0,
            classes: Vec::new(),
            window: Window::new(now, 0),
            lowered: false,
            trial: Trial::None,
            calm: 0,
            untried: 0,
            tried_at: bounds.start,
            changes: VecDeque::new(),
        }
    }

    /// Other bounds from now on; what has been learnt stays within them.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        let fixed = !bounds.adapts || !self.bounds.adapts && bounds != self.bounds;
        let limit = if fixed { bounds.start } else { self.limit };
        (self.limit, self.bounds) = (limit.clamp(bounds.least, bounds.most), bounds);
    }

    /// The most that the box may hold.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// What it holds.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// The usual latency of a class, in seconds, once there has been an answer.
    pub fn usual(&self, class: usize) -> Option<f64> {
        self.classes.get(class).filter(|usual| usual.seen > 0).map(|usual| usual.seconds)
    }

    /// How many answers of a class there have been.
    pub fn seen(&self, class: usize) -> u32 {
        self.classes.get(class).map_or(0, |usual| usual.seen)
    }

    /// The highest number of a class that has been seen.
    pub fn most_classes(&self) -> Option<usize> {
        self.classes.len().checked_sub(1)
    }

    /// The last changes, the oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// One more is out.
    pub fn sent(&mut self, now: Duration) {
        // The time without any says nothing of the box's rate.
        if self.out == 0 && self.window.ends() == 0 {
            self.window.since = now;
        }
        self.out += 1;
        self.window.peak = self.window.peak.max(self.out);
    }

    /// One has ended. Says whether the limit has changed.
    pub fn ended(&mut self, now: Duration, class: usize, sign: Sign, elapsed: Duration) -> bool {
        self.window.held += f64::from(self.out);
        self.out = self.out.saturating_sub(1);
        match sign {
            Sign::Served => {
                if self.classes.len() <= class {
                    self.classes.resize(class + 1, Usual::default());
                }
                let usual = &mut self.classes[class];
                let seconds = elapsed.as_secs_f64();
                usual.seen = usual.seen.saturating_add(1);
                // One alone may be far off the mean.
                if usual.seen <= FIRST {
                    usual.seconds += (seconds.max(1e-6) - usual.seconds) / f64::from(usual.seen);
                }
                (usual.count, usual.sum) = (usual.count + 1, usual.sum + seconds);
                self.window.served += 1;
                self.window.elapsed += seconds;
                self.window.usual += usual.seconds;
                self.window.squares += usual.seconds * usual.seconds;
            }
            Sign::Refused => self.window.refused += 1,
            Sign::Late => self.window.late += 1,
            Sign::Failed => self.window.failed += 1,
            Sign::Other => {}
        }
        let age = now.saturating_sub(self.window.since);
        let telling = self.window.telling() + f64::from(self.window.ends() - self.window.served);
        let enough = telling >= SAMPLES && age >= SHORTEST;
        // A box that fails is not waited for until it has failed so often.
        let fails = self.window.failed >= 4 && self.window.served == 0;
        if enough || fails || self.window.ends() > 0 && age >= LONGEST {
            return self.close(now, age);
        }
        false
    }

    /// What a window says.
    fn close(&mut self, now: Duration, age: Duration) -> bool {
        let window = std::mem::replace(&mut self.window, Window::new(now, self.out));
        let ratio = if window.usual > 0.0 { window.elapsed / window.usual } else { 1.0 };
        let rate = f64::from(window.served) / age.as_secs_f64().max(1e-3);
        for usual in self.classes.iter_mut().filter(|usual| usual.count > 0) {
            let mean = usual.sum / f64::from(usual.count);
            let sure = f64::from(usual.count) / (f64::from(usual.count) + 8.0);
            // What is slow while much waits says nothing of the usual, and a trial is measured by one yardstick.
            let step = match mean < usual.seconds {
                _ if !matches!(self.trial, Trial::None) => 0.0,
                true => FALL,
                false if ratio < TOLERANCE => RISE,
                false => 0.0,
            };
            usual.seconds += (mean - usual.seconds) * step * sure;
            (usual.count, usual.sum) = (0, 0.0);
        }
        let (limit, ends) = (self.limit, window.ends());
        self.calm = self.calm.saturating_sub(1);
        let binds = f64::from(window.peak) >= (limit * 0.9).floor();
        let held = window.held / f64::from(ends.max(1));
        let waits = held * (1.0 - TOLERANCE / ratio.max(TOLERANCE));
        let part = |(least, share): (f64, f64)| f64::max(least / self.bounds.nodes, share * held);
        let mut move_to = |to: f64, cause: Cause| {
            let to = to.clamp(self.bounds.least, self.bounds.most);
            if !self.bounds.adapts || (to - limit).abs() < 1e-9 && cause != Cause::NotLoad {
                return false;
            }
            self.limit = to;
            if self.changes.len() == KEPT {
                self.changes.pop_front();
            }
            self.changes.push_back(Change { at: now, from: limit, to, cause, ratio, rate });
            true
        };
        if window.failed * 2 > ends {
            self.trial = Trial::None;
            return move_to(limit.min(f64::from(window.peak)) / 2.0, Cause::Failed);
        }
        if window.refused * 50 > ends {
            (self.lowered, self.trial) = (true, Trial::None);
            return move_to(limit.min(f64::from(window.peak)) * 0.85, Cause::Refused);
        }
        if window.late * 5 > ends && self.calm == 0 {
            (self.lowered, self.trial) = (true, Trial::None);
            return move_to(limit * 0.8, Cause::Late);
        }
        // Whether it was the limit that held the rate, and not what came: only then does the rate say something of it.
        let full = binds && held >= 0.8 * limit;
        if !full {
            self.trial = Trial::None;
            let grows = binds && waits < part(GROW_BELOW) && window.served > 0;
            return grows && move_to(limit + (limit / 16.0).max(1.0), Cause::Room);
        }
        if self.bounds.nodes > 1.0 {
            let phase = Duration::from_nanos((now.as_nanos() % SLOT.as_nanos()) as u64);
            let seconds = age.as_secs_f64();
            match self.trial {
                Trial::Before { mut measured, .. } => {
                    measured.add(&window, seconds);
                    self.trial = Trial::Before { deep: true, measured };
                    if phase < CUT_AT {
                        return false;
                    }
                    let step = Step { first: limit, rate: measured.rate(), by: DEEP_CUT };
                    let tells = measured.is_enough((DEEP_ENOUGH.0 / 2.0, f64::MAX)) && phase < SETTLED_AT;
                    self.trial = if tells { Trial::Settling(step) } else { Trial::None };
                    return tells && move_to(limit * DEEP_CUT, Cause::Waiting);
                }
                Trial::Settling(step) => {
                    if phase >= SETTLED_AT {
                        self.trial = Trial::After(step, Measured::default());
                    }
                    return false;
                }
                Trial::After(step, mut measured) => {
                    measured.add(&window, seconds);
                    self.trial = Trial::After(step, measured);
                    if (SETTLED_AT..TOLD_AT).contains(&phase) {
                        return false;
                    }
                    (self.trial, self.lowered) = (Trial::None, true);
                    // At half the limit little waits: what it took is the usual, or nearer to it than what was.
                    let to = if step.follows(measured.rate()) { ratio } else { ratio.min(1.0) };
                    self.classes.iter_mut().for_each(|usual| usual.seconds *= to);
                    self.tried_at = if step.follows(measured.rate()) { step.first } else { limit };
                    return move_to(self.tried_at, Cause::Room);
                }
                Trial::None if phase < CUT_AT && limit > self.bounds.least => {
                    self.trial = Trial::Before { deep: true, measured: Measured::default() };
                    return false;
                }
                Trial::None => {}
            }
            if waits > part(SHRINK_ABOVE) {
                self.lowered = true;
                let least = limit - (waits - part(GROW_BELOW)) / 2.0;
                return move_to(least.max(limit * 0.85).max(self.bounds.start).min(limit), Cause::Waiting);
            }
            // No further than twice what was tried: the usual may be that of a crowded box.
            if waits < part(GROW_BELOW) && window.served > 0 && limit < 2.0 * self.tried_at {
                let step = if self.lowered { 1.0 / 16.0 } else { 1.0 / 4.0 };
                return move_to(limit + (limit * step).max(1.0), Cause::Room);
            }
            return false;
        }
        let crowded = waits > part(SHRINK_ABOVE) && self.calm == 0 && limit > self.bounds.least;
        let seconds = age.as_secs_f64();
        let next = match self.trial {
            Trial::None => {
                self.untried += 1;
                let deep = self.untried >= TRY_AGAIN || limit > 2.0 * self.tried_at + GROWN;
                let deep = deep && self.lowered && limit > self.bounds.least;
                if crowded || deep {
                    (self.trial, self.untried) =
                        (Trial::Before { deep: deep && !crowded, measured: Measured::default() }, 0);
                    return false;
                }
                if waits >= part(GROW_BELOW) || window.served == 0 {
                    return false;
                }
                if self.lowered {
                    return move_to(limit + (limit / 16.0).max(1.0), Cause::Room);
                }
                Step { first: limit, rate: window.usual / seconds.max(1e-3), by: RAISE }
            }
            Trial::Before { deep, mut measured } => {
                measured.add(&window, seconds);
                if !crowded && !deep {
                    self.trial = Trial::None;
                    return false;
                }
                self.trial = Trial::Before { deep, measured };
                if !measured.is_enough(if deep { DEEP_ENOUGH } else { ENOUGH }) {
                    return false;
                }
                let by = match (self.lowered, deep) {
                    (false, _) if limit < self.bounds.most => RAISE,
                    (_, true) => DEEP_CUT,
                    (_, false) => CUT,
                };
                Step { first: limit, rate: measured.rate(), by }
            }
            Trial::Settling(step) => {
                self.trial = Trial::After(step, Measured::default());
                return false;
            }
            Trial::After(step, mut measured) => {
                measured.add(&window, seconds);
                self.trial = Trial::After(step, measured);
                let follows = step.follows(measured.rate());
                // What rises although the last of what was sent before is still in the figures has risen.
                if !(measured.is_enough(step.enough()) || follows && step.by == RAISE) {
                    return false;
                }
                (self.trial, self.untried) = (Trial::None, 0);
                // The next step is held against the last, not the best: the box may be slower by now, for having had more.
                let mut rate = measured.rate();
                self.tried_at = if follows == (step.by > 1.0) { limit } else { step.first };
                if follows || step.by < 1.0 {
                    // What it takes now is usual where the rate has followed; where it has not, lower latency is.
                    let to = if follows { ratio.max(1.0) } else { ratio.min(1.0) };
                    self.classes.iter_mut().for_each(|usual| usual.seconds *= to);
                    // The next step is measured by the new yardstick.
                    rate *= to;
                }
                match (follows, step.by) {
                    (true, RAISE) => Step { first: limit, rate, by: RAISE },
                    // It went too far: back to where the rate still was the same.
                    (true, DEEP_CUT) => return move_to(step.first, Cause::Room),
                    (true, _) => {
                        (self.calm, self.lowered) = (CALM, false);
                        return move_to(step.first, Cause::NotLoad);
                    }
                    // More brought nothing, so that less may cost nothing.
                    (false, RAISE) => {
                        self.lowered = true;
                        let step = Step { first: step.first, rate, by: DEEP_CUT };
                        self.trial = Trial::Settling(step);
                        return move_to(step.first * DEEP_CUT, Cause::Waiting);
                    }
                    (false, by) if (crowded || by == DEEP_CUT) && limit > self.bounds.least => {
                        Step { first: limit, rate, by }
                    }
                    _ => return false,
                }
            }
        };
        if next.by < 1.0 {
            (self.lowered, self.trial) = (true, Trial::Settling(next));
            return move_to(limit * next.by, Cause::Waiting);
        }
        self.trial = Trial::After(next, Measured::default());
        let grown = move_to(limit * next.by, Cause::Room);
        if !grown {
            self.trial = Trial::None;
        }
        grown
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { start: 16.0, least: 2.0, most: 1000.0, adapts: true, nodes: 1.0 };

    /// Keeps as many out as the limit allows at a box that answers after `latency(held)`, for so long.
    fn fill(limit: &mut BoxLimit, now: &mut Duration, seconds: f64, latency: impl Fn(f64) -> f64) -> f64 {
        let end = *now + Duration::from_secs_f64(seconds);
        let mut served = 0;
        while *now < end {
            while f64::from(limit.out()) < limit.limit().floor() {
                limit.sent(*now);
            }
            let held = f64::from(limit.out());
            let took = latency(held);
            // Little's law: what is held over what each takes.
            *now += Duration::from_secs_f64(took / held);
            limit.ended(*now, 0, Sign::Served, Duration::from_secs_f64(took));
            served += 1;
        }
        f64::from(served) / seconds
    }

    /// A box of so many cores.
    fn cores(cores: f64, service: f64) -> impl Fn(f64) -> f64 {
        move |held| service * (held / cores).max(1.0)
    }

    #[test]
    fn a_box_that_serves_many_at_once_is_given_many() {
        let (mut limit, mut now) = (BoxLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
        fill(&mut limit, &mut now, 3.0, cores(1000.0, 0.04));
        assert!(limit.limit() > 100.0, "{limit:?}");
    }

    #[test]
    fn a_box_of_few_cores_is_kept_busy_and_not_crowded() {
        for (count, service) in [(1.0, 0.005), (4.0, 0.02), (16.0, 0.01)] {
            let (mut limit, mut now) = (BoxLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
            // It has been seen unhurried once, as any box is before a surge.
            limit.sent(now);
            limit.ended(now, 0, Sign::Served, Duration::from_secs_f64(service));
            fill(&mut limit, &mut now, 10.0, cores(count, service));
            let rate = fill(&mut limit, &mut now, 5.0, cores(count, service));
            assert!(rate > 0.95 * count / service, "{count} cores: {rate} a second");
            assert!(limit.limit() < 3.0 * count + 12.0, "{count} cores: {:?}", limit.limit());
        }
    }

    #[test]
    fn latency_that_is_not_the_loads_doing_does_not_starve_the_box() {
        let (mut limit, mut now) = (BoxLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
        fill(&mut limit, &mut now, 5.0, cores(1000.0, 0.01));
        let before = limit.limit();
        // A database that takes ten times as long, however few ask.
        fill(&mut limit, &mut now, 10.0, cores(1000.0, 0.1));
        assert!(limit.limit() > 0.7 * before, "{before} -> {limit:?}");
        assert!(limit.changes().any(|change| change.cause == Cause::NotLoad), "{limit:?}");
        fill(&mut limit, &mut now, 5.0, cores(1000.0, 0.01));
        assert!(limit.limit() > 0.7 * before, "{before} -> {limit:?}");
    }

    #[test]
    fn a_box_that_turns_away_or_fails_is_held_back_and_never_below_the_floor() {
        for sign in [Sign::Refused, Sign::Failed, Sign::Late] {
            let mut limit = BoxLimit::new(BOUNDS, Duration::ZERO);
            for i in 1..2000u64 {
                limit.sent(Duration::from_millis(10 * i));
                limit.ended(Duration::from_millis(10 * i), 0, sign, Duration::from_millis(1));
            }
            assert!(limit.limit() <= 4.0, "{sign:?}: {limit:?}");
            assert!(limit.limit() >= BOUNDS.least, "{sign:?}");
            let mut now = Duration::from_secs(30);
            fill(&mut limit, &mut now, 10.0, cores(1000.0, 0.01));
            assert!(limit.limit() >= 16.0, "it comes back after {sign:?}: {:?}", limit.limit());
        }
    }

    #[test]
    fn quick_and_slow_classes_under_one_limit_are_each_held_against_their_own() {
        let (mut limit, mut now) = (BoxLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
        for i in 0..40_000u64 {
            while f64::from(limit.out()) < limit.limit().floor() {
                limit.sent(now);
            }
            // The mix turns to and fro: mostly looks, then mostly corrections.
            let slow = if (i / 4000) % 2 == 0 { i % 20 == 0 } else { i % 20 != 0 };
            let (class, took) = if slow { (1, 0.9) } else { (0, 0.002) };
            now += Duration::from_secs_f64(took / f64::from(limit.out()));
            limit.ended(now, class, Sign::Served, Duration::from_secs_f64(took));
        }
        assert!(limit.changes().all(|change| change.cause == Cause::Room), "{limit:?}");
        assert!(limit.limit() >= 100.0, "{:?}", limit.limit());
    }

    #[test]
    fn a_limit_learnt_at_night_opens_for_the_surge_at_eight() {
        let (mut limit, mut now) = (BoxLimit::new(BOUNDS, Duration::ZERO), Duration::ZERO);
        for _ in 0..20_000 {
            now += Duration::from_millis(50);
            limit.sent(now);
            limit.ended(now, 0, Sign::Served, Duration::from_millis(20));
        }
        assert_eq!(limit.limit(), BOUNDS.start, "one at a time says nothing of many");
        fill(&mut limit, &mut now, 2.0, cores(200.0, 0.02));
        assert!(limit.limit() > 100.0, "{limit:?}");
    }
}
