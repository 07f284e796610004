//! Actor that forwards callers' requests to upstreams.

mod active_request;
mod admission;
mod attempts;
mod cold_upstreams;
mod ends;
mod evacuations;
mod fair_shares;
mod load_messages;
mod problems;
mod prompt_costs;
mod quarantine;
mod request_bytes;
mod request_ends;
mod responses;
mod stalls;
mod startup;
mod tracker_answers;
mod tracker_queries;
mod tracker_reports;
mod upstream_selection;
mod upstreams;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::Catalogue;
use dispatch::{CallEvent, Client, KeepAlive};
use entry::{Event, Server};
use forward::{
    CompetingAccounts, ContextHolders, Grace, Latencies, LoadCounter, MeanInFlight, RequestBytes,
    RetryAllowance, RetryWindow, Shutdown, StartRate, StartupQueue, WaitQueue,
};
use instance::{Quarantine, View};
use names::{Attempt, Service};
use settings::Settings;
use stakker::{
    Actor, ActorOwn, CX, FixedTimerKey, Fwd, StopCause, actor, after, call, fail, fwd_to,
};
use telemetry::{self as events, Metrics};
use wire::Hub;

use crate::endpoints::ReadinessEndpoint;
use crate::feed::UpstreamList;
use crate::interface::Interface;
use active_request::ActiveRequest;
use ends::End;
use load_messages::LIMIT_REPORT_PERIOD;
use prompt_costs::LowestRanks;
use stalls::STALL_PERIOD;
use startup::Arrival;
use tracker_queries::{EntryPeer, PendingQuery, UnresponsiveTracker, first_message_number};
use upstreams::{ColdBounds, UpstreamTable};

/// Time for which an idle connection to an upstream is kept open, unless the upstream states a
/// timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time by which an idle connection is closed before the timeout that the upstream states. If the
/// upstream closes a connection at the moment at which a request is sent, it is unknown whether the
/// request ran.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Time for which bytes sent to an upstream may remain unacknowledged. The timeout is longer than
/// the retransmission of lost packets takes, and shorter than the time that callers wait for the
/// next event of a stream.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for which bytes of a long request may remain unacknowledged, because the upstream may be
/// alive and read them late.
const LATE_READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which instances that are no longer visible are still counted as senders, because the
/// total traffic that all instances may send must not grow during a network partition.
const ENTRY_COUNT_RETENTION: Duration = Duration::from_secs(30);

/// Requests of one service, and the retries of these requests.
struct ServiceTraffic {
    service: Service,
    queue: WaitQueue<names::Request>,
    /// Recent requests that were sent to upstreams.
    start_rate: StartRate,
    retry_window: RetryWindow,
    /// Mean number of requests of this service that an instance has in flight.
    mean_in_flight: MeanInFlight,
}

/// The request that an attempt belongs to.
struct AttemptOwner {
    attempt: Attempt,
    request: names::Request,
}

/// Forwards requests to upstreams and responses to callers.
pub(crate) struct Forwarder {
    settings: Rc<Settings>,
    interface: Interface,
    metrics: Arc<Metrics>,
    hub: Actor<Hub>,
    client: ActorOwn<Client>,
    readiness: Actor<ReadinessEndpoint>,
    server: Option<Actor<Server>>,
    catalogue: Option<Rc<Catalogue>>,
    lowest_ranks: LowestRanks,
    table: UpstreamTable,
    /// Bytes of requests in flight at upstreams.
    request_bytes: RequestBytes,
    /// Requests in progress, sorted by identifier.
    requests: Vec<ActiveRequest>,
    /// Requests of the attempts in progress, sorted by attempt.
    attempt_owners: Vec<AttemptOwner>,
    service_traffic: Vec<ServiceTraffic>,
    allowance: RetryAllowance,
    /// Number of entry instances in the fleet, including this one and those that were visible
    /// recently.
    entry_count: usize,
    /// Time at which that number of entry instances was last visible.
    entry_count_at: Instant,
    /// Number of entry instances in this data centre, including this one.
    local_entry_count: usize,
    /// The other entry instances.
    peers: Vec<EntryPeer>,
    /// Engines that have processed a context, by context.
    holders: ContextHolders,
    /// Request counts of the upstreams that this instance tracks.
    load_counter: LoadCounter,
    /// Accounts that competed for places of the upstreams that this instance tracks.
    competing_accounts: CompetingAccounts,
    /// Latencies of upstreams.
    latencies: Latencies,
    quarantine: Quarantine,
    /// Number of the last message to a load tracker.
    last_message_number: u64,
    /// Queries to load trackers that wait for an answer.
    pending_queries: Vec<PendingQuery>,
    /// Load trackers that did not answer recently.
    unresponsive: Vec<UnresponsiveTracker>,
    queue_timer: FixedTimerKey,
    /// Timer for the end of the first pause of upstreams that queued requests wait for.
    pause_timer: FixedTimerKey,
    is_ready: bool,
    /// Requests that arrived before this instance was ready for the first time.
    startup: StartupQueue<Arrival>,
    startup_timer: FixedTimerKey,
    /// The graceful shutdown of this instance, once it has begun.
    shutdown: Option<Shutdown>,
}

impl Forwarder {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        interface: Interface,
        metrics: Arc<Metrics>,
        hub: Actor<Hub>,
        readiness: Actor<ReadinessEndpoint>,
        quarantine: Quarantine,
    ) -> Option<Self> {
        let events = fwd_to!([cx], handle_progress() as (CallEvent));
        let connect_metrics = metrics.clone();
        let connected = Fwd::new(move |time| connect_metrics.relay.observe_connect(time));
        let keep_alive = KeepAlive {
            idle_timeout: IDLE_TIMEOUT,
            close_margin: IDLE_MARGIN,
            dead_peer_timeout: UNACKNOWLEDGED_TIMEOUT,
            late_reader_timeout: LATE_READER_TIMEOUT,
        };
        let client = actor!(
            cx,
            Client::init(keep_alive, events, connected),
            stakker::ret_some_to!([cx], client_ended() as (StopCause))
        );
        after!(STALL_PERIOD, [cx], check_stalls());
        after!(forward::GossipConfig::new(1).period, [cx], gossip_loads());
        after!(forward::COUNT_REPORT_INTERVAL, [cx], repeat_reports());
        after!(LIMIT_REPORT_PERIOD, [cx], report_limits());
        let direct = &settings.direct;
        let allowance = RetryAllowance {
            ratio: direct.repeat_ratio,
            extra: direct.repeat_extra,
            span: direct.repeat_window.as_duration(),
        };
        let table = UpstreamTable::new(
            settings.instance.clone(),
            settings.data_centre.clone(),
            direct.announce_period.as_duration(),
            metrics.clone(),
            ColdBounds::new(direct),
        );
        let startup = StartupQueue::new(cx.now() + direct.startup_wait.as_duration());
        let request_bytes = RequestBytes::new(direct.upstream_bytes.as_bytes() as u64);
        Some(Self {
            settings,
            interface,
            metrics,
            hub,
            client,
            readiness,
            server: None,
            catalogue: None,
            lowest_ranks: LowestRanks::default(),
            table,
            request_bytes,
            requests: Vec::new(),
            attempt_owners: Vec::new(),
            service_traffic: Vec::new(),
            allowance,
            entry_count: 1,
            entry_count_at: cx.now(),
            local_entry_count: 1,
            peers: Vec::new(),
            holders: ContextHolders::default(),
            load_counter: LoadCounter::default(),
            competing_accounts: CompetingAccounts::default(),
            latencies: Latencies::default(),
            quarantine,
            last_message_number: first_message_number(),
            pending_queries: Vec::new(),
            unresponsive: Vec::new(),
            queue_timer: FixedTimerKey::default(),
            pause_timer: FixedTimerKey::default(),
            is_ready: false,
            startup,
            startup_timer: FixedTimerKey::default(),
            shutdown: None,
        })
    }

    fn client_ended(&mut self, cx: CX![], cause: StopCause) {
        let reason = format!("the upstream client ended: {cause}");
        fail!(cx, crate::Error::Failed { reason });
    }

    /// Sets the server whose limits follow the catalogue.
    pub(crate) fn set_server(&mut self, _: CX![], server: Actor<Server>) {
        self.server = Some(server);
    }

    /// Begins a graceful shutdown with these time limits. Requests that could not end within them
    /// are refused early.
    pub(crate) fn wind_down(&mut self, _: CX![], grace: Grace) {
        self.shutdown = Some(Shutdown::new(grace.begin, grace.end));
    }

    /// Ends all requests in progress at the end of the graceful shutdown. A caller whose response
    /// has not begun is told so.
    pub(crate) fn end_requests(&mut self, cx: CX![]) {
        let now = cx.now();
        self.refuse_arrivals();
        // Requests that wait come first, so that none of them is sent once another one has ended.
        let (running, waiting): (Vec<&ActiveRequest>, Vec<&ActiveRequest>) =
            self.requests.iter().partition(|active| active.running.is_some());
        let ids: Vec<names::Request> =
            waiting.into_iter().chain(running).map(ActiveRequest::id).collect();
        for id in ids {
            let Some(active) = self.active(id) else {
                continue;
            };
            if active.is_closed() {
                self.complete(cx, id, End::Closed);
                continue;
            }
            let is_started = active.is_started;
            let problem = active.unsent.as_ref().map_or_else(problems::stopped, problems::stopping);
            self.stop_attempt(cx, id);
            match is_started {
                true => self.abort_response(now, id, "stopping"),
                false => self.refuse(now, id, problem),
            }
            self.finish(cx, id);
        }
    }

    /// Activates a catalogue.
    pub(crate) fn set_catalogue(&mut self, cx: CX![], catalogue: Rc<Catalogue>) {
        if let Some(server) = &self.server {
            let mut bounds = crate::root::caller_bounds(&self.settings);
            let limits = catalogue.limits();
            bounds.head_bytes = limits.head_bytes;
            bounds.body_bytes = limits.body_bytes;
            bounds.receive = limits.receive;
            bounds.idle = limits.idle;
            call!([server], set_bounds(bounds));
        }
        self.metrics.revision.set(i64::try_from(catalogue.number().0).unwrap_or(i64::MAX));
        self.table.set_cold_services(&catalogue);
        self.lowest_ranks = LowestRanks::new(&catalogue);
        self.catalogue = Some(catalogue);
        self.apply_cold(cx.now());
        self.check_ready();
        self.end_startup(cx);
    }

    /// Updates the upstreams from the feed.
    pub(crate) fn set_upstreams(&mut self, cx: CX![], list: Rc<UpstreamList>) {
        for address in self.table.update(cx.now(), &list) {
            call!([self.client], close_idle(address));
        }
        self.apply_cold(cx.now());
        self.check_ready();
        self.end_startup(cx);
        self.serve_queues(cx);
    }

    /// Returns the number of the active catalogue, or 0 if there is none.
    fn catalogue_number(&self) -> u64 {
        self.catalogue.as_ref().map_or(0, |catalogue| catalogue.number().0)
    }

    fn check_ready(&mut self) {
        let upstreams = self.table.ready();
        self.metrics.available_upstreams.set(i64::try_from(upstreams).unwrap_or(i64::MAX));
        let is_ready = self.catalogue.is_some() && upstreams > 0;
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            let catalogue = self.catalogue_number();
            events::Event::Ready { is_ready, upstreams, catalogue }.write();
        }
        call!([self.readiness], set_ready(is_ready));
    }

    /// Updates the number of entry instances.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let entry_instances = view.members.iter().filter(|member| !member.is_control);
        let local = entry_instances
            .clone()
            .filter(|member| member.data_centre == self.settings.data_centre);
        self.local_entry_count = local.count() + 1;
        let peer = |member: &membership::Member| EntryPeer {
            instance: member.instance.clone(),
            data_centre: member.data_centre.clone(),
        };
        self.peers = entry_instances.map(peer).collect();
        let now = cx.now();
        let count = self.peers.len() + 1;
        if count >= self.entry_count || now > self.entry_count_at + ENTRY_COUNT_RETENTION {
            self.entry_count = count;
            self.entry_count_at = now;
        }
        let peers = self.peers.iter().map(|peer| peer.instance.clone()).collect();
        self.table.set_instances(peers, self.entry_count);
        self.set_cold_senders(now);
    }

    /// Handles an event on a caller's connection.
    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, unsent, hold, reply } => {
                self.handle_arrival(cx, request, (unsent, hold), reply)
            }
            Event::Left { request } => self.handle_disconnect(cx, request),
            Event::Refused { reason } => self.metrics.count_refused(reason),
        }
    }

    fn traffic(&mut self, service: &Service) -> &mut ServiceTraffic {
        let index =
            match self.service_traffic.binary_search_by(|traffic| traffic.service.cmp(service)) {
                Ok(index) => index,
                Err(index) => {
                    let queue = match self.settings.direct.fair_shares {
                        true => WaitQueue::with_shares(),
                        false => WaitQueue::default(),
                    };
                    let traffic = ServiceTraffic {
                        service: service.clone(),
                        queue,
                        start_rate: StartRate::default(),
                        retry_window: RetryWindow::default(),
                        mean_in_flight: MeanInFlight::default(),
                    };
                    self.service_traffic.insert(index, traffic);
                    index
                }
            };
        &mut self.service_traffic[index]
    }

    fn find(&self, id: names::Request) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&id, |active| active.id())
    }

    fn active(&mut self, id: names::Request) -> Option<&mut ActiveRequest> {
        let index = self.find(id).ok()?;
        Some(&mut self.requests[index])
    }
}

/// Returns whole milliseconds, at most `u64::MAX`.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl ServiceTraffic {
    fn count_request(&mut self, now: Instant) {
        // Requests are kept for longer than any retry window that the settings allow.
        self.retry_window.count(now, Duration::from_secs(60));
    }
}
