//! Table of the upstreams that the forwarder knows, with their loads and failures.

mod cold;
mod cordons;
mod evacuations;
mod health;
mod prompt_work;
mod rate_limits;
mod request_counts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dispatch::OutlierDetector;
use forward::{
    Candidate, ColdTime, ContextSource, Cordons, Evacuations, Load, LoadEstimate, LoadGossip, Pace,
    PromptWork, RateLimits, Report, RoutingKey,
};
use names::{DataCentre, Instance, Service, Upstream};
use quarantine::Run;
use roster::{Announcement, Status, short_hash};
use telemetry::Metrics;

use crate::feed::{KnownUpstream, UpstreamList};
use cold::ColdServices;
pub(super) use cold::{ColdBounds, ColdUpstream};

/// Number of announcements that an upstream may miss before requests avoid the upstream.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Maximum delay of a forwarded announcement.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);

/// Maximum age of the last report of a control instance. Missing announcements are ignored if the
/// report is older.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);

/// Time without any bytes after which an upstream with requests is avoided. Engines send events of
/// other requests in this time, and services without engines answer most requests sooner.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without any bytes after which an engine seems to be processing a long prompt: twice the
/// time to the first event of a request whose context is cached.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a data centre is avoided after one of its upstreams was lost and none of them has
/// sent anything since.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1000);

/// Reachability of a data centre.
struct DataCentreLink {
    data_centre: DataCentre,
    last_heard: Option<Instant>,
    last_lost: Option<Instant>,
}

impl DataCentreLink {
    /// Returns whether the data centre seems to be unreachable.
    fn is_unreachable(&self, now: Instant) -> bool {
        let is_recent = self.last_lost.is_some_and(|lost| now < lost + UNREACHABLE_TIME);
        is_recent && self.last_heard < self.last_lost
    }
}

struct TableEntry {
    announcement: Announcement,
    /// Short hash of the name, which identifies the upstream in messages about loads.
    short_hash: u32,
    last_heard: Instant,
    /// Time at which this instance first learned of the run.
    known_since: Instant,
    estimate: LoadEstimate,
    /// Prompts of this instance there, and the pace that the upstream names.
    prompt_work: PromptWork,
    /// Whether another upstream answered at the address.
    is_replaced: bool,
    /// Time since which the upstream has requests and has sent nothing.
    quiet_since: Option<Instant>,
    cold_time: ColdTime,
    /// Whether the upstream was cold when the allowances were last applied.
    is_cold: bool,
}

/// All upstreams that have not left, sorted by name.
pub(super) struct UpstreamTable {
    data_centre: DataCentre,
    /// Time without announcements after which an upstream is avoided.
    announcement_timeout: Duration,
    entries: Vec<TableEntry>,
    last_report: Option<Instant>,
    health: OutlierDetector,
    links: Vec<DataCentreLink>,
    metrics: Arc<Metrics>,
    gossip: LoadGossip,
    /// Upstreams that want no new requests.
    cordons: Cordons,
    /// Data centres whose upstreams get no new requests.
    evacuations: Evacuations,
    rate_limits: RateLimits,
    /// What is declared about cold upstreams.
    cold_services: ColdServices,
}

/// Address of an upstream, and time of its last announcement.
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// Start of the run of the upstream.
    pub(super) born: u64,
    /// Time of the last announcement.
    pub(super) last_heard: Instant,
}

impl UpstreamTable {
    pub(super) fn new(
        me: Instance,
        data_centre: DataCentre,
        announce_period: Duration,
        metrics: Arc<Metrics>,
        cold_bounds: Option<ColdBounds>,
    ) -> Self {
        let announcement_timeout = announce_period * MISSED_ANNOUNCEMENTS + ANNOUNCEMENT_DELAY;
        let health = OutlierDetector::default();
        let (entries, links) = (Vec::new(), Vec::new());
        Self {
            data_centre,
            announcement_timeout,
            entries,
            last_report: None,
            health,
            links,
            metrics,
            gossip: LoadGossip::default(),
            cordons: Cordons::default(),
            evacuations: Evacuations::default(),
            rate_limits: RateLimits::new(me),
            cold_services: ColdServices::new(cold_bounds),
        }
    }

    /// Replaces the upstreams by those in `list`. Returns the addresses that are no longer in
    /// use.
    pub(super) fn update(&mut self, now: Instant, list: &UpstreamList) -> Vec<SocketAddr> {
        self.last_report = list.last_report;
        let withdrawn = self.evacuations.update(now, &list.evacuated);
        let mut previous = std::mem::take(&mut self.entries);
        for KnownUpstream { announcement, last_heard, cold_until } in &list.upstreams {
            let index = previous.iter().position(|entry| {
                entry.announcement.upstream == announcement.upstream
                    && entry.announcement.born == announcement.born
            });
            let mut entry = match index.map(|index| previous.swap_remove(index)) {
                Some(entry) => {
                    let is_replaced = entry.is_replaced && entry.announcement == *announcement;
                    TableEntry {
                        announcement: announcement.clone(),
                        last_heard: *last_heard,
                        is_replaced,
                        ..entry
                    }
                }
                None => TableEntry {
                    announcement: announcement.clone(),
                    short_hash: short_hash(&announcement.upstream),
                    last_heard: *last_heard,
                    known_since: now,
                    estimate: LoadEstimate::default(),
                    prompt_work: PromptWork::default(),
                    is_replaced: false,
                    quiet_since: None,
                    cold_time: ColdTime::default(),
                    is_cold: false,
                },
            };
            entry.cold_time.set_announced(*cold_until);
            self.entries.push(entry);
        }
        for data_centre in &withdrawn {
            self.mark_cold_after_evacuation(now, data_centre);
        }
        let entries = &self.entries;
        self.cordons.expire(now, |upstream, born| {
            let mut listed = entries.iter().map(|entry| &entry.announcement);
            listed.any(|listed| listed.upstream == *upstream && listed.born == born)
        });
        let is_used = |address: &SocketAddr| {
            self.entries.iter().any(|entry| entry.announcement.address == *address)
        };
        previous
            .iter()
            .map(|entry| entry.announcement.address)
            .filter(|address| !is_used(address))
            .collect()
    }

    /// Returns the number of upstreams that may get new requests.
    pub(super) fn ready(&self) -> usize {
        self.entries.iter().filter(|entry| self.is_ready(entry)).count()
    }

    /// Returns the number of addresses at which upstreams of `service` run or ran recently, without
    /// those of evacuated data centres.
    pub(super) fn address_count(&self, service: &Service) -> usize {
        let of_service = self.entries.iter().filter(|entry| entry.announcement.service == *service);
        let of_service = of_service.filter(|entry| !self.is_evacuated(entry));
        let mut addresses: Vec<SocketAddr> =
            of_service.map(|entry| entry.announcement.address).collect();
        addresses.sort();
        addresses.dedup();
        addresses.len()
    }

    /// Returns the number of upstreams of `service` that can take requests, among those of whose run
    /// `is_alive` returns true.
    pub(super) fn working<A>(&self, now: Instant, service: &Service, is_alive: A) -> usize
    where
        A: Fn(Run) -> bool,
    {
        let is_working = |entry: &&TableEntry| {
            let Announcement { service: of, upstream, born, .. } = &entry.announcement;
            of == service
                && self.is_open(now, entry)
                && !self.is_unavailable(now, entry)
                && !self.health.is_avoided(service, upstream, now)
                && is_alive(Run { upstream: entry.short_hash, born: *born })
        };
        self.entries.iter().filter(is_working).count()
    }

    /// Returns the upstreams of `service` that may get new requests. Those in `tried` are omitted
    /// unless there are no others, and the last of them unless it is the only one.
    pub(super) fn candidates(
        &mut self,
        now: Instant,
        service: &Service,
        tried: &[Upstream],
        instances: u32,
    ) -> Vec<Candidate> {
        let avoided = self.health.avoided_upstreams(service, now);
        self.list_candidates(now, service, tried, instances, &avoided)
    }

    /// Returns the upstream of `service` that a request with `routing_key` prefers, whether or not it
    /// takes one now.
    pub(super) fn home(&self, service: &Service, routing_key: RoutingKey) -> Option<&Upstream> {
        let of_service = |entry: &&TableEntry| entry.announcement.service == *service;
        let ready = self.entries.iter().filter(of_service).filter(|entry| self.is_ready(entry));
        forward::home(ready.map(|entry| &entry.announcement.upstream), routing_key)
    }

    /// Returns the upstreams of `service` that a request in progress at `running`, which is silent,
    /// can move to. None of them failed recently.
    pub(super) fn move_targets(
        &self,
        now: Instant,
        service: &Service,
        running: &Upstream,
        tried: &[Upstream],
        instances: u32,
    ) -> Vec<Candidate> {
        let unproven = self.health.unproven_upstreams(service);
        let mut targets = self.list_candidates(now, service, tried, instances, &unproven);
        targets.retain(|target| !target.is_avoided && target.upstream != *running);
        targets
    }

    fn list_candidates(
        &self,
        now: Instant,
        service: &Service,
        tried: &[Upstream],
        instances: u32,
        avoided: &[Upstream],
    ) -> Vec<Candidate> {
        let of_service = |entry: &&TableEntry| entry.announcement.service == *service;
        let ready = self.entries.iter().filter(of_service).filter(|entry| self.is_open(now, entry));
        let prior = forward::mean_load(ready.clone().map(|entry| &entry.estimate), now);
        let is_large_fleet = forward::is_large_fleet(instances as usize);
        let candidates = ready.map(|entry| {
            let announcement = &entry.announcement;
            Candidate {
                upstream: announcement.upstream.clone(),
                is_local: announcement.data_centre == self.data_centre,
                load: entry.estimate.load(now, instances, prior),
                slots: announcement.slots,
                backlog: entry.estimate.backlog(),
                is_unresponsive: is_large_fleet && self.is_unresponsive(now, entry),
                slow_start_share: forward::slow_start_share(
                    now.saturating_duration_since(self.slow_start_since(entry)),
                ),
                limit: self.named_limit(now, entry),
                is_avoided: self.is_unavailable(now, entry)
                    || avoided.contains(&announcement.upstream),
                cost: None,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let untried =
            candidates.iter().filter(|candidate| !tried.contains(&candidate.upstream)).cloned();
        let untried: Vec<Candidate> = untried.collect();
        if !untried.is_empty() {
            return untried;
        }
        let is_other = |candidate: &&Candidate| tried.last() != Some(&candidate.upstream);
        let others: Vec<Candidate> = candidates.iter().filter(is_other).cloned().collect();
        if others.is_empty() { candidates } else { others }
    }

    /// Returns the engines of `service` from which others may fetch context, including those that
    /// are draining.
    pub(super) fn sources(&self, now: Instant, service: &Service) -> Vec<ContextSource> {
        let can_serve = |entry: &&TableEntry| {
            let Announcement { service: entry_service, standing, .. } = &entry.announcement;
            entry_service == service && *standing != Status::Gone && !entry.is_replaced
        };
        let source = |entry: &TableEntry| {
            let upstream = entry.announcement.upstream.clone();
            let is_new =
                forward::slow_start_share(now.saturating_duration_since(entry.known_since)) < 1.0;
            let is_avoided = self.health.is_avoided(service, &upstream, now);
            let is_usable = !is_avoided && !self.is_unavailable(now, entry);
            ContextSource { upstream, short_hash: entry.short_hash, is_usable, is_new }
        };
        self.entries.iter().filter(can_serve).map(source).collect()
    }

    /// Returns whether an upstream seems to be down or unreachable.
    fn is_unavailable(&self, now: Instant, entry: &TableEntry) -> bool {
        let has_recent_report =
            self.last_report.is_some_and(|last_report| now < last_report + MAX_REPORT_AGE);
        let is_unannounced =
            has_recent_report && now > entry.last_heard + self.announcement_timeout;
        is_unannounced
            || self.is_unreachable(now, &entry.announcement.data_centre)
            || entry.is_stalled(now)
    }

    fn entry(&mut self, upstream: &Upstream) -> Option<&mut TableEntry> {
        self.entries.iter_mut().find(|entry| entry.announcement.upstream == *upstream)
    }

    /// Returns the endpoint of `upstream`.
    pub(super) fn endpoint(&self, upstream: &Upstream) -> Option<Endpoint> {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        found.map(|entry| Endpoint {
            address: entry.announcement.address,
            born: entry.announcement.born,
            last_heard: entry.last_heard,
        })
    }

    /// Returns the address of the run of `upstream` that started at `born`, unless the run is
    /// leaving or has left. The run may be in an evacuated data centre.
    pub(super) fn expected_address(&self, upstream: &Upstream, born: u64) -> Option<SocketAddr> {
        let is_run = |entry: &&TableEntry| {
            entry.announcement.upstream == *upstream && entry.announcement.born == born
        };
        let entry = self.entries.iter().filter(|entry| self.is_in_service(entry)).find(is_run);
        entry.map(|entry| entry.announcement.address)
    }

    fn is_unreachable(&self, now: Instant, data_centre: &DataCentre) -> bool {
        self.links.iter().any(|link| link.data_centre == *data_centre && link.is_unreachable(now))
    }

    fn link(&mut self, data_centre: &DataCentre) -> &mut DataCentreLink {
        let found = self.links.iter().position(|link| link.data_centre == *data_centre);
        let index = found.unwrap_or_else(|| {
            self.links.push(DataCentreLink {
                data_centre: data_centre.clone(),
                last_heard: None,
                last_lost: None,
            });
            self.links.len() - 1
        });
        &mut self.links[index]
    }

    /// Records that bytes arrived from `upstream`.
    pub(super) fn record_bytes(&mut self, now: Instant, upstream: &Upstream) {
        let Some(entry) = self.entry(upstream) else {
            return;
        };
        entry.quiet_since = Some(now);
        let (short_hash, data_centre) = (entry.short_hash, entry.announcement.data_centre.clone());
        self.gossip.clear_unresponsive(short_hash);
        self.link(&data_centre).last_heard = Some(now);
    }

    /// Returns whether `upstream` has requests and has sent nothing for [`STALL_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Instant, upstream: &Upstream) -> bool {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        found.is_some_and(|entry| entry.is_stalled(now))
    }

    /// Returns the addresses of all upstreams of the data centre if it seems to be unreachable,
    /// including that of `upstream`.
    pub(super) fn unreachable_addresses(
        &self,
        now: Instant,
        upstream: &Upstream,
    ) -> Vec<SocketAddr> {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        let Some(data_centre) = found.map(|entry| &entry.announcement.data_centre) else {
            return Vec::new();
        };
        if !self.is_unreachable(now, data_centre) {
            return Vec::new();
        }
        let of_data_centre = self.entries.iter().map(|entry| &entry.announcement);
        let of_data_centre =
            of_data_centre.filter(|announcement| announcement.data_centre == *data_centre);
        of_data_centre.map(|announcement| announcement.address).collect()
    }

    /// Records a request that is placed at `upstream`, with `tokens` to process.
    pub(super) fn begin_request(&mut self, now: Instant, upstream: &Upstream, tokens: f64) {
        let Some(entry) = self.entry(upstream) else {
            return;
        };
        if entry.estimate.own() == 0 {
            entry.quiet_since = Some(now);
        }
        entry.estimate.begin(tokens);
    }

    /// Records that `tokens` of a request were processed or are no longer needed.
    pub(super) fn remove_tokens(&mut self, upstream: &Upstream, tokens: f64) {
        if let Some(entry) = self.entry(upstream) {
            entry.estimate.remove_backlog(tokens);
        }
    }

    /// Records that a request ended at `upstream`.
    pub(super) fn end_request(&mut self, upstream: &Upstream) {
        if let Some(entry) = self.entry(upstream) {
            entry.estimate.end();
            if entry.estimate.own() == 0 {
                entry.quiet_since = None;
            }
        }
    }

    /// Records the load that `upstream` reports.
    pub(super) fn report(&mut self, now: Instant, upstream: &Upstream, report: Report) {
        if let Some(entry) = self.entry(upstream) {
            entry.estimate.report(now, report);
            if let Some(pace) = report.pace {
                entry.prompt_work.record_pace(now, pace);
            }
        }
        self.gossip.observe(now, short_hash(upstream), report);
    }

    /// Returns at most `limit` loads to forward to other instances.
    pub(super) fn loads_to_send(&mut self, now: Instant, limit: usize) -> Vec<Load> {
        self.gossip.take_updates(now, limit)
    }

    /// Records the load of an upstream that another instance forwarded.
    pub(super) fn receive_load(&mut self, now: Instant, load: Load) {
        let Some(at) = self.gossip.merge(now, load) else {
            return;
        };
        let is_reported = |entry: &&mut TableEntry| entry.short_hash == load.upstream;
        if let Some(entry) = self.entries.iter_mut().find(is_reported) {
            entry.estimate.merge_report(at, u32::from(load.requests));
            if let Some(pace) = Pace::from_percent(load.pace.into()) {
                entry.prompt_work.record_pace(at, pace);
            }
        }
    }

    /// Returns the short hashes of the names of at most `limit` engines that this instance itself
    /// considers unresponsive.
    pub(super) fn unresponsive_engines(&self, now: Instant, limit: usize) -> Vec<u32> {
        let unresponsive =
            self.entries.iter().filter(|entry| entry.is_quiet(now, UNRESPONSIVE_TIMEOUT));
        unresponsive.map(|entry| entry.short_hash).take(limit).collect()
    }

    /// Records that another instance considers an upstream unresponsive.
    pub(super) fn receive_unresponsive(&mut self, now: Instant, short_hash: u32) {
        self.gossip.mark_unresponsive(now, short_hash);
    }

    /// Returns whether an engine seems to be processing a long prompt, as observed by this instance
    /// or reported by another one.
    fn is_unresponsive(&self, now: Instant, entry: &TableEntry) -> bool {
        entry.is_quiet(now, UNRESPONSIVE_TIMEOUT)
            || self.gossip.is_unresponsive(now, entry.short_hash)
    }
}

impl TableEntry {
    fn is_stalled(&self, now: Instant) -> bool {
        self.is_quiet(now, STALL_TIMEOUT)
    }

    /// Returns whether the upstream has requests and has sent nothing for `duration`.
    fn is_quiet(&self, now: Instant, duration: Duration) -> bool {
        self.quiet_since.is_some_and(|since| now > since + duration)
    }
}
