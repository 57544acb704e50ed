//! A play's sizes, clocks, network and faults, as a TOML file has them.

use notchdoor_coordination::config::at_span;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Who a fault is about. The leader and the holder are whoever is so when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    /// The member that leads.
    Leader,
    /// A member, by its place among those there are.
    Member(u64),
    /// The client that holds the first task.
    Holder,
    /// A client, by its number.
    Client(usize),
}

/// What a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Killed; a member comes back with its disk, a client as another holder.
    Kill,
    /// Its clockwork stops; what comes waits for it.
    Pause,
    /// Cut off from the group in both directions; a client still reaches what it acts on.
    Cut,
    /// It hears nobody of the group, and is heard.
    Deaf,
    /// Nobody of the group hears it, and it hears.
    Mute,
    /// All that it says comes late by up to a second.
    Slow,
    /// A client's actions stay in the network and come in the end.
    Held,
    /// A member is removed for good and a new one added. Has no length.
    Replace,
}

/// All kinds.
pub const KINDS: [Kind; 8] =
    [Kind::Kill, Kind::Pause, Kind::Cut, Kind::Deaf, Kind::Mute, Kind::Slow, Kind::Held, Kind::Replace];

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// What it is.
    pub kind: Kind,
    /// Whom it befalls.
    pub who: Who,
}

/// A play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// For everything that is drawn.
    pub seed: u64,
    /// Members that found the group.
    #[serde(default = "three")]
    pub members: u64,
    /// Proxies that want the tasks.
    #[serde(default = "usual_clients")]
    pub clients: usize,
    /// Tasks.
    #[serde(default = "one")]
    pub tasks: usize,
    /// Their TTL.
    #[serde(default = "usual_ttl")]
    pub ttl_ms: u64,
    /// The share of messages that are lost.
    #[serde(default)]
    pub loss: f64,
    /// The share that come twice.
    #[serde(default)]
    pub copies: f64,
    /// Clocks run faster or slower by at most this many millionths.
    #[serde(default = "usual_drift")]
    pub drift_ppm: u64,
    /// The stated bound on how long two proxies may contradict each other; 0 for no versions.
    #[serde(default)]
    pub within_ms: u64,
    /// When operators apply a new version each, made on the newest that they see.
    #[serde(default)]
    pub applies_ms: Vec<u64>,
    /// The faults.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

fn three() -> u64 {
    3
}

fn usual_clients() -> usize {
    3
}

fn one() -> usize {
    1
}

fn usual_ttl() -> u64 {
    2_000
}

fn usual_drift() -> u64 {
    10_000
}

impl Schedule {
    /// A quiet play of this seed, with the usual sizes.
    pub fn quiet(seed: u64) -> Schedule {
        Schedule {
            seed,
            members: three(),
            clients: usual_clients(),
            tasks: one(),
            ttl_ms: usual_ttl(),
            loss: 0.0,
            copies: 0.0,
            drift_ppm: usual_drift(),
            within_ms: 0,
            applies_ms: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// When the last fault is over.
    pub fn healed_ms(&self) -> u64 {
        self.faults.iter().map(|f| f.at_ms + f.for_ms).max().unwrap_or(0)
    }

    /// What is wrong with it, if anything.
    pub fn check(&self) -> Result<(), String> {
        let within =
            |what: &str, good: bool, range: &str| good.then_some(()).ok_or(format!("{what}: {range}"));
        within("members", [1, 3, 5].contains(&self.members), "1, 3 or 5")?;
        within("clients", (1..=2_000).contains(&self.clients), "from 1 to 2000")?;
        within("tasks", (1..=16).contains(&self.tasks), "from 1 to 16")?;
        within("ttl_ms", (500..=60_000).contains(&self.ttl_ms), "from 500 to 60000")?;
        within("loss", (0.0..=0.3).contains(&self.loss), "from 0 to 0.3")?;
        within("copies", (0.0..=0.3).contains(&self.copies), "from 0 to 0.3")?;
        within("drift_ppm", self.drift_ppm <= 100_000, "at most 100000")?;
        let bound = self.within_ms == 0 || (500..=60_000).contains(&self.within_ms);
        within("within_ms", bound, "0, or from 500 to 60000")?;
        within("applies_ms", self.applies_ms.len() <= 64, "at most 64")?;
        within("fault", self.faults.len() <= 64, "at most 64")?;
        let late = |f: &&Fault| f.at_ms > 600_000 || f.for_ms > 60_000;
        match self.faults.iter().find(late) {
            Some(_) => Err("fault: at_ms at most 600000, for_ms at most 60000".to_owned()),
            None => Ok(()),
        }
    }

    /// Reads one; the error names the file, the line and the field.
    pub fn parse(file: &str, text: &str) -> Result<Schedule, String> {
        let schedule: Schedule = toml::from_str(text).map_err(|e| at_span(file, text, &e))?;
        schedule.check().map_err(|why| format!("{file}: {why}"))?;
        Ok(schedule)
    }

    /// As a file has it.
    pub fn write(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }
}

/// A random schedule. Each has a random subset of the kinds, so that rare ones are not drowned by
/// the others.
pub fn random(seed: u64, rng: &mut impl Rng) -> Schedule {
    let mut schedule = Schedule::quiet(seed);
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    schedule.members = if rng.random_bool(0.25) { 5 } else { 3 };
    schedule.clients = rng.random_range(2..=5);
    schedule.tasks = rng.random_range(1..=2);
    schedule.ttl_ms = rng.random_range(6..=40) * 100;
    schedule.loss = if rng.random() { round(rng.random_range(0.0..0.1)) } else { 0.0 };
    schedule.copies = if rng.random() { round(rng.random_range(0.0..0.1)) } else { 0.0 };
    if rng.random_bool(0.7) {
        schedule.within_ms = rng.random_range(15..=60) * 100;
        let applies = rng.random_range(1..=5);
        schedule.applies_ms = (0..applies).map(|_| 3_000 + rng.random_range(0..140) * 100).collect();
        schedule.applies_ms.sort_unstable();
    }
    let on: Vec<Kind> = KINDS.into_iter().filter(|_| rng.random()).collect();
    let kinds = if on.is_empty() { vec![Kind::Pause] } else { on };
    for _ in 0..rng.random_range(1..=8) {
        let kind = kinds[rng.random_range(0..kinds.len())];
        // One member that the clients' files name has to stay.
        let replaced = schedule.faults.iter().filter(|f| f.kind == Kind::Replace).count();
        let kind =
            if kind == Kind::Replace && replaced as u64 + 1 >= schedule.members { Kind::Kill } else { kind };
        let member = match rng.random_range(0..3) {
            0 => Who::Leader,
            _ => Who::Member(rng.random_range(0..schedule.members)),
        };
        let client = match rng.random_range(0..3) {
            0 => Who::Client(rng.random_range(0..schedule.clients)),
            _ => Who::Holder,
        };
        let who = match kind {
            Kind::Held => client,
            Kind::Replace => member,
            _ if rng.random() => member,
            _ => client,
        };
        let for_ms = match kind {
            Kind::Replace => 0,
            _ => rng.random_range(1..=3 * schedule.ttl_ms / 100) * 100,
        };
        schedule.faults.push(Fault { at_ms: 3_000 + rng.random_range(0..120) * 100, for_ms, kind, who });
    }
    schedule.faults.sort_by_key(|f| f.at_ms);
    schedule
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    #[test]
    fn a_schedule_is_the_same_after_it_was_written_and_a_wrong_one_is_named() {
        for seed in 0..50 {
            let schedule = random(seed, &mut ChaCha8Rng::seed_from_u64(seed));
            let text = schedule.write().unwrap();
            assert_eq!(Schedule::parse("s.toml", &text).unwrap(), schedule);
        }
        let wrong = "seed = 1\nloss = 0.1\n[[fault]]\nat_ms = 5\nkind = \"explode\"\nwho = \"leader\"\n";
        let error = Schedule::parse("s.toml", wrong).unwrap_err();
        assert!(error.starts_with("s.toml:5: unknown variant `explode`"), "{error}");
        let many = Schedule::parse("s.toml", "seed = 1\nclients = 9000\n").unwrap_err();
        assert_eq!(many, "s.toml: clients: from 1 to 2000");
    }
}
