//! A finished client session answers all commands that it has begun to read and reads no further ones.

use notchdoor_proxy::proxy::Answer;
use notchdoor_proxy::wire::client_session::{ClientSession, SessionEvent};
use notchdoor_proxy::wire::resp::write_command;
use notchdoor_proxy::wire::MAX_VALUE;

const GET: &[&[u8]] = &[b"OBJ.GET", b"k", b"i", b"c=read,t=a,d=480"];

/// Processes all available input, discarding streamed value chunks, and returns the sequence numbers of the commands.
fn read_events(session: &mut ClientSession) -> Vec<u64> {
    let mut sequences = Vec::new();
    loop {
        if let Some(upload) = session.incoming() {
            while let notchdoor_proxy::wire::streamed_value::NextChunk::Bytes(_) = upload.next() {}
        }
        match session.next_event() {
            Some(SessionEvent::Command(sequence, _) | SessionEvent::Ping(sequence)) => {
                sequences.push(sequence);
            }
            None if session.incoming().is_some_and(|upload| upload.available() == 0) => {}
            None => return sequences,
        }
    }
}

/// Feeds `prefix_len` bytes to a session, finishes it, and feeds more bytes as long as it accepts them. Returns the number
/// of bytes and of commands read.
fn finish_after_prefix(bytes: &[u8], prefix_len: usize) -> (usize, usize) {
    let mut session = ClientSession::default();
    session.feed(&bytes[..prefix_len]);
    let mut taken = read_events(&mut session).len();
    session.finish();
    let mut read = prefix_len;
    while session.is_reading() && read < bytes.len() {
        let allowed = session.max_read_bytes().min(bytes.len() - read);
        assert!(allowed > 0, "the session reads but accepts no bytes");
        session.feed(&bytes[read..read + allowed]);
        read += allowed;
        taken += read_events(&mut session).len();
    }
    assert_eq!(session.replies().pending(), taken);
    (read, taken)
}

#[test]
fn finished_session_reads_to_the_end_of_the_current_command_only() {
    let mut bytes = Vec::new();
    let mut ends = vec![0];
    let value = vec![b'v'; 300];
    let set: &[&[u8]] = &[b"OBJ.SET", b"k", b"i", b"c=put,t=a,d=480", &value];
    for words in [GET, set, &[b"PING"], GET] {
        write_command(&mut bytes, words);
        ends.push(bytes.len());
    }
    for prefix_len in 0..=bytes.len() {
        let commands =
            ends.iter().position(|end| *end >= prefix_len).expect("prefix_len is within the input");
        assert_eq!(
            finish_after_prefix(&bytes, prefix_len),
            (ends[commands], commands),
            "after {prefix_len} bytes"
        );
    }
}

#[test]
fn finished_session_reads_a_streamed_value_to_its_end_only() {
    let value = vec![b'v'; MAX_VALUE + 1000];
    let mut bytes = Vec::new();
    write_command(&mut bytes, &[b"OBJ.SET", b"k", b"i", b"c=put,t=a,d=480", &value]);
    let end = bytes.len();
    write_command(&mut bytes, GET);
    for prefix_len in [1, 40, 100, 1_000, MAX_VALUE + 200, end - 2, end - 1] {
        assert_eq!(finish_after_prefix(&bytes, prefix_len), (end, 1), "after {prefix_len} bytes");
    }
}

#[test]
fn refuse_rest_answers_every_pending_command_and_stops_reading() {
    let mut bytes = Vec::new();
    for _ in 0..3 {
        write_command(&mut bytes, GET);
    }
    let partial_len = bytes.len() - 5;
    let mut session = ClientSession::default();
    session.feed(&bytes[..partial_len]);
    assert!(session.next_event().is_some());
    session.answer(0, Answer::Served(b"v".to_vec()));
    // The second command is being processed, and the third is incomplete.
    assert!(session.next_event().is_some() && session.replies().is_missing(1));
    assert_eq!(session.refuse_rest(), 1);
    assert_eq!(session.replies().output(), b"$1\r\nv\r\n-BUSY 1\r\n");
    assert!(!session.replies().is_missing(1) && !session.is_reading());
    let mut session = ClientSession::default();
    session.feed(&bytes);
    assert_eq!(session.refuse_rest(), 3);
    assert_eq!(session.replies().output(), b"-BUSY 1\r\n-BUSY 1\r\n-BUSY 1\r\n");
}

/// Guards against commands whose rest arrives after the session was closed for the end of the process: each is answered
/// once, and none is taken for other bytes.
#[test]
fn refuse_late_answers_each_command_once_at_every_split() {
    let mut bytes = Vec::new();
    for _ in 0..2 {
        write_command(&mut bytes, GET);
    }
    for split in 0..bytes.len() {
        let mut session = ClientSession::default();
        session.feed(&bytes[..split]);
        let mut refused = session.refuse_rest();
        for byte in &bytes[split..] {
            refused += session.refuse_late(&[*byte]);
        }
        assert_eq!(refused, 2, "split at {split}");
        assert_eq!(session.replies().output(), b"-BUSY 1\r\n-BUSY 1\r\n", "split at {split}");
        assert!(!session.is_reading());
    }
    // Within a value it is not known where the next command begins.
    let mut bytes = Vec::new();
    write_command(&mut bytes, &[b"OBJ.SET", b"k", b"id", b"c=close,d=500", &vec![b'v'; 2 * MAX_VALUE]]);
    let mut session = ClientSession::default();
    session.feed(&bytes[..MAX_VALUE + 200]);
    assert!(session.next_event().is_some());
    session.refuse_rest();
    assert_eq!(session.refuse_late(&bytes[MAX_VALUE + 200..]), 0);
}

/// Guards against halves of commands that are read when their connection is closed (incident 3dbf5d).
#[test]
fn late_command_bytes_are_those_of_whole_commands_at_every_split() {
    let (mut bytes, mut ends) = (Vec::new(), vec![0]);
    for _ in 0..2 {
        write_command(&mut bytes, GET);
        ends.push(bytes.len());
    }
    for (read, available) in (0..bytes.len()).flat_map(|read| (read..=bytes.len()).map(move |to| (read, to)))
    {
        let mut session = ClientSession::default();
        session.feed(&bytes[..read]);
        session.refuse_rest();
        let whole = ends.iter().rev().find(|end| **end <= available).unwrap();
        let expected = whole.saturating_sub(read);
        assert_eq!(session.late_command_bytes(&bytes[read..available]), expected, "{read} {available}");
    }
    let open = ClientSession::default();
    assert_eq!(open.late_command_bytes(&bytes), 0, "an open session reads for itself");
}

/// Guards against a command that was read in part and gets no answer at the end of the process (incident 3dbf5d).
#[test]
fn command_that_was_read_in_part_is_rejected_once_when_its_connection_closes() {
    let mut bytes = Vec::new();
    write_command(&mut bytes, GET);
    let mut session = ClientSession::default();
    session.feed(&bytes[..bytes.len() / 2]);
    assert_eq!(session.refuse_rest(), 0);
    assert!(session.refuse_late_part() && !session.refuse_late_part());
    assert_eq!(session.replies().output(), b"-BUSY 1\r\n");
    assert_eq!(session.late_command_bytes(&bytes[bytes.len() / 2..]), 0);
}
