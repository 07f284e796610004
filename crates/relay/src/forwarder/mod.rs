//! The actor that has callers' requests answered by upstreams.

mod active;
mod answering;
mod placing;
mod problems;
mod upstreams;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::{Caller, Catalogue, Repeat};
use dispatch::{Client, Event as CallEvent, Keeping};
use entry::{Event, Problem, Reply, Request, Server};
use forward::{Allowance, Line, Tail, Window};
use instance::View;
use names::{Attempt, Service};
use settings::Settings;
use stakker::{Actor, ActorOwn, CX, FixedTimerKey, Fwd, StopCause, actor, at, call, fail, fwd_to};
use telemetry::Metrics;

use crate::feed::Listing;
use crate::interface::Interface;
use crate::pages::Readiness;
use active::Active;
use upstreams::Table;

/// How long an idle connection to an upstream is kept, if the upstream does not say.
const IDLE_SPAN: Duration = Duration::from_secs(10);

/// How much earlier than an upstream says an idle connection to it is closed: a request that
/// crosses the close may or may not have run.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// How long a connection to an upstream may swallow bytes without an acknowledgement. Longer than
/// lost packets take to be sent again, shorter than callers wait for the next event of a stream.
const SILENT_SPAN: Duration = Duration::from_millis(2000);

/// Requests of one service and what repeats they had.
struct Flow {
    service: Service,
    line: Line<names::Request>,
    window: Window,
}

/// Where an attempt belongs.
struct Link {
    attempt: Attempt,
    request: names::Request,
}

/// Has requests answered.
pub(crate) struct Forwarder {
    settings: Rc<Settings>,
    interface: Interface,
    metrics: Arc<Metrics>,
    client: ActorOwn<Client>,
    readiness: Actor<Readiness>,
    server: Option<Actor<Server>>,
    catalogue: Option<Rc<Catalogue>>,
    table: Table,
    /// Sorted by id.
    actives: Vec<Active>,
    /// Sorted by attempt.
    links: Vec<Link>,
    flows: Vec<Flow>,
    allowance: Allowance,
    /// Entry instances in the fleet, and those in this data centre, with this one.
    entries: usize,
    near_entries: usize,
    line_timer: FixedTimerKey,
}

impl Forwarder {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        interface: Interface,
        metrics: Arc<Metrics>,
        readiness: Actor<Readiness>,
    ) -> Option<Self> {
        let events = fwd_to!([cx], take() as (CallEvent));
        let keeping = Keeping { idle: IDLE_SPAN, margin: IDLE_MARGIN, silence: SILENT_SPAN };
        let client = actor!(
            cx,
            Client::init(keeping, events),
            stakker::ret_some_to!([cx], client_ended() as (StopCause))
        );
        let direct = &settings.direct;
        let allowance = Allowance {
            ratio: direct.repeat_ratio,
            extra: direct.repeat_extra,
            span: direct.repeat_window.as_duration(),
        };
        let table = Table::new(settings.data_centre.clone(), direct.announce_period.as_duration());
        Some(Self {
            settings,
            interface,
            metrics,
            client,
            readiness,
            server: None,
            catalogue: None,
            table,
            actives: Vec::new(),
            links: Vec::new(),
            flows: Vec::new(),
            allowance,
            entries: 1,
            near_entries: 1,
            line_timer: FixedTimerKey::default(),
        })
    }

    fn client_ended(&mut self, cx: CX![], cause: StopCause) {
        let reason = format!("the client of upstreams ended: {cause}");
        fail!(cx, crate::Error::Failed { reason });
    }

    /// The server whose bounds follow the catalogue.
    pub(crate) fn set_server(&mut self, _: CX![], server: Actor<Server>) {
        self.server = Some(server);
    }

    /// Puts a catalogue in force.
    pub(crate) fn set_catalogue(&mut self, _: CX![], catalogue: Rc<Catalogue>) {
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
        self.catalogue = Some(catalogue);
        self.check_ready();
    }

    /// Takes the upstreams that the feed knows.
    pub(crate) fn set_upstreams(&mut self, cx: CX![], listing: Rc<Listing>) {
        for address in self.table.update(&listing) {
            call!([self.client], close_idle(address));
        }
        self.metrics.upstreams.set(i64::try_from(self.table.ready()).unwrap_or(i64::MAX));
        self.check_ready();
        self.serve_lines(cx);
    }

    fn check_ready(&self) {
        let is_ready = self.catalogue.is_some() && self.table.ready() > 0;
        call!([self.readiness], set_ready(is_ready));
    }

    /// Learns how many entry instances there are.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let entries = view.members.iter().filter(|member| !member.is_control);
        let near = entries.clone().filter(|one| one.data_centre == self.settings.data_centre);
        self.near_entries = near.count() + 1;
        self.entries = entries.count() + 1;
    }

    /// Takes what happens on a caller's connection.
    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, reply } => self.arrive(cx, request, reply),
            Event::Left { request } => self.leave(cx, request),
            Event::Refused { reason } => self.metrics.count_refused(reason),
        }
    }

    fn arrive(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        match self.admit(cx.now(), request, &reply) {
            Ok(active) => {
                let (id, deadline) = (active.id(), active.deadline);
                self.flow(&active.service).count_request(cx.now());
                let place = self.find(id).unwrap_or_else(|place| place);
                self.actives.insert(place, active);
                self.actives[place].timer = at!(deadline, [cx], expire(id));
                self.place(cx, id);
            }
            Err(problem) => {
                self.metrics.count_refused(&problem.code);
                log::info!("request refused: {}", problem.message);
                reply.fwd(self.interface.callers.refusal(problem));
            }
        }
    }

    /// Finds out what a request is and whether it may be answered.
    fn admit(
        &self,
        now: Instant,
        mut request: Request,
        reply: &Fwd<Reply>,
    ) -> Result<Active, Problem> {
        let catalogue = self.catalogue.as_ref().ok_or_else(problems::not_ready)?;
        let ask = self.interface.callers.read(&request)?;
        let path = request.path.split(['?', '#']).next().unwrap_or_default();
        let route = catalogue
            .route(&ask.host, path)
            .ok_or_else(|| problems::unknown_route(&ask.host, path))?
            .clone();
        let caller = match catalogue.caller(ask.key.as_deref()) {
            Caller::Unknown if !route.is_anonymous => return Err(problems::unknown_key()),
            Caller::Known(account) => Some(account),
            Caller::Unknown | Caller::Anyone => None,
        };
        let service = route.service(request.id.0).cloned().ok_or_else(problems::not_ready)?;
        let time_left = ask.time_left.unwrap_or(route.timeout).min(route.timeout);
        if time_left.is_zero() {
            return Err(problems::too_late());
        }
        let tail = (route.repeat == Repeat::Resumed).then(|| Tail::new(ask.after.clone()));
        Ok(Active {
            body: std::mem::take(&mut request.body).into(),
            request,
            reply: reply.clone(),
            ask,
            service,
            account: caller.map(|account| account.name.clone()),
            rank: caller.and_then(|account| account.rank).unwrap_or(route.rank),
            route,
            arrived: now,
            deadline: now + time_left,
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
            running: None,
            is_started: false,
            tail,
            timer: FixedTimerKey::default(),
        })
    }

    fn flow(&mut self, service: &Service) -> &mut Flow {
        let index = match self.flows.binary_search_by(|flow| flow.service.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let flow = Flow {
                    service: service.clone(),
                    line: Line::default(),
                    window: Window::default(),
                };
                self.flows.insert(index, flow);
                index
            }
        };
        &mut self.flows[index]
    }

    fn find(&self, id: names::Request) -> Result<usize, usize> {
        self.actives.binary_search_by_key(&id, |active| active.id())
    }

    fn active(&mut self, id: names::Request) -> Option<&mut Active> {
        let index = self.find(id).ok()?;
        Some(&mut self.actives[index])
    }

    /// Ends a request whose caller went away; its upstream is told by the closed connection.
    fn leave(&mut self, cx: CX![], id: names::Request) {
        self.stop_attempt(cx, id);
        self.finish(cx, id);
    }

    /// Ends a request whose time is over.
    fn expire(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let is_started = active.is_started;
        let may_have_run = active.running.is_some() || active.runs > 0;
        let (now, deadline) = (cx.now(), active.deadline);
        self.stop_attempt(cx, id);
        match (is_started, may_have_run) {
            (true, _) => self.reply(id, Reply::Cut),
            (false, true) => self.refuse(id, problems::timed_out()),
            (false, false) => self.refuse(id, problems::full(now, deadline)),
        }
        self.finish(cx, id);
    }

    fn reply(&mut self, id: names::Request, reply: Reply) {
        if let Some(active) = self.active(id) {
            active.reply.fwd(reply);
        }
    }

    fn refuse(&mut self, id: names::Request, problem: Problem) {
        self.metrics.count_refused(&problem.code);
        if let Some(active) = self.active(id) {
            log::info!(
                "request {} of service {} ends with {} ({}) after {} runs and {} refusals",
                active.ask.id,
                active.service,
                problem.status,
                problem.code,
                active.runs,
                active.refusals
            );
        }
        let refusal = self.interface.callers.refusal(problem);
        self.reply(id, refusal);
    }

    /// Forgets a request that has its answer.
    fn finish(&mut self, cx: CX![], id: names::Request) {
        let Ok(index) = self.find(id) else {
            return;
        };
        let active = self.actives.remove(index);
        cx.timer_del(active.timer);
        self.flow(&active.service).line.remove(&id);
        self.serve_line(cx, &active.service);
    }
}

impl Flow {
    fn count_request(&mut self, now: Instant) {
        // Requests are counted over a longer span than any setting asks for.
        self.window.count(now, Duration::from_secs(60));
    }
}
