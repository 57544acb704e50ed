use super::*;
use crate::lease::Command;

#[test]
fn frames_are_decoded_from_single_bytes_and_an_excessive_length_is_refused() {
    let mut bytes = Vec::new();
    let ask = Frame::Ask {
        req: 7,
        request: Request::Lease(Command::Release { task: "t".into(), holder: "p".into(), token: 3 }),
    };
    encode(&ask, &mut bytes);
    encode(&Frame::Peer(Message { to: 2, from: 1, term: 4, ..Default::default() }), &mut bytes);
    let mut d = Decoder::default();
    let mut got = Vec::new();
    for byte in &bytes {
        d.feed(std::slice::from_ref(byte));
        got.extend(d.next_frame().unwrap());
    }
    assert_eq!(got.len(), 2);
    assert_eq!(got[0], ask);
    d.feed(&[0xff, 0xff, 0xff, 0xff]);
    assert_eq!(
        d.next_frame().unwrap_err().to_string(),
        format!("frame at byte {}: frame length is 4294967295, must be 1 to 8388608", bytes.len())
    );
}
