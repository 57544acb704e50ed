//! A circuit breaker for one server: it opens when too many of its latest attempts failed or were slow, and closes
//! after probes that went well.

use notchdoor::Micros;

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreakerConfig {
    /// The share of failed attempts at which it opens.
    pub failure_ratio: f64,
    /// The share of slow attempts at which it opens; over 1 for never.
    pub slow_ratio: f64,
    /// An attempt that took longer is slow.
    pub slow_after: Micros,
    /// The time over which shares are counted.
    pub window: Micros,
    /// Attempts within the window before a share is believed.
    pub min_attempts: u32,
    /// How long it stays open, at the least.
    pub open_duration: Micros,
    /// Good probes in a row that close it.
    pub probes_to_close: u32,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It may, as a probe; its end has to be recorded as one, or the probe released.
    Probe,
    /// It may not.
    Rejected,
}

/// How an attempt ended, as a breaker counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether it was let through as a probe.
    pub probe: bool,
    /// Whether it failed.
    pub failed: bool,
    /// How long it took.
    pub duration: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed,
    Open { until: Micros },
    HalfOpen { probe_in_flight: bool, successful_probes: u32 },
}

/// A circuit breaker.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    config: CircuitBreakerConfig,
    counts: SlidingWindow,
    state: State,
    times_opened: u64,
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new(config: CircuitBreakerConfig) -> Self {
        CircuitBreaker { config, counts: SlidingWindow::default(), state: State::Closed, times_opened: 0 }
    }

    /// Goes by other settings from now on; its state stays, and a probe in flight is still one.
    pub fn reconfigure(&mut self, config: CircuitBreakerConfig) {
        self.config = config;
    }

    /// Times that it opened.
    pub fn times_opened(&self) -> u64 {
        self.times_opened
    }

    /// Whether it lets everything through.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Whether an attempt may be sent now. A probe is in flight from then on.
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

    /// An attempt has ended. `spread` is how much longer than its settings say the breaker stays open if this opens
    /// it: hundreds of proxies whose breakers opened together must not probe a server that has just come back at one
    /// moment. `None` if it must not open now.
    pub fn record(&mut self, now: Micros, result: AttemptResult, open_jitter: Option<Micros>) {
        let slow = result.duration > self.config.slow_after;
        if result.probe {
            self.record_probe(now, result.failed || slow, open_jitter);
        } else if self.is_closed() {
            // What was sent before it opened says nothing that is not known.
            self.counts.add(now, self.config.window, result.failed, slow);
            if let Some(open_jitter) = open_jitter.filter(|_| self.threshold_exceeded()) {
                self.open(now, open_jitter);
            }
        }
    }

    fn record_probe(&mut self, now: Micros, failed_or_slow: bool, open_jitter: Option<Micros>) {
        let State::HalfOpen { successful_probes, .. } = self.state else { return };
        if failed_or_slow {
            // It was open before: no further server is left alone by that.
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

    /// A probe came to nothing: it was never sent, or called off.
    pub fn release_probe(&mut self) {
        if let State::HalfOpen { probe_in_flight, .. } = &mut self.state {
            *probe_in_flight = false;
        }
    }

    /// The server has started anew: what was learnt of the old process is void.
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

/// A window is counted in so many steps, of which the oldest is forgotten at a time.
const WINDOW_BUCKETS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    attempts: u32,
    failed: u32,
    slow: u32,
}

/// Counts of the attempts of the latest window.
#[derive(Clone, Debug, Default)]
struct SlidingWindow {
    buckets: [AttemptCounts; WINDOW_BUCKETS as usize],
    /// The latest step, counted from time zero.
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

    /// Forgets the steps that have left the window. A time before the latest one counts as that.
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
