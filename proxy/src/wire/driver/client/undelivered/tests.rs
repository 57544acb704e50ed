use super::*;

#[test]
fn long_output_is_undelivered_until_the_slowest_client_has_it() {
    let output = UndeliveredOutput::default();
    output.written(5_000_000, DELIVERED_AT_ONCE);
    assert!(!output.is_likely(5_000_000), "fits into a receive buffer");
    output.written(5_000_000, 2 * MIN_RECEIVE_RATE);
    assert!(output.is_likely(5_000_000) && output.is_likely(6_990_000));
    assert!(!output.is_likely(7_010_000));
}

#[test]
fn many_small_replies_over_a_while_are_delivered() {
    let output = UndeliveredOutput::default();
    for reply in 0..1000 {
        output.written(reply * 10_000, 400);
    }
    assert!(!output.is_likely(10_000_000));
}
