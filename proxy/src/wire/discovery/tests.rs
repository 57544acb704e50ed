use super::*;

const LINE: &str = r#"{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m2","pod_group":3,"state":"terminating","capacity_hint":1.0,"boot_ms":0}]}"#;

#[test]
fn parses_updates_split_at_any_byte() {
    let chunk = |s: &str| format!("{:x}\r\n{s}\r\n", s.len());
    let (a, b) = LINE.split_at(40);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = [head, &chunk("\n"), &chunk(a), &chunk(&format!("{b}\n")), &chunk("\n")].concat();
    for at in 0..=text.len() {
        let mut decoder = Decoder::default();
        let mut updates = decoder.feed(&text.as_bytes()[..at]).unwrap();
        updates.extend(decoder.feed(&text.as_bytes()[at..]).unwrap());
        assert_eq!(updates.len(), 1, "split at {at}");
        assert_eq!((updates[0].rev, updates[0].all, updates[0].targets.len()), (43, false, 1));
    }
}

#[test]
fn an_invalid_or_finished_response_ends_the_watch() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".to_owned(), "HTTP status 503"),
        (format!("{head}0\r\n\r\n"), "response ended"),
        (format!("{head}5\r\n{{\"r\"\n\r\n"), "invalid endpoint update"),
        (
            format!("{head}{:x}\r\n{}\r\n", MAX_LINE_BYTES + 1, "x".repeat(MAX_LINE_BYTES + 1)),
            "line exceeds the size limit",
        ),
        ("nonsense\r\n".to_owned(), "response is not HTTP"),
    ];
    for (text, reason) in cases {
        let ended = Decoder::default().feed(text.as_bytes()).err();
        assert!(ended.as_ref().is_some_and(|e| e.0.starts_with(reason)), "{reason}: {ended:?}");
    }
}
