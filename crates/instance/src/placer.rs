//! Actor that tracks the upstreams of the data centre and grants permits to call them.

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
use permit::{Context, GrantedPermit, Node};
use rand::RngExt;
use serde::Serialize;
use settings::Settings;
use stakker::{Actor, CX, Fwd, Ret, after, call, lazy, ret};
use telemetry::Metrics;
use upstream::{Action, Announcement, Directory, Entry, Message};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::listing::upstream_samples;
use crate::members::View;
use crate::operators::PendingRequest;
use crate::permit_request::{PendingPermit, permit_node, restarted_members};
pub(crate) use crate::permit_request::{Permit, PermitRequest, PlacementOutcome};

/// Interval between ticks of the directory and the permit node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between updates of the per-upstream metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that a new instance waits for others in its data centre before it serves alone.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a tick after which the state of this instance may be outdated.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Tracks the upstreams of the data centre and places requests on them.
pub(crate) struct Placer {
    settings: Rc<Settings>,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    directory: Directory,
    peer_discovery_deadline: Instant,
    has_members: bool,
    declarations: Rc<Declarations>,
    node: Node,
    members: Vec<Member>,
    /// Last known incarnation of each member before the current view.
    last_known_members: Vec<Member>,
    /// Whether this instance is shutting down.
    is_draining: bool,
    /// Whether this instance takes no new duties according to the membership view.
    is_excluded: bool,
    pending_permits: Vec<PendingPermit>,
    last_permit_number: u64,
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
        after!(TICK_INTERVAL, [cx], tick());
        let directory = Directory::new(cx.now(), settings.instance.clone(), rand::rng().random());
        let is_local = |peer: &settings::Peer| peer.data_centre == settings.data_centre;
        let is_alone = !settings.peers.iter().any(is_local);
        let peer_discovery_deadline =
            if is_alone { cx.now() } else { cx.now() + PEER_DISCOVERY_TIMEOUT };
        Some(Self {
            node: permit_node(cx.now(), &settings),
            members: Vec::new(),
            last_known_members: Vec::new(),
            is_draining: false,
            is_excluded: false,
            pending_permits: Vec::new(),
            last_permit_number: 0,
            outgoing: Vec::new(),
            last_tick: cx.now(),
            next_sample: cx.now(),
            directory,
            peer_discovery_deadline,
            has_members: false,
            settings,
            hub,
            metrics,
            declarations: Rc::default(),
        })
    }

    /// Applies declarations to permit requests that arrive from now on.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        self.declarations = declarations;
    }

    fn owner(&self, upstream: &Upstream) -> Option<&Instance> {
        let others = self.members.iter().filter(|member| !member.is_draining);
        let me = (!self.cannot_own_upstreams()).then_some(&self.settings.instance);
        placement::owner(upstream, others.map(|member| &member.instance).chain(me))
    }

    /// Replies with the announcements of all known upstreams, sorted by name.
    pub(crate) fn announcements(&mut self, _: CX![], reply: Ret<Vec<Announcement>>) {
        let known = self.directory.registry().iter();
        ret!([reply], known.map(|entry| entry.announcement.clone()).collect());
    }

    /// Passes a readiness probe on to `next` if this instance knows all upstreams of its data
    /// centre; otherwise responds that the instance is not ready.
    pub(crate) fn ready(&mut self, cx: CX![], pending: PendingRequest, next: Fwd<PendingRequest>) {
        if self.is_ready(cx.now()) {
            next.fwd(pending);
        } else {
            pending.respond(Response::text(503, "learning the upstreams\n"));
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.directory.has_learned() || (!self.has_members && self.peer_discovery_deadline <= now)
    }

    /// Applies a new membership view.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let is_local = |member: &Member| member.data_centre == self.settings.data_centre;
        let members: Vec<_> = view.members.into_iter().filter(is_local).collect();
        let previous = std::mem::replace(&mut self.members, members);
        self.last_known_members
            .retain(|known| !previous.iter().any(|other| other.instance == known.instance));
        self.last_known_members.extend(previous);
        self.has_members = !self.members.is_empty();
        self.is_excluded = view.is_draining;
        let instances = self.members.iter().filter(|member| !member.is_draining);
        let instances = instances.map(|member| member.instance.clone()).collect();
        self.directory.set_members(cx.now(), instances);
        for restarted in restarted_members(&self.members, &self.last_known_members) {
            self.step(cx, |node, context| node.end_member(context, &restarted));
        }
        self.update_node(cx);
        if view.has_stalled {
            self.step(cx, Node::recover_from_stall);
        }
    }

    /// Hands the upstreams that this instance owns over to other instances.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        self.is_draining = true;
        self.update_node(cx);
    }

    fn cannot_own_upstreams(&self) -> bool {
        self.is_draining || self.is_excluded
    }

    fn update_node(&mut self, cx: CX![]) {
        let instances = |members: &mut dyn Iterator<Item = &Member>| {
            members.map(|member| member.instance.clone()).collect::<Vec<_>>()
        };
        let all = instances(&mut self.members.iter());
        let mut draining = instances(&mut self.members.iter().filter(|member| member.is_draining));
        if self.cannot_own_upstreams() {
            draining.push(self.settings.instance.clone());
        }
        self.step(cx, |node, context| node.set_members(context, all, &draining));
    }

    /// Handles the loss of the connection to a peer, which may mean that the peer has failed.
    pub(crate) fn on_peer_disconnected(&mut self, cx: CX![], instance: Instance) {
        self.step(cx, |node, context| node.suspect_member(context, &instance));
    }

    /// Handles a message from a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        self.check_stall(cx);
        let result = match delivery.slice {
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
        if let Err(error) = result {
            log::warn!(
                "invalid message from instance {}: {error}; message dropped",
                delivery.sender
            );
        }
    }

    /// After a stall, suspends grants until all members have reported again.
    fn check_stall(&mut self, cx: CX![]) {
        if cx.now().saturating_duration_since(self.last_tick) > STALL_THRESHOLD {
            self.last_tick = cx.now();
            self.step(cx, Node::recover_from_stall);
        }
    }

    /// Requests a permit.
    pub(crate) fn place(
        &mut self,
        cx: CX![],
        request: PermitRequest,
        reply: Ret<PlacementOutcome>,
    ) {
        self.check_stall(cx);
        if !self.is_ready(cx.now()) {
            ret!([reply], PlacementOutcome::NoUpstream);
            return;
        }
        self.last_permit_number += 1;
        let number = self.last_permit_number;
        self.pending_permits.push(PendingPermit {
            number,
            id: request.id,
            cost: request.cost,
            reply,
        });
        let request = self.with_declarations(request);
        self.step(cx, |node, context| node.place(context, number, request));
    }

    /// Completes a permit request with the weight of the account and the share of the kind from the
    /// declarations, and excludes drained upstreams.
    fn with_declarations(&self, request: PermitRequest) -> permit::PlacementRequest {
        let PermitRequest {
            target, key, mut excluded, account, kind, rank, deadline, cost, ..
        } = request;
        let is_drained = |entry: &&Entry| self.declarations.is_drained(&entry.announcement.labels);
        let drained = self.directory.registry().available(&target).filter(is_drained);
        excluded.extend(drained.map(|entry| entry.announcement.upstream.clone()));
        let accounts = &self.declarations.client_accounts;
        let weight = accounts
            .iter()
            .find(|declared| declared.name == account)
            .map_or(1, |declared| declared.weight);
        let declared = self.declarations.kind(kind.as_str());
        let least_share_percent = declared.map_or(0, |declared| declared.least_share_percent);
        permit::PlacementRequest {
            target,
            key,
            excluded,
            account,
            weight,
            kind,
            rank,
            least_share_percent,
            deadline,
            cost,
        }
    }

    /// Withdraws the pending permit requests of a request.
    pub(crate) fn withdraw(&mut self, cx: CX![], id: names::Request) {
        let withdrawn: Vec<_> =
            self.pending_permits.extract_if(.., |pending| pending.id == id).collect();
        for PendingPermit { number, .. } in withdrawn {
            self.step(cx, |node, context| node.withdraw(context, number));
        }
    }

    /// Returns a permit to its owner.
    pub(crate) fn release(&mut self, cx: CX![], permit: Permit) {
        self.step(cx, |node, context| node.release(context, permit.id, permit.cost));
    }

    fn tick(&mut self, cx: CX![]) {
        self.check_stall(cx);
        self.last_tick = cx.now();
        let actions = self.directory.tick(cx.now());
        self.perform(cx, actions);
        self.step(cx, Node::tick);
        let (owned, permits) = self.node.counts();
        self.metrics.membership.owned.set(i64::try_from(owned).unwrap_or(i64::MAX));
        self.metrics.membership.permits.set(i64::from(permits));
        self.sample(cx.now());
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// Updates the per-upstream metrics if the sample interval has passed.
    fn sample(&mut self, now: Instant) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let usage: Vec<_> = self.node.usage().collect();
        self.metrics.by_upstream.set(upstream_samples(self.directory.registry(), &usage));
    }

    /// Runs one step of the permit node and performs the resulting actions.
    fn step<F>(&mut self, cx: CX![], step: F)
    where
        F: FnOnce(&mut Node, Context<'_>) -> Vec<permit::Action>,
    {
        let context = Context { now: cx.now(), registry: self.directory.registry() };
        for action in step(&mut self.node, context) {
            match action {
                permit::Action::Send(to, message) => self.queue(cx, to, message),
                permit::Action::Complete(number, placed) => self.reply_to(cx, number, placed),
            }
        }
    }

    fn reply_to(&mut self, cx: CX![], number: u64, placed: permit::PlacementOutcome) {
        let found = self.pending_permits.iter().position(|pending| pending.number == number);
        let pending = found.map(|index| self.pending_permits.swap_remove(index));
        match (pending, placed) {
            (
                Some(PendingPermit { cost, reply, .. }),
                permit::PlacementOutcome::Granted(granted),
            ) => {
                let context_source = self.find_context_source(&granted);
                let GrantedPermit { id, upstream, address, .. } = granted;
                let known = self.directory.registry().get(&upstream);
                let incarnation = known.map_or(0, |entry| entry.announcement.incarnation.0);
                ret!(
                    [reply],
                    PlacementOutcome::Granted(Permit {
                        id,
                        upstream,
                        incarnation,
                        address,
                        cost,
                        context_source
                    })
                );
            }
            (Some(pending), permit::PlacementOutcome::Refused { retry_after }) => {
                ret!([pending.reply], PlacementOutcome::Full { retry_after });
            }
            (Some(pending), permit::PlacementOutcome::NoUpstream) => {
                ret!([pending.reply], PlacementOutcome::NoUpstream);
            }
            (None, permit::PlacementOutcome::Granted(granted)) => {
                self.step(cx, |node, context| node.release(context, granted.id, Tokens(0)));
            }
            (None, _) => {}
        }
    }

    /// Returns the engine that has the context of the conversation, if the context can be
    /// transferred.
    fn find_context_source(&self, granted: &GrantedPermit) -> Option<(Upstream, SocketAddr)> {
        let registry = self.directory.registry();
        let transfer_address = |upstream: &Upstream| {
            let entry = registry.get(upstream)?;
            entry.announcement.moves_context.then_some(entry.announcement.address)
        };
        let upstream = granted.context_holder.as_ref()?;
        transfer_address(&granted.upstream)?;
        transfer_address(upstream).map(|address| (upstream.clone(), address))
    }

    /// Queues a message about permits. All messages for one instance and slice within one turn of
    /// the event loop are sent as one frame.
    fn queue(&mut self, cx: CX![], to: Instance, message: permit::Message) {
        let slice = match message {
            permit::Message::PoolLoadPart { .. } | permit::Message::PoolLoadTotal { .. } => {
                Slice::Load
            }
            _ => Slice::Permit,
        };
        if self.outgoing.is_empty() {
            lazy!([cx], flush());
        }
        match self
            .outgoing
            .iter_mut()
            .find(|(addressee, queued_slice, _)| *addressee == to && *queued_slice == slice)
        {
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
        self.metrics.available_upstreams.set(i64::try_from(available).unwrap_or(i64::MAX));
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
