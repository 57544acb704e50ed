//! Estimates the delay of a server in its normal, uncongested state: `CCT_estimation` of Equation 2.
//!
//! The estimate follows the means of non-overlapping intervals of samples. An interval that shows a shorter
//! delay, or that was measured while the window was less than half used, is believed quickly; a longer delay
//! measured while the window was in use may be congestion that this proxy causes itself, and is believed
//! slowly.

use super::congestion_window::MIN_SAMPLES;

/// Samples in an interval: two full sets of the samples that Equation 2 averages.
const INTERVAL_SAMPLES: u32 = 16;
/// The share by which an interval moves the estimate where congestion of our own making is ruled out.
const FAST_GAIN: f64 = 0.5;
/// The share by which an interval moves the estimate where its delay may be the congestion to detect.
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
    /// Whether the window was less than half used at each sample of the interval.
    underused: bool,
    /// The first estimate is at most this: the latency objective.
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

    /// The estimate, once there have been enough samples for one.
    pub(super) fn estimate(&self) -> Option<f64> {
        self.estimate
    }

    /// The standard deviation of single delays.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Tells that the window was in use, or was cut, within the current interval.
    pub(super) fn mark_in_use(&mut self) {
        self.underused = false;
    }

    /// Takes one delay in.
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
                // With one gain for both, lasting congestion would raise the estimate cut by cut until no
                // delay counted as congestion any more.
                let gain = if mean < estimate || self.underused { FAST_GAIN } else { SLOW_GAIN };
                self.estimate = Some(estimate + gain * (mean - estimate));
                self.deviation += gain * (deviation - self.deviation);
            }
        }
        self.interval = Interval::default();
        self.underused = true;
    }
}
