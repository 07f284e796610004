//! Costs of requests at engines, for services whose upstreams name their pace, or for all services
//! with engines if the settings say so.

use std::time::Instant;

use catalogue::Catalogue;
use forward::{CachedContext, Candidate, EngineCost, EngineWork, PromptSize};
use names::{Service, Upstream};
use roster::short_hash;
use settings::PromptCosts;

use super::Forwarder;

/// What a placement was based on, for the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementBasis {
    pub(super) work: EngineWork,
    /// Whether another upstream would have been chosen without costs.
    pub(super) is_moved: bool,
}

/// What the costs of one request at all engines have in common.
pub(super) struct RequestCosts<'a> {
    request: names::Request,
    prompt: PromptSize,
    affinity_key: Option<u64>,
    /// First engine in the order of the context.
    home: Option<&'a Upstream>,
}

/// The lowest rank of the routes of each service, sorted by service.
#[derive(Default)]
pub(super) struct LowestRanks(Vec<(Service, u8)>);

impl LowestRanks {
    pub(super) fn new(catalogue: &Catalogue) -> Self {
        let of_route = |route: &catalogue::Route| {
            let rank = route.rank;
            route.targets.iter().map(move |target| (target.service.clone(), rank)).collect()
        };
        let mut ranks: Vec<(Service, u8)> =
            catalogue.routes().iter().flat_map(|route| -> Vec<_> { of_route(route) }).collect();
        // The greatest number, which is the lowest rank, comes first and is kept.
        ranks.sort_by(|left, right| left.0.cmp(&right.0).then(right.1.cmp(&left.1)));
        ranks.dedup_by(|other, kept| other.0 == kept.0);
        Self(ranks)
    }

    /// Returns whether a request of `rank` is more urgent than others of `service`.
    fn is_urgent(&self, service: &Service, rank: u8) -> bool {
        let found = self.0.binary_search_by(|entry| entry.0.cmp(service));
        found.is_ok_and(|index| rank < self.0[index].1)
    }
}

impl Forwarder {
    /// Returns whether requests of `service` are placed by the cost of their prompts.
    fn has_costs(&self, service: &Service) -> bool {
        let is_always = self.settings.direct.prompt_costs == PromptCosts::Always;
        self.has_engine(service) && (is_always || self.table.names_pace(service))
    }

    /// Returns what the costs of the request at `index` depend on, or `None` if requests of its
    /// service are not placed by costs.
    pub(super) fn request_costs(&self, index: usize) -> Option<RequestCosts<'_>> {
        let active = &self.requests[index];
        let service = &active.service;
        if !self.has_costs(service) {
            return None;
        }
        let routing_key = active.routing_key();
        let prompt = PromptSize {
            own_tokens: active.own_tokens(),
            shared_tokens: active.shared_tokens(),
            is_urgent: self.lowest_ranks.is_urgent(service, active.rank),
        };
        let home = self.table.home(service, routing_key);
        let affinity_key = routing_key.affinity_key;
        Some(RequestCosts { request: active.id(), prompt, affinity_key, home })
    }

    /// Returns the cost of a request at `upstream` by what this instance knows.
    pub(super) fn cost_at(
        &self,
        now: Instant,
        costs: &RequestCosts<'_>,
        upstream: &Upstream,
    ) -> Option<EngineCost> {
        let work = self.table.engine_work(now, costs.request, upstream)?;
        let is_held = costs
            .affinity_key
            .is_some_and(|key| self.holders.prefilled_at(now, key, short_hash(upstream)).is_some());
        let context = match is_held {
            true => CachedContext::Held,
            false if costs.home == Some(upstream) => CachedContext::Expected,
            false => CachedContext::Absent,
        };
        Some(EngineCost { prompt: costs.prompt, context, work })
    }

    /// Sets the cost of the request at `index` at each of `candidates`.
    pub(super) fn set_costs(&self, now: Instant, index: usize, candidates: &mut [Candidate]) {
        if let Some(costs) = self.request_costs(index) {
            for candidate in candidates {
                candidate.cost = self.cost_at(now, &costs, &candidate.upstream);
            }
        }
    }

    /// Records that the upstream of a request has read its prompt, since the body of the response has
    /// begun, and tells the load tracker. The head may be sent before the prompt is read.
    pub(super) fn record_prompt_read(&mut self, now: Instant, id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let is_placed_by_cost = active.basis.is_some();
        let Some(running) = &active.running else {
            return;
        };
        let (upstream, pace) = (running.upstream.clone(), running.pace);
        self.table.record_prompt_read(id, &upstream);
        match pace {
            Some(pace) => self.report_pace(now, &upstream, pace),
            None if is_placed_by_cost => self.report_count(now, &upstream),
            None => {}
        }
    }

    /// Sets what the placement of a request was based on, and counts a request that was moved.
    pub(super) fn record_basis(&mut self, id: names::Request, basis: Option<PlacementBasis>) {
        if basis.is_some_and(|basis| basis.is_moved) {
            self.metrics.relay.moved_for_cost.inc();
        }
        if let Some(active) = self.active(id) {
            active.basis = basis;
        }
    }
}

/// Returns the candidates without their costs.
pub(super) fn without_costs(candidates: &[Candidate]) -> Vec<Candidate> {
    let without = candidates.iter().map(|candidate| Candidate { cost: None, ..candidate.clone() });
    without.collect()
}
