//! The actor that knows the upstreams and gives permits to call them.

mod requests;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use admission::Tokens;
use declare::Declarations;
use membership::Member;
use names::{Instance, Upstream};
use operator::Response;
use permit::{Context, Granted, Node};
use rand::RngExt;
use serde::Serialize;
use settings::Settings;
use stakker::{Actor, CX, Fwd, Ret, after, call, lazy, ret};
use telemetry::Metrics;
use upstream::{Action, Announcement, Directory, Entry, Message};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::listing::samples;
use crate::members::View;
use crate::operators::PendingRequest;
use crate::permit_request::{Asking, node, replaced};
pub(crate) use crate::permit_request::{Permit, Placed, Wanted};

/// How often the directory does what is due.
const TICK: Duration = Duration::from_millis(50);

/// How often the metrics of single upstreams are renewed.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// How long a new instance waits for others of its data centre before it serves alone.
const ALONE_AFTER: Duration = Duration::from_secs(3);

/// Time without a tick after which what this instance believes may be outdated.
const STALL: Duration = Duration::from_secs(1);

/// Knows the upstreams of the data centre.
pub(crate) struct Placer {
    settings: Rc<Settings>,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    directory: Directory,
    alone_at: Instant,
    has_members: bool,
    declarations: Rc<Declarations>,
    node: Node,
    members: Vec<Member>,
    /// The last known run of members before the present view.
    known: Vec<Member>,
    is_draining: bool,
    is_set_aside: bool,
    asking: Vec<Asking>,
    next_number: u64,
    outgoing: Vec<(Instance, Slice, Vec<permit::Message>)>,
    last_tick: Instant,
    next_sample: Instant,
}

impl Placer {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        let directory = Directory::new(cx.now(), settings.instance.clone(), rand::rng().random());
        let is_configured = |peer: &settings::Peer| peer.data_centre == settings.data_centre;
        let is_alone = !settings.peers.iter().any(is_configured);
        let alone_at = if is_alone { cx.now() } else { cx.now() + ALONE_AFTER };
        Some(Self {
            node: node(cx.now(), &settings),
            members: Vec::new(),
            known: Vec::new(),
            is_draining: false,
            is_set_aside: false,
            asking: Vec::new(),
            next_number: 0,
            outgoing: Vec::new(),
            last_tick: cx.now(),
            next_sample: cx.now(),
            directory,
            alone_at,
            has_members: false,
            settings,
            hub,
            metrics,
            declarations: Rc::default(),
        })
    }

    /// Puts declarations in force for permits that are asked for from now on.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        self.declarations = declarations;
    }

    fn owner(&self, upstream: &Upstream) -> Option<&Instance> {
        let others = self.members.iter().filter(|member| !member.is_draining);
        let me = (!self.owns_nothing()).then_some(&self.settings.instance);
        placement::owner(upstream, others.map(|member| &member.instance).chain(me))
    }

    /// Gives the announcements of all known upstreams, in the order of their names.
    pub(crate) fn announcements(&mut self, _: CX![], given: Ret<Vec<Announcement>>) {
        let known = self.directory.registry().iter();
        ret!([given], known.map(|entry| entry.announcement.clone()).collect());
    }

    /// Passes the question for readiness on once this instance knows all upstreams of its data
    /// centre.
    pub(crate) fn ready(&mut self, cx: CX![], pending: PendingRequest, next: Fwd<PendingRequest>) {
        if self.is_ready(cx.now()) {
            next.fwd(pending);
        } else {
            pending.respond(Response::text(503, "learning the upstreams\n"));
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.directory.has_learned() || (!self.has_members && self.alone_at <= now)
    }

    /// Takes a change of the members.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let is_local = |member: &Member| member.data_centre == self.settings.data_centre;
        let members: Vec<_> = view.members.into_iter().filter(is_local).collect();
        let former = std::mem::replace(&mut self.members, members);
        self.known.retain(|one| !former.iter().any(|other| other.instance == one.instance));
        self.known.extend(former);
        self.has_members = !self.members.is_empty();
        self.is_set_aside = view.is_draining;
        let instances = self.members.iter().filter(|member| !member.is_draining);
        let instances = instances.map(|member| member.instance.clone()).collect();
        self.directory.set_members(cx.now(), instances);
        for ended in replaced(&self.members, &self.known) {
            self.step(cx, |node, context| node.end_member(context, &ended));
        }
        self.update_node(cx);
        if view.has_stalled {
            self.step(cx, Node::awake);
        }
    }

    /// Hands the upstreams that this instance owns over to others.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        self.is_draining = true;
        self.update_node(cx);
    }

    fn owns_nothing(&self) -> bool {
        self.is_draining || self.is_set_aside
    }

    fn update_node(&mut self, cx: CX![]) {
        let instances = |members: &mut dyn Iterator<Item = &Member>| {
            members.map(|member| member.instance.clone()).collect::<Vec<_>>()
        };
        let all = instances(&mut self.members.iter());
        let mut draining = instances(&mut self.members.iter().filter(|one| one.is_draining));
        if self.owns_nothing() {
            draining.push(self.settings.instance.clone());
        }
        self.step(cx, |node, context| node.set_members(context, all, &draining));
    }

    /// Takes note that the connection of a peer ended, which may mean its death.
    pub(crate) fn lose(&mut self, cx: CX![], instance: Instance) {
        self.step(cx, |node, context| node.doubt_member(context, &instance));
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        self.check_stall(cx);
        let taken = match delivery.slice {
            Slice::Upstream => {
                let message = decode::<Message>("message about upstreams", &delivery.payload);
                message.map(|message| {
                    let actions = self.directory.receive(cx.now(), &delivery.sender, message);
                    self.perform(cx, actions);
                })
            }
            _ => {
                let messages = decode("messages about permits", &delivery.payload);
                messages.map(|messages: Vec<permit::Message>| {
                    for message in messages {
                        let sender = &delivery.sender;
                        self.step(cx, |node, context| node.receive(context, sender, message));
                    }
                })
            }
        };
        if let Err(error) = taken {
            log::warn!("instance {}: {error}", delivery.sender);
        }
    }

    /// After a time without ticks, nothing is given before all members reported anew.
    fn check_stall(&mut self, cx: CX![]) {
        if cx.now().saturating_duration_since(self.last_tick) > STALL {
            self.last_tick = cx.now();
            self.step(cx, Node::awake);
        }
    }

    /// Asks for a permit.
    pub(crate) fn place(&mut self, cx: CX![], wanted: Wanted, placed: Ret<Placed>) {
        self.check_stall(cx);
        if !self.is_ready(cx.now()) {
            ret!([placed], Placed::NoUpstream);
            return;
        }
        self.next_number += 1;
        let number = self.next_number;
        self.asking.push(Asking { number, id: wanted.id, cost: wanted.cost, placed });
        let wanted = self.enrich(wanted);
        self.step(cx, |node, context| node.place(context, number, wanted));
    }

    /// Adds what the declarations say of the account and the kind of work.
    fn enrich(&self, wanted: Wanted) -> permit::Wanted {
        let Wanted { target, key, mut tried, account, kind, rank, deadline, cost, .. } = wanted;
        let is_drained = |entry: &&Entry| self.declarations.is_drained(&entry.announcement.labels);
        let drained = self.directory.registry().available(&target).filter(is_drained);
        tried.extend(drained.map(|entry| entry.announcement.upstream.clone()));
        let accounts = &self.declarations.client_accounts;
        let weight = accounts.iter().find(|one| one.name == account).map_or(1, |one| one.weight);
        let declared = self.declarations.kind(kind.as_str());
        let least_share_percent = declared.map_or(0, |declared| declared.least_share_percent);
        permit::Wanted {
            target,
            key,
            tried,
            account,
            weight,
            kind,
            rank,
            least_share_percent,
            deadline,
            cost,
        }
    }

    /// Gives up a request that may still wait for a permit.
    pub(crate) fn withdraw(&mut self, cx: CX![], id: names::Request) {
        let asking: Vec<_> = self.asking.extract_if(.., |asking| asking.id == id).collect();
        for Asking { number, .. } in asking {
            self.step(cx, |node, context| node.withdraw(context, number));
        }
    }

    /// Gives a permit back.
    pub(crate) fn release(&mut self, cx: CX![], permit: Permit) {
        self.step(cx, |node, context| node.release(context, permit.id, permit.cost));
    }

    fn tick(&mut self, cx: CX![]) {
        self.check_stall(cx);
        self.last_tick = cx.now();
        let actions = self.directory.tick(cx.now());
        self.perform(cx, actions);
        self.step(cx, Node::tick);
        let (owned, permits) = self.node.owned();
        self.metrics.membership.owned.set(i64::try_from(owned).unwrap_or(i64::MAX));
        self.metrics.membership.permits.set(i64::from(permits));
        self.sample(cx.now());
        after!(TICK, [cx], tick());
    }

    /// Renews the metrics of single upstreams, when it is time.
    fn sample(&mut self, now: Instant) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE_PERIOD;
        let usage: Vec<_> = self.node.usage().collect();
        self.metrics.by_upstream.set(samples(self.directory.registry(), &usage));
    }

    /// Takes a step of the node and does what follows from it.
    fn step<F>(&mut self, cx: CX![], step: F)
    where
        F: FnOnce(&mut Node, Context<'_>) -> Vec<permit::Action>,
    {
        let context = Context { now: cx.now(), registry: self.directory.registry() };
        for action in step(&mut self.node, context) {
            match action {
                permit::Action::Send(to, message) => self.queue(cx, to, message),
                permit::Action::Placed(number, placed) => self.tell(cx, number, placed),
            }
        }
    }

    fn tell(&mut self, cx: CX![], number: u64, placed: permit::Placed) {
        let found = self.asking.iter().position(|asking| asking.number == number);
        let asking = found.map(|index| self.asking.swap_remove(index));
        match (asking, placed) {
            (Some(Asking { cost, placed: teller, .. }), permit::Placed::Granted(granted)) => {
                let context_at = self.find_context(&granted);
                let Granted { id, upstream, address, .. } = granted;
                ret!([teller], Placed::Granted(Permit { id, upstream, address, cost, context_at }));
            }
            (Some(asking), permit::Placed::Refused { retry_after }) => {
                ret!([asking.placed], Placed::Full { retry_after });
            }
            (Some(asking), permit::Placed::NoUpstream) => {
                ret!([asking.placed], Placed::NoUpstream);
            }
            (None, permit::Placed::Granted(granted)) => {
                self.step(cx, |node, context| node.release(context, granted.id, Tokens(0)));
            }
            (None, _) => {}
        }
    }

    /// Where the context of the conversation is, when it can be moved.
    fn find_context(&self, granted: &Granted) -> Option<(Upstream, SocketAddr)> {
        let registry = self.directory.registry();
        let can_move = |upstream: &Upstream| {
            let entry = registry.get(upstream)?;
            entry.announcement.moves_context.then_some(entry.announcement.address)
        };
        let upstream = granted.context_at.as_ref()?;
        can_move(&granted.upstream)?;
        can_move(upstream).map(|address| (upstream.clone(), address))
    }

    /// Queues a message about permits; all to one instance of this turn travel as one frame.
    fn queue(&mut self, cx: CX![], to: Instance, message: permit::Message) {
        let slice = match message {
            permit::Message::Part { .. } | permit::Message::Total { .. } => Slice::Load,
            _ => Slice::Permit,
        };
        if self.outgoing.is_empty() {
            lazy!([cx], flush());
        }
        match self.outgoing.iter_mut().find(|(other, of, _)| *other == to && *of == slice) {
            Some((_, _, messages)) => messages.push(message),
            None => self.outgoing.push((to, slice, vec![message])),
        }
    }

    fn flush(&mut self, _: CX![]) {
        for (to, slice, messages) in std::mem::take(&mut self.outgoing) {
            self.send(to, slice, Transport::Tcp, &messages);
        }
    }

    fn perform(&mut self, cx: CX![], actions: Vec<Action>) {
        let mut has_changed = false;
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    self.send(to, Slice::Upstream, Transport::Tcp, &message);
                }
                Action::SendQuickly(to, message) => {
                    self.send(to, Slice::Upstream, Transport::Udp, &message);
                }
                Action::Changed(upstream, change) => {
                    has_changed = true;
                    log::info!("upstream {upstream}: {change}");
                }
            }
        }
        if has_changed {
            self.step(cx, Node::refresh);
        }
        let registry = self.directory.registry();
        let available = registry.iter().filter(|entry| entry.is_available()).count();
        self.metrics.upstreams.set(i64::try_from(available).unwrap_or(i64::MAX));
    }

    fn send<M>(&self, addressee: Instance, slice: Slice, transport: Transport, message: &M)
    where
        M: Serialize,
    {
        if let Ok(payload) = encode(message) {
            let outgoing = Outgoing { addressee, slice, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }
}
