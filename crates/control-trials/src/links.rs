//! The relays between machines and coordinators. Each machine reaches each coordinator through a relay of its
//! own, at the address that its setting `address_translation` names.

use crate::TrialError;
use crate::addresses::AddressBlock;
use fault_injection::plan::LinkFault;
use fault_injection::relay::{LinkFaultId, Relay};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};

/// A machine that opens connections to coordinators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineId {
    /// A coordinator's machine, by its number from 0.
    Coordinator(usize),
    /// A frontend, by its number from 0.
    Frontend(usize),
}

/// The relays of a trial, by the machine that opens connections and the number of the coordinator.
pub struct Links {
    relays: BTreeMap<(MachineId, usize), Relay>,
}

/// Faults that were injected together, and end together.
pub struct InjectedFaults(Vec<((MachineId, usize), LinkFaultId)>);

impl Links {
    /// Starts a relay from each of these machines to each of the coordinators 0 to `coordinators` - 1.
    ///
    /// # Errors
    /// A relay can't listen.
    pub async fn start(
        addresses: AddressBlock,
        machines: &[MachineId],
        coordinators: usize,
    ) -> Result<Self, TrialError> {
        let mut relays = BTreeMap::new();
        for machine in machines {
            for number in (0..coordinators).filter(|number| *machine != MachineId::Coordinator(*number)) {
                let target = SocketAddr::V4(addresses.coordinator(number));
                let relay = Relay::start(target, || ()).await;
                let relay = relay.map_err(|error| TrialError::Io("start a relay", error))?;
                relays.insert((*machine, number), relay);
            }
        }
        Ok(Links { relays })
    }

    /// The addresses at which a machine reaches the coordinators, by their announced addresses.
    pub fn translation(
        &self,
        machine: MachineId,
        addresses: AddressBlock,
    ) -> BTreeMap<SocketAddrV4, SocketAddr> {
        let of_machine = self.relays.iter().filter(|((from, _), _)| *from == machine);
        of_machine.map(|((_, number), relay)| (addresses.coordinator(*number), relay.address)).collect()
    }

    /// Injects a fault into all links of a machine to coordinators.
    pub fn disturb_from(&self, machine: MachineId, fault: LinkFault) -> InjectedFaults {
        self.disturb(fault, |from, _| from == machine)
    }

    /// Injects a fault into the links between a coordinator and all other coordinators, in both directions.
    pub fn disturb_between_coordinators(&self, coordinator: usize, fault: LinkFault) -> InjectedFaults {
        let is_coordinator = |machine: MachineId| matches!(machine, MachineId::Coordinator(_));
        self.disturb(fault, |from, to| {
            from == MachineId::Coordinator(coordinator) || (is_coordinator(from) && to == coordinator)
        })
    }

    fn disturb(&self, fault: LinkFault, selects: impl Fn(MachineId, usize) -> bool) -> InjectedFaults {
        let selected = self.relays.iter().filter(|((from, to), _)| selects(*from, *to));
        InjectedFaults(selected.map(|(link, relay)| (*link, relay.inject(fault))).collect())
    }

    /// Ends faults that were injected together.
    pub fn heal(&self, faults: InjectedFaults) {
        for (link, id) in faults.0 {
            if let Some(relay) = self.relays.get(&link) {
                relay.heal(id);
            }
        }
    }
}
