//! Results as tables: for a terminal and as Markdown.

use crate::policy::Kind;
use crate::record::{Back, Day};
use crate::stats::{mean, Mean};
use comfy_table::{presets, CellAlignment, Table};

/// Days of one scenario, one set of changes and one policy: they differ in the seed alone.
pub struct Group<'a> {
    /// The scenario, with what was set.
    pub scenario: String,
    /// The policy.
    pub policy: &'a str,
    /// The days.
    pub days: Vec<&'a Day>,
}

/// Groups days, in the order in which they first appear.
pub fn groups(days: &[Day]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for day in days {
        let scenario = format!("{} {}", day.scenario, day.set.join(" ")).trim().to_owned();
        match groups.iter_mut().find(|g| g.scenario == scenario && g.policy == day.policy) {
            Some(group) => group.days.push(day),
            None => groups.push(Group { scenario, policy: &day.policy, days: vec![day] }),
        }
    }
    groups
}

fn of(group: &Group<'_>, figure: impl Fn(&Day) -> f64) -> Mean {
    mean(&group.days.iter().map(|d| figure(d)).collect::<Vec<f64>>())
}

fn told(mean: Mean) -> String {
    if mean.n < 2 {
        format!("{:.3}", mean.mean)
    } else {
        format!("{:.3}±{:.3}", mean.mean, mean.half)
    }
}

/// How soon days came back after their last fault: the mean of those that did, and how many did not.
fn back(group: &Group<'_>) -> String {
    let times: Vec<f64> = group
        .days
        .iter()
        .filter_map(|d| match d.score.back {
            Back::After(s) => Some(s),
            _ => None,
        })
        .collect();
    let never = group.days.iter().filter(|d| d.score.back == Back::Never).count();
    match (times.len(), never) {
        (0, 0) => "-".to_owned(),
        (0, _) => "never".to_owned(),
        (_, 0) => format!("{:.1}", mean(&times).mean),
        (n, never) => format!("{:.1}, never {never} of {}", mean(&times).mean, n + never),
    }
}

const HEADER: [&str; 15] = [
    "scenario",
    "policy",
    "goal",
    "whole",
    "worst 10 s",
    "last 10 s",
    "back after s",
    "worst class",
    "worst tenant",
    "p99 ms",
    "refused",
    "repeats",
    "fetches",
    "waste",
    "broken rules",
];

fn rows(days: &[Day]) -> Vec<Vec<String>> {
    let row = |g: Group<'_>| {
        let wanted = |d: &Day| d.counts.wanted.max(1) as f64;
        let p99 = |d: &Day| d.classes.iter().map(|c| c.p99_ms).fold(0.0, f64::max);
        let broken = g.days.iter().filter(|d| d.breach_count > 0).count();
        let broken = match broken {
            0 => "none".to_owned(),
            n => {
                let mut rules: Vec<String> =
                    g.days.iter().flat_map(|d| d.breaches.iter().map(|b| format!("{:?}", b.rule))).collect();
                rules.sort();
                rules.dedup();
                format!("on {n}: {}", rules.join(", "))
            }
        };
        vec![
            g.scenario.clone(),
            g.policy.to_owned(),
            told(of(&g, |d| d.score.goal)),
            told(of(&g, |d| d.score.whole)),
            told(of(&g, |d| d.score.worst_window)),
            told(of(&g, |d| d.score.last)),
            back(&g),
            told(of(&g, |d| d.score.worst_class)),
            told(of(&g, |d| d.score.worst_tenant)),
            format!("{:.0}", of(&g, p99).mean),
            format!(
                "{:.1}%",
                100.0 * of(&g, |d| d.counts.refused as f64 / d.counts.tries.max(1) as f64).mean
            ),
            format!("{:.3}", of(&g, |d| d.counts.repeats as f64 / wanted(d)).mean),
            format!("{:.3}", of(&g, |d| d.counts.fetches as f64 / wanted(d)).mean),
            format!("{:.3}", of(&g, |d| d.waste).mean),
            broken,
        ]
    };
    groups(days).into_iter().map(row).collect()
}

/// The days as a table for a terminal, one line for each scenario and policy.
pub fn table(days: &[Day]) -> String {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(HEADER);
    for (n, column) in table.column_iter_mut().enumerate() {
        if (2..14).contains(&n) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    for row in rows(days) {
        table.add_row(row);
    }
    table.to_string()
}

/// The first broken rule that had to be kept, with what led to it.
pub fn breach(day: &Day) -> Option<String> {
    let breach = day.breaches.first()?;
    let mut text = format!(
        "{} broke a rule at {:.3} s of {} (seed {}): {}\n  the rule: {}\n",
        day.policy,
        breach.at as f64 / 1e6,
        day.scenario,
        day.seed,
        breach.what,
        breach.rule.demand()
    );
    if !day.trace.is_empty() {
        text.push_str("  what led to it:\n");
        for line in &day.trace {
            text.push_str(&format!("  {line}\n"));
        }
    }
    Some(text)
}

/// Days whose policy had to keep the rules and did not.
pub fn broken(days: &[Day]) -> Vec<&Day> {
    let must = |d: &&Day| Kind::parse(&d.policy).map_or(true, Kind::must_keep_rules);
    days.iter().filter(must).filter(|d| d.breach_count > 0).collect()
}

fn markdown_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

/// The summary that stays beside the results.
pub fn markdown(days: &[Day], charts: &[String]) -> String {
    let seeds = groups(days).first().map_or(0, |g| g.days.len());
    let mut text = format!(
        "# Results\n\n{} days; where there are several seeds ({seeds} here), figures are means with the half-width of a 95% \
         confidence interval. `result.json` holds every day, one a line.\n\n{}\n",
        days.len(),
        markdown_table(&HEADER, &rows(days))
    );
    text.push_str("\n## By class\n\n");
    let mut by_class = Vec::new();
    for g in groups(days) {
        for (i, class) in g.days[0].classes.iter().enumerate() {
            let figure = |f: fn(&crate::record::Latency) -> f64| of(&g, |d| d.classes.get(i).map_or(0.0, f));
            by_class.push(vec![
                g.scenario.clone(),
                g.policy.to_owned(),
                class.class.clone(),
                told(figure(|c| c.service)),
                format!("{:.0}", figure(|c| c.p50_ms).mean),
                format!("{:.0}", figure(|c| c.p90_ms).mean),
                format!("{:.0}", figure(|c| c.p99_ms).mean),
            ]);
        }
    }
    let header = ["scenario", "policy", "class", "service", "p50 ms", "p90 ms", "p99 ms"];
    text.push_str(&markdown_table(&header, &by_class));
    text.push_str("\n\n## Digests\n\nA hash over every event and action of the day, in order: the same day has the same one.\n\n");
    let digests: Vec<Vec<String>> = days
        .iter()
        .map(|d| {
            let digest = d.digest.get(..16).unwrap_or(&d.digest).to_owned();
            vec![format!("{} {}", d.scenario, d.set.join(" ")), d.policy.clone(), d.seed.to_string(), digest]
        })
        .collect();
    text.push_str(&markdown_table(&["scenario", "policy", "seed", "digest"], &digests));
    let broken: Vec<String> = broken(days).into_iter().filter_map(breach).collect();
    if !broken.is_empty() {
        text.push_str(&format!("\n\n## Broken rules\n\n```\n{}```\n", broken.join("\n")));
    }
    if !charts.is_empty() {
        text.push_str("\n\n## Charts\n\nOf the first seed; bars are means over all seeds.\n\n");
        for chart in charts {
            text.push_str(&format!("![{0}]({0})\n", chart));
        }
    }
    text
}
