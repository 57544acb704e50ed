//! Faults of a simulated day: their kinds and parameters, and random schedules.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

macro_rules! kinds {
    ($($variant:ident $name:literal $doc:literal),* $(,)?) => {
        /// Kind of a fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
        pub enum FaultKind { $(#[doc = $doc] #[serde(rename = $name)] $variant,)* }

        impl FaultKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$variant,)*];

            /// Name in a scenario file.
            pub fn name(self) -> &'static str {
                match self { $(FaultKind::$variant => $name,)* }
            }

            /// One-sentence description.
            pub fn description(self) -> &'static str {
                match self { $(FaultKind::$variant => $doc,)* }
            }
        }
    };
}

kinds! {
    NoisyNeighbor "neighbour" "On `part` of the backends, another program uses `share` of the CPU, alternating `every_s` on and off.",
    Flush "flush" "Invalidates the cached entries of `share` of the keys at once.",
    HotKey "hot-key" "`count` hot keys receive `share` of all requests; other keys are chosen every `every_s`, unless that is 0.",
    Scan "scan" "`share` of the reads request keys that are used only once.",
    LateReports "late-reports" "Load reports arrive `delay_s` later, with clocks skewed by up to `skew_s`.",
    RateChange "rush" "Multiplies the request rate by `factor`.",
    Shrink "shrink" "Backends drain one after another until `part` of them remain; the request rate falls in proportion.",
    Grow "grow" "`count` new backends start, spread evenly over the duration.",
    KillBackends "kill-workers" "`count` backends crash and restart `back_s` later, cold and with empty caches; 0 means never.",
    RestartBackends "restart-workers" "`count` backends in turn drain for `every_s`, stop and restart `back_s` later.",
    KillProxies "kill-proxies" "`count` proxies crash with their requests in flight and restart `back_s` later.",
    RestartProxies "restart-proxies" "`count` proxies in turn stop gracefully and restart `back_s` later.",
    ZoneCut "zone-cut" "Zone number `zone` is partitioned from the others for the duration.",
    OriginStop "origin-stop" "The origin is down: its requests in flight are lost, and new connections are refused.",
    DiscoveryDown "registry-down" "The discovery service is down: watches end, and calls fail.",
    StaleList "stale-list" "`count` proxies crash and restart `back_s` later with a stale endpoint list: `part` of the fleet and servers that no longer exist.",
    Silent "silent" "The machines of `count` backends go silent for the duration.",
    ReuseAddress "readdress" "`count` backends disappear, and new ones with other server ids start at their addresses `back_s` later.",
}

macro_rules! parameters {
    ($($field:ident $variant:ident),* $(,)?) => {
        /// Name of a fault parameter.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ParameterName { $(#[doc = concat!("`", stringify!($field), "`.")] $variant,)* }

        impl ParameterName {
            /// Name in a scenario file.
            pub fn name(self) -> &'static str {
                match self { $(ParameterName::$variant => stringify!($field),)* }
            }
        }

        /// One scheduled fault.
        #[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Fault {
            /// Kind of the fault.
            pub kind: FaultKind,
            /// Start, in seconds from the start of the day.
            pub at_s: f64,
            /// Duration, in seconds; 0 for kinds without one.
            #[serde(default)]
            pub length_s: f64,
            $(
                /// See [`FaultKind::description`]; the kind's default if missing.
                #[serde(default, skip_serializing_if = "Option::is_none")]
                pub $field: Option<f64>,
            )*
        }

        impl Fault {
            fn explicit(&self, field: ParameterName) -> Option<f64> {
                match field { $(ParameterName::$variant => self.$field,)* }
            }

            fn set(&mut self, field: ParameterName, value: Option<f64>) {
                match field { $(ParameterName::$variant => self.$field = value,)* }
            }

            /// The parameters that the schedule sets.
            pub fn explicit_parameters(&self) -> Vec<(ParameterName, f64)> {
                let mut all = Vec::new();
                $(if let Some(value) = self.$field { all.push((ParameterName::$variant, value)); })*
                all
            }
        }
    };
}

parameters! {
    part Part, share Share, count Count, every_s Every, back_s Back, zone Zone, delay_s Delay, skew_s Skew,
    factor Factor,
}

/// Parameter of a fault kind, with its default and its allowed range, from which random schedules draw.
#[derive(Clone, Copy, Debug)]
pub struct Parameter {
    /// Which parameter.
    pub field: ParameterName,
    /// Value if the schedule sets none.
    pub default: f64,
    /// Smallest allowed value.
    pub min: f64,
    /// Largest allowed value.
    pub max: f64,
}

const fn parameter(field: ParameterName, default: f64, min: f64, max: f64) -> Parameter {
    Parameter { field, default, min, max }
}

impl FaultKind {
    /// Parameters of this kind.
    pub fn parameters(self) -> &'static [Parameter] {
        use ParameterName::{Back, Count, Delay, Every, Factor, Part, Share, Skew, Zone};
        const NOISY_NEIGHBOR: &[Parameter] = &[
            parameter(Part, 0.35, 0.05, 0.6),
            parameter(Share, 0.6, 0.2, 0.9),
            parameter(Every, 2.5, 0.5, 10.0),
        ];
        const FLUSH: &[Parameter] = &[parameter(Share, 0.7, 0.1, 1.0)];
        const HOT: &[Parameter] = &[
            parameter(Count, 1.0, 1.0, 8.0),
            parameter(Share, 0.15, 0.02, 0.5),
            parameter(Every, 0.0, 0.0, 20.0),
        ];
        const SCAN: &[Parameter] = &[parameter(Share, 0.12, 0.02, 0.5)];
        const LATE: &[Parameter] = &[parameter(Delay, 2.0, 0.0, 10.0), parameter(Skew, 0.0, 0.0, 5.0)];
        const RATE_CHANGE: &[Parameter] = &[parameter(Factor, 1.5, 0.1, 4.0)];
        const SHRINK: &[Parameter] = &[parameter(Part, 0.5, 0.3, 0.9), parameter(Every, 4.0, 1.0, 8.0)];
        const GROW: &[Parameter] = &[parameter(Count, 3.0, 1.0, 1000.0)];
        const COUNT_BACK: &[Parameter] =
            &[parameter(Count, 1.0, 1.0, 1000.0), parameter(Back, 3.0, 0.0, 20.0)];
        const RESTART: &[Parameter] = &[
            parameter(Count, 2.0, 1.0, 1000.0),
            parameter(Every, 3.0, 1.0, 8.0),
            parameter(Back, 1.0, 0.5, 10.0),
        ];
        const ZONE: &[Parameter] = &[parameter(Zone, 0.0, 0.0, 63.0)];
        const STALE: &[Parameter] = &[
            parameter(Count, 1.0, 1.0, 1000.0),
            parameter(Back, 2.0, 0.5, 10.0),
            parameter(Part, 0.5, 0.0, 1.0),
        ];
        const COUNT: &[Parameter] = &[parameter(Count, 1.0, 1.0, 1000.0)];
        match self {
            FaultKind::NoisyNeighbor => NOISY_NEIGHBOR,
            FaultKind::Flush => FLUSH,
            FaultKind::HotKey => HOT,
            FaultKind::Scan => SCAN,
            FaultKind::LateReports => LATE,
            FaultKind::RateChange => RATE_CHANGE,
            FaultKind::Shrink => SHRINK,
            FaultKind::Grow => GROW,
            FaultKind::KillBackends
            | FaultKind::KillProxies
            | FaultKind::RestartProxies
            | FaultKind::ReuseAddress => COUNT_BACK,
            FaultKind::RestartBackends => RESTART,
            FaultKind::ZoneCut => ZONE,
            FaultKind::OriginStop | FaultKind::DiscoveryDown => &[],
            FaultKind::StaleList => STALE,
            FaultKind::Silent => COUNT,
        }
    }

    /// Whether faults of this kind have a duration.
    pub fn has_duration(self) -> bool {
        !matches!(
            self,
            FaultKind::Flush
                | FaultKind::KillBackends
                | FaultKind::KillProxies
                | FaultKind::StaleList
                | FaultKind::ReuseAddress
        )
    }
}

impl Fault {
    /// Creates a fault with the default parameters of its kind.
    pub fn new(kind: FaultKind, at_s: f64, length_s: f64) -> Self {
        Fault {
            kind,
            at_s,
            length_s,
            part: None,
            share: None,
            count: None,
            every_s: None,
            back_s: None,
            zone: None,
            delay_s: None,
            skew_s: None,
            factor: None,
        }
    }

    /// Value of a parameter: the scheduled one, else the kind's default, else 0.
    pub fn parameter_value(&self, field: ParameterName) -> f64 {
        let default = self.kind.parameters().iter().find(|f| f.field == field).map_or(0.0, |f| f.default);
        self.explicit(field).unwrap_or(default)
    }

    /// Checks the times and parameters. The error is the name of the field and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let name = self.kind.name();
        if !(0.0..=86_400.0).contains(&self.at_s) {
            return Err(("at_s", format!("{} is out of range: 0 to 86400 is allowed", self.at_s)));
        }
        if !(0.0..=86_400.0).contains(&self.length_s) {
            return Err(("length_s", format!("{} is out of range: 0 to 86400 is allowed", self.length_s)));
        }
        if self.length_s == 0.0 && self.kind.has_duration() {
            return Err(("length_s", format!("a `{name}` fault needs a length above 0")));
        }
        for (field, value) in self.explicit_parameters() {
            let Some(parameter) = self.kind.parameters().iter().find(|f| f.field == field) else {
                let known: Vec<&str> = self.kind.parameters().iter().map(|f| f.field.name()).collect();
                let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
                return Err((
                    field.name(),
                    format!("a `{name}` fault has no such parameter; it has {known}"),
                ));
            };
            if !(parameter.min..=parameter.max).contains(&value) {
                let problem =
                    format!("{value} is out of range: {} to {} is allowed", parameter.min, parameter.max);
                return Err((field.name(), problem));
            }
        }
        Ok(())
    }

    /// Returns the fault with its length halved and each parameter moved half way to its minimum, for
    /// shrinking schedules.
    pub fn reduced(&self) -> Fault {
        let mut reduced = self.clone();
        reduced.length_s = (self.length_s / 2.0 * 10.0).ceil() / 10.0;
        for parameter in self.kind.parameters() {
            let value = (self.parameter_value(parameter.field) + parameter.min) / 2.0;
            let value = if parameter.field == ParameterName::Count || parameter.field == ParameterName::Zone {
                value.floor()
            } else {
                (value * 100.0).round() / 100.0
            };
            reduced.set(parameter.field, Some(value.clamp(parameter.min, parameter.max)));
        }
        reduced
    }
}

/// Random schedule for a day of `length_s` seconds; `sizes` are the numbers of backends, proxies and zones.
///
/// Each schedule enables only a few kinds (swarm testing), because a day with all kinds hides failures that
/// fewer faults would show.
pub fn random_schedule<R: Rng>(length_s: f64, sizes: (u32, u32, u32), rng: &mut R) -> Vec<Fault> {
    let (backends, proxies, zones) = sizes;
    let kind_count = rng.random_range(1..=4);
    let kinds: Vec<FaultKind> = FaultKind::ALL.iter().copied().sample(rng, kind_count);
    let fault_count = rng.random_range(1..=6);
    let mut schedule: Vec<Fault> = Vec::new();
    for _ in 0..fault_count {
        let Some(&kind) = kinds.choose(rng) else { break };
        let round_to_tenth = |x: f64| (x * 10.0).round() / 10.0;
        let at = round_to_tenth(rng.random_range(0.05..0.75) * length_s);
        let length = if kind.has_duration() {
            round_to_tenth((rng.random_range(0.05..0.4) * length_s).max(1.0))
        } else {
            0.0
        };
        let mut fault = Fault::new(kind, at, length);
        for parameter in kind.parameters() {
            let max = match parameter.field {
                ParameterName::Count
                    if matches!(
                        kind,
                        FaultKind::KillProxies | FaultKind::RestartProxies | FaultKind::StaleList
                    ) =>
                {
                    f64::from(proxies.max(2) - 1)
                }
                ParameterName::Count => f64::from((backends / 3).max(1)),
                ParameterName::Zone => f64::from(zones.max(1) - 1),
                _ => parameter.max,
            };
            let max = max.min(parameter.max).max(parameter.min);
            let value = parameter.min + rng.random::<f64>() * (max - parameter.min);
            let whole = matches!(parameter.field, ParameterName::Count | ParameterName::Zone);
            let value = if whole { value.round() } else { (value * 100.0).round() / 100.0 };
            fault.set(parameter.field, Some(value.clamp(parameter.min, parameter.max)));
        }
        schedule.push(fault);
    }
    schedule.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    schedule
}
