//! Prints the state of the backends while the demonstration runs.

use std::sync::Arc;
use std::time::Duration;
use test_servers::environment::Environment;

/// The time between two polls of the backends.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The loads of all backends are printed after this number of polls: every 5 s.
const POLLS_BETWEEN_LOADS: u64 = 20;

/// The health of a backend, of which each change is printed.
#[derive(Clone, Copy, PartialEq)]
struct BackendHealth {
    overloaded: bool,
    crashed: bool,
}

impl BackendHealth {
    fn description(self) -> &'static str {
        if self.crashed {
            "has crashed"
        } else if self.overloaded {
            "is overloaded and slows down"
        } else {
            "has recovered"
        }
    }
}

/// Starts a thread that prints a line for each backend that becomes overloaded, crashes or recovers, and the
/// loads of all backends every 5 s.
pub fn print_backend_states(environment: Arc<Environment>) {
    std::thread::spawn(move || {
        let healthy = BackendHealth { overloaded: false, crashed: false };
        let mut previous = vec![healthy; environment.backends.len()];
        for poll in 1u64.. {
            std::thread::sleep(POLL_INTERVAL);
            let now_s = environment.clock.now().as_secs_f64();
            print_changes(&environment, now_s, &mut previous);
            if poll % POLLS_BETWEEN_LOADS == 0 {
                print_loads(&environment, now_s);
            }
        }
    });
}

fn print_changes(environment: &Environment, now_s: f64, previous: &mut [BackendHealth]) {
    for (backend, previous) in environment.backends.iter().zip(previous) {
        let load = backend.load();
        let health = BackendHealth { overloaded: load.is_degraded, crashed: load.has_crashed };
        if health != *previous {
            println!("{now_s:5.1} s  {} {}", backend.config().name, health.description());
            *previous = health;
        }
    }
}

fn print_loads(environment: &Environment, now_s: f64) {
    let loads: Vec<_> =
        environment.backends.iter().map(|backend| backend.load().requests.in_flight.to_string()).collect();
    println!("{now_s:5.1} s  requests in flight at each backend: {}", loads.join(" "));
}
