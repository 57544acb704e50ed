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
pub struct Contention {
    /// Requests held from which efficiency falls.
    pub from: f64,
    /// What each further one costs, as a share; 0 for no cost.
    pub cost: f64,
}

/// The figures of a station.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once, at most.
    pub slots: usize,
    /// Requests that may wait.
    pub queue_capacity: usize,
    /// What crowding costs.
    pub contention: Contention,
}

/// What became of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in work or waits.
    Accepted,
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
struct FinishAt(f64);

impl Eq for FinishAt {}
impl PartialOrd for FinishAt {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for FinishAt {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy)]
struct Entry {
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
    config: Config,
    /// Work that one core does in a microsecond, before crowding.
    speed: f64,
    /// Work that each request in work has been given since the start.
    attained: f64,
    now: Time,
    finish_queue: BinaryHeap<Reverse<(FinishAt, Job)>>,
    running: usize,
    waiting: VecDeque<(Job, f64)>,
    in_flight: FxHashMap<Job, Entry>,
    /// Requests beyond what it takes since it was made smaller; they are done all the same.
    excess_allowance: usize,
    tally: Tally,
}

/// Work this close to done is done: the rounding of one wake-up to whole microseconds.
const WORK_TOLERANCE_US: f64 = 1e-6;

impl Station {
    /// An empty station whose cores do `pace` microseconds of work in a microsecond.
    pub fn new(config: Config, speed: f64, now: Time) -> Self {
        Station {
            config,
            speed,
            attained: 0.0,
            now,
            finish_queue: BinaryHeap::new(),
            running: 0,
            waiting: VecDeque::new(),
            in_flight: FxHashMap::default(),
            excess_allowance: 0,
            tally: Tally::default(),
        }
    }

    /// Requests held, in work or waiting.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests in work.
    pub fn running(&self) -> usize {
        self.running
    }

    /// How busy the cores are, 0 to 1.
    pub fn utilization(&self) -> f64 {
        (self.running as f64 / self.config.cores).min(1.0)
    }

    /// What it has seen so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The most that it may hold now.
    pub fn max_in_flight(&self) -> usize {
        self.config.slots + self.config.queue_capacity + self.excess_allowance
    }

    /// Work that each request in work is given in a microsecond.
    fn service_rate(&self) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let excess = (self.in_flight.len() as f64 - self.config.contention.from).max(0.0);
        let efficiency = 1.0 / (1.0 + self.config.contention.cost * excess);
        self.speed * efficiency * (self.config.cores / self.running as f64).min(1.0)
    }

    fn discard_dropped(&mut self) {
        while let Some(Reverse((_, job))) = self.finish_queue.peek() {
            if self.in_flight.get(job).is_some_and(|h| h.running) {
                return;
            }
            self.finish_queue.pop();
        }
    }

    fn elapse(&mut self, to: Time) {
        let passed = to.saturating_sub(self.now);
        if passed > 0 {
            let done = self.service_rate() * passed as f64;
            self.attained += done;
            self.tally.work += done * self.running as f64;
            self.tally.held_time += passed as u128 * self.in_flight.len() as u128;
            self.now = to;
        }
    }

    fn start_waiting(&mut self) {
        while self.running < self.config.slots {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            if let Some(entry) = self.in_flight.get_mut(&job) {
                entry.running = true;
                self.running += 1;
                self.finish_queue.push(Reverse((FinishAt(self.attained + work), job)));
            }
        }
        // Guards against a sum that grows until single requests are lost in its rounding.
        if self.running == 0 {
            self.attained = 0.0;
            self.finish_queue.clear();
        }
    }

    /// Requests beyond slots and waiting room.
    fn excess(&self) -> usize {
        self.in_flight.len().saturating_sub(self.config.slots + self.config.queue_capacity)
    }

    fn remove(&mut self, job: Job, at: Time) -> Option<Entry> {
        let entry = self.in_flight.remove(&job)?;
        self.running -= usize::from(entry.running);
        self.tally.sojourn += u128::from(at - entry.offered);
        self.excess_allowance = self.excess_allowance.min(self.excess());
        Some(entry)
    }

    /// When the next request in work will be done if nothing else happens; `None` while nothing is or the
    /// cores stand still. Call [`Station::advance`] then.
    pub fn wake_at(&mut self) -> Option<Time> {
        self.discard_dropped();
        let Reverse((FinishAt(target), _)) = *self.finish_queue.peek()?;
        let service_rate = self.service_rate();
        if service_rate <= 0.0 {
            return None;
        }
        let left = ((target - self.attained).max(0.0) / service_rate).ceil();
        Some(self.now + left.min((NEVER / 4) as f64) as Time)
    }

    /// Passes time up to `now` and appends what was done, in the order of its ending.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        while let Some(at) = self.wake_at().filter(|at| *at <= now) {
            self.elapse(at);
            while let Some(&Reverse((FinishAt(target), job))) = self.finish_queue.peek() {
                if target > self.attained + WORK_TOLERANCE_US {
                    break;
                }
                self.finish_queue.pop();
                // A request dropped while in work leaves its entry behind.
                if self.in_flight.get(&job).is_some_and(|h| h.running) {
                    let entry = self.remove(job, at).expect("looked up above");
                    self.tally.finished += 1;
                    done.push(Finished { job, offered: entry.offered, at });
                }
            }
            self.start_waiting();
        }
        self.elapse(now);
    }

    /// Offers a request of `work` microseconds of a standard core. Call [`Station::advance`] to `now` first.
    pub fn offer(&mut self, now: Time, job: Job, work: f64) -> Admission {
        debug_assert!(now == self.now, "offered at {now}, advanced to {}", self.now);
        let must_wait = self.running >= self.config.slots;
        if must_wait
            && (self.waiting.len() >= self.config.queue_capacity || self.in_flight() >= self.max_in_flight())
        {
            self.tally.turned_away += 1;
            return Admission::Full;
        }
        self.tally.taken += 1;
        self.in_flight.insert(job, Entry { offered: now, running: false });
        self.waiting.push_back((job, work.max(0.0)));
        self.start_waiting();
        Admission::Accepted
    }

    /// Nobody waits for this request any more: it is dropped if it waits, and if `also_running` also where it
    /// is in work. Says whether it was.
    pub fn cancel(&mut self, now: Time, job: Job, include_running: bool) -> bool {
        let Some(entry) = self.in_flight.get(&job).copied() else { return false };
        if entry.running && !include_running {
            return false;
        }
        self.remove(job, now);
        self.waiting.retain(|(j, _)| *j != job);
        self.tally.dropped += 1;
        self.start_waiting();
        true
    }

    /// Changes the pace from now on. Call [`Station::advance`] to `now` first.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(0.0);
    }

    /// Changes the cores and the slots from now on. Call [`Station::advance`] to `now` first. Requests in work
    /// beyond the slots are done all the same.
    pub fn resize(&mut self, cores: f64, slots: usize) {
        self.config.cores = cores;
        self.config.slots = slots;
        self.excess_allowance = self.excess();
        self.start_waiting();
    }

    /// Drops everything, as when a process dies; gives back what was held, in order of the job's number.
    pub fn clear(&mut self, now: Time) -> Vec<Job> {
        let mut jobs: Vec<Job> = self.in_flight.keys().copied().collect();
        jobs.sort_unstable();
        for job in &jobs {
            self.remove(*job, now);
        }
        self.tally.dropped += jobs.len() as u64;
        self.waiting.clear();
        self.start_waiting();
        jobs
    }
}
