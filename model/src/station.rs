//! Cores shared by the requests in work, with a waiting room before them.
//!
//! Up to `slots` requests are in work at once and share `cores` evenly, each having one core at most; up to
//! `room` more wait in order. With one slot this is the textbook M/G/1 queue, with as many slots as cores
//! M/G/c, and with many slots processor sharing, by which the model is held against closed forms.

use crate::time::{Time, NEVER};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A request in a station, numbered by the caller; never reused.
pub type Job = u64;

/// How crowding costs: with `n` requests held, efficiency is `1 / (1 + cost * (n - from))` beyond `from`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    /// Requests held from which efficiency falls.
    pub from: f64,
    /// What each further one costs, as a share; 0 for no cost.
    pub cost: f64,
}

/// The figures of a station.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once, at most.
    pub slots: usize,
    /// Requests that may wait.
    pub room: usize,
    /// What crowding costs.
    pub crowding: Crowding,
}

/// What became of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in work or waits.
    Taken,
    /// Slots and waiting room are full; it was not looked at.
    Full,
}

/// A request that has been worked off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The request.
    pub job: Job,
    /// When it was offered.
    pub offered: Time,
    /// When it was done.
    pub at: Time,
}

#[derive(Clone, Copy, PartialEq)]
struct Target(f64);

impl Eq for Target {}
impl PartialOrd for Target {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Target {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy)]
struct Held {
    offered: Time,
    running: bool,
}

/// What a station has seen: enough for Little's law, `mean_held = rate * mean_sojourn`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Requests turned away.
    pub turned_away: u64,
    /// Requests worked off.
    pub finished: u64,
    /// Requests dropped before they were done.
    pub dropped: u64,
    /// The time that all who left spent here, in microseconds.
    pub sojourn: u128,
    /// The integral of requests held over time, in request-microseconds.
    pub held_time: u128,
    /// Work done, in microseconds of a standard core.
    pub work: f64,
}

/// Cores, slots and a waiting room.
pub struct Station {
    figures: Figures,
    /// Work that one core does in a microsecond, before crowding.
    pace: f64,
    /// Work that each request in work has been given since the start.
    attained: f64,
    now: Time,
    running: BinaryHeap<Reverse<(Target, Job)>>,
    in_work: usize,
    waiting: VecDeque<(Job, f64)>,
    held: FxHashMap<Job, Held>,
    /// Requests beyond what it takes since it was made smaller; they are done all the same.
    over: usize,
    tally: Tally,
}

/// Work this close to done is done: the rounding of one wake-up to whole microseconds.
const CLOSE: f64 = 1e-6;

impl Station {
    /// An empty station whose cores do `pace` microseconds of work in a microsecond.
    pub fn new(figures: Figures, pace: f64, now: Time) -> Self {
        Station {
            figures,
            pace,
            attained: 0.0,
            now,
            running: BinaryHeap::new(),
            in_work: 0,
            waiting: VecDeque::new(),
            held: FxHashMap::default(),
            over: 0,
            tally: Tally::default(),
        }
    }

    /// Requests held, in work or waiting.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Requests in work.
    pub fn in_work(&self) -> usize {
        self.in_work
    }

    /// How busy the cores are, 0 to 1.
    pub fn busy(&self) -> f64 {
        (self.in_work as f64 / self.figures.cores).min(1.0)
    }

    /// What it has seen so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The most that it may hold now.
    pub fn bound(&self) -> usize {
        self.figures.slots + self.figures.room + self.over
    }

    /// Work that each request in work is given in a microsecond.
    fn rate(&self) -> f64 {
        if self.in_work == 0 {
            return 0.0;
        }
        let beyond = (self.held.len() as f64 - self.figures.crowding.from).max(0.0);
        let efficiency = 1.0 / (1.0 + self.figures.crowding.cost * beyond);
        self.pace * efficiency * (self.figures.cores / self.in_work as f64).min(1.0)
    }

    fn drop_stale(&mut self) {
        while let Some(Reverse((_, job))) = self.running.peek() {
            if self.held.get(job).is_some_and(|h| h.running) {
                return;
            }
            self.running.pop();
        }
    }

    fn pass(&mut self, to: Time) {
        let passed = to.saturating_sub(self.now);
        if passed > 0 {
            let done = self.rate() * passed as f64;
            self.attained += done;
            self.tally.work += done * self.in_work as f64;
            self.tally.held_time += passed as u128 * self.held.len() as u128;
            self.now = to;
        }
    }

    fn begin_next(&mut self) {
        while self.in_work < self.figures.slots {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            if let Some(held) = self.held.get_mut(&job) {
                held.running = true;
                self.in_work += 1;
                self.running.push(Reverse((Target(self.attained + work), job)));
            }
        }
        // Guards against a sum that grows until single requests are lost in its rounding.
        if self.in_work == 0 {
            self.attained = 0.0;
            self.running.clear();
        }
    }

    /// Requests beyond slots and waiting room.
    fn beyond(&self) -> usize {
        self.held.len().saturating_sub(self.figures.slots + self.figures.room)
    }

    fn leave(&mut self, job: Job, at: Time) -> Option<Held> {
        let held = self.held.remove(&job)?;
        self.in_work -= usize::from(held.running);
        self.tally.sojourn += u128::from(at - held.offered);
        self.over = self.over.min(self.beyond());
        Some(held)
    }

    /// When the next request in work will be done if nothing else happens; `None` while nothing is or the
    /// cores stand still. Call [`Station::advance`] then.
    pub fn wake_at(&mut self) -> Option<Time> {
        self.drop_stale();
        let Reverse((Target(target), _)) = *self.running.peek()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let left = ((target - self.attained).max(0.0) / rate).ceil();
        Some(self.now + left.min((NEVER / 4) as f64) as Time)
    }

    /// Passes time up to `now` and appends what was done, in the order of its ending.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        while let Some(at) = self.wake_at().filter(|at| *at <= now) {
            self.pass(at);
            while let Some(&Reverse((Target(target), job))) = self.running.peek() {
                if target > self.attained + CLOSE {
                    break;
                }
                self.running.pop();
                // A request dropped while in work leaves its entry behind.
                if self.held.get(&job).is_some_and(|h| h.running) {
                    let held = self.leave(job, at).expect("looked up above");
                    self.tally.finished += 1;
                    done.push(Finished { job, offered: held.offered, at });
                }
            }
            self.begin_next();
        }
        self.pass(now);
    }

    /// Offers a request of `work` microseconds of a standard core. Call [`Station::advance`] to `now` first.
    pub fn offer(&mut self, now: Time, job: Job, work: f64) -> Offer {
        debug_assert!(now == self.now, "offered at {now}, advanced to {}", self.now);
        let waits = self.in_work >= self.figures.slots;
        if waits && (self.waiting.len() >= self.figures.room || self.held() >= self.bound()) {
            self.tally.turned_away += 1;
            return Offer::Full;
        }
        self.tally.taken += 1;
        self.held.insert(job, Held { offered: now, running: false });
        self.waiting.push_back((job, work.max(0.0)));
        self.begin_next();
        Offer::Taken
    }

    /// Nobody waits for this request any more: it is dropped if it waits, and if `also_running` also where it
    /// is in work. Says whether it was.
    pub fn drop_job(&mut self, now: Time, job: Job, also_running: bool) -> bool {
        let Some(held) = self.held.get(&job).copied() else { return false };
        if held.running && !also_running {
            return false;
        }
        self.leave(job, now);
        self.waiting.retain(|(j, _)| *j != job);
        self.tally.dropped += 1;
        self.begin_next();
        true
    }

    /// Changes the pace from now on. Call [`Station::advance`] to `now` first.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace.max(0.0);
    }

    /// Changes the cores and the slots from now on. Call [`Station::advance`] to `now` first. Requests in work
    /// beyond the slots are done all the same.
    pub fn resize(&mut self, cores: f64, slots: usize) {
        self.figures.cores = cores;
        self.figures.slots = slots;
        self.over = self.beyond();
        self.begin_next();
    }

    /// Drops everything, as when a process dies; gives back what was held, in order of the job's number.
    pub fn clear(&mut self, now: Time) -> Vec<Job> {
        let mut jobs: Vec<Job> = self.held.keys().copied().collect();
        jobs.sort_unstable();
        for job in &jobs {
            self.leave(*job, now);
        }
        self.tally.dropped += jobs.len() as u64;
        self.waiting.clear();
        self.begin_next();
        jobs
    }
}
