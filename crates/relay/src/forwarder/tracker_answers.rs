//! Answers of load trackers, and the ends of searches for an upstream.

use std::time::{Duration, Instant};

use forward::ShareCounts;
use names::{Instance, Upstream};
use stakker::CX;

use super::Forwarder;
use super::load_messages::LoadCount;
use super::prompt_costs::PlacementBasis;
use super::tracker_queries::{UnresponsiveTracker, UpstreamSearch};

/// Time for which a load tracker that did not answer is still asked, but its answer is not awaited.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1000);

impl Forwarder {
    /// Handles the answer of a load tracker.
    pub(super) fn receive_load_answer(
        &mut self,
        cx: CX![],
        tracker: &Instance,
        count: LoadCount,
        over_share: Option<ShareCounts>,
    ) {
        self.unresponsive.retain(|entry| entry.tracker != *tracker);
        let found = self.pending_queries.iter().position(|query| query.number == count.number);
        let Some(query) = found.map(|index| self.pending_queries.swap_remove(index)) else {
            return;
        };
        let Some(active) = self.active(query.request) else {
            return;
        };
        let (service, now) = (active.service.clone(), cx.now());
        self.traffic(&service).mean_in_flight.sample(count.in_flight);
        if count.micros > 0 {
            self.latencies.set_mean(now, count.upstream, count.micros);
        }
        if let Some(counts) = over_share {
            self.record_over_share(now, query.request, &query.upstream, counts);
        }
        let weight = self.weight(now, count.upstream);
        let mean = self.mean(&service);
        let search = self.active(query.request).and_then(|active| active.search.as_mut());
        if let Some(search) = search {
            let pace = (count.pace > 0).then(|| f64::from(count.pace));
            search.tracker_search.record_work(&query.upstream, count.work, pace);
            let requests = count.work.requests;
            let step = search.tracker_search.on_count(&query.upstream, requests, weight, mean);
            self.continue_search(cx, query.request, step);
        }
    }

    /// Continues without the load trackers that have not answered.
    pub(super) fn stop_waiting(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        self.unresponsive.retain(|entry| now < entry.until);
        for query in self.pending_queries.extract_if(.., |query| query.request == id) {
            log::debug!(
                "load tracker {} did not answer about upstream {}",
                query.tracker,
                query.upstream
            );
            self.unresponsive.push(UnresponsiveTracker {
                tracker: query.tracker,
                until: now + UNRESPONSIVE_TIME,
            });
        }
        let Some(service) = self.active(id).map(|active| active.service.clone()) else {
            return;
        };
        let mean = self.mean(&service);
        let search = self.active(id).and_then(|active| active.search.as_mut());
        if let Some(search) = search {
            let step = search.tracker_search.on_timeout(mean);
            self.continue_search(cx, id, step);
        }
    }

    /// Ends the search of a request and releases all reservations except the one at `chosen`.
    /// Returns the number of requests at `chosen`, or 0 if there is none.
    pub(super) fn end_search(
        &mut self,
        cx: CX![],
        id: names::Request,
        chosen: Option<&Upstream>,
    ) -> f64 {
        let Some(search) = self.active(id).and_then(|active| active.search.take()) else {
            return 0.0;
        };
        cx.timer_del(search.timer);
        self.pending_queries.retain(|query| query.request != id);
        for upstream in search.reserved().filter(|upstream| Some(*upstream) != chosen) {
            self.release(cx.now(), id, upstream, search.tokens);
        }
        self.count_over_share(id, &search, chosen.is_some());
        let search = search.tracker_search;
        let cost = chosen.and_then(|chosen| search.cost(chosen));
        let is_moved = search.is_moved();
        self.record_basis(id, cost.map(|cost| PlacementBasis { work: cost.work, is_moved }));
        chosen.map_or(0.0, |chosen| search.load(chosen))
    }

    /// Releases all reservations of a search, because its request ended.
    pub(super) fn abandon_search(
        &mut self,
        cx: CX![],
        id: names::Request,
        search: &UpstreamSearch,
    ) {
        cx.timer_del(search.timer);
        self.pending_queries.retain(|query| query.request != id);
        for upstream in search.reserved() {
            self.release(cx.now(), id, upstream, search.tokens);
        }
    }

    /// Releases the capacity that was reserved for a request at `upstream`.
    pub(super) fn release(
        &mut self,
        now: Instant,
        id: names::Request,
        upstream: &Upstream,
        tokens: f64,
    ) {
        self.table.end_prompt(id, upstream);
        self.table.remove_tokens(upstream, tokens);
        self.table.end_request(upstream);
        self.report_count(now, upstream);
    }
}
