//! Estimates a quantile of a route's recent latencies.

use hdrhistogram::Histogram;
use notchdoor::Micros;

/// Samples in the newer histogram after which it replaces the older one.
const MAX_SAMPLES_PER_HISTOGRAM: u64 = 1_000;
/// Samples required before the first estimate.
const MIN_SAMPLES: u64 = 50;
/// Samples from which the estimate uses the newer histogram instead of the older one.
const MIN_SAMPLES_IN_NEWER: u64 = MAX_SAMPLES_PER_HISTOGRAM / 4;
/// Samples between two estimates.
const SAMPLES_PER_ESTIMATE: u64 = 32;
/// One hour. Longer latencies are recorded as this value.
const MAX_LATENCY: Micros = 3_600_000_000;
/// Precision of a recorded latency, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A quantile estimate over two histograms; when the newer one is full, it replaces the older one.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    quantile: f64,
    estimate: Option<Micros>,
    samples_since_estimate: u64,
}

impl LatencyQuantile {
    /// Creates an estimator without samples. `quantile` is between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY, SIGNIFICANT_DIGITS).expect("bounds are in order");
        LatencyQuantile {
            newer: histogram(),
            older: histogram(),
            quantile,
            estimate: None,
            samples_since_estimate: 0,
        }
    }

    /// Changes the quantile. The next sample updates the estimate.
    pub fn reconfigure(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.samples_since_estimate = SAMPLES_PER_ESTIMATE;
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Micros) {
        if self.newer.len() >= MAX_SAMPLES_PER_HISTOGRAM {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.reset();
        }
        self.newer.saturating_record(latency.max(1));
        self.samples_since_estimate += 1;
        let enough = self.newer.len() + self.older.len() >= MIN_SAMPLES;
        let due = self.samples_since_estimate >= SAMPLES_PER_ESTIMATE || self.estimate.is_none();
        if enough && due {
            self.samples_since_estimate = 0;
            let use_newer = self.newer.len() >= MIN_SAMPLES_IN_NEWER || self.older.is_empty();
            let histogram = if use_newer { &self.newer } else { &self.older };
            self.estimate = Some(histogram.value_at_quantile(self.quantile));
        }
    }

    /// Latest estimate of the quantile, or `None` until enough samples are recorded.
    pub fn estimate(&self) -> Option<Micros> {
        self.estimate
    }
}
