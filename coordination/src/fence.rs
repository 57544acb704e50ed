//! Fencing on the server side: rejects actions with an outdated fencing token.
//!
//! Tokens are log indexes of the group, so they increase across all tasks. This allows the number of
//! remembered tasks to be bounded: the token of an evicted task raises a floor, and tasks that are not
//! remembered are refused below the floor. A holder refused this way acquires its lease again and receives a
//! token above the floor.

use std::collections::BTreeMap;

/// Refusal of an action whose token is lower than one already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The lowest token that would have been admitted.
    pub wanted: u64,
}

/// Highest token seen per task, for a bounded number of tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<String, (u64, u64)>,
    floor: u64,
    max_tasks: usize,
    seen: u64,
}

impl Fence {
    /// Creates a fence that remembers at most `max_tasks` tasks, and at least one.
    pub fn new(max_tasks: usize) -> Self {
        Fence { highest: BTreeMap::new(), floor: 0, max_tasks: max_tasks.max(1), seen: 0 }
    }

    /// Admits an action on `task` with `token` unless a higher token was seen. An equal token is another
    /// action under the same grant and is admitted.
    pub fn admit(&mut self, task: &str, token: u64) -> Result<(), Stale> {
        self.seen += 1;
        let wanted = self.highest.get(task).map_or(self.floor, |&(t, _)| t);
        if token < wanted {
            return Err(Stale { wanted });
        }
        if !self.highest.contains_key(task) && self.highest.len() >= self.max_tasks {
            self.evict_one();
        }
        self.highest.insert(task.to_owned(), (token, self.seen));
        Ok(())
    }

    /// Returns the lowest token that is admitted for `task`.
    pub fn wanted(&self, task: &str) -> u64 {
        self.highest.get(task).map_or(self.floor, |&(t, _)| t)
    }

    /// Evicts the least recently used task and raises the floor to its token.
    fn evict_one(&mut self) {
        let oldest =
            self.highest.iter().min_by_key(|(_, &(_, seen))| seen).map(|(k, &(t, _))| (k.clone(), t));
        if let Some((task, token)) = oldest {
            self.highest.remove(&task);
            self.floor = self.floor.max(token);
        }
    }
}

#[cfg(test)]
mod tests;
