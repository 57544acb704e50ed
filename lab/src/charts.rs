//! Charts in SVG: how a day went, second by second, and what policies came to.

use crate::grid::Grid;
use crate::record::{Day, Second};
use crate::report::groups;
use crate::stats::mean;
use notchdoor_model::faults::Fault;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 420);
/// Colours that colour-blind readers can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
    RGBColor(120, 120, 120),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), String>;

fn told(e: impl std::fmt::Display) -> String {
    format!("cannot draw: {e}")
}

/// A line of a chart.
struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
    colour: usize,
}

/// The axis of a day.
const SECONDS: &str = "seconds of the scored part; before 0 memories fill; grey: a fault";

/// A line of a plot: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws lines that are no day's: over `x`, in `unit`.
pub fn plot(path: &Path, title: &str, x: &str, unit: &str, lines: &[Line]) -> Result<(), String> {
    let of = |(colour, (name, points)): (usize, &Line)| Curve {
        name: name.clone(),
        points: points.clone(),
        colour,
    };
    let lines: Vec<Curve> = lines.iter().enumerate().map(of).collect();
    curves(path, title, (x, unit, None), &[], &lines)
}

/// The mean over five seconds around each: single seconds are mostly chance.
fn smooth(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    (0..points.len())
        .map(|i| {
            let near = &points[i.saturating_sub(2)..(i + 3).min(points.len())];
            (points[i].0, near.iter().map(|p| p.1).sum::<f64>() / near.len() as f64)
        })
        .collect()
}

/// Draws curves, and faults as bands behind them.
fn curves(
    path: &Path,
    title: &str,
    (x, unit, most): (&str, &str, Option<f64>),
    faults: &[Fault],
    curves: &[Curve],
) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(told)?;
    // The names stand in a column of their own: over the curves they would hide some of them.
    let (left, right) = area.split_horizontally(SIZE.0 - 190);
    let all = || curves.iter().flat_map(|c| c.points.iter());
    // Guards against an axis without end where nothing was taken down: its marks would never be all there.
    let from = all().map(|p| p.0).reduce(f64::min).unwrap_or(0.0);
    let until = all().map(|p| p.0).fold(from + 1.0, f64::max);
    let highest = all().map(|p| p.1).fold(0.0, f64::max);
    let top = most.unwrap_or(if highest > 0.0 { highest * 1.08 } else { 1.0 });
    let mut chart = ChartBuilder::on(&left)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(66)
        .build_cartesian_2d(from..until, 0.0..top)
        .map_err(told)?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(unit)
        .light_line_style(WHITE)
        .label_style(("sans-serif", 14))
        .axis_desc_style(("sans-serif", 15))
        .draw()
        .map_err(told)?;
    for fault in faults {
        // What is over at once is a line still wide enough to be seen.
        let length = fault.length_s.max((until - from) / 300.0);
        let band = [(fault.at_s, 0.0), ((fault.at_s + length).min(until), top)];
        chart.draw_series([Rectangle::new(band, BLACK.mix(0.08).filled())]).map_err(told)?;
    }
    for (i, fault) in faults.iter().enumerate() {
        // Beneath one another, so that faults of about one time can be told apart.
        let (x, y) = chart.backend_coord(&(fault.at_s, top));
        let place = (x + 3, y + 3 + 14 * (i as i32 % 6));
        let style = ("sans-serif", 12).into_font().color(&BLACK.mix(0.6));
        left.draw(&Text::new(fault.kind.name(), place, style)).map_err(told)?;
    }
    for curve in curves {
        let style = COLOURS[curve.colour % COLOURS.len()].stroke_width(2);
        chart.draw_series(LineSeries::new(curve.points.iter().copied(), style)).map_err(told)?;
    }
    names(&right, curves.iter().map(|c| (c.name.as_str(), c.colour)))?;
    area.present().map_err(told)
}

fn names<'n>(area: &Area<'_>, names: impl Iterator<Item = (&'n str, usize)>) -> Drawn {
    for (i, (name, colour)) in names.enumerate() {
        let y = 60 + 24 * i as i32;
        let style = COLOURS[colour % COLOURS.len()].filled();
        area.draw(&Rectangle::new([(4, y), (24, y + 6)], style)).map_err(told)?;
        area.draw(&Text::new(name.to_owned(), (30, y - 5), ("sans-serif", 14))).map_err(told)?;
    }
    Ok(())
}

/// Draws bars with their confidence intervals, one group for each figure.
fn bars(path: &Path, title: &str, figures: &[&str], of: &[(String, Vec<(f64, f64)>)]) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(told)?;
    let (left, right) = area.split_horizontally(SIZE.0 - 190);
    let width = figures.len() as f64;
    let mut chart = ChartBuilder::on(&left)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(66)
        .build_cartesian_2d(0.0..width, 0.0..1.0)
        .map_err(told)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE)
        .x_labels(0)
        .y_desc("share of the worth asked for")
        .label_style(("sans-serif", 14))
        .axis_desc_style(("sans-serif", 15))
        .draw()
        .map_err(told)?;
    let n = of.len().max(1) as f64;
    for (k, (_, values)) in of.iter().enumerate() {
        let colour = COLOURS[k % COLOURS.len()];
        for (f, (value, half)) in values.iter().enumerate() {
            let x = f as f64 + 0.1 + 0.8 * k as f64 / n;
            let bar = Rectangle::new([(x, 0.0), (x + 0.72 / n, *value)], colour.filled());
            chart.draw_series([bar]).map_err(told)?;
            if *half > 0.0 {
                let x = x + 0.36 / n;
                let line = [(x, (value - half).max(0.0)), (x, (value + half).min(1.0))];
                chart.draw_series(LineSeries::new(line, BLACK.stroke_width(2))).map_err(told)?;
            }
        }
    }
    for (f, name) in figures.iter().enumerate() {
        let (x, y) = chart.backend_coord(&(f as f64 + 0.5, 0.0));
        let style = ("sans-serif", 15).into_text_style(&area);
        let centred = style.pos(plotters::style::text_anchor::Pos::new(
            plotters::style::text_anchor::HPos::Center,
            plotters::style::text_anchor::VPos::Top,
        ));
        area.draw(&Text::new((*name).to_owned(), (x, y + 8), centred)).map_err(told)?;
    }
    names(&right, of.iter().enumerate().map(|(k, (name, _))| (name.as_str(), k)))?;
    area.present().map_err(told)
}

/// A figure of one second; `None` where there is nothing to tell.
type OfSecond = fn(&Second) -> Option<f64>;

fn service(s: &Second) -> Option<f64> {
    let asked: f64 = s.asked.iter().sum();
    (asked > 0.0).then(|| s.earned.iter().sum::<f64>() / asked)
}

fn latency(s: &Second) -> Option<f64> {
    (s.served.0 > 0).then(|| s.served.1 / s.served.0 as f64)
}

fn points(day: &Day, of: impl Fn(&Second) -> Option<f64>) -> Vec<(f64, f64)> {
    let last = day.seconds.len().saturating_sub(1);
    let points: Vec<(f64, f64)> = day.seconds[..last]
        .iter()
        .enumerate()
        .filter_map(|(i, s)| of(s).map(|y| (i as f64 + 0.5 - day.warm_up_s, y)))
        .collect();
    smooth(&points)
}

/// What is drawn by second, for every policy: the file, the title, the unit, the top of the axis, the figure.
const BY_SECOND: &[(&str, &str, &str, Option<f64>, OfSecond)] = &[
    ("service.svg", "Service: worth earned of the worth asked for", "share", Some(1.02), service),
    ("latency.svg", "Mean latency of what was served", "ms", None, latency),
    ("origin.svg", "Requests at the origin, in work and waiting", "requests", None, |s| {
        Some(s.origin_held as f64)
    }),
    ("fetches.svg", "Fetches and writes sent to the origin", "a second", None, |s| {
        Some(s.counts.fetches as f64)
    }),
    ("refused.svg", "Refused, failed and repeated", "a second", None, |s| {
        Some((s.counts.refused + s.counts.failed + s.counts.repeats) as f64)
    }),
    ("imbalance.svg", "How busy the busiest worker is beside the mean one", "times", None, |s| {
        (s.busy.0 > 0.0).then(|| s.busy.1 / s.busy.0)
    }),
];

/// More scenarios than this get no charts by second each, which nobody would look through.
const MOST_SCENARIOS: usize = 12;

/// Draws all charts of these days into a folder; gives back the names of the files. Days of more than one
/// scenario get charts of their own, with the scenario's name before the file's; a grid has one over all.
#[expect(clippy::too_many_lines, reason = "one block a chart; to be split by chart")]
pub fn draw(days: &[Day], folder: &Path) -> Result<Vec<String>, String> {
    let mut names = Vec::new();
    let all = groups(days);
    let mut scenarios: Vec<&str> = Vec::new();
    for g in &all {
        if !scenarios.contains(&g.scenario.as_str()) {
            scenarios.push(&g.scenario);
        }
    }
    if let Some(grid) = Grid::of(days) {
        grid.draw(&folder.join("grid.svg"))?;
        names.push("grid.svg".to_owned());
    }
    if scenarios.len() > MOST_SCENARIOS {
        return Ok(names);
    }
    for scenario in &scenarios {
        let plain: String =
            scenario.chars().map(|c| if c.is_ascii_alphanumeric() || c == '.' { c } else { '-' }).collect();
        let prefix = if scenarios.len() > 1 { format!("{plain}-") } else { String::new() };
        let of: Vec<_> = all.iter().filter(|g| g.scenario == *scenario).collect();
        let title = |what: &str| format!("{what} ({scenario})");
        // Charts by class, by tenant and of windows are of the first policy's day.
        let first = of[0].days[0];
        for (file, what, unit, most, figure) in BY_SECOND {
            let name = format!("{prefix}{file}");
            let lines: Vec<Curve> = of
                .iter()
                .enumerate()
                .map(|(k, g)| Curve {
                    name: g.policy.to_owned(),
                    points: points(g.days[0], figure),
                    colour: k,
                })
                .collect();
            curves(&folder.join(&name), &title(what), (SECONDS, unit, *most), &first.faults, &lines)?;
            names.push(name);
        }
        let share = |asked: f64, earned: f64| (asked > 0.0).then(|| earned / asked);
        let by = |names: Vec<String>, of: &dyn Fn(&Second, usize) -> Option<f64>| -> Vec<Curve> {
            names
                .into_iter()
                .enumerate()
                .map(|(i, name)| Curve { name, points: points(first, |s| of(s, i)), colour: i })
                .collect()
        };
        let classes = by(first.classes.iter().map(|c| c.class.clone()).collect(), &|s, i| {
            share(s.asked[i], s.earned[i])
        });
        let tenants = by(first.tenants.iter().map(|t| t.0.clone()).collect(), &|s, i| {
            share(s.tenant_asked[i], s.tenant_earned[i])
        });
        let load = vec![
            Curve {
                name: "wanted".into(),
                points: points(first, |s| Some(s.counts.wanted as f64)),
                colour: 6,
            },
            Curve { name: "tries".into(), points: points(first, |s| Some(s.counts.tries as f64)), colour: 1 },
            Curve {
                name: "served".into(),
                points: points(first, |s| Some(s.counts.served as f64)),
                colour: 2,
            },
            Curve { name: "windows, summed".into(), points: points(first, |s| Some(s.window)), colour: 0 },
        ];
        for (file, what, unit, most, lines) in [
            ("classes.svg", "Service by class", "share", Some(1.02), classes),
            ("tenants.svg", "Service by tenant, within its share", "share", Some(1.02), tenants),
            (
                "load.svg",
                "What was asked, and the origin's windows",
                "a second; windows: requests",
                None,
                load,
            ),
        ] {
            let name = format!("{prefix}{file}");
            let title = format!("{what}: {} ({scenario})", first.policy);
            curves(&folder.join(&name), &title, (SECONDS, unit, most), &first.faults, &lines)?;
            names.push(name);
        }
        let figure = |g: &crate::report::Group<'_>, f: fn(&Day) -> f64| {
            let m = mean(&g.days.iter().map(|d| f(d)).collect::<Vec<f64>>());
            (m.mean, m.half)
        };
        let bars_of: Vec<(String, Vec<(f64, f64)>)> = of
            .iter()
            .map(|g| {
                let values = vec![
                    figure(g, |d| d.score.goal),
                    figure(g, |d| d.score.whole),
                    figure(g, |d| d.score.worst_window),
                    figure(g, |d| d.score.worst_class),
                    figure(g, |d| d.score.worst_tenant),
                ];
                (g.policy.to_owned(), values)
            })
            .collect();
        let name = format!("{prefix}scores.svg");
        let figures = ["goal", "whole day", "worst 10 s", "worst class", "worst tenant"];
        bars(&folder.join(&name), &title("What the policies came to"), &figures, &bars_of)?;
        names.push(name);
    }
    Ok(names)
}
