//! Request classes and tenants of a scenario file.

use super::Effect;
use crate::time::ms;
use serde::{Deserialize, Serialize};

/// Effect of repeating a request, as named in a scenario file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    /// Idempotent.
    #[serde(rename = "safe")]
    Idempotent,
    /// Deduplicated by key for `window_ms`.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// Must never be executed twice.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Weight of this class among all requests.
    pub share: f64,
    /// Mean work at a backend, in milliseconds of a standard core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    #[serde(default)]
    pub work_cv: f64,
    /// Latency objective, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Client deadline, in milliseconds.
    pub deadline_ms: f64,
    /// Priority weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that a response after the latency objective still earns.
    #[serde(default, rename = "late_worth")]
    pub late_value_share: f64,
    /// Effect of repeating a request.
    pub effect: EffectName,
    /// Deduplication window, in milliseconds.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether requests of this class are writes.
    #[serde(default)]
    pub write: bool,
}

impl ClassSpec {
    /// Effect of repeating a request, with its deduplication window.
    pub fn effect(&self) -> Effect {
        match self.effect {
            EffectName::Idempotent => Effect::Idempotent,
            EffectName::Deduplicated => Effect::Deduplicated { window: ms(self.window_ms) },
            EffectName::AtMostOnce => Effect::AtMostOnce,
        }
    }

    /// Classes of a spec that lists none.
    pub(super) fn defaults() -> Vec<ClassSpec> {
        let class = |name: &str,
                     share,
                     work_ms,
                     (latency_objective_ms, deadline_ms),
                     (priority_weight, late_value_share),
                     effect| ClassSpec {
            name: name.to_owned(),
            share,
            work_ms,
            work_cv: 0.5,
            latency_objective_ms,
            deadline_ms,
            priority_weight,
            late_value_share,
            effect,
            window_ms: if effect == EffectName::Deduplicated { 2000.0 } else { 0.0 },
            write: effect != EffectName::Idempotent,
        };
        vec![
            class("read-sheet", 0.914, 41.0, (750.0, 2000.0), (2.0, 0.2), EffectName::Idempotent),
            class("fix-hours", 0.046, 48.0, (800.0, 2000.0), (3.0, 0.5), EffectName::Deduplicated),
            class("close-week", 0.04, 50.0, (300.0, 600.0), (8.0, 0.25), EffectName::AtMostOnce),
        ]
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Name of the tenant.
    pub name: String,
    /// Quota, as a share of the capacity that quotas divide.
    pub share: f64,
    /// Demand relative to the quota.
    pub usage: f64,
}

impl TenantSpec {
    /// Tenants of a spec that lists none.
    pub(super) fn defaults() -> Vec<TenantSpec> {
        let tenant = |name: &str, share, usage| TenantSpec { name: name.to_owned(), share, usage };
        vec![
            tenant("constructora-ceiba", 0.45, 1.0),
            tenant("obras-pinar", 0.4, 0.95),
            tenant("hermanos-ajuc", 0.15, 1.1),
        ]
    }
}
