//! A deployment's settings object, decoded and checked.

use crate::names::DeploymentNames;
use crate::network::NetworkSettings;
use crate::time::{micros, Millis, MAX_MILLIS};
use notchdoor::{Class, Discovery, Effect, Micros, Scope, Settings, Tenant};
use notchdoor_limits::policy_file::PolicyContext;
use serde::Deserialize;
use std::ops::RangeInclusive;

/// A class's share of the origin's window, unless a policy says otherwise.
const WHOLE_WINDOW: f64 = 1.0;
const TIMES: RangeInclusive<f64> = 0.0..=MAX_MILLIS;

/// A figure of the settings that cannot be meant.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {value} is out of range; {min} to {max} is allowed")]
pub struct OutOfRange {
    /// The field, as a path.
    pub field: String,
    /// What it says.
    pub value: f64,
    /// The least that is allowed.
    pub min: f64,
    /// The most that is allowed.
    pub max: f64,
}

fn in_range(field: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Result<(), OutOfRange> {
    if range.contains(&value) {
        return Ok(());
    }
    let (min, max) = range.into_inner();
    Err(OutOfRange { field: field.into(), value, min, max })
}

/// The settings as they are written.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DeploymentSettings {
    balancers: u32,
    grades: Vec<Grade>,
    #[serde(default)]
    tenants: Vec<TenantLine>,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    skus: Vec<String>,
    discovery: How,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    weight_kind: String,
    #[serde(default)]
    over_share_worth: f64,
    limits: Limits,
    obligations: Obligations,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum How {
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
enum EffectName {
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
struct Grade {
    name: String,
    aim: Millis,
    #[serde(default)]
    deadline: Millis,
    points: f64,
    #[serde(default)]
    late_share: f64,
    effect: EffectName,
    #[serde(default)]
    dedup_scope: DedupScope,
    #[serde(default)]
    dedup_window: Millis,
}

impl Grade {
    fn validate(&self, index: usize) -> Result<(), OutOfRange> {
        let field = |name: &str| format!("grades[{index}].{name}");
        in_range(field("aim"), self.aim, TIMES)?;
        in_range(field("deadline"), self.deadline, TIMES)?;
        in_range(field("dedupWindow"), self.dedup_window, TIMES)?;
        in_range(field("points"), self.points, 0.0..=1e9)
    }

    fn class(&self) -> Class {
        Class {
            latency_objective: micros(self.aim),
            priority_weight: self.points,
            late_value_share: self.late_share,
            window_share: WHOLE_WINDOW,
            effect: self.effect(),
        }
    }

    fn effect(&self) -> Effect {
        match self.effect {
            EffectName::Idempotent => Effect::Idempotent,
            EffectName::AtMostOnce => Effect::AtMostOnce,
            EffectName::Deduplicated => Effect::Deduplicated {
                window: micros(self.dedup_window),
                scope: match self.dedup_scope {
                    DedupScope::All => Scope::All,
                    DedupScope::Zone => Scope::Zone,
                    DedupScope::Cell => Scope::Cell,
                },
            },
        }
    }

    /// How long a client of this class waits; its objective where no deadline is given.
    fn client_deadline(&self) -> Micros {
        micros(if self.deadline > 0.0 { self.deadline } else { self.aim })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantLine {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: u32,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Millis,
    most_held: u32,
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
    #[serde(default)]
    ask_every: Millis,
    cold: Millis,
    cold_from: f64,
    fall_multiple: f64,
    tip_after: Millis,
}

impl DeploymentSettings {
    /// Whether every figure can be meant: a slip such as a sign or a unit would serve for years as no limit, or as one
    /// of zero. The error is the first that can't.
    pub fn validate(&self) -> Result<(), OutOfRange> {
        let (limits, obligations) = (&self.limits, &self.obligations);
        in_range("balancers", f64::from(self.balancers), 1.0..=1e6)?;
        in_range("limits.maxAttempts", f64::from(limits.max_attempts), 1.0..=1e3)?;
        in_range("limits.mostHeld", f64::from(limits.most_held), 1.0..=1e7)?;
        in_range("limits.maxRetryAfter", limits.max_retry_after, TIMES)?;
        in_range("limits.connectTimeout", limits.connect_timeout, TIMES)?;
        in_range("limits.idleClose", limits.idle_close, TIMES)?;
        in_range("obligations.askEvery", obligations.ask_every, TIMES)?;
        in_range("obligations.cold", obligations.cold, TIMES)?;
        in_range("obligations.coldFrom", obligations.cold_from, 0.0..=1.0)?;
        in_range("obligations.fallMultiple", obligations.fall_multiple, 0.0..=1e6)?;
        in_range("obligations.tipAfter", obligations.tip_after, TIMES)?;
        self.grades.iter().enumerate().try_for_each(|(index, grade)| grade.validate(index))
    }

    /// The router's settings.
    pub fn settings(&self) -> Settings {
        let (limits, obligations) = (&self.limits, &self.obligations);
        Settings {
            proxies: self.balancers,
            classes: self.grades.iter().map(Grade::class).collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_quota_weight: self.over_share_worth,
            origin_kind: self.family_info.origin_kind.and_then(|k| u32::try_from(k).ok()),
            discovery: match self.discovery {
                How::Pushed => Discovery::Pushed,
                How::OnRequest => Discovery::OnRequest { poll_interval: micros(obligations.ask_every) },
            },
            sizes_vary_with_load: self.weight_kind == "live",
            max_attempts: limits.max_attempts,
            hedging: limits.second_copies,
            may_cancel: limits.may_cancel,
            max_retry_after: if limits.retry_after { micros(limits.max_retry_after) } else { 0 },
            max_in_flight: limits.most_held,
            initial_capacity_share: obligations.cold_from,
            warmup: micros(obligations.cold),
            overload_multiple: obligations.fall_multiple,
            overload_window: micros(obligations.tip_after),
        }
    }

    /// What the sockets go by.
    pub fn network(&self) -> NetworkSettings {
        NetworkSettings {
            connect_timeout: micros(self.limits.connect_timeout),
            idle_close: micros(self.limits.idle_close),
            cold: micros(self.obligations.cold),
            longest_deadline: self.grades.iter().map(|g| micros(g.deadline)).max().unwrap_or(0),
        }
    }

    /// What a policy file is checked against.
    pub fn policy_context(&self) -> PolicyContext {
        let names = self.names();
        PolicyContext {
            settings: self.settings(),
            classes: names.classes,
            deadlines: self.grades.iter().map(Grade::client_deadline).collect(),
            tenants: names.tenants,
        }
    }

    /// The names, by the numbers that the router has for them.
    pub fn names(&self) -> DeploymentNames {
        DeploymentNames {
            classes: self.grades.iter().map(|g| g.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: self.dcs.clone(),
            kinds: self.skus.clone(),
        }
    }
}
