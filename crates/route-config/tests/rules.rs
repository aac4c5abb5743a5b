//! For every valid file, no sequence of outcomes makes a balancer with the compiled settings send what the
//! rules forbid. Files are generated, and for each of them every sequence of outcomes that its attempts allow
//! is run, at the extremes of time.

use join_up_to::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use route_config::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Duration = Duration::from_secs(1000);
const ID: RequestId = RequestId(7);

/// The settings of a class as text. Some contradict each other, so that many files are invalid.
fn request_settings() -> impl Strategy<Value = String> {
    let ms = |range: std::ops::Range<u64>| range.prop_map(|ms| format!("\"{ms}ms\""));
    let line = |key: &'static str, value: BoxedStrategy<String>| {
        prop::option::of(value.prop_map(move |value| format!("{key} = {value}\n")))
    };
    let outcomes = prop::sample::subsequence(vec!["never-ran", "error", "reset", "timed-out"], 0..=4);
    (
        line("time", ms(50..2000).boxed()),
        line("aim", ms(50..1000).boxed()),
        line("late-worth", prop::sample::select(vec!["0", "0.5", "1"]).prop_map(String::from).boxed()),
        line("attempts", (1u32..4).prop_map(|n| n.to_string()).boxed()),
        line("attempt-time", ms(20..600).boxed()),
        line("retry-on", outcomes.prop_map(|words| format!("{words:?}")).boxed()),
        line(
            "back-off",
            (1u64..300, 1u64..300, 0.0f64..1.0)
                .prop_map(|(first, longest, jitter)| {
                    format!("{{ first = \"{first}ms\", longest = \"{longest}ms\", jitter = {jitter:.3} }}")
                })
                .boxed(),
        ),
        line(
            "copies",
            (1u64..300, 1u32..3)
                .prop_map(|(after, most)| format!("{{ after = \"{after}ms\", most = {most}, share = 1.0 }}"))
                .boxed(),
        ),
        line(
            "budget",
            prop::sample::select(vec!["{ share = 1 }", "{ share = 0.1, floor = \"3/s\" }"])
                .prop_map(String::from)
                .boxed(),
        ),
    )
        .prop_map(|(a, b, c, d, e, f, g, h, i)| {
            [a, b, c, d, e, f, g, h, i].into_iter().flatten().collect::<String>()
        })
}

fn class() -> impl Strategy<Value = String> {
    let keyed =
        (prop::sample::select(vec!["all", "zone", "cell"]), 20u64..1500).prop_map(|(scope, window)| {
            format!(
                "repeat = \"keyed\"\nscope = \"{scope}\"\nwindow = \"{window}ms\"\nkey-header = \"x-key\"\n"
            )
        });
    prop_oneof![Just("repeat = \"safe\"\n".to_string()), Just("repeat = \"unsafe\"\n".to_string()), keyed]
}

fn file() -> impl Strategy<Value = String> {
    let route_settings = prop::option::weighted(0.3, request_settings());
    (class(), request_settings(), route_settings).prop_map(|(class, settings, route_settings)| {
        let mut text = String::from("[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"a\"\n");
        for n in 0..8 {
            text += &format!(
                "[[cluster.box]]\nname = \"b{n}\"\naddress = \"127.0.0.1:{}\"\nzone = \"z{}\"\ncell = {}\n",
                9000 + n,
                n % 2,
                n % 4,
            );
        }
        text += &format!("[[class]]\nname = \"c\"\n{class}{settings}");
        let route = "[[route]]\nclass = \"c\"\ncluster = \"a\"\nprefix = ";
        text + &format!("{route}\"/\"\n{route}\"/b\"\n{}", route_settings.unwrap_or_default())
    })
}

/// How one attempt ends: which of those in progress, with which outcome, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct End {
    which: usize,
    outcome: Outcome,
    /// 0: at once; 1: just before its timeout; 2: at its timeout.
    when: u8,
}

const ENDS: [(Outcome, u8); 9] = [
    (Outcome::Error, 0),
    (Outcome::Error, 1),
    (Outcome::Reset, 0),
    (Outcome::Reset, 1),
    (Outcome::Rejected, 0),
    (Outcome::Rejected, 1),
    (Outcome::ConnectFailed, 0),
    (Outcome::ConnectFailed, 1),
    (Outcome::TimedOut, 2),
];

struct Sent {
    server: ServerId,
    at: Duration,
    until: Duration,
    outcome: Option<Outcome>,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// Drives the balancer for one request of a class, with its own records of what was sent, to check the rules
/// independently of the balancer.
struct Run<'p> {
    balancer: Balancer,
    class: &'p Class,
    servers: BTreeMap<ServerId, ServerEntry>,
    now: Duration,
    sent: Vec<Sent>,
    timers: Vec<(Duration, u64)>,
    responses: usize,
}

impl<'p> Run<'p> {
    fn begin(plan: &'p Plan, class: usize) -> Self {
        let cluster = &plan.clusters[0];
        let entries: Vec<_> = cluster.backends.iter().map(|b| b.entry).collect();
        let mut run = Run {
            balancer: Balancer::new(cluster.settings.clone(), 5),
            class: &cluster.settings.classes[class],
            servers: entries.iter().map(|entry| (entry.id, *entry)).collect(),
            now: START,
            sent: Vec::new(),
            timers: Vec::new(),
            responses: 0,
        };
        run.handle(Event::List { kind: ListKind::Full, version: 1, entries });
        let remaining = run.class.deadline;
        let new = NewRequest { id: ID, class, tenant: 0, key: 0, remaining, cost: None, client_retry: false };
        run.handle(Event::Request(new));
        run
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { server, timeout, .. } => self.check_send(server, timeout),
                Action::Refuse { .. } => {
                    let may_have_run = self.sent.iter().any(Sent::may_have_run);
                    let is_harmless =
                        matches!(self.class.repeat, Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. });
                    assert!(
                        !may_have_run || is_harmless,
                        "rejected as harmless to retry, but it may have been executed"
                    );
                    self.responses += 1;
                }
                Action::Fail { .. } => self.responses += 1,
                Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
                Action::Cancel { .. } => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        assert!(self.responses <= 1, "a second response");
    }

    fn check_send(&mut self, server: ServerId, timeout: Duration) {
        assert_eq!(self.responses, 0, "sent after the response");
        let end = START + self.class.deadline;
        assert!(self.now < end && self.now + timeout <= end, "sent beyond its deadline");
        assert!(self.sent.iter().all(|s| s.server != server), "sent again to the same backend");
        let max_attempts = self.class.attempt_policy.max_attempts.expect("set in every plan");
        assert!(self.sent.len() < max_attempts as usize, "more attempts than allowed");
        if let Some(first) = self.sent.iter().find(|s| s.may_have_run()) {
            let (first_entry, entry) = (&self.servers[&first.server], &self.servers[&server]);
            match self.class.repeat {
                Repeat::Safe => {}
                Repeat::Unsafe => panic!("an unsafe request is sent again after it may have been executed"),
                Repeat::Keyed { scope, window } => {
                    assert!(self.now < first.at + window, "a keyed request is sent again after its window");
                    let is_in_scope = match scope {
                        Scope::All => true,
                        Scope::Zone => first_entry.zone == entry.zone,
                        Scope::Cell => first_entry.cell == entry.cell,
                    };
                    assert!(is_in_scope, "a keyed request is sent to a backend outside its scope");
                }
            }
        }
        self.sent.push(Sent { server, at: self.now, until: self.now + timeout, outcome: None });
    }

    /// Advances the time to `until`, and fires the timers that are due by then, in order.
    fn advance(&mut self, until: Duration) {
        while let Some(first) = self.timers.iter().map(|(at, _)| *at).min().filter(|at| *at <= until) {
            let at = self.timers.iter().position(|(at, _)| *at == first).expect("a timer");
            let (due, token) = self.timers.remove(at);
            self.now = self.now.max(due);
            self.handle(Event::Timer { token });
        }
        self.now = self.now.max(until);
    }

    fn in_progress(&self) -> Vec<usize> {
        (0..self.sent.len()).filter(|i| self.sent[*i].outcome.is_none()).collect()
    }

    /// Advances the time until an attempt is in progress, and returns the number of those; 0 after the
    /// response.
    fn wait_for_attempt(&mut self) -> usize {
        while self.responses == 0 && self.in_progress().is_empty() {
            let next = self
                .timers
                .iter()
                .map(|(at, _)| *at)
                .min()
                .expect("a timer, as the request would never end without one");
            self.advance(next);
        }
        if self.responses > 0 { 0 } else { self.in_progress().len() }
    }

    fn end(&mut self, end: End) {
        let in_progress = self.in_progress();
        let number = in_progress[end.which.min(in_progress.len() - 1)];
        let until = self.sent[number].until;
        let at = match end.when {
            0 => self.now,
            1 => until.saturating_sub(Duration::from_millis(1)).max(self.now),
            _ => until.max(self.now),
        };
        self.advance(at);
        if self.responses > 0 {
            return;
        }
        self.sent[number].outcome = Some(end.outcome);
        let (server, elapsed) = (self.sent[number].server, self.now - self.sent[number].at);
        self.handle(Event::AttemptEnded(AttemptEnd {
            id: ID,
            attempt: number as u32,
            server,
            outcome: end.outcome,
            elapsed,
            finished: false,
            report: None,
        }));
    }
}

/// Runs every sequence of ends that begins with `path`, and returns their number.
fn explore(plan: &Plan, class: usize, path: &mut Vec<End>) -> usize {
    let mut run = Run::begin(plan, class);
    let mut in_progress = run.wait_for_attempt();
    for end in path.iter() {
        run.end(*end);
        in_progress = run.wait_for_attempt();
    }
    if in_progress == 0 {
        assert_eq!(run.responses, 1, "exactly one response");
        assert!(
            run.now <= START + run.class.deadline,
            "a response after the deadline: {:?}",
            run.now - START
        );
        return 1;
    }
    let mut sequences = 0;
    for which in 0..in_progress {
        for (outcome, when) in ENDS {
            path.push(End { which, outcome, when });
            sequences += explore(plan, class, path);
            path.pop();
        }
    }
    sequences
}

#[test]
fn no_sequence_of_outcomes_breaks_a_rule_under_any_valid_file() {
    const ACCEPTED: usize = 120;
    let config = Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let (mut accepted, mut rejected, mut sequences, mut retried) = (0, 0, 0, 0);
    while accepted < ACCEPTED {
        assert!(rejected < 5000, "{rejected} files rejected and only {accepted} accepted");
        let text = file().new_tree(&mut runner).expect("a file").current();
        let Ok(loaded) = route_config::load(text.as_bytes()) else {
            rejected += 1;
            continue;
        };
        accepted += 1;
        for class in 0..loaded.plan.clusters[0].settings.classes.len() {
            let run_count = std::panic::catch_unwind(|| explore(&loaded.plan, class, &mut Vec::new()));
            let run_count = run_count.unwrap_or_else(|_| panic!("under this file:\n{text}"));
            sequences += run_count;
            retried += usize::from(run_count > ENDS.len());
        }
    }
    // Otherwise the generator no longer creates the files that this test is for.
    assert!(retried > ACCEPTED / 3, "only {retried} classes had a second attempt");
    assert!(rejected > ACCEPTED / 2, "only {rejected} files were rejected");
    println!("{accepted} files accepted, {rejected} rejected, {sequences} sequences run");
}

/// Checks the same for the example that operators start from.
#[test]
fn no_sequence_of_outcomes_breaks_a_rule_under_the_example() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.toml");
    let loaded = route_config::load(&std::fs::read(path).expect("the example")).expect("a good file");
    for class in 0..loaded.plan.clusters[0].settings.classes.len() {
        assert!(explore(&loaded.plan, class, &mut Vec::new()) >= ENDS.len());
    }
}
