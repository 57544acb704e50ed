//! Chooses the cache for a read: the best-ranked one that may take it, or for a hot key the least busy of a
//! few.

use super::backends::BackendIndex;
use super::hot_keys::EPOCH_LENGTH;
use super::in_flight::InFlightRequest;
use super::random::mix64;
use super::slow_start::WarmingCache;
use super::Router;
use crate::interface::{Key, Micros, RequestId};

/// The least total weight that a share is taken of: keeps it finite.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// Where a read may go.
pub(super) enum Selection {
    /// To this cache.
    Cache(BackendIndex),
    /// Nowhere now: the caches that may hold the key have all that they can take.
    Overloaded,
    /// To the origin, if that has capacity: there is no cache to ask.
    NoCache,
}

/// The caches that a read has been to.
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

    /// Whether it need not be asked again. The cache that missed the key may have it by now.
    fn excludes(&self, cache: BackendIndex) -> bool {
        self.tried.contains(&cache) && self.missed_at != Some(cache)
    }
}

/// A candidate and how busy it is for its weight.
struct CacheLoad {
    load: f64,
    cache: BackendIndex,
}

/// The state of one search through the ranking of a key.
struct Search {
    history: ReadHistory,
    /// The best-ranked cache.
    first: BackendIndex,
    /// Caches that may hold the key.
    replica_count: usize,
    allow_trial: bool,
    /// Whether this proxy reads from one cache so seldom that its delays tell little.
    sparse: bool,
    /// Whether the origin could take some of the load.
    origin_half_free: bool,
    /// Caches considered that could hold the key.
    considered: usize,
    /// Whether one of those had all that it can take.
    overloaded: bool,
    /// Warming caches whose budget was spent.
    slow_start_denials: usize,
    best: Option<CacheLoad>,
}

impl Search {
    /// Whether enough caches were considered. A key that only an overloaded cache holds moves to the next
    /// rank while the origin's window is at most half used, and is rejected otherwise: it must not take the
    /// origin along.
    fn is_complete(&self) -> bool {
        self.considered > self.replica_count
            || self.considered == self.replica_count && (self.best.is_some() || !self.origin_half_free)
    }

    /// The same after a cache that has rejected the read: it is as overloaded as one without a slot.
    fn is_complete_after_rejection(&self) -> bool {
        self.considered > self.replica_count
            || self.considered == self.replica_count && !self.origin_half_free
    }
}

/// How a search goes on after one cache.
enum Step {
    Next,
    Stop,
    /// The read is a trial request to this cache.
    Trial,
}

impl Router {
    /// Chooses the cache for a read. `trials_allowed` says whether it may be a trial request to an ejected
    /// one.
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
            considered: 0,
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

    /// Whether this proxy reads from one cache so seldom that delays of it never come together while they are
    /// news.
    pub(super) fn reads_are_sparse(&self) -> bool {
        self.all_caches_window.demand_is_sparse(self.backends.cache_count(), EPOCH_LENGTH)
    }

    fn replica_count(&self, key: Key, first: BackendIndex) -> usize {
        let fair_share = self.backends.fair_share(first);
        self.key_counts.replica_count(key, fair_share, self.reads_are_sparse(), self.backends.cache_count())
    }

    /// Looks at one cache of the ranking.
    fn evaluate_cache(&mut self, now: Micros, cache: BackendIndex, search: &mut Search) -> Step {
        if search.history.excludes(cache) {
            if search.history.rejected_by.contains(&cache) {
                search.considered += 1;
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
        // Only its first warming caches are asked for a key: from budgets that all keys draw on, every cache
        // would have a little of all keys, and keep none of them long.
        if self.is_warming_up(cache, now)
            && (search.slow_start_denials >= search.replica_count || !self.slow_start_admits(now, cache))
        {
            search.slow_start_denials += 1;
            return Step::Next;
        }
        search.considered += 1;
        self.evaluate_load(now, cache, search);
        if search.is_complete() {
            Step::Stop
        } else {
            Step::Next
        }
    }

    /// Whether a read is a trial request to an ejected cache; that must have been its first choice.
    fn evaluate_trial(&mut self, now: Micros, cache: BackendIndex, search: &Search) -> Step {
        let due = self.backends[cache].health.is_trial_due(now);
        if !search.allow_trial || cache != search.first || !due {
            return Step::Next;
        }
        // A trial is no exception to what a warming cache can bear.
        if self.is_warming_up(cache, now) && !self.slow_start_admits(now, cache) {
            return Step::Next;
        }
        self.backends[cache].health.record_trial_sent(now);
        Step::Trial
    }

    /// Keeps a cache as the choice if it has a slot and is the least busy so far.
    fn evaluate_load(&mut self, now: Micros, cache: BackendIndex, search: &mut Search) {
        self.backends[cache].window.record_demand(now);
        let backend = &self.backends[cache];
        // Where no proxy asks one cache twice in seconds, only the window over all caches can tell that they
        // are congested.
        let has_usable_samples = !search.sparse
            || backend.window.has_recent_samples(now)
            || self.all_caches_window.has_capacity(now, 1.0);
        if !has_usable_samples || !backend.window.has_capacity(now, 1.0) {
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
        // The origin's window tells what it has room for. A fleet that rejected what the origin could serve
        // would be held in that state by the rejected requests that come again.
        let never_rejected = search.history.rejected_by.is_empty();
        if search.slow_start_denials > 0 || search.overloaded && never_rejected && search.origin_half_free {
            return Selection::NoCache;
        }
        if search.overloaded {
            return Selection::Overloaded;
        }
        // With every cache ejected or tried, a wrong judgement must not leave none to ask.
        let untried = |cache: &BackendIndex| !search.history.tried.contains(cache);
        let warm = |cache: &BackendIndex| !self.is_warming_up(*cache, now);
        let fallback = ranking.iter().copied().find(|cache| untried(cache) && warm(cache));
        fallback.map_or(Selection::NoCache, Selection::Cache)
    }

    fn is_warming_up(&self, cache: BackendIndex, now: Micros) -> bool {
        self.backends[cache].is_warming_up(&self.settings, now)
    }

    /// Whether the slow-start budget of a warming cache admits one more read.
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
