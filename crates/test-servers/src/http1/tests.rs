//! Tests of `http1`, which see its private items.

use super::*;

#[tokio::test]
async fn requests_are_parsed_from_reads_of_any_size() {
    let text = b"POST /a?b HTTP/1.1\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
    for chunk_length in 1..text.len() {
        let mut stream = in_chunks(text, chunk_length);
        let mut buffer = Vec::new();
        let first = read_request(&mut stream, &mut buffer).await.expect("read").expect("a request");
        assert_eq!((first.path(), first.header("x-id"), first.body_length), ("/a", Some("7"), 3));
        let second = read_request(&mut stream, &mut buffer).await.expect("read").expect("a request");
        assert_eq!((second.method.as_str(), second.target.as_str()), ("GET", "/b"));
        assert!(read_request(&mut stream, &mut buffer).await.expect("read").is_none());
    }
    for text in [&b"GET\r\n\r\n"[..], b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"] {
        assert!(read_request(&mut &text[..], &mut Vec::new()).await.is_err());
    }
}

/// A stream that returns at most this number of bytes per read.
fn in_chunks(text: &'static [u8], chunk_length: usize) -> impl AsyncRead + Unpin {
    let mut all: Box<dyn AsyncRead + Unpin> = Box::new(tokio::io::empty());
    for chunk in text.chunks(chunk_length).rev() {
        all = Box::new(chunk.chain(all));
    }
    all
}
