//! The log of the replica's records, on a real file system.

mod support;

use coordinator::log_file::open;
use support::records_of_new_disk;

#[test]
fn records_survive_reopening_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let records = records_of_new_disk();
    assert!(!records.is_empty());
    let (mut log, found) = open(folder.path()).expect("a log");
    assert_eq!(found, []);
    log.append(&records).expect("written");
    log.append(&records).expect("written");
    drop(log);
    let (mut log, found) = open(folder.path()).expect("a log");
    assert_eq!(found, [records.clone(), records.clone()].concat());
    log.rewrite(&records).expect("written");
    drop(log);
    assert_eq!(open(folder.path()).expect("a log").1, records);
}

#[test]
fn a_damaged_log_is_renamed_and_replaced_by_an_empty_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    for _ in 0..3 {
        log.append(&records_of_new_disk()).expect("written");
    }
    drop(log);
    let replica = folder.path().join("replica");
    let file = std::fs::read_dir(&replica).expect("a folder").next().expect("a file").expect("a file").path();
    let mut bytes = std::fs::read(&file).expect("read");
    let first = bytes.len() / 6;
    bytes[first] ^= 0x55;
    std::fs::write(&file, bytes).expect("written");
    assert_eq!(open(folder.path()).expect("a log").1, []);
    assert!(folder.path().join("damaged-1").is_dir());
    assert_eq!(open(folder.path()).expect("a log").1, []);
}
