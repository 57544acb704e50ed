//! Admission by tenant quota: under contention, requests beyond their tenant's quota are rejected first.
//!
//! A token bucket per tenant separates requests within quota from those beyond it. Requests beyond quota are
//! admitted with one probability for all tenants, which falls when requests within quota are lost and rises
//! when they are served. `docs/quotas.md` gives the reasons and alternatives.

use super::random::SplitMix64;
use crate::interface::{Micros, Settings, Tenant};

/// The depth of a token bucket, in seconds of its refill rate: bursts of clients that keep to their quota on
/// average are within quota.
const BURST_SECONDS: f64 = 2.0;
/// The minimum depth of a token bucket. Allows small bursts by tenants with small quotas.
const MIN_BURST_TOKENS: f64 = 4.0;
/// The time constant of a tenant's average request rate: long beside its bursts, short beside a shift of traffic
/// between proxies.
const RATE_AVERAGING_SECONDS: f64 = 5.0;
/// The minimum time between two estimates of the traffic ratio, each of which visits all tenants.
const TRAFFIC_RATIO_INTERVAL: Micros = 200_000;
/// The minimum traffic ratio. A bucket that is too small rejects requests within quota, one that is too large
/// only protects less, so the refill rate never falls below the even share.
const MIN_TRAFFIC_RATIO: f64 = 1.0;
/// The admission probability is multiplied by this factor when a request within quota is lost: contention must
/// end within a few such losses.
const DECREASE_FACTOR: f64 = 0.5;
/// Added to the admission probability when a request within quota is served: from 0 it takes 200 to admit all.
const INCREASE_PER_SUCCESS: f64 = 0.005;
/// A quota of at least this many requests per second at one proxy counts as unlimited. Avoids overflow in
/// sums over the tenants.
const UNLIMITED_RATE_PER_S: f64 = 1e9;
const MICROS_PER_SECOND: f64 = 1e6;

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QuotaStanding {
    /// A token was available, or the tenant has no quota.
    Within,
    /// The tenant's token bucket was empty.
    Beyond,
}

/// The quota decision for an arriving request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum QuotaDecision {
    /// The request is admitted.
    Admit(QuotaStanding),
    /// The request is rejected because it is beyond its tenant's quota.
    Reject {
        /// The time in which one token is added; `None` if the refill rate is 0.
        next_token: Option<Micros>,
    },
}

/// Decisions so far about requests of known tenants.
#[derive(Clone, Copy, Default)]
pub(super) struct QuotaCounts {
    pub(super) admitted_within: u64,
    pub(super) admitted_beyond: u64,
    pub(super) rejected: u64,
}

fn seconds_between(earlier: Micros, later: Micros) -> f64 {
    later.saturating_sub(earlier) as f64 / MICROS_PER_SECOND
}

/// A tenant's tokens at this proxy.
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Returns a full bucket.
    fn new(per_s: f64, now: Micros) -> Self {
        TokenBucket { tokens: Self::depth(per_s), refilled_at: now }
    }

    /// Returns the maximum number of tokens at this refill rate; 0 without a refill rate.
    fn depth(per_s: f64) -> f64 {
        if per_s > 0.0 {
            (per_s * BURST_SECONDS).max(MIN_BURST_TOKENS)
        } else {
            0.0
        }
    }

    /// Refills the bucket, and takes a token if at least one is available.
    fn try_acquire(&mut self, now: Micros, per_s: f64) -> bool {
        let refill = seconds_between(self.refilled_at, now) * per_s;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + refill).min(Self::depth(per_s));
        let acquired = self.tokens >= 1.0;
        if acquired {
            self.tokens -= 1.0;
        }
        acquired
    }
}

/// The exponentially averaged request rate of a tenant.
struct RateEstimate {
    /// Requests per second as of `updated_at`.
    per_s: f64,
    updated_at: Micros,
}

impl RateEstimate {
    fn new(now: Micros) -> Self {
        RateEstimate { per_s: 0.0, updated_at: now }
    }

    fn record(&mut self, now: Micros) {
        self.per_s = self.at(now) + 1.0 / RATE_AVERAGING_SECONDS;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate at `now`, assuming no request since `updated_at`.
    fn at(&self, now: Micros) -> f64 {
        self.per_s * (-seconds_between(self.updated_at, now) / RATE_AVERAGING_SECONDS).exp()
    }
}

/// The state kept for one tenant.
struct TenantState {
    /// The tenant's quota in requests per second, divided evenly among the proxies.
    prior_per_s: f64,
    bucket: TokenBucket,
    rate: RateEstimate,
}

impl TenantState {
    fn new(tenant: &Tenant, proxies: f64, now: Micros) -> Self {
        // A negative quota allows nothing; NaN counts as unlimited.
        let quota = tenant.quota_per_s;
        let prior_per_s = if quota.is_nan() { f64::INFINITY } else { quota.max(0.0) / proxies };
        TenantState { prior_per_s, bucket: TokenBucket::new(prior_per_s, now), rate: RateEstimate::new(now) }
    }

    fn is_unlimited(&self) -> bool {
        self.prior_per_s >= UNLIMITED_RATE_PER_S
    }

    /// Returns whether the quota is positive and limited, so that its usage can be measured.
    fn has_bounded_quota(&self) -> bool {
        self.prior_per_s > 0.0 && !self.is_unlimited()
    }

    /// Counts a request, and returns whether it is within quota.
    fn record_request(&mut self, now: Micros, traffic_ratio: f64) -> QuotaStanding {
        self.rate.record(now);
        if self.is_unlimited() || self.bucket.try_acquire(now, self.prior_per_s * traffic_ratio) {
            QuotaStanding::Within
        } else {
            QuotaStanding::Beyond
        }
    }

    /// Returns the time in which one token is added; `None` if the refill rate is 0.
    fn token_interval(&self, traffic_ratio: f64) -> Option<Micros> {
        let per_s = self.prior_per_s * traffic_ratio;
        (per_s > 0.0).then(|| (MICROS_PER_SECOND / per_s) as Micros)
    }
}

/// A tenant's observed rate divided by its even share of the quota, and the weight of that ratio.
struct QuotaUsage {
    ratio: f64,
    weight: f64,
}

/// This proxy's traffic relative to the mean proxy's. If clients are not spread evenly, all tenants exceed
/// their even share at a busy proxy. The median over the tenants measures that, and a few tenants that exceed
/// their quota do not change it.
struct TrafficRatio {
    value: f64,
    estimated_at: Micros,
    /// Reused between estimates to avoid allocation.
    usages: Vec<QuotaUsage>,
}

impl TrafficRatio {
    fn new(tenants: usize, now: Micros) -> Self {
        TrafficRatio { value: MIN_TRAFFIC_RATIO, estimated_at: now, usages: Vec::with_capacity(tenants) }
    }

    fn update_if_due(&mut self, now: Micros, tenants: &[TenantState]) {
        if now.saturating_sub(self.estimated_at) > TRAFFIC_RATIO_INTERVAL {
            self.estimated_at = now;
            self.value = self.median_usage(now, tenants).max(MIN_TRAFFIC_RATIO);
        }
    }

    /// Returns the median of the tenants' observed rates divided by their even shares, weighted by quota.
    fn median_usage(&mut self, now: Micros, tenants: &[TenantState]) -> f64 {
        let bounded_tenants = tenants.iter().filter(|tenant| tenant.has_bounded_quota()).map(|tenant| {
            QuotaUsage { ratio: tenant.rate.at(now) / tenant.prior_per_s, weight: tenant.prior_per_s }
        });
        self.usages.clear();
        self.usages.extend(bounded_tenants);
        self.usages.sort_unstable_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let half = self.usages.iter().map(|usage| usage.weight).sum::<f64>() / 2.0;
        let mut weight_up_to = 0.0;
        let median = self.usages.iter().find(|usage| {
            weight_up_to += usage.weight;
            weight_up_to >= half
        });
        median.map_or(MIN_TRAFFIC_RATIO, |usage| usage.ratio)
    }
}

/// The probability of admitting a request beyond quota: additive increase, multiplicative decrease. The loss
/// of a request within quota is the congestion signal.
struct AdmissionController {
    probability: f64,
}

impl AdmissionController {
    fn record_loss(&mut self) {
        self.probability *= DECREASE_FACTOR;
    }

    fn record_success(&mut self) {
        self.probability = (self.probability + INCREASE_PER_SUCCESS).min(1.0);
    }

    /// Draws no random number while the probability is 1.
    fn admits(&self, random: &mut SplitMix64) -> bool {
        self.probability >= 1.0 || random.next_unit() < self.probability
    }
}

/// The quotas of all tenants at this proxy.
pub(super) struct TenantQuotas {
    /// Indexed by [`crate::Request::tenant`].
    tenants: Vec<TenantState>,
    traffic_ratio: TrafficRatio,
    controller: AdmissionController,
    counts: QuotaCounts,
}

impl TenantQuotas {
    pub(super) fn new(settings: &Settings, now: Micros) -> Self {
        let proxies = f64::from(settings.proxies.max(1));
        let tenants = settings.tenants.iter().map(|tenant| TenantState::new(tenant, proxies, now));
        TenantQuotas {
            tenants: tenants.collect(),
            traffic_ratio: TrafficRatio::new(settings.tenants.len(), now),
            controller: AdmissionController { probability: 1.0 },
            counts: QuotaCounts::default(),
        }
    }

    /// Counts a request and decides whether its tenant's quota admits it. Unknown tenants are not limited.
    pub(super) fn decide(
        &mut self,
        now: Micros,
        tenant: Option<u32>,
        random: &mut SplitMix64,
    ) -> QuotaDecision {
        self.traffic_ratio.update_if_due(now, &self.tenants);
        let ratio = self.traffic_ratio.value;
        let Some(tenant) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) else {
            return QuotaDecision::Admit(QuotaStanding::Within);
        };
        let standing = tenant.record_request(now, ratio);
        if standing == QuotaStanding::Within {
            self.counts.admitted_within += 1;
        } else if self.controller.admits(random) {
            self.counts.admitted_beyond += 1;
        } else {
            self.counts.rejected += 1;
            return QuotaDecision::Reject { next_token: tenant.token_interval(ratio) };
        }
        QuotaDecision::Admit(standing)
    }

    /// Records that the router rejected or failed a request.
    pub(super) fn record_loss(&mut self, standing: QuotaStanding) {
        if standing == QuotaStanding::Within {
            self.controller.record_loss();
        }
    }

    /// Records that a request was served.
    pub(super) fn record_success(&mut self, standing: QuotaStanding) {
        if standing == QuotaStanding::Within {
            self.controller.record_success();
        }
    }

    pub(super) fn counts(&self) -> QuotaCounts {
        self.counts
    }
}
