use super::*;

#[test]
fn holder_lease_ends_before_group_expiry_with_maximum_drift() {
    let d = Drift::default();
    let (sent, ttl) = (1_000, 3_000);
    let until = d.act_until(sent, ttl);
    assert_eq!(until, 1_000 + 3_000 - 60 - 100);
    // Worst case: the holder's clock is 1 % slow, the leader's is 1 % fast, and the leader applies the grant
    // as soon as the request is sent.
    let holder_real = (until - sent) as f64 * 1.01;
    let group_real = ttl as f64 * 0.99;
    assert!(holder_real < group_real, "{holder_real} {group_real}");
}
