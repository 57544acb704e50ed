//! Multi-core server with processor sharing and a bounded FIFO queue.
//!
//! Up to `slots` requests run at once and share `cores` evenly, with at most one core each; up to
//! `queue_capacity` more wait in order. With one slot this is an M/G/1 queue, with as many slots as cores
//! M/G/c, and with many slots processor sharing.

use crate::time::{Time, NEVER};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Request in a station, numbered by the caller. Numbers are not reused.
pub type Job = u64;

/// Contention overhead: with `n` requests in flight, efficiency is `1 / (1 + cost * (n - from))` above
/// `from`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contention {
    /// Requests in flight above which efficiency falls.
    pub from: f64,
    /// Cost of each further request; 0 for none.
    pub cost: f64,
}

/// Configuration of a station.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of cores.
    pub cores: f64,
    /// Largest number of running requests.
    pub slots: usize,
    /// Largest number of queued requests.
    pub queue_capacity: usize,
    /// Contention overhead.
    pub contention: Contention,
}

/// Result of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Running or queued.
    Accepted,
    /// Rejected: all slots and the queue are full.
    Full,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The request.
    pub job: Job,
    /// Time at which it was offered.
    pub offered: Time,
    /// Time at which it finished.
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

/// Totals of a station, sufficient for Little's law.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Accepted requests.
    pub taken: u64,
    /// Rejected requests.
    pub turned_away: u64,
    /// Finished requests.
    pub finished: u64,
    /// Requests dropped before they finished.
    pub dropped: u64,
    /// Sum of the time that finished and dropped requests spent here, in microseconds.
    pub sojourn: u128,
    /// Integral of the requests in flight over time, in request-microseconds.
    pub held_time: u128,
    /// Work done, in microseconds of a standard core.
    pub work: f64,
}

/// Multi-core server with a bounded queue.
pub struct Station {
    config: Config,
    /// Work done per core and microsecond, without contention.
    speed: f64,
    /// Work that each running request has received since the station was last idle.
    attained: f64,
    now: Time,
    finish_queue: BinaryHeap<Reverse<(FinishAt, Job)>>,
    running: usize,
    waiting: VecDeque<(Job, f64)>,
    in_flight: FxHashMap<Job, Entry>,
    /// Requests beyond the limits since the last [`Station::resize`]; they are still processed.
    excess_allowance: usize,
    tally: Tally,
}

/// Remaining work below which a request is finished; wake-ups are rounded to whole microseconds.
const WORK_TOLERANCE_US: f64 = 1e-6;

impl Station {
    /// Creates an idle station whose cores do `speed` microseconds of work per microsecond.
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

    /// Running and queued requests.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// CPU utilization, 0 to 1.
    pub fn utilization(&self) -> f64 {
        (self.running as f64 / self.config.cores).min(1.0)
    }

    /// Totals since the station was created.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Current limit on the requests in flight.
    pub fn max_in_flight(&self) -> usize {
        self.config.slots + self.config.queue_capacity + self.excess_allowance
    }

    /// Work that each running request receives per microsecond.
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
        // Resets the sum while idle, to bound its rounding error.
        if self.running == 0 {
            self.attained = 0.0;
            self.finish_queue.clear();
        }
    }

    /// Requests in flight beyond slots and queue capacity.
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

    /// Time at which the next running request finishes, `None` if none runs or the speed is 0. The caller
    /// then calls [`Station::advance`].
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

    /// Advances the clock to `now` and appends the finished requests to `done`, in order.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        while let Some(at) = self.wake_at().filter(|at| *at <= now) {
            self.elapse(at);
            while let Some(&Reverse((FinishAt(target), job))) = self.finish_queue.peek() {
                if target > self.attained + WORK_TOLERANCE_US {
                    break;
                }
                self.finish_queue.pop();
                // A cancelled running request leaves its queue entry behind.
                if self.in_flight.get(&job).is_some_and(|h| h.running) {
                    let entry = self.remove(job, at).expect("the request was looked up above");
                    self.tally.finished += 1;
                    done.push(Finished { job, offered: entry.offered, at });
                }
            }
            self.start_waiting();
        }
        self.elapse(now);
    }

    /// Offers a request of `work` microseconds of a standard core. The caller first advances the station to
    /// `now`.
    pub fn offer(&mut self, now: Time, job: Job, work: f64) -> Admission {
        debug_assert!(now == self.now, "offered at {now}, but advanced to {}", self.now);
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

    /// Cancels a queued request, and a running one if `include_running`. Returns whether it was dropped.
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

    /// Sets the speed from now on. The caller first advances the station to the current time.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(0.0);
    }

    /// Sets cores and slots from now on; running requests beyond the slots are still processed. The caller
    /// first advances the station to the current time.
    pub fn resize(&mut self, cores: f64, slots: usize) {
        self.config.cores = cores;
        self.config.slots = slots;
        self.excess_allowance = self.excess();
        self.start_waiting();
    }

    /// Drops all requests, as when the process dies, and returns them sorted by number.
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
