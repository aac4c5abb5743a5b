//! Unit tests of the private items of the parent module.

use super::*;

#[test]
fn a_head_is_incomplete_from_its_first_byte_to_its_last() {
    let (heads, mut position) = (HeadMonitor::default(), StreamPosition::default());
    heads.record(&mut position, b"GET /a HTTP/1.1\r\n", LineEndings::Strict);
    let since = heads.incomplete_since();
    assert!(since.is_some());
    heads.record(&mut position, b"X: y\r\n", LineEndings::Strict);
    assert_eq!(heads.incomplete_since(), since);
    heads.record(&mut position, b"\r\n", LineEndings::Strict);
    assert_eq!(heads.incomplete_since(), None);
}
