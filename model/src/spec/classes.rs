//! The classes and the tenants of a scenario file.

use super::Effect;
use crate::time::ms;
use serde::{Deserialize, Serialize};

/// What may be repeated, as a file words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    /// Safe to repeat.
    #[serde(rename = "safe")]
    Idempotent,
    /// Carries a key.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// Must never run twice.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of all requests, beside the others'.
    pub share: f64,
    /// Its mean work at a backend, in milliseconds of a standard core.
    pub work_ms: f64,
    /// How widely that varies.
    #[serde(default)]
    pub work_cv: f64,
    /// Wanted within.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Given up after.
    pub deadline_ms: f64,
    /// What one is worth.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The share of the worth that an answer after the aim still earns.
    #[serde(default, rename = "late_worth")]
    pub late_value_share: f64,
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
            EffectName::Idempotent => Effect::Idempotent,
            EffectName::Deduplicated => Effect::Deduplicated { window: ms(self.window_ms) },
            EffectName::AtMostOnce => Effect::AtMostOnce,
        }
    }

    /// The classes of a spec that names none.
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
    /// Its name.
    pub name: String,
    /// Its share of the capacity.
    pub share: f64,
    /// How much of its share it uses.
    pub usage: f64,
}

impl TenantSpec {
    /// The tenants of a spec that names none.
    pub(super) fn defaults() -> Vec<TenantSpec> {
        let tenant = |name: &str, share, usage| TenantSpec { name: name.to_owned(), share, usage };
        vec![
            tenant("constructora-ceiba", 0.45, 1.0),
            tenant("obras-pinar", 0.4, 0.95),
            tenant("hermanos-ajuc", 0.15, 1.1),
        ]
    }
}
