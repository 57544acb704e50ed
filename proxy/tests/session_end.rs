//! A client session that reads no further command: all that was read is answered, and nothing beyond it is read.

use notchdoor_proxy::proxy::Answer;
use notchdoor_proxy::wire::client_session::{ClientSession, SessionEvent};
use notchdoor_proxy::wire::resp::write_command;
use notchdoor_proxy::wire::MAX_VALUE;

const GET: &[&[u8]] = &[b"OBJ.GET", b"k", b"i", b"c=read,t=a,d=480"];

/// Takes what has come, making room for a value that passes through: the places of the commands.
fn places(session: &mut ClientSession) -> Vec<u64> {
    let mut places = Vec::new();
    loop {
        if let Some(upload) = session.incoming() {
            while let notchdoor_proxy::wire::streamed_value::NextChunk::Bytes(_) = upload.next() {}
        }
        match session.next_event() {
            Some(SessionEvent::Command(place, _) | SessionEvent::Ping(place)) => places.push(place),
            None if session.incoming().is_some_and(|upload| upload.available() == 0) => {}
            None => return places,
        }
    }
}

/// Feeds a session so many bytes, has it finish, and goes on reading as it allows; how many bytes it read, and how many
/// commands it took.
fn finish_after(bytes: &[u8], at: usize) -> (usize, usize) {
    let mut session = ClientSession::default();
    session.feed(&bytes[..at]);
    let mut taken = places(&mut session).len();
    session.finish();
    let mut read = at;
    while session.is_reading() && read < bytes.len() {
        let most = session.max_read_bytes().min(bytes.len() - read);
        assert!(most > 0, "it would wait for nothing");
        session.feed(&bytes[read..read + most]);
        read += most;
        taken += places(&mut session).len();
    }
    assert_eq!(session.replies().pending(), taken);
    (read, taken)
}

#[test]
fn no_byte_beyond_the_command_that_has_begun_is_read() {
    let mut bytes = Vec::new();
    let mut ends = vec![0];
    let value = vec![b'v'; 300];
    let set: &[&[u8]] = &[b"OBJ.SET", b"k", b"i", b"c=put,t=a,d=480", &value];
    for words in [GET, set, &[b"PING"], GET] {
        write_command(&mut bytes, words);
        ends.push(bytes.len());
    }
    for at in 0..=bytes.len() {
        let commands = ends.iter().position(|end| *end >= at).expect("within the bytes");
        assert_eq!(finish_after(&bytes, at), (ends[commands], commands), "after {at} bytes");
    }
}

#[test]
fn a_large_value_that_has_begun_comes_in_to_its_last_byte_and_no_further() {
    let value = vec![b'v'; MAX_VALUE + 1000];
    let mut bytes = Vec::new();
    write_command(&mut bytes, &[b"OBJ.SET", b"k", b"i", b"c=put,t=a,d=480", &value]);
    let end = bytes.len();
    write_command(&mut bytes, GET);
    for at in [1, 40, 100, 1_000, MAX_VALUE + 200, end - 2, end - 1] {
        assert_eq!(finish_after(&bytes, at), (end, 1), "after {at} bytes");
    }
}

#[test]
fn the_last_refusal_answers_all_that_was_read_and_reads_nothing_more() {
    let mut bytes = Vec::new();
    for _ in 0..3 {
        write_command(&mut bytes, GET);
    }
    let half = bytes.len() - 5;
    let mut session = ClientSession::default();
    session.feed(&bytes[..half]);
    assert!(session.next_event().is_some());
    session.answer(0, Answer::Served(b"v".to_vec()));
    // One is with the proxy's driver, the next waits in the session, the last is half there.
    assert!(session.next_event().is_some() && session.replies().is_missing(1));
    assert_eq!(session.refuse_rest(), 1);
    assert_eq!(session.replies().output(), b"$1\r\nv\r\n-BUSY 1\r\n");
    assert!(!session.replies().is_missing(1) && !session.is_reading());
    let mut session = ClientSession::default();
    session.feed(&bytes);
    assert_eq!(session.refuse_rest(), 3);
    assert_eq!(session.replies().output(), b"-BUSY 1\r\n-BUSY 1\r\n-BUSY 1\r\n");
}
