//! Guards against unintended changes of the actions for classes without an attempt policy: the streams of
//! `event_streams` must give the same actions as when they were recorded, which was before attempt policies
//! existed. To record them again after an intended change: `cargo test -p join-up-to --test recorded --
//! --ignored record`.
//!
//! A line of `recorded/streams.txt` has the name of the settings, the seed, the number of actions, and a hash
//! of all events and actions in order. The hash is of their debug text, so it also changes when a type,
//! variant or field is renamed. The hashes in `golden/streams.txt` do not depend on these names: after a
//! rename the streams may be recorded again if `cargo test -p join-up-to --test golden_streams` still passes.

mod event_streams;
mod harness;

use event_streams::{SEEDS, cases, play};
use harness::Harness;

const RECORDED: &str = include_str!("recorded/streams.txt");

fn lines() -> String {
    let streams = cases().into_iter().flat_map(|(name, settings)| {
        (0..SEEDS).map(move |seed| {
            let harness = play(settings.clone(), seed, Harness::seeded);
            let (stream, actions) = (harness.stream, harness.log.len());
            format!("{name} {seed} {actions} {stream:016x}\n")
        })
    });
    streams.collect()
}

#[test]
fn recorded_streams_give_the_same_actions() {
    let played = lines();
    for (now, then) in played.lines().zip(RECORDED.lines()) {
        assert_eq!(now, then, "settings, seed, actions, hash of the stream");
    }
    assert_eq!(played.lines().count(), RECORDED.lines().count());
    assert!(RECORDED.lines().count() == 80, "80 streams are recorded");
}

/// Rewrites the recorded streams. Ignored, as it is a tool for intended changes of the actions.
#[test]
#[ignore = "rewrites the recorded streams"]
fn record() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/streams.txt");
    std::fs::write(path, lines()).expect("the streams are written");
}
