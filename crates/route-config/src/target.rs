//! Normalization of paths and hosts. Routes match the normalized path, and that path is forwarded, so that
//! the node and the backend always agree on which path is meant: spellings that a backend may treat as the
//! same path have the same normalized form, and spellings that backends interpret differently are rejected,
//! except `%2F` where the file keeps it.

use quick_error::quick_error;
use std::borrow::Cow;

quick_error! {
    /// Why a path is rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PathError {
        /// The path does not begin with a slash.
        MissingSlash {
            display("the path does not begin with a slash")
        }
        /// A `%` without two hexadecimal digits.
        InvalidEscape {
            display("the path has a % without two hexadecimal digits")
        }
        /// A byte that is not allowed in a path: a control character or a backslash, even if escaped, and
        /// unescaped also a blank, a non-ASCII byte or a delimiter such as `#`.
        InvalidByte {
            display("the path has a byte that paths don't have")
        }
        /// A slash written as `%2F`: backends differ in whether it separates segments.
        EncodedSlash {
            display("the path has an encoded slash")
        }
        /// The dot segments lead above the root.
        AboveRoot {
            display("the path climbs above the root")
        }
        /// A dot segment with parameters, such as `..;a`: backends differ in whether it is a dot segment.
        DotSegmentWithParameters {
            display("the path has a dot segment with parameters")
        }
    }
}

/// How a slash that is written as `%2F` in a path is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EncodedSlash {
    /// It is kept as `%2F` within its segment.
    Keep,
    /// The path is rejected.
    Reject,
}

/// Normalizes a path (RFC 3986, section 6.2.2): escapes of unreserved characters are decoded, other escapes
/// are written in upper case, and dot segments and empty segments are removed.
pub fn normalize_path(raw: &str, encoded_slash: EncodedSlash) -> Result<Cow<'_, str>, PathError> {
    if !raw.starts_with('/') {
        return Err(PathError::MissingSlash);
    }
    let bytes = raw.as_bytes();
    // Most paths are normalized already and need no allocation.
    if is_normalized(bytes) {
        return Ok(Cow::Borrowed(raw));
    }
    let unescaped = unescape(bytes, encoded_slash)?;
    let mut segments: Vec<&str> = Vec::new();
    let mut ends_in_slash = true;
    for segment in unescaped.split('/').skip(1) {
        ends_in_slash = false;
        match segment {
            "" | "." => ends_in_slash = true,
            ".." => {
                segments.pop().ok_or(PathError::AboveRoot)?;
                ends_in_slash = true;
            }
            _ => {
                let bare = segment.split(';').next().unwrap_or_default();
                if bare != segment && (bare == "." || bare == "..") {
                    return Err(PathError::DotSegmentWithParameters);
                }
                segments.push(segment);
            }
        }
    }
    let mut path = String::with_capacity(unescaped.len());
    for segment in &segments {
        path.push('/');
        path.push_str(segment);
    }
    if ends_in_slash {
        path.push('/');
    }
    Ok(Cow::Owned(path))
}

/// Whether a path is certainly normalized: no escapes, no empty segments, and no segment that begins with a
/// dot.
fn is_normalized(path: &[u8]) -> bool {
    let is_plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_~!$&'()*+,;=:@".contains(b);
    let mut before = b' ';
    path.iter().all(|b| {
        let after_slash = matches!(b, b'/' | b'.') && before == b'/';
        before = *b;
        !after_slash && (*b == b'/' || *b == b'.' || is_plain(b))
    })
}

/// Decodes escapes of unreserved characters, and writes the others in upper case.
fn unescape(bytes: &[u8], encoded_slash: EncodedSlash) -> Result<String, PathError> {
    let mut unescaped = String::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let byte = bytes[at];
        if byte != b'%' {
            if !(0x21..0x7f).contains(&byte) || b"\\#?\"<>^`{|}".contains(&byte) {
                return Err(PathError::InvalidByte);
            }
            unescaped.push(char::from(byte));
            at += 1;
            continue;
        }
        let digits = bytes.get(at + 1..at + 3).ok_or(PathError::InvalidEscape)?;
        let digit = |d: u8| char::from(d).to_digit(16).ok_or(PathError::InvalidEscape);
        let value = (digit(digits[0])? * 16 + digit(digits[1])?) as u8;
        match value {
            b'/' if encoded_slash == EncodedSlash::Reject => return Err(PathError::EncodedSlash),
            b'\\' | 0..0x20 | 0x7f => return Err(PathError::InvalidByte),
            b'-' | b'.' | b'_' | b'~' => unescaped.push(char::from(value)),
            _ if value.is_ascii_alphanumeric() => unescaped.push(char::from(value)),
            _ => {
                unescaped.push('%');
                digits.iter().for_each(|d| unescaped.push(char::from(d.to_ascii_uppercase())));
            }
        }
        at += 3;
    }
    Ok(unescaped)
}

/// Normalizes a host: without port and trailing dot, in lower case. `None` if it is not a valid host.
pub fn normalize_host(raw: &str) -> Option<Cow<'_, str>> {
    let name = if raw.starts_with('[') {
        &raw[..=raw.find(']')?]
    } else {
        raw.split(':').next().unwrap_or_default()
    };
    let after = &raw[name.len()..];
    let is_port_valid = after.is_empty() || after.strip_prefix(':')?.bytes().all(|b| b.is_ascii_digit());
    let name = name.strip_suffix('.').unwrap_or(name);
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~[]:".contains(&b);
    if !is_port_valid || name.is_empty() || name.len() > 255 || !name.bytes().all(is_allowed) {
        return None;
    }
    Some(match name.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Cow::Owned(name.to_ascii_lowercase()),
        false => Cow::Borrowed(name),
    })
}

#[cfg(test)]
mod tests;
