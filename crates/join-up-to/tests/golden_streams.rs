//! The streams of `recorded.rs` in the texts of `stream_text`: a hash for each stream, and the text of the
//! first lines of one stream for each of the settings. The files change if an action, a wait or a random
//! number changes, but not if a type, variant or field is renamed. To rewrite them: `GOLDEN=write cargo test
//! -p join-up-to --test golden_streams`.

mod event_streams;
mod harness;

use event_streams::{SEEDS, cases, play};
use harness::Harness;
use join_up_to::Settings;

/// The number of lines of a stream that are stored as text.
const TEXT_LINES: usize = 250;

fn with_transcript(settings: Settings, seed: u64) -> Harness {
    let mut harness = Harness::seeded(settings, seed);
    harness.transcript = Some(String::new());
    harness
}

/// The FNV-1a hash of a text.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[test]
fn recorded_streams_match_the_golden_texts() {
    let mut all = String::new();
    for (name, settings) in cases() {
        for seed in 0..SEEDS {
            let harness = play(settings.clone(), seed, with_transcript);
            let transcript = harness.transcript.unwrap_or_default();
            let lines = transcript.lines().count();
            all += &format!(
                "{name} {seed} {} actions {lines} lines {:016x}\n",
                harness.log.len(),
                hash(&transcript)
            );
            if seed == 0 {
                let text: String =
                    transcript.lines().take(TEXT_LINES).map(|line| format!("{line}\n")).collect();
                golden_files::check(&format!("streams/{name}.txt"), &text);
            }
        }
    }
    golden_files::check("streams.txt", &all);
}
