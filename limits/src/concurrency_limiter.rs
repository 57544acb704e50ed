//! An adaptive limit on requests in flight that falls when latency rises above its baseline.
//!
//! Uses the gradient algorithm of Netflix's concurrency-limits:
//! `limit * clamp(tolerance * baseline / latency, 0.5, 1) + sqrt(limit)`, smoothed. The limit rises only while it is
//! at least half used.

/// Lower and upper bounds of an adaptive limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyBounds {
    /// Lowest value of the limit.
    pub min: u32,
    /// Highest value of the limit.
    pub max: u32,
}

/// Number of latencies averaged into one sample.
const LATENCIES_PER_SAMPLE: u32 = 32;
/// Factor by which latency may exceed the baseline before the limit falls.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Lower bound of the gradient applied by one sample.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the newly computed limit when it is averaged with the current one.
const LIMIT_SMOOTHING: f64 = 0.2;
/// Weight of a sample that is faster than the baseline.
const BASELINE_FALL_WEIGHT: f64 = 0.5;
/// Weight of a sample that is slower than the baseline. Small, so that lasting overload does not become the baseline.
const BASELINE_RISE_WEIGHT: f64 = 1.0 / 64.0;
/// The limit does not rise while a smaller share of it is used.
const MIN_UTILIZATION: f64 = 0.5;

/// An adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    bounds: ConcurrencyBounds,
    limit: f64,
    baseline_latency: Option<f64>,
    sample: Sample,
}

/// The sample being collected.
#[derive(Clone, Debug, Default)]
struct Sample {
    latency_sum_us: f64,
    count: u32,
    peak_in_flight: u32,
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose limit starts at the geometric mean of its bounds.
    pub fn new(bounds: ConcurrencyBounds) -> Self {
        let initial_limit = (f64::from(bounds.min.max(1)) * f64::from(bounds.max)).sqrt();
        ConcurrencyLimiter { bounds, limit: initial_limit, baseline_latency: None, sample: Sample::default() }
    }

    /// Replaces the bounds and clamps the current limit to them.
    pub fn reconfigure(&mut self, bounds: ConcurrencyBounds) {
        self.bounds = bounds;
        self.limit = self.clamped(self.limit);
    }

    /// Current limit on requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records the latency of a successful request, in microseconds, and the number of requests in flight at that time.
    pub fn record_success(&mut self, latency_us: f64, in_flight: u32) {
        self.sample.latency_sum_us += latency_us;
        self.sample.count += 1;
        self.sample.peak_in_flight = self.sample.peak_in_flight.max(in_flight);
        if self.sample.count >= LATENCIES_PER_SAMPLE {
            let sample = std::mem::take(&mut self.sample);
            self.adapt(&sample);
        }
    }

    fn adapt(&mut self, sample: &Sample) {
        let latency = (sample.latency_sum_us / f64::from(sample.count)).max(1.0);
        let baseline = self.baseline_latency.unwrap_or(latency);
        let weight = if latency < baseline { BASELINE_FALL_WEIGHT } else { BASELINE_RISE_WEIGHT };
        let baseline = baseline + weight * (latency - baseline);
        self.baseline_latency = Some(baseline);
        let gradient = (LATENCY_TOLERANCE * baseline / latency).clamp(MIN_GRADIENT, 1.0);
        let mut target = self.limit * gradient + self.limit.sqrt();
        // With few requests in flight, the latency does not show whether a higher limit is safe.
        if f64::from(sample.peak_in_flight) < self.limit * MIN_UTILIZATION {
            target = target.min(self.limit);
        }
        self.limit = self.clamped(self.limit + LIMIT_SMOOTHING * (target - self.limit));
    }

    fn clamped(&self, limit: f64) -> f64 {
        limit.clamp(f64::from(self.bounds.min), f64::from(self.bounds.max))
    }
}
