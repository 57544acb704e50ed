//! Truncated, corrupted and out-of-range input.

use super::*;

const EXCHANGE: &str = include_str!("../../../tests/data/exchange.in");

fn run_host(text: &[u8]) -> Result<Vec<u8>, InputError> {
    let (mut host, mut reply) = (Host::default(), Vec::new());
    for line in text.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        host.handle_line(line, &mut reply)?;
    }
    host.check_batch_complete().map(|()| reply)
}

#[test]
fn input_truncated_or_corrupted_at_any_byte_is_rejected_with_its_position() {
    assert!(!run_host(EXCHANGE.as_bytes()).unwrap().is_empty());
    let mut rejected = 0;
    for at in 0..EXCHANGE.len() {
        let corrupted = [&EXCHANGE.as_bytes()[..at], b"\xff", &EXCHANGE.as_bytes()[at + 1..]].concat();
        for text in [&EXCHANGE.as_bytes()[..at], &corrupted] {
            if let Err(error) = run_host(text).map_err(|e| e.to_string()) {
                rejected += 1;
                let prefixes = ["batch ", "outside a batch", "message '"];
                assert!(prefixes.iter().any(|p| error.starts_with(p)), "at {at}: {error}");
            }
        }
    }
    assert!(rejected > EXCHANGE.len(), "only {rejected} inputs were rejected");
}

#[test]
fn out_of_range_input_is_rejected_with_its_position() {
    let sheets: String =
        (0..17).map(|n| format!("{{\"m\":\"sheet\",\"buffer\":{n},\"membersList\":[]}}\n")).collect();
    let start = "{\"m\":\"sync\",\"t\":1.0,\"round\":1}\n";
    for (text, prefix) in [
        (format!("{start}{sheets}"), "batch 1, message 'sheet': field `buffer`: more than 16 endpoint lists"),
        (start.replace("1.0", "1e300"), "batch 1, message 'sync': field `t` is out of range"),
        (start.replace("1.0", "-1e300"), "batch 1, message 'sync': field `t` is out of range"),
        (start.replace("1.0", "1e999"), "outside a batch, message 'sync': number out of range"),
        ("[".repeat(100_000), "outside a batch, message '?': "),
    ] {
        let error = run_host(text.as_bytes()).unwrap_err().to_string();
        assert!(error.starts_with(prefix), "{error:.200}");
    }
}
