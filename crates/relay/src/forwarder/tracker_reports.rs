//! Reports to load trackers, and the answers of load trackers, in a large fleet.

use std::time::{Duration, Instant};

use forward::{Pace, PromptLength, UpstreamWork};
use names::{Instance, Upstream};
use stakker::{CX, after};

use super::Forwarder;
use super::load_messages::{Latency, LoadCount, Message, NamedPace};
use super::tracker_queries::NO_REQUEST_GRANTED;

impl Forwarder {
    /// Answers, as the load tracker of an upstream, with the number of requests at the upstream.
    pub(super) fn answer_load_query(&mut self, now: Instant, sender: Instance, count: LoadCount) {
        let LoadCount { number, upstream, work, in_flight, cold_prompt, .. } = count;
        self.load_counter.report(now, &sender, number, upstream, work);
        let work = self.granted_work(now, upstream, cold_prompt);
        let service = self
            .table
            .request_count_by_short_hash(upstream)
            .map(|request_count| request_count.service.clone());
        let in_flight = service.map_or(in_flight, |service| self.table.in_flight(&service));
        let micros = self.latencies.mean_micros(now, upstream).unwrap_or_default();
        let pace = self.table.pace_percent(now, upstream).map_or(0, |percent| percent as u16);
        let count = LoadCount { number, upstream, work, in_flight, micros, cold_prompt, pace };
        self.send_loads(vec![sender], &Message::LoadAnswer(count));
    }

    /// Returns the work at an upstream that this instance tracks, and grants another request if the
    /// upstream names a rate limit or is cold. The number of requests is [`NO_REQUEST_GRANTED`] if
    /// the limit or the allowance is used up.
    pub(super) fn granted_work(
        &mut self,
        now: Instant,
        upstream: u32,
        cold_prompt: Option<PromptLength>,
    ) -> UpstreamWork {
        let work = self.load_counter.work(now, upstream);
        match self.table.grant(now, upstream, cold_prompt) {
            true => work,
            false => UpstreamWork { requests: NO_REQUEST_GRANTED, ..work },
        }
    }

    /// Records, as the load tracker of an upstream, the pace that it named in an answer to another
    /// instance.
    pub(super) fn receive_pace(&mut self, now: Instant, pace: Option<NamedPace>) {
        if let Some(NamedPace { upstream, percent }) = pace
            && let Some(pace) = Pace::from_percent(percent.into())
        {
            self.table.receive_pace(now, upstream, pace);
        }
    }

    /// Reports the time that an upstream took for an event or for a response that is not streamed
    /// to the load tracker of the upstream.
    pub(super) fn report_latency(&mut self, now: Instant, upstream: &Upstream, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        self.report_upstream(now, upstream, Some(micros), None);
    }

    /// Reports the pace that an upstream named in an answer, and the work of this instance there, to
    /// the load tracker of the upstream.
    pub(super) fn report_pace(&mut self, now: Instant, upstream: &Upstream, pace: Pace) {
        self.report_upstream(now, upstream, None, Some(pace));
    }

    /// Reports the number of requests of this instance at an upstream to its load tracker.
    pub(super) fn report_count(&mut self, now: Instant, upstream: &Upstream) {
        self.report_upstream(now, upstream, None, None);
    }

    fn report_upstream(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        micros: Option<u32>,
        pace: Option<Pace>,
    ) {
        if !forward::is_large_fleet(self.entry_count) {
            return;
        }
        let Some(request_count) = self.table.request_count(upstream) else {
            return;
        };
        let (short_hash, work) = (request_count.short_hash, request_count.work);
        let tracker = self.tracker(upstream, request_count.data_centre);
        let latency = micros.map(|micros| Latency { upstream: short_hash, micros });
        let pace = pace.map(|pace| NamedPace { upstream: short_hash, percent: pace.percent() });
        self.report_to_tracker(now, tracker, vec![(short_hash, work)], latency, pace);
    }

    fn report_to_tracker(
        &mut self,
        now: Instant,
        tracker: Option<Instance>,
        counts: Vec<(u32, UpstreamWork)>,
        latency: Option<Latency>,
        pace: Option<NamedPace>,
    ) {
        self.last_message_number += 1;
        let number = self.last_message_number;
        match tracker {
            Some(tracker) => {
                let message = Message::Report { number, counts, latency, pace };
                self.send_loads(vec![tracker], &message)
            }
            None => {
                if let Some(Latency { upstream, micros }) = latency {
                    self.latencies.observe(now, upstream, micros);
                }
                let me = self.settings.instance.clone();
                for (upstream, work) in counts {
                    self.load_counter.report(now, &me, number, upstream, work);
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
                (tracker, (request_count.short_hash, request_count.work))
            });
            let mut reports: Vec<(Option<Instance>, (u32, UpstreamWork))> = reports.collect();
            reports.sort();
            for tracker_reports in reports.chunk_by(|left, right| left.0 == right.0) {
                let counts = tracker_reports.iter().map(|report| report.1).collect();
                self.report_to_tracker(now, tracker_reports[0].0.clone(), counts, None, None);
            }
        }
        after!(forward::COUNT_REPORT_INTERVAL, [cx], repeat_reports());
    }
}
