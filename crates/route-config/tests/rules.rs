//! Whatever file is valid: no sequence of outcomes makes the compiled settings send what must not be sent.
//! Files are generated, and for each one every sequence of outcomes up to its attempts is played, at the
//! extremes of time.

use join_up_to::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use route_config::Plan;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Duration = Duration::from_secs(1000);
const ID: RequestId = RequestId(7);

/// The settings of a class as text, some of them contradictory, so that many files are invalid.
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
    (class(), request_settings(), prop::option::weighted(0.3, request_settings())).prop_map(|(class, terms, of_route)| {
        let mut text = String::from("[[listener]]\naddress = \"127.0.0.1:0\"\n[[cluster]]\nname = \"a\"\n");
        for n in 0..8 {
            text += &format!(
                "[[cluster.box]]\nname = \"b{n}\"\naddress = \"127.0.0.1:{}\"\nzone = \"z{}\"\ncell = {}\n",
                9000 + n,
                n % 2,
                n % 4,
            );
        }
        text += &format!("[[class]]\nname = \"c\"\n{class}{terms}");
        let route = "[[route]]\nclass = \"c\"\ncluster = \"a\"\nprefix = ";
        text + &format!("{route}\"/\"\n{route}\"/b\"\n{}", of_route.unwrap_or_default())
    })
}

/// How one attempt ends: which of those that are out, how, and how long after it could have been.
#[derive(Clone, Copy, Debug, PartialEq)]
struct End {
    which: usize,
    outcome: Outcome,
    /// 0 at once, 1 just before its time is over, 2 when it is.
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

/// One request of a class, with bookkeeping of its own.
struct Play<'p> {
    balancer: Balancer,
    class: &'p Class,
    servers: BTreeMap<ServerId, ServerEntry>,
    now: Duration,
    sent: Vec<Sent>,
    timers: Vec<(Duration, u64)>,
    answers: usize,
}

impl<'p> Play<'p> {
    fn begin(plan: &'p Plan, class: usize) -> Self {
        let cluster = &plan.clusters[0];
        let entries: Vec<_> = cluster.backends.iter().map(|b| b.entry).collect();
        let mut play = Play {
            balancer: Balancer::new(cluster.settings.clone(), 5),
            class: &cluster.settings.classes[class],
            servers: entries.iter().map(|entry| (entry.id, *entry)).collect(),
            now: START,
            sent: Vec::new(),
            timers: Vec::new(),
            answers: 0,
        };
        play.handle(Event::List { kind: ListKind::Full, version: 1, entries });
        let remaining = play.class.deadline;
        let new = NewRequest { id: ID, class, tenant: 0, key: 0, remaining, cost: None, client_retry: false };
        play.handle(Event::Request(new));
        play
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { server, timeout, .. } => self.check_send(server, timeout),
                Action::Refuse { .. } => {
                    let ran = self.sent.iter().any(Sent::may_have_run);
                    let harmless =
                        matches!(self.class.repeat, Repeat::Safe | Repeat::Keyed { scope: Scope::All, .. });
                    assert!(!ran || harmless, "refused, and it may have run");
                    self.answers += 1;
                }
                Action::Fail { .. } => self.answers += 1,
                Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
                Action::Cancel { .. } => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        assert!(self.answers <= 1, "a second answer");
    }

    fn check_send(&mut self, server: ServerId, timeout: Duration) {
        assert_eq!(self.answers, 0, "sent after its answer");
        let end = START + self.class.deadline;
        assert!(self.now < end && self.now + timeout <= end, "sent beyond its deadline");
        assert!(self.sent.iter().all(|s| s.server != server), "to a box that has had it");
        let most = self.class.attempt_policy.max_attempts.expect("a file says it");
        assert!(self.sent.len() < most as usize, "more attempts than allowed");
        if let Some(first) = self.sent.iter().find(|s| s.may_have_run()) {
            let (home, there) = (&self.servers[&first.server], &self.servers[&server]);
            match self.class.repeat {
                Repeat::Safe => {}
                Repeat::Unsafe => panic!("an unsafe request that may have run is sent again"),
                Repeat::Keyed { scope, window } => {
                    assert!(self.now < first.at + window, "a keyed request is sent after its window");
                    let inside = match scope {
                        Scope::All => true,
                        Scope::Zone => home.zone == there.zone,
                        Scope::Cell => home.cell == there.cell,
                    };
                    assert!(inside, "a keyed request leaves its scope");
                }
            }
        }
        self.sent.push(Sent { server, at: self.now, until: self.now + timeout, outcome: None });
    }

    /// Lets the timers ring that are due until then, in order.
    fn pass(&mut self, until: Duration) {
        while let Some(first) = self.timers.iter().map(|(at, _)| *at).min().filter(|at| *at <= until) {
            let at = self.timers.iter().position(|(at, _)| *at == first).expect("a timer");
            let (due, token) = self.timers.remove(at);
            self.now = self.now.max(due);
            self.handle(Event::Timer { token });
        }
        self.now = self.now.max(until);
    }

    fn out(&self) -> Vec<usize> {
        (0..self.sent.len()).filter(|i| self.sent[*i].outcome.is_none()).collect()
    }

    /// Waits for an attempt that is out, and returns how many are; none once the answer is there.
    fn settle(&mut self) -> usize {
        while self.answers == 0 && self.out().is_empty() {
            let next = self.timers.iter().map(|(at, _)| *at).min().expect("a timer, or it never ends");
            self.pass(next);
        }
        if self.answers > 0 { 0 } else { self.out().len() }
    }

    fn end(&mut self, end: End) {
        let out = self.out();
        let number = out[end.which.min(out.len() - 1)];
        let until = self.sent[number].until;
        let at = match end.when {
            0 => self.now,
            1 => until.saturating_sub(Duration::from_millis(1)).max(self.now),
            _ => until.max(self.now),
        };
        self.pass(at);
        if self.answers > 0 {
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

/// Plays every sequence of ends from here on; returns how many there were.
fn explore(plan: &Plan, class: usize, path: &mut Vec<End>) -> usize {
    let mut play = Play::begin(plan, class);
    let mut out = play.settle();
    for end in path.iter() {
        play.end(*end);
        out = play.settle();
    }
    if out == 0 {
        assert_eq!(play.answers, 1, "one answer");
        assert!(play.now <= START + play.class.deadline, "in time: {:?}", play.now - START);
        return 1;
    }
    let mut leaves = 0;
    for which in 0..out {
        for (outcome, when) in ENDS {
            path.push(End { which, outcome, when });
            leaves += explore(plan, class, path);
            path.pop();
        }
    }
    leaves
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
    let (mut accepted, mut refused, mut leaves, mut retried) = (0, 0, 0, 0);
    while accepted < ACCEPTED {
        assert!(refused < 5000, "{refused} files refused and only {accepted} accepted");
        let text = file().new_tree(&mut runner).expect("a file").current();
        let Ok(loaded) = route_config::load(text.as_bytes()) else {
            refused += 1;
            continue;
        };
        accepted += 1;
        for class in 0..loaded.plan.clusters[0].settings.classes.len() {
            let played = std::panic::catch_unwind(|| explore(&loaded.plan, class, &mut Vec::new()));
            let played = played.unwrap_or_else(|_| panic!("under this file:\n{text}"));
            leaves += played;
            retried += usize::from(played > ENDS.len());
        }
    }
    // Else the generator has stopped to try what it is for.
    assert!(retried > ACCEPTED / 3, "only {retried} classes had a second attempt");
    assert!(refused > ACCEPTED / 2, "only {refused} files were refused");
    println!("{accepted} files accepted, {refused} refused, {leaves} sequences played");
}

/// The same for the example that operators begin with.
#[test]
fn the_example_keeps_the_rules() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.toml");
    let loaded = route_config::load(&std::fs::read(path).expect("the example")).expect("a good file");
    for class in 0..loaded.plan.clusters[0].settings.classes.len() {
        assert!(explore(&loaded.plan, class, &mut Vec::new()) >= ENDS.len());
    }
}
