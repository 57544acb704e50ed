//! Random schedules until one breaks a property, and the smallest schedule that still breaks it.

use super::schedule::{random, Schedule};
use super::world::{play_variant, Breach, Played, Variant};
use crate::experiment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;

/// A schedule that breaks a property.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The schedule.
    pub schedule: Schedule,
    /// What it breaks.
    pub breach: Breach,
}

/// What a search came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Searched {
    /// Schedules played.
    pub plays: u64,
    /// Faults in them.
    pub faults: u64,
    /// Actions let in, and refused by the fence.
    pub admitted: u64,
    /// See `admitted`.
    pub refused: u64,
    /// Tasks that went from one holder to another.
    pub handovers: u64,
    /// Leaders elected.
    pub leaders: u64,
    /// Virtual seconds.
    pub seconds: u64,
    /// Versions that came into force.
    pub versions: u64,
    /// The longest disagreement of two clients, as a share of the stated bound in thousandths, and in
    /// milliseconds.
    pub disagreed: (u64, u64),
    /// Those that break a property, by their seeds.
    pub found: Vec<Found>,
}

impl Searched {
    /// Counts a play.
    pub fn add(&mut self, schedule: &Schedule, played: Played) {
        self.plays += 1;
        self.faults += schedule.faults.len() as u64;
        self.admitted += played.checked.admitted as u64;
        self.refused += played.checked.refused as u64;
        self.handovers += played.checked.handovers as u64;
        self.leaders += played.leaders;
        self.seconds += played.length_ms / 1_000;
        self.versions += played.versions;
        // No bound, no share of it.
        if let Some(share) = (1_000 * played.disagreed_ms).checked_div(schedule.within_ms) {
            self.disagreed = self.disagreed.max((share, played.disagreed_ms));
        }
        self.found.extend(played.breach.map(|breach| Found { schedule: schedule.clone(), breach }));
    }
}

/// The random schedule of a seed.
pub fn schedule(seed: u64) -> Schedule {
    random(seed, &mut ChaCha8Rng::seed_from_u64(seed))
}

/// Plays the schedules of so many seeds, from the given one on; the same for any number of threads.
pub fn search(
    from: u64,
    plays: u64,
    variant: Variant,
    threads: usize,
    quiet: bool,
) -> Result<Searched, String> {
    let bar = experiment::bar(plays, quiet);
    let played: Vec<_> = experiment::pool(threads)?.install(|| {
        (from..from.saturating_add(plays))
            .into_par_iter()
            .map(|seed| {
                let schedule = schedule(seed);
                let played = play_variant(&schedule, variant);
                bar.inc(1);
                (schedule, played)
            })
            .collect()
    });
    bar.finish_and_clear();
    let mut all = Searched::default();
    for (schedule, played) in played {
        all.add(&schedule, played);
    }
    Ok(all)
}

/// Plays that shrinking makes at the most.
const MOST_TRIES: usize = 1_500;

/// The smallest schedule found that breaks the same property: fewer faults, shorter ones, a smaller
/// fleet, a network without losses.
pub fn shrink(found: &Found, variant: Variant) -> Found {
    let (mut best, mut tries) = (found.clone(), 0);
    let mut again = true;
    while again && tries < MOST_TRIES {
        again = false;
        for smaller in candidates(&best.schedule) {
            tries += 1;
            let breach = play_variant(&smaller, variant).breach.filter(|b| b.rule == best.breach.rule);
            if let Some(breach) = breach {
                best = Found { schedule: smaller, breach };
                again = true;
                break;
            }
            if tries >= MOST_TRIES {
                break;
            }
        }
    }
    best
}

/// Smaller schedules, the boldest steps first. What is taken away moves chance for the rest, so each
/// comes on two further seeds as well.
fn candidates(schedule: &Schedule) -> Vec<Schedule> {
    let mut all = Vec::new();
    let mut put = |change: &dyn Fn(&mut Schedule)| {
        let mut smaller = schedule.clone();
        change(&mut smaller);
        if smaller != *schedule {
            all.extend((0..3).map(|n| Schedule { seed: smaller.seed + n, ..smaller.clone() }));
        }
    };
    let count = schedule.faults.len();
    if count > 1 {
        put(&|s| s.faults.truncate(count / 2));
        put(&|s| s.faults = s.faults.split_off(count / 2));
    }
    for i in 0..count {
        put(&|s| _ = s.faults.remove(i));
        for j in i + 1..count {
            put(&|s| _ = (s.faults.remove(j), s.faults.remove(i)));
        }
    }
    put(&|s| s.tasks = 1);
    put(&|s| s.clients = s.clients.min(2));
    put(&|s| s.members = s.members.min(3));
    put(&|s| (s.within_ms, s.applies_ms) = (0, Vec::new()));
    for i in 0..schedule.applies_ms.len() {
        put(&|s| _ = s.applies_ms.remove(i));
    }
    put(&|s| s.copies = 0.0);
    put(&|s| s.loss = 0.0);
    for i in 0..count {
        put(&|s| s.faults[i].for_ms = s.faults[i].for_ms / 200 * 100);
    }
    all
}
