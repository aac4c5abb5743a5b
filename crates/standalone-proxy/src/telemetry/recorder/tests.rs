//! Unit tests of the private items of the parent module.

use super::*;
use std::sync::mpsc::{Sender, channel};

/// A writer that blocks until the test resumes it or drops the sender, and passes on what is written.
struct BlockingWriter {
    resumed: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.resumed.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn request<'r>(
    target: &'r str,
    tenant: Option<&str>,
    has_key: bool,
    body_size: usize,
) -> RecordedRequest<'r> {
    let labels = TraceLabels { class: "c".into(), tenant: tenant.map(Into::into) };
    RecordedRequest { method: "GET", target, labels, has_key, body_size }
}

#[test]
fn a_blocked_writer_drops_lines_and_does_not_delay_requests() {
    let ((resume, resumed), (written, output)) = (channel(), channel());
    let recorder = Recorder::to_writer(BlockingWriter { resumed, written }, 10, u64::MAX);
    let begun = Instant::now();
    for n in 0..1000 {
        recorder.record(request(&format!("/{n}"), None, false, 0));
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "recording waits for the writer");
    // Ten lines are queued, and one may be in the writer.
    assert!((989..=990).contains(&recorder.dropped()), "{}", recorder.dropped());
    drop(resume);
    let recorded = 1000 - recorder.dropped();
    drop(recorder);
    let text: Vec<u8> = output.iter().flatten().collect();
    let trace = load_generator::trace::read(&text, 1.0);
    assert_eq!(
        (trace.requests.len() as u64, trace.invalid_lines),
        (recorded, 0),
        "every line that was not dropped is written completely"
    );
}

#[test]
fn a_trace_ends_at_its_maximum_size() {
    let ((resume, resumed), (written, output)) = (channel(), channel());
    drop(resume);
    let recorder = Recorder::to_writer(BlockingWriter { resumed, written }, 100, 500);
    for _ in 0..50 {
        recorder.record(request("/a", Some("t"), true, 7));
    }
    drop(recorder);
    let text: Vec<u8> = output.iter().flatten().collect();
    assert!(text.len() <= 500 && text.len() > 400 && text.ends_with(b"\n"), "{}", text.len());
}
