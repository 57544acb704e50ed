//! The progress display of a run on standard error: one line for each class, updated once a second.

use hdrhistogram::Histogram;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use notchdoor_model::clients::AttemptResult;
use std::sync::Mutex;
use std::time::Duration;

/// Counts of one class since the last update.
struct ClassCounts {
    sent: u64,
    results: [u64; RESULT_NAMES.len()],
    latency: Histogram<u64>,
}

/// Counts by class, updated by all threads of a run and reset by the display.
pub struct LiveCounts {
    classes: Vec<(String, Mutex<ClassCounts>)>,
}

/// Names of the results, in the order of [`ClassCounts::results`].
const RESULT_NAMES: [&str; 5] = ["served", "refused", "failed", "unanswered", "unreachable"];

/// Index of a result in [`RESULT_NAMES`].
fn result_index(result: AttemptResult) -> usize {
    match result {
        AttemptResult::Answered => 0,
        AttemptResult::Rejected(_) => 1,
        AttemptResult::Failed => 2,
        AttemptResult::TimedOut => 3,
        AttemptResult::Unreachable => 4,
    }
}

impl LiveCounts {
    /// Creates counts for classes with these names.
    pub fn new(classes: impl Iterator<Item = String>) -> Self {
        let fresh = || ClassCounts {
            sent: 0,
            results: [0; RESULT_NAMES.len()],
            latency: Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order"),
        };
        LiveCounts { classes: classes.map(|name| (name, Mutex::new(fresh()))).collect() }
    }

    /// Counts an attempt of a class.
    pub fn sent(&self, class: u32) {
        self.with(class, |c| c.sent += 1);
    }

    /// Counts the result of an attempt. `latency` is the time in microseconds since its request was due.
    pub fn ended(&self, class: u32, result: AttemptResult, latency: u64) {
        self.with(class, |c| {
            c.results[result_index(result)] += 1;
            if result == AttemptResult::Answered {
                c.latency.saturating_record(latency.max(1));
            }
        });
    }

    fn with(&self, class: u32, update: impl FnOnce(&mut ClassCounts)) {
        if let Some((_, counts)) = self.classes.get(class as usize) {
            // After a panic of another thread, the counts are still good enough for a display.
            update(&mut counts.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
        }
    }

    /// Returns a line for each class about the `seconds` since the last call, and resets the counts.
    pub fn lines(&self, seconds: f64) -> Vec<String> {
        let line = |(name, counts): &(String, Mutex<ClassCounts>)| {
            let mut c = counts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let quantile_ms = |q: f64| c.latency.value_at_quantile(q) as f64 / 1e3;
            let mut text = format!(
                "{name:12} {:>8.0}/s  p50 {:>7.1}  p99 {:>7.1}  p99.9 {:>7.1} ms ",
                c.sent as f64 / seconds,
                quantile_ms(0.5),
                quantile_ms(0.99),
                quantile_ms(0.999)
            );
            for (result, n) in RESULT_NAMES.iter().zip(c.results).skip(1).filter(|(_, n)| *n > 0) {
                text += &format!(" {result} {:.0}/s", n as f64 / seconds);
            }
            c.sent = 0;
            c.results = Default::default();
            c.latency.reset();
            text
        };
        self.classes.iter().map(line).collect()
    }

    /// Shows the lines until `is_over` returns true. Shows nothing if `quiet`, or if standard error is not a terminal.
    pub fn show(&self, total: Duration, quiet: bool, is_over: impl Fn() -> bool) {
        let target = if quiet { ProgressDrawTarget::hidden() } else { ProgressDrawTarget::stderr() };
        let bars = MultiProgress::with_draw_target(target);
        let style =
            |t: &str| ProgressStyle::with_template(t).unwrap_or_else(|_| ProgressStyle::default_bar());
        let bar = bars.add(ProgressBar::new(total.as_secs()));
        bar.set_style(style("{elapsed_precise} [{bar:32}] {eta} left"));
        let lines: Vec<ProgressBar> = self
            .classes
            .iter()
            .map(|_| {
                let line = bars.add(ProgressBar::new(1));
                line.set_style(style("{msg}"));
                line
            })
            .collect();
        let started = std::time::Instant::now();
        let mut updated = started;
        while !is_over() {
            std::thread::sleep(Duration::from_millis(50));
            if updated.elapsed() < Duration::from_secs(1) {
                continue;
            }
            let seconds = updated.elapsed().as_secs_f64();
            updated = std::time::Instant::now();
            bar.set_position(started.elapsed().as_secs().min(total.as_secs()));
            for (line, text) in lines.iter().zip(self.lines(seconds)) {
                line.set_message(text);
            }
        }
        let _ = bars.clear();
    }
}
