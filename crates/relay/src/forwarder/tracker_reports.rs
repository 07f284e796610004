//! Reports to load trackers, and the answers of load trackers, in a large fleet.

use std::time::{Duration, Instant};

use forward::PromptLength;
use names::{Instance, Upstream};
use stakker::{CX, after};

use super::Forwarder;
use super::load_messages::{Latency, LoadCount, Message};
use super::tracker_queries::NO_REQUEST_GRANTED;

impl Forwarder {
    /// Answers, as the load tracker of an upstream, with the number of requests at the upstream.
    pub(super) fn answer_load_query(&mut self, now: Instant, sender: Instance, count: LoadCount) {
        let LoadCount { number, upstream, requests, in_flight, cold_prompt, .. } = count;
        self.load_counter.report(now, &sender, number, upstream, requests);
        let requests = self.granted_requests(now, upstream, cold_prompt);
        let service = self
            .table
            .request_count_by_short_hash(upstream)
            .map(|request_count| request_count.service.clone());
        let in_flight = service.map_or(in_flight, |service| self.table.in_flight(&service));
        let micros = self.latencies.mean_micros(now, upstream).unwrap_or_default();
        let count = LoadCount { number, upstream, requests, in_flight, micros, cold_prompt };
        self.send_loads(vec![sender], &Message::LoadAnswer(count));
    }

    /// Returns the number of requests at an upstream that this instance tracks, and grants another one
    /// if the upstream names a rate limit or is cold. Returns [`NO_REQUEST_GRANTED`] if the limit or the
    /// allowance is used up.
    pub(super) fn granted_requests(
        &mut self,
        now: Instant,
        upstream: u32,
        cold_prompt: Option<PromptLength>,
    ) -> u32 {
        match self.table.grant(now, upstream, cold_prompt) {
            true => self.load_counter.requests(now, upstream),
            false => NO_REQUEST_GRANTED,
        }
    }

    /// Reports the time that an upstream took for an event or for a response that is not streamed
    /// to the load tracker of the upstream.
    pub(super) fn report_latency(&mut self, now: Instant, upstream: &Upstream, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        self.report_upstream(now, upstream, Some(micros));
    }

    /// Reports the number of requests of this instance at an upstream to its load tracker.
    pub(super) fn report_count(&mut self, now: Instant, upstream: &Upstream) {
        self.report_upstream(now, upstream, None);
    }

    fn report_upstream(&mut self, now: Instant, upstream: &Upstream, micros: Option<u32>) {
        if !forward::is_large_fleet(self.entry_count) {
            return;
        }
        let Some(request_count) = self.table.request_count(upstream) else {
            return;
        };
        let (short_hash, requests) = (request_count.short_hash, request_count.requests);
        let tracker = self.tracker(upstream, request_count.data_centre);
        let latency = micros.map(|micros| Latency { upstream: short_hash, micros });
        self.report_to_tracker(now, tracker, vec![(short_hash, requests)], latency);
    }

    fn report_to_tracker(
        &mut self,
        now: Instant,
        tracker: Option<Instance>,
        counts: Vec<(u32, u32)>,
        latency: Option<Latency>,
    ) {
        self.last_message_number += 1;
        let number = self.last_message_number;
        match tracker {
            Some(tracker) => {
                self.send_loads(vec![tracker], &Message::Report { number, counts, latency })
            }
            None => {
                if let Some(Latency { upstream, micros }) = latency {
                    self.latencies.observe(now, upstream, micros);
                }
                let me = self.settings.instance.clone();
                for (upstream, requests) in counts {
                    self.load_counter.report(now, &me, number, upstream, requests);
                }
            }
        }
    }

    /// Repeats the numbers of requests of this instance to all load trackers, and schedules the
    /// next report.
    pub(super) fn repeat_reports(&mut self, cx: CX![]) {
        let now = cx.now();
        self.load_counter.expire(now);
        self.latencies.expire(now);
        if forward::is_large_fleet(self.entry_count) {
            let reports = self.table.request_counts().map(|request_count| {
                let tracker = self.tracker(request_count.upstream, request_count.data_centre);
                (tracker, (request_count.short_hash, request_count.requests))
            });
            let mut reports: Vec<(Option<Instance>, (u32, u32))> = reports.collect();
            reports.sort();
            for tracker_reports in reports.chunk_by(|left, right| left.0 == right.0) {
                let counts = tracker_reports.iter().map(|report| report.1).collect();
                self.report_to_tracker(now, tracker_reports[0].0.clone(), counts, None);
            }
        }
        after!(forward::COUNT_REPORT_INTERVAL, [cx], repeat_reports());
    }
}
