//! Splits a stream of server-sent events (`text/event-stream`, WHATWG HTML, section "Server-sent events")
//! into complete events, and tracks the id of the last one. No I/O.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered, in bytes. A longer one is forwarded in parts, and its stream can't be
/// resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits the bytes of one stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the current event, which is not complete yet.
    partial: BytesMut,
    /// Offset in `partial` of the current line, which is not complete yet.
    line_start: usize,
    current_id: Option<String>,
    /// Id of the last complete event.
    last_id: Option<String>,
    /// Whether a complete event had no id, or an event was too long to be buffered.
    not_resumable: bool,
    /// Whether the current event has a line that is not a comment.
    has_content: bool,
    /// Events up to this id were forwarded from an earlier attempt. `None` if there was none or its id is not
    /// a number.
    forwarded_through: Option<u64>,
}

impl EventSplitter {
    /// A splitter for an attempt that resumes a stream after the event with this id. Where ids are numbers,
    /// events up to that one are dropped if the backend sends them again.
    pub fn resuming_after(last_id: String) -> Self {
        let forwarded_through = last_id.parse().ok();
        EventSplitter { last_id: Some(last_id), forwarded_through, ..EventSplitter::default() }
    }

    /// Adds received bytes and returns the events that are complete now, without those that were forwarded
    /// before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let mut scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(length) = self.partial[scanned..].iter().position(|byte| *byte == b'\n') {
            scanned += length + 1;
            if !self.finish_line(scanned) {
                continue;
            }
            let event = self.partial.split_to(scanned);
            (self.line_start, scanned) = (0, 0);
            if self.finish_event() {
                complete.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            self.not_resumable = true;
            complete.unsplit(self.take_partial().into());
        }
        complete.freeze()
    }

    /// Parses the line that ends at this offset. Returns whether it is empty and so ends its event.
    fn finish_line(&mut self, end: usize) -> bool {
        let line = &self.partial[self.line_start..end - 1];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let (is_empty, is_comment, id) = (line.is_empty(), line.starts_with(b":"), parse_id(line));
        self.line_start = end;
        self.current_id = id.or(self.current_id.take());
        self.has_content |= !is_empty && !is_comment;
        is_empty
    }

    /// Ends the current event. Returns whether it is to be forwarded.
    fn finish_event(&mut self) -> bool {
        let (has_content, id) = (std::mem::take(&mut self.has_content), self.current_id.take());
        if !has_content {
            return true;
        }
        let Some(id) = id else {
            self.not_resumable = true;
            return true;
        };
        let is_forwarded = |last| id.parse().is_ok_and(|id: u64| id <= last);
        if self.forwarded_through.is_some_and(is_forwarded) {
            return false;
        }
        self.last_id = Some(id);
        true
    }

    /// Takes the bytes of the current event, for when the stream ends or the event is too long.
    pub fn take_partial(&mut self) -> Bytes {
        self.line_start = 0;
        self.partial.split().freeze()
    }

    /// The id of the event after which the stream may be resumed. `None` if it can't be resumed.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref().filter(|_| !self.not_resumable)
    }
}

fn parse_id(line: &[u8]) -> Option<String> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok()?.trim();
    Some(text.to_owned())
}
