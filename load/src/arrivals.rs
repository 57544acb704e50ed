//! When requests are due, and what a record says of them. No clock: times are microseconds from the start.

use notchdoor_model::cache::key_from_text;
use notchdoor_model::clients::Workload;
use notchdoor_model::spec::Spec;
use notchdoor_model::time::{Time, S};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// The most lines of a record.
const MOST_LINES: usize = 10_000_000;
/// The highest rate that is taken, in requests a second.
const MOST_RATE: f64 = 1e6;

/// How requests arrive.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Arrivals {
    /// As the scenario has it: Poisson, with its shape.
    #[default]
    Scenario,
    /// Evenly, so many a second.
    Constant(f64),
    /// Poisson, so many a second.
    Poisson(f64),
    /// Poisson at each of these rates in turn, for the same time each.
    Steps(Vec<f64>),
    /// Poisson, from one rate to another.
    Ramp(f64, f64),
    /// As a record says.
    Recorded(Vec<Line>),
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it is due.
    pub at: Time,
    /// Its class, if it says.
    pub class: Option<u32>,
    /// Its key, if it says.
    pub key: Option<u64>,
}

impl Arrivals {
    /// Reads `scenario`, `constant:RATE`, `poisson:RATE`, `steps:RATE,RATE...` or `ramp:RATE..RATE`.
    pub fn parse(text: &str) -> Result<Arrivals, String> {
        let rate = |t: &str| {
            let rate = t.trim().parse::<f64>().ok().filter(|r| *r > 0.0 && *r <= MOST_RATE);
            rate.ok_or_else(|| {
                format!("'{t}' is no rate: a number of requests a second, 1000000 at the most")
            })
        };
        let (kind, figures) = text.split_once(':').unwrap_or((text, ""));
        match kind {
            "scenario" if figures.is_empty() => Ok(Arrivals::Scenario),
            "constant" => Ok(Arrivals::Constant(rate(figures)?)),
            "poisson" => Ok(Arrivals::Poisson(rate(figures)?)),
            "steps" => Ok(Arrivals::Steps(figures.split(',').map(rate).collect::<Result<_, _>>()?)),
            "ramp" => {
                let (a, b) = figures.split_once("..").ok_or("a ramp is ramp:RATE..RATE")?;
                Ok(Arrivals::Ramp(rate(a)?, rate(b)?))
            }
            _ => Err(format!(
                "'{text}' is none of scenario, constant:RATE, poisson:RATE, steps:RATE,RATE, ramp:RATE..RATE"
            )),
        }
    }

    /// Reads a record: a line for each request, with its time in seconds, and after a blank its class and after
    /// another its key, where they are known. Times do not go back. The error names the line.
    pub fn record(file: &str, text: &str, classes: &[String]) -> Result<Arrivals, String> {
        let mut lines = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let told = |why: String| format!("{file}:{}: {why}", n + 1);
            let mut words = line.split_whitespace();
            let Some(at) = words.next().filter(|w| !w.starts_with('#')) else { continue };
            let at = at.parse::<f64>().ok().filter(|s| (0.0..=1e6).contains(s));
            let at = at.ok_or_else(|| told("the time should be in seconds, from 0".to_owned()))?;
            let class = match words.next() {
                None => None,
                Some(name) => Some(classes.iter().position(|c| c == name).ok_or_else(|| {
                    told(format!("no class is called '{name}'; there are {}", classes.join(", ")))
                })? as u32),
            };
            let key = words.next().map(key_from_text);
            let line = Line { at: (at * S as f64) as Time, class, key };
            if lines.last().is_some_and(|before: &Line| before.at > line.at) {
                return Err(told("is earlier than the line before".to_owned()));
            }
            if lines.len() >= MOST_LINES {
                return Err(told(format!("is beyond {MOST_LINES} lines")));
            }
            lines.push(line);
        }
        if lines.is_empty() {
            return Err(format!("{file}: holds no request"));
        }
        Ok(Arrivals::Recorded(lines))
    }

    /// The mean rate over a time, in requests a second; `None` where the scenario or a record says.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Arrivals::Scenario | Arrivals::Recorded(_) => None,
            Arrivals::Constant(rate) | Arrivals::Poisson(rate) => Some(*rate),
            Arrivals::Steps(rates) => Some(rates.iter().sum::<f64>() / rates.len() as f64),
            Arrivals::Ramp(a, b) => Some((a + b) / 2.0),
        }
    }

    /// The times, one after another, until `until`.
    pub fn times(&self, spec: &Spec, seed: u64, until: Time) -> Times {
        let demand = Workload::new(spec, spec.rate(), seed);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x00a7_71fa_15ee_d000);
        Times { arrivals: self.clone(), demand, rng, until, now: 0, n: 0 }
    }
}

/// The times of a run.
pub struct Times {
    arrivals: Arrivals,
    /// Of the scenario, for its own arrivals alone.
    demand: Workload,
    rng: ChaCha8Rng,
    until: Time,
    now: Time,
    n: u64,
}

impl Times {
    /// Poisson by thinning: at the rate `of` a time, which is `most` at the most.
    fn thinned(&mut self, most: f64, of: impl Fn(f64) -> f64) -> Time {
        let mut at = self.now as f64;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            at += gap / most * S as f64;
            if at > self.until as f64 || self.rng.random::<f64>() * most <= of(at) {
                return at as Time;
            }
        }
    }
}

impl Iterator for Times {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        let until = self.until as f64;
        let arrivals = std::mem::take(&mut self.arrivals);
        let line = |at| Some(Line { at, class: None, key: None });
        let next = match &arrivals {
            Arrivals::Scenario => line(self.demand.next_arrival(self.now)),
            // From the number, not from the one before: rounding must not add up.
            Arrivals::Constant(rate) => line(((self.n + 1) as f64 / rate * S as f64) as Time),
            Arrivals::Poisson(rate) => line(self.thinned(*rate, |_| *rate)),
            Arrivals::Steps(rates) => {
                let most = rates.iter().copied().fold(0.0, f64::max);
                let step = |at: f64| ((at / until * rates.len() as f64) as usize).min(rates.len() - 1);
                line(self.thinned(most, |at| rates[step(at)]))
            }
            Arrivals::Ramp(a, b) => line(self.thinned(a.max(*b), |at| a + (b - a) * at / until)),
            Arrivals::Recorded(lines) => lines.get(self.n as usize).cloned(),
        };
        self.arrivals = arrivals;
        let next = next.filter(|line| line.at < self.until)?;
        (self.now, self.n) = (next.at, self.n + 1);
        Some(next)
    }
}
