//! A quantile of a route's latest latencies.

use hdrhistogram::Histogram;
use notchdoor::Micros;

/// Samples after which the older half is forgotten.
const MAX_SAMPLES_PER_HISTOGRAM: u64 = 1_000;
/// Samples from which a quantile is believed.
const MIN_SAMPLES: u64 = 50;
/// The newer half alone is asked once it has so many samples.
const MIN_SAMPLES_IN_NEWER: u64 = MAX_SAMPLES_PER_HISTOGRAM / 4;
/// The quantile is worked out again after so many samples.
const SAMPLES_PER_ESTIMATE: u64 = 32;
/// An hour: what takes longer counts as that.
const MAX_LATENCY: Micros = 3_600_000_000;
/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latencies in two halves, of which the older is replaced.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    quantile: f64,
    estimate: Option<Micros>,
    samples_since_estimate: u64,
}

impl LatencyQuantile {
    /// Nothing seen yet; `quantile` is from 0 to 1.
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

    /// Estimates another quantile from the next sample on.
    pub fn reconfigure(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.samples_since_estimate = SAMPLES_PER_ESTIMATE;
    }

    /// One more latency.
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

    /// The quantile, once enough was seen.
    pub fn estimate(&self) -> Option<Micros> {
        self.estimate
    }
}
