//! The urgency of a request: the value of the `Priority` header, from 0 (most urgent) to 9.

use crate::interface::RequestShape;
use policy::Routing as RoutingPolicy;

/// The value that a backend assumes where the header is missing.
const DEFAULT_URGENCY: u8 = 5;
/// The least urgent value.
const MAX_URGENCY: u8 = 9;
/// The most ranks that are told apart. Further ones are treated as one of these.
const MAX_RANKS: usize = 32;
/// The weight of one request in the mean size of prompts.
const SIZE_WEIGHT: f64 = 1.0 / 64.0;

/// A rank of requests: the priority of the tenant, then that of the route. 0 is the highest.
type Rank = (u8, u8);

/// A rank of which there was a request.
#[derive(Clone, Debug)]
struct ObservedRank {
    rank: Rank,
    /// The mean size of a prompt, in tokens.
    mean_tokens: f64,
}

/// Maps the ranks seen so far, in order, to urgencies.
#[derive(Clone, Debug, Default)]
pub struct Urgency {
    ranks: Vec<ObservedRank>,
}

impl Urgency {
    /// The urgency of a request. The values are divided evenly among the ranks, so that a higher rank never
    /// has a greater value than a lower one. Where a rank has more than one value, smaller prompts get the
    /// first of them and larger ones the second.
    pub fn of(&mut self, request: &RequestShape, policy: &RoutingPolicy) -> u8 {
        if !policy.urgency {
            return DEFAULT_URGENCY;
        }
        let index = self.observe((request.tenant_priority, request.route_priority), request.prompt_tokens);
        let tokens = f64::from(request.prompt_tokens);
        let is_small = tokens <= self.ranks[index].mean_tokens;
        let value_count = usize::from(MAX_URGENCY) + 1;
        let rank_count = self.ranks.len();
        let first_value = index * value_count / rank_count;
        let next_rank_value = (index + 1) * value_count / rank_count;
        let has_second_value = next_rank_value > first_value + 1;
        let offset = usize::from(policy.small_prompts_first && has_second_value && !is_small);
        (first_value + offset) as u8
    }

    /// Adds a prompt to the mean size of its rank. Returns the index of the rank.
    fn observe(&mut self, rank: Rank, prompt_tokens: u32) -> usize {
        let tokens = f64::from(prompt_tokens);
        let index = match self.ranks.binary_search_by_key(&rank, |observed| observed.rank) {
            Ok(index) => index,
            Err(index) if self.ranks.len() < MAX_RANKS => {
                self.ranks.insert(index, ObservedRank { rank, mean_tokens: tokens });
                index
            }
            Err(index) => index.min(MAX_RANKS - 1),
        };
        let mean = &mut self.ranks[index].mean_tokens;
        *mean += (tokens - *mean) * SIZE_WEIGHT;
        index
    }
}
