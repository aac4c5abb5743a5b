//! A running agent with fake coordinators and a fake proxy, over loopback connections.

mod agents;

use agents::{Coordinator, Proxy, RunningAgent, agent, configuration, list, listener, reserved, view};
use control_protocol::{
    BackendListVersion, ConfigurationSequence, FromAgent, FromProxy, QuotaDemand, QuotaGrant, QuotaRequest,
    QuotaResponse, ToAgent, ToProxy,
};

/// The connections that wait to be accepted at most.
const BACKLOG: u32 = 64;

/// An agent with one coordinator, which has sent configuration 3 and list 5.
async fn connected_agent() -> (RunningAgent, tokio::net::TcpListener, Coordinator) {
    let (listener, address) = listener();
    let agent = RunningAgent::start(vec![address]);
    let mut coordinator = Coordinator::accept(&listener).await;
    coordinator.send(view(1, &[address]));
    coordinator.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(3) });
    coordinator.respond_to_fetch(3).await;
    coordinator.send(ToAgent::Backends(list(5, &["a", "b"])));
    (agent, listener, coordinator)
}

#[tokio::test]
async fn an_agent_connects_to_a_coordinator_that_starts_later() {
    let (socket, address) = reserved();
    let agent = RunningAgent::start(vec![address]);
    let mut proxy = Proxy::connect(agent.address, 0).await;
    let listener = socket.listen(BACKLOG).expect("listen");
    let mut coordinator = Coordinator::accept(&listener).await;
    assert_eq!(coordinator.configuration_sequence, 0);
    coordinator.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(1) });
    coordinator.respond_to_fetch(1).await;
    assert_eq!(proxy.receive_configuration().await, 1);
}

#[tokio::test]
async fn a_leaving_agent_sends_a_leave_message_last_and_does_not_reconnect() {
    let (agent, listener, mut coordinator) = connected_agent().await;
    let leaving = tokio::spawn(agent.leave());
    assert_eq!(coordinator.receive_message().await, FromAgent::Leaving { quota_use_reported: false });
    drop(coordinator);
    leaving.await.expect("the agent ends");
    let reconnected =
        std::future::poll_fn(|context| std::task::Poll::Ready(listener.poll_accept(context).is_ready()));
    assert!(!reconnected.await, "the agent has reconnected");
}

#[tokio::test]
async fn a_proxy_receives_the_complete_state_first_and_changes_later() {
    let (agent, _listener, coordinator) = connected_agent().await;
    let mut proxy = Proxy::connect(agent.address, 0).await;
    assert_eq!(proxy.receive_configuration().await, 3);
    assert_eq!(proxy.receive_backends().await.version, BackendListVersion(5));
    coordinator.send(ToAgent::Backends(list(6, &["a"])));
    assert_eq!(proxy.receive_backends().await.backends.len(), 1);
    coordinator.send(ToAgent::Backends(list(4, &["c"])));
    coordinator.send(ToAgent::Backends(list(7, &["a", "d"])));
    assert_eq!(proxy.receive_backends().await.version, BackendListVersion(7), "an older list is ignored");
}

#[tokio::test]
async fn a_configuration_is_fetched_from_another_coordinator_after_a_timeout() {
    let ((one, first), (other, second)) = (listener(), listener());
    let agent = RunningAgent::start(vec![first, second]);
    let (mut stalled, mut responsive) = (Coordinator::accept(&one).await, Coordinator::accept(&other).await);
    let mut proxy = Proxy::connect(agent.address, 0).await;
    stalled.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(2) });
    assert_eq!(
        stalled.receive_message().await,
        FromAgent::FetchConfiguration { sequence: ConfigurationSequence(2), request_id: 1 }
    );
    responsive.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(2) });
    responsive.respond_to_fetch(2).await;
    assert_eq!(proxy.receive_configuration().await, 2);
    // A late response with a configuration that the proxy already has is not sent to it again.
    stalled.send(ToAgent::NewestConfiguration { request_id: 1, sequence: ConfigurationSequence(2) });
    stalled.send(configuration(2));
    responsive.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(3) });
    responsive.respond_to_fetch(3).await;
    assert_eq!(proxy.receive_configuration().await, 3);
}

#[tokio::test]
async fn a_proxy_never_receives_an_older_configuration_than_it_has() {
    let (agent, _listener, mut coordinator) = connected_agent().await;
    let mut proxy = Proxy::connect(agent.address, 7).await;
    assert_eq!(
        coordinator.receive_message().await,
        FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(7) }
    );
    proxy.receive_backends().await;
    coordinator.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(8) });
    coordinator.respond_to_fetch(8).await;
    assert_eq!(proxy.receive_configuration().await, 8, "configuration 3 was not sent before");
}

#[tokio::test]
async fn a_new_connection_of_a_proxy_replaces_the_previous_one() {
    let (agent, _listener, coordinator) = connected_agent().await;
    let mut old = Proxy::connect(agent.address, 0).await;
    assert_eq!(old.receive_configuration().await, 3);
    let mut new = Proxy::connect(agent.address, 3).await;
    old.wait_until_closed().await;
    assert_eq!(new.receive_backends().await.version, BackendListVersion(5));
    coordinator.send(ToAgent::Backends(list(6, &[])));
    assert_eq!(new.receive_backends().await.version, BackendListVersion(6));
}

#[tokio::test]
async fn a_restarted_agent_fetches_the_configuration_for_a_running_proxy() {
    let (agent, listener, coordinator) = connected_agent().await;
    let (address, seed) = (agent.address, {
        let std::net::SocketAddr::V4(seed) = listener.local_addr().expect("address") else { panic!("v6") };
        seed
    });
    drop(coordinator);
    agent.abort().await;
    let restarted = RunningAgent::at(control_link::listen(address).expect("listen"), address, vec![seed]);
    let mut coordinator = Coordinator::accept(&listener).await;
    assert_eq!(coordinator.configuration_sequence, 0);
    let mut proxy = Proxy::connect(restarted.address, 3).await;
    coordinator.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(4) });
    coordinator.respond_to_fetch(4).await;
    assert_eq!(proxy.receive_configuration().await, 4);
    proxy.send(FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(4) });
    loop {
        if coordinator.receive_message().await
            == (FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(4) })
        {
            return;
        }
    }
}

#[tokio::test]
async fn quota_requests_reach_the_head_and_its_responses_reach_the_proxy() {
    let ((one, first), (other, second)) = (listener(), listener());
    let agent = RunningAgent::start(vec![first, second]);
    let (mut tail, mut head) = (Coordinator::accept(&one).await, Coordinator::accept(&other).await);
    let mut proxy = Proxy::connect(agent.address, 0).await;
    let tenant = String::from("t");
    let demand = QuotaDemand {
        tenant: tenant.clone(),
        waiting: vec![9000.0],
        top_up: 0.0,
        fallback_rate: 0.0,
        used_without_grants: 0.0,
        rejected_cost: 0.0,
    };
    let request =
        QuotaRequest { number: 1, last_answered: 0, last_answered_ms_ago: 0, demands: vec![demand] };
    let grant = QuotaGrant {
        tenant,
        amount: 9000.0,
        fallback_rate: 10.0,
        wait_ms: 0,
        remaining: 0.0,
        retry_ms: 0,
        pressure: 0.0,
    };
    let response = QuotaResponse { request_id: 1, epoch: 2, number: 1, nodes: 8, grants: vec![grant] };
    tail.send(view(2, &[second, first]));
    tail.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(1) });
    tail.respond_to_fetch(1).await;
    head.send(ToAgent::Heartbeat);
    assert_eq!(proxy.receive_configuration().await, 1);
    proxy.send(FromProxy::QuotaRequest(request.clone()));
    assert_eq!(head.receive_message().await, FromAgent::QuotaRequest(request));
    head.send(ToAgent::QuotaResponse(response.clone()));
    loop {
        if let ToProxy::QuotaResponse(received) = proxy.receive().await {
            assert_eq!(received, response);
            break;
        }
    }
    proxy.send(FromProxy::ConfigurationApplied { sequence: ConfigurationSequence(1) });
    assert_eq!(
        tail.receive_message().await,
        FromAgent::ConfigurationApplied { sequence: ConfigurationSequence(1) },
        "the tail has received no quota request before"
    );
}

#[tokio::test]
async fn an_agent_connects_to_members_of_a_new_view_and_disconnects_from_removed_ones() {
    let ((one, first), (other, second)) = (listener(), listener());
    let _agent = RunningAgent::start(vec![first]);
    let mut old = Coordinator::accept(&one).await;
    old.send(view(1, &[first, second]));
    let new = Coordinator::accept(&other).await;
    new.send(view(2, &[second]));
    // The link to the removed member is closed.
    loop {
        match old.try_receive().await {
            Some(_) => {}
            None => return,
        }
    }
}

/// How often the new coordinator accepts a link before the test fails.
const ACCEPTED_LINKS: usize = 4;

/// Whether the agent keeps a link from this coordinator until it has requested a configuration there.
async fn fetches_from_new_core(listener: &tokio::net::TcpListener, address: std::net::SocketAddrV4) -> bool {
    let mut coordinator = Coordinator::accept(listener).await;
    coordinator.send(view(2, &[address]));
    coordinator.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(2) });
    while let Some(message) = coordinator.try_receive().await {
        if matches!(message, FromAgent::FetchConfiguration { .. }) {
            return true;
        }
    }
    false
}

/// A frontend that was cut off while every coordinator was replaced kept serving its old configuration.
#[tokio::test]
async fn a_core_that_was_replaced_completely_is_found_through_the_seeds() {
    // Until it replaces the old core, nobody listens at the address of the new one.
    let (new, new_address) = reserved();
    let (old, old_address) = listener();
    let agent = RunningAgent::start(vec![old_address, new_address]);
    let mut former = Coordinator::accept(&old).await;
    former.send(view(1, &[old_address]));
    former.send(ToAgent::ConfigurationAvailable { sequence: ConfigurationSequence(1) });
    former.respond_to_fetch(1).await;
    assert_eq!(Proxy::connect(agent.address, 0).await.receive_configuration().await, 1);
    drop((former, old));
    let new = new.listen(BACKLOG).expect("listen");
    for _ in 0..ACCEPTED_LINKS {
        if fetches_from_new_core(&new, new_address).await {
            return;
        }
    }
    panic!("the agent closes each link to the new core before it has learnt the new view");
}

/// Lets all other tasks run until they wait for something that has not been sent yet.
async fn run_other_tasks() {
    for _ in 0..2000 {
        tokio::task::yield_now().await;
    }
}

/// A link that came up just as its coordinator was dropped stayed open, and in the agent's table of links.
#[tokio::test]
async fn a_link_that_comes_up_as_its_coordinator_is_dropped_is_closed() {
    let ((one, first), (other, second), (own, address)) = (listener(), listener(), listener());
    let agent = agent(own, vec![first, second]);
    let (member, mut dropped) = (Coordinator::accept(&one).await, Coordinator::accept(&other).await);
    // The main loop handles the view, which drops the second coordinator, before the event that its link is up.
    member.send(view(1, &[first]));
    run_other_tasks().await;
    dropped.send(ToAgent::Heartbeat);
    run_other_tasks().await;
    let _agent = RunningAgent::run(agent, address);
    let mut received = Vec::new();
    while let Some(message) = dropped.try_receive().await {
        received.push(message);
        assert!(received.len() < 3, "the link is still in use: {received:?}");
    }
}
