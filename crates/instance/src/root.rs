//! Root actor, which creates all other actors and coordinates the graceful shutdown.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use declare::Declarations;
use entry::{Bounds, ChatForm, Memory, Server};
use eventloop::mailbox;
use names::{Incarnation, Instance};
use operator::Response;
use settings::Settings;
use stakker::{ActorOwn, CX, StopCause, actor, after, at, call, fail, fwd_to, ret_some_to, stop};
use telemetry::Metrics;
use wire::{Delivery, Hub, Identity, Keyring, Peer, Run, Slice, Traffic};

use crate::cache_index::CacheIndex;
use crate::claims::Claims;
use crate::config::{Access, Config, Dependencies};
use crate::context_mover::ContextMover;
use crate::limits::Limits;
use crate::members::{Members, View};
use crate::memory_monitor::MemoryMonitor;
use crate::operator_port::{OperatorPort, operator_bounds};
use crate::operators::{OperatorHandler, PendingRequest};
use crate::orders::Orders;
use crate::placer::Placer;
use crate::quarantine::{Quarantine, QuarantineExchange};
use crate::replica::Replica;
use crate::router::{Router, RouterParts};
use crate::{Bound, Error, Stop};

/// Delay between the announcement that this instance leaves and the end of the process, so that the
/// announcement reaches the peers.
const LEAVE_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

/// Inputs from which the instance is built.
pub(crate) struct RootConfig {
    pub(crate) settings: Settings,
    pub(crate) bound: Bound,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) stop: Stop,
}

/// Owns the actors of the instance.
pub(crate) struct Root {
    settings: Rc<Settings>,
    _hub: ActorOwn<Hub>,
    cache_index: ActorOwn<CacheIndex>,
    limits: ActorOwn<Limits>,
    placer: ActorOwn<Placer>,
    router: ActorOwn<Router>,
    server: ActorOwn<Server>,
    _operator_port: ActorOwn<OperatorPort>,
    _operator_server: ActorOwn<Server>,
    _memory_monitor: ActorOwn<MemoryMonitor>,
    replica: ActorOwn<Replica>,
    config: ActorOwn<Config>,
    claims: ActorOwn<Claims>,
    members: ActorOwn<Members>,
    _context_mover: ActorOwn<ContextMover>,
    exchange: ActorOwn<QuarantineExchange>,
    orders: ActorOwn<Orders>,
    is_shutting_down: bool,
}

/// Number of copies of a request body that exist while the request is handled: that of the request,
/// two while that of its attempt is made, and the output to the upstream.
const BODY_COPIES: usize = 4;

fn connection_bounds(settings: &Settings) -> Bounds {
    Bounds {
        head_bytes: settings.limits.head.as_bytes(),
        body_bytes: settings.limits.body.as_bytes(),
        body_copies: BODY_COPIES,
        incoming_bytes: settings.limits.incoming.as_bytes(),
        unread_bytes: settings.limits.unread.map(|size| size.as_bytes()),
        unread_total_bytes: settings.limits.unread_total.as_bytes(),
        connections: settings.limits.connections,
        receive: settings.timing.receive.as_duration(),
        idle: settings.timing.idle.as_duration(),
        unread: settings.timing.unread.as_duration(),
    }
}

impl Root {
    pub(crate) fn init(cx: CX![], config: RootConfig) -> Option<Self> {
        match Self::build(cx, config) {
            Ok(root) => Some(root),
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    fn build(cx: CX![], config: RootConfig) -> Result<Self, Error> {
        let RootConfig { settings, bound, metrics, traffic, stop } = config;
        let settings = Rc::new(settings);
        let incarnation = Incarnation::from_clock();
        let identity = Arc::new(Identity {
            instance: settings.instance.clone(),
            run: Run::new(incarnation),
            keyring: Keyring::new(&settings.fleet_secrets),
            traffic,
        });
        let deliver = fwd_to!([cx], deliver() as (Delivery));
        let disconnected = fwd_to!([cx], on_peer_disconnected() as (Instance));
        let hub = actor!(
            cx,
            Hub::init(identity.clone(), bound.peers, deliver, disconnected),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        for peer in &settings.peers {
            let peer = Peer { instance: peer.instance.clone(), address: peer.address };
            call!([hub], set_peer(peer));
        }
        let placer = actor!(
            cx,
            Placer::init(settings.clone(), hub.clone(), metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let cache_index = actor!(
            cx,
            CacheIndex::init(metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let limits = actor!(
            cx,
            Limits::init(settings.clone(), hub.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let replica = actor!(
            cx,
            Replica::init(settings.clone(), incarnation, hub.clone(), metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let claims = actor!(
            cx,
            Claims::init(replica.clone(), metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let context_mover = actor!(
            cx,
            ContextMover::init(settings.clone(), metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let quarantine = Quarantine::new(settings.instance.clone(), metrics.clone());
        let exchange = actor!(
            cx,
            QuarantineExchange::init(quarantine.clone(), hub.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let router_parts = RouterParts {
            settings: settings.clone(),
            limits: limits.clone(),
            placer: placer.clone(),
            claims: claims.clone(),
            context_mover: context_mover.clone(),
            quarantine,
            metrics: metrics.clone(),
        };
        let router = actor!(
            cx,
            Router::init(router_parts),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let orders = actor!(
            cx,
            Orders::init(settings.clone(), placer.clone(), replica.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let declaration_listeners = vec![
            fwd_to!([orders], set_declarations() as (Rc<Declarations>)),
            fwd_to!([router], set_declarations() as (Rc<Declarations>)),
            fwd_to!([placer], set_declarations() as (Rc<Declarations>)),
            fwd_to!([limits], set_declarations() as (Rc<Declarations>)),
        ];
        let dependencies = Dependencies {
            settings: settings.clone(),
            metrics: metrics.clone(),
            replica: replica.clone(),
            hub: hub.clone(),
            declaration_listeners,
        };
        let config = actor!(
            cx,
            Config::init(dependencies),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let view_listener = fwd_to!([cx], set_view() as (View));
        let members = actor!(
            cx,
            Members::init(settings.clone(), identity, hub.clone(), metrics.clone(), view_listener),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let handler = fwd_to!([router], handle() as (entry::Event));
        let memory = Memory::new(settings.limits.memory.as_bytes());
        let (bounds, form) = (connection_bounds(&settings), Rc::new(ChatForm));
        let server = actor!(
            cx,
            Server::init(bound.callers, bounds, form, memory.clone(), handler),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let requests = fwd_to!([cx], handle_operator_request() as (PendingRequest));
        let operators =
            OperatorHandler::new(mailbox(cx, requests), metrics.clone(), Access::new(&settings));
        let operator_port = actor!(
            cx,
            OperatorPort::init(Arc::new(operators), metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let handler = fwd_to!([operator_port], handle() as (entry::Event));
        let (bounds, form) =
            (operator_bounds(&settings, connection_bounds(&settings)), Rc::new(ChatForm));
        let operator_server = actor!(
            cx,
            Server::init(bound.operators, bounds, form, memory.clone(), handler),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let memory_monitor = actor!(
            cx,
            MemoryMonitor::init(memory, metrics.clone()),
            ret_some_to!([cx], on_child_stopped() as (StopCause))
        );
        let stop_requests = fwd_to!([cx], begin_shutdown() as (Instant));
        stop.connect(mailbox(cx, stop_requests));
        log::info!("instance {} serves callers on {}", settings.instance, settings.listen.callers);
        Ok(Self {
            settings,
            _hub: hub,
            cache_index,
            limits,
            placer,
            router,
            server,
            _operator_port: operator_port,
            _operator_server: operator_server,
            _memory_monitor: memory_monitor,
            replica,
            config,
            claims,
            members,
            _context_mover: context_mover,
            exchange,
            orders,
            is_shutting_down: false,
        })
    }

    fn on_child_stopped(&mut self, cx: CX![], cause: StopCause) {
        eventloop::end_like_child(cx, cause);
    }

    /// Distributes a new membership view to the actors that use it.
    fn set_view(&mut self, _: CX![], view: View) {
        call!([self.config], set_members(view.members.clone()));
        let peers = view.members.iter().map(|member| member.instance.clone()).collect();
        call!([self.exchange], set_peers(peers));
        call!([self.limits], set_view(view.clone()));
        call!([self.orders], set_view(view.clone()));
        call!([self.placer], set_view(view));
    }

    /// Reports that the connection to a peer was lost.
    fn on_peer_disconnected(&mut self, _: CX![], instance: Instance) {
        call!([self.placer], on_peer_disconnected(instance));
    }

    /// Forwards a message from a peer to the actor that handles its slice.
    fn deliver(&mut self, _: CX![], delivery: Delivery) {
        match delivery.slice {
            Slice::Membership => call!([self.members], deliver(delivery)),
            Slice::Upstream | Slice::Permit | Slice::Load => {
                call!([self.placer], deliver(delivery));
            }
            Slice::Account => call!([self.limits], deliver(delivery)),
            Slice::State => call!([self.replica], deliver(delivery)),
            Slice::Ledger => call!([self.claims], deliver(delivery)),
            Slice::Declare => call!([self.config], deliver(delivery)),
            Slice::Quarantine => call!([self.exchange], deliver(delivery)),
            Slice::Feed => log::debug!(
                "instance {} sent a feed message to an instance without a feed; message dropped",
                delivery.sender
            ),
        }
    }

    /// Returns whether the request carries the fleet's upstream token, if the settings have one.
    fn is_from_upstream(&self, request: &operator::Request) -> bool {
        match &self.settings.upstream_token {
            None => true,
            Some(expected) => {
                let presented = request.token.as_deref();
                presented.is_some_and(|token| operator::is_same_token(token, expected))
            }
        }
    }

    /// Routes a request on the operators' port to the actor that handles it.
    fn handle_operator_request(&mut self, _: CX![], pending: PendingRequest) {
        let request = &pending.request;
        if request.path.starts_with("/declarations") {
            call!([self.config], handle_request(pending));
            return;
        }
        if request.path.starts_with("/state") {
            call!([self.replica], handle_request(pending));
            return;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/announce" | "/load" | "/cache-events" | "/cache-snapshot")
                if !self.is_from_upstream(request) =>
            {
                let message = "the request needs the fleet's upstream token";
                pending.respond(Response::error(401, "unauthorised", message));
            }
            ("POST", "/announce") => call!([self.placer], announce(pending)),
            ("POST", "/cache-events") => call!([self.cache_index], apply_events(pending)),
            ("POST", "/cache-snapshot") => {
                call!([self.cache_index], replace_blocks(pending))
            }
            ("POST", "/load") => call!([self.placer], report(pending)),
            ("GET", "/rollouts") => call!([self.orders], list(pending)),
            ("GET", "/members") => call!([self.members], list(pending)),
            ("GET", "/upstreams") => call!([self.placer], list(pending)),
            ("GET", "/fleet") => call!([self.config], list_instances(pending)),
            ("GET", "/readyz") if self.is_shutting_down => {
                pending.respond(Response::text(503, "stopping\n"));
            }
            ("GET", "/readyz") => {
                let next = fwd_to!([self.config], ready() as (PendingRequest));
                call!([self.placer], ready(pending, next));
            }
            _ => {
                let message = format!("{} {} does not exist", request.method, request.path);
                pending.respond(Response::error(404, "unknown_path", message));
            }
        }
    }

    /// Begins the graceful shutdown after a signal that was received at `received_at`.
    fn begin_shutdown(&mut self, cx: CX![], received_at: Instant) {
        if self.is_shutting_down {
            return;
        }
        log::info!("instance {} is shutting down", self.settings.instance);
        self.is_shutting_down = true;
        call!([self.members], drain());
        call!([self.placer], drain());
        call!([self.router], drain());
        call!([self.replica], retire());
        let drained = fwd_to!([cx], await_idle() as (()));
        call!([self.server], drain(drained));
        let deadline = received_at + self.settings.timing.drain.as_duration();
        at!(deadline, [cx], announce_leave(()));
    }

    /// Waits until the last request has ended. Some requests continue after their caller has
    /// disconnected.
    fn await_idle(&mut self, cx: CX![], _: ()) {
        let idle = fwd_to!([cx], await_settlements() as (()));
        call!([self.router], when_idle(idle));
    }

    /// Waits until the outcomes of all claims are recorded in the ledger.
    fn await_settlements(&mut self, cx: CX![], _: ()) {
        let settled = fwd_to!([cx], announce_leave() as (()));
        call!([self.claims], when_settled(settled));
    }

    /// Ends the requests that still run, announces that this instance leaves, and waits so that the
    /// answers and the announcement can be sent.
    fn announce_leave(&mut self, cx: CX![], _: ()) {
        call!([self.router], end_requests());
        call!([self.members], leave());
        after!(LEAVE_ANNOUNCEMENT_DELAY, [cx], finish_shutdown());
    }

    fn finish_shutdown(&mut self, cx: CX![]) {
        log::info!("instance {} stopped", self.settings.instance);
        stop!(cx);
    }
}
