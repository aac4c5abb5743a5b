//! An HTTP message as a peer reads it.

/// An HTTP message.
#[derive(Debug)]
pub struct Message {
    /// The start line.
    pub first: String,
    /// The header fields as `name: value`, the names in lower case.
    pub headers: Vec<String>,
    /// The body, without chunked framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header field with this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}
