//! Configuration of a simulated world, as read from a scenario file. Omitted fields have the defaults of a
//! small fleet: 4 proxies, 14 backends, about 190 requests per second.

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

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent.
    Idempotent,
    /// Duplicates within `window` of the first attempt are dropped.
    Deduplicated {
        /// Deduplication window.
        window: Time,
    },
    /// Must never be executed twice.
    AtMostOnce,
}

/// How the arrival rate varies around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Constant rate.
    Constant,
    /// Sine with a period of 20 s.
    Wave,
    /// Alternates between 3 s high and 5 s low.
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
    /// A simulated world and its day.
    Spec {
        /// One-sentence description.
        about: String = String::new(),
        /// Seed of all random numbers.
        seed: u64 = 1,
        /// Length of the scored part, in seconds.
        length_s: f64 = 45.0,
        /// Warm-up before it, in seconds: caches fill, nothing is scored and no fault starts.
        warm_up_s: f64 = 15.0,
        /// Number of proxies.
        proxies: u32 = 4,
        /// Interval at which proxies process their input, in milliseconds; 0 for immediately.
        tick_ms: f64 = 5.0,
        /// Names of the zones. Machines and proxies are assigned to them round-robin.
        zones: Vec<String> = ["zona-4", "mixco", "escuintla", "xela"].map(str::to_owned).to_vec(),
        /// Cache backends.
        #[serde(rename = "workers")]
        backends: Backends = Backends::default(),
        /// The origin.
        origin: OriginSpec = OriginSpec::default(),
        /// Request rate.
        load: Load = Load::default(),
        /// Keys and objects.
        keys: Keys = Keys::default(),
        /// Network delays.
        network: NetworkSpec = NetworkSpec::default(),
        /// Discovery service.
        #[serde(rename = "registry")]
        discovery: DiscoverySpec = DiscoverySpec::default(),
        /// Load balancer in front of the proxies.
        front: FrontSpec = FrontSpec::default(),
        /// Timeouts and retries of clients.
        clients: Clients = Clients::default(),
        /// Rules that the simulator enforces and settings of the router.
        rules: Rules = Rules::default(),
        /// Request classes.
        #[serde(rename = "class")]
        classes: Vec<ClassSpec> = ClassSpec::defaults(),
        /// Tenants.
        #[serde(rename = "tenant")]
        tenants: Vec<TenantSpec> = TenantSpec::defaults(),
        /// Fault schedule.
        #[serde(rename = "fault")]
        faults: Vec<Fault> = Vec::new(),
    }
}

section! {
    /// Cache backends.
    Backends {
        /// Number of backends.
        count: u32 = 14,
        /// Cores per backend.
        cores: f64 = 1.0,
        /// Speed of a core of the fast kind and of the slow kind, relative to a standard core.
        speeds: (f64, f64) = (0.97, 0.6),
        /// Share of the backends that are of the slow kind.
        slow_share: f64 = 0.46,
        /// Coefficient of variation of the speed within a kind.
        speed_cv: f64 = 0.1,
        /// Running requests per core, at most.
        slots: u32 = 16,
        /// Queued requests, at most.
        #[serde(rename = "room")]
        queue_capacity: u32 = 3,
        /// Requests in flight per core above which efficiency falls, and the cost of each further request.
        #[serde(rename = "crowding")]
        contention: (f64, f64) = (9.0, 0.08),
        /// Share of the full capacity right after a start.
        #[serde(rename = "cold_from")]
        initial_capacity_share: f64 = 0.45,
        /// Warm-up time, in seconds.
        #[serde(rename = "cold_s")]
        warmup_s: f64 = 6.0,
        /// Share of responses that are errors.
        error_rate: f64 = 0.0005,
        /// Cache eviction policy.
        #[serde(rename = "evict")]
        eviction: EvictionPolicy = EvictionPolicy::Lru,
        /// How cancelled requests are treated.
        on_cancel: OnCancel = OnCancel::DropWaiting,
        /// Connections to one backend, at most.
        connections: u32 = 750,
        /// Share of the capacity lost when the maximum number of connections is open.
        #[serde(rename = "full_tax")]
        max_connection_overhead: f64 = 0.1,
        /// Concurrent requests per connection.
        streams: u32 = 32,
        /// Idle timeout of connections, in seconds.
        idle_s: f64 = 30.0,
        /// Work of accepting a connection, in milliseconds of a standard core.
        handshake_ms: f64 = 1.9,
        /// Round trips of a handshake.
        handshake_trips: f64 = 2.5,
        /// Connect timeout, in milliseconds.
        connect_timeout_ms: f64 = 150.0,
        /// Requests in flight per core above which a backend degrades; 0 disables degradation.
        #[serde(rename = "choke_at")]
        degraded_at: f64 = 0.0,
        /// How long it has to be above that, in seconds.
        #[serde(rename = "choke_over_s")]
        degraded_after_s: f64 = 2.0,
        /// Divisor of the speed while degraded.
        #[serde(rename = "choke_slower")]
        degraded_slowdown: f64 = 2.8,
        /// Share of the cores in use at which a degraded backend recovers, and for how many seconds it has to
        /// stay there.
        #[serde(rename = "choke_rest")]
        degraded_recovery: (f64, f64) = (0.3, 3.0),
        /// Longest degradation, in seconds.
        #[serde(rename = "choke_most_s")]
        max_degraded_s: f64 = 27.0,
        /// Load reports: period and delay in milliseconds, and largest relative error.
        report_ms: (f64, f64, f64) = (520.0, 340.0, 0.04),
    }
}

section! {
    /// The origin.
    OriginSpec {
        /// Capacity relative to the rate of fetches and writes that one pooled cache would leave at
        /// `reference_load`.
        headroom: f64 = 1.75,
        /// Load at which `headroom` is defined.
        #[serde(rename = "usual_load")]
        reference_load: f64 = 0.6,
        /// Mean work of a fetch, in milliseconds.
        fetch_ms: f64 = 54.0,
        /// Coefficient of variation of that work.
        work_cv: f64 = 0.6,
        /// Work of a write relative to a fetch.
        write_work: f64 = 1.0,
        /// Queue capacity, in seconds of work.
        queue_s: f64 = 1.5,
        /// Cost of each request in flight beyond the slots.
        #[serde(rename = "crowding")]
        contention: f64 = 0.0,
        /// Whether cancelled requests are removed from the queue.
        #[serde(rename = "drops_unwanted")]
        drops_cancelled: bool = true,
        /// The origin stops when it is sent more than this multiple of its capacity within
        /// `overload_window_s`.
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64 = 3.0,
        /// Window over which the sent work is counted, in seconds.
        #[serde(rename = "fall_s")]
        overload_window_s: f64 = 3.0,
        /// Duration of a stop, in seconds.
        down_s: f64 = 5.0,
    }
}

section! {
    /// Request rate.
    Load {
        /// Mean load, as a share of the backends' capacity.
        share: f64 = 0.35,
        /// Mean first attempts per second; overrides `share` unless 0.
        rate: f64 = 0.0,
        /// How the rate varies.
        shape: Shape = Shape::Wave,
        /// Relative amplitude of that variation.
        swing: f64 = 0.25,
        /// Odd-numbered zones send this share more than the mean, even-numbered ones this share less.
        zone_skew: f64 = 0.15,
    }
}

section! {
    /// Keys and objects.
    Keys {
        /// Number of keys.
        count: usize = 500,
        /// Zipf exponent of the key popularity.
        zipf: f64 = 1.0,
        /// Offset added to the rank in the Zipf formula.
        offset: f64 = 3.0,
        /// Share of the keys replaced by new ones every second.
        drift: f64 = 0.008,
        /// Hit rate of reads that one pooled cache of the fleet's size would have.
        #[serde(rename = "hits")]
        hit_rate: f64 = 0.92,
        /// Coefficient of variation of the object size.
        size_cv: f64 = 0.6,
        /// Time to live of cached entries, in seconds; 0 for unlimited.
        #[serde(rename = "keep_s")]
        ttl_s: f64 = 0.0,
    }
}

section! {
    /// One-way network delays, in milliseconds.
    NetworkSpec {
        /// Within a zone.
        same_ms: f64 = 0.2,
        /// Between two zones: range.
        cross_ms: (f64, f64) = (8.4, 16.0),
        /// Between clients and proxies.
        client_ms: f64 = 0.6,
        /// Largest additional delay of a message, as a share of its base delay.
        jitter: f64 = 0.2,
    }
}

section! {
    /// Discovery service.
    DiscoverySpec {
        /// Delay until a new backend is listed, in seconds.
        #[serde(rename = "add_s")]
        add_delay_s: f64 = 1.2,
        /// Delay until a drain or a stop is listed, in seconds.
        #[serde(rename = "notice_s")]
        removal_delay_s: f64 = 3.4,
        /// Delay until a silent machine is listed as gone, in seconds.
        #[serde(rename = "silent_s")]
        silent_removal_delay_s: f64 = 9.0,
        /// Interval at which changes are published, in milliseconds.
        #[serde(rename = "period_ms")]
        publish_period_ms: f64 = 700.0,
        /// Longest delay from publication to a proxy, in milliseconds.
        #[serde(rename = "spread_ms")]
        max_delivery_delay_ms: f64 = 85.0,
        /// Time to answer a call and additional time per entry, in milliseconds.
        call_ms: (f64, f64) = (5.0, 0.02),
        /// Longest time that a call may wait, in milliseconds.
        timeout_ms: f64 = 1000.0,
        /// Whether listed sizes are the true speeds; otherwise all are 1.
        #[serde(rename = "tells_sizes")]
        lists_true_sizes: bool = false,
        /// Longest time between two calls of a proxy, in seconds.
        #[serde(rename = "ask_every_s")]
        poll_interval_s: f64 = 10.0,
    }
}

section! {
    /// Load balancer in front of the proxies.
    FrontSpec {
        /// Delay until a stopped proxy is detected, in seconds.
        #[serde(rename = "notice_s")]
        detection_delay_s: f64 = 2.5,
    }
}

section! {
    /// Timeouts and retries of clients.
    Clients {
        /// Retries after the first attempt.
        retries: u32 = 2,
        /// Range of an attempt's timeout, as a share of the class's deadline.
        #[serde(rename = "try_share")]
        attempt_timeout_share: (f64, f64) = (0.5, 0.8),
        /// Range of the first backoff, in milliseconds; it doubles with each attempt.
        backoff_ms: (f64, f64) = (15.0, 120.0),
        /// Share of clients that honor a Retry-After.
        #[serde(rename = "honour")]
        honors_retry_after_share: f64 = 0.85,
        /// Longest Retry-After, in milliseconds; 0 if clients receive none.
        #[serde(rename = "most_wait_ms")]
        max_retry_after_ms: f64 = 1000.0,
        /// Share of attempts that the client abandons before their timeout.
        #[serde(rename = "impatient")]
        early_leave_share: f64 = 0.02,
    }
}

section! {
    /// Rules that the simulator enforces and settings of the router.
    Rules {
        /// Attempts per request, at most.
        max_attempts: u32 = 3,
        /// Whether hedged requests are allowed.
        #[serde(rename = "second_copies")]
        hedging: bool = true,
        /// Whether attempts may be cancelled.
        may_cancel: bool = true,
        /// Requests in flight per proxy, at most.
        #[serde(rename = "most_held")]
        max_in_flight: u32 = 20_000,
        /// Tolerance for answers after the client's timeout, in milliseconds.
        answer_slack_ms: f64 = 20.0,
        /// How long a notified proxy may still send to a draining or removed backend, in milliseconds.
        drain_grace_ms: f64 = 1000.0,
        /// Initial capacity share stated to the router; a lower bound of the true value.
        #[serde(rename = "cold_from")]
        initial_capacity_share: f64 = 0.31,
        /// Warm-up time stated to the router, in seconds; an upper bound of the true value.
        #[serde(rename = "cold_s")]
        warmup_s: f64 = 8.1,
        /// A warming backend crashes when it is sent more than this multiple of its capacity within
        /// `overload_window_s`.
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64 = 4.0,
        /// Window over which the sent work is counted, in seconds.
        #[serde(rename = "fall_s")]
        overload_window_s: f64 = 2.0,
        /// Relative value of requests beyond a tenant's quota.
        #[serde(rename = "over_share_worth")]
        over_quota_weight: f64 = 0.05,
        /// Share of the fleet's capacity that quotas divide.
        quota_of_capacity: f64 = 0.82,
    }
}
