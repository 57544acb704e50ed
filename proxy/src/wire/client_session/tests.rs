use super::*;
use crate::wire::resp::write_command;

const GET: &[&[u8]] = &[b"OBJ.GET", b"k", b"i", b"c=read,t=a,d=480"];

fn asks(session: &mut ClientSession, bytes: &[u8]) -> usize {
    session.feed(bytes);
    std::iter::from_fn(|| session.next_event()).count()
}

#[test]
fn pipelined_commands_are_answered_in_their_order() {
    let mut bytes = Vec::new();
    write_command(&mut bytes, GET);
    write_command(&mut bytes, GET);
    write_command(&mut bytes, &[b"PING"]);
    for at in 0..bytes.len() {
        let mut session = ClientSession::default();
        assert_eq!(asks(&mut session, &bytes[..at]) + asks(&mut session, &bytes[at..]), 3);
        session.pong(2, true);
        session.answer(1, Answer::Rejected { retry_after: 1_001 });
        assert_eq!(session.replies().output(), b"", "the first is still owed");
        assert_eq!(session.replies().unsent_bytes(), b"-BUSY 2\r\n+PONG\r\n".len());
        session.answer(0, Answer::Served(b"v".to_vec()));
        session.answer(0, Answer::Failed);
        assert_eq!(session.replies().output(), b"$1\r\nv\r\n-BUSY 2\r\n+PONG\r\n");
        session.replies_mut().wrote(3);
        assert_eq!(session.replies().output().first(), Some(&b'\n'));
        session.replies_mut().wrote(1_000);
        assert!(!session.replies().busy() && session.replies().unsent_bytes() == 0);
    }
}

#[test]
fn a_large_write_passes_through_and_is_answered_behind_its_last_byte() {
    let value: Vec<u8> = (0..MAX_VALUE + 5).map(|n| n as u8).collect();
    let mut bytes = Vec::new();
    write_command(&mut bytes, &[b"OBJ.SET", b"k", b"i", b"c=put,t=a,d=480", &value]);
    let body = bytes.len() - value.len() - 2;
    write_command(&mut bytes, GET);
    for at in (0..body + 3).chain(body + MAX_VALUE - 2..body + value.len() + 4).chain([bytes.len()]) {
        let (mut session, mut got, mut streamed) = (ClientSession::default(), Vec::new(), None);
        let mut calls = 0;
        for part in [&bytes[..at], &bytes[at..]] {
            session.feed(part);
            loop {
                if let Some(SessionEvent::Command(place, call)) = session.next_event() {
                    assert_eq!((place, call.writes().is_some()), (calls, calls == 0));
                    calls += 1;
                    streamed = streamed.or(call.streamed);
                    continue;
                }
                let Some(streamed) = &streamed else { break };
                let super::super::streamed_value::NextChunk::Bytes(more) = streamed.next() else { break };
                got.extend(more);
            }
        }
        assert_eq!(calls, 2, "split at {at}");
        assert!(got == value && session.unparsed_bytes() == 0, "split at {at}");
    }
    // Answered early: nothing goes out before its last byte, and the rest is skipped.
    let mut session = ClientSession::default();
    assert_eq!(asks(&mut session, &bytes[..body + MAX_VALUE]), 1);
    session.answer(0, Answer::Rejected { retry_after: 7_000 });
    assert_eq!(asks(&mut session, &bytes[body + MAX_VALUE..body + MAX_VALUE + 3]), 0);
    assert!(session.replies().output().is_empty() && session.unparsed_bytes() == 0);
    assert_eq!(asks(&mut session, &bytes[body + MAX_VALUE + 3..]), 1);
    assert_eq!(session.replies().output(), b"-BUSY 7\r\n");
    // Wrong ends and words, values that are too large, and clients that do not go on.
    let wrong = [&bytes[..body + value.len()], b"xx"].concat();
    let mut session = ClientSession::default();
    assert_eq!(asks(&mut session, &wrong), 1);
    let mut taken = session.incoming().unwrap();
    while !matches!(taken.next(), super::super::streamed_value::NextChunk::Wait) {}
    assert_eq!(session.next_event(), None);
    assert!(session.malformed() && session.replies().output().starts_with(b"-ERR Protocol error"));
    assert_eq!(taken.next(), super::super::streamed_value::NextChunk::Aborted);
    let mut session = ClientSession::default();
    assert_eq!(asks(&mut session, &bytes[..body + MAX_VALUE]), 1);
    taken = session.incoming().unwrap();
    session.expire();
    assert_eq!(session.replies().output(), b"-ERR the command took too long\r\n");
    assert!(taken.next() == super::super::streamed_value::NextChunk::Aborted && !session.reads());
    let huge =
        format!("*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nx\r\n${}\r\n", MAX_STREAMED_VALUE + 1);
    let mut session = ClientSession::default();
    assert_eq!(asks(&mut session, huge.as_bytes()), 0);
    assert!(session.malformed());
}

#[test]
fn an_answer_that_is_passed_on_ends_whole_or_visibly_cut() {
    let begin = || {
        let mut session = ClientSession::default();
        let mut bytes = Vec::new();
        write_command(&mut bytes, GET);
        write_command(&mut bytes, GET);
        assert_eq!(asks(&mut session, &bytes), 2);
        assert!(session.replies().is_next(0) && !session.replies().is_next(1));
        session.replies_mut().begin_relay(5);
        session.replies_mut().relay(b"ab");
        session.replies_mut().wrote(4);
        session.replies_mut().relay(b"cd");
        session
    };
    let mut whole = begin();
    // The one behind it waits, whatever becomes of it.
    whole.answer(1, Answer::Failed);
    whole.replies_mut().relay(b"e");
    assert_eq!((whole.replies().output(), whole.replies().relaying()), (b"abcde".as_slice(), true));
    whole.answer(0, Answer::Streamed);
    assert_eq!(
        (whole.replies().output(), whole.replies().relaying()),
        (b"abcde\r\n-ERR failed\r\n".as_slice(), false)
    );
    let mut cut = begin();
    cut.answer(0, Answer::Truncated);
    cut.replies_mut().relay(b"e");
    assert_eq!((cut.replies().output(), cut.finished()), (b"abcd".as_slice(), false), "what came goes out");
    cut.replies_mut().wrote(4);
    assert!(cut.finished() && cut.replies().was_cut() && cut.replies().pending_places() == [0, 1]);
    // One that has not begun is told as any other.
    let mut early = ClientSession::default();
    let mut bytes = Vec::new();
    write_command(&mut bytes, GET);
    assert_eq!(asks(&mut early, &bytes), 1);
    early.answer(0, Answer::Truncated);
    assert_eq!((early.replies().output(), early.replies().was_cut()), (b"-ERR failed\r\n".as_slice(), false));
}

#[test]
fn what_is_crowded_out_is_told_and_keeps_no_room() {
    let mut session = ClientSession::default();
    let mut bytes = Vec::new();
    write_command(&mut bytes, GET);
    bytes.extend_from_slice(b"*5\r\n$7\r\nOBJ.SET\r\n$9999\r\nx");
    assert_eq!(asks(&mut session, &bytes), 1);
    assert!(session.unparsed_bytes() > 20);
    session.evict_half_read();
    assert_eq!((session.unparsed_bytes(), session.reads()), (0, false));
    session.answer(0, Answer::Served(b"v".to_vec()));
    assert_eq!(session.replies().output(), b"$1\r\nv\r\n-ERR too many half-sent commands\r\n");
}

#[test]
fn a_malformed_command_ends_its_connection_after_what_is_owed() {
    let mut session = ClientSession::default();
    let mut bytes = Vec::new();
    write_command(&mut bytes, GET);
    write_command(&mut bytes, &[b"WHAT"]);
    bytes.extend_from_slice(b"!?");
    write_command(&mut bytes, GET);
    assert_eq!(asks(&mut session, &bytes), 1);
    assert!(session.malformed() && !session.finished());
    session.answer(0, Answer::Failed);
    let expected = b"-ERR failed\r\n-ERR unknown command\r\n-ERR Protocol error: unknown type\r\n";
    assert_eq!(session.replies().output(), expected);
    session.replies_mut().wrote(expected.len());
    assert!(session.finished());
}
