//! Asks the keepers of upstreams how much these hold, in a large fleet.
//!
//! The tracker of an upstream is an entry instance of its data centre. A request reserves its place
//! at an upstream with the question, so that two that ask at once know of each other.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use forward::{Affinity, Candidate, Choice, Search, Step, Walk, Wish, scattered};
use names::{DataCentre, Instance, Service, Upstream};
use stakker::{CX, FixedTimerKey, at};

use super::Forwarder;
use super::load_messages::{LoadCount, Message};
use super::upstream_selection::Placement;

/// How long an answer of a tracker is waited for: several round trips between data centres on a busy
/// machine, and a small part of the shortest objective.
const TRACKER_TIMEOUT: Duration = Duration::from_millis(30);

/// For how long a tracker that did not answer is asked, but not waited for.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1000);

/// How engines are looked for: one after the other, so that a context stays where it is.
const ENGINE_SEARCH: Search = Search { breadth: 1, most: 3, fill: 1.1, bound: LOAD_BOUND_FRACTION };

/// How plain upstreams are looked for: two at a time, of which the less loaded one is taken.
const PLAIN_SEARCH: Search = Search { breadth: 2, most: 4, fill: 1.5, bound: LOAD_BOUND_FRACTION };

/// Share of the bound on the load that is used. Counts are exact but for what is on its link, the
/// mean is an estimate.
const LOAD_BOUND_FRACTION: f64 = 0.75;

/// Another entry instance.
pub(super) struct EntryPeer {
    pub(super) instance: Instance,
    pub(super) data_centre: DataCentre,
}

/// A question to a tracker.
pub(super) struct PendingQuery {
    number: u64,
    request: names::Request,
    upstream: Upstream,
    tracker: Instance,
}

/// A tracker that did not answer.
pub(super) struct UnresponsiveTracker {
    tracker: Instance,
    until: Instant,
}

/// What is known of an upstream once its tracker was asked.
enum TrackerReply {
    /// Requests there and how much each request_counts, since this instance is its tracker.
    Held(u32, f64),
    /// The tracker is not waited for.
    Unresponsive,
    /// The tracker will answer.
    Pending,
}

/// The search of a request for its upstream.
pub(super) struct UpstreamSearch {
    walk: Walk,
    /// Prompt tokens that are reserved wherever it has asked.
    tokens: f64,
    timer: FixedTimerKey,
}

/// A number above those of earlier runs, if the clock was not set back; if it was, keepers pass over
/// what this run says until they have forgotten the earlier one, for some seconds.
pub(super) fn first_message_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or_default()
}

impl Forwarder {
    /// How to look for an upstream among `candidates`; none if no tracker would answer, so that this
    /// instance chooses by what it has heard.
    pub(super) fn search(
        &self,
        now: Instant,
        candidates: &[Candidate],
        has_engine: bool,
        wish: Wish,
    ) -> Option<(Search, Vec<Choice>)> {
        if !forward::is_wide(self.entry_instances) {
            return None;
        }
        let mut choices = choices(candidates, has_engine, wish);
        let mut search = if has_engine { ENGINE_SEARCH } else { PLAIN_SEARCH };
        search.bound *= self.settings.direct.load_bound;
        choices.truncate(search.most);
        let is_heard = |choice: &Choice| {
            let request_count = self.table.request_count(&choice.upstream);
            let tracker =
                request_count.and_then(|one| self.tracker(&choice.upstream, one.data_centre));
            tracker.is_none_or(|tracker| !self.is_unresponsive(now, &tracker))
        };
        let is_asked = choices.is_empty() || choices.iter().any(is_heard);
        is_asked.then_some((search, choices))
    }

    fn is_unresponsive(&self, now: Instant, tracker: &Instance) -> bool {
        self.unresponsive.iter().any(|one| one.tracker == *tracker && now < one.until)
    }

    /// Begins to look for an upstream.
    pub(super) fn begin_search(
        &mut self,
        cx: CX![],
        id: names::Request,
        search: Search,
        choices: Vec<Choice>,
    ) -> Placement {
        let Some(active) = self.active(id) else {
            return Placement::Sent;
        };
        let (wish, tokens) = (active.wish(), active.own_tokens());
        let mut walk = Walk::new(search, choices, wish.lot);
        let step = walk.begin();
        if step == Step::Full {
            return Placement::Full;
        }
        if let Some(active) = self.active(id) {
            active.search = Some(UpstreamSearch { walk, tokens, timer: FixedTimerKey::default() });
        }
        self.continue_search(cx, id, step);
        Placement::Asking
    }

    /// Does what a walk asks for.
    fn continue_search(&mut self, cx: CX![], id: names::Request, mut step: Step) {
        loop {
            step = match step {
                Step::Ask(choices) => self.ask_trackers(cx, id, &choices),
                Step::Wait => return,
                Step::Take(upstream) => {
                    let load = self.end_search(cx, id, Some(&upstream));
                    self.send(cx, id, &upstream, load);
                    let service = self.active(id).map(|active| active.service.clone());
                    if let Some(service) = service {
                        self.serve_queue(cx, &service);
                    }
                    return;
                }
                Step::Full => {
                    self.end_search(cx, id, None);
                    self.enqueue(cx, id);
                    return;
                }
            };
        }
    }

    /// Reserves a place at each of `choices` and asks their keepers.
    fn ask_trackers(&mut self, cx: CX![], id: names::Request, choices: &[Choice]) -> Step {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return Step::Wait;
        };
        let service = active.service.clone();
        let tokens = active.search.as_ref().map_or(0.0, |search| search.tokens);
        let mut replies = Vec::new();
        for choice in choices {
            self.table.begin_request(now, &choice.upstream, tokens);
            let reply = self.ask_tracker(now, id, choice);
            replies.push((choice.upstream.clone(), reply));
        }
        let timer = at!(now + TRACKER_TIMEOUT, [cx], stop_waiting(id));
        let mean = self.mean(&service);
        let Some(search) = self.active(id).and_then(|active| active.search.as_mut()) else {
            return Step::Wait;
        };
        let former = std::mem::replace(&mut search.timer, timer);
        let mut step = Step::Wait;
        for (upstream, reply) in replies {
            step = match reply {
                TrackerReply::Held(held, weight) => {
                    search.walk.answer(&upstream, held, weight, mean)
                }
                TrackerReply::Unresponsive => search.walk.guess(&upstream, mean),
                TrackerReply::Pending => Step::Wait,
            };
        }
        cx.timer_del(former);
        step
    }

    /// Asks the tracker of an upstream.
    fn ask_tracker(
        &mut self,
        now: Instant,
        request: names::Request,
        choice: &Choice,
    ) -> TrackerReply {
        let Some(request_count) = self.table.request_count(&choice.upstream) else {
            return TrackerReply::Unresponsive;
        };
        let (upstream, held) = (request_count.short, request_count.own);
        let in_flight = self.table.in_flight(request_count.service);
        let tracker = self.tracker(&choice.upstream, request_count.data_centre);
        self.last_message_number += 1;
        let number = self.last_message_number;
        let Some(tracker) = tracker else {
            let me = self.settings.instance.clone();
            self.tally.tell(now, &me, number, upstream, held);
            let weight = self.weight(now, upstream);
            return TrackerReply::Held(self.tally.held(now, upstream), weight);
        };
        let count = LoadCount { number, upstream, held, in_flight, micros: 0 };
        self.send_loads(vec![tracker.clone()], &Message::LoadQuery(count));
        if self.is_unresponsive(now, &tracker) {
            return TrackerReply::Unresponsive;
        }
        let upstream = choice.upstream.clone();
        self.pending_queries.push(PendingQuery { number, request, upstream, tracker });
        TrackerReply::Pending
    }

    /// The other instance that keeps the load of `upstream`; none if this one does.
    pub(super) fn tracker(
        &self,
        upstream: &Upstream,
        data_centre: &DataCentre,
    ) -> Option<Instance> {
        let near = self.peers.iter().filter(|other| other.data_centre == *data_centre);
        let near = near.map(|other| &other.instance);
        let is_mine = self.settings.data_centre == *data_centre;
        let me = is_mine.then_some(&self.settings.instance);
        let tracker = placement::owner(upstream, near.chain(me));
        let all = || self.peers.iter().map(|other| &other.instance);
        let tracker =
            tracker.or_else(|| placement::owner(upstream, all().chain([&self.settings.instance])));
        tracker.filter(|tracker| **tracker != self.settings.instance).cloned()
    }

    /// How much a request at an upstream request_counts: more if it is slow.
    pub(super) fn weight(&self, now: Instant, upstream: u32) -> f64 {
        let service = self
            .table
            .request_count_by_short_name(upstream)
            .map(|request_count| request_count.service);
        let service_upstreams =
            service.into_iter().flat_map(|service| self.table.service_upstreams(service));
        self.paces.slowness(now, upstream, service_upstreams)
    }

    /// The mean load for each slot of `service`.
    fn mean(&mut self, service: &Service) -> f64 {
        let slots = f64::from(self.table.slots(service).max(1));
        let own = self.table.in_flight(service);
        let entry_instances = self.entry_instances as f64;
        let mean = self.traffic(service).in_flight_level.mean().unwrap_or(f64::from(own));
        mean * entry_instances / slots
    }

    /// Takes the answer of a tracker.
    pub(super) fn receive_load_answer(&mut self, cx: CX![], tracker: &Instance, count: LoadCount) {
        self.unresponsive.retain(|one| one.tracker != *tracker);
        let found = self.pending_queries.iter().position(|one| one.number == count.number);
        let Some(question) = found.map(|index| self.pending_queries.swap_remove(index)) else {
            return;
        };
        let Some(active) = self.active(question.request) else {
            return;
        };
        let (service, now) = (active.service.clone(), cx.now());
        self.traffic(&service).in_flight_level.sample(count.in_flight);
        if count.micros > 0 {
            self.paces.hear(now, count.upstream, count.micros);
        }
        let weight = self.weight(now, count.upstream);
        let mean = self.mean(&service);
        let search = self.active(question.request).and_then(|active| active.search.as_mut());
        if let Some(search) = search {
            let step = search.walk.answer(&question.upstream, count.held, weight, mean);
            self.continue_search(cx, question.request, step);
        }
    }

    /// Goes on without keepers that have not answered.
    fn stop_waiting(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        self.unresponsive.retain(|one| now < one.until);
        for question in self.pending_queries.extract_if(.., |one| one.request == id) {
            log::debug!("instance {}: no answer about {}", question.tracker, question.upstream);
            self.unresponsive.push(UnresponsiveTracker {
                tracker: question.tracker,
                until: now + UNRESPONSIVE_TIME,
            });
        }
        let Some(service) = self.active(id).map(|active| active.service.clone()) else {
            return;
        };
        let mean = self.mean(&service);
        let search = self.active(id).and_then(|active| active.search.as_mut());
        if let Some(search) = search {
            let step = search.walk.give_up_waiting(mean);
            self.continue_search(cx, id, step);
        }
    }

    /// Ends the search of a request, which takes the place at `taken` alone; gives the load there.
    fn end_search(&mut self, cx: CX![], id: names::Request, taken: Option<&Upstream>) -> f64 {
        let Some(search) = self.active(id).and_then(|active| active.search.take()) else {
            return 0.0;
        };
        cx.timer_del(search.timer);
        self.pending_queries.retain(|one| one.request != id);
        for upstream in search.walk.asked().filter(|one| Some(*one) != taken) {
            self.release(cx.now(), upstream, search.tokens);
        }
        taken.map_or(0.0, |taken| search.walk.load(taken))
    }

    /// Gives up all that a search has reserved, since its request ended.
    pub(super) fn abandon_search(
        &mut self,
        cx: CX![],
        id: names::Request,
        search: &UpstreamSearch,
    ) {
        cx.timer_del(search.timer);
        self.pending_queries.retain(|one| one.request != id);
        for upstream in search.walk.asked() {
            self.release(cx.now(), upstream, search.tokens);
        }
    }

    fn release(&mut self, now: Instant, upstream: &Upstream, tokens: f64) {
        self.table.remove_tokens(upstream, tokens);
        self.table.end_request(upstream);
        self.report_count(now, upstream);
    }
}

/// The candidates that are asked about, the preferred first.
fn choices(candidates: &[Candidate], has_engine: bool, wish: Wish) -> Vec<Choice> {
    let order = match has_engine {
        true => Affinity::new(1.0, 1).order(candidates, wish),
        false => scattered(candidates, wish.lot),
    };
    let choice = |index: usize| Choice {
        upstream: candidates[index].upstream.clone(),
        slots: candidates[index].slots,
        estimate: candidates[index].load,
    };
    order.into_iter().map(choice).collect()
}
