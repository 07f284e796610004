//! Queries to load trackers about the number of requests at upstreams, in a large fleet.
//!
//! The load tracker of an upstream is an entry instance of the data centre of the upstream. A query
//! also reserves capacity at the upstream, so that concurrent queries are aware of each other.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use forward::{
    Affinity, Candidate, NamedLimit, RoutingKey, SearchCandidate, SearchConfig, SearchStep,
    ShareCounts, TrackerSearch, UpstreamWork, shuffled_order,
};
use names::{DataCentre, Instance, Service, Upstream};
use stakker::{CX, FixedTimerKey, at};

use super::Forwarder;
use super::fair_shares::OverShare;
use super::load_messages::{LoadCount, Message};
use super::upstream_selection::Placement;

/// Time to wait for the answer of a load tracker: several round trips between data centres on a
/// busy machine, and a small part of the shortest latency objective.
const TRACKER_TIMEOUT: Duration = Duration::from_millis(30);

/// Search for an engine. Engines are asked one after the other, so that a context stays at its
/// engine.
const ENGINE_SEARCH: SearchConfig = SearchConfig {
    breadth: 1,
    max_upstreams: 3,
    max_utilisation: 1.1,
    load_bound: LOAD_BOUND_FRACTION,
};

/// Search for an upstream of a service without engines. Two upstreams are asked at a time, and the
/// less loaded one is chosen.
const ENGINELESS_SEARCH: SearchConfig = SearchConfig {
    breadth: 2,
    max_upstreams: 4,
    max_utilisation: 1.5,
    load_bound: LOAD_BOUND_FRACTION,
};

/// Fraction of the load bound that is used. Request counts are exact except for messages in flight,
/// but the mean is an estimate.
const LOAD_BOUND_FRACTION: f64 = 0.75;

/// Number of upstreams that name a rate limit which are asked about if all others are full, since
/// most of these take no further request.
const MAX_LIMITED_UPSTREAMS: usize = 3;

/// Number of cold upstreams that are asked about if all warm ones are full.
const MAX_COLD_UPSTREAMS: usize = 3;

/// Number of requests that a load tracker reports for an upstream whose rate limit is used up.
pub(super) const NO_REQUEST_GRANTED: u32 = u32::MAX;

/// Another entry instance.
pub(super) struct EntryPeer {
    pub(super) instance: Instance,
    pub(super) data_centre: DataCentre,
}

/// A query to a load tracker that is not answered yet.
pub(super) struct PendingQuery {
    pub(super) number: u64,
    pub(super) request: names::Request,
    pub(super) upstream: Upstream,
    pub(super) tracker: Instance,
}

/// A load tracker that did not answer.
pub(super) struct UnresponsiveTracker {
    pub(super) tracker: Instance,
    pub(super) until: Instant,
}

/// Result of a query to a load tracker.
enum TrackerReply {
    /// Work at the upstream and weight of each request, known because this instance
    /// is the load tracker.
    Known(UpstreamWork, f64),
    /// The request is over the share of its account, as this instance decides as the load tracker.
    OverShare(ShareCounts),
    /// The answer of the load tracker is not awaited.
    Unresponsive,
    /// The load tracker was asked, and its answer is awaited.
    Pending,
}

/// The search of a request for an upstream.
pub(super) struct UpstreamSearch {
    pub(super) tracker_search: TrackerSearch,
    /// Number of prompt tokens that are reserved at each upstream that was asked about.
    pub(super) tokens: f64,
    /// Upstreams at which the request is over the share of its account and has no place reserved.
    pub(super) over_share: Vec<OverShare>,
    pub(super) timer: FixedTimerKey,
}

/// Returns a message number above those of earlier runs, provided that the clock was not set back.
/// Otherwise load trackers ignore the messages of this run for some seconds, until they have
/// forgotten the earlier run.
pub(super) fn first_message_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or_default()
}

impl Forwarder {
    /// Returns the parameters of the search of the request at `index` for an upstream among
    /// `candidates`. Returns `None` if
    /// no load tracker would answer, in which case this instance chooses by the loads that it
    /// knows.
    pub(super) fn plan_search(
        &self,
        now: Instant,
        index: usize,
        candidates: &[Candidate],
        home: Option<&Upstream>,
        has_engine: bool,
    ) -> Option<(SearchConfig, Vec<SearchCandidate>)> {
        if !forward::is_large_fleet(self.entry_count) {
            return None;
        }
        let routing_key = self.requests[index].routing_key();
        let mut choices = choices(candidates, has_engine, routing_key);
        let cold_count = forward::move_cold_last(&mut choices, MAX_COLD_UPSTREAMS);
        let mut cold = choices.split_off(choices.len() - cold_count);
        let mut config = if has_engine { ENGINE_SEARCH } else { ENGINELESS_SEARCH };
        config.load_bound *= self.settings.direct.load_bound;
        let is_limited_stranger = |choice: &mut SearchCandidate| {
            choice.limit == NamedLimit::Recent && Some(&choice.upstream) != home
        };
        let mut limited: Vec<SearchCandidate> =
            choices.extract_if(.., is_limited_stranger).collect();
        choices.truncate(config.max_upstreams);
        limited.truncate(MAX_LIMITED_UPSTREAMS);
        config.max_upstreams += limited.len();
        choices.append(&mut limited);
        config.max_upstreams += cold.len();
        choices.append(&mut cold);
        if let Some(costs) = self.request_costs(index) {
            for choice in &mut choices {
                choice.cost = self.cost_at(now, &costs, &choice.upstream);
            }
        }
        let may_answer = |choice: &SearchCandidate| {
            let request_count = self.table.request_count(&choice.upstream);
            let tracker = request_count.and_then(|request_count| {
                self.tracker(&choice.upstream, request_count.data_centre)
            });
            tracker.is_none_or(|tracker| !self.is_unresponsive(now, &tracker))
        };
        let any_may_answer = choices.is_empty() || choices.iter().any(may_answer);
        any_may_answer.then_some((config, choices))
    }

    fn is_unresponsive(&self, now: Instant, tracker: &Instance) -> bool {
        self.unresponsive.iter().any(|entry| entry.tracker == *tracker && now < entry.until)
    }

    /// Begins the search for an upstream.
    pub(super) fn begin_search(
        &mut self,
        cx: CX![],
        id: names::Request,
        config: SearchConfig,
        choices: Vec<SearchCandidate>,
    ) -> Placement {
        let Some(active) = self.active(id) else {
            return Placement::Sent;
        };
        let (routing_key, tokens) = (active.routing_key(), active.own_tokens());
        let mut tracker_search = TrackerSearch::new(config, choices, routing_key.random);
        let step = tracker_search.start();
        if step == SearchStep::NoCapacity {
            return Placement::Full;
        }
        if let Some(active) = self.active(id) {
            active.search = Some(UpstreamSearch {
                tracker_search,
                tokens,
                over_share: Vec::new(),
                timer: FixedTimerKey::default(),
            });
        }
        self.continue_search(cx, id, step);
        Placement::Asking
    }

    /// Performs the steps of a search.
    pub(super) fn continue_search(&mut self, cx: CX![], id: names::Request, mut step: SearchStep) {
        loop {
            step = match step {
                SearchStep::Ask(choices) => self.ask_trackers(cx, id, &choices),
                SearchStep::Wait => return,
                SearchStep::Send(upstream) => {
                    let load = self.end_search(cx, id, Some(&upstream));
                    self.send(cx, id, &upstream, load);
                    let service = self.active(id).map(|active| active.service.clone());
                    if let Some(service) = service {
                        self.serve_queue(cx, &service);
                    }
                    return;
                }
                SearchStep::NoCapacity => {
                    self.end_search(cx, id, None);
                    self.enqueue(cx, id);
                    return;
                }
            };
        }
    }

    /// Reserves capacity at each of `choices` and asks their load trackers.
    fn ask_trackers(
        &mut self,
        cx: CX![],
        id: names::Request,
        choices: &[SearchCandidate],
    ) -> SearchStep {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return SearchStep::Wait;
        };
        let service = active.service.clone();
        let tokens = active.search.as_ref().map_or(0.0, |search| search.tokens);
        let mut replies = Vec::new();
        for choice in choices {
            self.table.begin_request(now, &choice.upstream, tokens);
            if let Some(cost) = choice.cost {
                self.table.begin_prompt(id, &choice.upstream, cost);
            }
            let reply = self.ask_tracker(now, id, choice);
            if let TrackerReply::OverShare(counts) = reply {
                self.record_over_share(now, id, &choice.upstream, counts);
            }
            replies.push((choice.upstream.clone(), reply));
        }
        let timer = at!(now + TRACKER_TIMEOUT, [cx], stop_waiting(id));
        let mean = self.mean(&service);
        let Some(search) = self.active(id).and_then(|active| active.search.as_mut()) else {
            return SearchStep::Wait;
        };
        let previous_timer = std::mem::replace(&mut search.timer, timer);
        let mut step = SearchStep::Wait;
        for (upstream, reply) in replies {
            step = match reply {
                TrackerReply::Known(work, weight) => {
                    search.tracker_search.record_work(&upstream, work, None);
                    search.tracker_search.on_count(&upstream, work.requests, weight, mean)
                }
                TrackerReply::OverShare(_) => {
                    let requests = NO_REQUEST_GRANTED;
                    search.tracker_search.on_count(&upstream, requests, 1.0, mean)
                }
                TrackerReply::Unresponsive => search.tracker_search.on_no_answer(&upstream, mean),
                TrackerReply::Pending => SearchStep::Wait,
            };
        }
        cx.timer_del(previous_timer);
        step
    }

    /// Asks the load tracker of an upstream.
    fn ask_tracker(
        &mut self,
        now: Instant,
        request: names::Request,
        choice: &SearchCandidate,
    ) -> TrackerReply {
        let Some(request_count) = self.table.request_count(&choice.upstream) else {
            return TrackerReply::Unresponsive;
        };
        let (upstream, work) = (request_count.short_hash, request_count.work);
        let prompt_length = self.find(request).map(|index| self.requests[index].prompt_length());
        let cold_prompt = prompt_length.ok().filter(|_| choice.limit == NamedLimit::Cold);
        let in_flight = self.table.in_flight(request_count.service);
        let tracker = self.tracker(&choice.upstream, request_count.data_centre);
        let account = self.account_key(request);
        let accounts = self.account_counts(&choice.upstream);
        self.last_message_number += 1;
        let number = self.last_message_number;
        let Some(tracker) = tracker else {
            let me = self.settings.instance.clone();
            self.load_counter.report_accounts(now, &me, number, upstream, work, accounts.clone());
            if let Some(counts) = self.check_share(now, &me, upstream, account, &accounts) {
                return TrackerReply::OverShare(counts);
            }
            let weight = self.weight(now, upstream);
            return TrackerReply::Known(self.granted_work(now, upstream, cold_prompt), weight);
        };
        if cold_prompt.is_some() && self.is_unresponsive(now, &tracker) {
            // A request would be granted that is not sent, since the answer is not awaited.
            return TrackerReply::Unresponsive;
        }
        let count =
            LoadCount { number, upstream, work, in_flight, micros: 0, cold_prompt, pace: 0 };
        let query = Message::LoadQuery { count, account, accounts };
        self.send_loads(vec![tracker.clone()], &query);
        if self.is_unresponsive(now, &tracker) {
            return TrackerReply::Unresponsive;
        }
        let upstream = choice.upstream.clone();
        self.pending_queries.push(PendingQuery { number, request, upstream, tracker });
        TrackerReply::Pending
    }

    /// Returns the other instance that is the load tracker of `upstream`, or `None` if this
    /// instance is.
    pub(super) fn tracker(
        &self,
        upstream: &Upstream,
        data_centre: &DataCentre,
    ) -> Option<Instance> {
        let local = self.peers.iter().filter(|peer| peer.data_centre == *data_centre);
        let local = local.map(|peer| &peer.instance);
        let is_local = self.settings.data_centre == *data_centre;
        let me = is_local.then_some(&self.settings.instance);
        let tracker = placement::owner(upstream, local.chain(me));
        let all_peers = || self.peers.iter().map(|peer| &peer.instance);
        let tracker = tracker
            .or_else(|| placement::owner(upstream, all_peers().chain([&self.settings.instance])));
        tracker.filter(|tracker| **tracker != self.settings.instance).cloned()
    }

    /// Returns the weight of a request in the load of an upstream, above 1 for a slow upstream.
    pub(super) fn weight(&self, now: Instant, upstream: u32) -> f64 {
        let service = self
            .table
            .request_count_by_short_hash(upstream)
            .map(|request_count| request_count.service);
        let service_upstreams =
            service.into_iter().flat_map(|service| self.table.service_upstreams(service));
        self.latencies.slowness(now, upstream, service_upstreams)
    }

    /// Returns the mean number of requests per slot of `service`.
    pub(super) fn mean(&mut self, service: &Service) -> f64 {
        let slots = f64::from(self.table.slots(service).max(1));
        let own = self.table.in_flight(service);
        let entry_count = self.entry_count as f64;
        let mean = self.traffic(service).mean_in_flight.mean().unwrap_or(f64::from(own));
        mean * entry_count / slots
    }
}

/// Returns the maximum number of requests per slot of an upstream.
pub(super) fn max_utilisation(has_engine: bool) -> f64 {
    if has_engine { ENGINE_SEARCH.max_utilisation } else { ENGINELESS_SEARCH.max_utilisation }
}

/// Returns the candidates to ask about, the preferred first.
fn choices(
    candidates: &[Candidate],
    has_engine: bool,
    routing_key: RoutingKey,
) -> Vec<SearchCandidate> {
    let order = match has_engine {
        true => Affinity::new(1.0, 1).order(candidates, routing_key),
        false => shuffled_order(candidates, routing_key.random),
    };
    let choice = |index: usize| {
        let Candidate { upstream, slots, load, limit, .. } = &candidates[index];
        // Only the load tracker can say whether a rate limit is used up.
        let estimate = if *limit == NamedLimit::None { *load } else { f64::INFINITY };
        SearchCandidate {
            upstream: upstream.clone(),
            slots: *slots,
            estimate,
            limit: *limit,
            cost: None,
        }
    };
    order.into_iter().map(choice).collect()
}
