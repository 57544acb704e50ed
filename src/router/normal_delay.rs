//! Estimates the delay of a server without congestion: `CCT_estimation` of Equation 2.
//!
//! The estimate is a moving average of the means of consecutive intervals of samples. It moves quickly
//! towards a shorter delay, or towards any delay measured while the window was less than half used. It moves
//! slowly towards a longer delay measured while the window was in use, since that may be congestion caused by
//! this proxy.

use super::congestion_window::MIN_SAMPLES;

/// The number of samples in an interval: two full sets of the samples that Equation 2 averages.
const INTERVAL_SAMPLES: u32 = 16;
/// The gain for an interval that cannot contain congestion caused by this proxy.
const FAST_GAIN: f64 = 0.5;
/// The gain for an interval that may contain such congestion.
const SLOW_GAIN: f64 = 1.0 / 32.0;

/// The samples of the current interval.
#[derive(Default)]
struct Interval {
    sum: f64,
    sum_of_squares: f64,
    samples: u32,
}

/// The normal delay of one server, or of a group of servers, in microseconds.
pub(super) struct NormalDelay {
    estimate: Option<f64>,
    deviation: f64,
    interval: Interval,
    /// Whether the window has been less than half used during the whole interval.
    underused: bool,
    /// Upper bound on the first estimate.
    first_estimate_limit: f64,
}

impl NormalDelay {
    pub(super) fn new(first_estimate_limit: f64) -> Self {
        NormalDelay {
            estimate: None,
            deviation: 0.0,
            interval: Interval::default(),
            underused: true,
            first_estimate_limit,
        }
    }

    /// Returns the estimate, once there are enough samples.
    pub(super) fn estimate(&self) -> Option<f64> {
        self.estimate
    }

    /// Returns the standard deviation of a single delay.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Records that the window was in use, or was cut, during the current interval.
    pub(super) fn mark_in_use(&mut self) {
        self.underused = false;
    }

    /// Adds a delay to the current interval.
    pub(super) fn record(&mut self, delay: f64) {
        self.interval.sum += delay;
        self.interval.sum_of_squares += delay * delay;
        self.interval.samples += 1;
        let needed = if self.estimate.is_none() { MIN_SAMPLES as u32 } else { INTERVAL_SAMPLES };
        if self.interval.samples >= needed {
            self.finish_interval();
        }
    }

    fn finish_interval(&mut self) {
        let samples = f64::from(self.interval.samples);
        let mean = self.interval.sum / samples;
        let deviation = (self.interval.sum_of_squares / samples - mean * mean).max(0.0).sqrt();
        match self.estimate {
            None => {
                self.estimate = Some(mean.min(self.first_estimate_limit));
                self.deviation = deviation;
            }
            Some(estimate) => {
                // With a single gain, lasting congestion would raise the estimate until it no longer counted
                // as congestion.
                let gain = if mean < estimate || self.underused { FAST_GAIN } else { SLOW_GAIN };
                self.estimate = Some(estimate + gain * (mean - estimate));
                self.deviation += gain * (deviation - self.deviation);
            }
        }
        self.interval = Interval::default();
        self.underused = true;
    }
}
