//! What a run shows while it goes on: a line for each class on standard error, once a second.

use hdrhistogram::Histogram;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use notchdoor_model::clients::AttemptResult;
use std::sync::Mutex;
use std::time::Duration;

/// What has come of one class since the last look.
struct OfClass {
    sent: u64,
    ends: [u64; 5],
    latency: Histogram<u64>,
}

/// Figures that the threads of a run put in, and the view takes out.
pub struct Live {
    classes: Vec<(String, Mutex<OfClass>)>,
}

/// Ends, in the order of [`OfClass::ends`].
const ENDS: [&str; 5] = ["served", "refused", "failed", "unanswered", "unreachable"];

fn place(heard: AttemptResult) -> usize {
    match heard {
        AttemptResult::Answered => 0,
        AttemptResult::Rejected(_) => 1,
        AttemptResult::Failed => 2,
        AttemptResult::TimedOut => 3,
        AttemptResult::Unreachable => 4,
    }
}

impl Live {
    /// For these classes.
    pub fn new(classes: impl Iterator<Item = String>) -> Self {
        let fresh = || OfClass {
            sent: 0,
            ends: [0; 5],
            latency: Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order"),
        };
        Live { classes: classes.map(|name| (name, Mutex::new(fresh()))).collect() }
    }

    /// A try of a class was sent.
    pub fn sent(&self, class: u32) {
        self.with(class, |c| c.sent += 1);
    }

    /// One has ended, so many microseconds after it was due.
    pub fn ended(&self, class: u32, heard: AttemptResult, latency: u64) {
        self.with(class, |c| {
            c.ends[place(heard)] += 1;
            if heard == AttemptResult::Answered {
                c.latency.saturating_record(latency.max(1));
            }
        });
    }

    fn with(&self, class: u32, what: impl FnOnce(&mut OfClass)) {
        if let Some((_, figures)) = self.classes.get(class as usize) {
            // A thread that panicked while it counted leaves figures that are good enough to be shown.
            what(&mut figures.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
        }
    }

    /// The lines since the last call, one a class, for so many seconds.
    pub fn lines(&self, seconds: f64) -> Vec<String> {
        let line = |(name, figures): &(String, Mutex<OfClass>)| {
            let mut c = figures.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let at = |q: f64| c.latency.value_at_quantile(q) as f64 / 1e3;
            let mut text = format!(
                "{name:12} {:>8.0}/s  p50 {:>7.1}  p99 {:>7.1}  p99.9 {:>7.1} ms ",
                c.sent as f64 / seconds,
                at(0.5),
                at(0.99),
                at(0.999)
            );
            for (what, n) in ENDS.iter().zip(c.ends).skip(1).filter(|(_, n)| *n > 0) {
                text += &format!(" {what} {:.0}/s", n as f64 / seconds);
            }
            (c.sent, c.ends) = (0, [0; 5]);
            c.latency.reset();
            text
        };
        self.classes.iter().map(line).collect()
    }

    /// Shows the lines until `over` says so; hidden where standard error is no terminal, or `quiet`.
    pub fn show(&self, total: Duration, quiet: bool, over: impl Fn() -> bool) {
        let target = if quiet { ProgressDrawTarget::hidden() } else { ProgressDrawTarget::stderr() };
        let all = MultiProgress::with_draw_target(target);
        let style =
            |t: &str| ProgressStyle::with_template(t).unwrap_or_else(|_| ProgressStyle::default_bar());
        let bar = all.add(ProgressBar::new(total.as_secs()));
        bar.set_style(style("{elapsed_precise} [{bar:32}] {eta} left"));
        let lines: Vec<ProgressBar> = self
            .classes
            .iter()
            .map(|_| {
                let line = all.add(ProgressBar::new(1));
                line.set_style(style("{msg}"));
                line
            })
            .collect();
        let began = std::time::Instant::now();
        let mut looked = began;
        while !over() {
            std::thread::sleep(Duration::from_millis(50));
            if looked.elapsed() < Duration::from_secs(1) {
                continue;
            }
            let seconds = looked.elapsed().as_secs_f64();
            looked = std::time::Instant::now();
            bar.set_position(began.elapsed().as_secs().min(total.as_secs()));
            for (line, text) in lines.iter().zip(self.lines(seconds)) {
                line.set_message(text);
            }
        }
        let _ = all.clear();
    }
}
