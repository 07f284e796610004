//! Placement policies, which choose an upstream for a request.

use names::Upstream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Candidate, NamedLimit, cheapest, is_large_fleet};

/// Properties of a request that determine the choice of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingKey {
    /// Affinity key: requests with the same key share context and are best served by the same
    /// upstream.
    pub affinity_key: Option<u64>,
    /// Random number that distributes requests over upstreams that are otherwise equal.
    pub random: u64,
}

/// Chooses an upstream.
pub trait Policy {
    /// Returns the index of the chosen candidate, or `None` if all candidates are full.
    fn choose(&self, candidates: &[Candidate], routing_key: RoutingKey) -> Option<usize>;
}

/// Number of requests that an upstream may always have, so that small loads are not spread because
/// of a bound that means little yet.
const LOAD_BOUND_SLACK: f64 = 2.0;

/// Keeps requests that share context at the same upstream, in any data centre, while the load of
/// the upstream is not far above the mean.
///
/// The policy is meant for workloads in which a few contexts are requested much more often than
/// others. The prefill of a long context costs more than the transfer to another data centre. In a
/// burst that fills all upstreams, requests wait or are refused rather than spread.
#[derive(Debug, Clone, Copy)]
pub struct Affinity {
    /// Maximum estimated load as a multiple of the mean.
    bound: f64,
    /// Whether two engines share each context: in a large fleet no instance knows how many requests
    /// one engine gets during a prefill, in which the engine sends nothing.
    uses_two_engines: bool,
}

/// Share of the bound on the true load that the estimated load may reach. Instances learn of each
/// other's requests only from the reports of engines, up to seconds late.
const ESTIMATE_SHARE: f64 = 0.75;

/// Value of [`ESTIMATE_SHARE`] for a large fleet, in which each instance sees a small part of the
/// requests.
const LARGE_FLEET_ESTIMATE_SHARE: f64 = 0.6;

/// Maximum number of requests per slot of an engine. An engine queues a few requests by rank
/// itself.
const MAX_ENGINE_UTILISATION: f64 = 1.1;

/// Maximum number of engines within the bound that are tried for capacity. If all of them are full,
/// the other engines are full too, or look empty only because no report of them arrived. A context
/// that moves further is prefilled once more there, which costs all engines more capacity than it
/// gains: without the limit, a burst sent a fifth of the requests past the tenth engine.
const MAX_ENGINES_TRIED: usize = 3;

/// Unprefilled prompt tokens that an engine may have beyond the engine with the smallest backlog,
/// before a cached context is worth less than the wait: about ten long prompts.
const MAX_EXCESS_BACKLOG_TOKENS: f64 = 20_000.0;

/// Returns the rendezvous weight of an upstream for `key`. The upstream with the greatest weight is
/// preferred.
pub(crate) fn rendezvous_weight_of(upstream: &Upstream, key: u64) -> u64 {
    xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}

fn rendezvous_weight(candidate: &Candidate, key: u64) -> u64 {
    rendezvous_weight_of(&candidate.upstream, key)
}

/// Returns whether the slow start of the candidate admits a request with the random number
/// `random`.
fn is_admitted(candidate: &Candidate, random: u64) -> bool {
    candidate.slow_start_share >= 1.0
        || (rendezvous_weight(candidate, random) as f64)
            < candidate.slow_start_share * u64::MAX as f64
}

fn least_backlog(candidates: &[Candidate], usable: &[usize]) -> f64 {
    let backlogs = usable.iter().map(|index| candidates[*index].backlog);
    backlogs.fold(f64::INFINITY, f64::min)
}

/// Returns whether most candidates have finished their slow start. Otherwise the slow start does
/// not apply, because too few other candidates could take the requests.
fn has_established_majority(candidates: &[Candidate], usable: &[usize]) -> bool {
    let is_established = |index: &&usize| candidates[**index].slow_start_share >= 1.0;
    usable.iter().filter(is_established).count() * 2 > usable.len()
}

fn mean_utilisation(candidates: &[Candidate]) -> f64 {
    let load: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let slots: f64 = candidates.iter().map(|candidate| f64::from(candidate.slots.max(1))).sum();
    if slots > 0.0 { load / slots } else { 0.0 }
}

/// Returns the upstream that a request with `routing_key` prefers among `upstreams`.
pub fn home<'a, I>(upstreams: I, routing_key: RoutingKey) -> Option<&'a Upstream>
where
    I: Iterator<Item = &'a Upstream>,
{
    let key = routing_key.affinity_key.unwrap_or(routing_key.random);
    upstreams.max_by_key(|upstream| rendezvous_weight_of(upstream, key))
}

/// Returns the candidates without those that named a rate limit recently and are not `home`. Requests that
/// exceed the limit of one upstream would otherwise move their context to all others with a limit.
pub fn without_limited_strangers(
    candidates: &[Candidate],
    home: Option<&Upstream>,
) -> Vec<Candidate> {
    let is_kept = |candidate: &&Candidate| {
        candidate.limit != NamedLimit::Recent || Some(&candidate.upstream) == home
    };
    candidates.iter().filter(is_kept).cloned().collect()
}

impl Affinity {
    /// Creates a policy that keeps the load of every upstream within `bound` times the mean, in a
    /// fleet of `instances` that each apply the policy.
    pub fn new(bound: f64, instances: usize) -> Self {
        let is_large_fleet = is_large_fleet(instances);
        let share = if is_large_fleet { LARGE_FLEET_ESTIMATE_SHARE } else { ESTIMATE_SHARE };
        Self { bound: bound * share, uses_two_engines: is_large_fleet }
    }

    fn is_within_bound(&self, candidate: &Candidate, mean: f64, least_backlog: f64) -> bool {
        let slots = f64::from(candidate.slots.max(1));
        let is_bounded = candidate.load < self.bound * mean * slots + LOAD_BOUND_SLACK;
        let has_excess_backlog = candidate.backlog > least_backlog + MAX_EXCESS_BACKLOG_TOKENS;
        is_bounded && !has_excess_backlog
    }
}

impl Affinity {
    /// Returns the usable candidates in the order in which a request should try them, without those
    /// that have a large backlog of this instance and those whose slow start does not admit the
    /// request.
    pub fn order(&self, candidates: &[Candidate], routing_key: RoutingKey) -> Vec<usize> {
        let usable = without_avoided(candidates);
        let key = routing_key.affinity_key.unwrap_or(routing_key.random);
        let least_backlog = least_backlog(candidates, &usable);
        let has_established_majority = has_established_majority(candidates, &usable);
        let is_eligible = |index: &usize| {
            let candidate = &candidates[*index];
            let has_excess_backlog = candidate.backlog > least_backlog + MAX_EXCESS_BACKLOG_TOKENS;
            let is_admitted = !has_established_majority
                || candidate.limit == NamedLimit::Cold
                || is_admitted(candidate, routing_key.random);
            is_admitted && !has_excess_backlog
        };
        let mut order: Vec<usize> = usable.iter().copied().filter(is_eligible).collect();
        order.sort_by_cached_key(|index| {
            std::cmp::Reverse(rendezvous_weight(&candidates[*index], key))
        });
        order
    }
}

/// Result of a choice among the candidates within the load bound.
enum WithinBound {
    Chosen(usize),
    /// Those that a request may try are full.
    Full,
    /// No candidate is within the bound.
    None,
}

impl Affinity {
    /// Chooses among the candidates in `order`, the preferred first, that are within the bound.
    fn choose_within_bound<B>(
        &self,
        candidates: &[Candidate],
        order: &[usize],
        random: u64,
        is_within_bound: B,
    ) -> WithinBound
    where
        B: Fn(&&usize) -> bool,
    {
        let within_bound: Vec<usize> = order.iter().filter(is_within_bound).copied().collect();
        if within_bound.is_empty() {
            return WithinBound::None;
        }
        let is_responsive = |index: &&usize| !candidates[**index].is_unresponsive;
        let responsive = within_bound.iter().filter(is_responsive).take(MAX_ENGINES_TRIED);
        let available: Vec<usize> = responsive
            .chain(within_bound.iter().take(MAX_ENGINES_TRIED))
            .filter(|index| candidates[**index].utilisation() < MAX_ENGINE_UTILISATION)
            .copied()
            .collect();
        let mut preferred = 0;
        if self.uses_two_engines && random % 2 == 1 {
            // Both engines have the context, since the second one fetches it from the first.
            preferred = 1.min(available.len().saturating_sub(1));
        }
        let others = (0..available.len()).filter(|other| *other != preferred);
        let order: Vec<usize> = std::iter::once(preferred)
            .chain(others)
            .filter_map(|at| available.get(at).copied())
            .collect();
        let costs: Vec<_> = order.iter().map(|index| candidates[*index].cost).collect();
        let cheapest = order.get(cheapest(&costs)).copied();
        cheapest.map_or(WithinBound::Full, WithinBound::Chosen)
    }
}

impl Policy for Affinity {
    fn choose(&self, candidates: &[Candidate], routing_key: RoutingKey) -> Option<usize> {
        let mean = mean_utilisation(candidates);
        let key = routing_key.affinity_key.unwrap_or(routing_key.random);
        let usable: Vec<usize> = without_avoided(candidates);
        let least_backlog = least_backlog(candidates, &usable);
        let mut order = usable.clone();
        order.sort_by_key(|index| std::cmp::Reverse(rendezvous_weight(&candidates[*index], key)));
        let has_established_majority = has_established_majority(candidates, &usable);
        let random = routing_key.random;
        let (warm, cold) = warm_and_cold(candidates, order);
        let is_within_bound =
            |index: &&usize| self.is_within_bound(&candidates[**index], mean, least_backlog);
        let is_warm_within_bound = |index: &&usize| {
            (!has_established_majority || is_admitted(&candidates[**index], random))
                && is_within_bound(index)
        };
        let least_loaded_of = |order: &[usize]| {
            let has_capacity =
                |index: &usize| candidates[*index].utilisation() < MAX_ENGINE_UTILISATION;
            least_loaded(candidates, order.iter().copied().filter(has_capacity), random)
        };
        // The allowance of a cold engine takes the place of its slow start.
        let choose_cold =
            || match self.choose_within_bound(candidates, &cold, random, is_within_bound) {
                WithinBound::Chosen(index) => Some(index),
                WithinBound::Full | WithinBound::None => None,
            };
        match self.choose_within_bound(candidates, &warm, random, is_warm_within_bound) {
            WithinBound::Chosen(index) => Some(index),
            WithinBound::Full => choose_cold(),
            // The candidates past their slow start are above the bound, and the slow start of the
            // others does not admit the request.
            WithinBound::None => {
                choose_cold().or_else(|| least_loaded_of(&warm)).or_else(|| least_loaded_of(&cold))
            }
        }
    }
}

/// Separates cold candidates from the others, in the same order.
fn warm_and_cold(candidates: &[Candidate], order: Vec<usize>) -> (Vec<usize>, Vec<usize>) {
    order.into_iter().partition(|index| candidates[*index].limit != NamedLimit::Cold)
}

/// Returns the candidates of a service without engines in the order in which a request should try
/// them: those of the local data centre first, each group in a pseudorandom order that depends on
/// `random`.
pub fn shuffled_order(candidates: &[Candidate], random: u64) -> Vec<usize> {
    let mut order = without_avoided(candidates);
    order.sort_by_cached_key(|index| {
        let candidate = &candidates[*index];
        (!candidate.is_local, rendezvous_weight(candidate, random))
    });
    order
}

/// Chooses the least loaded upstream of the local data centre, and a remote upstream only if its
/// load is clearly lower. The policy is meant for requests that share no context.
#[derive(Debug, Clone, Copy)]
pub struct LeastLoad {
    /// Maximum number of requests per slot.
    pub max_utilisation: f64,
    /// Number of requests by which the load of a remote upstream must be lower.
    pub remote_penalty: f64,
}

impl Policy for LeastLoad {
    fn choose(&self, candidates: &[Candidate], routing_key: RoutingKey) -> Option<usize> {
        let usable = without_avoided(candidates);
        let has_capacity = |index: &usize| candidates[*index].utilisation() < self.max_utilisation;
        let (warm, cold) =
            warm_and_cold(candidates, usable.into_iter().filter(has_capacity).collect());
        let among = if warm.is_empty() { cold } else { warm };
        let with_capacity = || among.iter().copied();
        let local = with_capacity().filter(|index| candidates[*index].is_local);
        let remote = with_capacity().filter(|index| !candidates[*index].is_local);
        let local = least_loaded(candidates, local, routing_key.random);
        let remote = least_loaded(candidates, remote, routing_key.random);
        match (local, remote) {
            (Some(local), Some(remote)) => {
                let advantage = candidates[local].load - candidates[remote].load;
                Some(if advantage > self.remote_penalty { remote } else { local })
            }
            (local, remote) => local.or(remote),
        }
    }
}

/// Returns the candidates that did not fail recently, or all candidates if every one failed.
fn without_avoided(candidates: &[Candidate]) -> Vec<usize> {
    let all = 0..candidates.len();
    let healthy: Vec<usize> = all.clone().filter(|index| !candidates[*index].is_avoided).collect();
    if healthy.is_empty() { all.collect() } else { healthy }
}

fn least_loaded<I>(candidates: &[Candidate], among: I, random: u64) -> Option<usize>
where
    I: Iterator<Item = usize>,
{
    among.min_by(|left, right| {
        let by_load = candidates[*left].utilisation().total_cmp(&candidates[*right].utilisation());
        by_load.then(
            rendezvous_weight(&candidates[*left], random)
                .cmp(&rendezvous_weight(&candidates[*right], random)),
        )
    })
}
