//! What the coordinators say of the core: whether all of them are in the chain.

use crate::links::MachineId;
use crate::machines::Machines;
use crate::world::World;
use fleet_demo::http;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a coordinator has to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long the chain may be incomplete before the trial goes on nevertheless.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct Status {
    acting_head: bool,
    view: Option<ViewStatus>,
}

#[derive(Deserialize)]
struct ViewStatus {
    members: Vec<MemberStatus>,
}

#[derive(Deserialize)]
struct MemberStatus {
    address: SocketAddrV4,
    /// The position in the chain; `None` outside it.
    place: Option<usize>,
}

/// Waits until the acting head reports a chain of exactly the machines of the core. A machine that replaces
/// another is then caught up, also where the disks of this computer are slow. Returns the time that it took.
pub async fn wait_for_complete_chain(world: &World, machines: &Machines) -> Duration {
    let started = world.now();
    while !is_chain_complete(world, machines).await && world.now() < started + PATIENCE {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    world.now() - started
}

async fn is_chain_complete(world: &World, machines: &Machines) -> bool {
    let numbers = machines.core().into_iter().filter_map(|machine| match machine.id {
        MachineId::Coordinator(number) => Some(number),
        MachineId::Frontend(_) => None,
    });
    let numbers: Vec<usize> = numbers.collect();
    let core: BTreeSet<SocketAddrV4> =
        numbers.iter().map(|number| world.addresses.coordinator(*number)).collect();
    for number in numbers {
        let peer = world.addresses.control(number);
        let Ok(reply) = http::call(peer, http::get(peer, "/api/status"), RESPONSE_TIMEOUT).await else {
            continue;
        };
        let Ok(status) = serde_json::from_slice::<Status>(&reply.body) else { continue };
        let members = status.view.map(|view| view.members).unwrap_or_default();
        let chain = members.iter().filter(|member| member.place.is_some()).map(|member| member.address);
        if status.acting_head && chain.collect::<BTreeSet<_>>() == core {
            return true;
        }
    }
    false
}
