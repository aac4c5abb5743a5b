//! Storing records, acting once they are durable, and recovery from them at a start.

use crate::durability::{DurableAction, WriteTracker};
use crate::identifiers::{MemberId, ViewNumber, WriteId};
use crate::interface::Output;
use crate::model::{Member, View};
use crate::record::{Record, RecordBody};
use crate::replica::Replica;
use rand::RngCore;
use std::net::SocketAddrV4;

/// The bit that is set in random identities and clear in those derived from an address.
const RANDOM_ID_BIT: u64 = 1 << 63;

/// The identity of a seed at the first start of the whole system. Derived from the address, so that every
/// seed can compute the identities of all of them.
fn derived_identity(address: SocketAddrV4) -> MemberId {
    let bytes = address.ip().octets().into_iter().chain(address.port().to_be_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    MemberId(hash & !RANDOM_ID_BIT)
}

/// The first view, whose chain and voters are the seeds in the order of their addresses. Their zones are not
/// known yet.
fn first_view(seeds: &[SocketAddrV4]) -> View {
    let mut addresses = seeds.to_vec();
    addresses.sort();
    addresses.dedup();
    let member = |address| Member { id: derived_identity(address), address, zone: String::new() };
    let voters: Vec<Member> = addresses.into_iter().map(member).collect();
    let chain = voters.iter().map(|voter| voter.id).collect();
    View { number: ViewNumber(1), voters, chain, idle_since: None }
}

impl Replica {
    /// Recovers the state from the records on disk, or creates an identity if the disk is empty.
    pub(crate) fn restore(&mut self, records: Vec<Record>) {
        let bytes = records.iter().map(Record::size).sum();
        self.writes = WriteTracker::new(bytes);
        for record in records {
            self.replay(record.0);
        }
        if !self.identity_durable {
            self.initialize_disk();
        }
        self.chain.durable_newest =
            if self.identity_durable { self.register.newest() } else { Default::default() };
        self.chain.durable_progress = if self.identity_durable { self.progress } else { Default::default() };
        if let Some(view) = self.view.clone() {
            self.outputs.push(Output::ViewChanged(view));
        }
        if self.identity_durable && self.is_head() {
            self.become_head();
        }
        self.advance_chain();
    }

    fn replay(&mut self, record: RecordBody) {
        let next = self.view_number().next();
        match record {
            RecordBody::Identity { id, first_view } => {
                self.id = id;
                self.identity_durable = true;
                self.progress.sync(first_view.as_ref().map_or(ViewNumber::NONE, |view| view.number));
                self.view = first_view;
            }
            RecordBody::View(view) => {
                self.record_view(&view);
                self.acceptor = Default::default();
            }
            RecordBody::Promise { slot, number, gave_up_sync } if slot == next => {
                self.acceptor.promised = Some(number);
                self.acceptor.gave_up_sync |= gave_up_sync;
            }
            RecordBody::Accept { slot, proposal } if slot == next => self.acceptor.accept(self.now, proposal),
            RecordBody::Promise { .. } | RecordBody::Accept { .. } => {}
            RecordBody::Entry { entry, synced } => {
                self.register.append(entry);
                self.progress.sync(synced);
            }
            RecordBody::Synced(number) => self.progress.sync(number),
            RecordBody::Transfer { transfer, progress } => {
                if !self.register.apply_transfer(&transfer) {
                    log::error!(
                        "replication: a stored state transfer (newest sequence {}) does not follow from the \
                         records before it; its entries are ignored",
                        transfer.newest().sequence
                    );
                }
                self.progress = progress;
            }
        }
    }

    fn initialize_disk(&mut self) {
        let address = self.settings.address;
        let first = self.settings.bootstrap && self.settings.seeds.contains(&address);
        let first_view = first.then(|| first_view(&self.settings.seeds));
        let derive = first || has_fault!(self, ReusesLostIdentity);
        self.id =
            if derive { derived_identity(address) } else { MemberId(self.random.next_u64() | RANDOM_ID_BIT) };
        self.progress.sync(ViewNumber(u64::from(first)));
        self.view = first_view.clone();
        log::info!(
            "replication: empty disk at {address}, initialized as member {:x} (first start: {first})",
            self.id.get()
        );
        let action = self.activate_action();
        self.store(RecordBody::Identity { id: self.id, first_view }, action);
    }

    /// Orders a record to be stored, and `action` to be performed once it is durable. Does nothing while the
    /// disk rejects writes.
    pub(crate) fn store(&mut self, record: RecordBody, action: DurableAction) {
        if self.writes.is_rejecting() {
            return;
        }
        let id = self.writes.begin_append(self.now, record.size(), action);
        self.outputs.push(Output::Store(id, Record(record)));
    }

    /// The action to perform once all records ordered so far are durable.
    pub(crate) fn advance_durable_action(&self) -> DurableAction {
        DurableAction::AdvanceDurable { newest: self.register.newest(), progress: self.progress }
    }

    fn activate_action(&self) -> DurableAction {
        DurableAction::Activate { newest: self.register.newest(), progress: self.progress }
    }

    pub(crate) fn write_completed(&mut self, id: WriteId) {
        for action in self.writes.complete(self.now, id) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: DurableAction) {
        match action {
            DurableAction::Activate { newest, progress } => {
                self.identity_durable = true;
                self.advance_durable(newest, progress);
                self.send_heartbeats();
            }
            DurableAction::Send(to, body) => self.send(to, *body),
            DurableAction::AdvanceDurable { newest, progress } => self.advance_durable(newest, progress),
        }
    }

    pub(crate) fn write_failed(&mut self, id: WriteId) {
        log::warn!("replication: the disk rejected write {}", id.get());
        self.writes.fail(self.now, id);
        self.send_heartbeats();
    }

    /// Rewrites the log if it is long, retries a disk that rejected a write, and probes a slow disk.
    pub(crate) fn tick_disk(&mut self) {
        let probes = self.identity_durable && !has_fault!(self, NeverProbesDisk);
        if probes && self.writes.needs_probe(self.now) {
            let action = self.advance_durable_action();
            self.store(RecordBody::Synced(self.progress.synced), action);
        }
        let is_long = self.writes.needs_rewrite() && !self.writes.is_rejecting();
        let retries = !has_fault!(self, NeverRetriesDisk);
        if (retries && self.writes.is_retry_due(self.now)) || is_long {
            self.rewrite();
        }
    }

    /// Orders the log to be replaced by records of the current state.
    fn rewrite(&mut self) {
        let records = self.all_records();
        let bytes = records.iter().map(RecordBody::size).sum();
        let action =
            if self.identity_durable { self.advance_durable_action() } else { self.activate_action() };
        let id = self.writes.begin_rewrite(self.now, bytes, action);
        self.outputs.push(Output::Rewrite(id, records.into_iter().map(Record).collect()));
    }

    fn all_records(&self) -> Vec<RecordBody> {
        let slot = self.view_number().next();
        let mut records = vec![RecordBody::Identity { id: self.id, first_view: None }];
        records.extend(self.view.clone().map(RecordBody::View));
        let accepted = self.acceptor.accepted.clone();
        records.extend(accepted.map(|proposal| RecordBody::Accept { slot, proposal }));
        let gave_up_sync = self.acceptor.gave_up_sync;
        let promised = self.acceptor.promised;
        records.extend(promised.map(|number| RecordBody::Promise { slot, number, gave_up_sync }));
        let transfer = self.register.full_transfer();
        records.push(RecordBody::Transfer { transfer, progress: self.progress });
        records
    }
}
