//! Cache backend: a [`Station`] with a [`Cache`], slow start, draining, crashes and overload behaviour.

use crate::cache::{Cache, EvictionPolicy, Key, Validity};
use crate::overload::{Overload, OverloadDetector};
use crate::report::Reporter;
use crate::station::{self, Finished, Job, Station};
use crate::time::{Time, MS};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How a backend treats a cancelled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnCancel {
    /// The request is still processed.
    #[serde(rename = "goes-on")]
    Continue,
    /// A queued request is dropped; a running one is still processed.
    #[serde(rename = "drops-waiting")]
    DropWaiting,
}

/// Overload degradation: after too many requests in flight for too long, the backend slows down until it has
/// been nearly idle for a while.
#[derive(Clone, Copy, Debug)]
pub struct Degradation {
    /// Requests in flight per core above which the backend counts as strained.
    pub in_flight_per_core: f64,
    /// How long it has to be strained before it degrades.
    pub after: Time,
    /// Divisor of its speed while degraded.
    pub slowdown: f64,
    /// Share of the cores in use at or below which it recovers.
    pub recovery_utilization: f64,
    /// How long it has to stay at or below `recovery_utilization`.
    pub recovery_time: Time,
    /// Longest time that it stays degraded, whatever its utilization.
    pub max_duration: Time,
}

/// State of the overload degradation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    /// Requests in flight are within the limit.
    Normal,
    /// Above the limit since the given time.
    Strained(Time),
    /// Degraded since the first time; nearly idle since the second, if it is.
    Degraded(Time, Option<Time>),
}

/// Configuration of a backend.
#[derive(Clone, Debug)]
pub struct Config {
    /// Cores, running and queued requests, contention.
    pub station: station::Config,
    /// Work done per core and microsecond when warm and undisturbed, in microseconds of a standard core.
    pub speed: f64,
    /// Share of the full capacity right after a start.
    pub initial_capacity_share: f64,
    /// Time over which the capacity rises linearly to the full.
    pub warmup: Time,
    /// While warming up, the backend crashes when it is sent more than this multiple of its capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Window over which the sent work is counted.
    pub overload_window: Time,
    /// Cache capacity, in units of object size.
    pub cache_capacity: u64,
    /// Cache eviction policy.
    pub eviction: EvictionPolicy,
    /// Share of responses that are errors.
    pub error_rate: f64,
    /// How cancelled requests are treated.
    pub on_cancel: OnCancel,
    /// Connections that are accepted at most.
    pub max_connections: u32,
    /// Share of the capacity lost when `max_connections` are open; proportional below that.
    pub max_connection_overhead: f64,
    /// Overload degradation; `None` disables it.
    pub degradation: Option<Degradation>,
}

/// State of the backend's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Serves requests.
    Up,
    /// Finishes the requests in flight and rejects new ones.
    Draining,
    /// Not running; connections are refused.
    Down,
}

/// Result of offering a request to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Running or queued; [`Backend::advance`] returns it once it is done.
    Accepted,
    /// The key is not cached.
    Miss,
    /// Rejected: the queue is full or the backend is draining.
    Full,
    /// The backend was sent too much while warming up. The caller has to kill it.
    Overloaded(Overload),
}

/// Interval at which the speed of a warming backend is updated.
const WARMUP_STEP: Time = 50 * MS;
/// Slack of the overload detector, in requests of mean work.
const SLACK_REQUESTS: f64 = 4.0;

/// One cache backend.
pub struct Backend {
    config: Config,
    state: State,
    started_at: Time,
    /// Share of the machine's CPU that another program uses.
    stolen_cpu_share: f64,
    station: Station,
    cache: Cache,
    overload: OverloadDetector,
    connections: u32,
    health: Health,
    next_speed_update: Time,
    /// Produces the backend's load reports.
    pub reporter: Reporter,
}

impl Backend {
    /// Creates a warm backend with an empty cache.
    pub fn new(config: Config, reporter: Reporter, mean_work: f64) -> Self {
        let overload = OverloadDetector::new(
            config.overload_window,
            config.overload_multiple,
            SLACK_REQUESTS * mean_work,
        );
        Backend {
            station: Station::new(config.station, config.speed, 0),
            cache: Cache::new(config.cache_capacity, config.eviction),
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

    /// Current state of the process.
    pub fn state(&self) -> State {
        self.state
    }

    /// Time of the last start; 0 if it was running before the simulation began.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// The station that processes requests.
    pub fn station(&self) -> &Station {
        &self.station
    }

    /// The cache.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Share of the full capacity that slow start allows at `now`, from `initial_capacity_share` to 1.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.config.warmup {
            return 1.0;
        }
        self.config.initial_capacity_share
            + (1.0 - self.config.initial_capacity_share) * age as f64 / self.config.warmup as f64
    }

    /// Work per microsecond on all cores at `now`, in microseconds of a standard core.
    pub fn capacity(&self, now: Time) -> f64 {
        self.current_speed(now) * self.config.station.cores
    }

    /// Work per microsecond on all cores when warm and undisturbed.
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

    /// Time of the next call to [`Backend::advance`], if one is due.
    pub fn wake_at(&mut self) -> Option<Time> {
        let done = self.station.wake_at()?;
        Some(if self.started_at > 0 && self.next_speed_update <= done {
            self.next_speed_update
        } else {
            done
        })
    }

    /// Advances the clock to `now` and appends the finished requests to `done`.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Finished>) {
        self.station.advance(now, done);
        self.update_health(now);
        if now >= self.next_speed_update {
            self.station.set_speed(self.current_speed(now));
            let is_warm = self.capacity_share(now) >= 1.0;
            self.next_speed_update = if is_warm { Time::MAX } else { now + WARMUP_STEP };
        }
    }

    /// Moves the degradation state machine to `now` and updates the station's speed.
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

    /// Whether the backend is slowed down by an earlier overload.
    pub fn is_degraded(&self) -> bool {
        matches!(self.health, Health::Degraded(..))
    }

    /// Records a finished request in the load report and draws whether its response is an error.
    pub fn complete_request(&mut self, now: Time, rng: &mut ChaCha8Rng) -> bool {
        let error = self.config.error_rate > 0.0 && rng.random::<f64>() < self.config.error_rate;
        self.reporter.record_request(now, error, self.station.utilization(), rng);
        error
    }

    /// Offers a completely received read. `work` is in microseconds of a standard core, including that of a
    /// new connection; `notified` says whether the sending proxy knew of this backend's latest start.
    /// The caller first advances the backend to `now`.
    pub fn offer(
        &mut self,
        now: Time,
        job: Job,
        key: Key,
        work: f64,
        notified: bool,
        validity: &Validity,
    ) -> Admission {
        debug_assert!(self.state != State::Down, "request offered to a stopped backend");
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
        // A full backend rejects a request before it looks up the key.
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

    /// Cancels a request. Returns whether it was dropped.
    pub fn cancel(&mut self, now: Time, job: Job) -> bool {
        self.config.on_cancel == OnCancel::DropWaiting && self.station.cancel(now, job, false)
    }

    /// Caches the origin's response to a request that missed here.
    pub fn store(&mut self, key: Key, created_at: Time, size: u32) {
        if self.state == State::Up {
            self.cache.store(key, created_at, size);
        }
    }

    /// Counts an opened or a closed connection. Returns false if the limit is reached.
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

    /// Sets the share of the machine that another program uses from `now` on. The caller first advances the
    /// backend to `now`.
    pub fn set_stolen_cpu_share(&mut self, now: Time, share: f64) {
        self.stolen_cpu_share = share.clamp(0.0, 1.0);
        self.station.set_speed(self.current_speed(now));
    }

    /// Starts draining.
    pub fn drain(&mut self) {
        if self.state == State::Up {
            self.state = State::Draining;
        }
    }

    /// Stops the process and returns the requests that were in flight.
    pub fn kill(&mut self, now: Time) -> Vec<Job> {
        self.state = State::Down;
        self.connections = 0;
        self.cache.clear();
        self.station.clear(now)
    }

    /// Starts the process, cold and with an empty cache.
    pub fn start(&mut self, now: Time) {
        self.state = State::Up;
        self.health = Health::Normal;
        self.started_at = now.max(1);
        self.overload.clear();
        self.next_speed_update = now;
        self.station.set_speed(self.current_speed(now));
    }
}
