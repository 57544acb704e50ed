//! Chooses the cache for a read: the best-ranked cache that may take it, or the least loaded replica of a hot
//! key.

use super::backends::BackendIndex;
use super::hot_keys::EPOCH_LENGTH;
use super::in_flight::InFlightRequest;
use super::random::mix64;
use super::slow_start::WarmingCache;
use super::Router;
use crate::interface::{Key, Micros, RequestId};

/// Lower bound on the total weight, to avoid division by zero.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The result of selecting a cache for a read.
pub(super) enum Selection {
    /// Send the read to this cache.
    Cache(BackendIndex),
    /// Reject the read: the caches that may have the key are at capacity.
    Overloaded,
    /// Send the read to the origin if it has capacity: no cache can take it.
    NoCache,
}

/// The caches that a read has already been sent to.
struct ReadHistory {
    tried: Vec<BackendIndex>,
    rejected_by: Vec<BackendIndex>,
    missed_at: Option<BackendIndex>,
}

impl ReadHistory {
    fn of(request: &InFlightRequest) -> Self {
        let attempts = request.attempts.iter();
        let tried = attempts.clone().filter(|a| !a.is_origin_call() && !a.retry_same_server);
        ReadHistory {
            tried: tried.map(|attempt| attempt.backend).collect(),
            rejected_by: attempts.filter(|a| a.rejected).map(|attempt| attempt.backend).collect(),
            missed_at: request.missed_at,
        }
    }

    /// Returns whether the cache need not be tried again. A cache that missed may have the key by now.
    fn excludes(&self, cache: BackendIndex) -> bool {
        self.tried.contains(&cache) && self.missed_at != Some(cache)
    }
}

/// A candidate cache and its load relative to its weight.
struct CacheLoad {
    load: f64,
    cache: BackendIndex,
}

/// The state of one search through a key's ranking.
struct Search {
    history: ReadHistory,
    /// The best-ranked cache.
    first: BackendIndex,
    /// The number of caches that may have the key.
    replica_count: usize,
    allow_trial: bool,
    /// Whether this proxy reads from each cache too rarely for delays of a single cache to be useful.
    sparse: bool,
    /// Whether at least half of the origin's window is free.
    origin_half_free: bool,
    /// The number of evaluated caches that may have the key.
    evaluated: usize,
    /// Whether one of them was at capacity.
    overloaded: bool,
    /// The number of warming caches whose slow-start budget denied the read.
    slow_start_denials: usize,
    best: Option<CacheLoad>,
}

impl Search {
    /// Returns whether enough caches were evaluated. If all replicas are at capacity, one further rank is
    /// tried only while at least half of the origin's window is free; otherwise its misses would overload the
    /// origin.
    fn is_complete(&self) -> bool {
        self.evaluated > self.replica_count
            || self.evaluated == self.replica_count && (self.best.is_some() || !self.origin_half_free)
    }

    /// Like [`Search::is_complete`], for a cache that rejected the read before and so counts as at capacity.
    fn is_complete_after_rejection(&self) -> bool {
        self.evaluated > self.replica_count || self.evaluated == self.replica_count && !self.origin_half_free
    }
}

/// How a search continues after one cache.
enum Step {
    Next,
    Stop,
    /// Select this cache, as a trial request.
    Trial,
}

impl Router {
    /// Chooses the cache for a read. `allow_trial` permits a trial request to an ejected cache.
    pub(super) fn select_cache(&mut self, now: Micros, id: RequestId, allow_trial: bool) -> Selection {
        let request = &self.in_flight[&id];
        let key = request.request.key.unwrap_or_else(|| mix64(id));
        let history = ReadHistory::of(request);
        let ranking = self.backends.rank(key);
        let Some(&first) = ranking.first() else { return Selection::NoCache };
        self.all_caches_window.record_demand(now);
        let mut search = Search {
            history,
            first,
            replica_count: self.replica_count(key, first),
            allow_trial,
            sparse: self.reads_are_sparse(),
            origin_half_free: self.origin_window.is_half_free(),
            evaluated: 0,
            overloaded: false,
            slow_start_denials: 0,
            best: None,
        };
        for &cache in &ranking {
            match self.evaluate_cache(now, cache, &mut search) {
                Step::Next => {}
                Step::Stop => break,
                Step::Trial => return Selection::Cache(cache),
            }
        }
        self.finish_selection(now, &ranking, &search)
    }

    /// Returns whether this proxy reads from each cache too rarely to get
    /// [`super::congestion_window::MIN_SAMPLES`] delays of one within an epoch.
    pub(super) fn reads_are_sparse(&self) -> bool {
        self.all_caches_window.demand_is_sparse(self.backends.cache_count(), EPOCH_LENGTH)
    }

    fn replica_count(&self, key: Key, first: BackendIndex) -> usize {
        let fair_share = self.backends.fair_share(first);
        self.key_counts.replica_count(key, fair_share, self.reads_are_sparse(), self.backends.cache_count())
    }

    /// Evaluates one cache of the ranking.
    fn evaluate_cache(&mut self, now: Micros, cache: BackendIndex, search: &mut Search) -> Step {
        if search.history.excludes(cache) {
            if search.history.rejected_by.contains(&cache) {
                search.evaluated += 1;
                search.overloaded = true;
                if search.is_complete_after_rejection() {
                    return Step::Stop;
                }
            }
            return Step::Next;
        }
        if self.backends[cache].health.is_ejected() {
            return self.evaluate_trial(now, cache, search);
        }
        // Limit a key to its first warming caches. Otherwise every warming cache would get a few reads of
        // every key and keep none of them cached.
        if self.is_warming_up(cache, now)
            && (search.slow_start_denials >= search.replica_count || !self.slow_start_admits(now, cache))
        {
            search.slow_start_denials += 1;
            return Step::Next;
        }
        search.evaluated += 1;
        self.evaluate_load(now, cache, search);
        if search.is_complete() {
            Step::Stop
        } else {
            Step::Next
        }
    }

    /// Selects an ejected cache for a trial request if it is the best-ranked cache and a trial is due.
    fn evaluate_trial(&mut self, now: Micros, cache: BackendIndex, search: &Search) -> Step {
        let due = self.backends[cache].health.is_trial_due(now);
        if !search.allow_trial || cache != search.first || !due {
            return Step::Next;
        }
        // Trial requests to a warming cache count against its slow-start budget.
        if self.is_warming_up(cache, now) && !self.slow_start_admits(now, cache) {
            return Step::Next;
        }
        self.backends[cache].health.record_trial_sent(now);
        Step::Trial
    }

    /// Makes a cache the current choice if it has capacity and the lowest load so far.
    fn evaluate_load(&mut self, now: Micros, cache: BackendIndex, search: &mut Search) {
        self.backends[cache].window.record_demand(now);
        let backend = &self.backends[cache];
        // With sparse reads, a cache without recent delays is used only while the window over all caches has
        // capacity.
        let usable = !search.sparse
            || backend.window.has_recent_samples(now)
            || self.all_caches_window.has_capacity(now, 1.0);
        if !usable || !backend.window.has_capacity(now, 1.0) {
            search.overloaded = true;
            return;
        }
        let load = (f64::from(backend.outstanding) + self.random.next_unit()) / backend.weight;
        if search.best.as_ref().is_none_or(|best| load < best.load) {
            search.best = Some(CacheLoad { load, cache });
        }
    }

    fn finish_selection(&self, now: Micros, ranking: &[BackendIndex], search: &Search) -> Selection {
        if let Some(best) = &search.best {
            return Selection::Cache(best.cache);
        }
        // Leave the decision to the origin's window: rejecting reads that the origin could serve would keep
        // the caches cold, since rejected reads are retried.
        let never_rejected = search.history.rejected_by.is_empty();
        if search.slow_start_denials > 0 || search.overloaded && never_rejected && search.origin_half_free {
            return Selection::NoCache;
        }
        if search.overloaded {
            return Selection::Overloaded;
        }
        // If every cache is ejected or was tried, fall back to the best-ranked warm cache that was not tried.
        let untried = |cache: &BackendIndex| !search.history.tried.contains(cache);
        let warm = |cache: &BackendIndex| !self.is_warming_up(*cache, now);
        let fallback = ranking.iter().copied().find(|cache| untried(cache) && warm(cache));
        fallback.map_or(Selection::NoCache, Selection::Cache)
    }

    fn is_warming_up(&self, cache: BackendIndex, now: Micros) -> bool {
        self.backends[cache].is_warming_up(&self.settings, now)
    }

    /// Returns whether the slow-start budget of a warming cache admits one more read.
    fn slow_start_admits(&mut self, now: Micros, cache: BackendIndex) -> bool {
        let total_weight = self.backends.total_weight().max(MIN_TOTAL_WEIGHT);
        let read_rate = self.all_caches_window.demand_rate();
        let backend = &mut self.backends[cache];
        let warming = WarmingCache {
            weight_share: backend.weight / total_weight,
            hit_rate: self.hit_rate.per_second(),
            answer_time: backend.health.latency(),
            window_cut_at: backend.window.last_cut_at(),
            read_rate,
        };
        backend.slow_start.admit(now, &warming, &self.settings, self.random.next_unit())
    }
}
