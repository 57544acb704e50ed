use super::*;

fn parse_split(bytes: &[u8], at: usize) -> Option<Result<AdminRequest, RequestError>> {
    let mut reader = RequestReader::default();
    reader.feed(&bytes[..at]).or_else(|| reader.feed(&bytes[at..]))
}

#[test]
fn parses_admin_requests_split_at_any_byte() {
    let id = || "s-5be2a07c".to_owned();
    let cases: &[(&str, AdminRequest)] = &[
        ("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n", AdminRequest::Ready),
        ("GET /_vars?pretty HTTP/1.0\r\n\r\n", AdminRequest::Vars),
        ("POST /_cache-nodes/detach HTTP/1.1\r\nContent-Length: 10\r\n\r\ns-5be2a07c", AdminRequest::Detach(id())),
        ("POST /_cache-nodes/attach HTTP/1.1\r\ncontent-length: 14\r\n\r\n\ts-5be2a07c \r\n", AdminRequest::Attach(id())),
        (
            "POST /_cache-nodes/detach HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ns-5b\r\n6;x=1\r\ne2a07c\r\n0\r\n\r\n",
            AdminRequest::Detach(id()),
        ),
    ];
    for (text, request) in cases {
        for at in 0..text.len() {
            assert_eq!(parse_split(text.as_bytes(), at), Some(Ok(request.clone())), "{text:?} split at {at}");
        }
    }
}

#[test]
fn invalid_requests_get_the_matching_status_and_a_body_without_end_is_bounded() {
    let post = |rest: &str| format!("POST /_cache-nodes/detach HTTP/1.1\r\n{rest}");
    let oversized_head = format!("GET /_ready HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    let too_many_headers = format!("GET /_ready HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(MAX_HEADERS + 1));
    let cases: &[(&str, u16)] = &[
        ("GET / HTTP/1.1\r\n\r\n", 404),
        ("GET /_ready/ HTTP/1.1\r\n\r\n", 404),
        ("POST /_ready HTTP/1.1\r\n\r\n", 405),
        ("HEAD /_vars HTTP/1.1\r\n\r\n", 405),
        ("GET /_cache-nodes/attach HTTP/1.1\r\n\r\n", 405),
        (&post("\r\n"), 400),
        (&post("Content-Length: 0\r\n\r\n"), 400),
        (&post("Content-Length: 3\r\n\r\n \r\n"), 400),
        (&post("Content-Length: 3\r\n\r\na b"), 400),
        (&post("Content-Length: -3\r\n\r\nabc"), 400),
        (&post("Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"), 400),
        (&post("Content-Length: 99999999999999999999999\r\n\r\n"), 413),
        (&post("Content-Length: 5000\r\n\r\n"), 413),
        (&post("Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400),
        (&post("Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"), 400),
        (&post("Transfer-Encoding: chunked\r\n\r\nffff\r\n"), 413),
        (&post("Transfer-Encoding: gzip\r\n\r\n"), 400),
        ("*1\r\n$4\r\nPING\r\n", 400),
        ("\u{1}\u{2}\u{3}", 400),
        (&oversized_head, 431),
        (&too_many_headers, 431),
    ];
    for (text, status) in cases {
        let error = parse_split(text.as_bytes(), 0).and_then(Result::err);
        let reply = error.map(Reply::from);
        assert_eq!(reply.as_ref().map(|r| r.status), Some(*status), "{text:.80?}");
        let mismatch = reply.is_some_and(|r| r.allow.is_some() != (r.status == 405));
        assert!(!mismatch, "{text:.80?}: Allow must be set for 405 only");
    }
    // A chunked body without an end is rejected, and the buffer stays bounded.
    let mut reader = RequestReader::default();
    let chunks = post("Transfer-Encoding: chunked\r\n\r\n");
    assert_eq!(reader.feed(chunks.as_bytes()), None);
    let result = (0..10_000).find_map(|_| reader.feed(b"1\r\na\r\n"));
    assert_eq!(result, Some(Err(RequestError::BodyTooLarge)));
    assert!(reader.buffer.len() <= MAX_HEAD_BYTES + MAX_BODY_BYTES);
}
