//! The operator: changes the configuration, sends invalid documents and changes that race, repeats changes
//! that have no clear answer, and reads the configuration back.

use crate::document::{Flaw, Generation, SERVICES, Version};
use crate::history::{Change, ChangeKind, ChangeOutcome, InvalidChange, Read};
use crate::machines::Machines;
use crate::world::World;
use bytes::Bytes;
use fleet_demo::http;
use http_body_util::Full;
use hyper::Request;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::time::Duration;

/// How long a coordinator has to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long a change is repeated without a clear answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long each coordinator is asked at the end of a trial.
const FINAL_PATIENCE: Duration = Duration::from_secs(10);
/// The share of the acknowledgements that are lost on their way.
const LOST_ACKNOWLEDGEMENTS: f64 = 0.1;
/// The pauses between two changes, one of which is drawn.
const PAUSES_MS: [u64; 5] = [20, 100, 300, 1000, 2500];

/// The answer to a change.
enum Answer {
    Acknowledged(String),
    Refused(u16),
    Unclear,
}

/// The operator, with the version that it takes for the newest.
pub struct Operator {
    world: Rc<World>,
    machines: Rc<Machines>,
    random: Pcg64Mcg,
    newest: Version,
    /// The generation that the newest version builds upon.
    newest_base: Generation,
    invalid_documents: u64,
}

impl Operator {
    /// An operator that has sent nothing yet.
    pub fn new(world: &Rc<World>, machines: &Rc<Machines>, seed: u64) -> Self {
        Operator {
            world: world.clone(),
            machines: machines.clone(),
            random: Pcg64Mcg::seed_from_u64(seed),
            newest: Version::first(0),
            newest_base: 0,
            invalid_documents: 0,
        }
    }

    /// Sends the first configuration. Returns whether it was acknowledged.
    pub async fn send_first(&mut self) -> bool {
        self.send_ordinary(Version::first(1), 0, ChangeKind::Ordinary).await
    }

    /// Changes the configuration until the trial ends. Returns itself for the final reads.
    pub async fn run(mut self) -> Self {
        while !self.world.ending.get() {
            let pause = PAUSES_MS.choose(&mut self.random).copied().unwrap_or_default();
            tokio::time::sleep(Duration::from_millis(pause)).await;
            match self.random.random_range(0..20) {
                0 => self.send_invalid().await,
                1 => self.send_race().await,
                2 => self.repeat_newest().await,
                3 | 4 => self.read_once().await,
                _ => self.send_next().await,
            }
        }
        self
    }

    /// Sends the next version.
    pub async fn send_next(&mut self) {
        let next = self.draw_next();
        let base = self.newest.generation;
        self.send_ordinary(next, base, ChangeKind::Ordinary).await;
    }

    fn draw_next(&mut self) -> Version {
        let generation = self.newest.generation + self.random.random_range(1..4);
        let others: Vec<&'static str> =
            SERVICES.into_iter().filter(|service| *service != self.newest.moving_to).collect();
        let moving_to = others.choose(&mut self.random).copied().unwrap_or(SERVICES[0]);
        self.newest.next(generation, moving_to)
    }

    /// Sends a valid change and records it. Returns whether it was acknowledged.
    async fn send_ordinary(&mut self, version: Version, base: Generation, kind: ChangeKind) -> bool {
        let index = self.record_change(&version, base, kind);
        let document = Bytes::from(version.text());
        let drops_answer = self.random.random_bool(LOST_ACKNOWLEDGEMENTS);
        let answer = self.send_until_clear(&document, base, drops_answer).await;
        let is_acknowledged = matches!(answer, Answer::Acknowledged(_));
        self.record_outcome(index, answer);
        if is_acknowledged {
            (self.newest, self.newest_base) = (version, base);
        } else if kind != ChangeKind::Repeated {
            self.read_newest().await;
        }
        is_acknowledged
    }

    fn record_change(&self, version: &Version, base: Generation, kind: ChangeKind) -> usize {
        let sent_at = self.world.now();
        let mut history = self.world.history.borrow_mut();
        let version = version.clone();
        history.changes.push(Change { version, base, kind, sent_at, outcome: ChangeOutcome::Unclear });
        history.changes.len() - 1
    }

    fn record_outcome(&self, index: usize, answer: Answer) {
        let at = self.world.now();
        let outcome = match answer {
            Answer::Acknowledged(by) => ChangeOutcome::Acknowledged { at, by },
            Answer::Refused(status) => ChangeOutcome::Refused(status),
            Answer::Unclear => ChangeOutcome::Unclear,
        };
        let mut history = self.world.history.borrow_mut();
        if let Some(change) = history.changes.get_mut(index) {
            change.outcome = outcome;
        }
    }

    /// Sends the newest acknowledged change once more, to any coordinator.
    async fn repeat_newest(&mut self) {
        let (version, base) = (self.newest.clone(), self.newest_base);
        self.send_ordinary(version, base, ChangeKind::Repeated).await;
    }

    /// Sends two different changes upon the same version at the same time, half of the time with the same
    /// number.
    async fn send_race(&mut self) {
        let base = self.newest.generation;
        let first = self.draw_next();
        let mut second = self.draw_next();
        while second.moving_to == first.moving_to && second.generation == first.generation {
            second = self.draw_next();
        }
        let indexes = [&first, &second].map(|version| self.record_change(version, base, ChangeKind::Race));
        let documents = [&first, &second].map(|version| Bytes::from(version.text()));
        let (mut one, mut other) = (self.fork(), self.fork());
        let (answer_one, answer_other) = tokio::join!(
            one.send_until_clear(&documents[0], base, false),
            other.send_until_clear(&documents[1], base, false)
        );
        let acknowledged =
            [&answer_one, &answer_other].map(|answer| matches!(answer, Answer::Acknowledged(_)));
        self.record_outcome(indexes[0], answer_one);
        self.record_outcome(indexes[1], answer_other);
        match acknowledged {
            [true, _] => (self.newest, self.newest_base) = (first, base),
            [_, true] => (self.newest, self.newest_base) = (second, base),
            _ => self.read_newest().await,
        }
    }

    /// An operator with the same knowledge, for a second call at the same time.
    fn fork(&mut self) -> Operator {
        let mut other = Operator::new(&self.world, &self.machines, self.random.random());
        (other.newest, other.newest_base) = (self.newest.clone(), self.newest_base);
        other
    }

    async fn send_invalid(&mut self) {
        self.invalid_documents += 1;
        let number = self.invalid_documents;
        let flaw = Flaw::ALL.choose(&mut self.random).copied().unwrap_or(Flaw::CutShort);
        let document = Bytes::from(flaw.document(&self.newest, number));
        let change = InvalidChange { number, flaw, acknowledged: false };
        self.world.history.borrow_mut().invalid_changes.push(change);
        let answer = self.send_until_clear(&document, self.newest.generation, false).await;
        if matches!(answer, Answer::Acknowledged(_)) {
            let mut history = self.world.history.borrow_mut();
            if let Some(change) = history.invalid_changes.last_mut() {
                change.acknowledged = true;
            }
        }
    }

    /// Sends a document to one coordinator after the other until one gives a clear answer. With
    /// `drops_answer`, the first acknowledgement is lost.
    async fn send_until_clear(
        &mut self,
        document: &Bytes,
        base: Generation,
        mut drops_answer: bool,
    ) -> Answer {
        let started = self.world.now();
        while self.world.now() < started + PATIENCE {
            let Some(coordinator) = self.draw_coordinator() else { return Answer::Unclear };
            match self.send(coordinator, document, base).await {
                Answer::Acknowledged(_) if std::mem::take(&mut drops_answer) => {}
                Answer::Unclear => tokio::time::sleep(RETRY_DELAY).await,
                clear => return clear,
            }
        }
        Answer::Unclear
    }

    fn draw_coordinator(&mut self) -> Option<usize> {
        self.machines.known_coordinators().choose(&mut self.random).copied()
    }

    async fn send(&self, coordinator: usize, document: &Bytes, base: Generation) -> Answer {
        let peer = self.world.addresses.control(coordinator);
        let request = Request::post("/api/Config.Replace")
            .header("host", peer.to_string())
            .header("x-base-revision", base)
            .header("content-type", "application/json")
            .body(Full::new(document.clone()));
        let Ok(request) = request else { return Answer::Unclear };
        match http::call(peer, request, RESPONSE_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => Answer::Acknowledged(coordinator_name(coordinator)),
            Ok(reply) if matches!(reply.status, 400..=499) && !matches!(reply.status, 408 | 429) => {
                Answer::Refused(reply.status)
            }
            _ => Answer::Unclear,
        }
    }

    /// Learns which of the versions without a clear answer is the newest.
    async fn read_newest(&mut self) {
        let started = self.world.now();
        while self.world.now() < started + PATIENCE {
            let Some(coordinator) = self.draw_coordinator() else { return };
            let Some(document) = self.read(coordinator).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let history = self.world.history.borrow();
            let sent = history.changes.iter().find(|change| change.version.text() == document);
            if let Some(change) = sent {
                (self.newest, self.newest_base) = (change.version.clone(), change.base);
            }
            return;
        }
    }

    async fn read(&self, coordinator: usize) -> Option<String> {
        let peer = self.world.addresses.control(coordinator);
        let reply = http::call(peer, http::get(peer, "/api/Config.Describe"), RESPONSE_TIMEOUT).await;
        let reply = reply.ok().filter(|reply| reply.status == 200)?;
        Some(String::from_utf8_lossy(&reply.body).into_owned())
    }

    async fn read_once(&mut self) {
        let Some(coordinator) = self.draw_coordinator() else { return };
        let sent_at = self.world.now();
        let document = self.read(coordinator).await;
        self.record_read(coordinator, sent_at, document, false);
    }

    fn record_read(&self, coordinator: usize, sent_at: Duration, document: Option<String>, is_final: bool) {
        let read = Read { coordinator: coordinator_name(coordinator), sent_at, document, is_final };
        self.world.history.borrow_mut().reads.push(read);
    }

    /// Reads the configuration back from each coordinator, again and again until it comes.
    pub async fn read_back(&self) {
        for coordinator in self.machines.known_coordinators() {
            let started = self.world.now();
            loop {
                let sent_at = self.world.now();
                let document = self.read(coordinator).await;
                if document.is_some() || sent_at > started + FINAL_PATIENCE {
                    self.record_read(coordinator, sent_at, document, true);
                    break;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn coordinator_name(number: usize) -> String {
    format!("core-{}", number + 1)
}
