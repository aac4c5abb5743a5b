//! `marlwinch demo-fleet`: runs a small fleet on loopback with injected faults, and prints whether the rules
//! were kept.

use super::exit::{FAILURE, fail};
use bpaf::Bpaf;
use fleet_demo::{DemoOptions, DemoOutcome};
use quick_error::quick_error;
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::time::Duration;
use units::DurationError;

/// The exit code if a run has ended and a rule was broken.
const RULE_BROKEN: u8 = 4;
/// The exit code of a process that a signal ended is this plus the signal's number, as shells report it.
const SIGNAL_EXIT_BASE: u8 = 128;
/// The shortest run in which every fault is injected, and the longest whose records are kept in memory.
const LENGTHS: RangeInclusive<Duration> = Duration::from_secs(2)..=Duration::from_secs(600);
/// The rates, in requests per second, that the clients and test backends on one thread can keep up with.
const RATES: RangeInclusive<f64> = 1.0..=1000.0;

/// The arguments of `demo-fleet`. The doc comments of the fields are the help text.
#[derive(Clone, Debug, PartialEq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DemoFleet {
    /// Duration of the client load, between 2s and 10m (default 15s)
    #[bpaf(long("for"), argument::<String>("TIME"), parse(parse_length), fallback(Duration::from_secs(15)))]
    pub length: Duration,
    /// Requests per second, between 1 and 1000 (default 100)
    #[bpaf(argument("N"), guard(is_rate, "between 1 and 1000"), fallback(100.0))]
    pub rate: f64,
    /// Keep the folder with settings, data and logs at the end
    pub keep: bool,
    /// Seed of the clients' random choices (default 1)
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
}

quick_error! {
    /// Why the duration of a run is invalid.
    #[derive(Debug)]
    enum LengthError {
        /// The text is not a duration.
        NotADuration(text: String, error: DurationError) {
            display("{text} is not a duration such as 15s")
            source(error)
        }
        /// The duration is outside of [`LENGTHS`].
        OutOfRange(text: String) {
            display("{text} is not between 2s and 10m")
        }
    }
}

// The argument is by value, as bpaf passes it.
fn parse_length(text: String) -> Result<Duration, LengthError> {
    match units::parse_duration(&text) {
        Ok(length) if LENGTHS.contains(&length) => Ok(length),
        Ok(_) => Err(LengthError::OutOfRange(text)),
        Err(error) => Err(LengthError::NotADuration(text, error)),
    }
}

fn is_rate(rate: &f64) -> bool {
    RATES.contains(rate)
}

/// Runs the fleet and prints whether a rule was broken.
pub fn main(arguments: &DemoFleet) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&format_args!("cannot find the path of this program: {error}"), FAILURE),
    };
    let &DemoFleet { length, rate, keep, seed } = arguments;
    match fleet_demo::run(&DemoOptions { program, length, rate, keep, seed }) {
        Ok(DemoOutcome::RulesKept) => {
            println!("No rule was broken.");
            ExitCode::SUCCESS
        }
        Ok(DemoOutcome::RuleBroken) => {
            println!("A RULE WAS BROKEN.");
            ExitCode::from(RULE_BROKEN)
        }
        Ok(DemoOutcome::Interrupted(number)) => ExitCode::from(SIGNAL_EXIT_BASE + number as u8),
        Err(error) => fail(&error, FAILURE),
    }
}
