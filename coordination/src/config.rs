//! Settings files of group members and proxies (TOML), checked before startup. Errors name the file, the
//! line and the field.
//!
//! ```toml
//! [group]
//! id = 1                       # id of this member
//! data = "m1"                  # data directory, kept across restarts
//!
//! [[member]]
//! id = 1
//! peer = "127.0.0.1:7101"      # address for other members
//! client = "127.0.0.1:7201"    # address for proxies and operators
//!
//! [timing]                     # optional; the values shown are the defaults
//! tick_ms = 100
//! election_ticks = 10
//! heartbeat_ticks = 3
//!
//! [lease]                      # optional
//! min_ttl_ms = 500
//! max_ttl_ms = 60000
//! max_tasks = 4096
//!
//! [drift]                      # optional; bounds on clock drift
//! rate_ppm = 10000
//! margin_ms = 100
//! ```

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::holder::Drift;
use crate::lease::{is_name, Bounds};
use crate::membership::MemberAddr;
use crate::membership::MAX_MEMBERS;
use crate::raft_node::RaftTiming;
use crate::session::Endpoint;
use crate::shard_map::{ShardMapParameters, MAX_NAME_BYTES};
use crate::versioned_config::DEFAULT_WITHIN_MS;
use crate::versioned_config::{BlockRules, ConfirmationTiming};

/// Upper limit of the `lease.max_tasks` setting. A snapshot of the lease table must fit into one frame.
const MAX_TABLE_TASKS: usize = 8192;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    group: Group,
    member: Vec<MemberAddr>,
    #[serde(default)]
    timing: Timing,
    #[serde(default)]
    lease: Lease,
    #[serde(default)]
    drift: DriftFile,
    versions: Option<VersionsFile>,
}

/// The `[versions]` section, with the same keys in the files of members and proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionsFile {
    #[serde(default = "default_within_ms")]
    within_ms: u64,
    #[serde(default)]
    guard: BlockRules,
}

fn default_within_ms() -> u64 {
    DEFAULT_WITHIN_MS
}

impl VersionsFile {
    fn check(&self, file: &str, text: &str, drift: Drift) -> Result<ConfirmationTiming, String> {
        let terms = ConfirmationTiming { within_ms: self.within_ms, drift };
        let line = |section: &str, field: &str| line_of(text, section, field);
        terms
            .check()
            .map_err(|why| format!("{file}:{}: versions.within_ms: {why}", line("versions", "within_ms")))?;
        let guard = |(field, why): (&str, String)| {
            format!("{file}:{}: versions.guard: {field}: {why}", line("versions.guard", ""))
        };
        self.guard.check().map_err(guard)?;
        Ok(terms)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    id: u64,
    data: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Timing {
    tick_ms: u64,
    election_ticks: usize,
    heartbeat_ticks: usize,
}

impl Default for Timing {
    fn default() -> Self {
        let p = RaftTiming::default();
        Timing { tick_ms: p.tick_ms, election_ticks: p.election_ticks, heartbeat_ticks: p.heartbeat_ticks }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Lease {
    min_ttl_ms: u64,
    max_ttl_ms: u64,
    max_tasks: usize,
}

impl Default for Lease {
    fn default() -> Self {
        let b = Bounds::default();
        Lease { min_ttl_ms: b.min_ttl_ms, max_ttl_ms: b.max_ttl_ms, max_tasks: b.max_tasks }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct DriftFile {
    rate_ppm: u64,
    margin_ms: u64,
}

impl Default for DriftFile {
    fn default() -> Self {
        let d = Drift::default();
        DriftFile { rate_ppm: d.rate_ppm, margin_ms: d.margin_ms }
    }
}

/// Validated settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// Id of this member.
    pub id: u64,
    /// Data directory.
    pub data: PathBuf,
    /// All members, including this one.
    pub members: Vec<MemberAddr>,
    /// Tick, election and heartbeat intervals.
    pub pace: RaftTiming,
    /// Limits of the lease table.
    pub bounds: Bounds,
    /// Bounds on clock drift.
    pub drift: Drift,
    /// Timing of configuration versions.
    pub terms: ConfirmationTiming,
    /// Rules that a configuration version may contain.
    pub guard: BlockRules,
}

impl GroupConfig {
    /// Returns the addresses of this member.
    pub fn me(&self) -> &MemberAddr {
        self.members.iter().find(|m| m.id == self.id).unwrap_or(&self.members[0])
    }
}

/// Parses and validates the settings of a member. `file` is the file name used in errors.
pub fn parse(file: &str, text: &str) -> Result<GroupConfig, String> {
    let raw: File = toml::from_str(text).map_err(|e| at_span(file, text, &e))?;
    let at = |section: &str, field: &str, why: String| {
        format!("{file}:{}: {section}.{field}: {why}", line_of(text, section, field))
    };
    let ids: BTreeSet<u64> = raw.member.iter().map(|m| m.id).collect();
    if ids.len() != raw.member.len() || ids.contains(&0) {
        return Err(at("member", "id", "member ids must be unique and not 0".into()));
    }
    // Even counts are allowed, because members are added and removed one at a time.
    if raw.member.len() > MAX_MEMBERS {
        return Err(at(
            "member",
            "id",
            format!("at most {MAX_MEMBERS} members are allowed, got {}", raw.member.len()),
        ));
    }
    if !ids.contains(&raw.group.id) {
        return Err(at("group", "id", format!("{} is not the id of a [[member]]", raw.group.id)));
    }
    let t = &raw.timing;
    if !(10..=10_000).contains(&t.tick_ms) {
        return Err(at("timing", "tick_ms", "must be from 10 to 10000".into()));
    }
    if t.heartbeat_ticks == 0 || t.election_ticks <= t.heartbeat_ticks {
        return Err(at(
            "timing",
            "election_ticks",
            "must be greater than heartbeat_ticks, which must be at least 1".into(),
        ));
    }
    let l = &raw.lease;
    let election_ms = t.tick_ms * t.election_ticks as u64;
    if l.min_ttl_ms < 2 * t.tick_ms || l.max_ttl_ms < l.min_ttl_ms {
        return Err(at("lease", "min_ttl_ms", "must be at least two ticks and at most max_ttl_ms".into()));
    }
    // A TTL shorter than an election would let every grant expire at a change of leader.
    if l.max_ttl_ms < election_ms {
        return Err(at(
            "lease",
            "max_ttl_ms",
            format!("must be at least the election timeout ({election_ms} ms)"),
        ));
    }
    // Larger tables would not fit into a snapshot frame.
    if l.max_tasks == 0 || l.max_tasks > MAX_TABLE_TASKS {
        return Err(at("lease", "max_tasks", format!("must be from 1 to {MAX_TABLE_TASKS}")));
    }
    if raw.drift.rate_ppm > 100_000 || raw.drift.margin_ms * 2 > l.min_ttl_ms {
        return Err(at(
            "drift",
            "rate_ppm",
            "must be at most 100000 (10 %), and margin_ms at most half of lease.min_ttl_ms".into(),
        ));
    }
    let drift = Drift { rate_ppm: raw.drift.rate_ppm, margin_ms: raw.drift.margin_ms };
    let versions =
        raw.versions.unwrap_or(VersionsFile { within_ms: DEFAULT_WITHIN_MS, guard: BlockRules::default() });
    let terms = versions.check(file, text, drift)?;
    Ok(GroupConfig {
        id: raw.group.id,
        data: raw.group.data,
        members: raw.member,
        pace: RaftTiming {
            tick_ms: t.tick_ms,
            election_ticks: t.election_ticks,
            heartbeat_ticks: t.heartbeat_ticks,
            ..RaftTiming::default()
        },
        bounds: Bounds {
            max_tasks: l.max_tasks,
            min_ttl_ms: l.min_ttl_ms,
            max_ttl_ms: l.max_ttl_ms,
            ..Bounds::default()
        },
        drift,
        terms,
        guard: versions.guard,
    })
}

/// A periodic HTTP call that the proxy holding the task's lease makes for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Name of the task in the lease group.
    pub name: String,
    /// TTL of the lease, in milliseconds. Defaults to 5000.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Address that the lease holder calls.
    pub call: SocketAddr,
    /// Request path of the call. Defaults to `/`.
    #[serde(default = "default_path")]
    pub path: String,
    /// Interval between calls, in milliseconds. Defaults to 1000.
    #[serde(default = "default_every_ms")]
    pub every_ms: u64,
}

fn default_ttl_ms() -> u64 {
    5_000
}

fn default_path() -> String {
    "/".to_owned()
}

fn default_every_ms() -> u64 {
    1_000
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberEntry {
    id: u64,
    client: SocketAddr,
    /// Ignored. Lets a proxy use the member list of a group member unchanged.
    #[serde(rename = "peer")]
    _peer: Option<SocketAddr>,
}

/// Settings of the replica store of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CopiesConfig {
    /// Name of the machine. Replicas of a shard are placed on different machines.
    pub machine: String,
    /// Name of the zone. Defaults to `-`.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// Listen address for other proxies.
    pub listen: SocketAddr,
    /// Address that other proxies connect to, if it differs from `listen`.
    pub peer: Option<SocketAddr>,
    /// Data directory, kept across restarts.
    pub data: PathBuf,
    /// Number of shards. Must be the same for all proxies.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// Target number of replicas per shard.
    #[serde(default = "default_copies")]
    pub copies: usize,
    /// Minimum number of in-sync replicas for a shard to accept writes.
    #[serde(default = "default_least")]
    pub least: usize,
}

impl CopiesConfig {
    /// Returns the replication parameters of this file.
    pub fn shape(&self) -> ShardMapParameters {
        ShardMapParameters { shards: self.shards, copies: self.copies, least: self.least }
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        for (field, name) in [("machine", &self.machine), ("zone", &self.zone)] {
            if !is_name(name, MAX_NAME_BYTES) {
                return Err((
                    field,
                    format!("must be 1 to {MAX_NAME_BYTES} bytes of A-Z a-z 0-9 . _ : / @ -"),
                ));
            }
        }
        self.shape().check()
    }
}

fn default_zone() -> String {
    "-".to_owned()
}

fn default_shards() -> u32 {
    64
}

fn default_copies() -> usize {
    3
}

fn default_least() -> usize {
    2
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TasksFile {
    member: Vec<MemberEntry>,
    #[serde(default)]
    task: Vec<Task>,
    #[serde(default)]
    drift: DriftFile,
    versions: Option<VersionsFile>,
    copies: Option<CopiesConfig>,
}

/// Validated settings of a proxy, or of an operator's client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TasksConfig {
    /// Members of the group, by id and client address.
    pub members: Vec<Endpoint>,
    /// Periodic calls to make while holding their leases.
    pub tasks: Vec<Task>,
    /// Bounds on clock drift.
    pub drift: Drift,
    /// Rules that configuration versions may contain. `None` if the proxy does not apply versions.
    pub guard: Option<BlockRules>,
    /// Settings of the replica store. `None` if the proxy stores no replicas.
    pub copies: Option<CopiesConfig>,
}

/// Maximum number of tasks of one proxy.
pub const MAX_PROXY_TASKS: usize = 64;

/// Parses and validates the settings of a proxy. `file` is the file name used in errors.
pub fn parse_tasks(file: &str, text: &str) -> Result<TasksConfig, String> {
    let raw: TasksFile = toml::from_str(text).map_err(|e| at_span(file, text, &e))?;
    let bounds = Bounds::default();
    let names: BTreeSet<&str> = raw.task.iter().map(|t| t.name.as_str()).collect();
    let wrong = |n: usize, field: &str, why: String| {
        Err(format!("{file}:{}: task.{field}: {why}", line_of_nth(text, "task", n, field)))
    };
    if raw.member.is_empty() || raw.member.len() > MAX_MEMBERS {
        return Err(format!("{file}:1: member: must list 1 to {MAX_MEMBERS} members"));
    }
    if raw.task.len() > MAX_PROXY_TASKS || names.len() != raw.task.len() {
        return wrong(0, "name", format!("at most {MAX_PROXY_TASKS} tasks are allowed, with unique names"));
    }
    for (n, task) in raw.task.iter().enumerate() {
        if !is_name(&task.name, bounds.max_name) {
            return wrong(
                n,
                "name",
                format!("must be 1 to {} bytes of A-Z a-z 0-9 . _ : / @ -", bounds.max_name),
            );
        }
        if !(bounds.min_ttl_ms..=bounds.max_ttl_ms).contains(&task.ttl_ms) {
            return wrong(
                n,
                "ttl_ms",
                format!("must be from {} to {}", bounds.min_ttl_ms, bounds.max_ttl_ms),
            );
        }
        if raw.drift.margin_ms * 2 > task.ttl_ms || raw.drift.rate_ppm > 100_000 {
            return wrong(
                n,
                "ttl_ms",
                "must be at least twice drift.margin_ms, and drift.rate_ppm at most 100000".into(),
            );
        }
        if !(10..=3_600_000).contains(&task.every_ms) {
            return wrong(n, "every_ms", "must be from 10 to 3600000".into());
        }
        let plain = task.path.starts_with('/') && task.path.bytes().all(|b| b.is_ascii_graphic());
        if !plain || task.path.len() > 256 {
            return wrong(
                n,
                "path",
                "must begin with / and have at most 256 printable ASCII characters".into(),
            );
        }
    }
    let drift = Drift { rate_ppm: raw.drift.rate_ppm, margin_ms: raw.drift.margin_ms };
    if let Some(Err((field, why))) = raw.copies.as_ref().map(CopiesConfig::check) {
        return Err(format!("{file}:{}: copies.{field}: {why}", line_of(text, "copies", field)));
    }
    let guard = raw.versions.map(|v| v.check(file, text, drift).map(|_| v.guard)).transpose()?;
    Ok(TasksConfig {
        members: raw.member.iter().map(|m| (m.id, m.client)).collect(),
        tasks: raw.task,
        drift,
        guard,
        copies: raw.copies,
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct RulesFile {
    block: BlockFile,
    workers: WorkersFile,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BlockFile {
    classes: BTreeSet<String>,
    keys: BTreeSet<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WorkersFile {
    out: BTreeSet<String>,
}

/// Parses and validates a rules file. Rules outside `guard` are rejected if it is given.
pub fn parse_rules(file: &str, text: &str, guard: Option<&BlockRules>) -> Result<BlockRules, String> {
    let raw: RulesFile = toml::from_str(text).map_err(|e| at_span(file, text, &e))?;
    let rules = BlockRules { classes: raw.block.classes, keys: raw.block.keys, workers: raw.workers.out };
    let line =
        |field: &str| field.split_once('.').map_or(1, |(section, field)| line_of(text, section, field));
    rules.check().map_err(|(field, why)| format!("{file}:{}: {field}: {why}", line(field)))?;
    match guard.and_then(|guard| rules.outside(guard)) {
        Some((field, name)) => {
            Err(format!("{file}:{}: {field}: '{name}' is not covered by versions.guard", line(field)))
        }
        None => Ok(rules),
    }
}

/// Formats a TOML error with the file and the line that it occurred in.
pub fn at_span(file: &str, text: &str, error: &toml::de::Error) -> String {
    let line = error.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
    format!("{file}:{line}: {}", error.message().replace('\n', "; "))
}

/// Returns the line of `field` in the first `[section]` or `[[section]]` that contains it, or the line of
/// the section header.
fn line_of(text: &str, section: &str, field: &str) -> usize {
    line_of_nth(text, section, usize::MAX, field)
}

/// Like [`line_of`], but only for the `n`th `[[section]]`, counted from 0. `usize::MAX` searches all
/// sections.
fn line_of_nth(text: &str, section: &str, n: usize, field: &str) -> usize {
    let (mut header, mut inside, mut seen) = (None, false, 0);
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let named = line.trim_matches(|c| c == '[' || c == ']').trim() == section;
            inside = named && (n == usize::MAX || seen == n);
            seen += usize::from(named);
            header = header.or(inside.then_some(at + 1));
        } else if inside && line.split('=').next().is_some_and(|k| k.trim() == field) {
            return at + 1;
        }
    }
    header.unwrap_or(1)
}

#[cfg(test)]
mod tests;
