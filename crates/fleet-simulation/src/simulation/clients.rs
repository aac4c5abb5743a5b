//! Events of clients: arrivals, retries and responses.

use super::{Simulation, SimulationEvent};
use crate::node::OpenRequest;
use join_up_to::{Event, NewRequest, Outcome, RequestId};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// A client with its request, which it may send several times.
pub(super) struct Client {
    class: usize,
    first_sent_at: f64,
    /// How often it has sent the request.
    sends: u32,
    /// The work of the request, in seconds on a core of speed 1.
    pub(super) work: f64,
}

impl Simulation<'_> {
    /// Sends the request of a new client, and schedules the next client.
    pub(super) fn client_arrives(&mut self) {
        if self.now >= self.scenario.length {
            return;
        }
        let mut left = self.random.random::<f64>() * self.scenario.class_mix.iter().sum::<f64>();
        let class = self.scenario.class_mix.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        let work = self.work.sample(&mut self.random);
        self.clients.push(Client { class, first_sent_at: self.now, sends: 0, work });
        self.tally.offered += 1;
        self.tally.by_class[class].offered += 1;
        self.tally.value_offered += self.scenario.settings.classes[class].value;
        self.second(self.now).offered += 1;
        self.send_request(self.clients.len() - 1);
        let wait: f64 = Exp1.sample(&mut self.random);
        self.schedule(wait / self.scenario.rate_at(self.now), SimulationEvent::Arrival);
    }

    /// Sends a client's request, or its retry, to a random node.
    pub(super) fn send_request(&mut self, client: usize) {
        self.clients[client].sends += 1;
        let class = self.clients[client].class;
        let at = self.random.random::<f64>() * self.share_sums.last().copied().unwrap_or_default();
        let node = self.share_sums.partition_point(|sum| *sum <= at).min(self.nodes.len() - 1);
        self.nodes[node].last_request += 1;
        let id = self.nodes[node].last_request;
        let request = OpenRequest { client, has_response: false, attempts: Vec::new() };
        self.nodes[node].open_requests.insert(id, request);
        let new = NewRequest {
            id: RequestId(id),
            class,
            tenant: 0,
            key: 0,
            remaining: self.scenario.settings.classes[class].deadline,
            cost: None,
            client_retry: false,
        };
        self.handle_at_node(node, Event::Request(new));
    }

    /// Delivers the response of a node to a request. The client retries unless the request was served.
    pub(super) fn respond(&mut self, node: usize, id: u64, outcome: Outcome, retry_after: Option<Duration>) {
        let request = self.nodes[node].open_requests.get_mut(&id);
        let Some(request) = request.filter(|request| !request.has_response) else { return };
        request.has_response = true;
        let (client, is_unsent) = (request.client, request.attempts.is_empty());
        let Client { class, first_sent_at, sends, .. } = self.clients[client];
        if outcome == Outcome::Served {
            return self.record_served(class, first_sent_at);
        }
        if is_unsent {
            self.second(self.now).rejected_unsent += 1;
        }
        if sends <= self.scenario.clients.retries {
            let honors = self.random.random_bool(self.scenario.clients.honors_retry_after.clamp(0.0, 1.0));
            let wait = retry_after.filter(|_| honors);
            let wait = wait.map_or(self.scenario.clients.wait, |wait| wait.as_secs_f64());
            self.schedule(wait, SimulationEvent::ClientRetry { client });
        } else if outcome == Outcome::Rejected {
            self.tally.rejected += 1;
        } else {
            self.tally.failed += 1;
        }
    }

    fn record_served(&mut self, class: usize, first_sent_at: f64) {
        let settings = &self.scenario.settings.classes[class];
        if self.now - first_sent_at <= settings.latency_target.as_secs_f64() {
            self.tally.in_time += 1;
            self.tally.by_class[class].in_time += 1;
            self.tally.value_in_time += settings.value;
            self.second(first_sent_at).in_time += 1;
        } else {
            self.tally.late += 1;
        }
    }
}
