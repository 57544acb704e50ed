//! Arrival processes: when requests are due. All times are in microseconds since the start of the run; no clock is read.

use notchdoor_model::cache::key_from_text;
use notchdoor_model::clients::Workload;
use notchdoor_model::spec::Spec;
use notchdoor_model::time::{Time, S};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// Maximum number of requests in a recording.
const MAX_RECORD_LINES: usize = 10_000_000;
/// Maximum rate, in requests per second.
const MAX_RATE_PER_S: f64 = 1e6;

/// An arrival process.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Arrivals {
    /// The scenario's process: Poisson, with the scenario's changes of the rate.
    #[default]
    Scenario,
    /// Evenly spaced, at this rate in requests per second.
    Constant(f64),
    /// Poisson, at this rate in requests per second.
    Poisson(f64),
    /// Poisson at each of these rates in turn, for equal parts of the run.
    Steps(Vec<f64>),
    /// Poisson, at a rate that changes linearly from the first to the second.
    Ramp(f64, f64),
    /// The recorded arrivals, in order.
    Recorded(Vec<Arrival>),
}

/// One request of an arrival process.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the request is due.
    pub at: Time,
    /// Index of its class, if the recording names one.
    pub class: Option<u32>,
    /// Its key, if the recording names one.
    pub key: Option<u64>,
}

impl Arrivals {
    /// Parses `scenario`, `constant:RATE`, `poisson:RATE`, `steps:RATE,RATE...` or `ramp:RATE..RATE`.
    pub fn parse(text: &str) -> Result<Arrivals, String> {
        let rate = |t: &str| {
            let rate = t.trim().parse::<f64>().ok().filter(|r| *r > 0.0 && *r <= MAX_RATE_PER_S);
            rate.ok_or_else(|| {
                format!("'{t}' is not a rate: expected requests per second, at most {MAX_RATE_PER_S}")
            })
        };
        let (kind, figures) = text.split_once(':').unwrap_or((text, ""));
        match kind {
            "scenario" if figures.is_empty() => Ok(Arrivals::Scenario),
            "constant" => Ok(Arrivals::Constant(rate(figures)?)),
            "poisson" => Ok(Arrivals::Poisson(rate(figures)?)),
            "steps" => Ok(Arrivals::Steps(figures.split(',').map(rate).collect::<Result<_, _>>()?)),
            "ramp" => {
                let (a, b) = figures.split_once("..").ok_or("expected ramp:RATE..RATE")?;
                Ok(Arrivals::Ramp(rate(a)?, rate(b)?))
            }
            _ => Err(format!(
                "'{text}' is unknown: expected scenario, constant:RATE, poisson:RATE, steps:RATE,RATE or ramp:RATE..RATE"
            )),
        }
    }

    /// Parses a recording: one line for each request with its time in seconds and, if known, its class and its key,
    /// separated by spaces. Times must not decrease. Empty lines and lines that start with `#` are skipped. The error
    /// names the line.
    pub fn record(file: &str, text: &str, classes: &[String]) -> Result<Arrivals, String> {
        let mut arrivals = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let error = |why: String| format!("{file}:{}: {why}", n + 1);
            let mut words = line.split_whitespace();
            let Some(at) = words.next().filter(|w| !w.starts_with('#')) else { continue };
            let at = at.parse::<f64>().ok().filter(|s| (0.0..=1e6).contains(s));
            let at =
                at.ok_or_else(|| error("the time must be a number of seconds from 0 to 1000000".to_owned()))?;
            let class = match words.next() {
                None => None,
                Some(name) => Some(classes.iter().position(|c| c == name).ok_or_else(|| {
                    error(format!("unknown class '{name}', expected one of {}", classes.join(", ")))
                })? as u32),
            };
            let key = words.next().map(key_from_text);
            let arrival = Arrival { at: (at * S as f64) as Time, class, key };
            if arrivals.last().is_some_and(|previous: &Arrival| previous.at > arrival.at) {
                return Err(error("the time is earlier than that of the previous request".to_owned()));
            }
            if arrivals.len() >= MAX_RECORD_LINES {
                return Err(error(format!("more than {MAX_RECORD_LINES} requests")));
            }
            arrivals.push(arrival);
        }
        if arrivals.is_empty() {
            return Err(format!("{file}: contains no request"));
        }
        Ok(Arrivals::Recorded(arrivals))
    }

    /// The mean rate in requests per second; `None` if the scenario or a recording determines it.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Arrivals::Scenario | Arrivals::Recorded(_) => None,
            Arrivals::Constant(rate) | Arrivals::Poisson(rate) => Some(*rate),
            Arrivals::Steps(rates) => Some(rates.iter().sum::<f64>() / rates.len() as f64),
            Arrivals::Ramp(a, b) => Some((a + b) / 2.0),
        }
    }

    /// Returns the arrivals before `until`, in order.
    pub fn times(&self, spec: &Spec, seed: u64, until: Time) -> ArrivalTimes {
        let workload = Workload::new(spec, spec.rate(), seed);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x00a7_71fa_15ee_d000);
        ArrivalTimes { arrivals: self.clone(), workload, rng, until, now: 0, n: 0 }
    }
}

/// Iterator over the arrivals of a run.
pub struct ArrivalTimes {
    arrivals: Arrivals,
    /// Used for the scenario's own process only.
    workload: Workload,
    rng: ChaCha8Rng,
    until: Time,
    now: Time,
    n: u64,
}

impl ArrivalTimes {
    /// Draws the next arrival of a Poisson process by thinning. `rate_at` returns the rate at a time and never exceeds
    /// `max_rate`.
    fn thinned(&mut self, max_rate: f64, rate_at: impl Fn(f64) -> f64) -> Time {
        let mut at = self.now as f64;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            at += gap / max_rate * S as f64;
            if at > self.until as f64 || self.rng.random::<f64>() * max_rate <= rate_at(at) {
                return at as Time;
            }
        }
    }
}

impl Iterator for ArrivalTimes {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let until = self.until as f64;
        let arrivals = std::mem::take(&mut self.arrivals);
        let arrival = |at| Some(Arrival { at, class: None, key: None });
        let next = match &arrivals {
            Arrivals::Scenario => arrival(self.workload.next_arrival(self.now)),
            // Computed from the number of the request, so that rounding errors do not add up.
            Arrivals::Constant(rate) => arrival(((self.n + 1) as f64 / rate * S as f64) as Time),
            Arrivals::Poisson(rate) => arrival(self.thinned(*rate, |_| *rate)),
            Arrivals::Steps(rates) => {
                let max_rate = rates.iter().copied().fold(0.0, f64::max);
                let step = |at: f64| ((at / until * rates.len() as f64) as usize).min(rates.len() - 1);
                arrival(self.thinned(max_rate, |at| rates[step(at)]))
            }
            Arrivals::Ramp(a, b) => arrival(self.thinned(a.max(*b), |at| a + (b - a) * at / until)),
            Arrivals::Recorded(arrivals) => arrivals.get(self.n as usize).cloned(),
        };
        self.arrivals = arrivals;
        let next = next.filter(|arrival| arrival.at < self.until)?;
        (self.now, self.n) = (next.at, self.n + 1);
        Some(next)
    }
}
