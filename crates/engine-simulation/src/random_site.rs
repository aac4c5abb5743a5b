//! Random sites, so that policies are not tuned to a single deployment.

use crate::fault::{CrashMode, Fault, ScheduledFault};
use crate::site::Site;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Whether a random site has faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomFaults {
    /// No faults.
    None,
    /// Two faults.
    Two,
}

impl Site {
    /// Draws a site with 4 to 40 engines, whose speeds, prompts, load and faults differ from the reference
    /// site. The load is multiplied by `load_factor`.
    pub fn random(random: &mut impl Rng, faults: RandomFaults, load_factor: f64) -> Site {
        let mut site = Site::reference(1.0);
        let engines: usize = *[4, 6, 8, 12, 16, 24, 40].choose(random).unwrap_or(&12);
        let pace = random.random_range(0.5..2.0);
        site.engines = engines;
        site.engine.prefill_tokens_per_ms *= pace;
        site.engine.step_ms /= pace.sqrt();
        site.engine.kv_capacity_tokens = (380_000.0 * random.random_range(0.4..1.5)) as u64;
        site.engine.slots = *[32, 64, 128].choose(random).unwrap_or(&64);
        let nodes = *[3, 4, 6, 8, 12].choose(random).unwrap_or(&8);
        let weights: Vec<f64> = (0..nodes).map(|_| random.random_range(0.4..1.6)).collect();
        let sum: f64 = weights.iter().sum();
        site.node_shares = weights.iter().map(|weight| weight / sum).collect();
        let load = engines as f64 / 12.0 * pace * random.random_range(0.6..1.3) * load_factor;
        for class in &mut site.classes {
            let tokens = random.random_range(0.5..1.6);
            class.rate_per_s *= load;
            class.mean_own_tokens *= tokens;
            for blocks in &mut class.shared_blocks {
                blocks.mean_tokens *= random.random_range(0.5..1.6);
                blocks.count = (blocks.count as f64 * random.random_range(0.4..2.0)).ceil() as u64;
            }
        }
        site.name =
            format!("{engines} engines, {nodes} nodes, load {:.2}", load * 12.0 / engines as f64 / pace);
        if faults == RandomFaults::Two {
            site.draw_faults(random);
        }
        site
    }

    fn draw_faults(&mut self, random: &mut impl Rng) {
        let class = random.random_range(0..2);
        let all = [
            Fault::Burst { class, factor: random.random_range(1.3..1.8) },
            Fault::HotKey { class: 0, share: random.random_range(0.2..0.3) },
            Fault::HotKey { class: 1, share: random.random_range(0.2..0.3) },
            Fault::Crash { share: 0.18, mode: CrashMode::Refusing },
            Fault::Crash { share: 0.18, mode: CrashMode::Unresponsive },
            Fault::Slow { share: 0.15, factor: 3.0 },
            Fault::Release,
        ];
        for _ in 0..2 {
            let fault = *all.choose(random).unwrap_or(&all[0]);
            let start_s = random.random_range(10.0..20.0);
            let duration_s = random.random_range(3.0..6.0);
            self.faults.push(ScheduledFault { start_s, duration_s, fault });
            self.name += &format!(", {}", fault.label());
        }
    }
}
