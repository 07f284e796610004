//! Policies that choose an upstream.

use names::Upstream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Candidate, is_wide};

/// What a request wants of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    /// Requests with the same key share context, and do best at the same upstream.
    pub key: Option<u64>,
    /// A random number, to spread what is equal otherwise.
    pub lot: u64,
}

/// Chooses an upstream.
pub trait Policy {
    /// The place of the chosen candidate; none if all are full. `mean` is the mean load of the
    /// service's upstreams.
    fn choose(&self, candidates: &[Candidate], wish: Wish) -> Option<usize>;
}

/// Requests that an upstream may always hold, so that small loads are not spread for the sake of
/// a bound that says nothing yet.
const FREE_LOAD: f64 = 2.0;

/// Keeps requests that share context together, in whatever data centre, as long as their upstream
/// is not loaded far above the mean; answers loads in which a few contexts are asked for much
/// more often than others. Reading a long context again costs more than carrying it further. In a
/// burst that fills all upstreams, requests wait or are refused rather than spread.
#[derive(Debug, Clone, Copy)]
pub struct Affinity {
    /// Estimated load at most, as a multiple of the mean.
    bound: f64,
    /// Whether each context is shared by two engines: in a large fleet nobody knows how many requests
    /// one of them gets while it reads and is silent.
    spreads: bool,
}

/// Share of the bound on the true load that the estimate is held to: instances learn of each
/// other's requests only from what engines report, up to seconds late.
const ESTIMATE_SHARE: f64 = 0.75;

/// The same with many instances, each of which hears of a small part of the requests.
const WIDE_ESTIMATE_SHARE: f64 = 0.6;

/// Requests held for each slot of an engine at most; an engine queues a few by rank itself.
const ENGINE_FILL: f64 = 1.1;

/// Engines within the bound that a request may try for room. Where all of them are full, the others
/// are too, or look empty only since nothing was heard of them; a context that is carried further
/// is read once more there, which takes more from every engine than it gives. Measured: with no
/// end to the search, a burst sent a fifth of the requests past the tenth engine.
const SEARCHED: usize = 3;

/// Unread prompt tokens that an engine may have beyond the least loaded one, before context it
/// has read counts for less than the wait: some ten long prompts.
const BACKLOG: f64 = 20_000.0;

/// The place of an upstream in the order of `key`; the greatest goes first.
pub(crate) fn weight_of(upstream: &Upstream, key: u64) -> u64 {
    xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}

fn weight(candidate: &Candidate, key: u64) -> u64 {
    weight_of(&candidate.upstream, key)
}

/// Whether a request with this `lot` is among those that a new upstream gets already.
fn is_due(candidate: &Candidate, lot: u64) -> bool {
    candidate.warmth >= 1.0 || (weight(candidate, lot) as f64) < candidate.warmth * u64::MAX as f64
}

fn least_backlog(candidates: &[Candidate], usable: &[usize]) -> f64 {
    let backlogs = usable.iter().map(|index| candidates[*index].backlog);
    backlogs.fold(f64::INFINITY, f64::min)
}

/// Whether most are not new; otherwise there is nobody to go to meanwhile.
fn has_old(candidates: &[Candidate], usable: &[usize]) -> bool {
    let old = usable.iter().filter(|index| candidates[**index].warmth >= 1.0).count();
    old * 2 > usable.len()
}

fn mean_utilisation(candidates: &[Candidate]) -> f64 {
    let load: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let slots: f64 = candidates.iter().map(|candidate| f64::from(candidate.slots.max(1))).sum();
    if slots > 0.0 { load / slots } else { 0.0 }
}

impl Affinity {
    /// A policy that keeps every upstream's load at `bound` times the mean or less, at each of so
    /// many `instances`.
    pub fn new(bound: f64, instances: usize) -> Self {
        let spreads = is_wide(instances);
        let share = if spreads { WIDE_ESTIMATE_SHARE } else { ESTIMATE_SHARE };
        Self { bound: bound * share, spreads }
    }

    fn is_within(&self, candidate: &Candidate, mean: f64, least_backlog: f64) -> bool {
        let slots = f64::from(candidate.slots.max(1));
        let is_bounded = candidate.load < self.bound * mean * slots + FREE_LOAD;
        let is_reading = candidate.backlog > least_backlog + BACKLOG;
        is_bounded && !is_reading
    }
}

impl Affinity {
    /// The usable candidates in the order in which a request should try them, without those that
    /// have much to read for this instance and new ones whose turn it is not yet.
    pub fn order(&self, candidates: &[Candidate], wish: Wish) -> Vec<usize> {
        let usable = preferred(candidates);
        let key = wish.key.unwrap_or(wish.lot);
        let least_backlog = least_backlog(candidates, &usable);
        let has_old = has_old(candidates, &usable);
        let is_open = |index: &usize| {
            let candidate = &candidates[*index];
            let is_reading = candidate.backlog > least_backlog + BACKLOG;
            (!has_old || is_due(candidate, wish.lot)) && !is_reading
        };
        let mut order: Vec<usize> = usable.iter().copied().filter(is_open).collect();
        order.sort_by_cached_key(|index| std::cmp::Reverse(weight(&candidates[*index], key)));
        order
    }
}

impl Policy for Affinity {
    fn choose(&self, candidates: &[Candidate], wish: Wish) -> Option<usize> {
        let mean = mean_utilisation(candidates);
        let key = wish.key.unwrap_or(wish.lot);
        let usable: Vec<usize> = preferred(candidates);
        let least_backlog = least_backlog(candidates, &usable);
        let mut order = usable.clone();
        order.sort_by_key(|index| std::cmp::Reverse(weight(&candidates[*index], key)));
        let has_old = has_old(candidates, &usable);
        let is_within = |index: &&usize| {
            let candidate = &candidates[**index];
            (!has_old || is_due(candidate, wish.lot))
                && self.is_within(candidate, mean, least_backlog)
        };
        let has_room = |index: &&usize| candidates[**index].utilisation() < ENGINE_FILL;
        let is_prompt = |index: &&usize| !candidates[**index].is_behind;
        let within: Vec<usize> = order.iter().filter(is_within).copied().collect();
        if within.is_empty() {
            // The old ones are above the bound, and the request is not among those of the new ones.
            return least_loaded(candidates, order.iter().filter(has_room).copied(), wish.lot);
        }
        let prompt = within.iter().filter(is_prompt).take(SEARCHED);
        let mut open: Vec<usize> =
            prompt.chain(within.iter().take(SEARCHED)).filter(has_room).copied().collect();
        if self.spreads && wish.lot % 2 == 1 {
            // The context is at both, since the second one fetches it from the first.
            open = open.split_off(1.min(open.len().saturating_sub(1)));
        }
        open.first().copied()
    }
}

/// The candidates of a plain service in the order in which a request should try them: those of the
/// data centre first, in an order of the request's own.
pub fn scattered(candidates: &[Candidate], lot: u64) -> Vec<usize> {
    let mut order = preferred(candidates);
    order.sort_by_cached_key(|index| {
        let candidate = &candidates[*index];
        (!candidate.is_near, weight(candidate, lot))
    });
    order
}

/// Takes the upstream with the least load in the data centre, and one elsewhere only if it has
/// clearly less; answers loads of requests that share nothing.
#[derive(Debug, Clone, Copy)]
pub struct LeastLoad {
    /// Requests held for each slot at most.
    pub fill: f64,
    /// By how many requests an upstream elsewhere must have less.
    pub distance: f64,
}

impl Policy for LeastLoad {
    fn choose(&self, candidates: &[Candidate], wish: Wish) -> Option<usize> {
        let open = || {
            let usable = preferred(candidates).into_iter();
            usable.filter(|index| candidates[*index].utilisation() < self.fill)
        };
        let near = open().filter(|index| candidates[*index].is_near);
        let far = open().filter(|index| !candidates[*index].is_near);
        let near = least_loaded(candidates, near, wish.lot);
        let far = least_loaded(candidates, far, wish.lot);
        match (near, far) {
            (Some(near), Some(far)) => {
                let gain = candidates[near].load - candidates[far].load;
                Some(if gain > self.distance { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }
}

/// The candidates that did not fail lately, or all if there are none.
fn preferred(candidates: &[Candidate]) -> Vec<usize> {
    let all = 0..candidates.len();
    let good: Vec<usize> = all.clone().filter(|index| !candidates[*index].is_avoided).collect();
    if good.is_empty() { all.collect() } else { good }
}

fn least_loaded<I>(candidates: &[Candidate], among: I, lot: u64) -> Option<usize>
where
    I: Iterator<Item = usize>,
{
    among.min_by(|one, other| {
        let by_load = candidates[*one].utilisation().total_cmp(&candidates[*other].utilisation());
        by_load.then(weight(&candidates[*one], lot).cmp(&weight(&candidates[*other], lot)))
    })
}
