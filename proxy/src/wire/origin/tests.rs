use super::*;
use crate::wire::command::{parse, ClientCommand};
use crate::wire::resp::Value;

fn parse_command(words: &[&str]) -> Box<BackendCommand> {
    let words = words.iter().map(|w| Value::Bulk(Some(w.as_bytes().to_vec()))).collect();
    match parse(Value::Array(Some(words))) {
        Ok(ClientCommand::Request(command)) => command,
        other => panic!("not a request: {other:?}"),
    }
}

#[test]
fn encodes_requests_with_the_given_deadline_and_all_else_unchanged() {
    let get = encode(&parse_command(&["OBJ.GET", "a/b?é", "id1", "c=read,d=480"]), 99_900, "h:1");
    let text =
        "GET /a/b%3F%C3%A9 HTTP/1.1\r\nHost: h:1\r\nX-Call-Id: id1\r\nX-Call-Info: c=read,d=99\r\n\r\n";
    assert_eq!(String::from_utf8_lossy(&get), text);
    let put = encode(&parse_command(&["OBJ.SET", "k", "id2", "c=put,d=1", "vv"]), 1_000, "h:1");
    assert!(put.starts_with(b"PUT /k HTTP/1.1\r\n") && put.ends_with(b"\r\nContent-Length: 2\r\n\r\nvv"));
}

#[test]
fn maps_responses_to_outcomes_and_only_marked_ones_to_rejected() {
    let oversized_body = format!("HTTP/1.1 200 x\r\n\r\n{}", "x".repeat(MAX_UNDELIMITED_BODY + 1));
    let large_body = format!("HTTP/1.1 200 x\r\nContent-Length: 400000\r\n\r\n{}", "x".repeat(400_000));
    let cases: &[(&str, AttemptOutcome)] = &[
        ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nvv", AttemptOutcome::Served),
        ("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Errored),
        ("HTTP/1.1 500 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Errored),
        ("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Errored),
        ("HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Errored),
        ("HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Rejected),
        ("HTTP/1.1 504 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome::Rejected),
        ("+OK\r\n", AttemptOutcome::Garbled),
        ("HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n", AttemptOutcome::Garbled),
        (&oversized_body, AttemptOutcome::Garbled),
        (&large_body, AttemptOutcome::Served),
    ];
    for (text, outcome) in cases {
        let parts = Decoder::default().feed(text.as_bytes());
        let Some(ReplyPart::Complete(reply)) = parts.last() else {
            panic!("{text:.60}: {} parts", parts.len())
        };
        assert_eq!(reply.outcome, *outcome, "{text:.60}");
        // A large body is streamed completely.
        let data = parts
            .iter()
            .map(|p| if let ReplyPart::ValueData(data) = p { data.len() } else { 0 })
            .sum::<usize>();
        assert_eq!(data, if text.contains("400000") { 400_000 } else { 0 }, "{text:.60}");
        assert_eq!(reply.value.is_some(), *outcome == AttemptOutcome::Served && data == 0, "{text:.60}");
    }
}
