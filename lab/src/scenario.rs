//! Scenario files: read, checked, changed field by field, and written with no more than they need.

use notchdoor_model::spec::Spec;
use notchdoor_settings::bounded_file;
use notchdoor_settings::TextPosition;
use std::path::Path;
use toml_edit::{DocumentMut, Item, Table, Value};

/// The scenarios that come with the program: name and text.
pub const BUILT_IN: &[(&str, &str)] = &[
    ("calm", include_str!("../scenarios/calm.toml")),
    ("payday", include_str!("../scenarios/payday.toml")),
    ("flush", include_str!("../scenarios/flush.toml")),
    ("hot-key", include_str!("../scenarios/hot-key.toml")),
    ("shrink", include_str!("../scenarios/shrink.toml")),
    ("origin-stop", include_str!("../scenarios/origin-stop.toml")),
    ("retry-storm", include_str!("../scenarios/retry-storm.toml")),
    ("zone-cut", include_str!("../scenarios/zone-cut.toml")),
    ("churn", include_str!("../scenarios/churn.toml")),
    ("vans", include_str!("../scenarios/vans.toml")),
    ("thousand", include_str!("../scenarios/thousand.toml")),
];

/// How a change begins that is made to the file of limits instead of the scenario.
pub const OF_LIMITS: &str = "limits.";

/// A scenario: a name, and the world and day it stands for.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name: a built-in one's, or the file's without its ending.
    pub name: String,
    /// The world and its day.
    pub spec: Spec,
    /// What was set beside the file, as `path=value`.
    pub set: Vec<String>,
}

/// Reads a scenario: a built-in one by its name, else a file. `set` are changes to single fields, as
/// `path=value` with a path such as `workers.count` or `fault.0.share`; those of limits are kept, not made here.
///
/// The error holds every problem found, one a line, each with the file, the line and the field.
pub fn load(name: &str, set: &[String]) -> Result<Scenario, String> {
    let built_in = BUILT_IN.iter().find(|(n, _)| *n == name);
    let (text, stem) = match built_in {
        Some((name, text)) => ((*text).to_owned(), (*name).to_owned()),
        None => {
            let text =
                bounded_file::read_text(Path::new(name), bounded_file::MAX_AUTHORED_BYTES).map_err(|e| {
                    let names: Vec<&str> = BUILT_IN.iter().map(|b| b.0).collect();
                    format!(
                        "{name}: no such built-in scenario and no file to read ({e}); built in are {}",
                        names.join(", ")
                    )
                })?;
            let stem =
                Path::new(name).file_stem().map_or(name.to_owned(), |s| s.to_string_lossy().into_owned());
            (text, stem)
        }
    };
    let spec = parse(name, &text)?;
    let of_world: Vec<&String> = set.iter().filter(|c| !c.starts_with(OF_LIMITS)).collect();
    let spec = if of_world.is_empty() { spec } else { with(&text, &of_world)? };
    Ok(Scenario { name: stem, spec, set: set.to_vec() })
}

/// Reads and checks a scenario's text. `file` is what errors call it.
pub fn parse(file: &str, text: &str) -> Result<Spec, String> {
    let spec: Spec = toml::from_str(text).map_err(|e| {
        let TextPosition { line, column } = TextPosition::of(text, e.span().map_or(0, |s| s.start));
        format!("{file}:{line}:{column}: {}", e.message().replace('\n', "; "))
    })?;
    let problems = spec.validate();
    if problems.is_empty() {
        return Ok(spec);
    }
    let told: Vec<String> = problems
        .iter()
        .map(|p| {
            let TextPosition { line, column } = find(text, &p.path).unwrap_or(TextPosition::of(text, 0));
            format!("{file}:{line}:{column}: {}: {}", p.path, p.reason)
        })
        .collect();
    Err(told.join("\n"))
}

/// Where a field is written, or the nearest table above it that is.
fn find(text: &str, path: &str) -> Option<TextPosition> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item: &Item = document.as_item();
    let mut at = None;
    for part in path.split('.') {
        let next = match part.parse::<usize>() {
            Ok(n) => item.as_array_of_tables().and_then(|a| a.get(n)).map(|t| (t.span(), None)),
            Err(_) => item.get(part).map(|i| (i.span(), Some(i))),
        };
        match next {
            Some((span, Some(inner))) => {
                at = span.or(at);
                item = inner;
            }
            Some((span, None)) => {
                at = span.or(at);
                let n = part.parse::<usize>().ok()?;
                // A table of an array is no item of its own: go on by its fields.
                let table = item.as_array_of_tables()?.get(n)?;
                let rest = path.rsplit('.').next()?;
                at = table.get(rest).and_then(Item::span).or(at);
                break;
            }
            None => break,
        }
    }
    at.map(|span| TextPosition::of(text, span.start))
}

/// A text with fields changed, read and checked.
fn with(text: &str, set: &[&String]) -> Result<Spec, String> {
    let told: Vec<&str> = set.iter().map(|c| c.as_str()).collect();
    let told = told.join(" ");
    let text = changed(text, set.iter().map(|c| c.as_str()))?;
    let spec: Spec =
        toml::from_str(&text).map_err(|e| format!("--set {told}: {}", e.message().replace('\n', "; ")))?;
    let problems: Vec<String> =
        spec.validate().iter().map(|p| format!("--set {told}: {}: {}", p.path, p.reason)).collect();
    if problems.is_empty() {
        Ok(spec)
    } else {
        Err(problems.join("\n"))
    }
}

/// A TOML text with fields changed, each by `path=value`.
pub fn changed<'c>(text: &str, set: impl Iterator<Item = &'c str>) -> Result<String, String> {
    let mut document: DocumentMut = text.parse().map_err(|e: toml_edit::TomlError| e.message().to_owned())?;
    for change in set {
        let (path, value) =
            change.split_once('=').ok_or_else(|| format!("--set {change}: should be PATH=VALUE"))?;
        // Guards against a path that is followed deeper than any file goes.
        if path.split('.').count() > MOST_PARTS {
            return Err(format!("--set {change:.60}...: the path has more than {MOST_PARTS} parts"));
        }
        // What is no TOML value is text, so that nobody has to quote it twice.
        let value: Value = value.parse().unwrap_or_else(|_| Value::from(value));
        put(document.as_table_mut(), path.trim(), value).map_err(|why| format!("--set {change}: {why}"))?;
    }
    Ok(document.to_string())
}

fn put(table: &mut Table, path: &str, value: Value) -> Result<(), String> {
    let Some((first, rest)) = path.split_once('.') else {
        table.insert(path, Item::Value(value));
        return Ok(());
    };
    let item = table.entry(first).or_insert_with(|| Item::Table(Table::new()));
    if let Some(array) = item.as_array_of_tables_mut() {
        let (n, rest) = rest.split_once('.').ok_or("the number of the entry and a field should follow")?;
        let count = array.len();
        let inner = n.parse().ok().and_then(|n: usize| array.get_mut(n));
        let inner = inner.ok_or_else(|| format!("there is no {first}.{n}, there are {count} (from 0)"))?;
        return put(inner, rest, value);
    }
    if let Some(inner) = item.as_inline_table_mut() {
        inner.insert(rest, value);
        return Ok(());
    }
    let inner = item.as_table_mut().ok_or_else(|| format!("`{first}` is no table"))?;
    put(inner, rest, value)
}

/// The most combinations of a grid, and the most parts of a path.
const MOST_CHOICES: usize = 100_000;
const MOST_PARTS: usize = 16;

/// The combinations that a grid stands for: every `path=a,b,c` becomes one choice of each.
pub fn grid(set: &[String]) -> Result<Vec<Vec<String>>, String> {
    let mut all: Vec<Vec<String>> = vec![Vec::new()];
    for change in set {
        let (path, values) = change.split_once('=').unwrap_or((change, ""));
        let listed = values.starts_with('[') || values.starts_with('"');
        let values: Vec<&str> = if listed { vec![values] } else { values.split(',').collect() };
        // Guards against a few lists too many: each multiplies what all the others hold.
        if all.len().saturating_mul(values.len()) > MOST_CHOICES {
            return Err(format!("--set {path}: this grid holds more than {MOST_CHOICES} choices"));
        }
        let one = |v: &&str| if change.contains('=') { format!("{path}={v}") } else { change.clone() };
        all = all
            .into_iter()
            .flat_map(|before| values.iter().map(one).map(move |v| [before.clone(), vec![v]].concat()))
            .collect();
    }
    Ok(all)
}

/// A scenario as a file, with no more than what differs from the usual figures.
pub fn write(spec: &Spec) -> String {
    let full = toml::Table::try_from(spec).expect("a spec is always a table");
    let usual = toml::Table::try_from(Spec::default()).expect("a spec is always a table");
    let lean = differing(full, &usual);
    toml::to_string(&lean).expect("a table can always be written")
}

fn differing(full: toml::Table, usual: &toml::Table) -> toml::Table {
    let mut lean = toml::Table::new();
    for (name, value) in full {
        match (value, usual.get(&name)) {
            (toml::Value::Table(inner), Some(toml::Value::Table(usual))) => {
                let inner = differing(inner, usual);
                if !inner.is_empty() {
                    lean.insert(name, toml::Value::Table(inner));
                }
            }
            (value, Some(usual)) if value == *usual => {}
            (value, _) => {
                lean.insert(name, value);
            }
        }
    }
    lean
}
