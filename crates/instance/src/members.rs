//! Actor that tracks which instances of the fleet are alive.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use membership::{Action, Detector, Member, Message};
use names::Incarnation;
use operator::Response;
use rand::RngExt;
use serde_json::json;
use settings::{Role, Settings};
use stakker::{Actor, CX, Fwd, after, call};
use telemetry::Metrics;
use wire::{Delivery, Hub, Identity, Outgoing, Peer, Slice, Transport, decode, encode};

use crate::operators::PendingRequest;

/// Interval between ticks of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of instance names in one log line.
const MAX_LOGGED_NAMES: usize = 5;

/// Snapshot of the membership that other actors receive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// The other members, sorted by name.
    pub members: Vec<Member>,
    /// Whether this instance takes no new duties because it is shutting down or set aside.
    pub is_draining: bool,
    /// Whether this process has stalled since the last view.
    pub has_stalled: bool,
}

/// Runs the failure detector and reports changes of the membership.
pub struct Members {
    settings: Rc<Settings>,
    identity: Arc<Identity>,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    detector: Detector,
    view_listener: Fwd<View>,
    /// Version of the detector state that was last compared with the reported view.
    reported_version: u64,
    members: Vec<Member>,
    is_draining: bool,
    /// Instances that have joined since the last log line about joined instances.
    joined: Vec<String>,
    /// Instances that have departed since the last log line about departed instances.
    departed: Vec<String>,
}

fn build_detector(settings: &Settings, incarnation: Incarnation, now: Instant) -> Detector {
    let me = Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.advertised.unwrap_or(settings.listen.peers),
        is_control: settings.has_role(Role::Control),
        incarnation,
        is_draining: false,
    };
    let configured = settings.peers.iter().map(configured_member);
    Detector::new(now, me, configured.collect(), rand::rng().random())
}

/// Logs the instances whose state changed and clears the list. A list of more than
/// [`MAX_LOGGED_NAMES`] instances is logged as one line with the first names.
fn log_member_changes(change: &str, names: &mut Vec<String>) {
    let names = std::mem::take(names);
    match names.len() {
        0 => {}
        count if count > MAX_LOGGED_NAMES => {
            let first_names = names[..MAX_LOGGED_NAMES].join(", ");
            log::info!("{count} instances are {change}, among them {first_names}");
        }
        _ => names.iter().for_each(|name| log::info!("instance {name} is {change}")),
    }
}

/// Returns the member for a peer from the settings that has sent no message yet.
fn configured_member(peer: &settings::Peer) -> Member {
    Member {
        instance: peer.instance.clone(),
        data_centre: peer.data_centre.clone(),
        address: peer.address,
        is_control: false,
        incarnation: Incarnation(0),
        is_draining: false,
    }
}

impl Members {
    /// Starts to probe the peers from the settings, and sends every change to `view_listener`.
    pub fn init(
        cx: CX![],
        settings: Rc<Settings>,
        identity: Arc<Identity>,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
        view_listener: Fwd<View>,
    ) -> Option<Self> {
        let detector = build_detector(&settings, identity.run.get(), cx.now());
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            settings,
            identity,
            hub,
            metrics,
            detector,
            view_listener,
            reported_version: 0,
            members: Vec::new(),
            is_draining: false,
            joined: Vec::new(),
            departed: Vec::new(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let actions = self.detector.tick(cx.now());
        self.perform(actions);
        self.report_view(false);
        log_member_changes("alive", &mut self.joined);
        log_member_changes("gone", &mut self.departed);
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// Handles a message from a peer.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode("membership message", &delivery.payload) {
            Ok(message) => {
                let actions = self.detector.receive(cx.now(), &delivery.sender, message);
                self.perform(actions);
            }
            Err(error) => log::warn!(
                "invalid message from instance {}: {error}; message dropped",
                delivery.sender
            ),
        }
    }

    /// Adds peers from changed settings.
    pub fn add_peers(&mut self, cx: CX![], peers: Vec<settings::Peer>) {
        for peer in &peers {
            let peer = Peer { instance: peer.instance.clone(), address: peer.address };
            call!([self.hub], set_peer(peer));
        }
        self.detector.add_configured(cx.now(), peers.iter().map(configured_member).collect());
    }

    /// Announces that this instance takes no new duties.
    pub fn drain(&mut self, _: CX![]) {
        let actions = self.detector.drain();
        self.perform(actions);
    }

    /// Announces that this instance leaves the fleet.
    pub fn leave(&mut self, _: CX![]) {
        let actions = self.detector.leave();
        self.perform(actions);
    }

    /// Lists all instances that this instance knows.
    pub(crate) fn list(&mut self, _: CX![], pending: PendingRequest) {
        let own_state = (self.detector.local_state(), false);
        let members: Vec<_> = std::iter::once(own_state)
            .chain(self.detector.peer_states())
            .map(|(state, is_set_aside)| {
                json!({
                    "instance": state.instance,
                    "data_centre": state.data_centre,
                    "address": state.address,
                    "incarnation": state.incarnation.to_string(),
                    "status": state.status,
                    "is_draining": state.is_draining,
                    "is_set_aside": is_set_aside,
                })
            })
            .collect();
        pending.respond(Response::json(200, &members));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let mut has_stalled = false;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, Transport::Udp, &message),
                Action::SendReliably(to, message) => self.send(to, Transport::Tcp, &message),
                Action::Up(member) => self.add_peer(member),
                Action::Down(member, status) => {
                    self.departed.push(format!("{} ({status})", member.instance));
                    self.metrics.membership.departures.inc();
                }
                Action::Suspected(instance) => {
                    log::debug!("instance {instance} is suspected to have failed");
                    self.metrics.membership.suspicions.inc();
                }
                Action::Stalled(gap) => {
                    log::warn!(
                        "this process stalled for {} ms; its view of the fleet may be outdated",
                        gap.as_millis()
                    );
                    has_stalled = true;
                }
                Action::IncarnationRaised(incarnation) => {
                    log::warn!(
                        "the system clock was set back before this start; \
                         incarnation raised to {incarnation}"
                    );
                    self.identity.run.raise(incarnation);
                }
            }
        }
        if has_stalled {
            self.report_view(has_stalled);
        }
    }

    /// Sends the view to the other actors if the view has changed or this process has stalled.
    fn report_view(&mut self, has_stalled: bool) {
        let is_draining = self.detector.local_state().is_draining;
        let is_unchanged = self.detector.version() == self.reported_version;
        if is_unchanged && is_draining == self.is_draining && !has_stalled {
            return;
        }
        self.reported_version = self.detector.version();
        let members: Vec<_> = self.detector.members().collect();
        if members == self.members && is_draining == self.is_draining && !has_stalled {
            return;
        }
        if is_draining != self.is_draining {
            log::info!(
                "this instance {} duties",
                if is_draining { "takes no new" } else { "resumes its" }
            );
            self.is_draining = is_draining;
        }
        self.metrics.membership.members.set(i64::try_from(members.len() + 1).unwrap_or(i64::MAX));
        self.members.clone_from(&members);
        self.view_listener.fwd(View { members, is_draining, has_stalled });
    }

    /// Registers the address of a member with the hub. Addresses from the settings take precedence.
    fn add_peer(&mut self, member: Member) {
        self.joined.push(format!("{} (incarnation {})", member.instance, member.incarnation));
        let is_configured = self.settings.peers.iter().any(|peer| peer.instance == member.instance);
        if !is_configured {
            let peer = Peer { instance: member.instance, address: member.address };
            call!([self.hub], set_peer(peer));
        }
    }

    fn send(&self, addressee: names::Instance, transport: Transport, message: &Message) {
        if let Ok(payload) = encode(message) {
            let outgoing = Outgoing { addressee, slice: Slice::Membership, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }
}
