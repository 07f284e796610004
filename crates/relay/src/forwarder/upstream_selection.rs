//! Chooses upstreams for requests, and queues requests until an upstream has capacity.

use std::time::{Duration, Instant};

use forward::{Affinity, Candidate, LeastLoad, NamedLimit, Policy, RoutingKey};
use names::Upstream;
use stakker::{CX, at};
use telemetry::Event;

use super::prompt_costs::{PlacementBasis, without_costs};
use super::{Forwarder, millis, problems};

/// Maximum number of requests per slot of a service without engines.
const MAX_REQUESTS_PER_SLOT: f64 = 1.5;

/// Number of requests by which the load of an upstream in another data centre must be lower for the
/// upstream to be chosen.
const REMOTE_LOAD_ADVANTAGE: f64 = 2.0;

/// Divisor of the latency objective that gives the maximum time in the queue. After that time a
/// retry of the caller at another instance is more likely to succeed.
const QUEUE_TIME_DIVISOR: u32 = 8;

/// Lower limit of the maximum time in the queue.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(30);

/// Returns the time that a request with the latency objective `objective` may wait for an upstream
/// with capacity.
pub(super) fn max_queue_time(objective: Duration) -> Duration {
    (objective / QUEUE_TIME_DIVISOR).max(MIN_QUEUE_TIME)
}

/// Result of the placement of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// The request was sent, or has ended.
    Sent,
    /// Load trackers are asked. The request may have been sent already if this instance is the load
    /// tracker of all upstreams asked about.
    Asking,
    /// No upstream has capacity.
    Full,
}

impl Forwarder {
    /// Sends a request to an upstream, or queues it. A request whose upstream is silent moves to
    /// another upstream if one has capacity.
    pub(super) fn place(&mut self, cx: CX![], id: names::Request) {
        if self.try_send(cx, id) == Placement::Full {
            self.enqueue(cx, id);
        }
    }

    /// Sends a request that has just arrived to an upstream, or queues it. With shares of accounts,
    /// the requests that wait already are not passed over in a small fleet.
    pub(super) fn place_arrival(&mut self, cx: CX![], id: names::Request) {
        let has_shares = self.settings.direct.fair_shares;
        let service = self.active(id).map(|active| active.service.clone());
        let service = service.filter(|_| has_shares && !forward::is_large_fleet(self.entry_count));
        match service {
            Some(service) if !self.traffic(&service).queue.is_empty() => {
                // A waiting request may lack room that this one does not need, so that this one is
                // refused only after it was tried.
                if self.join_queue(cx, id) {
                    self.serve_queue(cx, &service);
                    self.refuse_at_once(cx, id);
                }
            }
            _ => self.place(cx, id),
        }
    }

    fn try_send(&mut self, cx: CX![], id: names::Request) -> Placement {
        let Ok(index) = self.find(id) else {
            return Placement::Sent;
        };
        let now = cx.now();
        let active = &self.requests[index];
        let (routing_key, tokens) = (active.routing_key(), active.own_tokens());
        let has_engine = self.has_engine(&active.service);
        let mut candidates = self.candidates(now, index);
        self.withhold_cold(index, &mut candidates);
        let active = &mut self.requests[index];
        active.candidates = candidates.len();
        active.unusable = candidates.iter().filter(|candidate| candidate.is_avoided).count();
        let is_any_limited = candidates.iter().any(|candidate| candidate.limit != NamedLimit::None);
        let home = is_any_limited
            .then(|| self.table.home(&self.requests[index].service, routing_key))
            .flatten();
        if let Some((config, choices)) = self.plan_search(now, index, &candidates, home, has_engine)
        {
            return self.begin_search(cx, id, config, choices);
        }
        self.set_costs(now, index, &mut candidates);
        let has_costs = candidates.iter().any(|candidate| candidate.cost.is_some());
        let usual = has_costs.then(|| {
            let candidates = without_costs(&candidates);
            self.choose_limited(candidates, home, has_engine, routing_key)
        });
        let chosen = self.choose_limited(candidates, home, has_engine, routing_key);
        let Some(Candidate { upstream, load, cost, .. }) = &chosen else {
            self.count_cold_denial(now, &self.requests[index].service);
            return Placement::Full;
        };
        let usual = usual.flatten().map(|usual| usual.upstream);
        let is_moved = usual.is_some_and(|usual| usual != *upstream);
        let basis = cost.map(|cost| PlacementBasis { work: cost.work, is_moved });
        self.record_basis(id, basis);
        self.table.begin_request(now, upstream, tokens);
        if let Some(cost) = cost {
            self.table.begin_prompt(id, upstream, *cost);
        }
        self.send(cx, id, upstream, *load);
        Placement::Sent
    }

    /// Chooses an upstream. One that names a rate limit and is not `home` is chosen only if no other
    /// one has capacity, so that contexts do not move to all of them.
    fn choose_limited(
        &self,
        mut candidates: Vec<Candidate>,
        home: Option<&Upstream>,
        has_engine: bool,
        routing_key: RoutingKey,
    ) -> Option<Candidate> {
        if forward::is_large_fleet(self.entry_count) {
            // Only load trackers know whether a rate limit is used up, and none of them answers.
            candidates.retain(|candidate| candidate.limit == NamedLimit::None);
        }
        let choose = |candidates: &[Candidate]| {
            let chosen = self.choose(candidates, has_engine, routing_key)?;
            Some(candidates[chosen].clone())
        };
        if home.is_none() {
            return choose(&candidates);
        }
        let preferred = forward::without_limited_strangers(&candidates, home);
        choose(&preferred).or_else(|| choose(&candidates))
    }

    /// Returns the upstreams that the request at `index` can be sent to, or can move to if it is in
    /// progress.
    pub(super) fn candidates(&mut self, now: Instant, index: usize) -> Vec<Candidate> {
        let active = &self.requests[index];
        // Engines are chosen from all data centres, other upstreams mostly from this one.
        let has_engine = self.has_engine(&active.service);
        let instances = if has_engine { self.entry_count } else { self.local_entry_count };
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let (service, tried) = (&active.service, &active.tried);
        let mut candidates = match &active.running {
            Some(running) => {
                self.table.move_targets(now, service, &running.upstream, tried, instances)
            }
            None => self.table.candidates(now, service, tried, instances),
        };
        let connections = self.connection_limit(active);
        candidates.retain(|other| {
            let count = self.table.request_count(&other.upstream);
            count.is_none_or(|count| (count.requests as usize) < connections)
        });
        self.retain_with_room(index, &mut candidates);
        candidates
    }

    pub(super) fn has_engine(&self, service: &names::Service) -> bool {
        let found = self.catalogue.as_ref().and_then(|catalogue| catalogue.service(service));
        found.is_some_and(|service| service.engine.is_some())
    }

    fn choose(
        &self,
        candidates: &[Candidate],
        has_engine: bool,
        routing_key: RoutingKey,
    ) -> Option<usize> {
        let policy: &dyn Policy = match has_engine {
            true => &Affinity::new(self.settings.direct.load_bound, self.entry_count),
            false => &LeastLoad {
                max_utilisation: MAX_REQUESTS_PER_SLOT,
                remote_penalty: REMOTE_LOAD_ADVANTAGE,
            },
        };
        policy.choose(candidates, routing_key)
    }

    /// Queues a request until an upstream has capacity, or refuses it if its maximum time in the
    /// queue has passed. A request in progress is not queued.
    pub(super) fn enqueue(&mut self, cx: CX![], id: names::Request) {
        if self.join_queue(cx, id) {
            self.refuse_at_once(cx, id);
        }
    }

    /// Queues a request, or refuses it if its maximum time in the queue has passed. Returns whether it
    /// is queued.
    fn join_queue(&mut self, cx: CX![], id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return false;
        };
        let active = &self.requests[index];
        if active.running.is_some() {
            return false;
        }
        let until = active.queue_until.min(active.deadline);
        let has_engine = self.has_engine(&active.service);
        let (work, service) = (active.queued_work(has_engine), active.service.clone());
        let (request, candidates) = (active.metadata.id.clone(), active.candidates);
        let pause_end = self.table.pause_end(cx.now(), &service);
        let is_in_vain = pause_end.is_some_and(|end| until <= end);
        if until <= cx.now() || is_in_vain || self.table.is_service_evacuated(&service) {
            self.refuse_unplaced(cx, id);
            return false;
        }
        let patience_ms = millis(until.saturating_duration_since(cx.now()));
        self.traffic(&service).queue.push_work(&work, until, id);
        let queue = &self.traffic(&service).queue;
        let (waiting, service, rank) = (queue.len() - 1, service.to_string(), work.rank);
        Event::Queued { request, service, rank, candidates, waiting, patience_ms }.write();
        self.update_queue_timer(cx);
        true
    }

    /// Refuses a request that was not placed, with a retry hint if the request has not run, or
    /// aborts its response if that has started.
    pub(super) fn refuse_unplaced(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let (now, deadline, service) = (cx.now(), active.deadline, active.service.clone());
        if active.is_started {
            self.abort_response(now, id, "no_upstream");
        } else {
            let pause_end = self.table.pause_end(now, &service);
            let is_evacuated = self.table.is_service_evacuated(&service);
            let unsent = self.active(id).and_then(|active| active.unsent.as_ref());
            let problem = match (unsent, pause_end) {
                (Some(unsent), _) if is_evacuated => problems::evacuated(unsent, now, deadline),
                (Some(unsent), Some(end)) => problems::asked_to_wait(unsent, now, deadline, end),
                (Some(unsent), None) => problems::full(unsent, now, deadline),
                (None, _) => problems::failed(),
            };
            self.refuse(now, id, problem);
        }
        self.finish(cx, id);
    }

    /// Refuses the queued requests of `service` that would wait in vain, since all upstreams asked
    /// to wait until `pause_end` or longer.
    fn refuse_waiting(&mut self, cx: CX![], service: &names::Service, pause_end: Instant) {
        for id in self.traffic(service).queue.expire(pause_end) {
            self.refuse_unplaced(cx, id);
        }
        self.update_queue_timer(cx);
    }

    /// Sets the timer for the next request in a queue that expires.
    pub(super) fn update_queue_timer(&mut self, cx: CX![]) {
        let next =
            self.service_traffic.iter().filter_map(|traffic| traffic.queue.next_expiry()).min();
        let waiting: usize = self.service_traffic.iter().map(|traffic| traffic.queue.len()).sum();
        self.metrics.relay.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        cx.timer_del(self.queue_timer);
        if let Some(next) = next {
            self.queue_timer = at!(next, [cx], expire_queued());
        }
        let waiting = self.service_traffic.iter().filter(|traffic| !traffic.queue.is_empty());
        let now = cx.now();
        let opens_at = |service| {
            let pause_end = self.table.pause_end(now, service);
            pause_end.or_else(|| self.table.cold_opens_at(now, service))
        };
        let pause_end = waiting.filter_map(|traffic| opens_at(&traffic.service)).min();
        cx.timer_del(self.pause_timer);
        if let Some(pause_end) = pause_end {
            self.pause_timer = at!(pause_end, [cx], serve_after_pause());
        }
    }

    fn expire_queued(&mut self, cx: CX![]) {
        let now = cx.now();
        let expired_items =
            self.service_traffic.iter_mut().flat_map(|traffic| traffic.queue.expire(now));
        let expired: Vec<names::Request> = expired_items.collect();
        for id in expired {
            if self.try_send(cx, id) == Placement::Full {
                self.refuse_unplaced(cx, id);
            }
        }
        self.update_queue_timer(cx);
    }

    /// Sends queued requests of all services.
    pub(super) fn serve_queues(&mut self, cx: CX![]) {
        let services: Vec<_> =
            self.service_traffic.iter().map(|traffic| traffic.service.clone()).collect();
        services.iter().for_each(|service| self.serve_queue(cx, service));
    }

    /// Sends queued requests of `service` in the order of the queue.
    pub(super) fn serve_queue(&mut self, cx: CX![], service: &names::Service) {
        if self.table.is_service_evacuated(service) {
            self.refuse_evacuated(cx, service);
            return;
        }
        if let Some(pause_end) = self.table.pause_end(cx.now(), service) {
            self.refuse_waiting(cx, service, pause_end);
            return;
        }
        for id in self.traffic(service).queue.items() {
            if forward::is_large_fleet(self.entry_count) {
                // The next requests in the queue are placed as soon as this one was sent.
                self.traffic(service).queue.remove(&id);
                self.place(cx, id);
                return;
            }
            if self.try_send(cx, id) == Placement::Full {
                let gives_way = self.find(id).is_ok_and(|index| self.gives_way(index));
                let lacks_room = self.active(id).is_some_and(|active| active.lacks_room);
                if gives_way || lacks_room || self.excludes_upstreams(id) {
                    // A shorter prompt may take the allowance of a cold upstream, a smaller request
                    // may have room, and another request may use the upstreams that this one has
                    // tried.
                    continue;
                }
                return;
            }
            self.traffic(service).queue.remove(&id);
        }
    }
}
