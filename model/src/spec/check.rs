//! Validation of a spec: checks each value against its allowed range.

use super::{Backends, ClassSpec, Clients, EffectName, Keys, Load, OriginSpec, Rules, Spec, TenantSpec};

/// An invalid value in a spec.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Path of the field, such as `workers.count` or `class.0.share`.
    pub path: String,
    /// Why it is invalid and what is allowed.
    pub reason: String,
}

/// Problems found so far.
#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Problem { path: path.into(), reason: reason.into() });
    }

    /// Reports `value` unless it is between `min` and `max`, inclusive.
    fn require_range(&mut self, path: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.add(path, format!("{value} is out of range: {min} to {max} is allowed"));
        }
    }
}

impl Spec {
    /// Returns all invalid values.
    pub fn validate(&self) -> Vec<Problem> {
        let mut problems = Problems::default();
        self.validate_fleet(&mut problems);
        validate_backends(&self.backends, &self.rules, &mut problems);
        validate_origin(&self.origin, &mut problems);
        validate_load(&self.load, &mut problems);
        validate_keys(&self.keys, &mut problems);
        problems.require_range("network.jitter", self.network.jitter, 0.0, 10.0);
        validate_clients(&self.clients, &mut problems);
        validate_rules(&self.rules, &mut problems);
        problems.require_range("class", self.classes.len() as f64, 1.0, 64.0);
        problems.require_range("tenant", self.tenants.len() as f64, 1.0, 1000.0);
        validate_classes(&self.classes, &mut problems);
        validate_tenants(&self.tenants, &mut problems);
        self.validate_shares(&mut problems);
        self.validate_faults(&mut problems);
        problems.0
    }

    /// Length of the day and size of the fleet.
    fn validate_fleet(&self, problems: &mut Problems) {
        problems.require_range("length_s", self.length_s, 1.0, 86_400.0);
        problems.require_range("warm_up_s", self.warm_up_s, 0.0, 3_600.0);
        problems.require_range("proxies", self.proxies.into(), 1.0, 10_000.0);
        problems.require_range("tick_ms", self.tick_ms, 0.0, 1_000.0);
        problems.require_range("zones", self.zones.len() as f64, 1.0, 64.0);
    }

    /// At least one class and one tenant need a positive share.
    fn validate_shares(&self, problems: &mut Problems) {
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            problems.add("class", "all class shares are 0; at least one has to be above 0");
        }
        if self.tenants.iter().map(|t| t.share * t.usage).sum::<f64>() <= 0.0 {
            problems.add("tenant", "share times usage is 0 for every tenant; at least one has to be above 0");
        }
    }

    fn validate_faults(&self, problems: &mut Problems) {
        for (i, fault) in self.faults.iter().enumerate() {
            if let Err((field, reason)) = fault.validate() {
                problems.add(format!("fault.{i}.{field}"), reason);
            } else if fault.at_s >= self.length_s {
                let reason = format!("{} is not before the end of the day at {}", fault.at_s, self.length_s);
                problems.add(format!("fault.{i}.at_s"), reason);
            }
        }
    }
}

fn validate_backends(backends: &Backends, rules: &Rules, problems: &mut Problems) {
    problems.require_range("workers.count", backends.count.into(), 1.0, 20_000.0);
    problems.require_range("workers.cores", backends.cores, 0.1, 256.0);
    problems.require_range("workers.speeds", backends.speeds.0.min(backends.speeds.1), 0.01, 100.0);
    problems.require_range("workers.slow_share", backends.slow_share, 0.0, 1.0);
    problems.require_range("workers.speed_cv", backends.speed_cv, 0.0, 0.3);
    problems.require_range("workers.slots", backends.slots.into(), 1.0, 10_000.0);
    problems.require_range("workers.room", backends.queue_capacity.into(), 0.0, 100_000.0);
    problems.require_range("workers.crowding", backends.contention.0.min(backends.contention.1), 0.0, 1e6);
    problems.require_range(
        "workers.cold_from",
        backends.initial_capacity_share,
        rules.initial_capacity_share,
        1.0,
    );
    problems.require_range("workers.cold_s", backends.warmup_s, 0.0, rules.warmup_s);
    problems.require_range("workers.error_rate", backends.error_rate, 0.0, 1.0);
    problems.require_range("workers.connections", backends.connections.into(), 1.0, 1e6);
    problems.require_range("workers.full_tax", backends.max_connection_overhead, 0.0, 0.9);
    problems.require_range("workers.streams", backends.streams.into(), 1.0, 1e6);
    problems.require_range("workers.handshake_ms", backends.handshake_ms, 0.0, 1e4);
    problems.require_range("workers.handshake_trips", backends.handshake_trips, 0.0, 10.0);
    problems.require_range("workers.choke_at", backends.degraded_at, 0.0, 1e6);
    problems.require_range("workers.choke_over_s", backends.degraded_after_s, 0.0, 1e4);
    problems.require_range("workers.choke_slower", backends.degraded_slowdown, 1.0, 1e3);
    problems.require_range(
        "workers.choke_rest",
        backends.degraded_recovery.0.min(backends.degraded_recovery.1),
        0.0,
        1e4,
    );
    problems.require_range("workers.choke_most_s", backends.max_degraded_s, 0.0, 1e6);
    problems.require_range("workers.connect_timeout_ms", backends.connect_timeout_ms, 1.0, 1e5);
}

fn validate_origin(origin: &OriginSpec, problems: &mut Problems) {
    problems.require_range("origin.headroom", origin.headroom, 0.01, 1e6);
    problems.require_range("origin.usual_load", origin.reference_load, 0.01, 10.0);
    problems.require_range("origin.fetch_ms", origin.fetch_ms, 0.01, 1e5);
    problems.require_range("origin.work_cv", origin.work_cv, 0.0, 10.0);
    problems.require_range("origin.write_work", origin.write_work, 0.01, 100.0);
    problems.require_range("origin.queue_s", origin.queue_s, 0.0, 100.0);
    problems.require_range("origin.fall_multiple", origin.overload_multiple, 1.0, 1e6);
    problems.require_range("origin.fall_s", origin.overload_window_s, 0.1, 100.0);
}

fn validate_load(load: &Load, problems: &mut Problems) {
    problems.require_range("load.share", load.share, 0.0, 100.0);
    problems.require_range("load.rate", load.rate, 0.0, 1e6);
    problems.require_range("load.swing", load.swing, 0.0, 1.0);
    problems.require_range("load.zone_skew", load.zone_skew, 0.0, 0.99);
}

fn validate_keys(keys: &Keys, problems: &mut Problems) {
    problems.require_range("keys.count", keys.count as f64, 1.0, 1e7);
    problems.require_range("keys.zipf", keys.zipf, 0.0, 5.0);
    problems.require_range("keys.offset", keys.offset, 0.0, 1e6);
    problems.require_range("keys.drift", keys.drift, 0.0, 1.0);
    problems.require_range("keys.hits", keys.hit_rate, 0.0, 1.0);
    problems.require_range("keys.size_cv", keys.size_cv, 0.0, 10.0);
    problems.require_range("keys.keep_s", keys.ttl_s, 0.0, 1e6);
}

fn validate_clients(clients: &Clients, problems: &mut Problems) {
    problems.require_range("clients.retries", clients.retries.into(), 0.0, 100.0);
    problems.require_range(
        "clients.try_share",
        clients.attempt_timeout_share.0,
        0.01,
        clients.attempt_timeout_share.1,
    );
    problems.require_range("clients.try_share", clients.attempt_timeout_share.1, 0.01, 1.0);
    problems.require_range("clients.honour", clients.honors_retry_after_share, 0.0, 1.0);
    problems.require_range("clients.impatient", clients.early_leave_share, 0.0, 1.0);
}

fn validate_rules(rules: &Rules, problems: &mut Problems) {
    problems.require_range("rules.max_attempts", rules.max_attempts.into(), 1.0, 100.0);
    problems.require_range("rules.cold_from", rules.initial_capacity_share, 0.01, 1.0);
    problems.require_range("rules.fall_multiple", rules.overload_multiple, 1.0, 1e6);
    problems.require_range("rules.fall_s", rules.overload_window_s, 0.1, 100.0);
}

fn validate_classes(classes: &[ClassSpec], problems: &mut Problems) {
    for (i, c) in classes.iter().enumerate() {
        problems.require_range(&format!("class.{i}.share"), c.share, 0.0, 1e6);
        problems.require_range(&format!("class.{i}.work_ms"), c.work_ms, 0.0, 1e5);
        problems.require_range(&format!("class.{i}.work_cv"), c.work_cv, 0.0, 10.0);
        problems.require_range(&format!("class.{i}.aim_ms"), c.latency_objective_ms, 1.0, c.deadline_ms);
        problems.require_range(&format!("class.{i}.deadline_ms"), c.deadline_ms, 1.0, 600_000.0);
        problems.require_range(&format!("class.{i}.worth"), c.priority_weight, 0.0, 1e6);
        problems.require_range(&format!("class.{i}.late_worth"), c.late_value_share, 0.0, 1.0);
        let min = if c.effect == EffectName::Deduplicated { 1.0 } else { 0.0 };
        problems.require_range(&format!("class.{i}.window_ms"), c.window_ms, min, 1e6);
    }
}

fn validate_tenants(tenants: &[TenantSpec], problems: &mut Problems) {
    for (i, t) in tenants.iter().enumerate() {
        problems.require_range(&format!("tenant.{i}.share"), t.share, 0.0, 1.0);
        problems.require_range(&format!("tenant.{i}.usage"), t.usage, 0.0, 100.0);
    }
}
