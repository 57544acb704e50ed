//! A circuit breaker for one server: it opens when too many recent attempts failed or were slow, and closes after
//! enough consecutive successful probes.

use notchdoor::Micros;

/// Thresholds and durations of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreakerConfig {
    /// Share of failed attempts at which the breaker opens.
    pub failure_ratio: f64,
    /// Share of slow attempts at which the breaker opens. A value above 1 disables this condition.
    pub slow_ratio: f64,
    /// Attempts that take longer than this count as slow.
    pub slow_after: Micros,
    /// Length of the sliding window over which both shares are computed.
    pub window: Micros,
    /// Minimum number of attempts in the window before the breaker may open.
    pub min_attempts: u32,
    /// Minimum time for which the breaker stays open.
    pub open_duration: Micros,
    /// Consecutive successful probes that close a half-open breaker.
    pub probes_to_close: u32,
}

/// Decision on whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The attempt may be sent.
    Allowed,
    /// The attempt may be sent as a probe. The caller must record its result with `probe` set, or call
    /// [`CircuitBreaker::release_probe`].
    Probe,
    /// The attempt must not be sent.
    Rejected,
}

/// Result of an attempt, as recorded by a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether the attempt was admitted as a probe.
    pub probe: bool,
    /// Whether the attempt failed.
    pub failed: bool,
    /// Duration of the attempt.
    pub duration: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed,
    Open { until: Micros },
    HalfOpen { probe_in_flight: bool, successful_probes: u32 },
}

/// A circuit breaker that is closed, open or half-open.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    config: CircuitBreakerConfig,
    counts: SlidingWindow,
    state: State,
    times_opened: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(config: CircuitBreakerConfig) -> Self {
        CircuitBreaker { config, counts: SlidingWindow::default(), state: State::Closed, times_opened: 0 }
    }

    /// Replaces the settings. The state is kept, including a probe in flight.
    pub fn reconfigure(&mut self, config: CircuitBreakerConfig) {
        self.config = config;
    }

    /// Number of times the breaker has opened. It is kept across [`CircuitBreaker::reset`].
    pub fn times_opened(&self) -> u64 {
        self.times_opened
    }

    /// Whether the breaker is closed and admits every attempt.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Decides whether an attempt may be sent now. After `Admission::Probe`, no other probe is admitted until this one
    /// is recorded or released.
    pub fn try_acquire(&mut self, now: Micros) -> Admission {
        if let State::Open { until } = self.state {
            if now < until {
                return Admission::Rejected;
            }
            self.state = State::HalfOpen { probe_in_flight: false, successful_probes: 0 };
        }
        match &mut self.state {
            State::Closed => Admission::Allowed,
            State::HalfOpen { probe_in_flight, .. } if !*probe_in_flight => {
                *probe_in_flight = true;
                Admission::Probe
            }
            State::HalfOpen { .. } | State::Open { .. } => Admission::Rejected,
        }
    }

    /// Records the result of an attempt. If the breaker opens, it stays open for `open_jitter` in addition to the
    /// configured duration, so that proxies whose breakers opened together do not probe the server at the same time.
    /// With `None`, a closed breaker stays closed.
    pub fn record(&mut self, now: Micros, result: AttemptResult, open_jitter: Option<Micros>) {
        let slow = result.duration > self.config.slow_after;
        if result.probe {
            self.record_probe(now, result.failed || slow, open_jitter);
        } else if self.is_closed() {
            // Results of non-probe attempts that arrive while the breaker is not closed are ignored.
            self.counts.add(now, self.config.window, result.failed, slow);
            if let Some(open_jitter) = open_jitter.filter(|_| self.threshold_exceeded()) {
                self.open(now, open_jitter);
            }
        }
    }

    fn record_probe(&mut self, now: Micros, failed_or_slow: bool, open_jitter: Option<Micros>) {
        let State::HalfOpen { successful_probes, .. } = self.state else { return };
        if failed_or_slow {
            // Reopens even if `open_jitter` is `None`, since the server was already excluded.
            return self.open(now, open_jitter.unwrap_or(0));
        }
        let successful_probes = successful_probes + 1;
        if successful_probes < self.config.probes_to_close {
            self.state = State::HalfOpen { probe_in_flight: false, successful_probes };
        } else {
            self.state = State::Closed;
            self.counts.clear();
        }
    }

    /// Allows another probe after one that was not sent or was cancelled.
    pub fn release_probe(&mut self) {
        if let State::HalfOpen { probe_in_flight, .. } = &mut self.state {
            *probe_in_flight = false;
        }
    }

    /// Closes the breaker and clears its counts because the server has restarted.
    pub fn reset(&mut self) {
        *self = CircuitBreaker { times_opened: self.times_opened, ..CircuitBreaker::new(self.config) };
    }

    fn threshold_exceeded(&self) -> bool {
        let counts = self.counts.sum();
        let ratio = |part: u32| f64::from(part) / f64::from(counts.attempts.max(1));
        let exceeded =
            ratio(counts.failed) >= self.config.failure_ratio || ratio(counts.slow) >= self.config.slow_ratio;
        exceeded && counts.attempts >= self.config.min_attempts.max(1)
    }

    fn open(&mut self, now: Micros, open_jitter: Micros) {
        let until = now.saturating_add(self.config.open_duration).saturating_add(open_jitter);
        self.state = State::Open { until };
        self.times_opened += 1;
        self.counts.clear();
    }
}

/// Number of buckets that the sliding window is divided into.
const WINDOW_BUCKETS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    attempts: u32,
    failed: u32,
    slow: u32,
}

/// Attempt counts over the sliding window, as a ring of buckets.
#[derive(Clone, Debug, Default)]
struct SlidingWindow {
    buckets: [AttemptCounts; WINDOW_BUCKETS as usize],
    /// Number of the newest bucket, counted from time zero.
    latest_bucket: u64,
}

impl SlidingWindow {
    fn add(&mut self, now: Micros, window: Micros, failed: bool, slow: bool) {
        self.advance(now / (window / WINDOW_BUCKETS).max(1));
        let bucket = &mut self.buckets[(self.latest_bucket % WINDOW_BUCKETS) as usize];
        bucket.attempts += 1;
        bucket.failed += u32::from(failed);
        bucket.slow += u32::from(slow);
    }

    /// Makes `bucket` the newest bucket and clears those that have left the window. An older bucket number is ignored.
    fn advance(&mut self, bucket: u64) {
        let elapsed = bucket.saturating_sub(self.latest_bucket);
        if elapsed >= WINDOW_BUCKETS {
            self.clear();
        } else {
            for offset in 1..=elapsed {
                self.buckets[((self.latest_bucket + offset) % WINDOW_BUCKETS) as usize] =
                    AttemptCounts::default();
            }
        }
        self.latest_bucket = self.latest_bucket.max(bucket);
    }

    fn clear(&mut self) {
        self.buckets = [AttemptCounts::default(); WINDOW_BUCKETS as usize];
    }

    fn sum(&self) -> AttemptCounts {
        self.buckets.iter().fold(AttemptCounts::default(), |sum, bucket| AttemptCounts {
            attempts: sum.attempts + bucket.attempts,
            failed: sum.failed + bucket.failed,
            slow: sum.slow + bucket.slow,
        })
    }
}
