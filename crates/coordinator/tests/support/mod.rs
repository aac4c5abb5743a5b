//! Sample records of a replica, for tests of the storage.

use replication::{Output, Record, Replica, Settings};
use std::time::Duration;

/// The records that a replica writes to a new disk; the first one is its identity.
pub fn records_of_new_disk() -> Vec<Record> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let settings = Settings {
        address,
        zone: "z".into(),
        seeds: vec![address],
        bootstrap: true,
        tolerated_failures: 0,
        history_length: 100,
    };
    let (_, outputs) = Replica::open(settings, Vec::new(), 1, Duration::ZERO);
    let records = outputs.into_iter().flat_map(|output| match output {
        Output::Store(_, record) => vec![record],
        Output::Rewrite(_, records) => records,
        _ => Vec::new(),
    });
    records.collect()
}
