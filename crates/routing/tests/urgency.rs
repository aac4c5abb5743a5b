//! The urgency of requests, by the tenant's priority first and then by the route's.

mod common;

use common::*;
use quickcheck::quickcheck;
use routing::*;

fn urgency(service: &mut Service, tenant: u8, route: u8, tokens: u32) -> u8 {
    let mut request = request();
    (request.tenant_priority, request.route_priority, request.prompt_tokens) = (tenant, route, tokens);
    match service.decide(ms(1), &request, &[]) {
        Decision::Forward { urgency, .. } => urgency,
        Decision::Reject { .. } => panic!("the request is rejected"),
    }
}

quickcheck! {
    fn a_higher_rank_never_has_a_greater_urgency_value(kinds: Vec<(u8, u8, u32)>) -> bool {
        let mut service = plain_service(3, 1, 7);
        let kinds: Vec<_> = kinds.into_iter().map(|(t, r, tokens)| (t % 5, r % 4, tokens % 50_000)).collect();
        for (tenant, route, tokens) in &kinds {
            urgency(&mut service, *tenant, *route, *tokens);
        }
        let mut ranked: Vec<_> = kinds.iter().map(|(tenant, route, tokens)| {
            ((*tenant, *route), urgency(&mut service, *tenant, *route, *tokens))
        }).collect();
        ranked.sort();
        let is_ordered = |pair: &[((u8, u8), u8)]| pair[0].0 == pair[1].0 || pair[0].1 <= pair[1].1;
        ranked.windows(2).all(is_ordered) && ranked.iter().all(|(_, urgency)| *urgency <= 9)
    }
}

#[test]
fn few_ranks_have_distinct_values_and_smaller_prompts_of_a_rank_come_first() {
    let mut service = plain_service(3, 1, 7);
    for turn in 0..200 {
        urgency(&mut service, 0, 0, 600);
        urgency(&mut service, 0, 1, if turn % 2 == 0 { 9000 } else { 1000 });
        urgency(&mut service, 1, 0, 600);
    }
    let first_route = urgency(&mut service, 0, 0, 600);
    let small_prompt = urgency(&mut service, 0, 1, 1000);
    let large_prompt = urgency(&mut service, 0, 1, 9000);
    let other_tenant = urgency(&mut service, 1, 0, 600);
    assert!(first_route < small_prompt && small_prompt < large_prompt && large_prompt < other_tenant);
}
