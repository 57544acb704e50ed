//! A limit on requests in flight that follows the latency: less while it rises over its usual level.
//!
//! The gradient of Netflix's concurrency-limits: `limit * clamp(tolerance * usual / now, 0.5, 1) + sqrt(limit)`,
//! smoothed, and only where the limit is in use.

/// The bounds of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyBounds {
    /// The least that it falls to.
    pub min: u32,
    /// The most that it rises to.
    pub max: u32,
}

/// Latencies that make one sample.
const LATENCIES_PER_SAMPLE: u32 = 32;
/// Latency may rise by this factor over the usual before the limit falls.
const LATENCY_TOLERANCE: f64 = 1.5;
/// The limit falls to no less than this share of itself by one sample.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a new limit beside the old one.
const LIMIT_SMOOTHING: f64 = 0.2;
/// Weight of a faster sample in the usual latency.
const BASELINE_FALL_WEIGHT: f64 = 0.5;
/// Weight of a slower one: small, or a lasting jam would become the usual.
const BASELINE_RISE_WEIGHT: f64 = 1.0 / 64.0;
/// A limit of which less than this share is in use does not rise.
const MIN_UTILIZATION: f64 = 0.5;

/// An adaptive limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    bounds: ConcurrencyBounds,
    limit: f64,
    baseline_latency: Option<f64>,
    sample: Sample,
}

/// The latencies of the sample that is being taken.
#[derive(Clone, Debug, Default)]
struct Sample {
    latency_sum_us: f64,
    count: u32,
    peak_in_flight: u32,
}

impl ConcurrencyLimiter {
    /// A limit that starts at the geometric mean of its bounds.
    pub fn new(bounds: ConcurrencyBounds) -> Self {
        let initial_limit = (f64::from(bounds.min.max(1)) * f64::from(bounds.max)).sqrt();
        ConcurrencyLimiter { bounds, limit: initial_limit, baseline_latency: None, sample: Sample::default() }
    }

    /// Keeps to other bounds from now on.
    pub fn reconfigure(&mut self, bounds: ConcurrencyBounds) {
        self.bounds = bounds;
        self.limit = self.clamped(self.limit);
    }

    /// The limit now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// A request was served after so many microseconds, while so many were in flight.
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
        // Quiet times say nothing of what a higher limit would do.
        if f64::from(sample.peak_in_flight) < self.limit * MIN_UTILIZATION {
            target = target.min(self.limit);
        }
        self.limit = self.clamped(self.limit + LIMIT_SMOOTHING * (target - self.limit));
    }

    fn clamped(&self, limit: f64) -> f64 {
        limit.clamp(f64::from(self.bounds.min), f64::from(self.bounds.max))
    }
}
