//! Search for an upstream by the loads that load trackers report.

use names::Upstream;

use crate::prompt_cost::{self, EngineCost, EngineWork};
use crate::{NamedLimit, UpstreamWork};

/// Limits of a search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SearchConfig {
    /// Number of upstreams that are asked about at a time.
    pub breadth: usize,
    /// Maximum number of upstreams that are asked about.
    pub max_upstreams: usize,
    /// Maximum number of requests per slot.
    pub max_utilisation: f64,
    /// Maximum load as a multiple of the mean load; two requests are always allowed in addition.
    pub load_bound: f64,
}

/// An upstream that a search may ask about.
#[derive(Debug, Clone, PartialEq)]
pub struct SearchCandidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Load that this instance estimates, used when the load tracker does not answer.
    pub estimate: f64,
    /// Rate limit that the upstream names.
    pub limit: NamedLimit,
    /// Cost of the request at the upstream by what this instance knows. `None` for a service whose
    /// upstreams name no pace.
    pub cost: Option<EngineCost>,
}

/// The next step of a search.
#[derive(Debug, Clone, PartialEq)]
pub enum SearchStep {
    /// Reserve capacity at these upstreams and ask their load trackers.
    Ask(Vec<SearchCandidate>),
    /// Send the request to this upstream and release the reservations at the others.
    Send(Upstream),
    /// Wait for the remaining answers.
    Wait,
    /// No upstream of the search has capacity.
    NoCapacity,
}

/// An upstream whose load tracker was asked.
#[derive(Debug, Clone)]
struct Asked {
    choice: SearchCandidate,
    /// Number of requests at the upstream, including the request of this search.
    requests: Option<f64>,
    /// Weight of each request in the load, above 1 for a slow upstream.
    weight: f64,
    /// Whether `requests` is an estimate because the load tracker did not answer.
    is_estimate: bool,
}

/// The search of one request for an upstream.
///
/// The search visits the upstreams in order of preference and takes the first one within the load
/// bound. If no upstream is within the bound, the least loaded one with capacity is taken: all are
/// busy then, and the loads of all are close to the bound, which is above the mean. The load of an
/// upstream whose load tracker does not answer is only an estimate, so half of the requests try the
/// next upstreams first. The search is meant for large fleets, in which no instance knows the load
/// of an upstream from its own requests.
#[derive(Debug, Clone)]
pub struct TrackerSearch {
    config: SearchConfig,
    /// Whether this request accepts an upstream whose load is only an estimate.
    accepts_estimates: bool,
    /// Upstreams that were not asked about yet, the preferred first.
    remaining: Vec<SearchCandidate>,
    asked: Vec<Asked>,
    /// Whether the chosen upstream was taken for its cost instead of the preferred one.
    is_moved: bool,
}

/// Number of requests that an upstream may always have, so that small loads are not spread because
/// of a bound that means little yet.
const LOAD_BOUND_SLACK: f64 = 2.0;

impl TrackerSearch {
    /// Creates a search among `choices`, the preferred first. `random` is a random number of the
    /// request.
    pub fn new(config: SearchConfig, mut choices: Vec<SearchCandidate>, random: u64) -> Self {
        choices.truncate(config.max_upstreams);
        let accepts_estimates = random.is_multiple_of(2);
        Self { config, accepts_estimates, remaining: choices, asked: Vec::new(), is_moved: false }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> SearchStep {
        self.ask(self.config.breadth)
    }

    /// Returns the upstreams whose load trackers were asked.
    pub fn asked(&self) -> impl Iterator<Item = &Upstream> {
        self.asked.iter().map(|asked| &asked.choice.upstream)
    }

    /// Returns the upstreams whose load trackers have not answered yet.
    pub fn awaited(&self) -> impl Iterator<Item = &Upstream> {
        self.asked
            .iter()
            .filter(|asked| asked.requests.is_none())
            .map(|asked| &asked.choice.upstream)
    }

    /// Returns the number of requests at `upstream` as its load tracker reported or as estimated,
    /// or 0 if neither is known.
    pub fn load(&self, upstream: &Upstream) -> f64 {
        let asked = self.asked.iter().find(|asked| asked.choice.upstream == *upstream);
        asked.and_then(|asked| asked.requests).unwrap_or_default()
    }

    /// Records the work and the pace of `upstream` as its load tracker reported them before the number
    /// of requests. The work includes the request of this search. A pace of `None` leaves the one
    /// that this instance knows.
    pub fn record_work(&mut self, upstream: &Upstream, work: UpstreamWork, pace: Option<f64>) {
        let asked = self.asked.iter_mut().find(|asked| asked.choice.upstream == *upstream);
        if let Some(cost) = asked.and_then(|asked| asked.choice.cost.as_mut()) {
            cost.work = EngineWork {
                unread_tokens: (f64::from(work.unread_tokens) - cost.unread_tokens()).max(0.0),
                urgent: f64::from(work.urgent),
                pace_percent: pace.unwrap_or(cost.work.pace_percent),
            };
        }
    }

    /// Returns what the cost of the request at `upstream` depends on, or `None` if it is unknown.
    pub fn cost(&self, upstream: &Upstream) -> Option<EngineCost> {
        let asked = self.asked.iter().find(|asked| asked.choice.upstream == *upstream);
        asked.and_then(|asked| asked.choice.cost)
    }

    /// Returns whether the search took an upstream for its cost instead of the preferred one within
    /// the load bound.
    pub fn is_moved(&self) -> bool {
        self.is_moved
    }

    /// Records the answer that `upstream` has `requests` requests, including this one, and returns
    /// the next step. `mean` is the mean number of requests per slot of the service.
    ///
    /// At a slow upstream each request counts with a `weight` above 1. The weight does not affect
    /// whether the upstream has capacity: a slow response is better than none.
    pub fn on_count(
        &mut self,
        upstream: &Upstream,
        requests: u32,
        weight: f64,
        mean: f64,
    ) -> SearchStep {
        let is_awaited =
            |asked: &&mut Asked| asked.requests.is_none() && asked.choice.upstream == *upstream;
        match self.asked.iter_mut().find(is_awaited) {
            Some(asked) => (asked.requests, asked.weight) = (Some(f64::from(requests)), weight),
            None => return SearchStep::Wait,
        }
        self.decide(mean)
    }

    /// Continues without an answer about `upstream`, with the estimate of this instance, and
    /// returns the next step.
    pub fn on_no_answer(&mut self, upstream: &Upstream, mean: f64) -> SearchStep {
        let is_awaited =
            |asked: &&mut Asked| asked.requests.is_none() && asked.choice.upstream == *upstream;
        if let Some(asked) = self.asked.iter_mut().find(is_awaited) {
            asked.requests = Some(asked.choice.estimate + 1.0);
            asked.is_estimate = true;
        }
        self.decide(mean)
    }

    /// Continues without the load trackers that have not answered and returns the next step.
    pub fn on_timeout(&mut self, mean: f64) -> SearchStep {
        let awaited: Vec<Upstream> = self.awaited().cloned().collect();
        let steps = awaited.iter().map(|upstream| self.on_no_answer(upstream, mean));
        steps.last().unwrap_or(SearchStep::Wait)
    }

    fn decide(&mut self, mean: f64) -> SearchStep {
        if self.awaited().next().is_some() {
            return SearchStep::Wait;
        }
        let has_costs = self.asked.iter().any(|asked| asked.choice.cost.is_some());
        if has_costs && let Some(step) = self.decide_by_cost(mean) {
            return step;
        }
        let within_bound = self.asked.iter().filter(|asked| self.is_within_bound(asked, mean));
        if let Some(best) = least_loaded(within_bound) {
            return SearchStep::Send(best);
        }
        if !self.remaining.is_empty() {
            return self.ask(self.config.breadth);
        }
        match least_loaded(self.asked.iter().filter(|asked| self.has_capacity(asked))) {
            Some(best) => SearchStep::Send(best),
            None => SearchStep::NoCapacity,
        }
    }

    /// Returns the step among the upstreams within the load bound, or `None` if there are none yet.
    /// The other upstreams are asked about at the same time, and only if one of them could be
    /// cheaper.
    fn decide_by_cost(&mut self, mean: f64) -> Option<SearchStep> {
        let within_bound: Vec<&Asked> =
            self.asked.iter().filter(|asked| self.is_within_bound(asked, mean)).collect();
        let costs: Vec<_> = within_bound.iter().map(|asked| asked.choice.cost).collect();
        let cheapest = prompt_cost::cheapest(&costs);
        let best = within_bound.get(cheapest)?.choice.clone();
        // A question to the load tracker of an upstream with a limit uses up a part of the limit.
        let unlimited = self.remaining.iter().take_while(|other| other.limit == NamedLimit::None);
        let cheaper: Vec<bool> =
            unlimited.map(|other| prompt_cost::could_be_cheaper(best.cost, other.cost)).collect();
        if cheaper.contains(&true) {
            return Some(self.ask(cheaper.len()));
        }
        self.is_moved = cheapest > 0;
        Some(SearchStep::Send(best.upstream))
    }

    fn ask(&mut self, breadth: usize) -> SearchStep {
        // A cold upstream is not asked about together with a warm one, which would be chosen less
        // often than it has capacity.
        let is_cold = self.remaining.first().is_some_and(SearchCandidate::is_cold);
        let alike = self.remaining.iter().take_while(|choice| choice.is_cold() == is_cold).count();
        let count = breadth.max(1).min(alike);
        let next: Vec<SearchCandidate> = self.remaining.drain(..count).collect();
        if next.is_empty() {
            return SearchStep::NoCapacity;
        }
        let asked = next.iter().map(|choice| Asked {
            choice: choice.clone(),
            requests: None,
            weight: 1.0,
            is_estimate: false,
        });
        self.asked.extend(asked);
        SearchStep::Ask(next)
    }

    fn has_capacity(&self, asked: &Asked) -> bool {
        let slots = f64::from(asked.choice.slots.max(1));
        asked
            .requests
            .is_some_and(|requests| requests <= (slots * self.config.max_utilisation).max(1.0))
    }

    fn is_within_bound(&self, asked: &Asked, mean: f64) -> bool {
        let slots = f64::from(asked.choice.slots.max(1));
        let max_load = self.config.load_bound * mean * slots + LOAD_BOUND_SLACK + 1.0;
        let is_accepted = !asked.is_estimate || self.accepts_estimates;
        let is_bounded = asked.requests.is_some_and(|requests| requests * asked.weight <= max_load);
        is_accepted && self.has_capacity(asked) && is_bounded
    }
}

impl SearchCandidate {
    fn is_cold(&self) -> bool {
        self.limit == NamedLimit::Cold
    }
}

/// Moves the cold upstreams among `choices` behind the others, and keeps at most `max_cold` of them.
/// Returns their number.
pub fn move_cold_last(choices: &mut Vec<SearchCandidate>, max_cold: usize) -> usize {
    let mut cold: Vec<SearchCandidate> =
        choices.extract_if(.., |choice| choice.is_cold()).take(max_cold).collect();
    choices.retain(|choice| !choice.is_cold());
    let count = cold.len();
    choices.append(&mut cold);
    count
}

/// Returns the warm upstream with the fewest requests per slot, the first one among equals, or a cold
/// one if there is none.
fn least_loaded<'a, I>(asked: I) -> Option<Upstream>
where
    I: Iterator<Item = &'a Asked>,
{
    let load = |asked: &Asked| {
        asked.requests.unwrap_or_default() * asked.weight / f64::from(asked.choice.slots.max(1))
    };
    let best = asked.min_by(|left, right| {
        let by_cold = left.choice.is_cold().cmp(&right.choice.is_cold());
        by_cold.then(load(left).total_cmp(&load(right)))
    });
    best.map(|asked| asked.choice.upstream.clone())
}
