//! The figures of a whole world, as a scenario file gives them. What a file leaves out has the figures of a
//! day like those the operators describe: 4 proxies, 14 backends, about 190 requests a second.

use crate::backend::OnCancel;
use crate::cache::EvictionPolicy;
use crate::faults::Fault;
use crate::time::Time;
use serde::{Deserialize, Serialize};

mod check;
mod classes;
mod derived;

pub use check::Problem;
pub use classes::{ClassSpec, EffectName, TenantSpec};

/// What may be repeated, as the platform means it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped for `window` after the first.
    Deduplicated {
        /// For how long.
        window: Time,
    },
    /// Must never run twice.
    AtMostOnce,
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
        /// The cache backends.
        #[serde(rename = "workers")]
        backends: Backends = Backends::default(),
        /// The origin.
        origin: OriginSpec = OriginSpec::default(),
        /// How much is asked for.
        load: Load = Load::default(),
        /// What is asked for.
        keys: Keys = Keys::default(),
        /// Delays.
        network: NetworkSpec = NetworkSpec::default(),
        /// The list of backends.
        #[serde(rename = "registry")]
        discovery: DiscoverySpec = DiscoverySpec::default(),
        /// The front.
        front: FrontSpec = FrontSpec::default(),
        /// What clients do.
        clients: Clients = Clients::default(),
        /// The figures of the rules.
        rules: Rules = Rules::default(),
        /// The classes of request.
        #[serde(rename = "class")]
        classes: Vec<ClassSpec> = ClassSpec::defaults(),
        /// The tenants.
        #[serde(rename = "tenant")]
        tenants: Vec<TenantSpec> = TenantSpec::defaults(),
        /// What goes wrong.
        #[serde(rename = "fault")]
        faults: Vec<Fault> = Vec::new(),
    }
}

section! {
    /// The cache backends.
    Backends {
        /// How many.
        count: u32 = 14,
        /// Cores of each.
        cores: f64 = 1.0,
        /// The speed of a core of the fast kind beside a standard core, and of the slow kind.
        speeds: (f64, f64) = (0.97, 0.6),
        /// The share of the backends that are of the slow kind.
        slow_share: f64 = 0.46,
        /// How far single backends differ from their kind (coefficient of variation).
        speed_cv: f64 = 0.1,
        /// Requests in work at once, for each core.
        slots: u32 = 16,
        /// Requests that may wait.
        #[serde(rename = "room")]
        queue_capacity: u32 = 3,
        /// Requests held from which a backend grows less efficient, and what each further one costs.
        #[serde(rename = "crowding")]
        contention: (f64, f64) = (9.0, 0.08),
        /// The share of its capacity at which a backend starts.
        #[serde(rename = "cold_from")]
        initial_capacity_share: f64 = 0.45,
        /// Seconds until it is warm.
        #[serde(rename = "cold_s")]
        warmup_s: f64 = 6.0,
        /// The share of answers that are errors.
        error_rate: f64 = 0.0005,
        /// Which copy goes first.
        #[serde(rename = "evict")]
        eviction: EvictionPolicy = EvictionPolicy::Lru,
        /// What becomes of work that nobody waits for.
        on_cancel: OnCancel = OnCancel::DropWaiting,
        /// The most connections to one backend.
        connections: u32 = 750,
        /// The share of its capacity that a full table of connections takes.
        #[serde(rename = "full_tax")]
        max_connection_overhead: f64 = 0.1,
        /// Requests at a time on a connection.
        streams: u32 = 32,
        /// Seconds after which an idle connection is closed.
        idle_s: f64 = 30.0,
        /// What a new connection costs a backend, in milliseconds of a standard core.
        handshake_ms: f64 = 1.9,
        /// Round trips of a handshake.
        handshake_trips: f64 = 2.5,
        /// Milliseconds after which a connection that is not up never comes up.
        connect_timeout_ms: f64 = 150.0,
        /// Requests held, for each core, beyond which a backend chokes; 0 where none does.
        #[serde(rename = "choke_at")]
        degraded_at: f64 = 0.0,
        /// After holding so much for so many seconds.
        #[serde(rename = "choke_over_s")]
        degraded_after_s: f64 = 2.0,
        /// So many times slower it is then.
        #[serde(rename = "choke_slower")]
        degraded_slowdown: f64 = 2.8,
        /// Until no more than this share of its cores is in use for so many seconds,
        #[serde(rename = "choke_rest")]
        degraded_recovery: (f64, f64) = (0.3, 3.0),
        /// or for so many seconds in any case.
        #[serde(rename = "choke_most_s")]
        max_degraded_s: f64 = 27.0,
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
        #[serde(rename = "usual_load")]
        reference_load: f64 = 0.6,
        /// What a fetch takes it, in milliseconds.
        fetch_ms: f64 = 54.0,
        /// How widely that varies (coefficient of variation).
        work_cv: f64 = 0.6,
        /// What a write takes beside a fetch.
        write_work: f64 = 1.0,
        /// Seconds of work that may wait.
        queue_s: f64 = 1.5,
        /// What crowding costs.
        #[serde(rename = "crowding")]
        contention: f64 = 0.0,
        /// Whether waiting work that nobody waits for is dropped.
        #[serde(rename = "drops_unwanted")]
        drops_cancelled: bool = true,
        /// Sent more than this many times its capacity for `fall_s`, it stops.
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64 = 3.0,
        /// The seconds over which that is counted.
        #[serde(rename = "fall_s")]
        overload_window_s: f64 = 3.0,
        /// The seconds for which it stops.
        down_s: f64 = 5.0,
    }
}

section! {
    /// How much is asked for.
    Load {
        /// The mean load, as a share of the backends' cores: requests times their work over what they can do.
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
        #[serde(rename = "hits")]
        hit_rate: f64 = 0.92,
        /// How widely objects differ in size (coefficient of variation).
        size_cv: f64 = 0.6,
        /// Seconds for which a copy lasts; 0 for ever.
        #[serde(rename = "keep_s")]
        ttl_s: f64 = 0.0,
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
    /// The list of backends.
    DiscoverySpec {
        /// Seconds until a new backend is listed.
        #[serde(rename = "add_s")]
        add_delay_s: f64 = 1.2,
        /// Seconds until a drain or an end is listed.
        #[serde(rename = "notice_s")]
        removal_delay_s: f64 = 3.4,
        /// Seconds until a silent machine is listed as gone.
        #[serde(rename = "silent_s")]
        silent_removal_delay_s: f64 = 9.0,
        /// Changes are published every so many milliseconds.
        #[serde(rename = "period_ms")]
        publish_period_ms: f64 = 700.0,
        /// And reach each proxy within so many.
        #[serde(rename = "spread_ms")]
        max_delivery_delay_ms: f64 = 85.0,
        /// Milliseconds that a call takes, and that each line of its answer adds.
        call_ms: (f64, f64) = (5.0, 0.02),
        /// Milliseconds after which a waiting call fails.
        timeout_ms: f64 = 1000.0,
        /// Whether the list gives true speeds as sizes; 1 for all where not.
        #[serde(rename = "tells_sizes")]
        lists_true_sizes: bool = false,
        /// Seconds for which a proxy may go without asking.
        #[serde(rename = "ask_every_s")]
        poll_interval_s: f64 = 10.0,
    }
}

section! {
    /// The front.
    FrontSpec {
        /// Seconds until it notices that a proxy has died.
        #[serde(rename = "notice_s")]
        detection_delay_s: f64 = 2.5,
    }
}

section! {
    /// What clients do.
    Clients {
        /// Tries beyond the first.
        retries: u32 = 2,
        /// A try is given up after this share of the class's time, from and to.
        #[serde(rename = "try_share")]
        attempt_timeout_share: (f64, f64) = (0.5, 0.8),
        /// The first wait, from and to; it doubles with each try.
        backoff_ms: (f64, f64) = (15.0, 120.0),
        /// The share that heeds a retry-after.
        #[serde(rename = "honour")]
        honors_retry_after_share: f64 = 0.85,
        /// The longest retry-after that is heeded; 0 where clients get none.
        #[serde(rename = "most_wait_ms")]
        max_retry_after_ms: f64 = 1000.0,
        /// The share of tries whose client leaves early.
        #[serde(rename = "impatient")]
        early_leave_share: f64 = 0.02,
    }
}

section! {
    /// The figures of the rules and what the module is allowed.
    Rules {
        /// Attempts for one request.
        max_attempts: u32 = 3,
        /// Whether two attempts may be out at once.
        #[serde(rename = "second_copies")]
        hedging: bool = true,
        /// Whether attempts may be cancelled.
        may_cancel: bool = true,
        /// Requests that a proxy may hold.
        #[serde(rename = "most_held")]
        max_in_flight: u32 = 20_000,
        /// An answer may come so much after the client's time.
        answer_slack_ms: f64 = 20.0,
        /// So long after being told, a proxy may still send to a draining or gone backend.
        drain_grace_ms: f64 = 1000.0,
        /// Cold from, as a module is told; the true figure is no less.
        #[serde(rename = "cold_from")]
        initial_capacity_share: f64 = 0.31,
        /// Warm after so many seconds, as a module is told; the true figure is no more.
        #[serde(rename = "cold_s")]
        warmup_s: f64 = 8.1,
        /// Sent more than this many times its capacity for `fall_s`, a cold backend falls over.
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64 = 4.0,
        /// The seconds over which that is counted.
        #[serde(rename = "fall_s")]
        overload_window_s: f64 = 2.0,
        /// What is beyond a tenant's share is worth so much beside the usual.
        #[serde(rename = "over_share_worth")]
        over_quota_weight: f64 = 0.05,
        /// Tenants' shares are of so much of the fleet's capacity.
        quota_of_capacity: f64 = 0.82,
    }
}
