//! Places keys on caches by weighted rendezvous hashing.
//!
//! A key and a cache hash to a number `u` in (0, 1), the same at every proxy, and the cache's score for the
//! key is `weight / -ln(u)` ("highest random weight", Thaler and Ravishankar 1998, with the weighting of
//! Schindelhauer and Schomaker 2005). When the weight of a cache grows, keys move only to that cache and
//! never between others.

use super::backends::BackendIndex;
use super::random::mix64;
use crate::interface::{Key, ServerId};

/// The number of top ranks that are sorted. The order of lower ranks is unspecified, since reads rarely get
/// that far.
const ORDERED_RANKS: usize = 16;
/// The number of candidates that are collected before the lowest scores are dropped.
const MAX_CANDIDATES: usize = 4 * ORDERED_RANKS;
/// The number of candidates that are retained then.
const RETAINED_CANDIDATES: usize = 2 * ORDERED_RANKS;

/// A cache that takes reads.
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

/// The caches that take reads, with their weights.
#[derive(Default)]
pub(super) struct PlacementTable {
    placements: Vec<Placement>,
}

impl PlacementTable {
    /// Replaces the contents of the table.
    pub(super) fn rebuild(&mut self, caches: impl Iterator<Item = (ServerId, f64, BackendIndex)>) {
        let placement = |(server, weight, backend): (ServerId, f64, BackendIndex)| Placement {
            hash: mix64(u64::from(server).wrapping_add(1)),
            weight,
            backend,
        };
        self.placements = caches.map(placement).collect();
    }

    /// Returns the number of caches.
    pub(super) fn len(&self) -> usize {
        self.placements.len()
    }

    /// Returns caches for a key, best first. The list may omit low-ranked caches of a large fleet.
    pub(super) fn rank(&self, key: Key) -> Vec<BackendIndex> {
        let mut candidates = self.candidates(key);
        // Sorting all caches of a large fleet for each read would be too expensive.
        if candidates.len() > ORDERED_RANKS {
            candidates.select_nth_unstable_by(ORDERED_RANKS, Candidate::best_first);
            candidates[..ORDERED_RANKS].sort_unstable_by(Candidate::best_first);
        } else {
            candidates.sort_unstable_by(Candidate::best_first);
        }
        candidates.into_iter().map(|candidate| candidate.backend).collect()
    }

    /// Returns the caches that can be among the best for a key, in no particular order.
    fn candidates(&self, key: Key) -> Vec<Candidate> {
        let (mut candidates, mut min_score) = (Vec::with_capacity(MAX_CANDIDATES), 0.0);
        for placement in &self.placements {
            let u = unit_hash(key, placement.hash);
            // Skip the logarithm for scores that are too low: -ln(u) >= 1 - u.
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

/// Hashes a key and a cache to a number in (0, 1).
fn unit_hash(key: Key, hash: u64) -> f64 {
    ((mix64(key ^ hash) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
