//! The value of the `Priority` header.

use crate::interface::RequestShape;
use policy::Routing as RoutingPolicy;

/// The value that a backend assumes where the header is missing.
const UNRANKED: u8 = 5;
/// The last of the values.
const LAST: u8 = 9;
/// Ranks that are distinguished; further ones share values with their neighbours.
const MAX_RANKS: usize = 32;
/// The weight of one request in the mean size.
const SMOOTH: f64 = 1.0 / 64.0;

/// A rank of requests: the priority of the tenant, then that of the route; 0 first.
type Rank = (u8, u8);

/// A rank that requests had, and what is known of them.
#[derive(Clone, Debug)]
struct ObservedRank {
    rank: Rank,
    /// The mean size of a prompt, in tokens.
    mean_tokens: f64,
}

/// The ranks seen so far, in order.
#[derive(Clone, Debug, Default)]
pub struct Urgency {
    ranks: Vec<ObservedRank>,
}

impl Urgency {
    /// The urgency of a request, 0 first. A more urgent rank never has a later value than a less urgent one;
    /// where values are left, the smaller prompts of a rank come first within it.
    pub fn of(&mut self, request: &RequestShape, policy: &RoutingPolicy) -> u8 {
        if !policy.urgency {
            return UNRANKED;
        }
        let index = self.observe((request.tenant_priority, request.route_priority), request.prompt_tokens);
        let tokens = f64::from(request.prompt_tokens);
        let is_small = tokens <= self.ranks[index].mean_tokens;
        let values = usize::from(LAST) + 1;
        let count = self.ranks.len();
        let first = index * values / count;
        let next = (index + 1) * values / count;
        let later = usize::from(policy.small_prompts_first && next > first + 1 && !is_small);
        (first + later) as u8
    }

    /// Adds a prompt to its rank. Returns the rank's index.
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
        *mean += (tokens - *mean) * SMOOTH;
        index
    }
}
