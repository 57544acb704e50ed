//! Checks recorded actions for the mutual exclusion that the lease group guarantees. Used by the simulation
//! and by the multi-process testbed.

use std::collections::BTreeMap;

/// One action under a lease, as recorded by the server that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Start time in microseconds. All actions of a record use the same clock.
    pub began: u64,
    /// End time in microseconds, on the same clock.
    pub ended: u64,
    /// The task whose lease the action was made under.
    pub task: String,
    /// Name of the lease holder that made the action.
    pub holder: String,
    /// Fencing token that the action carried.
    pub token: u64,
    /// Whether the fence admitted the action.
    pub admitted: bool,
}

/// Totals of a record that passed [`check`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checked {
    /// Number of admitted actions.
    pub admitted: usize,
    /// Number of actions that the fence refused.
    pub refused: usize,
    /// Number of times that a task moved from one lease holder to another.
    pub handovers: usize,
    /// Number of distinct tasks with an admitted action.
    pub tasks: usize,
}

/// Checks that, for each task, admitted tokens never decrease, each token belongs to one holder, actions of
/// different holders do not overlap, and an action is refused only after a higher token was admitted. The
/// error describes the actions that violate this.
pub fn check(record: &[Action]) -> Result<Checked, String> {
    let mut last: BTreeMap<&str, &Action> = BTreeMap::new();
    let mut holders: BTreeMap<u64, &Action> = BTreeMap::new();
    let mut checked = Checked::default();
    let mut by_start: Vec<&Action> = record.iter().collect();
    by_start.sort_by_key(|a| a.began);
    for action in by_start {
        let first = holders.entry(action.token).or_insert(action);
        if (&first.task, &first.holder) != (&action.task, &action.holder) {
            return Err(format!("token used by two holders or tasks: {first:?} and {action:?}"));
        }
        let before = last.get(action.task.as_str()).copied();
        if !action.admitted {
            checked.refused += 1;
            if before.is_none_or(|b| action.token >= b.token) {
                return Err(format!(
                    "action refused although no higher token was admitted before it: {action:?}, previous {before:?}"
                ));
            }
            continue;
        }
        checked.admitted += 1;
        if let Some(before) = before {
            if action.token < before.token {
                return Err(format!("admitted token decreased: {before:?}, then {action:?}"));
            }
            if action.holder != before.holder {
                checked.handovers += 1;
                if action.began < before.ended {
                    return Err(format!("actions of two holders overlap: {before:?} and {action:?}"));
                }
            }
        }
        last.insert(&action.task, action);
    }
    checked.tasks = last.len();
    Ok(checked)
}

/// A period during which a proxy applied one configuration version, in milliseconds. Proxies in safe mode
/// apply no version and have no period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// Number of the configuration version.
    pub version: u64,
    /// Start of the period, inclusive.
    pub from: u64,
    /// End of the period, exclusive.
    pub until: u64,
}

/// Returns the longest uninterrupted time, in milliseconds, during which any two proxies applied different
/// versions.
pub fn disagreement(proxies: &[Vec<Period>]) -> u64 {
    let mut longest = 0;
    for (n, a) in proxies.iter().enumerate() {
        for b in &proxies[n + 1..] {
            let mut apart: Vec<(u64, u64)> = Vec::new();
            for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (x, y))) {
                let (from, until) = (x.from.max(y.from), x.until.min(y.until));
                if x.version != y.version && from < until {
                    apart.push((from, until));
                }
            }
            apart.sort_unstable();
            // Adjacent and overlapping periods count as one disagreement.
            let mut run: Option<(u64, u64)> = None;
            for (from, until) in apart {
                run = match run {
                    Some((since, end)) if from <= end => Some((since, end.max(until))),
                    _ => Some((from, until)),
                };
                longest = longest.max(run.map_or(0, |(since, end)| end - since));
            }
        }
    }
    longest
}

#[cfg(test)]
mod tests;
