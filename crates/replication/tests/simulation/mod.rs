//! A deterministic simulation of replicas: a network with delays, losses and cut links; disks that stall,
//! fill up and get lost; processes that are killed or frozen; and operators that submit concurrent changes
//! and reads and retry them. Everything follows from one seed.
#![allow(dead_code, reason = "each test program uses only a part")]

pub mod checker;
pub mod disk;
pub mod losses;
pub mod operators;
pub mod schedule;
pub mod world;

pub use world::World;

use std::time::Duration;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The range of seeds to run: `default` many, unless the environment variable `SEEDS` sets another number,
/// starting with `FIRST_SEED` (1 by default).
pub fn seeds(default: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first: u64 = number("FIRST_SEED").unwrap_or(1);
    first..first + number("SEEDS").unwrap_or(default)
}
