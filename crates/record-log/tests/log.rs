//! The log on a real disk and on a simulated one.

mod simulated;

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use record_log::{Log, LogError, open};
use simulated::Disk;

type Records = Vec<Vec<u8>>;

fn slices(records: &Records) -> Vec<&[u8]> {
    records.iter().map(Vec::as_slice).collect()
}

fn some_records(random: &mut Pcg64Mcg) -> Records {
    let count = random.random_range(1..4);
    (0..count).map(|_| (0..random.random_range(0..300)).map(|_| random.random()).collect()).collect()
}

#[test]
fn records_survive_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("data");
    let (mut log, found) = open(&path).expect("opens");
    assert!(found.is_empty());
    log.append(&[b"one", b"two"]).expect("appends");
    log.append(&[b""]).expect("appends");
    drop(log);
    let (mut log, found) = open(&path).expect("opens");
    assert_eq!(found, [b"one".to_vec(), b"two".to_vec(), b"".to_vec()]);
    log.rewrite(&[b"three"]).expect("rewrites");
    log.append(&[b"four"]).expect("appends");
    drop(log);
    let (log, found) = open(&path).expect("opens");
    assert_eq!(found, [b"three".to_vec(), b"four".to_vec()]);
    assert!(log.length() < 100);
    assert_eq!(std::fs::read_dir(&path).expect("a folder").count(), 1);
}

/// A log under test, with the records that it must contain.
struct Trial {
    disk: Disk,
    log: Log<Disk>,
    acknowledged: Records,
    /// Other contents that it may have after a crash, because of calls that failed since then.
    possible: Vec<Records>,
    random: Pcg64Mcg,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let disk = Disk::default();
        let (log, _) = Log::open(disk.clone()).expect("opens");
        let random = Pcg64Mcg::seed_from_u64(seed);
        Trial { disk, log, acknowledged: Vec::new(), possible: Vec::new(), random }
    }

    fn step(&mut self) {
        if self.random.random_range(0..5) == 0 {
            let operations = self.random.random_range(0..4);
            self.disk.0.borrow_mut().operations_left = Some(operations);
        }
        match self.random.random_range(0..10) {
            0..6 => self.append(),
            6..8 => self.rewrite(),
            8 => self.reopen(),
            _ => {
                self.disk.lose_power(&mut self.random);
                self.reopen();
            }
        }
        self.disk.0.borrow_mut().operations_left = None;
    }

    fn append(&mut self) {
        let records = some_records(&mut self.random);
        let after = [self.acknowledged.clone(), records.clone()].concat();
        let result = self.log.append(&slices(&records));
        self.record_result(result, after);
    }

    fn rewrite(&mut self) {
        let records = some_records(&mut self.random);
        let result = self.log.rewrite(&slices(&records));
        self.record_result(result, records);
    }

    fn record_result(&mut self, result: Result<(), LogError>, after: Records) {
        if result.is_ok() {
            self.acknowledged = after;
            self.possible.clear();
        } else {
            self.possible.push(after);
        }
    }

    fn reopen(&mut self) {
        self.disk.0.borrow_mut().operations_left = None;
        let (log, found) = Log::open(self.disk.clone()).expect("opens");
        self.log = log;
        assert!(
            found == self.acknowledged || self.possible.contains(&found),
            "the recovered records were never written"
        );
        self.acknowledged = found;
        self.possible.clear();
    }
}

quickcheck! {
    fn acknowledged_records_survive_crashes_failed_operations_and_power_losses(seed: u64) -> bool {
        println!("seed {seed}");
        let mut trial = Trial::new(seed);
        (0..60).for_each(|_| trial.step());
        trial.reopen();
        true
    }

    fn a_damaged_batch_before_another_is_reported(seed: u64) -> bool {
        println!("seed {seed}");
        let mut trial = Trial::new(seed);
        let batches: Vec<Records> = (0..4).map(|_| some_records(&mut trial.random)).collect();
        let mut ends = Vec::new();
        for batch in &batches {
            trial.log.append(&slices(batch)).expect("appends");
            ends.push(usize::try_from(trial.log.length()).expect("small"));
        }
        let (name, mut bytes) = trial.disk.only_file();
        let at = trial.random.random_range(0..ends[2]);
        bytes[at] ^= 1 << trial.random.random_range(0..8);
        trial.disk.put(&name, bytes);
        matches!(Log::open(trial.disk.clone()), Err(LogError::Damaged(..)))
    }
}

#[test]
fn a_torn_last_batch_is_truncated_and_overwritten() {
    let disk = Disk::default();
    let (mut log, _) = Log::open(disk.clone()).expect("opens");
    log.append(&[b"kept"]).expect("appends");
    log.append(&[b"torn"]).expect("appends");
    let (name, mut bytes) = disk.only_file();
    bytes.truncate(bytes.len() - 2);
    disk.put(&name, bytes);
    let (mut log, found) = Log::open(disk.clone()).expect("opens");
    assert_eq!(found, [b"kept".to_vec()]);
    log.append(&[b"next"]).expect("appends");
    let (_, found) = Log::open(disk).expect("opens");
    assert_eq!(found, [b"kept".to_vec(), b"next".to_vec()]);
}

#[test]
fn a_full_disk_rejects_appends_until_there_is_room() {
    let disk = Disk::default();
    let (mut log, _) = Log::open(disk.clone()).expect("opens");
    log.append(&[b"one"]).expect("appends");
    disk.0.borrow_mut().operations_left = Some(0);
    assert!(log.append(&[b"two"]).is_err());
    assert!(log.rewrite(&[b"two"]).is_err());
    disk.0.borrow_mut().operations_left = None;
    log.rewrite(&[b"three"]).expect("rewrites");
    log.append(&[b"four"]).expect("appends");
    let (_, found) = Log::open(disk).expect("opens");
    assert_eq!(found, [b"three".to_vec(), b"four".to_vec()]);
}
