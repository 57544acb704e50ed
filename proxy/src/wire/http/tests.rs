use super::*;

/// Status, rejected, body, and `reusable` if the response is complete.
type Response = (u16, bool, Vec<u8>, Option<bool>);

fn decode_split(bytes: &[u8], at: usize) -> Result<Response, Malformed> {
    let mut decoder = Decoder::default();
    let mut response = (0, false, Vec::new(), None);
    let mut parts = decoder.feed(&bytes[..at])?;
    parts.extend(decoder.feed(&bytes[at..])?);
    parts.extend(decoder.closed());
    for part in parts {
        match part {
            Part::Head { status, rejected, .. } => (response.0, response.1) = (status, rejected),
            Part::Data(data) => response.2.extend(data),
            Part::End { reusable } => response.3 = Some(reusable),
        }
    }
    Ok(response)
}

#[test]
fn decodes_responses_split_at_any_byte() {
    type Case = (&'static [u8], u16, bool, &'static [u8], Option<bool>);
    let cases: &[Case] = &[
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 200, false, b"abc", Some(true)),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc", 200, false, b"abc", None),
        (b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", 503, true, b"", Some(true)),
        (b"HTTP/1.1 504 x\r\nX-Rejected: 0\r\nContent-Length: 0\r\n\r\n", 504, false, b"", Some(true)),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", 200, false, b"ab", Some(false)),
        (b"HTTP/1.1 204 x\r\n\r\n", 204, false, b"", Some(true)),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", 200, false, b"a", Some(false)),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", {
            200
        }, false, b"a", Some(true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\n", {
            200
        }, false, b"abc", Some(true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", 200, false, b"ab", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, false, b"ab", Some(true)),
    ];
    for &(bytes, status, rejected, body, end) in cases {
        for at in 0..=bytes.len() {
            let expected = (status, rejected, body.to_vec(), end);
            let response = decode_split(bytes, at).unwrap();
            assert_eq!(response, expected, "{:?} split at {at}", String::from_utf8_lossy(bytes));
        }
    }
    let with_surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab";
    assert_eq!(decode_split(with_surplus, 0).unwrap().3, Some(false));
}

#[test]
fn malformed_and_oversized_responses_are_rejected() {
    let oversized_head = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    let cases: &[&[u8]] = &[
        b"SSH-2.0\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        oversized_head.as_bytes(),
    ];
    for bytes in cases {
        assert_eq!(decode_split(bytes, 0), Err(Malformed), "{:?}", String::from_utf8_lossy(bytes));
    }
}

/// Guards against buffering bytes after a complete response without bound.
#[test]
fn bytes_after_a_complete_response_are_rejected() {
    let mut decoder = Decoder::default();
    let parts = decoder.feed(b"HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\nv").unwrap();
    assert_eq!(parts.last(), Some(&Part::End { reusable: true }));
    assert_eq!(decoder.feed(b""), Ok(vec![]));
    assert_eq!(decoder.feed(b"more"), Err(Malformed));
}
