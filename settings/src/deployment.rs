//! Decoding and validation of a deployment's settings object.

use crate::names::DeploymentNames;
use crate::network::NetworkSettings;
use crate::time::{micros, Millis, MAX_MILLIS};
use notchdoor::{Class, Discovery, Effect, Micros, Scope, Settings, Tenant};
use notchdoor_limits::policy_file::PolicyContext;
use serde::Deserialize;
use std::ops::RangeInclusive;

/// A class's share of the origin's congestion window unless a policy sets one.
const DEFAULT_WINDOW_SHARE: f64 = 1.0;
const TIME_RANGE_MS: RangeInclusive<f64> = 0.0..=MAX_MILLIS;

/// A setting outside its allowed range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {value} is out of range; {min} to {max} is allowed")]
pub struct OutOfRange {
    /// Path of the field.
    pub field: String,
    /// Configured value.
    pub value: f64,
    /// Smallest allowed value.
    pub min: f64,
    /// Largest allowed value.
    pub max: f64,
}

fn check_range(field: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Result<(), OutOfRange> {
    if range.contains(&value) {
        return Ok(());
    }
    let (min, max) = range.into_inner();
    Err(OutOfRange { field: field.into(), value, min, max })
}

/// Settings object as decoded from JSON.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DeploymentSettings {
    #[serde(rename = "balancers")]
    proxies: u32,
    #[serde(rename = "grades")]
    classes: Vec<ClassSettings>,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
    #[serde(default, rename = "dcs")]
    zones: Vec<String>,
    #[serde(default, rename = "skus")]
    kinds: Vec<String>,
    discovery: DiscoveryMode,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    weight_kind: String,
    #[serde(default, rename = "overShareWorth")]
    over_quota_weight: f64,
    limits: LimitSettings,
    obligations: Obligations,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiscoveryMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    origin_kind: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectKind {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum DedupScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassSettings {
    name: String,
    #[serde(rename = "aim")]
    latency_objective: Millis,
    #[serde(default)]
    deadline: Millis,
    #[serde(rename = "points")]
    priority_weight: f64,
    #[serde(default, rename = "lateShare")]
    late_value_share: f64,
    effect: EffectKind,
    #[serde(default)]
    dedup_scope: DedupScope,
    #[serde(default)]
    dedup_window: Millis,
}

impl ClassSettings {
    fn validate(&self, index: usize) -> Result<(), OutOfRange> {
        let field = |name: &str| format!("grades[{index}].{name}");
        check_range(field("aim"), self.latency_objective, TIME_RANGE_MS)?;
        check_range(field("deadline"), self.deadline, TIME_RANGE_MS)?;
        check_range(field("dedupWindow"), self.dedup_window, TIME_RANGE_MS)?;
        check_range(field("points"), self.priority_weight, 0.0..=1e9)
    }

    fn class(&self) -> Class {
        Class {
            latency_objective: micros(self.latency_objective),
            priority_weight: self.priority_weight,
            late_value_share: self.late_value_share,
            window_share: DEFAULT_WINDOW_SHARE,
            effect: self.effect(),
        }
    }

    fn effect(&self) -> Effect {
        match self.effect {
            EffectKind::Idempotent => Effect::Idempotent,
            EffectKind::AtMostOnce => Effect::AtMostOnce,
            EffectKind::Deduplicated => Effect::Deduplicated {
                window: micros(self.dedup_window),
                scope: match self.dedup_scope {
                    DedupScope::All => Scope::All,
                    DedupScope::Zone => Scope::Zone,
                    DedupScope::Cell => Scope::Cell,
                },
            },
        }
    }

    /// Deadline of clients of this class; the latency objective if no deadline is set.
    fn client_deadline(&self) -> Micros {
        micros(if self.deadline > 0.0 { self.deadline } else { self.latency_objective })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantSettings {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitSettings {
    max_attempts: u32,
    #[serde(default, rename = "secondCopies")]
    hedging: bool,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Millis,
    #[serde(rename = "mostHeld")]
    max_in_flight: u32,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: Millis,
    #[serde(default = "default_idle_close")]
    idle_close: Millis,
}

fn default_connect_timeout() -> Millis {
    1_000.0
}

fn default_idle_close() -> Millis {
    30_000.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Obligations {
    #[serde(default, rename = "askEvery")]
    poll_interval: Millis,
    #[serde(default)]
    drain_grace: Millis,
    #[serde(rename = "cold")]
    warmup: Millis,
    #[serde(rename = "coldFrom")]
    initial_capacity_share: f64,
    #[serde(rename = "fallMultiple")]
    overload_multiple: f64,
    #[serde(rename = "tipAfter")]
    overload_window: Millis,
}

impl DeploymentSettings {
    /// Checks all numbers against their allowed ranges, so that a wrong sign or unit does not act as no limit
    /// or a limit of 0. Returns the first violation.
    pub fn validate(&self) -> Result<(), OutOfRange> {
        let (limits, obligations) = (&self.limits, &self.obligations);
        check_range("balancers", f64::from(self.proxies), 1.0..=1e6)?;
        check_range("limits.maxAttempts", f64::from(limits.max_attempts), 1.0..=1e3)?;
        check_range("limits.mostHeld", f64::from(limits.max_in_flight), 1.0..=1e7)?;
        check_range("limits.maxRetryAfter", limits.max_retry_after, TIME_RANGE_MS)?;
        check_range("limits.connectTimeout", limits.connect_timeout, TIME_RANGE_MS)?;
        check_range("limits.idleClose", limits.idle_close, TIME_RANGE_MS)?;
        check_range("obligations.askEvery", obligations.poll_interval, TIME_RANGE_MS)?;
        check_range("obligations.drainGrace", obligations.drain_grace, TIME_RANGE_MS)?;
        check_range("obligations.cold", obligations.warmup, TIME_RANGE_MS)?;
        check_range("obligations.coldFrom", obligations.initial_capacity_share, 0.0..=1.0)?;
        check_range("obligations.fallMultiple", obligations.overload_multiple, 0.0..=1e6)?;
        check_range("obligations.tipAfter", obligations.overload_window, TIME_RANGE_MS)?;
        self.classes.iter().enumerate().try_for_each(|(index, grade)| grade.validate(index))
    }

    /// Settings of the router.
    pub fn settings(&self) -> Settings {
        let (limits, obligations) = (&self.limits, &self.obligations);
        Settings {
            proxies: self.proxies,
            classes: self.classes.iter().map(ClassSettings::class).collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_quota_weight: self.over_quota_weight,
            origin_kind: self.family_info.origin_kind.and_then(|k| u32::try_from(k).ok()),
            discovery: match self.discovery {
                DiscoveryMode::Pushed => Discovery::Pushed,
                DiscoveryMode::OnRequest => {
                    Discovery::OnRequest { poll_interval: micros(obligations.poll_interval) }
                }
            },
            sizes_vary_with_load: self.weight_kind == "live",
            max_attempts: limits.max_attempts,
            hedging: limits.hedging,
            may_cancel: limits.may_cancel,
            max_retry_after: if limits.retry_after { micros(limits.max_retry_after) } else { 0 },
            max_in_flight: limits.max_in_flight,
            initial_capacity_share: obligations.initial_capacity_share,
            warmup: micros(obligations.warmup),
            overload_multiple: obligations.overload_multiple,
            overload_window: micros(obligations.overload_window),
        }
    }

    /// Settings of the proxy's connections.
    pub fn network(&self) -> NetworkSettings {
        NetworkSettings {
            connect_timeout: micros(self.limits.connect_timeout),
            idle_close: micros(self.limits.idle_close),
            warmup: micros(self.obligations.warmup),
            drain_grace: micros(self.obligations.drain_grace),
            max_deadline: self.classes.iter().map(|g| micros(g.deadline)).max().unwrap_or(0),
        }
    }

    /// Context that a policy file is validated against.
    pub fn policy_context(&self) -> PolicyContext {
        let names = self.names();
        PolicyContext {
            settings: self.settings(),
            classes: names.classes,
            deadlines: self.classes.iter().map(ClassSettings::client_deadline).collect(),
            tenants: names.tenants,
        }
    }

    /// Names behind the router's indices.
    pub fn names(&self) -> DeploymentNames {
        DeploymentNames {
            classes: self.classes.iter().map(|g| g.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
        }
    }
}
