use super::*;

/// Simulates `clients` that retry as instructed for a minute. Returns the request rate of the last ten
/// seconds.
fn requests_per_s(clients: usize) -> f64 {
    let (mut pacer, ttl) = (RetryPacer::default(), 5_000);
    let mut next: Vec<Millis> = (0..clients as u64).map(|n| n * 7 % 1_600).collect();
    let mut late = 0;
    for now in 0..60_000 {
        for at in next.iter_mut().filter(|at| **at <= now) {
            *at = now + pacer.next_delay(ttl, 4_000, now);
            late += u64::from(now >= 50_000);
        }
    }
    late as f64 / 10.0
}

#[test]
fn few_clients_retry_every_third_of_the_ttl_and_many_stay_near_the_target_rate() {
    assert!((5.0..7.0).contains(&requests_per_s(10)), "{}", requests_per_s(10));
    assert!((40.0..62.0).contains(&requests_per_s(200)), "{}", requests_per_s(200));
    // Once all clients wait for the maximum delay, the rate grows with their number.
    assert!((90.0..130.0).contains(&requests_per_s(1_000)), "{}", requests_per_s(1_000));
}
