//! The election of the coordinator that reads the platform's list, and the order of list versions.

use control_protocol::{Backend, BackendListVersion, BackendState};
use coordinator::endpoints::reader_election::{READ_INTERVAL, ReaderElection, UpdateOutcome};
use coordinator::peer_protocol::EndpointListUpdate;
use std::net::SocketAddrV4;
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number].into(), 7680)
}

fn backend(name: &str, state: BackendState, cold_remaining_ms: u64) -> Backend {
    Backend {
        instance_id: name.into(),
        service: "s".into(),
        address: address(99),
        zone: "z".into(),
        generation: "v1".into(),
        slots: 4,
        state,
        cold_remaining_ms,
    }
}

fn ready(names: &[&str]) -> Vec<Backend> {
    names.iter().map(|name| backend(name, BackendState::Ready, 0)).collect()
}

fn three() -> [ReaderElection; 3] {
    let order = [1, 2, 3].map(address).to_vec();
    [1, 2, 3].map(|number| {
        let mut election = ReaderElection::new(address(number), Duration::from_millis(1_000), START);
        election.set_order(order.clone());
        election
    })
}

fn all_reachable(_: SocketAddrV4) -> bool {
    true
}

/// Three coordinators with a list that the first of them read at the start.
fn three_with_a_list() -> [ReaderElection; 3] {
    let [mut first, mut second, mut third] = three();
    let version = first.begin_read();
    first.complete_read(version, ready(&["a"]), START);
    let update = first.full_update().expect("an update");
    second.apply_update(address(1), update.clone(), START);
    third.apply_update(address(1), update, START);
    [first, second, third]
}

#[test]
fn without_a_list_each_candidate_reads_soon_after_the_one_before_it() {
    let waits = three().map(|election| election.next_read_at(|_| false).expect("a time") - START);
    assert!(waits[0] < waits[1] && waits[1] < waits[2] && waits[2] < READ_INTERVAL, "{waits:?}");
}

#[test]
fn without_a_list_candidates_without_contact_delay_a_read_only_briefly() {
    let [first, _, third] = three();
    let wait = |election: &ReaderElection, has_contact: fn(SocketAddrV4) -> bool| {
        election.next_read_at(has_contact).expect("a time") - START
    };
    assert!(wait(&third, |_| false) <= Duration::from_millis(50), "neither candidate before it has contact");
    assert!(
        wait(&third, |peer| peer == address(1)) >= Duration::from_millis(150),
        "the first candidate has contact and reads in the meantime"
    );
    assert!(wait(&third, all_reachable) > wait(&third, |peer| peer == address(1)));
    assert_eq!(wait(&first, all_reachable), wait(&first, |_| false));
}

#[test]
fn the_same_list_from_a_second_reader_is_a_confirmation() {
    let [mut first, mut second, _] = three();
    let (old, new) = (first.begin_read(), second.begin_read());
    assert!(matches!(first.complete_read(old, ready(&["a", "b"]), START), UpdateOutcome::Changed(_)));
    assert!(matches!(second.complete_read(new, ready(&["b", "a"]), START), UpdateOutcome::Changed(_)));
    let (mut ahead, mut behind) = if new > old { (second, first) } else { (first, second) };
    let update = ahead.full_update().expect("an update");
    assert_eq!(behind.apply_update(address(9), update.clone(), START), UpdateOutcome::Confirmed);
    assert_eq!(behind.list(), ahead.list());
    // The next update builds on the list that the other coordinator has under another version.
    let version = ahead.begin_read();
    ahead.complete_read(version, ready(&["a"]), START);
    assert!(matches!(
        behind.apply_update(address(9), ahead.newest_update().expect("an update"), START),
        UpdateOutcome::Changed(_)
    ));
    assert_eq!(behind.list(), ahead.list());
}

#[test]
fn the_delay_of_a_read_grows_with_the_rank_among_reachable_candidates() {
    let [first, second, third] = three_with_a_list();
    assert_eq!(first.next_read_at(all_reachable), Some(START + READ_INTERVAL));
    assert_eq!(second.next_read_at(all_reachable), Some(START + READ_INTERVAL * 2));
    assert_eq!(third.next_read_at(all_reachable), Some(START + READ_INTERVAL * 3));
    // Candidates without recent contact do not count.
    assert_eq!(third.next_read_at(|peer| peer == address(2)), Some(START + READ_INTERVAL * 2));
    assert_eq!(third.next_read_at(|_| false), Some(START + READ_INTERVAL));
}

#[test]
fn an_update_postpones_the_reads_of_others_and_the_reader_keeps_its_interval() {
    let [mut first, mut second, _] = three();
    let version = first.begin_read();
    let now = START + READ_INTERVAL;
    assert!(matches!(first.complete_read(version, ready(&["b", "a"]), now), UpdateOutcome::Changed(_)));
    assert_eq!(first.next_read_at(all_reachable), Some(now + READ_INTERVAL));
    let update = first.full_update().expect("an update");
    assert!(matches!(second.apply_update(address(1), update.clone(), now), UpdateOutcome::Changed(_)));
    assert_eq!(second.next_read_at(all_reachable), Some(now + READ_INTERVAL * 2));
    assert_eq!(second.list(), first.list());
    assert_eq!(second.apply_update(address(1), update, now), UpdateOutcome::Stale);
    let version = first.begin_read();
    let later = now + READ_INTERVAL;
    assert_eq!(first.complete_read(version, ready(&["a", "b"]), later), UpdateOutcome::Confirmed);
    let update = first.newest_update().expect("an update");
    assert_eq!(second.apply_update(address(1), update, later), UpdateOutcome::Confirmed);
    assert_eq!(second.list().map(|(version, _)| version), Some(version));
}

#[test]
fn a_reader_that_took_over_keeps_the_interval_and_yields_to_a_higher_ranked_reader() {
    let [mut first, mut second, _] = three();
    let now = START + READ_INTERVAL * 2;
    let version = second.begin_read();
    second.complete_read(version, ready(&["a"]), now);
    assert_eq!(second.next_read_at(all_reachable), Some(now + READ_INTERVAL));
    // The first candidate returns and has received no update. Its list is stale, but it takes precedence.
    let version = first.begin_read();
    first.complete_read(version, ready(&["a"]), now);
    let update = first.full_update().expect("an update");
    second.apply_update(address(1), update, now);
    assert_eq!(second.next_read_at(all_reachable), Some(second.last_read_at() + READ_INTERVAL * 2));
}

#[test]
fn a_read_completed_late_by_a_suspended_reader_is_stale() {
    let [mut first, mut second, _] = three();
    let old = first.begin_read();
    let version = second.begin_read();
    second.complete_read(version, ready(&["a"]), START);
    let version = second.begin_read();
    second.complete_read(version, vec![backend("a", BackendState::Draining, 0)], START);
    assert!(matches!(
        first.apply_update(address(2), second.full_update().expect("an update"), START),
        UpdateOutcome::Changed(_)
    ));
    assert_eq!(first.complete_read(old, ready(&["a"]), START), UpdateOutcome::Stale);
    assert_eq!(first.list(), second.list());
    assert!(first.begin_read() > version, "a read that starts now has a higher version");
}

#[test]
fn two_readers_never_assign_the_same_version() {
    let [mut first, mut second, mut third] = three();
    let versions = [first.begin_read(), second.begin_read(), third.begin_read()];
    assert!(versions[0] != versions[1] && versions[1] != versions[2] && versions[0] != versions[2]);
}

#[test]
fn a_confirmation_of_an_unknown_list_requires_the_full_list() {
    let [mut first, mut second, _] = three();
    let version = first.begin_read();
    first.complete_read(version, ready(&["a"]), START);
    let version = first.begin_read();
    first.complete_read(version, ready(&["a"]), START);
    assert_eq!(
        second.apply_update(address(1), first.newest_update().expect("an update"), START),
        UpdateOutcome::FullListNeeded
    );
    assert!(matches!(
        second.apply_update(address(1), first.full_update().expect("an update"), START),
        UpdateOutcome::Changed(_)
    ));
    let version = first.begin_read();
    first.complete_read(version, ready(&["a"]), START);
    assert_eq!(
        second.apply_update(address(1), first.newest_update().expect("an update"), START),
        UpdateOutcome::Confirmed
    );
}

#[test]
fn a_list_that_differs_only_in_remaining_time_is_unchanged() {
    let [mut first, ..] = three();
    let version = first.begin_read();
    first.complete_read(version, vec![backend("a", BackendState::Ready, 900)], START);
    let version = first.begin_read();
    assert_eq!(
        first.complete_read(version, vec![backend("a", BackendState::Ready, 200)], START),
        UpdateOutcome::Confirmed
    );
    let version = first.begin_read();
    let outcome = first.complete_read(version, vec![backend("a", BackendState::Draining, 0)], START);
    assert!(matches!(outcome, UpdateOutcome::Changed(_)));
}

#[test]
fn failed_reads_back_off_up_to_twice_the_interval() {
    let [mut first, ..] = three_with_a_list();
    let waits: Vec<Duration> = (0..4)
        .map(|_| {
            first.begin_read();
            first.fail_read(START + READ_INTERVAL);
            first.next_read_at(all_reachable).expect("a time") - START - READ_INTERVAL
        })
        .collect();
    assert_eq!(waits, [READ_INTERVAL, READ_INTERVAL * 2, READ_INTERVAL * 2, READ_INTERVAL * 2]);
}

#[test]
fn a_coordinator_that_has_withdrawn_does_not_read() {
    let [mut first, ..] = three();
    first.withdraw();
    assert_eq!(first.next_read_at(all_reachable), None);
}

#[test]
fn a_read_by_the_next_reader_has_a_higher_version_than_that_of_a_suspended_reader() {
    let [mut first, mut second, _] = three_with_a_list();
    let suspended = first.begin_read();
    assert!(second.begin_read() > suspended);
}

#[test]
fn a_reader_with_outdated_versions_reads_at_once() {
    let [mut first, mut second, _] = three_with_a_list();
    let version = BackendListVersion(first.begin_read().number() + (9 << 20));
    first.observe_version(version);
    assert_eq!(first.next_read_at(all_reachable), Some(START));
    assert!(first.begin_read() > version);
    assert_eq!(first.next_read_at(all_reachable), Some(START + READ_INTERVAL), "it reads at once only once");
    second.observe_version(version);
    assert_eq!(second.next_read_at(all_reachable), Some(START + READ_INTERVAL * 2), "it is not the reader");
    first.observe_version(BackendListVersion(u64::MAX));
    assert!(first.begin_read().number() < 1 << 62);
}

#[test]
fn the_next_read_exceeds_a_version_reported_by_an_agent() {
    let [mut first, ..] = three();
    first.observe_version(BackendListVersion(1 << 40));
    assert!(first.begin_read().number() > 1 << 40);
}

/// Three coordinators read while any of the updates between them may be lost: no coordinator's list is ever
/// replaced by an older one, and two lists with the same version are equal.
#[test]
fn lists_never_go_back_when_updates_are_lost() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut all = three();
        let mut contents: std::collections::HashMap<BackendListVersion, Vec<Backend>> = Default::default();
        let mut now = START;
        for (number, (reader, lost_to, changed)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(100);
            let reader = usize::from(reader % 3);
            let name = if changed { number.to_string() } else { "same".into() };
            let version = all[reader].begin_read();
            all[reader].complete_read(version, ready(&[&name]), now);
            let (full, newest) = (all[reader].full_update(), all[reader].newest_update());
            for (other, election) in all.iter_mut().enumerate() {
                if other == reader || lost_to & (1 << other) != 0 {
                    continue;
                }
                let before = election.list().map_or(BackendListVersion::NONE, |(version, _)| version);
                let from = address(reader as u8 + 1);
                let deliver = |election: &mut ReaderElection, update: &Option<EndpointListUpdate>| {
                    update.clone().map(|update| election.apply_update(from, update, now))
                };
                if deliver(election, &newest) == Some(UpdateOutcome::FullListNeeded) {
                    deliver(election, &full);
                }
                if election.list().map_or(BackendListVersion::NONE, |(version, _)| version) < before {
                    return false;
                }
            }
            for election in &all {
                let Some((version, backends)) = election.list() else { continue };
                let known = contents.entry(version).or_insert_with(|| backends.as_ref().clone());
                if known != backends.as_ref() {
                    return false;
                }
            }
        }
        true
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}
