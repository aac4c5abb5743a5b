//! The queue serves tenants by share, and the requests of a tenant by priority weight per cost.

use admission_control::fair_queue::{FairQueue, QueuedRequest};
use join_up_to::RequestId;
use std::time::Duration;

fn request(id: u64, tenant: usize, cost: f64, priority_weight: f64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        tenant,
        cost,
        priority_weight,
        deadline: Duration::from_secs(1),
        guaranteed: false,
    }
}

fn id(id: u64) -> Option<RequestId> {
    Some(RequestId(id))
}

/// Serves requests for `backend_time` seconds while all tenants always have a request queued. Returns the
/// fraction of the time that each got.
fn serve(shares: &[f64], costs: &[f64], backend_time: f64) -> Vec<f64> {
    let mut queue = FairQueue::default();
    shares.iter().enumerate().for_each(|(tenant, share)| queue.set_share(tenant, *share));
    let mut id = 0;
    let mut push = |queue: &mut FairQueue, tenant: usize| {
        id += 1;
        queue.push(request(id, tenant, costs[tenant], 1.0));
    };
    (0..shares.len()).for_each(|tenant| push(&mut queue, tenant));
    let (mut received, mut sum) = (vec![0.0; shares.len()], 0.0);
    while sum < backend_time {
        let served = queue.pop().expect("a request is queued");
        received[served.tenant] += served.cost;
        sum += served.cost;
        push(&mut queue, served.tenant);
    }
    received.iter().map(|received| received / sum).collect()
}

#[test]
fn tenants_get_backend_time_by_share_whatever_their_requests_cost() {
    let received = serve(&[0.5, 0.3, 0.2], &[0.002, 0.9, 0.04], 2000.0);
    for (received, share) in received.iter().zip([0.5, 0.3, 0.2]) {
        assert!((received - share).abs() < 0.002, "{received} of {share}");
    }
    // A tenant with a share of 0 is hardly served, and does not delay the others.
    assert!(serve(&[1.0, 0.0], &[0.01, 0.01], 1000.0)[1] < 1e-3);
}

#[test]
fn unused_shares_of_five_thousand_tenants_are_not_accumulated() {
    let mut queue = FairQueue::default();
    (0..5000).for_each(|tenant| queue.set_share(tenant, 1.0 / 5000.0));
    for id in 0..100_000 {
        queue.push(request(id, (id % 100) as usize, 0.01, 1.0));
    }
    (0..50_000).for_each(|_| assert!(queue.pop().is_some()));
    queue.push(request(200_000, 4999, 0.01, 1.0));
    queue.push(request(200_001, 4999, 0.01, 1.0));
    let turns: Vec<_> = (0..202).filter_map(|_| queue.pop()).map(|w| w.tenant).collect();
    let at: Vec<_> = turns.iter().enumerate().filter(|(_, t)| **t == 4999).map(|(at, _)| at).collect();
    assert!(at[0] <= 101, "its share is available within one turn of the others: {at:?}");
    assert!(at[1] - at[0] >= 90, "it does not get two turns in succession: {at:?}");
}

#[test]
fn within_a_tenant_the_highest_weight_for_its_cost_is_first_and_the_lowest_is_displaced() {
    let mut queue = FairQueue::default();
    queue.set_share(0, 1.0);
    for (id, cost, weight) in [(1, 0.1, 1.0), (2, 0.1, 5.0), (3, 1.0, 20.0), (4, 0.1, 5.0)] {
        queue.push(request(id, 0, cost, weight));
    }
    assert_eq!(
        queue.displaced_by(&request(9, 0, 0.1, 2.0)),
        id(1),
        "a weight of 10 per second is the lowest"
    );
    assert_eq!(queue.displaced_by(&request(9, 0, 0.1, 0.5)), id(9), "the new request has a lower one");
    assert_eq!(queue.displaced_by(&request(9, 0, 0.1, 1.0)), id(9), "the new request has an equal one");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|w| w.id.0).collect();
    assert_eq!(order, [2, 4, 3, 1]);
    assert_eq!((queue.len(), queue.cost()), (0, 0.0));
}

#[test]
fn the_tenant_with_the_largest_backlog_for_its_share_is_displaced_but_not_its_guaranteed_requests() {
    let mut queue = FairQueue::default();
    queue.set_share(0, 0.9);
    queue.set_share(1, 0.1);
    (0..10).for_each(|id| queue.push(request(id, 0, 0.1, 1.0)));
    (10..15).for_each(|id| queue.push(request(id, 1, 0.1, 1.0)));
    assert_eq!(queue.displaced_by(&request(99, 0, 0.1, 1.0)), id(14));
    assert_eq!(queue.displaced_by(&request(99, 1, 0.1, 1.0)), id(99));
    let guaranteed = QueuedRequest { guaranteed: true, ..request(99, 1, 0.1, 1.0) };
    assert_eq!(queue.displaced_by(&guaranteed), id(14));
    queue.push(guaranteed);
    assert_eq!(queue.pop().map(|w| w.id), id(99), "a guaranteed request is served first");
    (0..15).for_each(|id| assert!(queue.remove(RequestId(id)).is_some()));
    queue.push(QueuedRequest { guaranteed: true, ..request(100, 1, 0.1, 1.0) });
    assert_eq!(queue.displaced_by(&QueuedRequest { guaranteed: true, ..request(101, 1, 0.1, 1.0) }), None);
    assert_eq!(queue.displaced_by(&request(101, 1, 0.1, 1.0)), id(101));
}

#[test]
fn a_request_past_its_deadline_expires_once() {
    let mut queue = FairQueue::default();
    for id in 0..3 {
        queue.push(QueuedRequest {
            deadline: Duration::from_millis(100 * (3 - id)),
            ..request(id, 0, 0.1, 1.0)
        });
    }
    assert_eq!(queue.next_deadline(), Some(Duration::from_millis(100)));
    assert_eq!(queue.expire(Duration::from_millis(99)), None);
    let expired: Vec<_> = std::iter::from_fn(|| queue.expire(Duration::from_millis(250))).collect();
    assert_eq!(expired.iter().map(|w| w.id.0).collect::<Vec<_>>(), [2, 1]);
    assert_eq!((queue.len(), queue.contains(RequestId(0)), queue.contains(RequestId(1))), (1, true, false));
}
