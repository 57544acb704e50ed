//! The lease group's settings file (TOML), checked before anything starts. Every error names the
//! file, the line and the field.
//!
//! ```toml
//! [group]
//! id = 1                       # this member
//! data = "m1"                  # its folder; kept across restarts
//!
//! [[member]]
//! id = 1
//! peer = "127.0.0.1:7101"      # where members talk
//! client = "127.0.0.1:7201"    # where proxies and operators ask
//!
//! [timing]                     # optional, these are the defaults
//! tick_ms = 100
//! election_ticks = 10
//! heartbeat_ticks = 3
//!
//! [lease]                      # optional
//! min_ttl_ms = 500
//! max_ttl_ms = 60000
//! max_tasks = 4096
//!
//! [drift]                      # optional: the stated bound on clocks
//! rate_ppm = 10000
//! margin_ms = 100
//! ```

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::holder::Drift;
use crate::lease::Bounds;
use crate::member::Pace;

/// One member as the file names it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberAddr {
    /// Its id, never 0 and never used twice in a group's life.
    pub id: u64,
    /// Where members talk to it.
    pub peer: SocketAddr,
    /// Where proxies and operators ask it.
    pub client: SocketAddr,
}

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
        let p = Pace::default();
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

/// A checked settings file of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// This member's id.
    pub id: u64,
    /// Its folder.
    pub data: PathBuf,
    /// All members, this one among them.
    pub members: Vec<MemberAddr>,
    /// Ticks and elections.
    pub pace: Pace,
    /// What the table takes.
    pub bounds: Bounds,
    /// The stated bound on clocks.
    pub drift: Drift,
}

impl GroupConfig {
    /// This member's addresses.
    pub fn me(&self) -> &MemberAddr {
        self.members.iter().find(|m| m.id == self.id).unwrap_or(&self.members[0])
    }
}

/// Reads and checks a member's settings; `file` is what errors call it.
pub fn parse(file: &str, text: &str) -> Result<GroupConfig, String> {
    let raw: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
        format!("{file}:{line}: {}", e.message().replace('\n', "; "))
    })?;
    let at = |section: &str, field: &str, why: String| {
        format!("{file}:{}: {section}.{field}: {why}", line_of(text, section, field))
    };
    let ids: BTreeSet<u64> = raw.member.iter().map(|m| m.id).collect();
    if ids.len() != raw.member.len() || ids.contains(&0) {
        return Err(at("member", "id", "each member has its own id, not 0".into()));
    }
    if ![1, 3, 5, 7].contains(&raw.member.len()) {
        return Err(at(
            "member",
            "id",
            format!("1, 3, 5 or 7 members, not {}: an even count survives no more", raw.member.len()),
        ));
    }
    if !ids.contains(&raw.group.id) {
        return Err(at("group", "id", format!("{} is not among the members", raw.group.id)));
    }
    let t = &raw.timing;
    if !(10..=10_000).contains(&t.tick_ms) {
        return Err(at("timing", "tick_ms", "from 10 to 10000".into()));
    }
    if t.heartbeat_ticks == 0 || t.election_ticks <= t.heartbeat_ticks {
        return Err(at("timing", "election_ticks", "more than heartbeat_ticks, which is at least 1".into()));
    }
    let l = &raw.lease;
    let election_ms = t.tick_ms * t.election_ticks as u64;
    if l.min_ttl_ms < 2 * t.tick_ms || l.max_ttl_ms < l.min_ttl_ms {
        return Err(at("lease", "min_ttl_ms", "at least two ticks, at most max_ttl_ms".into()));
    }
    // A grant shorter than an election ends at every change of leader.
    if l.max_ttl_ms < election_ms {
        return Err(at("lease", "max_ttl_ms", format!("at least an election ({election_ms} ms)")));
    }
    if l.max_tasks == 0 || l.max_tasks > 1 << 20 {
        return Err(at("lease", "max_tasks", "from 1 to 1048576".into()));
    }
    if raw.drift.rate_ppm > 100_000 || raw.drift.margin_ms * 2 > l.min_ttl_ms {
        return Err(at(
            "drift",
            "rate_ppm",
            "at most 100000 (10 %), with margin_ms under half of min_ttl_ms".into(),
        ));
    }
    Ok(GroupConfig {
        id: raw.group.id,
        data: raw.group.data,
        members: raw.member,
        pace: Pace {
            tick_ms: t.tick_ms,
            election_ticks: t.election_ticks,
            heartbeat_ticks: t.heartbeat_ticks,
            ..Pace::default()
        },
        bounds: Bounds {
            max_tasks: l.max_tasks,
            min_ttl_ms: l.min_ttl_ms,
            max_ttl_ms: l.max_ttl_ms,
            ..Bounds::default()
        },
        drift: Drift { rate_ppm: raw.drift.rate_ppm, margin_ms: raw.drift.margin_ms },
    })
}

/// The line where `field` is written in `[section]` (or `[[section]]`), else the section's line.
fn line_of(text: &str, section: &str, field: &str) -> usize {
    let (mut header, mut inside) = (None, false);
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line.trim_matches(|c| c == '[' || c == ']').trim() == section;
            header = header.or(inside.then_some(n + 1));
        } else if inside && line.split('=').next().is_some_and(|k| k.trim() == field) {
            return n + 1;
        }
    }
    header.unwrap_or(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const THREE: &str = "[group]\nid = 2\ndata = \"m2\"\n\n[[member]]\nid = 1\npeer = \"127.0.0.1:7101\"\nclient = \"127.0.0.1:7201\"\n\n[[member]]\nid = 2\npeer = \"127.0.0.1:7102\"\nclient = \"127.0.0.1:7202\"\n\n[[member]]\nid = 3\npeer = \"127.0.0.1:7103\"\nclient = \"127.0.0.1:7203\"\n";

    #[test]
    fn a_group_of_three_is_read_and_errors_name_line_and_field() {
        let config = parse("g.toml", THREE).unwrap();
        assert_eq!((config.id, config.me().peer.port(), config.pace.election_ticks), (2, 7102, 10));
        let bad = THREE.replace("id = 2\ndata", "id = 9\ndata");
        assert_eq!(parse("g.toml", &bad).unwrap_err(), "g.toml:2: group.id: 9 is not among the members");
        let short = format!("{THREE}\n[lease]\nmax_ttl_ms = 800\n");
        assert_eq!(
            parse("g.toml", &short).unwrap_err(),
            "g.toml:21: lease.max_ttl_ms: at least an election (1000 ms)"
        );
        let typo = THREE.replace("peer = \"127.0.0.1:7103\"", "peer = \"127.0.0.1:71o3\"");
        assert!(
            parse("g.toml", &typo).unwrap_err().starts_with("g.toml:17: "),
            "{}",
            parse("g.toml", &typo).unwrap_err()
        );
    }
}
