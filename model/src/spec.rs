//! The figures of a whole world, as a scenario file gives them. What a file leaves out has the figures of a
//! day like those the operators describe: 4 proxies, 14 workers, about 190 requests a second.

use crate::clients::Manners;
use crate::faults::Fault;
use crate::memory::{che_capacity, zipf, Evict};
use crate::time::{ms, secs, Time};
use crate::worker::OnCancel;
use serde::{Deserialize, Serialize};

/// What may be repeated, as the platform means it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped for `window` after the first.
    Keyed {
        /// For how long.
        window: Time,
    },
    /// Must never run twice.
    Unsafe,
}

/// How the rate moves about its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// It does not.
    Constant,
    /// A sine of 20 s.
    Wave,
    /// Three seconds high, five low.
    Bursty,
}

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $value:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Serialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$field_doc])* pub $field: $type,)* }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $value,)* }
            }
        }
    };
}

section! {
    /// A whole world and its day.
    Spec {
        /// What it is for, in a sentence.
        about: String = String::new(),
        /// What the day's chance is drawn from.
        seed: u64 = 1,
        /// Seconds that are scored.
        length_s: f64 = 45.0,
        /// Seconds before them in which memories fill; nothing is scored and no fault begins.
        warm_up_s: f64 = 15.0,
        /// Proxies.
        proxies: u32 = 4,
        /// Proxies handle what has come in once in so many milliseconds; 0 for at once.
        tick_ms: f64 = 5.0,
        /// The names of the zones. Machines and proxies are dealt out to them in turn.
        zones: Vec<String> = ["zona-4", "mixco", "escuintla", "xela"].map(str::to_owned).to_vec(),
        /// The cache workers.
        workers: Workers = Workers::default(),
        /// The origin.
        origin: OriginSpec = OriginSpec::default(),
        /// How much is asked for.
        load: Load = Load::default(),
        /// What is asked for.
        keys: Keys = Keys::default(),
        /// Delays.
        network: NetworkSpec = NetworkSpec::default(),
        /// The list of workers.
        registry: RegistrySpec = RegistrySpec::default(),
        /// The front.
        front: FrontSpec = FrontSpec::default(),
        /// What clients do.
        clients: Clients = Clients::default(),
        /// The figures of the rules.
        rules: Rules = Rules::default(),
        /// The classes of request.
        #[serde(rename = "class")]
        classes: Vec<ClassSpec> = ClassSpec::usual(),
        /// The tenants.
        #[serde(rename = "tenant")]
        tenants: Vec<TenantSpec> = TenantSpec::usual(),
        /// What goes wrong.
        #[serde(rename = "fault")]
        faults: Vec<Fault> = Vec::new(),
    }
}

section! {
    /// The cache workers.
    Workers {
        /// How many.
        count: u32 = 14,
        /// Cores of each.
        cores: f64 = 1.0,
        /// The speed of a core of the fast kind beside a standard core, and of the slow kind.
        speeds: (f64, f64) = (0.97, 0.6),
        /// The share of the workers that are of the slow kind.
        slow_share: f64 = 0.46,
        /// How far single workers differ from their kind (coefficient of variation).
        speed_cv: f64 = 0.1,
        /// Requests in work at once, for each core.
        slots: u32 = 16,
        /// Requests that may wait.
        room: u32 = 3,
        /// Requests held from which a worker grows less efficient, and what each further one costs.
        crowding: (f64, f64) = (9.0, 0.08),
        /// The share of its capacity at which a worker starts.
        cold_from: f64 = 0.45,
        /// Seconds until it is warm.
        cold_s: f64 = 6.0,
        /// The share of answers that are errors.
        error_rate: f64 = 0.0005,
        /// Which copy goes first.
        evict: Evict = Evict::Lru,
        /// What becomes of work that nobody waits for.
        on_cancel: OnCancel = OnCancel::DropsWaiting,
        /// The most connections to one worker.
        connections: u32 = 750,
        /// The share of its capacity that a full table of connections takes.
        full_tax: f64 = 0.1,
        /// Requests at a time on a connection.
        streams: u32 = 32,
        /// Seconds after which an idle connection is closed.
        idle_s: f64 = 30.0,
        /// What a new connection costs a worker, in milliseconds of a standard core.
        handshake_ms: f64 = 1.9,
        /// Round trips of a handshake.
        handshake_trips: f64 = 2.5,
        /// Milliseconds after which a connection that is not up never comes up.
        connect_timeout_ms: f64 = 150.0,
        /// Requests held, for each core, beyond which a worker chokes; 0 where none does.
        choke_at: f64 = 0.0,
        /// After holding so much for so many seconds.
        choke_over_s: f64 = 2.0,
        /// So many times slower it is then.
        choke_slower: f64 = 2.8,
        /// Until no more than this share of its cores is in use for so many seconds,
        choke_rest: (f64, f64) = (0.3, 3.0),
        /// or for so many seconds in any case.
        choke_most_s: f64 = 27.0,
        /// Load reports: made every so many milliseconds, told so much later, off by this share.
        report_ms: (f64, f64, f64) = (520.0, 340.0, 0.04),
    }
}

section! {
    /// The origin.
    OriginSpec {
        /// Fetches a second that it can do beside those that one pooled cache would leave at `usual_load`.
        headroom: f64 = 1.75,
        /// The load at which that is counted.
        usual_load: f64 = 0.6,
        /// What a fetch takes it, in milliseconds.
        fetch_ms: f64 = 54.0,
        /// How widely that varies (coefficient of variation).
        work_cv: f64 = 0.6,
        /// What a write takes beside a fetch.
        write_work: f64 = 1.0,
        /// Seconds of work that may wait.
        queue_s: f64 = 1.5,
        /// What crowding costs.
        crowding: f64 = 0.0,
        /// Whether waiting work that nobody waits for is dropped.
        drops_unwanted: bool = true,
        /// Sent more than this many times its capacity for `fall_s`, it stops.
        fall_multiple: f64 = 3.0,
        /// The seconds over which that is counted.
        fall_s: f64 = 3.0,
        /// The seconds for which it stops.
        down_s: f64 = 5.0,
    }
}

section! {
    /// How much is asked for.
    Load {
        /// The mean load, as a share of the workers' cores: requests times their work over what they can do.
        share: f64 = 0.35,
        /// First tries a second instead of a share, if it is not 0.
        rate: f64 = 0.0,
        /// How the rate moves.
        shape: Shape = Shape::Wave,
        /// How far.
        swing: f64 = 0.25,
        /// How much more every other zone asks than the rest.
        zone_skew: f64 = 0.15,
    }
}

section! {
    /// What is asked for.
    Keys {
        /// Keys in all.
        count: usize = 500,
        /// The exponent of their popularity.
        zipf: f64 = 1.0,
        /// What is added to a key's rank before that.
        offset: f64 = 3.0,
        /// The share of the keys that are replaced by new ones every second.
        drift: f64 = 0.008,
        /// The share of reads that one pooled cache of the fleet's size would answer.
        hits: f64 = 0.92,
        /// How widely objects differ in size (coefficient of variation).
        size_cv: f64 = 0.6,
        /// Seconds for which a copy lasts; 0 for ever.
        keep_s: f64 = 0.0,
    }
}

section! {
    /// Delays. All one way, in milliseconds.
    NetworkSpec {
        /// Within a zone.
        same_ms: f64 = 0.2,
        /// Between zones, from and to.
        cross_ms: (f64, f64) = (8.4, 16.0),
        /// Between clients and proxies.
        client_ms: f64 = 0.6,
        /// How much longer a single message may take, as a share.
        jitter: f64 = 0.2,
    }
}

section! {
    /// The list of workers.
    RegistrySpec {
        /// Seconds until a new worker is listed.
        add_s: f64 = 1.2,
        /// Seconds until a drain or an end is listed.
        notice_s: f64 = 3.4,
        /// Seconds until a silent machine is listed as gone.
        silent_s: f64 = 9.0,
        /// Changes are published every so many milliseconds.
        period_ms: f64 = 700.0,
        /// And reach each proxy within so many.
        spread_ms: f64 = 85.0,
        /// Milliseconds that a call takes, and that each line of its answer adds.
        call_ms: (f64, f64) = (5.0, 0.02),
        /// Milliseconds after which a waiting call fails.
        timeout_ms: f64 = 1000.0,
        /// Whether the list gives true speeds as sizes; 1 for all where not.
        tells_sizes: bool = false,
        /// Seconds for which a proxy may go without asking.
        ask_every_s: f64 = 10.0,
    }
}

section! {
    /// The front.
    FrontSpec {
        /// Seconds until it notices that a proxy has died.
        notice_s: f64 = 2.5,
    }
}

section! {
    /// What clients do.
    Clients {
        /// Tries beyond the first.
        retries: u32 = 2,
        /// A try is given up after this share of the class's time, from and to.
        try_share: (f64, f64) = (0.5, 0.8),
        /// The first wait, from and to; it doubles with each try.
        backoff_ms: (f64, f64) = (15.0, 120.0),
        /// The share that heeds a retry-after.
        honour: f64 = 0.85,
        /// The longest retry-after that is heeded; 0 where clients get none.
        most_wait_ms: f64 = 1000.0,
        /// The share of tries whose client leaves early.
        impatient: f64 = 0.02,
    }
}

section! {
    /// The figures of the rules and what the module is allowed.
    Rules {
        /// Attempts for one request.
        max_attempts: u32 = 3,
        /// Whether two attempts may be out at once.
        second_copies: bool = true,
        /// Whether attempts may be cancelled.
        may_cancel: bool = true,
        /// Requests that a proxy may hold.
        most_held: u32 = 20_000,
        /// An answer may come so much after the client's time.
        answer_slack_ms: f64 = 20.0,
        /// So long after being told, a proxy may still send to a draining or gone worker.
        drain_grace_ms: f64 = 1000.0,
        /// Cold from, as a module is told; the true figure is no less.
        cold_from: f64 = 0.31,
        /// Warm after so many seconds, as a module is told; the true figure is no more.
        cold_s: f64 = 8.1,
        /// Sent more than this many times its capacity for `fall_s`, a cold worker falls over.
        fall_multiple: f64 = 4.0,
        /// The seconds over which that is counted.
        fall_s: f64 = 2.0,
        /// What is beyond a tenant's share is worth so much beside the usual.
        over_share_worth: f64 = 0.05,
        /// Tenants' shares are of so much of the fleet's capacity.
        quota_of_capacity: f64 = 0.82,
    }
}

/// What may be repeated, as a file words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    /// Safe to repeat.
    Safe,
    /// Carries a key.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of all requests, beside the others'.
    pub share: f64,
    /// Its mean work at a worker, in milliseconds of a standard core.
    pub work_ms: f64,
    /// How widely that varies.
    #[serde(default)]
    pub work_cv: f64,
    /// Wanted within.
    pub aim_ms: f64,
    /// Given up after.
    pub deadline_ms: f64,
    /// What one is worth.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still earns.
    #[serde(default)]
    pub late_worth: f64,
    /// What may be repeated.
    pub effect: EffectName,
    /// For how long repeats are dropped.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether it writes.
    #[serde(default)]
    pub write: bool,
}

impl ClassSpec {
    /// What may be repeated.
    pub fn effect(&self) -> Effect {
        match self.effect {
            EffectName::Safe => Effect::Safe,
            EffectName::Keyed => Effect::Keyed { window: ms(self.window_ms) },
            EffectName::Unsafe => Effect::Unsafe,
        }
    }

    fn usual() -> Vec<ClassSpec> {
        let class =
            |name: &str, share, work_ms, (aim_ms, deadline_ms), (worth, late_worth), effect| ClassSpec {
                name: name.to_owned(),
                share,
                work_ms,
                work_cv: 0.5,
                aim_ms,
                deadline_ms,
                worth,
                late_worth,
                effect,
                window_ms: if effect == EffectName::Keyed { 2000.0 } else { 0.0 },
                write: effect != EffectName::Safe,
            };
        vec![
            class("read-sheet", 0.914, 41.0, (750.0, 2000.0), (2.0, 0.2), EffectName::Safe),
            class("fix-hours", 0.046, 48.0, (800.0, 2000.0), (3.0, 0.5), EffectName::Keyed),
            class("close-week", 0.04, 50.0, (300.0, 600.0), (8.0, 0.25), EffectName::Unsafe),
        ]
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its share of the capacity.
    pub share: f64,
    /// How much of its share it uses.
    pub usage: f64,
}

impl TenantSpec {
    fn usual() -> Vec<TenantSpec> {
        let tenant = |name: &str, share, usage| TenantSpec { name: name.to_owned(), share, usage };
        vec![
            tenant("constructora-ceiba", 0.45, 1.0),
            tenant("obras-pinar", 0.4, 0.95),
            tenant("hermanos-ajuc", 0.15, 1.1),
        ]
    }
}

/// Something wrong with a spec: the path of the field, such as `workers.count` or `class.0.share`, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Where.
    pub path: String,
    /// Why, and what would do.
    pub why: String,
}

impl Spec {
    /// All that is wrong with it.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut wrong = |path: String, why: String| problems.push(Problem { path, why });
        let mut range = |path: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                wrong(path.to_owned(), format!("{value} is out of range: {least} to {most} is allowed"));
            }
        };
        let w = &self.workers;
        range("length_s", self.length_s, 1.0, 86_400.0);
        range("warm_up_s", self.warm_up_s, 0.0, 3_600.0);
        range("proxies", self.proxies.into(), 1.0, 10_000.0);
        range("tick_ms", self.tick_ms, 0.0, 1_000.0);
        range("zones", self.zones.len() as f64, 1.0, 64.0);
        range("workers.count", w.count.into(), 1.0, 20_000.0);
        range("workers.cores", w.cores, 0.1, 256.0);
        range("workers.speeds", w.speeds.0.min(w.speeds.1), 0.01, 100.0);
        range("workers.slow_share", w.slow_share, 0.0, 1.0);
        range("workers.speed_cv", w.speed_cv, 0.0, 0.3);
        range("workers.slots", w.slots.into(), 1.0, 10_000.0);
        range("workers.room", w.room.into(), 0.0, 100_000.0);
        range("workers.crowding", w.crowding.0.min(w.crowding.1), 0.0, 1e6);
        range("workers.cold_from", w.cold_from, self.rules.cold_from, 1.0);
        range("workers.cold_s", w.cold_s, 0.0, self.rules.cold_s);
        range("workers.error_rate", w.error_rate, 0.0, 1.0);
        range("workers.connections", w.connections.into(), 1.0, 1e6);
        range("workers.full_tax", w.full_tax, 0.0, 0.9);
        range("workers.streams", w.streams.into(), 1.0, 1e6);
        range("workers.handshake_ms", w.handshake_ms, 0.0, 1e4);
        range("workers.handshake_trips", w.handshake_trips, 0.0, 10.0);
        range("workers.choke_at", w.choke_at, 0.0, 1e6);
        range("workers.choke_over_s", w.choke_over_s, 0.0, 1e4);
        range("workers.choke_slower", w.choke_slower, 1.0, 1e3);
        range("workers.choke_rest", w.choke_rest.0.min(w.choke_rest.1), 0.0, 1e4);
        range("workers.choke_most_s", w.choke_most_s, 0.0, 1e6);
        range("workers.connect_timeout_ms", w.connect_timeout_ms, 1.0, 1e5);
        range("origin.headroom", self.origin.headroom, 0.01, 1e6);
        range("origin.usual_load", self.origin.usual_load, 0.01, 10.0);
        range("origin.fetch_ms", self.origin.fetch_ms, 0.01, 1e5);
        range("origin.work_cv", self.origin.work_cv, 0.0, 10.0);
        range("origin.write_work", self.origin.write_work, 0.01, 100.0);
        range("origin.queue_s", self.origin.queue_s, 0.0, 100.0);
        range("origin.fall_multiple", self.origin.fall_multiple, 1.0, 1e6);
        range("origin.fall_s", self.origin.fall_s, 0.1, 100.0);
        range("load.share", self.load.share, 0.0, 100.0);
        range("load.rate", self.load.rate, 0.0, 1e6);
        range("load.swing", self.load.swing, 0.0, 1.0);
        range("load.zone_skew", self.load.zone_skew, 0.0, 0.99);
        range("keys.count", self.keys.count as f64, 1.0, 1e7);
        range("keys.zipf", self.keys.zipf, 0.0, 5.0);
        range("keys.offset", self.keys.offset, 0.0, 1e6);
        range("keys.drift", self.keys.drift, 0.0, 1.0);
        range("keys.hits", self.keys.hits, 0.0, 1.0);
        range("keys.size_cv", self.keys.size_cv, 0.0, 10.0);
        range("keys.keep_s", self.keys.keep_s, 0.0, 1e6);
        range("network.jitter", self.network.jitter, 0.0, 10.0);
        range("clients.retries", self.clients.retries.into(), 0.0, 100.0);
        range("clients.try_share", self.clients.try_share.0, 0.01, self.clients.try_share.1);
        range("clients.try_share", self.clients.try_share.1, 0.01, 1.0);
        range("clients.honour", self.clients.honour, 0.0, 1.0);
        range("clients.impatient", self.clients.impatient, 0.0, 1.0);
        range("rules.max_attempts", self.rules.max_attempts.into(), 1.0, 100.0);
        range("rules.cold_from", self.rules.cold_from, 0.01, 1.0);
        range("rules.fall_multiple", self.rules.fall_multiple, 1.0, 1e6);
        range("rules.fall_s", self.rules.fall_s, 0.1, 100.0);
        range("class", self.classes.len() as f64, 1.0, 64.0);
        range("tenant", self.tenants.len() as f64, 1.0, 1000.0);
        for (i, c) in self.classes.iter().enumerate() {
            range(&format!("class.{i}.share"), c.share, 0.0, 1e6);
            range(&format!("class.{i}.work_ms"), c.work_ms, 0.0, 1e5);
            range(&format!("class.{i}.work_cv"), c.work_cv, 0.0, 10.0);
            range(&format!("class.{i}.aim_ms"), c.aim_ms, 1.0, c.deadline_ms);
            range(&format!("class.{i}.deadline_ms"), c.deadline_ms, 1.0, 600_000.0);
            range(&format!("class.{i}.worth"), c.worth, 0.0, 1e6);
            range(&format!("class.{i}.late_worth"), c.late_worth, 0.0, 1.0);
            let least = if c.effect == EffectName::Keyed { 1.0 } else { 0.0 };
            range(&format!("class.{i}.window_ms"), c.window_ms, least, 1e6);
        }
        for (i, t) in self.tenants.iter().enumerate() {
            range(&format!("tenant.{i}.share"), t.share, 0.0, 1.0);
            range(&format!("tenant.{i}.usage"), t.usage, 0.0, 100.0);
        }
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            wrong("class".to_owned(), "the shares of all classes are 0: one has to be more".to_owned());
        }
        if self.tenants.iter().map(|t| t.share * t.usage).sum::<f64>() <= 0.0 {
            wrong("tenant".to_owned(), "no tenant uses any share: one has to".to_owned());
        }
        for (i, fault) in self.faults.iter().enumerate() {
            if let Err((field, why)) = fault.check() {
                wrong(format!("fault.{i}.{field}"), why);
            } else if fault.at_s >= self.length_s {
                let why = format!("{} is after the day's end at {}", fault.at_s, self.length_s);
                wrong(format!("fault.{i}.at_s"), why);
            }
        }
        problems
    }

    /// The mean work of a request at a worker, in microseconds of a standard core. Writes take none there.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let work = |c: &ClassSpec| c.share * c.work_ms * 1e3;
        self.classes.iter().map(work).sum::<f64>() / all
    }

    /// The share of requests that write.
    pub fn write_share(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().filter(|c| c.write).map(|c| c.share).sum::<f64>() / all
    }

    /// Work that all workers do in a microsecond when warm, as the spec's mean speeds have it.
    pub fn fleet_capacity(&self) -> f64 {
        let w = &self.workers;
        let speed = w.speeds.0 * (1.0 - w.slow_share) + w.speeds.1 * w.slow_share;
        f64::from(w.count) * w.cores * speed
    }

    /// First tries a second, on average.
    pub fn rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            return self.load.rate;
        }
        self.rate_at(self.load.share)
    }

    /// First tries a second at this load.
    pub fn rate_at(&self, load: f64) -> f64 {
        load * self.fleet_capacity() / self.mean_work() * 1e6
    }

    /// Fetches and writes a second that the origin can do.
    pub fn origin_capacity(&self) -> f64 {
        let usual = if self.load.rate > 0.0 { self.load.rate } else { self.rate_at(self.origin.usual_load) };
        let writes = self.write_share();
        self.origin.headroom * usual * ((1.0 - writes) * (1.0 - self.keys.hits) + writes)
    }

    /// Units of room of one worker's memory: the fleet's by Che's approximation at the hit rate that is
    /// stated, shared out evenly. An object takes 8 units on average.
    pub fn worker_memory(&self) -> u64 {
        let shares = zipf(self.keys.count, self.keys.zipf, self.keys.offset);
        let objects = che_capacity(&shares, self.keys.hits);
        (objects * 8.0 / f64::from(self.workers.count)).ceil().max(16.0) as u64
    }

    /// What clients do after a failure.
    pub fn manners(&self) -> Manners {
        let c = &self.clients;
        Manners {
            retries: c.retries,
            try_share: c.try_share,
            backoff: (ms(c.backoff_ms.0), ms(c.backoff_ms.1)),
            honour: c.honour,
            most_wait: ms(c.most_wait_ms),
            impatient: c.impatient,
        }
    }

    /// When the scored part of the day begins and ends.
    pub fn scored(&self) -> (Time, Time) {
        (secs(self.warm_up_s), secs(self.warm_up_s + self.length_s))
    }
}
