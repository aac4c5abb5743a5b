//! A simulated fleet: nodes, one quota leader at a time, and messages that are delayed, reordered, duplicated
//! or lost.

use configuration::{Tenant, Unit};
use control_protocol::{QuotaRequest, QuotaResponse};
use quota::{Admission, PendingAdmission, QuotaAllocator, QuotaSettings, TenantLimits};
use rand::Rng;
use rand_pcg::Pcg64;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(5);
/// The longest interval between two responses by which an agent regards its node as in contact with the quota
/// leader. The same as in the agent's `quota_contact`.
const CONTACT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a coordinator counts a node without contact.
const NODE_RETENTION: Duration = Duration::from_secs(10);
pub const TENANT: &str = "t";
pub const SETTINGS: QuotaSettings =
    QuotaSettings { window_s: 8.0, overuse_ratio: 0.1, token_slack: 110_000.0 };

pub fn tenant(rate: f64, unit: Unit) -> Tenant {
    Tenant {
        name: TENANT.into(),
        api_keys: Vec::new(),
        priority: 0,
        unit,
        plain_tokens: None,
        rate_per_s: Some(rate),
        burst: Some(rate),
    }
}

#[derive(Clone)]
enum Message {
    Request(usize, QuotaRequest),
    Response(usize, u64, QuotaResponse),
}

/// A client's request that waits for quota.
struct Waiting {
    cost: f64,
    admission: PendingAdmission,
}

pub struct Node {
    limits: TenantLimits,
    waiting: Vec<Waiting>,
    /// Incremented by each restart.
    incarnation: u64,
    /// Whether its messages are lost.
    pub partitioned: bool,
    /// When the node shut down gracefully, and the epoch of the quota leader that was notified of it.
    pub left: Option<(Duration, Option<u64>)>,
    /// When the last two responses of a quota leader arrived, the newest first.
    responses: [Option<Duration>; 2],
}

impl Node {
    /// Whether the node was in contact with a quota leader when it shut down, by the rule of the agent.
    fn was_in_contact(&self, left_at: Duration) -> bool {
        let [last, second_last] = self.responses;
        let is_recent = |response: Option<Duration>, at: Duration| {
            response.is_some_and(|response| at <= response + CONTACT_INTERVAL)
        };
        is_recent(last, left_at) && last.is_some_and(|last| is_recent(second_last, last))
    }
}

/// The decisions on all requests.
#[derive(Default)]
pub struct Counts {
    /// The times and costs of admitted requests.
    pub admitted: Vec<(Duration, f64)>,
    /// The times and costs of rejected requests.
    pub rejected: Vec<(Duration, f64)>,
    /// The total cost of the requests that arrived at each node, and of those that it admitted.
    pub by_node: Vec<(f64, f64)>,
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub allocator: Option<QuotaAllocator>,
    pub epoch: u64,
    pub tenant: Tenant,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is duplicated.
    pub duplication: f64,
    /// The longest delay of a message.
    pub max_delay: Duration,
    pub counts: Counts,
    /// The number of quota requests that were sent, and of those with a demand.
    pub requests: (usize, usize),
    /// Messages with the times of their delivery.
    in_flight: Vec<(Duration, Message)>,
    /// The weights by which clients' requests are distributed over the nodes; evenly if it is empty.
    pub weights: Vec<f64>,
    pub rng: Pcg64,
    pub policy: policy::Limits,
}

impl Fleet {
    pub fn new(nodes: usize, tenant: Tenant, rng: Pcg64) -> Self {
        let mut fleet = Fleet {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            allocator: None,
            epoch: 0,
            tenant,
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(15),
            counts: Counts::default(),
            requests: (0, 0),
            in_flight: Vec::new(),
            weights: Vec::new(),
            rng,
            policy: policy::Limits::default(),
        };
        fleet.counts.by_node = vec![(0.0, 0.0); nodes];
        fleet.nodes = (0..nodes).map(|_| fleet.new_node(0)).collect();
        fleet.new_allocator();
        fleet
    }

    /// Restarts the fleet with another policy.
    pub fn with_policy(mut self, policy: policy::Limits) -> Self {
        self.policy = policy;
        self.nodes = (0..self.nodes.len()).map(|_| self.new_node(0)).collect();
        self.new_allocator();
        self
    }

    fn new_node(&self, incarnation: u64) -> Node {
        let mut limits = TenantLimits::with_policy(SETTINGS, self.policy, self.now);
        limits.configure(self.now, std::slice::from_ref(&self.tenant));
        Node {
            limits,
            waiting: Vec::new(),
            incarnation,
            partitioned: false,
            left: None,
            responses: [None; 2],
        }
    }

    pub fn restart(&mut self, node: usize) {
        let partitioned = self.nodes[node].partitioned;
        self.nodes[node] = Node { partitioned, ..self.new_node(self.nodes[node].incarnation + 1) };
    }

    /// Shuts a node down gracefully. None of its messages is in flight any more, and the quota leader is
    /// notified.
    pub fn leave(&mut self, node: usize) {
        let is_of_node = |message: &Message| match message {
            Message::Request(other, _) | Message::Response(other, ..) => *other == node,
        };
        self.in_flight.retain(|(_, message)| !is_of_node(message));
        self.nodes[node].left = Some((self.now, self.allocator.as_ref().map(|_| self.epoch)));
        self.nodes[node].waiting.clear();
        if let Some(allocator) = &mut self.allocator {
            allocator.remove_node(self.now, &node.to_string());
        }
        self.update_known_nodes();
    }

    /// Starts a node again that has left.
    pub fn return_node(&mut self, node: usize) {
        self.restart(node);
        self.update_known_nodes();
    }

    fn update_known_nodes(&mut self) {
        // Coordinators count a node that has left for a while if they were not notified.
        let (now, epoch) = (self.now, self.epoch);
        let is_known = |node: &&Node| match node.left {
            Some((at, notified)) => {
                notified != Some(epoch) && !node.was_in_contact(at) && now < at + NODE_RETENTION
            }
            None => true,
        };
        let known = self.nodes.iter().filter(is_known).count() as u32;
        if let Some(allocator) = &mut self.allocator {
            allocator.set_known_nodes(known);
        }
    }

    pub fn new_allocator(&mut self) {
        self.epoch += 1;
        let mut allocator = QuotaAllocator::with_policy(SETTINGS, self.policy, self.now);
        allocator.configure(self.now, self.epoch, std::slice::from_ref(&self.tenant));
        self.allocator = Some(allocator);
        self.update_known_nodes();
    }

    pub fn configure(&mut self, tenant: Tenant) {
        self.tenant = tenant;
        let tenants = std::slice::from_ref(&self.tenant);
        for node in &mut self.nodes {
            node.limits.configure(self.now, tenants);
        }
        if let Some(allocator) = &mut self.allocator {
            allocator.configure(self.now, self.epoch, tenants);
        }
    }

    /// Draws the node at which the next request arrives.
    pub fn draw_node(&mut self) -> usize {
        let count = self.nodes.len();
        if self.weights.is_empty() {
            return self.rng.random_range(0..count);
        }
        let mut remainder = self.rng.random_range(0.0..self.weights.iter().sum());
        let is_drawn = |weight: &f64| {
            remainder -= weight;
            remainder < 0.0
        };
        self.weights.iter().position(is_drawn).unwrap_or(count - 1)
    }

    /// Sends a client's request to a node, or to the next one that has not left.
    pub fn request(&mut self, node: usize, cost: f64) {
        let count = self.nodes.len();
        let Some(node) =
            (0..count).map(|step| (node + step) % count).find(|node| self.nodes[*node].left.is_none())
        else {
            return;
        };
        self.counts.by_node[node].0 += cost;
        let admission = self.nodes[node].limits.admit(self.now, TENANT, cost);
        self.record(node, cost, admission);
    }

    fn record(&mut self, node: usize, cost: f64, admission: Admission) {
        match admission {
            Admission::Admitted => {
                self.counts.admitted.push((self.now, cost));
                self.counts.by_node[node].1 += cost;
            }
            Admission::Rejected(_) => self.counts.rejected.push((self.now, cost)),
            Admission::Pending(admission) => self.nodes[node].waiting.push(Waiting { cost, admission }),
        }
    }

    fn decide(&mut self, node: usize) {
        for waiting in std::mem::take(&mut self.nodes[node].waiting) {
            let admission = self.nodes[node].limits.decide(self.now, TENANT, waiting.cost, waiting.admission);
            self.record(node, waiting.cost, admission);
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        if self.duplication > 0.0 && self.rng.random_bool(self.duplication) {
            self.put_in_flight(message.clone());
        }
        self.put_in_flight(message);
    }

    fn put_in_flight(&mut self, message: Message) {
        let longest = self.max_delay.as_secs_f64();
        let delay = Duration::from_secs_f64(self.rng.random_range(0.002..longest.max(0.003)));
        self.in_flight.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= self.now);
        self.in_flight = later;
        let due: Vec<(Duration, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Request(node, request) if !self.nodes[node].partitioned => {
                    let Some(allocator) = &mut self.allocator else { continue };
                    let response = allocator.handle_request(self.now, &node.to_string(), &request);
                    self.send(Message::Response(node, self.nodes[node].incarnation, response));
                }
                Message::Response(node, incarnation, response)
                    if !self.nodes[node].partitioned && incarnation == self.nodes[node].incarnation =>
                {
                    self.nodes[node].limits.apply_response(self.now, &response);
                    self.nodes[node].responses = [Some(self.now), self.nodes[node].responses[0]];
                    self.decide(node);
                }
                _ => {}
            }
        }
    }

    fn send_request(&mut self, node: usize) {
        if self.nodes[node].left.is_some() {
            return;
        }
        let limits = &mut self.nodes[node].limits;
        if limits.next_request_at().is_some_and(|at| at <= self.now) {
            let request = limits.create_request(self.now);
            self.requests.0 += 1;
            self.requests.1 += usize::from(!request.demands.is_empty());
            self.send(Message::Request(node, request));
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.update_known_nodes();
        self.deliver();
        for node in 0..self.nodes.len() {
            self.decide(node);
            self.send_request(node);
        }
    }

    /// The highest total cost that was admitted in any window.
    pub fn worst_window(&self) -> f64 {
        let window = Duration::from_secs_f64(SETTINGS.window_s);
        let (mut sum, mut worst, mut first) = (0.0, 0.0_f64, 0);
        for (at, cost) in &self.counts.admitted {
            sum += cost;
            while self.counts.admitted[first].0 + window < *at {
                sum -= self.counts.admitted[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst
    }
}

/// The most that may be admitted in a window, with the tolerated excess.
pub fn bound(rate: f64, unit: Unit) -> f64 {
    let slack = if unit == Unit::Tokens { SETTINGS.token_slack } else { 0.0 };
    (rate * SETTINGS.window_s + rate) * (1.0 + SETTINGS.overuse_ratio) + slack
}

/// Draws whether an event with this mean rate occurs in one step.
pub fn occurs(rng: &mut Pcg64, per_second: f64) -> bool {
    rng.random_bool((per_second * STEP.as_secs_f64()).min(1.0))
}
