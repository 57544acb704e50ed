//! Places keys on caches by weighted rendezvous hashing.
//!
//! Each cache draws a number `u` in (0, 1) for a key, the same at every proxy, and ranks at `weight / -ln(u)`
//! ("highest random weight", Thaler and Ravishankar 1998, with the weighting of Schindelhauer and Schomaker
//! 2005). A weight that grows draws keys to its own cache alone, and never moves a key between two others.

use super::backends::BackendIndex;
use super::random::mix64;
use crate::interface::{Key, ServerId};

/// So many ranks are kept in order, and of a large fleet twice as many in all: a read looks at the first few,
/// and the rest is as good as any.
const ORDERED_RANKS: usize = 16;
/// Candidates that are collected before the worst of them are dropped.
const MAX_CANDIDATES: usize = 4 * ORDERED_RANKS;
/// Candidates that are kept then.
const RETAINED_CANDIDATES: usize = 2 * ORDERED_RANKS;

/// One cache in service.
struct Placement {
    hash: u64,
    weight: f64,
    backend: BackendIndex,
}

/// A cache's score for one key.
#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    backend: BackendIndex,
}

impl Candidate {
    fn best_first(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
        b.score.total_cmp(&a.score)
    }
}

/// The caches in service with their weights.
#[derive(Default)]
pub(super) struct PlacementTable {
    placements: Vec<Placement>,
}

impl PlacementTable {
    /// Replaces the table by these caches.
    pub(super) fn rebuild(&mut self, caches: impl Iterator<Item = (ServerId, f64, BackendIndex)>) {
        let placement = |(server, weight, backend): (ServerId, f64, BackendIndex)| Placement {
            hash: mix64(u64::from(server).wrapping_add(1)),
            weight,
            backend,
        };
        self.placements = caches.map(placement).collect();
    }

    /// How many caches there are.
    pub(super) fn len(&self) -> usize {
        self.placements.len()
    }

    /// The caches for a key, best first.
    pub(super) fn rank(&self, key: Key) -> Vec<BackendIndex> {
        let mut candidates = self.candidates(key);
        // Sorting a whole large fleet for each read would cost most of the CPU.
        if candidates.len() > ORDERED_RANKS {
            candidates.select_nth_unstable_by(ORDERED_RANKS, Candidate::best_first);
            candidates[..ORDERED_RANKS].sort_unstable_by(Candidate::best_first);
        } else {
            candidates.sort_unstable_by(Candidate::best_first);
        }
        candidates.into_iter().map(|candidate| candidate.backend).collect()
    }

    /// The caches that may be among the best for a key, in no order.
    fn candidates(&self, key: Key) -> Vec<Candidate> {
        let (mut candidates, mut min_score) = (Vec::with_capacity(MAX_CANDIDATES), 0.0);
        for placement in &self.placements {
            let u = unit_hash(key, placement.hash);
            // Nearly all of a large fleet scores too low, and needs no logarithm to tell: -ln(u) >= 1 - u.
            if placement.weight > min_score * (1.0 - u) {
                candidates.push(Candidate { score: placement.weight / -u.ln(), backend: placement.backend });
            }
            if candidates.len() == MAX_CANDIDATES {
                let nth = candidates.select_nth_unstable_by(RETAINED_CANDIDATES - 1, Candidate::best_first);
                min_score = nth.1.score;
                candidates.truncate(RETAINED_CANDIDATES);
            }
        }
        candidates
    }
}

/// What a key draws at a cache, in (0, 1).
fn unit_hash(key: Key, hash: u64) -> f64 {
    ((mix64(key ^ hash) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
