//! An HTTP message as a peer reads it.

/// An HTTP request or response.
#[derive(Debug)]
pub struct Message {
    /// The request line or status line, without its line break.
    pub first: String,
    /// The header fields as `name: value`, the names in lower case.
    pub headers: Vec<String>,
    /// The body, without chunked framing; empty without one.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header field with this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The status code of a response. Panics if the start line has none, as that of a request.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}
