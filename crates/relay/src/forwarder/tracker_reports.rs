//! Reports to load trackers, and the answers of load trackers, in a large fleet.

use std::time::{Duration, Instant};

use forward::{AccountCounts, Pace, PromptLength, UpstreamWork};
use names::{Instance, Upstream};
use stakker::{CX, after};

use super::Forwarder;
use super::load_messages::{Latency, LoadCount, Message, NamedPace};
use super::tracker_queries::NO_REQUEST_GRANTED;

/// Maximum number of upstreams in a report with accounts, so that the message fits in a datagram.
const MAX_ACCOUNT_REPORTS: usize = 8;

impl Forwarder {
    /// Answers, as the load tracker of an upstream, with the number of requests at the upstream,
    /// and whether the request is over the share of its account.
    pub(super) fn answer_load_query(
        &mut self,
        now: Instant,
        sender: Instance,
        count: LoadCount,
        account: Option<u32>,
        accounts: AccountCounts,
    ) {
        let LoadCount { number, upstream, work, in_flight, cold_prompt, .. } = count;
        self.load_counter.report_accounts(now, &sender, number, upstream, work, accounts.clone());
        let over_share = self.check_share(now, &sender, upstream, account, &accounts);
        let work = match over_share {
            Some(_) => UpstreamWork {
                requests: NO_REQUEST_GRANTED,
                ..self.load_counter.work(now, upstream)
            },
            None => self.granted_work(now, upstream, cold_prompt),
        };
        let service = self
            .table
            .request_count_by_short_hash(upstream)
            .map(|request_count| request_count.service.clone());
        let in_flight = service.map_or(in_flight, |service| self.table.in_flight(&service));
        let micros = self.latencies.mean_micros(now, upstream).unwrap_or_default();
        let pace = self.table.pace_percent(now, upstream).map_or(0, |percent| percent as u16);
        let count = LoadCount { number, upstream, work, in_flight, micros, cold_prompt, pace };
        self.send_loads(vec![sender], &Message::LoadAnswer { count, over_share });
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
        let counts = vec![(short_hash, work)];
        let accounts = self.reported_accounts([upstream]);
        self.report_to_tracker(now, tracker, counts, accounts, latency, pace);
    }

    /// Returns the requests of this instance at each of `upstreams` by account, or nothing if accounts
    /// have no shares.
    fn reported_accounts<'a, U>(&self, upstreams: U) -> Vec<AccountCounts>
    where
        U: IntoIterator<Item = &'a Upstream>,
    {
        let has_shares = self.settings.direct.fair_shares;
        let upstreams = upstreams.into_iter().filter(|_| has_shares);
        upstreams.map(|upstream| self.account_counts(upstream)).collect()
    }

    /// Records the work of `sender` at upstreams that this instance tracks, and its accounts.
    pub(super) fn count_reported(
        &mut self,
        now: Instant,
        sender: &Instance,
        number: u64,
        counts: Vec<(u32, UpstreamWork)>,
        accounts: Vec<AccountCounts>,
    ) {
        let accounts = accounts.into_iter().chain(std::iter::repeat_with(AccountCounts::default));
        for ((upstream, work), accounts) in counts.into_iter().zip(accounts) {
            self.load_counter.report_accounts(now, sender, number, upstream, work, accounts);
        }
    }

    fn report_to_tracker(
        &mut self,
        now: Instant,
        tracker: Option<Instance>,
        counts: Vec<(u32, UpstreamWork)>,
        accounts: Vec<AccountCounts>,
        latency: Option<Latency>,
        pace: Option<NamedPace>,
    ) {
        self.last_message_number += 1;
        let number = self.last_message_number;
        match tracker {
            Some(tracker) => {
                let message = Message::Report { number, counts, latency, pace, accounts };
                self.send_loads(vec![tracker], &message)
            }
            None => {
                if let Some(Latency { upstream, micros }) = latency {
                    self.latencies.observe(now, upstream, micros);
                }
                let me = self.settings.instance.clone();
                self.count_reported(now, &me, number, counts, accounts);
            }
        }
    }

    /// Repeats the numbers of requests of this instance to all load trackers, and schedules the
    /// next report.
    pub(super) fn repeat_reports(&mut self, cx: CX![]) {
        let now = cx.now();
        self.load_counter.expire(now);
        self.latencies.expire(now);
        self.competing_accounts.expire(now);
        if forward::is_large_fleet(self.entry_count) {
            let reports = self.table.request_counts().map(|request_count| {
                let tracker = self.tracker(request_count.upstream, request_count.data_centre);
                let accounts = self.reported_accounts([request_count.upstream]);
                (tracker, (request_count.short_hash, request_count.work), accounts)
            });
            let mut reports: Vec<_> = reports.collect();
            reports.sort();
            let max = match self.settings.direct.fair_shares {
                true => MAX_ACCOUNT_REPORTS,
                false => usize::MAX,
            };
            let of_trackers = reports.chunk_by(|left, right| left.0 == right.0);
            for reports in of_trackers.flat_map(|of_tracker| of_tracker.chunks(max)) {
                let counts = reports.iter().map(|report| report.1).collect();
                let accounts = reports.iter().flat_map(|report| report.2.clone()).collect();
                let tracker = reports[0].0.clone();
                self.report_to_tracker(now, tracker, counts, accounts, None, None);
            }
        }
        after!(forward::COUNT_REPORT_INTERVAL, [cx], repeat_reports());
    }
}
