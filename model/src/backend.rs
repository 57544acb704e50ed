//! A cache backend: a station with a memory, cold after a start, that may drain, die or fall over.

use crate::cache::{Cache, EvictionPolicy, Key, Validity};
use crate::overload::{Overload, OverloadDetector};
use crate::report::Reporter;
use crate::station::{self, Finished, Job, Station};
use crate::time::{Time, MS};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What becomes of work that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnCancel {
    /// It is done all the same.
    #[serde(rename = "goes-on")]
    Continue,
    /// It is dropped while it waits, and done once it is in work.
    #[serde(rename = "drops-waiting")]
    DropWaiting,
}

/// How a backend chokes on its load: what waits for too long slows it down, and it stays slow until it has rested.
#[derive(Clone, Copy, Debug)]
pub struct Degradation {
    /// Requests held, for each core, beyond which it does.
    pub in_flight_per_core: f64,
    /// For so long.
    pub after: Time,
    /// So many times slower it is from then on.
    pub slowdown: f64,
    /// It recovers once no more than this share of its cores has been in use,
    pub recovery_utilization: f64,
    /// for so long,
    pub recovery_time: Time,
    /// or after so long in any case.
    pub max_duration: Time,
}

/// Where a backend stands with its choking.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    /// It holds no more than it bears.
    Normal,
    /// It has held too much since then.
    Strained(Time),
    /// It has been choked since then, and at rest since then, if it is.
    Degraded(Time, Option<Time>),
}

/// The figures of a backend.
#[derive(Clone, Debug)]
pub struct Config {
    /// Cores, slots, waiting room, crowding.
    pub station: station::Config,
    /// Work that a core does in a microsecond when warm and left alone.
    pub speed: f64,
    /// The share of its capacity at which it starts.
    pub initial_capacity_share: f64,
    /// The time over which its capacity rises to the full.
    pub warmup: Time,
    /// Sent more than this many times what it can do while cold, over `fall_time`, it falls over.
    pub overload_multiple: f64,
    /// The time over which that is counted.
    pub overload_window: Time,
    /// Units of room for copies.
    pub cache: u64,
    /// Which copy is dropped first.
    pub eviction: EvictionPolicy,
    /// The share of answers that are errors.
    pub error_rate: f64,
    /// What becomes of work that nobody waits for.
    pub on_cancel: OnCancel,
    /// The most connections that it holds.
    pub max_connections: u32,
    /// The share of its capacity that a full table of connections takes.
    pub max_connection_overhead: f64,
    /// How it chokes, if it does.
    pub degradation: Option<Degradation>,
}

/// Whether the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Up,
    /// It finishes its work and turns away what is new.
    Draining,
    /// It does not run: connections are refused.
    Down,
}

/// What became of a request that reached a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is being worked on; [`Backend::advance`] tells when it is done.
    Accepted,
    /// Nothing is kept for its key.
    Miss,
    /// Turned away.
    Full,
    /// The backend falls over under it: it was cold, and was sent too much. The host has to kill it.
    Overloaded(Overload),
}

/// How often a cold backend's pace is set anew while it works.
const WARMUP_STEP: Time = 50 * MS;
/// Work that the first request on a new connection costs beside its own is part of what a cold backend is sent.
const SLACK_REQUESTS: f64 = 4.0;

/// One cache backend.
pub struct Backend {
    config: Config,
    state: State,
    started_at: Time,
    /// The share of the machine that another program has now.
    stolen_cpu_share: f64,
    station: Station,
    cache: Cache,
    overload: OverloadDetector,
    connections: u32,
    health: Health,
    next_speed_update: Time,
    /// What it says of its load.
    pub reporter: Reporter,
}

impl Backend {
    /// A backend that has run for long: warm, and empty until it is filled.
    pub fn new(config: Config, reporter: Reporter, mean_work: f64) -> Self {
        let overload = OverloadDetector::new(
            config.overload_window,
            config.overload_multiple,
            SLACK_REQUESTS * mean_work,
        );
        Backend {
            station: Station::new(config.station, config.speed, 0),
            cache: Cache::new(config.cache, config.eviction),
            config,
            state: State::Up,
            started_at: 0,
            stolen_cpu_share: 0.0,
            overload,
            connections: 0,
            health: Health::Normal,
            next_speed_update: 0,
            reporter,
        }
    }

    /// Whether it runs.
    pub fn state(&self) -> State {
        self.state
    }

    /// When it last started; 0 for long ago.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Its station, to look at.
    pub fn station(&self) -> &Station {
        &self.station
    }

    /// Its memory, to look at.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// The share of its capacity that it has because it started so long ago.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.config.warmup {
            return 1.0;
        }
        self.config.initial_capacity_share
            + (1.0 - self.config.initial_capacity_share) * age as f64 / self.config.warmup as f64
    }

    /// Work that it can do in a microsecond, on all cores.
    pub fn capacity(&self, now: Time) -> f64 {
        self.current_speed(now) * self.config.station.cores
    }

    /// Work that it can do in a microsecond when warm and left alone.
    pub fn full_capacity(&self) -> f64 {
        self.config.speed * self.config.station.cores
    }

    fn current_speed(&self, now: Time) -> f64 {
        let connection_factor = 1.0
            - self.config.max_connection_overhead * f64::from(self.connections)
                / f64::from(self.config.max_connections.max(1));
        let slowdown = match (self.health, self.config.degradation) {
            (Health::Degraded(..), Some(degradation)) => degradation.slowdown,
            _ => 1.0,
        };
        self.config.speed
            * self.capacity_share(now)
            * (1.0 - self.stolen_cpu_share)
            * connection_factor.max(0.0)
            / slowdown
    }

    /// When it wants to be advanced next.
    pub fn wake_at(&mut self) -> Option<Time> {
        let done = self.station.wake_at()?;
        Some(if self.started_at > 0 && self.next_speed_update <= done {
            self.next_speed_update
        } else {
            done
        })
    }

    /// Passes time up to `now` and appends what was done. Set paces follow at every step of its warming.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        self.station.advance(now, done);
        self.update_health(now);
        if now >= self.next_speed_update {
            self.station.set_speed(self.current_speed(now));
            let is_warm = self.capacity_share(now) >= 1.0;
            self.next_speed_update = if is_warm { Time::MAX } else { now + WARMUP_STEP };
        }
    }

    /// Whether it has held too much for too long, or rested long enough, since it was last looked at.
    fn update_health(&mut self, now: Time) {
        let Some(degradation) = self.config.degradation else { return };
        let cores = self.config.station.cores;
        let strained = self.station.in_flight() as f64 > degradation.in_flight_per_core * cores;
        let is_idle = self.station.running() as f64 <= degradation.recovery_utilization * cores;
        let next = match self.health {
            Health::Normal if strained => Health::Strained(now),
            Health::Strained(since) if strained && now >= since + degradation.after => {
                Health::Degraded(now, None)
            }
            Health::Strained(_) if !strained => Health::Normal,
            Health::Degraded(since, _) if now >= since + degradation.max_duration => Health::Normal,
            Health::Degraded(_, Some(idle_since))
                if is_idle && now >= idle_since + degradation.recovery_time =>
            {
                Health::Normal
            }
            Health::Degraded(since, None) if is_idle => Health::Degraded(since, Some(now)),
            Health::Degraded(since, Some(_)) if !is_idle => Health::Degraded(since, None),
            same => same,
        };
        let changed = matches!(next, Health::Degraded(..)) != matches!(self.health, Health::Degraded(..));
        self.health = next;
        if changed {
            self.station.set_speed(self.current_speed(now));
        }
    }

    /// Whether it is slow for what it held.
    pub fn is_degraded(&self) -> bool {
        matches!(self.health, Health::Degraded(..))
    }

    /// Whether an answer that is due now is an error instead; counted in the load report.
    pub fn complete_request(&mut self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        let error = self.config.error_rate > 0.0 && rng.random::<f64>() < self.config.error_rate;
        self.reporter.record_request(now, error, self.station.utilization(), rng);
        error
    }

    /// A read has come whole: its key, its work in microseconds of a standard core (a new connection's
    /// included), and whether its sender had been told of this backend's latest start. Advance to `now` first.
    pub fn offer(
        &mut self,
        now: Time,
        job: Job,
        key: Key,
        work: f64,
        notified: bool,
        validity: &Validity,
    ) -> Admission {
        debug_assert!(self.state != State::Down, "offered to a process that does not run");
        if self.started_at > 0 && self.capacity_share(now) < 1.0 {
            let attributed = if notified { work } else { 0.0 };
            let overload = self.overload.record(now, self.capacity(now), work, attributed, 0.0);
            if let Some(overload) = overload {
                return Admission::Overloaded(overload);
            }
        }
        if self.state == State::Draining {
            return Admission::Full;
        }
        // The waiting room is looked at before the key: a full backend turns requests away unseen.
        if self.station.in_flight() >= self.station.max_in_flight() {
            let refused = self.station.offer(now, job, work);
            debug_assert!(refused == station::Admission::Full);
            return Admission::Full;
        }
        if !self.cache.lookup(now, key, validity) {
            return Admission::Miss;
        }
        match self.station.offer(now, job, work) {
            station::Admission::Accepted => Admission::Accepted,
            station::Admission::Full => Admission::Full,
        }
    }

    /// Nobody waits for this request any more.
    pub fn cancel(&mut self, now: Time, job: Job) -> bool {
        self.config.on_cancel == OnCancel::DropWaiting && self.station.cancel(now, job, false)
    }

    /// The origin has answered for a request that missed here.
    pub fn store(&mut self, key: Key, created_at: Time, size: u32) {
        if self.state == State::Up {
            self.cache.store(key, created_at, size);
        }
    }

    /// One more or one fewer connection. False if the table is full.
    pub fn connect(&mut self, opened: bool) -> bool {
        if !opened {
            self.connections = self.connections.saturating_sub(1);
        } else if self.connections >= self.config.max_connections {
            return false;
        } else {
            self.connections += 1;
        }
        true
    }

    /// Another program takes this share of the machine from now on. Advance to `now` first.
    pub fn set_stolen_cpu_share(&mut self, now: Time, share: f64) {
        self.stolen_cpu_share = share.clamp(0.0, 1.0);
        self.station.set_speed(self.current_speed(now));
    }

    /// It is asked to end: it finishes what it has.
    pub fn drain(&mut self) {
        if self.state == State::Up {
            self.state = State::Draining;
        }
    }

    /// The process ends; gives back the requests that it had.
    pub fn kill(&mut self, now: Time) -> Vec<Job> {
        self.state = State::Down;
        self.connections = 0;
        self.cache.clear();
        self.station.clear(now)
    }

    /// The process starts: cold and empty.
    pub fn start(&mut self, now: Time) {
        self.state = State::Up;
        self.health = Health::Normal;
        self.started_at = now.max(1);
        self.overload.clear();
        self.next_speed_update = now;
        self.station.set_speed(self.current_speed(now));
    }
}
