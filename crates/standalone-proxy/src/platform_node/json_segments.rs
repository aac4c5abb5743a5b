//! Splits the stream of a watch into segments: JSON values, each on one line or indented over several lines,
//! and empty lines between them. Parses JSON only as far as needed to find the end of a value.

/// A segment of a watch.
#[derive(Debug, PartialEq, Eq)]
pub enum Segment {
    /// An empty line, which is a heartbeat: nothing has changed.
    EmptyLine,
    /// The text of a value, or invalid text in the place of one.
    Value(Vec<u8>),
}

/// Splits received bytes into segments.
#[derive(Default)]
pub struct JsonSegments {
    /// The received bytes that are not yet part of a returned segment.
    pending: Vec<u8>,
    /// How many of the pending bytes have been scanned.
    scanned: usize,
    /// The offset of the line that is being scanned.
    line_start: usize,
    /// The nesting depth at the start of that line.
    line_depth: usize,
    /// The current nesting depth.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl JsonSegments {
    /// Adds received bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The number of received bytes that are not yet part of a returned segment.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the next complete segment. A sender may truncate a value, and the values behind it must not be
    /// lost: an empty line ends a value, and so does a line that is a complete value by itself according to
    /// `is_complete`.
    pub fn next(&mut self, is_complete: impl Fn(&[u8]) -> bool) -> Option<Segment> {
        while let Some(&byte) = self.pending.get(self.scanned) {
            self.scanned += 1;
            match byte {
                b'\n' => {
                    if let Some(segment) = self.end_line(&is_complete) {
                        return Some(segment);
                    }
                }
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        None
    }

    fn end_line(&mut self, is_complete: impl Fn(&[u8]) -> bool) -> Option<Segment> {
        let line = self.pending[self.line_start..self.scanned].trim_ascii();
        let is_balanced = self.depth == self.line_depth && !self.in_string;
        if self.line_start > 0 && line.starts_with(b"{") && is_balanced && is_complete(line) {
            self.take(self.line_start);
            return Some(Segment::Value(self.take(self.scanned)));
        }
        // A string cannot contain a line break, so an open one means that the value was truncated.
        let is_finished = self.depth == 0 || self.in_string || line.is_empty();
        if !is_finished {
            (self.line_start, self.line_depth) = (self.scanned, self.depth);
            return None;
        }
        let text = self.take(self.scanned);
        Some(if text.trim_ascii().is_empty() { Segment::EmptyLine } else { Segment::Value(text) })
    }

    /// Removes and returns the first `length` bytes, and resets the state of the scan for a new value. Bytes
    /// behind them that were scanned are not scanned again.
    fn take(&mut self, length: usize) -> Vec<u8> {
        let text: Vec<u8> = self.pending.drain(..length).collect();
        let scanned = self.scanned - length;
        *self =
            JsonSegments { pending: std::mem::take(&mut self.pending), scanned, ..JsonSegments::default() };
        text
    }
}

#[cfg(test)]
mod tests;
