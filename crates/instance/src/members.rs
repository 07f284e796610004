//! The actor that knows which instances live.

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

/// How often the detector does what is due.
const TICK: Duration = Duration::from_millis(50);

/// Instances that a line about many of them names.
const NAMES_LOGGED: usize = 5;

/// The members as others see them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// The other members, sorted by name.
    pub members: Vec<Member>,
    /// Whether this instance takes no duties, since it stops or was set aside.
    pub is_draining: bool,
    /// Whether this instance was frozen since the last view.
    pub has_stalled: bool,
}

/// Watches the other instances.
pub struct Members {
    settings: Rc<Settings>,
    identity: Arc<Identity>,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    detector: Detector,
    changed: Fwd<View>,
    /// The changes of the detector that others were told of.
    told_changes: u64,
    members: Vec<Member>,
    is_draining: bool,
    /// Instances that came and went since the last line about them.
    met: Vec<String>,
    lost: Vec<String>,
}

fn detector(settings: &Settings, incarnation: Incarnation, now: Instant) -> Detector {
    let me = Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.advertised.unwrap_or(settings.listen.peers),
        is_control: settings.has_role(Role::Control),
        incarnation,
        is_draining: false,
    };
    let configured = settings.peers.iter().map(unheard);
    Detector::new(now, me, configured.collect(), rand::rng().random())
}

/// Logs a change of some instances in one line, which names a few of them.
fn log_names(change: &str, names: &mut Vec<String>) {
    let names = std::mem::take(names);
    match names.len() {
        0 => {}
        count if count > NAMES_LOGGED => {
            let first = names[..NAMES_LOGGED].join(", ");
            log::info!("{count} instances are {change}, among them {first}");
        }
        _ => names.iter().for_each(|name| log::info!("instance {name} is {change}")),
    }
}

/// A peer of the settings that was not heard of yet.
fn unheard(peer: &settings::Peer) -> Member {
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
    /// Starts to look for the peers of the settings; `changed` is told of every change.
    pub fn init(
        cx: CX![],
        settings: Rc<Settings>,
        identity: Arc<Identity>,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
        changed: Fwd<View>,
    ) -> Option<Self> {
        let detector = detector(&settings, identity.run.get(), cx.now());
        after!(TICK, [cx], tick());
        Some(Self {
            settings,
            identity,
            hub,
            metrics,
            detector,
            changed,
            told_changes: 0,
            members: Vec::new(),
            is_draining: false,
            met: Vec::new(),
            lost: Vec::new(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let actions = self.detector.tick(cx.now());
        self.perform(actions);
        self.tell(false);
        log_names("alive", &mut self.met);
        log_names("gone", &mut self.lost);
        after!(TICK, [cx], tick());
    }

    /// Takes a message of a peer.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode("membership message", &delivery.payload) {
            Ok(message) => {
                let actions = self.detector.receive(cx.now(), &delivery.sender, message);
                self.perform(actions);
            }
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }

    /// Learns peers from changed settings.
    pub fn add_peers(&mut self, cx: CX![], peers: Vec<settings::Peer>) {
        for peer in &peers {
            let peer = Peer { instance: peer.instance.clone(), address: peer.address };
            call!([self.hub], set_peer(peer));
        }
        self.detector.add_configured(cx.now(), peers.iter().map(unheard).collect());
    }

    /// Announces that this instance takes no new duties.
    pub fn drain(&mut self, _: CX![]) {
        let actions = self.detector.drain();
        self.perform(actions);
    }

    /// Announces the planned leave of this instance.
    pub fn leave(&mut self, _: CX![]) {
        let actions = self.detector.leave();
        self.perform(actions);
    }

    /// Lists the instances that were heard of.
    pub(crate) fn list(&mut self, _: CX![], pending: PendingRequest) {
        let me = (self.detector.me(), false);
        let members: Vec<_> = std::iter::once(me)
            .chain(self.detector.beliefs())
            .map(|(belief, is_set_aside)| {
                json!({
                    "instance": belief.instance,
                    "data_centre": belief.data_centre,
                    "address": belief.address,
                    "incarnation": belief.incarnation.to_string(),
                    "status": belief.status,
                    "is_draining": belief.is_draining,
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
                Action::Up(member) => self.meet(member),
                Action::Down(member, status) => {
                    self.lost.push(format!("{} ({status})", member.instance));
                    self.metrics.membership.deaths.inc();
                }
                Action::Suspected(instance) => {
                    log::debug!("instance {instance}: suspected");
                    self.metrics.membership.suspicions.inc();
                }
                Action::Stalled(gap) => {
                    log::warn!("this instance did not run for {} ms", gap.as_millis());
                    has_stalled = true;
                }
                Action::Renumbered(incarnation) => {
                    log::warn!("the clock was set back before this run; it is {incarnation} now");
                    self.identity.run.raise(incarnation);
                }
            }
        }
        if has_stalled {
            self.tell(has_stalled);
        }
    }

    /// Tells the other slices who is there, if that has changed.
    fn tell(&mut self, has_stalled: bool) {
        let is_draining = self.detector.me().is_draining;
        let is_unchanged = self.detector.changes() == self.told_changes;
        if is_unchanged && is_draining == self.is_draining && !has_stalled {
            return;
        }
        self.told_changes = self.detector.changes();
        let members: Vec<_> = self.detector.members().collect();
        if members == self.members && is_draining == self.is_draining && !has_stalled {
            return;
        }
        if is_draining != self.is_draining {
            log::info!("this instance takes {} duties", if is_draining { "no" } else { "its" });
            self.is_draining = is_draining;
        }
        self.metrics.membership.members.set(i64::try_from(members.len() + 1).unwrap_or(i64::MAX));
        self.members.clone_from(&members);
        self.changed.fwd(View { members, is_draining, has_stalled });
    }

    /// Lets the hub reach a member; addresses of the settings win.
    fn meet(&mut self, member: Member) {
        self.met.push(format!("{} (run {})", member.instance, member.incarnation));
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
