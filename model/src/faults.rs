//! What goes wrong, as data: kinds, their figures with bounds, and random days.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

macro_rules! kinds {
    ($($variant:ident $name:literal $doc:literal),* $(,)?) => {
        /// A kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
        pub enum FaultKind { $(#[doc = $doc] #[serde(rename = $name)] $variant,)* }

        impl FaultKind {
            /// Every kind, in the order in which they are documented.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$variant,)*];

            /// Its name in a scenario file.
            pub fn name(self) -> &'static str {
                match self { $(FaultKind::$variant => $name,)* }
            }

            /// What it does, in a sentence.
            pub fn description(self) -> &'static str {
                match self { $(FaultKind::$variant => $doc,)* }
            }
        }
    };
}

kinds! {
    NoisyNeighbor "neighbour" "On `part` of the workers another program takes `share` of the machine, `every_s` on and off.",
    Flush "flush" "The kept copies of `share` of the keys go void at once.",
    HotKey "hot-key" "`count` keys draw `share` of all reads and writes, others every `every_s` where that is not 0.",
    Scan "scan" "`share` of the reads ask for keys that are wanted only once.",
    LateReports "late-reports" "Load reports come `delay_s` later, with clocks off by up to `skew_s`.",
    RateChange "rush" "`factor` times the usual requests arrive.",
    Shrink "shrink" "Workers drain one after another until `part` of them are left; traffic falls as much.",
    Grow "grow" "`count` new workers start, evenly over the time.",
    KillBackends "kill-workers" "`count` workers die and start again `back_s` later, empty and cold; never, if that is 0.",
    RestartBackends "restart-workers" "`count` workers drain for `every_s`, stop and start again `back_s` later, one after another.",
    KillProxies "kill-proxies" "`count` proxies die with all that they had out and start again `back_s` later.",
    RestartProxies "restart-proxies" "`count` proxies stop in order and start again `back_s` later, one after another.",
    ZoneCut "zone-cut" "The zone numbered `zone` is cut off from the others, and healed.",
    OriginStop "origin-stop" "The origin is stopped: what it had is lost, and new connections are refused.",
    DiscoveryDown "registry-down" "The registry is down: watches end, and calls fail.",
    StaleList "stale-list" "`count` proxies die and start again `back_s` later with a list that names `part` of the fleet and machines long gone.",
    Silent "silent" "`count` machines of workers say nothing, and are back afterwards.",
    ReuseAddress "readdress" "`count` workers vanish, and new ones with other numbers start at their addresses `back_s` later.",
}

macro_rules! parameters {
    ($($field:ident $variant:ident),* $(,)?) => {
        /// A figure that faults may have.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ParameterName { $(#[doc = concat!("`", stringify!($field), "`.")] $variant,)* }

        impl ParameterName {
            /// Its name in a scenario file.
            pub fn name(self) -> &'static str {
                match self { $(ParameterName::$variant => stringify!($field),)* }
            }
        }

        /// One fault of a schedule.
        #[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Fault {
            /// What goes wrong.
            pub kind: FaultKind,
            /// When it begins, in seconds from the start of the day.
            pub at_s: f64,
            /// How long it lasts, in seconds.
            #[serde(default)]
            pub length_s: f64,
            $(
                /// See [`FaultKind::description`]; the kind's usual figure where it is missing.
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

            /// The figures that the schedule gives it.
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

/// A figure of a kind of fault: its usual value and the range that random days draw from, which is also the
/// range that is allowed.
#[derive(Clone, Copy, Debug)]
pub struct Parameter {
    /// Which one.
    pub field: ParameterName,
    /// Where the schedule does not say.
    pub default: f64,
    /// The least.
    pub min: f64,
    /// The most.
    pub max: f64,
}

const fn parameter(field: ParameterName, default: f64, min: f64, max: f64) -> Parameter {
    Parameter { field, default, min, max }
}

impl FaultKind {
    /// Its figures.
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

    /// Whether it lasts, rather than being over at once.
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
    /// A fault with its kind's usual figures.
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

    /// A figure, or its kind's usual one; 0 where the kind has none.
    pub fn parameter_value(&self, field: ParameterName) -> f64 {
        let default = self.kind.parameters().iter().find(|f| f.field == field).map_or(0.0, |f| f.default);
        self.explicit(field).unwrap_or(default)
    }

    /// What is wrong with it: a field's name and what it should be.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let name = self.kind.name();
        if !(0.0..=86_400.0).contains(&self.at_s) {
            return Err(("at_s", format!("{} is no time of a day: 0 to 86400 is", self.at_s)));
        }
        if !(0.0..=86_400.0).contains(&self.length_s) {
            return Err(("length_s", format!("{} is no length: 0 to 86400 is", self.length_s)));
        }
        if self.length_s == 0.0 && self.kind.has_duration() {
            return Err(("length_s", format!("a `{name}` lasts: it needs a length")));
        }
        for (field, value) in self.explicit_parameters() {
            let Some(parameter) = self.kind.parameters().iter().find(|f| f.field == field) else {
                let known: Vec<&str> = self.kind.parameters().iter().map(|f| f.field.name()).collect();
                let known = if known.is_empty() { "no figures".to_owned() } else { known.join(", ") };
                return Err((field.name(), format!("a `{name}` has no such figure; it has {known}")));
            };
            if !(parameter.min..=parameter.max).contains(&value) {
                let problem =
                    format!("{value} is out of range: {} to {} is allowed", parameter.min, parameter.max);
                return Err((field.name(), problem));
            }
        }
        Ok(())
    }

    /// A fault with half the figures of this one, for shrinking: each figure half way to its least.
    pub fn milder(&self) -> Fault {
        let mut milder = self.clone();
        milder.length_s = (self.length_s / 2.0 * 10.0).ceil() / 10.0;
        for parameter in self.kind.parameters() {
            let value = (self.parameter_value(parameter.field) + parameter.min) / 2.0;
            let value = if parameter.field == ParameterName::Count || parameter.field == ParameterName::Zone {
                value.floor()
            } else {
                (value * 100.0).round() / 100.0
            };
            milder.set(parameter.field, Some(value.clamp(parameter.min, parameter.max)));
        }
        milder
    }
}

/// A random schedule for a day of `length_s` seconds with so many backends, proxies and zones. Each day turns a
/// random few of the kinds on (swarm testing: days with everything on hide what fewer faults would show).
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
