//! Golden tests of small fleets with fixed seeds: the scenario of a seed and the results of its simulation,
//! written with twelve digits. They detect changes of the order of draws or of events. `GOLDEN=write cargo
//! test -p fleet-simulation --test golden` rewrites the files in `tests/golden`.
//!
//! Results are written with fixed names, so that renaming a type or field does not change golden files.
//! Further digits depend on the packages that are built together: see `golden_files::to_twelve_digits`.

use fleet_simulation::{
    BackendSpec, Burst, ClassTally, ClientBehavior, Fault, FaultKind, LoadReporting, NodeSpec, OverloadCurve,
    Scenario, SecondTally, Tally, simulate,
};

fn scenario_text(scenario: &Scenario) -> String {
    let Scenario {
        seed,
        length,
        rate,
        burst,
        nodes,
        backends,
        overload,
        work,
        work_deviation,
        handshake,
        cross_zone_latency,
        reporting: LoadReporting { period, delay },
        clients: ClientBehavior { retries, wait, honors_retry_after },
        faults,
        settings,
        class_mix,
    } = scenario;
    let mut text =
        format!("seed {seed} length {length:?} rate {rate:?} capacity {:?}\n", scenario.capacity());
    if let Some(Burst { from, to, factor, ramp }) = burst {
        text += &format!("burst from {from:?} to {to:?} factor {factor:?} ramp {ramp:?}\n");
    }
    if let Some(OverloadCurve {
        threshold,
        load_window,
        slowdown,
        recovery_window,
        recovery_utilization,
        max_duration,
    }) = overload
    {
        text += &format!(
            "choke at {threshold:?} over {load_window:?} slower {slowdown:?} rest {recovery_window:?} \
             below {recovery_utilization:?} most {max_duration:?}\n"
        );
    }
    text += &format!(
        "work {work:?} cv {work_deviation:?} handshake {handshake:?} cross {cross_zone_latency:?}\n"
    );
    text += &format!("reports period {period:?} delay {delay:?}\n");
    text += &format!("clients retries {retries} wait {wait:?} honour {honors_retry_after:?}\n");
    text += &format!("nodes told {} mix {class_mix:?}\n", settings.nodes);
    for Fault { first, backends, from, to, kind } in faults {
        let kind = match kind {
            FaultKind::Slow(factor) => format!("slow {factor:?}"),
            FaultKind::Errors => "errs".into(),
            FaultKind::Unresponsive => "silent".into(),
        };
        text += &format!("trouble {kind} from {from:?} to {to:?} at {backends} boxes from {first}\n");
    }
    for NodeSpec { zone, share } in nodes {
        text += &format!("node zone {zone} share {share:?}\n");
    }
    for BackendSpec { zone, kind, cores, speed, queue, connections } in backends {
        text += &format!(
            "box zone {zone} kind {kind} cores {cores} speed {speed:?} queue {queue} connections {connections}\n"
        );
    }
    text
}

fn tally_text(tally: &Tally) -> String {
    let Tally {
        offered,
        in_time,
        late,
        rejected,
        failed,
        value_in_time,
        value_offered,
        by_class,
        attempts,
        connections_opened,
        max_open_connections,
        refused_connections,
        overloaded,
        seconds,
    } = tally;
    let mut text =
        format!("offered {offered} in time {in_time} late {late} refused {rejected} failed {failed}\n");
    let by_class: Vec<_> =
        by_class.iter().map(|ClassTally { in_time, offered }| (*in_time, *offered)).collect();
    text += &format!(
        "worth {value_in_time:?} of {value_offered:?} served {:?} by class {by_class:?}\n",
        tally.served()
    );
    text += &format!(
        "sends {attempts} opened {connections_opened} most open {max_open_connections} refused connections {refused_connections}\n"
    );
    text += &format!("choked {overloaded} in time between 1 and 3: {:?}\n", tally.in_time_between(1, 3));
    for (number, second) in seconds.iter().enumerate() {
        let SecondTally {
            offered,
            in_time,
            rejected_unsent,
            attempts,
            connections_opened,
            mean_in_flight,
            overloaded,
        } = second;
        text += &format!(
            "{number}: offered {offered} in time {in_time} refused tries {rejected_unsent} sends {attempts} opened {connections_opened} \
             held {mean_in_flight:?} choked {overloaded}\n"
        );
    }
    text
}

fn small_scenario(seed: u64) -> Scenario {
    let mut scenario = Scenario::generate(seed).scaled_down(20);
    scenario.length = 5.0;
    scenario.burst = scenario.burst.map(|burst| Burst { from: 2.0, to: 4.0, ramp: 0.5, ..burst });
    scenario
}

#[test]
fn results_of_small_fleets_match_the_golden_file() {
    let mut text = String::new();
    for seed in [0, 1, 7] {
        let scenario = small_scenario(seed);
        text += &format!("{}{}\n", scenario_text(&scenario), tally_text(&simulate(&scenario)));
    }
    golden_files::check("plays.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn results_of_each_fault_match_the_golden_file() {
    let mut text = String::new();
    for kind in [FaultKind::Slow(3.0), FaultKind::Errors, FaultKind::Unresponsive] {
        let mut scenario = small_scenario(3);
        scenario.burst = None;
        scenario.faults.push(Fault { first: 1, backends: 2, from: 1.5, to: 3.0, kind });
        text += &format!("{}{}\n", scenario_text(&scenario), tally_text(&simulate(&scenario)));
    }
    golden_files::check("troubles.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn generated_scenarios_match_the_golden_file() {
    let text: String = [0, 7].map(|seed| scenario_text(&Scenario::generate(seed))).join("\n");
    golden_files::check("drawn.txt", &golden_files::to_twelve_digits(&text));
}
