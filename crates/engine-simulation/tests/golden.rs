//! Golden tests of small simulations with fixed seeds, whose results are written with twelve digits: the
//! draws of a seed, the steps of an engine, and the statistics of each policy and each fault. They detect
//! changes of the order of draws or of events. `GOLDEN=write cargo test -p engine-simulation --test golden`
//! rewrites the files in `tests/golden`.
//!
//! Results are written with fixed names, so that renaming a type or field does not change golden files. Only
//! the names of random sites are those of the package. Further digits depend on the packages that are built
//! together: see `golden_files::to_twelve_digits`.

use engine_simulation::{
    BaselinePolicy, ClassStatistics, ClientRequest, CrashMode, Engine, EngineLoad, EngineOutput, EngineSpec,
    Fault, Job, PlainAdmission, PlainBackend, PlainBackends, PrefixBlock, RandomFaults, RequestClass,
    ScheduledFault, SelectionPolicy, SharedBlocks, Site, Statistics, draw_requests, run,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::{PromptBlock, RequestShape, RoutingPolicy};

fn fault_text(fault: &Fault) -> String {
    match fault {
        Fault::Burst { class, factor } => format!("burst of {class} by {factor:?}"),
        Fault::HotKey { class, share } => format!("hot key of {class} with {share:?}"),
        Fault::Crash { share, mode } => {
            format!("crash of {share:?} dark {}", *mode == CrashMode::Unresponsive)
        }
        Fault::Slow { share, factor } => format!("slow {share:?} by {factor:?}"),
        Fault::Release => "release".into(),
    }
}

fn class_text(class: &RequestClass) -> String {
    let RequestClass {
        name,
        rate_per_s,
        shared_blocks,
        mean_own_tokens,
        own_log_spread,
        max_own_tokens,
        mean_events,
        events_log_spread,
        mean_work_ms,
        latency_target_ms,
        max_gap_ms,
        deadline_ms,
        value,
        late_value,
        priority,
        repeated_share,
    } = class;
    let mut text = format!(
        "class {name} {rate_per_s:?} own {mean_own_tokens:?} {own_log_spread:?} {max_own_tokens:?} events {mean_events:?} "
    );
    text += &format!(
        "{events_log_spread:?} work {mean_work_ms:?} aim {latency_target_ms:?} gap {max_gap_ms:?} deadline {deadline_ms:?} "
    );
    text += &format!("worth {value:?} {late_value:?} priority {priority} repeats {repeated_share:?}\n");
    for SharedBlocks { mean_tokens, log_spread, count, zipf_exponent } in shared_blocks {
        text += &format!("  link {mean_tokens:?} {log_spread:?} {count} {zipf_exponent:?}\n");
    }
    text
}

fn site_text(site: &Site) -> String {
    let Site { name, engines, engine, plain, node_shares, classes, length_s, faults, reread_window_s } = site;
    let EngineSpec {
        slots,
        max_queued,
        kv_capacity_tokens,
        step_ms,
        step_ms_per_running,
        step_ms_per_k_context,
        prefill_tokens_per_ms,
        attention_ms_per_m_pairs,
        first_token_ms,
        prefill_chunk_tokens,
        tokens_per_event,
    } = engine;
    let PlainBackends { count, slots: plain_slots, max_queued: plain_queued } = plain;
    let mut text = format!("site {name:?} engines {engines} plain {:?} ", (count, plain_slots, plain_queued));
    text += &format!("length {length_s:?} again {reread_window_s:?}\n");
    text += &format!("speed {slots} {max_queued} {kv_capacity_tokens} {step_ms:?} {step_ms_per_running:?} ");
    text += &format!("{step_ms_per_k_context:?} {prefill_tokens_per_ms:?} {attention_ms_per_m_pairs:?} ");
    text += &format!("{first_token_ms:?} {prefill_chunk_tokens} {tokens_per_event}\n");
    text += &format!("nodes {node_shares:?}\n");
    classes.iter().for_each(|class| text += &class_text(class));
    for ScheduledFault { start_s, duration_s, fault } in faults {
        text += &format!("trouble at {start_s:?} for {duration_s:?}: {}\n", fault_text(fault));
    }
    text
}

fn statistics_text(statistics: &Statistics) -> String {
    let Statistics {
        classes,
        shared_tokens,
        reread_tokens,
        prefilled_tokens,
        load_reports,
        rejections,
        needless_rejections,
    } = statistics;
    let mut text = String::new();
    for class in classes {
        let ClassStatistics {
            requests,
            in_time,
            late,
            stalled,
            rejected,
            failed,
            offered_value,
            earned_value,
            largest,
            largest_served,
            first_event_ms,
        } = class;
        text += &format!(
            "requests {requests} in time {in_time} late {late} paused {stalled} refused {rejected} "
        );
        text += &format!("failed {failed} owed {offered_value:?} earned {earned_value:?} ");
        text += &format!("largest {largest} {largest_served} ");
        let sum: f64 = first_event_ms.iter().sum();
        text += &format!(
            "firsts {} sum {sum:?} p50 {:?} p99 {:?}\n",
            first_event_ms.len(),
            class.first_event_quantile(0.5),
            class.first_event_quantile(0.99)
        );
    }
    text += &format!("shared {shared_tokens:?} read again {reread_tokens:?} read {prefilled_tokens:?} ");
    text += &format!("reports {load_reports} refusals {rejections} needless {needless_rejections} ");
    text + &format!(
        "earned {:?} read again share {:?}\n",
        statistics.earned_share(),
        statistics.reread_share()
    )
}

fn small_site(load: f64, fault: Option<Fault>) -> Site {
    let mut site = Site::reference(load);
    site.length_s = 3.0;
    site.faults.extend(fault.map(|fault| ScheduledFault { start_s: 1.0, duration_s: 1.0, fault }));
    site
}

#[test]
fn statistics_of_each_policy_match_the_golden_file() {
    let mut text = site_text(&small_site(1.1, None));
    for (name, policy) in [
        ("random", SelectionPolicy::Baseline(BaselinePolicy::Random)),
        ("least sent", SelectionPolicy::Baseline(BaselinePolicy::LeastOutstanding)),
        ("join up to", SelectionPolicy::Baseline(BaselinePolicy::JoinUpTo)),
        ("affinity", SelectionPolicy::Baseline(BaselinePolicy::Affinity)),
        ("all known", SelectionPolicy::Baseline(BaselinePolicy::Omniscient)),
        ("routing", SelectionPolicy::Routing(RoutingPolicy::default())),
    ] {
        text += &format!("{name}\n{}", statistics_text(&run(&small_site(1.1, None), policy, 5)));
    }
    golden_files::check("choices.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn statistics_of_each_fault_match_the_golden_file() {
    let mut text = String::new();
    for fault in [
        Fault::Burst { class: 1, factor: 1.5 },
        Fault::HotKey { class: 0, share: 0.3 },
        Fault::Crash { share: 0.18, mode: CrashMode::Refusing },
        Fault::Crash { share: 0.18, mode: CrashMode::Unresponsive },
        Fault::Slow { share: 0.15, factor: 3.0 },
        Fault::Release,
    ] {
        let policy = SelectionPolicy::Routing(RoutingPolicy::default());
        let statistics = run(&small_site(1.0, Some(fault)), policy, 6);
        text += &format!("{}\n{}", fault_text(&fault), statistics_text(&statistics));
    }
    golden_files::check("troubles.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn random_sites_match_the_golden_file() {
    let mut text = String::new();
    for seed in 0..6 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let faults = if seed % 2 == 1 { RandomFaults::Two } else { RandomFaults::None };
        text += &site_text(&Site::random(&mut random, faults, 1.25));
    }
    golden_files::check("sites.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn drawn_requests_match_the_golden_file() {
    let mut site = small_site(0.5, Some(Fault::HotKey { class: 1, share: 0.5 }));
    site.length_s = 1.0;
    site.faults[0].start_s = 0.25;
    let mut text = String::new();
    for ClientRequest { at_ms, class, node, shape, prompt, events, work_ms } in draw_requests(&site, 9) {
        let RequestShape {
            model,
            prompt_tokens,
            output_tokens,
            blocks,
            tenant_priority,
            route_priority,
            latency_target,
            deadline,
            streaming,
        } = shape;
        let deadline = deadline.as_nanos();
        let blocks: Vec<_> =
            blocks.iter().map(|PromptBlock { id, tokens }| format!("{id:x}:{tokens}")).collect();
        let prompt: Vec<_> =
            prompt.iter().map(|PrefixBlock { key, tokens }| format!("{key:x}:{tokens}")).collect();
        text += &format!(
            "at {at_ms:?} class {class} node {node} events {events} work {work_ms:?} model {model:?} "
        );
        text +=
            &format!("tokens {prompt_tokens} {output_tokens} priority {tenant_priority} {route_priority} ");
        text +=
            &format!("aim {} ns deadline {deadline} ns streaming {streaming} ", latency_target.as_nanos());
        text += &format!("parts {} chain {}\n", blocks.join(","), prompt.join(","));
    }
    golden_files::check("requests.txt", &golden_files::to_twelve_digits(&text));
}

#[test]
fn the_steps_of_backends_match_the_golden_file() {
    let spec = EngineSpec {
        slots: 3,
        max_queued: 4,
        kv_capacity_tokens: 30_000,
        prefill_chunk_tokens: 2048,
        ..Site::reference(1.0).engine
    };
    let load = |engine: &Engine| {
        let EngineLoad { running, waiting } = engine.load();
        (running, waiting)
    };
    let mut engine = Engine::new(spec);
    let (mut text, mut outputs) = (String::new(), Vec::new());
    for id in 0..9u64 {
        let prompt = [(1, 2520), (10 + id % 2, 3780), (100 + id, 500 * (id + 1))];
        let prompt = prompt.iter().map(|(key, tokens)| PrefixBlock { key: *key, tokens: *tokens }).collect();
        let is_queued = engine.offer(Job { id, urgency: (id % 3) as u8, prompt, events: 3 });
        text += &format!("offer {id} taken {is_queued} load {:?}\n", load(&engine));
    }
    for step in 0..60 {
        if engine.is_idle() {
            break;
        }
        if step == 5 {
            engine.cancel(4);
        }
        let time_ms = engine.step(&mut outputs);
        text += &format!("step {step} took {time_ms:?} load {:?} jobs {:?}\n", load(&engine), engine.jobs());
        for output in outputs.drain(..) {
            text += &match output {
                EngineOutput::Event { id, first, last } => {
                    format!("  event of {id} first {first} last {last}\n")
                }
                EngineOutput::Admitted { id, cached_tokens } => {
                    format!("  admitted {id} kept {cached_tokens}\n")
                }
                EngineOutput::Prefilled { id, tokens } => format!("  read of {id} {tokens}\n"),
            };
        }
    }
    let mut plain = PlainBackend::new(2, 1);
    for id in 0..4 {
        let word = match plain.offer(id) {
            PlainAdmission::Running => "runs",
            PlainAdmission::Queued => "waits",
            PlainAdmission::Rejected => "turned away",
        };
        text += &format!("plain {id} {word}\n");
    }
    text += &format!("plain next {:?} load {:?}\n", plain.finish(), (plain.running(), plain.queued()));
    golden_files::check("steps.txt", &golden_files::to_twelve_digits(&text));
}
