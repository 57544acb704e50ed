//! Admission by tenant quota: under contention, what is beyond its tenant's quota is rejected first.
//!
//! A token bucket for each tenant tells requests within its quota from those beyond it. One probability for
//! all tenants, steered by what becomes of the requests within quota, tells how many of the others there is
//! room for. `docs/quotas.md` has the reasons and the alternatives.

use super::random::SplitMix64;
use crate::interface::{Micros, Settings, Tenant};

/// How many seconds of its quota a tenant may save up: bursts of clients that keep to it on average are
/// within quota.
const BURST_SECONDS: f64 = 2.0;
/// The least depth of a bucket, in tokens: a small tenant's few requests come in clumps too.
const MIN_BURST_TOKENS: f64 = 4.0;
/// The span over which a tenant's request rate is averaged, in seconds: long beside its bursts, short beside
/// a shift of traffic between proxies.
const RATE_AVERAGING_SECONDS: f64 = 5.0;
/// How often this proxy's part of the traffic is estimated anew: a request in between costs no pass over
/// the tenants.
const TRAFFIC_RATIO_INTERVAL: Micros = 200_000;
/// The least traffic ratio: with less traffic than the mean proxy's the prior stands, for a bucket that is
/// too small rejects what is owed, one that is too large only protects less.
const MIN_TRAFFIC_RATIO: f64 = 1.0;
/// What is left of the admission probability after a request within quota was lost: contention must end
/// within a few such losses.
const DECREASE_FACTOR: f64 = 0.5;
/// What a served request within quota adds to the admission probability: from 0 it takes 200 to admit all.
const INCREASE_PER_SUCCESS: f64 = 0.005;
/// From so many requests a second at one proxy on, a quota limits nothing: no proxy takes in as many, and
/// sums over the tenants stay far from overflow.
const UNLIMITED_RATE_PER_S: f64 = 1e9;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// How a request stands to its tenant's quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QuotaStanding {
    /// A token was there for it, or its tenant has no quota.
    Within,
    /// Its tenant had no token left.
    Beyond,
}

/// What is decided of a request at its arrival.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum QuotaDecision {
    /// It goes on.
    Admit(QuotaStanding),
    /// It is rejected for its tenant's quota, which has no further token for so long.
    Reject {
        /// `None` if there will never be one.
        next_token: Option<Micros>,
    },
}

/// What has been decided so far of requests whose tenant is known.
#[derive(Clone, Copy, Default)]
pub(super) struct QuotaCounts {
    pub(super) admitted_within: u64,
    pub(super) admitted_beyond: u64,
    pub(super) rejected: u64,
}

fn seconds_between(earlier: Micros, later: Micros) -> f64 {
    later.saturating_sub(earlier) as f64 / MICROS_PER_SECOND
}

/// The tokens that a tenant has at this proxy.
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that is full.
    fn new(per_s: f64, now: Micros) -> Self {
        TokenBucket { tokens: Self::depth(per_s), refilled_at: now }
    }

    /// The most tokens that are saved up at this rate; without a rate there are none at all.
    fn depth(per_s: f64) -> f64 {
        if per_s > 0.0 {
            (per_s * BURST_SECONDS).max(MIN_BURST_TOKENS)
        } else {
            0.0
        }
    }

    /// Refills at the rate, and takes a token if there is a whole one.
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

/// The exponentially averaged rate of a tenant's requests.
struct RateEstimate {
    /// Requests a second, as of `updated_at`.
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

    /// The rate, if none has come since the last one.
    fn at(&self, now: Micros) -> f64 {
        self.per_s * (-seconds_between(self.updated_at, now) / RATE_AVERAGING_SECONDS).exp()
    }
}

/// What is kept of a tenant.
struct TenantState {
    /// The tenant's quota in requests a second, divided evenly among the proxies: what is known before any
    /// traffic is seen.
    prior_per_s: f64,
    bucket: TokenBucket,
    rate: RateEstimate,
}

impl TenantState {
    fn new(tenant: &Tenant, proxies: f64, now: Micros) -> Self {
        // A negative quota allows nothing. One that is not a number says nothing, so it limits nothing.
        let quota = tenant.quota_per_s;
        let prior_per_s = if quota.is_nan() { f64::INFINITY } else { quota.max(0.0) / proxies };
        TenantState { prior_per_s, bucket: TokenBucket::new(prior_per_s, now), rate: RateEstimate::new(now) }
    }

    fn is_unlimited(&self) -> bool {
        self.prior_per_s >= UNLIMITED_RATE_PER_S
    }

    /// Whether its use of the quota tells anything of this proxy's part of the traffic.
    fn has_bounded_quota(&self) -> bool {
        self.prior_per_s > 0.0 && !self.is_unlimited()
    }

    /// Takes in one request.
    fn record_request(&mut self, now: Micros, traffic_ratio: f64) -> QuotaStanding {
        self.rate.record(now);
        if self.is_unlimited() || self.bucket.try_acquire(now, self.prior_per_s * traffic_ratio) {
            QuotaStanding::Within
        } else {
            QuotaStanding::Beyond
        }
    }

    /// The time in which one token comes; `None` if none ever does.
    fn token_interval(&self, traffic_ratio: f64) -> Option<Micros> {
        let per_s = self.prior_per_s * traffic_ratio;
        (per_s > 0.0).then(|| (MICROS_PER_SECOND / per_s) as Micros)
    }
}

/// One tenant's observed rate over its prior, and the weight of that.
struct QuotaUsage {
    ratio: f64,
    weight: f64,
}

/// This proxy's traffic over the mean proxy's. Where clients are not spread evenly, an even division of the
/// quotas would take the tenants of a busy proxy for excessive. All of them ask for more there, so the median
/// tells it; a few that do go beyond their quota do not move it.
struct TrafficRatio {
    value: f64,
    estimated_at: Micros,
    /// Kept between estimates so that none allocates.
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

    /// The median over the tenants, weighted by quota, of the observed rate over the prior.
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

/// The chance of a request beyond quota, by additive increase and multiplicative decrease: the loss of a
/// request within quota is the sign of congestion.
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

    /// Draws no number while all is admitted.
    fn admits(&self, random: &mut SplitMix64) -> bool {
        self.probability >= 1.0 || random.next_unit() < self.probability
    }
}

/// The quotas of all tenants at this proxy.
pub(super) struct TenantQuotas {
    /// By [`crate::Request::tenant`].
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

    /// Takes in a request and decides whether its tenant's quota lets it go on. A tenant that the settings
    /// do not know is never limited.
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

    /// The router rejected or failed a request.
    pub(super) fn record_loss(&mut self, standing: QuotaStanding) {
        if standing == QuotaStanding::Within {
            self.controller.record_loss();
        }
    }

    /// A request was answered with a value.
    pub(super) fn record_success(&mut self, standing: QuotaStanding) {
        if standing == QuotaStanding::Within {
            self.controller.record_success();
        }
    }

    pub(super) fn counts(&self) -> QuotaCounts {
        self.counts
    }
}
