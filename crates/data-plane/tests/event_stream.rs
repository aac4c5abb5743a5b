//! Event streams are split into complete events, however their bytes are divided among reads.

use data_plane::event_stream::EventSplitter;
use quickcheck::{TestResult, quickcheck};

/// A stream with comments, events with and without an id, and both kinds of line ends; and its events with
/// their ids.
fn stream(kinds: &[u8]) -> (String, Vec<(Option<u64>, String)>) {
    let (mut text, mut events, mut id) = (String::new(), Vec::new(), 0);
    for kind in kinds {
        let event = match kind % 5 {
            0 => ": a comment\n\n".to_owned(),
            1 => format!("data: no id {kind}\n\n"),
            2 => {
                id += 1;
                format!("id: {id}\r\ndata: {kind}\r\n\r\n")
            }
            3 => {
                id += 2;
                format!("versions: 7\nid:{id}\ndata: two\ndata: lines\n\n")
            }
            _ => {
                id += 1;
                format!("id: {id}\ndata: d\n\n")
            }
        };
        let stated_id = event.contains("id:").then_some(id);
        text += &event;
        events.push((stated_id, event));
    }
    (text, events)
}

fn push_in_chunks(splitter: &mut EventSplitter, text: &[u8], chunk_size: usize) -> Vec<u8> {
    text.chunks(chunk_size.max(1)).flat_map(|chunk| splitter.push(chunk)).collect()
}

quickcheck! {
    fn complete_events_are_returned_in_order_and_a_partial_one_is_buffered(
        kinds: Vec<u8>, cut: usize, chunk_size: usize
    ) -> TestResult {
        let (text, events) = stream(&kinds);
        if text.is_empty() {
            return TestResult::discard();
        }
        let received = &text.as_bytes()[..cut % (text.len() + 1)];
        let (mut complete, mut ids, mut has_event_without_id) = (String::new(), Vec::new(), false);
        for (id, event) in &events {
            if complete.len() + event.len() > received.len() {
                break;
            }
            complete += event;
            ids.extend(*id);
            has_event_without_id |= id.is_none() && !event.starts_with(':');
        }
        let mut splitter = EventSplitter::default();
        let forwarded = push_in_chunks(&mut splitter, received, chunk_size % 17);
        assert_eq!(forwarded, complete.as_bytes());
        let last = ids.last().filter(|_| !has_event_without_id).map(u64::to_string);
        assert_eq!(splitter.last_event_id(), last.as_deref());
        assert_eq!(&splitter.take_partial()[..], &received[complete.len()..]);
        TestResult::passed()
    }

    fn a_resumed_stream_returns_only_later_events(kinds: Vec<u8>, after: u64, chunk_size: usize) -> bool {
        let (text, events) = stream(&kinds);
        let after = after % 20;
        let is_later = |id: &Option<u64>| id.is_none_or(|id| id > after);
        let later = events.iter().filter(|(id, _)| is_later(id));
        let expected: String = later.map(|(_, event)| event.as_str()).collect();
        let mut splitter = EventSplitter::resuming_after(after.to_string());
        push_in_chunks(&mut splitter, text.as_bytes(), chunk_size % 17) == expected.as_bytes()
    }
}

#[test]
fn an_event_too_long_to_buffer_is_forwarded_and_makes_the_stream_not_resumable() {
    let mut splitter = EventSplitter::default();
    let event = splitter.push(b"id: 1\ndata: d\n\n");
    assert_eq!(splitter.last_event_id(), Some("1"));
    let long_event = splitter.push(&vec![b'x'; 300 << 10]);
    assert_eq!((event.len(), long_event.len(), splitter.last_event_id()), (15, 300 << 10, None));
}
