//! Deterministic streams of events, generated from fixed seeds.

use crate::harness::*;
use join_up_to::*;

/// The number of seeds for each of the settings.
pub const SEEDS: u64 = 16;

/// The settings for the streams, with their names in the golden files.
pub fn cases() -> Vec<(&'static str, Settings)> {
    let mut cold = reports_in_responses();
    cold.rules.initial_capacity = 0.3;
    cold.rules.slow_start = ms(5000);
    cold.rules.drain_grace = ms(0);
    let mut alone = settings();
    alone.limits = Limits { max_attempts: 1, cancel: false, ..Settings::default().limits };
    alone.nodes = 1;
    alone.limits.max_retry_after = Some(ms(700));
    let mut asked = reports_in_responses();
    asked.list_on_request = true;
    asked.limits.parallel_attempts = false;
    let mut late = reports_from_probes();
    late.classes.iter_mut().for_each(|class| class.late_value = 0.4);
    vec![
        ("answers", cold),
        ("probes", reports_from_probes()),
        ("alone", alone),
        ("asked", asked),
        ("late", late),
    ]
}

/// A random number generator (SplitMix64) that does not change with a library.
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

const ENDS: [Outcome; 7] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Served,
    Outcome::NotSent,
];

/// Runs the stream of a seed in a harness that `new` creates.
pub fn play(settings: Settings, seed: u64, new: impl Fn(Settings, u64) -> Harness) -> Harness {
    let mut draw = Draw(seed);
    let mut harness = new(settings, seed);
    harness.list(ListKind::Cached, (0..5).map(entry).collect());
    for _ in 0..400 {
        match draw.below(20) {
            0..6 => {
                let cost = (draw.below(3) == 0).then(|| ms(1 + draw.below(300)));
                harness.request_with(draw.below(5) as usize, 0, ms(20 + draw.below(1400)), cost);
            }
            6..13 => {
                let out = harness.attempts_in_flight();
                if !out.is_empty() {
                    let (id, attempt) = out[draw.below(out.len() as u64) as usize];
                    let load = (draw.below(3) > 0).then(|| draw.below(4) as f32);
                    harness.end_attempt(id, attempt, ENDS[draw.below(7) as usize], load);
                }
            }
            13 => drop(harness.end_probe(Some(draw.below(3) as f32))),
            14 => {
                let open = harness.open_requests();
                if !open.is_empty() {
                    harness.client_disconnects(open[draw.below(open.len() as u64) as usize]);
                }
            }
            15 => {
                let state =
                    [ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Gone];
                let (number, state) = (draw.below(7), state[draw.below(4) as usize]);
                let started = (draw.below(2) == 0).then_some(harness.now);
                harness.list(ListKind::Changes, vec![ServerEntry { state, started, ..entry(number) }]);
            }
            _ => harness.advance(ms(1 + draw.below(120))),
        }
    }
    harness.advance(ms(1600));
    harness
}
