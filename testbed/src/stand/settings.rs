//! The settings and the configuration that a proxy of a spec's world is given, as the deployment words them.

use super::list::Update;
use notchdoor_model::spec::{EffectName, Spec};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The settings object of the `me`-th proxy.
pub fn settings(spec: &Spec, me: u32) -> Value {
    let (r, c) = (&spec.rules, &spec.clients);
    let grade = |k: &notchdoor_model::spec::ClassSpec| {
        json!({
            "name": k.name, "aim": k.latency_objective_ms, "deadline": k.deadline_ms, "points": k.priority_weight,
            "lateShare": k.late_value_share, "stream": false, "dedupScope": "all", "dedupWindow": k.window_ms,
            "effect": match k.effect {
                EffectName::Idempotent => "idempotent",
                EffectName::Deduplicated => "deduplicated",
                EffectName::AtMostOnce => "at_most_once",
            },
        })
    };
    let quotas = notchdoor_lab::quotas(spec);
    let tenants: Vec<Value> = spec
        .tenants
        .iter()
        .zip(quotas)
        .map(|(t, quota)| json!({"name": t.name, "portion": t.share, "quotaPerS": quota}))
        .collect();
    json!({
        "balancers": spec.proxies, "me": me,
        "grades": spec.classes.iter().map(grade).collect::<Vec<_>>(),
        "tenants": tenants, "overShareWorth": r.over_quota_weight,
        "dcs": spec.zones, "zone": spec.zones[me as usize % spec.zones.len()], "skus": ["std", "slow", "origin"],
        "discovery": "on_request", "weightKind": if spec.discovery.lists_true_sizes { "nominal" } else { "off" },
        "family": "cache", "familyInfo": {"mode": "aside", "originKind": 2},
        "limits": {
            "connectTimeout": spec.backends.connect_timeout_ms, "idleClose": spec.backends.idle_s * 1e3,
            "maxAttempts": r.max_attempts, "maxRetryAfter": c.max_retry_after_ms, "mayCancel": r.may_cancel,
            "mostHeld": r.max_in_flight, "retryAfter": c.max_retry_after_ms > 0.0, "secondCopies": r.hedging,
            "streamsPerConn": spec.backends.streams, "probes": false,
        },
        "obligations": {
            "answerSlack": r.answer_slack_ms, "askEvery": spec.discovery.poll_interval_s * 1e3,
            "cold": r.warmup_s * 1e3, "coldFrom": r.initial_capacity_share, "drainGrace": r.drain_grace_ms,
            "fallMultiple": r.overload_multiple, "tipAfter": r.overload_window_s * 1e3,
        },
    })
}

/// The configuration file of the `me`-th proxy.
pub fn config(
    spec: &Spec,
    me: u32,
    listen: SocketAddr,
    registry: SocketAddr,
    known: &Update,
    (memory_mb, sockets): (u32, u32),
) -> Value {
    json!({
        "name": format!("n{me}"), "listen": listen.to_string(), "discovery": registry.to_string(),
        "seed": format!("{me:x}"), "limits": {"memory_mb": memory_mb, "sockets": sockets},
        "known": known, "settings": settings(spec, me),
    })
}
