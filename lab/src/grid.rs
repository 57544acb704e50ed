//! A chart of a grid: where, over two fields that were swept, a day ends well and where it does not. What else was
//! swept, and the policies, make panels of their own.

use crate::record::Day;
use crate::report::groups;
use crate::scenario::OF_LIMITS;
use crate::stats::mean;
use plotters::prelude::*;
use std::path::Path;

/// Panels beside one another.
const ACROSS: usize = 3;
/// The size of a panel, in pixels, and the room for its labels: left, above, below.
const PANEL: (i32, i32) = (330, 230);
const LABELS: (i32, i32, i32) = (64, 44, 40);

/// A choice of a grid: a field and its value.
type Choice = (String, String);

/// One panel: the policy, what else was swept, and its cells by column and row.
struct Panel {
    name: (String, String),
    cells: Vec<(usize, usize, f64)>,
}

/// What is drawn: the two fields with their values, in order, and the panels.
pub struct Grid {
    across: (String, Vec<String>),
    up: (String, Vec<String>),
    panels: Vec<Panel>,
}

fn choices(set: &[String]) -> Vec<Choice> {
    set.iter().filter_map(|c| c.split_once('=')).map(|(f, v)| (f.to_owned(), v.to_owned())).collect()
}

/// Values in order: as numbers where all are.
fn in_order(mut values: Vec<String>) -> Vec<String> {
    let number = |v: &String| v.parse::<f64>().ok();
    if values.iter().all(|v| number(v).is_some()) {
        values.sort_by(|a, b| number(a).unwrap_or(0.0).total_cmp(&number(b).unwrap_or(0.0)));
    }
    values
}

impl Grid {
    /// The grid that days make: the two fields of the world with the most values each, the first one swept across.
    /// `None` where fewer than two fields were swept.
    pub fn of(days: &[Day]) -> Option<Grid> {
        let mut fields: Vec<(String, Vec<String>)> = Vec::new();
        for (field, value) in days.iter().flat_map(|d| choices(&d.set)) {
            let at = fields.iter().position(|f| f.0 == field).unwrap_or_else(|| {
                fields.push((field, Vec::new()));
                fields.len() - 1
            });
            if !fields[at].1.contains(&value) {
                fields[at].1.push(value);
            }
        }
        // Fields of a file of limits say nothing of policies that have none: those make panels.
        let swept = |f: &&(String, Vec<String>)| f.1.len() > 1 && !f.0.starts_with(OF_LIMITS);
        let mut axes: Vec<&(String, Vec<String>)> = fields.iter().filter(swept).collect();
        axes.sort_by_key(|f| std::cmp::Reverse(f.1.len()));
        let [across, up] = axes.get(..2)? else { return None };
        let axis = |f: &(String, Vec<String>)| (f.0.clone(), in_order(f.1.clone()));
        let (across, up) = (axis(across), axis(up));
        let mut panels: Vec<Panel> = Vec::new();
        for group in groups(days) {
            let set = choices(&group.days[0].set);
            let value = |axis: &(String, Vec<String>)| {
                let chosen = set.iter().find(|c| c.0 == axis.0)?;
                axis.1.iter().position(|v| *v == chosen.1)
            };
            let (Some(column), Some(row)) = (value(&across), value(&up)) else { continue };
            let rest: Vec<String> = set
                .iter()
                .filter(|c| c.0 != across.0 && c.0 != up.0)
                .filter(|c| fields.iter().any(|f| f.0 == c.0 && f.1.len() > 1))
                .map(|(f, v)| format!("{} {v}", f.strip_prefix(OF_LIMITS).unwrap_or(f)))
                .collect();
            let name = (group.policy.to_owned(), rest.join(", "));
            let service = mean(&group.days.iter().map(|d| d.score.last).collect::<Vec<f64>>()).mean;
            match panels.iter_mut().find(|p| p.name == name) {
                Some(panel) => panel.cells.push((column, row, service)),
                None => panels.push(Panel { name, cells: vec![(column, row, service)] }),
            }
        }
        Some(Grid { across, up, panels })
    }

    /// Draws it.
    pub fn draw(&self, path: &Path) -> Result<(), String> {
        let told = |e: &dyn std::fmt::Display| format!("cannot draw: {e}");
        let across = self.panels.len().clamp(1, ACROSS) as i32;
        let down = self.panels.len().div_ceil(ACROSS).max(1) as i32;
        let area = SVGBackend::new(path, ((across * PANEL.0 + 20) as u32, (down * PANEL.1 + 40) as u32))
            .into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let text = |words: String, at: (i32, i32), size: i32| {
            area.draw(&Text::new(words, at, ("sans-serif", size))).map_err(|e| told(&e))
        };
        let title =
            format!("Service in the last ten seconds, by {} (across) and {} (up)", self.across.0, self.up.0);
        text(title, (12, 10), 17)?;
        let (columns, rows) = (self.across.1.len() as i32, self.up.1.len() as i32);
        let width = (PANEL.0 - LABELS.0 - 12) / columns.max(1);
        let height = (PANEL.1 - LABELS.1 - LABELS.2) / rows.max(1);
        for (i, panel) in self.panels.iter().enumerate() {
            let left = (i % ACROSS) as i32 * PANEL.0 + LABELS.0;
            let top = (i / ACROSS) as i32 * PANEL.1 + LABELS.1 + 32;
            text(panel.name.0.clone(), (left - LABELS.0 + 14, top - 36), 14)?;
            text(panel.name.1.clone(), (left - LABELS.0 + 14, top - 18), 11)?;
            for &(column, row, service) in &panel.cells {
                let corner = (left + column as i32 * width, top + (rows - 1 - row as i32) * height);
                let cell = [corner, (corner.0 + width - 2, corner.1 + height - 2)];
                area.draw(&Rectangle::new(cell, shade(service).filled())).map_err(|e| told(&e))?;
                let ink = if service < 0.6 { WHITE } else { BLACK };
                let style = ("sans-serif", 13).into_font().color(&ink);
                let at = (corner.0 + width / 2 - 12, corner.1 + height / 2 - 7);
                area.draw(&Text::new(format!("{service:.2}"), at, style)).map_err(|e| told(&e))?;
            }
            for (n, value) in self.across.1.iter().enumerate() {
                let at = (left + n as i32 * width + width / 2 - 10, top + rows * height + 2);
                text(value.clone(), at, 12)?;
            }
            for (n, value) in self.up.1.iter().enumerate() {
                let at = (left - 40, top + (rows - 1 - n as i32) * height + height / 2 - 7);
                text(value.clone(), at, 12)?;
            }
        }
        area.present().map_err(|e| told(&e))
    }
}

/// From dark blue at 0.3 and under, over orange, to near white at 1: dark is bad, also in grey.
fn shade(service: f64) -> RGBColor {
    let stops = [(0.3, (20.0, 30.0, 90.0)), (0.65, (213.0, 94.0, 0.0)), (1.0, (250.0, 245.0, 225.0))];
    let at = service.clamp(0.3, 1.0);
    let (a, b) = if at < 0.65 { (stops[0], stops[1]) } else { (stops[1], stops[2]) };
    let t = (at - a.0) / (b.0 - a.0);
    let mix = |x: f64, y: f64| (x + t * (y - x)).round() as u8;
    RGBColor(mix(a.1 .0, b.1 .0), mix(a.1 .1, b.1 .1), mix(a.1 .2, b.1 .2))
}
