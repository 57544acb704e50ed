//! Admission by tenant quota: who is rejected first under contention, and no rejections without it.

mod common;
use common::*;
use notchdoor::*;
use std::collections::VecDeque;

const OVER_QUOTA: u32 = 0;
const WITHIN_QUOTA: u32 = 1;

fn settings_with_tenants(proxies: u32, quotas: &[f64]) -> Settings {
    let tenants = quotas.iter().map(|&quota_per_s| Tenant { quota_per_s }).collect();
    Settings { proxies, tenants, ..settings() }
}

fn tenant_read(tenant: Option<u32>, id: RequestId, now: Micros) -> Request {
    Request { tenant, ..read_request(id, key_hash(&id.to_le_bytes()), now) }
}

fn tenant_write(tenant: Option<u32>, id: RequestId, now: Micros) -> Request {
    Request { tenant, ..at_most_once_write(id, now) }
}

/// Returns whether the read was sent; if so, it is answered after [`MS`].
fn try_serve(router: &mut Router, now: Micros, request: Request) -> bool {
    let id = request.id;
    let sent_to_any = !send_targets(&arrive(router, now, request)).is_empty();
    if sent_to_any {
        end_attempt(router, now, id, 0, Outcome::Ok, MS);
    }
    sent_to_any
}

/// Returns a router whose origin window is full, so that requests within quota are lost there and nearly none
/// beyond quota are admitted. Uses request ids from 1,000,000 on.
fn contended_router(settings: Settings) -> Router {
    let mut router = new_router(settings, &endpoints(6));
    for id in 1_000_000..1_000_100 {
        arrive(&mut router, START, tenant_write(None, id, START));
    }
    router
}

/// Uses up the tenant's saved tokens with reads; returns how many were within quota.
fn spend_burst(router: &mut Router, tenant: u32, first_id: RequestId, now: Micros) -> u64 {
    (0..)
        .take_while(|n| {
            let before = router.snapshot().admitted_within_quota;
            arrive(router, now, tenant_read(Some(tenant), first_id + n, now));
            router.snapshot().admitted_within_quota > before
        })
        .count() as u64
}

fn retry_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

#[test]
fn contention_rejects_only_requests_beyond_quota() {
    let mut router = contended_router(settings_with_tenants(1, &[10.0, 10.0]));
    let (mut over_quota, mut within_quota) = (0, 0);
    for id in 1..=1000 {
        // One tenant sends 200 reads per second, the other 5, to caches with free capacity.
        let now = START + id * 5 * MS;
        over_quota += u64::from(try_serve(&mut router, now, tenant_read(Some(OVER_QUOTA), id, now)));
        if id % 40 == 0 {
            within_quota += 1;
            assert!(try_serve(&mut router, now, tenant_read(Some(WITHIN_QUOTA), 10_000 + id, now)), "{id}");
            // Writes without a tenant are lost at the full origin window, which keeps up the contention.
            for n in 0..10 {
                assert!(is_rejected(&arrive(
                    &mut router,
                    now,
                    tenant_write(None, 20_000 + id * 10 + n, now)
                )));
            }
        }
    }
    let counts = router.snapshot();
    assert_eq!(within_quota, 25);
    // The quota allows 50 in 5 s, and the bucket starts with 20 tokens.
    assert!((69..=71).contains(&(counts.admitted_within_quota - within_quota)), "{counts:?}");
    assert!(over_quota <= 71 + counts.admitted_beyond_quota);
    assert!(counts.rejected_by_quota > 800, "{counts:?}");
}

#[test]
fn requests_beyond_quota_are_admitted_without_contention() {
    let mut router = new_router(settings_with_tenants(1, &[10.0, 10.0]), &endpoints(6));
    // Three times the quota, for a minute.
    for id in 1..=1800 {
        let now = START + id * S / 30;
        assert!(try_serve(&mut router, now, tenant_read(Some(OVER_QUOTA), id, now)), "{id}");
    }
    let counts = router.snapshot();
    assert_eq!(counts.rejected_by_quota, 0);
    assert!(counts.admitted_beyond_quota > 1000, "{counts:?}");
}

/// An origin that processes one write at a time, 20 ms each, so 50 per second. The writes of both tenants are
/// evenly spaced.
struct OriginUnderLoad {
    router: Router,
    now: Micros,
    next_id: RequestId,
    /// Requests at the origin in order, with the time at which each is done.
    queue: VecDeque<(RequestId, Micros)>,
}

impl OriginUnderLoad {
    const SERVICE_TIME: Micros = 20 * MS;

    fn new(settings: Settings) -> Self {
        let router = new_router(settings, &endpoints(6));
        OriginUnderLoad { router, now: START, next_id: 1, queue: VecDeque::new() }
    }

    fn finish_due(&mut self) {
        while let Some((id, done)) = self.queue.front().copied().filter(|entry| entry.1 <= self.now) {
            self.queue.pop_front();
            end_attempt(&mut self.router, done, id, 0, Outcome::Ok, Self::SERVICE_TIME);
        }
    }

    /// Sends a write of the tenant; returns whether it was admitted.
    fn write(&mut self, tenant: u32) -> bool {
        self.next_id += 1;
        let request = tenant_write(Some(tenant), self.next_id, self.now);
        let admitted = !send_targets(&arrive(&mut self.router, self.now, request)).is_empty();
        if admitted {
            let begins = self.queue.back().map_or(self.now, |entry| entry.1.max(self.now));
            self.queue.push_back((self.next_id, begins + Self::SERVICE_TIME));
        }
        admitted
    }

    /// Runs for `span` with the given writes per second of each tenant. Returns the number of writes sent for
    /// [`OVER_QUOTA`], and whether each write of [`WITHIN_QUOTA`] was sent.
    fn run(&mut self, span: Micros, over_quota_per_s: u64, within_quota_per_s: u64) -> (u64, Vec<bool>) {
        let until = self.now + span;
        let (mut over_quota_sent, mut within_quota_sent) = (0, Vec::new());
        let mut due = [0.0, 0.0];
        while self.now < until {
            self.now += MS;
            self.finish_due();
            for (tenant, per_s) in [(OVER_QUOTA, over_quota_per_s), (WITHIN_QUOTA, within_quota_per_s)] {
                due[tenant as usize] += per_s as f64 / 1000.0;
                if due[tenant as usize] < 1.0 {
                    continue;
                }
                due[tenant as usize] -= 1.0;
                let admitted = self.write(tenant);
                if tenant == OVER_QUOTA {
                    over_quota_sent += u64::from(admitted);
                } else {
                    within_quota_sent.push(admitted);
                }
            }
        }
        (over_quota_sent, within_quota_sent)
    }
}

fn count(sent: &[bool]) -> usize {
    sent.iter().filter(|sent| **sent).count()
}

/// A few requests within quota are lost, since the admission probability rises until that happens.
#[test]
fn tenant_within_quota_is_served_while_another_overloads_the_origin() {
    let served_share = |settings| {
        let (over_quota, within_quota) = OriginUnderLoad::new(settings).run(60 * S, 200, 15);
        (over_quota, count(&within_quota) as f64 / within_quota.len() as f64)
    };
    let (over_quota, within_quota) = served_share(settings_with_tenants(1, &[20.0, 20.0]));
    let (_, unprotected) = served_share(settings());
    assert!(within_quota > 0.85, "share served within quota: {within_quota}");
    assert!(unprotected < 0.1, "share served without quotas: {unprotected}");
    assert!(over_quota >= 60 * 20, "only {over_quota} writes served of a quota of 1200");
}

/// Unused quota is available to others, and to its tenant again within its first 100 requests.
#[test]
fn unused_quota_of_an_idle_tenant_is_usable_until_it_sends_again() {
    let mut load = OriginUnderLoad::new(settings_with_tenants(1, &[20.0, 20.0]));
    let (borrowed, _) = load.run(20 * S, 45, 0);
    assert!(borrowed >= 20 * 40, "only {borrowed} writes served while the other tenant is idle");
    let (_, within_quota) = load.run(30 * S, 45, 18);
    let after_first_100 = &within_quota[100..];
    assert!(
        count(after_first_100) * 100 >= after_first_100.len() * 95,
        "only {} of {} writes served",
        count(after_first_100),
        after_first_100.len()
    );
}

#[test]
fn quotas_scale_at_a_proxy_with_three_times_the_mean_traffic() {
    // With ten proxies, the even share of each quota is 10 per second; 30 arrive here.
    let mut router = new_router(settings_with_tenants(10, &[100.0; 5]), &endpoints(6));
    let mut id = 0;
    let mut beyond_at = |second: u64| {
        let before = router.snapshot().admitted_beyond_quota;
        for n in 0..30 {
            for tenant in 0..5 {
                id += 1;
                let now = START + second * S + n * S / 30;
                assert!(try_serve(&mut router, now, tenant_read(Some(tenant), id, now)));
            }
        }
        router.snapshot().admitted_beyond_quota - before
    };
    let beyond: Vec<u64> = (0..60).map(&mut beyond_at).collect();
    // Rates are averaged over 5 s; after 20 s they are within 2 % of the true rate.
    let settled: u64 = beyond[20..].iter().sum();
    assert!(settled * 50 <= 40 * 150, "{settled} of 6000 requests counted as beyond quota");
}

#[test]
fn one_excessive_tenant_of_five_does_not_raise_the_traffic_ratio() {
    let mut router = new_router(settings_with_tenants(1, &[10.0; 5]), &endpoints(6));
    let mut id = 0;
    for n in 0..1200 {
        let now = START + n * S / 40;
        for tenant in 0..5 {
            if tenant == OVER_QUOTA || n % 5 == 0 {
                id += 1;
                arrive(&mut router, now, tenant_read(Some(tenant), id, now));
                end_attempt(&mut router, now, id, 0, Outcome::Ok, MS);
            }
        }
    }
    // 30 s at 40 per second, of which 10 per second and the initial 20 tokens are within quota.
    let counts = router.snapshot();
    assert!((870..=890).contains(&counts.admitted_beyond_quota), "{counts:?}");
}

#[test]
fn zero_quota_is_served_only_without_contention() {
    let quotas = [0.0, 10.0];
    let mut free = new_router(settings_with_tenants(1, &quotas), &endpoints(6));
    for id in 1..=100 {
        let now = START + id * 100 * MS;
        assert!(try_serve(&mut free, now, tenant_read(Some(0), id, now)));
    }
    assert_eq!((free.snapshot().admitted_within_quota, free.snapshot().admitted_beyond_quota), (0, 100));
    let mut full = contended_router(settings_with_tenants(1, &quotas));
    let now = START + 10 * S;
    let retry_after_values: Vec<Option<Micros>> =
        (1..=100).map(|id| retry_after(&arrive(&mut full, now, tenant_read(Some(0), id, now)))).collect();
    assert!(
        retry_after_values.iter().all(|value| *value == Some(settings().max_retry_after)),
        "a quota of 0 never refills"
    );
}

#[test]
fn unknown_tenant_is_never_limited() {
    for tenant in [None, Some(2), Some(u32::MAX)] {
        let mut router = contended_router(settings_with_tenants(1, &[1.0, 1.0]));
        for id in 1..=500 {
            let now = START + id * MS;
            assert!(try_serve(&mut router, now, tenant_read(tenant, id, now)), "{tenant:?} {id}");
        }
        assert_eq!(router.snapshot().rejected_by_quota, 0);
        assert_eq!(router.snapshot().admitted_within_quota, 0, "no request of a known tenant");
    }
}

#[test]
fn quota_rejection_returns_the_token_interval_and_keeps_no_state() {
    // One token per 250 ms.
    let mut router = contended_router(settings_with_tenants(1, &[4.0, 4.0]));
    let initial = router.in_flight();
    let now = START + S;
    assert_eq!(spend_burst(&mut router, OVER_QUOTA, 1, now), 8, "the burst is two seconds of quota");
    let after_burst = router.in_flight();
    for (id, class) in (1000..).zip([0, 1, 2, 3]) {
        let request =
            Request { class: Some(class), write: class > 0, ..tenant_read(Some(OVER_QUOTA), id, now) };
        let actions = arrive(&mut router, now, request);
        let advice = retry_after(&actions).expect("rejected for any class");
        assert!((250 * MS..=S).contains(&advice), "{advice}");
        assert_eq!(actions.len(), 1, "expected neither timer nor attempt: {actions:?}");
    }
    assert_eq!(router.in_flight(), after_burst);
    assert!(after_burst.requests > initial.requests);
}

#[test]
fn retry_after_of_a_quota_rejection_is_bounded() {
    // The next token is due in 10 s, or in 0.1 ms.
    for (quota, min_advice) in [(0.1, S), (10_000.0, MS)] {
        let mut router = contended_router(settings_with_tenants(1, &[quota, 1.0]));
        let burst = spend_burst(&mut router, 0, 1, START + S);
        let actions = arrive(&mut router, START + S, tenant_read(Some(0), burst + 2, START + S));
        let advice = retry_after(&actions).expect("rejected beyond quota");
        assert!((min_advice..=S).contains(&advice), "{quota}: {advice}");
    }
    let none = Settings { max_retry_after: 0, ..settings_with_tenants(1, &[0.0]) };
    let actions = arrive(&mut contended_router(none), START, tenant_read(Some(0), 1, START));
    assert_eq!(retry_after(&actions), Some(0), "no Retry-After if the maximum is 0");
}

#[test]
fn extreme_quotas_and_repeated_timestamps_are_handled() {
    let extreme_quotas =
        [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 1e300, f64::MAX, 1e-320, f64::MIN_POSITIVE];
    for quota in extreme_quotas {
        for other_quotas in [&[][..], &[10.0; 3], &[0.0; 3], &extreme_quotas] {
            let quotas: Vec<f64> = [quota].iter().chain(other_quotas).copied().collect();
            let mut router = contended_router(settings_with_tenants(0, &quotas));
            for id in 1..=2000u64 {
                // Ten requests at each timestamp.
                let now = START + id / 10 * 30 * MS;
                let tenant = (id % quotas.len() as u64) as u32;
                let actions = arrive(&mut router, now, tenant_read(Some(tenant), id, now));
                let advice = retry_after(&actions).unwrap_or(MS);
                assert!((MS..=S).contains(&advice), "{quotas:?}: {advice}");
                if !send_targets(&actions).is_empty() {
                    end_attempt(&mut router, now, id, 0, Outcome::Ok, MS);
                }
            }
            let counts = router.snapshot();
            let total =
                counts.admitted_within_quota + counts.admitted_beyond_quota + counts.rejected_by_quota;
            assert_eq!(total, 2000);
            if quota.is_nan() || quota > 1e9 {
                assert!(
                    counts.admitted_within_quota >= 2000 / quotas.len() as u64,
                    "an unlimited quota admits everything"
                );
            }
        }
    }
}

#[test]
fn each_of_a_thousand_tenants_has_its_own_quota() {
    let mut router = contended_router(settings_with_tenants(1, &[5.0; 1000]));
    let started = std::time::Instant::now();
    let (mut id, mut last_tenant_within) = (0, 0);
    for step in 0..50u64 {
        let now = START + step * 100 * MS;
        let mut send_read = |router: &mut Router, tenant| {
            id += 1;
            let before = router.snapshot().admitted_within_quota;
            let was_served = try_serve(router, now, tenant_read(Some(tenant), id, now));
            (was_served, router.snapshot().admitted_within_quota - before)
        };
        for tenant in (0..999).filter(|tenant| u64::from(*tenant) % 2 == step % 2) {
            assert_eq!(send_read(&mut router, tenant), (true, 1), "{tenant} at {step}");
        }
        for n in 0..20 {
            assert!(is_rejected(&arrive(&mut router, now, tenant_write(None, 500_000 + step * 20 + n, now))));
        }
        // The last tenant sends 50 per second, the others 5, which is their quota.
        last_tenant_within += (0..5).map(|_| send_read(&mut router, 999).1).sum::<u64>();
    }
    assert!(started.elapsed().as_secs() < 10, "{:?}", started.elapsed());
    // Ten initial tokens, and five per second for 5 s.
    assert!((34..=35).contains(&last_tenant_within), "{last_tenant_within}");
    assert!(router.snapshot().rejected_by_quota > 0);
    assert_eq!(router.in_flight().requests, 8, "only the writes that fill the origin's window");
}

#[test]
fn requests_beyond_quota_are_admitted_again_after_contention() {
    let mut router = contended_router(settings_with_tenants(1, &[1.0, 1000.0]));
    let mut now = START;
    // Each served request within quota adds 0.005 to the admission probability.
    for id in 1..=200 {
        now += 10 * MS;
        assert!(try_serve(&mut router, now, tenant_read(Some(WITHIN_QUOTA), id, now)));
    }
    for id in 1000..1500 {
        now += 10 * MS;
        assert!(try_serve(&mut router, now, tenant_read(Some(OVER_QUOTA), id, now)), "{id}");
    }
    assert!(router.snapshot().admitted_beyond_quota > 400);
}

/// A client that leaves and a host that shuts down are no signs of contention.
#[test]
fn departed_clients_and_host_shutdown_are_not_contention() {
    let closing_events: [fn(RequestId) -> Event<'static>; 2] = [Event::ClientLeft, Event::AnswerNow];
    for closing_event in closing_events {
        let mut router = new_router(settings_with_tenants(1, &[0.0, 1000.0]), &endpoints(6));
        for id in 1..=50 {
            assert_eq!(
                send_targets(&arrive(&mut router, START, tenant_read(Some(WITHIN_QUOTA), id, START))).len(),
                1
            );
            handle(&mut router, START, closing_event(id));
            end_attempt(&mut router, START, id, 0, Outcome::Cancelled, 0);
        }
        let now = START + 100 * MS;
        for id in 100..150 {
            assert!(try_serve(&mut router, now, tenant_read(Some(0), id, now)), "{id}");
        }
    }
}

/// A reproducible generator: a linear congruential generator with Knuth's MMIX constants.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// The even share of each tenant's quota, in tokens per second.
const QUOTA_PER_PROXY: [f64; 4] = [20.0, 5.0, 1.0, 50.0];

/// Runs a random pattern of four tenants, some of which send bursts of retries. Returns the largest number of
/// requests by which any tenant fell short of what its own token bucket would allow.
fn max_shortfall(seed: u64, mut counts_within_quota: impl FnMut(Micros, u32) -> bool) -> i64 {
    let mut random = Lcg(seed);
    let mut tokens: Vec<f64> =
        QUOTA_PER_PROXY.iter().map(|per_proxy| (per_proxy * 2.0f64).max(4.0)).collect();
    let mut last_request_at = [START; 4];
    let mut balance = [0i64; 4];
    let mut shortfall = 0;
    let mut now = START;
    for _ in 0..1500 {
        now += random.below(60 * MS);
        let tenant = random.below(4) as usize;
        // An occasional burst: each rejected request is retried at once.
        let requests = if random.below(10) == 0 { 1 + random.below(60) } else { 1 };
        for _ in 0..requests {
            let depth = (QUOTA_PER_PROXY[tenant] * 2.0).max(4.0);
            let elapsed = (now - last_request_at[tenant]) as f64 / 1e6;
            last_request_at[tenant] = now;
            tokens[tenant] = (tokens[tenant] + elapsed * QUOTA_PER_PROXY[tenant]).min(depth);
            // Tolerate rounding differences between the two ways of summing.
            if tokens[tenant] >= 1.0 + 1e-9 {
                tokens[tenant] -= 1.0;
                balance[tenant] -= 1;
            }
            balance[tenant] += i64::from(counts_within_quota(now, tenant as u32));
            shortfall = shortfall.max(-balance[tenant]);
        }
    }
    shortfall
}

#[test]
fn tenant_never_gets_less_than_its_own_token_bucket_allows() {
    for seed in 0..40 {
        let quotas = QUOTA_PER_PROXY.map(|per_proxy| per_proxy * 4.0);
        let mut router = contended_router(settings_with_tenants(4, &quotas));
        let mut id = 0;
        let shortfall = max_shortfall(seed, |now, tenant| {
            id += 1;
            let before = router.snapshot().admitted_within_quota;
            if !send_targets(&arrive(&mut router, now, tenant_read(Some(tenant), id, now))).is_empty() {
                end_attempt(&mut router, now, id, 0, Outcome::Ok, MS);
            }
            router.snapshot().admitted_within_quota > before
        });
        assert_eq!(shortfall, 0, "seed {seed}");
    }
}

/// Verifies the check itself: with one bucket for all tenants, a burst of one tenant takes tokens from the
/// others.
#[test]
fn shortfall_check_detects_a_shared_token_bucket() {
    let found = (0..40).filter(|&seed| {
        let rate: f64 = QUOTA_PER_PROXY.iter().sum();
        let (mut tokens, mut refilled_at) = (rate * 2.0, START);
        let shortfall = max_shortfall(seed, |now, _| {
            tokens = (tokens + (now - refilled_at) as f64 / 1e6 * rate).min(rate * 2.0);
            refilled_at = now;
            let within = tokens >= 1.0;
            tokens -= f64::from(u8::from(within));
            within
        });
        shortfall > 0
    });
    assert!(found.count() >= 30);
}

/// Without contention no random number may be drawn for quotas, so decisions stay the same.
#[test]
fn quotas_do_not_change_decisions_without_contention() {
    let actions_with = |settings: Settings| {
        // The delay after a failed call to discovery depends on the state of the random number generator.
        let discovery = Discovery::OnRequest { poll_interval: 10 * S };
        let mut router = new_router(Settings { discovery, ..settings }, &endpoints(6));
        let mut all = Vec::new();
        for id in 1..=2000 {
            let now = START + id * 5 * MS;
            let actions = arrive(&mut router, now, tenant_read(Some(0), id, now));
            all.extend(actions);
            all.extend(end_attempt(&mut router, now + MS, id, 0, Outcome::Ok, MS));
        }
        let retry = handle(&mut router, START + 20 * S, Event::DiscoveryError);
        assert!(matches!(retry[..], [Action::Timer { .. }]), "{retry:?}");
        all.extend(retry);
        all
    };
    assert_eq!(actions_with(settings()), actions_with(settings_with_tenants(1, &[1.0, 1.0])));
}
