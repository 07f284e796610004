//! Root actor, which creates all other actors and controls the graceful shutdown.

mod stop;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::Catalogue;
use entry::{Bounds, ChatForm, Event, Form, Memory, Server};
use eventloop::mailbox;
use forward::{HEARTBEAT_INTERVAL, Heartbeat};
use instance::{Members, MemoryMonitor, Part, Quarantine, QuarantineExchange, Replica, Stop, View};
use names::{Incarnation, Instance};
use settings::Settings;
use stakker::{Actor, ActorOwn, CX, Fwd, StopCause, actor, after, call, fwd_to, ret_some_to};
use state::Index;
use telemetry::{Event as LogEvent, Metrics};
use wire::{Delivery, Hub, Identity, Keyring, Peer, Run, Slice, Traffic};

use crate::control::Control;
use crate::endpoints::{MetricsEndpoint, ReadinessEndpoint};
use crate::feed::{Feed, Listeners, UpstreamList};
use crate::forwarder::Forwarder;
use crate::interface::Interface;
use crate::run::{Bound, SettingsSource};
use crate::shared_state::SharedState;
use stop::Exit;

/// Interval at which the settings are checked for changes.
const RELOAD_PERIOD: Duration = Duration::from_secs(1);

/// Maximum size in bytes of a document in the body of a control request, and of the part of a
/// response that the client has not read yet.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Maximum size in bytes of the head of a control request.
const MAX_CONTROL_HEAD_BYTES: usize = 16 << 10;

/// Idle timeout of a control connection, and timeout for receiving a request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size in bytes of the body of a request for the readiness or the metrics, which needs none.
const MAX_ENDPOINT_BODY_BYTES: usize = 64 << 10;

/// Number of copies of a caller's body that exist while the request is handled: that of the request,
/// that of the attempt, and the output buffer of the connection to the upstream.
const BODY_COPIES: usize = 3;

/// Number of copies of a document that exist while it is submitted: the chunks that arrived, the body,
/// and that for the log.
const DOCUMENT_COPIES: usize = 3;

/// Parts that an instance is created from.
pub(crate) struct InstanceParts {
    pub(crate) settings: Settings,
    pub(crate) interface: Interface,
    pub(crate) source: Box<dyn SettingsSource>,
    pub(crate) bound: Bound,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) stop: Stop,
}

/// Actors of the entry role.
struct EntryRole {
    forwarder: ActorOwn<Forwarder>,
    exchange: ActorOwn<QuarantineExchange>,
    readiness: ActorOwn<ReadinessEndpoint>,
    server: ActorOwn<Server>,
    _ready_server: Option<ActorOwn<Server>>,
}

/// Actors of the control role.
struct ControlRole {
    replica: ActorOwn<Replica>,
    control: ActorOwn<Control>,
    _server: ActorOwn<Server>,
}

/// Owns the actors of the instance.
pub(crate) struct Root {
    settings: Rc<Settings>,
    source: Box<dyn SettingsSource>,
    _hub: ActorOwn<Hub>,
    members: ActorOwn<Members>,
    feed: ActorOwn<Feed>,
    entry: Option<EntryRole>,
    control: Option<ControlRole>,
    _metrics_endpoint: Option<(ActorOwn<MetricsEndpoint>, ActorOwn<Server>)>,
    _memory_monitor: ActorOwn<MemoryMonitor>,
    heartbeat: Heartbeat,
    /// Set once the graceful shutdown has begun.
    exit: Option<Exit>,
}

/// Returns the limits of callers' connections that apply before a catalogue is known.
pub(crate) fn caller_bounds(settings: &Settings) -> Bounds {
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

fn control_bounds(settings: &Settings) -> Bounds {
    Bounds {
        head_bytes: MAX_CONTROL_HEAD_BYTES,
        body_bytes: MAX_DOCUMENT_BYTES,
        body_copies: DOCUMENT_COPIES,
        unread_bytes: Some(MAX_DOCUMENT_BYTES),
        receive: CONTROL_TIMEOUT,
        idle: CONTROL_TIMEOUT,
        ..caller_bounds(settings)
    }
}

fn endpoint_bounds(settings: &Settings) -> Bounds {
    Bounds { body_bytes: MAX_ENDPOINT_BODY_BYTES, ..caller_bounds(settings) }
}

impl Root {
    pub(crate) fn init(cx: CX![], parts: InstanceParts) -> Option<Self> {
        let InstanceParts { settings, interface, source, bound, metrics, traffic, stop } = parts;
        let settings = Rc::new(settings);
        let identity = Arc::new(Identity {
            instance: settings.instance.clone(),
            run: Run::new(Incarnation::from_clock()),
            keyring: Keyring::new(&settings.fleet_secrets),
            traffic,
        });
        let deliver = fwd_to!([cx], deliver() as (Delivery));
        let ignore_lost = Fwd::new(|_: Instance| {});
        let hub = actor!(
            cx,
            Hub::init(identity.clone(), bound.peers, deliver, ignore_lost),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        for peer in &settings.peers {
            let peer = Peer { instance: peer.instance.clone(), address: peer.address };
            call!([hub], set_peer(peer));
        }
        let run = identity.run.get().to_string();
        let roles: Vec<String> = settings.roles.iter().map(ToString::to_string).collect();
        let roles = roles.join(",");
        let state = SharedState::default();
        let memory = Memory::new(settings.limits.memory.as_bytes());
        let memory_metrics = metrics.clone();
        let entry = bound.callers.map(|callers| {
            let hub = hub.clone();
            let listeners = (callers, bound.ready);
            Self::build_entry(cx, &settings, &interface, &metrics, (hub, &memory), listeners)
        });
        let listeners = Self::listeners(entry.as_ref());
        let feed = actor!(
            cx,
            Feed::init(
                settings.clone(),
                hub.clone(),
                interface.documents.clone(),
                state.clone(),
                listeners,
                metrics.clone(),
            ),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let control = bound.control.map(|listener| {
            let incarnation = identity.run.get();
            let replica = actor!(
                cx,
                Replica::init(settings.clone(), incarnation, hub.clone(), metrics.clone()),
                ret_some_to!([cx], child_ended() as (StopCause))
            );
            let applied = fwd_to!([feed], handle_applied() as (Index));
            let state_machine = state.newest.clone();
            call!([replica], attach(Part::Catalogue, state_machine, applied));
            let orders_applied = fwd_to!([feed], handle_orders_applied() as (Index));
            let order_log = state.order_log.clone();
            call!([replica], attach(Part::Evacuation, order_log, orders_applied));
            let control = actor!(
                cx,
                Control::init(
                    interface.clone(),
                    replica.clone(),
                    feed.clone(),
                    state.clone(),
                    metrics.clone(),
                    settings.clone(),
                ),
                ret_some_to!([cx], child_ended() as (StopCause))
            );
            let handler = fwd_to!([control], handle() as (Event));
            let form: Rc<dyn Form> = Rc::new(ChatForm);
            let server = actor!(
                cx,
                Server::init(listener, control_bounds(&settings), form, memory.clone(), handler),
                ret_some_to!([cx], child_ended() as (StopCause))
            );
            ControlRole { replica, control, _server: server }
        });
        let views = fwd_to!([cx], set_view() as (View));
        let members = actor!(
            cx,
            Members::init(settings.clone(), identity, hub.clone(), metrics.clone(), views),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let metrics_endpoint = bound.metrics.map(|listener| {
            let endpoint = actor!(
                cx,
                MetricsEndpoint::init(metrics),
                ret_some_to!([cx], child_ended() as (StopCause))
            );
            let handler = fwd_to!([endpoint], handle() as (Event));
            let form: Rc<dyn Form> = Rc::new(ChatForm);
            let server = actor!(
                cx,
                Server::init(listener, endpoint_bounds(&settings), form, memory.clone(), handler),
                ret_some_to!([cx], child_ended() as (StopCause))
            );
            (endpoint, server)
        });
        let memory_monitor = actor!(
            cx,
            MemoryMonitor::init(memory, memory_metrics),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let stop_requests = fwd_to!([cx], begin_stop() as (Instant));
        stop.connect(mailbox(cx, stop_requests));
        after!(RELOAD_PERIOD, [cx], reload());
        if entry.is_some() {
            after!(HEARTBEAT_INTERVAL, [cx], beat());
        }
        LogEvent::Started { data_centre: settings.data_centre.to_string(), roles, run }.write();
        Some(Self {
            settings,
            source,
            _hub: hub,
            members,
            feed,
            entry,
            control,
            _metrics_endpoint: metrics_endpoint,
            _memory_monitor: memory_monitor,
            heartbeat: Heartbeat::new(cx.now()),
            exit: None,
        })
    }

    fn build_entry(
        cx: CX![],
        settings: &Rc<Settings>,
        interface: &Interface,
        metrics: &Arc<Metrics>,
        (hub, memory): (Actor<Hub>, &Memory),
        (callers, ready): (TcpListener, Option<TcpListener>),
    ) -> EntryRole {
        let readiness =
            actor!(cx, ReadinessEndpoint::init(), ret_some_to!([cx], child_ended() as (StopCause)));
        let quarantine = Quarantine::new(settings.instance.clone(), metrics.clone());
        let exchange = actor!(
            cx,
            QuarantineExchange::init(quarantine.clone(), hub.clone()),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let forwarder = actor!(
            cx,
            Forwarder::init(
                settings.clone(),
                interface.clone(),
                metrics.clone(),
                hub,
                readiness.clone(),
                quarantine,
            ),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let handler = fwd_to!([forwarder], handle() as (Event));
        let form: Rc<dyn Form> = Rc::new(CallerForm(interface.clone()));
        let server = actor!(
            cx,
            Server::init(callers, caller_bounds(settings), form, memory.clone(), handler),
            ret_some_to!([cx], child_ended() as (StopCause))
        );
        let callers = server.clone();
        call!([forwarder], set_server(callers));
        let ready_server = ready.map(|listener| {
            let handler = fwd_to!([readiness], handle() as (Event));
            let form: Rc<dyn Form> = Rc::new(ChatForm);
            actor!(
                cx,
                Server::init(listener, endpoint_bounds(settings), form, memory.clone(), handler),
                ret_some_to!([cx], child_ended() as (StopCause))
            )
        });
        EntryRole { forwarder, exchange, readiness, server, _ready_server: ready_server }
    }

    /// Returns the receivers of feed updates: the forwarder, or receivers that ignore all updates
    /// if the instance does not have the entry role.
    fn listeners(entry: Option<&EntryRole>) -> Listeners {
        match entry {
            Some(EntryRole { forwarder, .. }) => Listeners {
                catalogue: fwd_to!([forwarder], set_catalogue() as (Rc<Catalogue>)),
                upstreams: fwd_to!([forwarder], set_upstreams() as (Rc<UpstreamList>)),
            },
            None => Listeners {
                catalogue: Fwd::new(|_: Rc<Catalogue>| {}),
                upstreams: Fwd::new(|_: Rc<UpstreamList>| {}),
            },
        }
    }

    fn child_ended(&mut self, cx: CX![], cause: StopCause) {
        eventloop::end_like_child(cx, cause);
    }

    /// Passes the members to the actors that depend on them.
    fn set_view(&mut self, _: CX![], view: View) {
        if let Some(control) = &self.control {
            call!([control.replica], set_view(view.clone()));
            let control_view = view.clone();
            call!([control.control], set_view(control_view));
        }
        if let Some(entry) = &self.entry {
            call!([entry.forwarder], set_view(view.clone()));
            let entry_instances = view.members.iter().filter(|member| !member.is_control);
            let peers = entry_instances.map(|member| member.instance.clone()).collect();
            call!([entry.exchange], set_peers(peers));
        }
        call!([self.feed], set_view(view));
    }

    /// Passes a message from a peer to the actor that handles the slice of the message.
    fn deliver(&mut self, _: CX![], delivery: Delivery) {
        match (delivery.slice, &self.control) {
            (Slice::Membership, _) => call!([self.members], deliver(delivery)),
            (Slice::Feed, _) => call!([self.feed], deliver(delivery)),
            (Slice::State, Some(control)) => call!([control.replica], deliver(delivery)),
            (Slice::Load, _) => {
                if let Some(entry) = &self.entry {
                    call!([entry.forwarder], receive_load_message(delivery));
                }
            }
            (Slice::Quarantine, _) => {
                if let Some(entry) = &self.entry {
                    call!([entry.exchange], deliver(delivery));
                }
            }
            (slice, _) => log::debug!(
                "ignored a message from instance {}: this instance does not serve slice {slice}",
                delivery.sender
            ),
        }
    }

    /// Checks the settings for changes, and adds the peers of changed settings.
    fn reload(&mut self, cx: CX![]) {
        match self.source.changed() {
            Ok(Some(settings)) => {
                let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
                LogEvent::Reloaded { seeds: seeds.join(",") }.write();
                call!([self.members], add_peers(settings.peers));
            }
            Ok(None) => {}
            Err(error) => log::error!(
                "cannot load the changed settings: {error}; keeping the current settings"
            ),
        }
        after!(RELOAD_PERIOD, [cx], reload());
    }

    fn beat(&mut self, cx: CX![]) {
        self.heartbeat.beat(cx.now());
        after!(HEARTBEAT_INTERVAL, [cx], beat());
    }
}

/// Part of the callers' protocol with which the server encodes its own refusals.
struct CallerForm(Interface);

impl Form for CallerForm {
    fn refusal(&self, problem: entry::Problem) -> entry::Reply {
        self.0.callers.refusal(problem)
    }

    fn request_id_header(&self) -> Option<&'static str> {
        self.0.callers.request_id_header()
    }
}
