//! Two results side by side: day by day on the same scenario and seed, with what is no more than noise named so.

use crate::record::Day;
use crate::stats::{mean, paired_p, Mean};
use comfy_table::{presets, Table};
use serde::Serialize;
use std::collections::BTreeMap;

/// A difference of a mean under this is none that anybody would notice, however sure it is.
const LEAST: f64 = 0.005;
/// A difference that comes up by chance more often than this is noise.
const CHANCE: f64 = 0.05;

/// What a comparison of one figure comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// B is better than A.
    Better,
    /// B is worse than A.
    Worse,
    /// The difference is no more than noise, or too small to matter.
    Noise,
    /// Too few pairs to say.
    TooFew,
}

/// One figure of A and B, over pairs.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The scenario, with what was set.
    pub scenario: String,
    /// The figure.
    pub figure: &'static str,
    /// A's mean.
    pub a: Mean,
    /// B's mean.
    pub b: Mean,
    /// The mean of B less A, over pairs.
    pub difference: Mean,
    /// How likely so large a difference is by chance.
    pub p: f64,
    /// What that comes to.
    pub verdict: Verdict,
}

type Figure = (&'static str, fn(&Day) -> f64);

const FIGURES: &[Figure] = &[
    ("goal", |d| d.score.goal),
    ("whole day", |d| d.score.whole),
    ("worst 10 s", |d| d.score.worst_window),
    ("last 10 s", |d| d.score.last),
    ("worst class", |d| d.score.worst_class),
    ("worst tenant", |d| d.score.worst_tenant),
];

/// Compares the days of one policy in `a` with those of one in `b`.
pub fn compare(a: &[Day], b: &[Day]) -> Result<Vec<Line>, String> {
    let key = |d: &Day| (format!("{} {}", d.scenario, d.set.join(" ")).trim().to_owned(), d.seed);
    let ours: BTreeMap<_, &Day> = a.iter().map(|d| (key(d), d)).collect();
    let mut pairs: BTreeMap<String, Vec<(&Day, &Day)>> = BTreeMap::new();
    for day in b {
        if let Some(other) = ours.get(&key(day)) {
            pairs.entry(key(day).0).or_default().push((other, day));
        }
    }
    if pairs.is_empty() {
        return Err("no day of the one was played on the scenario and seed of a day of the other".to_owned());
    }
    let mut lines = Vec::new();
    for (scenario, pairs) in pairs {
        for (figure, of) in FIGURES {
            let of_a: Vec<f64> = pairs.iter().map(|p| of(p.0)).collect();
            let of_b: Vec<f64> = pairs.iter().map(|p| of(p.1)).collect();
            let differences: Vec<f64> = of_a.iter().zip(&of_b).map(|(a, b)| b - a).collect();
            let (difference, p) = (mean(&differences), paired_p(&differences));
            let verdict = match () {
                () if pairs.len() < 2 => Verdict::TooFew,
                () if p > CHANCE || difference.mean.abs() < LEAST => Verdict::Noise,
                () if difference.mean > 0.0 => Verdict::Better,
                () => Verdict::Worse,
            };
            let (a, b) = (mean(&of_a), mean(&of_b));
            lines.push(Line { scenario: scenario.clone(), figure, a, b, difference, p, verdict });
        }
    }
    Ok(lines)
}

/// Whether B lost: its goal is worse on any scenario by more than noise, or it broke a rule that A kept.
pub fn lost(a: &[Day], b: &[Day], lines: &[Line]) -> bool {
    let broken = |days: &[Day]| days.iter().filter(|d| d.breach_count > 0).count();
    broken(b) > broken(a) || lines.iter().any(|l| l.figure == "goal" && l.verdict == Verdict::Worse)
}

/// The comparison as a table for a terminal.
pub fn table(lines: &[Line]) -> String {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["scenario", "figure", "A", "B", "B - A (95%)", "by chance", "verdict"]);
    for l in lines {
        let verdict = match l.verdict {
            Verdict::Better => "B is better",
            Verdict::Worse => "B is worse",
            Verdict::Noise => "noise",
            Verdict::TooFew => "too few pairs",
        };
        table.add_row([
            l.scenario.clone(),
            l.figure.to_owned(),
            format!("{:.3}", l.a.mean),
            format!("{:.3}", l.b.mean),
            format!("{:+.3} ± {:.3} of {}", l.difference.mean, l.difference.half, l.difference.n),
            format!("{:.3}", l.p),
            verdict.to_owned(),
        ]);
    }
    table.to_string()
}
