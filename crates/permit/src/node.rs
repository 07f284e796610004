//! The state of one instance as a holder and as an owner of permits.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admission::{AdmissionQueue, Tokens};
use declare::{Rank, Target};
use names::{ClientAccount, Instance, Kind, Upstream};
use placement::{LoadBound, Policy};
use upstream::Registry;
use xxhash_rust::xxh3::xxh3_64;

use crate::holder::Holder;
use crate::limits::Usage;
use crate::locations::Locations;
use crate::owner::Owner;
use crate::relay::RelayTable;
use crate::{Message, PermitId};

/// Inputs that every decision depends on.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// Upstreams of the data centre.
    pub registry: &'a Registry,
}

/// A caller's request that needs a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Model or upstreams that can serve the request.
    pub target: Target,
    /// Key of the conversation, the same for all its requests.
    pub key: u64,
    /// Upstreams to leave out because they failed the request or are drained.
    pub excluded: Vec<Upstream>,
    /// Account that the request belongs to.
    pub account: ClientAccount,
    /// Weight of the account's share relative to other accounts.
    pub weight: u32,
    /// Kind of work of the request.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Minimum share of an upstream that the kind keeps under overload, in percent.
    pub least_share_percent: u32,
    /// Deadline after which the response is of no use.
    pub deadline: Instant,
    /// Expected cost of the request.
    pub cost: Tokens,
}

/// A permit to call an upstream once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedPermit {
    /// Id of the permit.
    pub id: PermitId,
    /// Upstream that may be called.
    pub upstream: Upstream,
    /// Address at which the upstream accepts calls.
    pub address: SocketAddr,
    /// Other upstream that is expected to have the context of the conversation, if any.
    pub context_holder: Option<Upstream>,
}

/// Outcome of [`Node::place`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The upstream may be called.
    Granted(GrantedPermit),
    /// No upstream can serve the request before its deadline.
    Refused {
        /// Time until a retry.
        retry_after: Duration,
    },
    /// No available upstream can serve the request.
    NoUpstream,
}

/// Action that the caller of a [`Node`] has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. Messages to the same instance must stay in order.
    Send(Instance, Message),
    /// Report the outcome of the request with this number.
    Complete(u64, PlacementOutcome),
}

/// The members of the data centre, as this instance knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct View {
    pub(crate) me: Instance,
    /// All members including this instance, sorted.
    pub(crate) members: Vec<Instance>,
    /// Members that may own upstreams, sorted; all members if every one is draining.
    pub(crate) owners: Vec<Instance>,
    /// Hash of the members and owners, to compare views.
    pub(crate) digest: u32,
}

impl View {
    fn new(me: Instance, members: Vec<Instance>, draining: &[Instance]) -> Self {
        let mut members = members;
        members.push(me.clone());
        members.sort();
        members.dedup();
        let mut owners = members.clone();
        owners.retain(|member| !draining.contains(member));
        if owners.is_empty() {
            owners.clone_from(&members);
        }
        let names =
            |list: &[Instance]| list.iter().map(|member| format!("{member} ")).collect::<String>();
        let text = format!("{}/{}", names(&members), names(&owners));
        let digest = xxh3_64(text.as_bytes()) as u32;
        Self { me, members, owners, digest }
    }

    pub(crate) fn owner(&self, upstream: &Upstream) -> Instance {
        placement::owner(upstream, &self.owners).unwrap_or(&self.me).clone()
    }

    pub(crate) fn owns(&self, upstream: &Upstream) -> bool {
        self.owner(upstream) == self.me
    }
}

/// Messages and outcomes that one operation produces.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) messages: VecDeque<(Instance, Message)>,
    pub(crate) outcomes: Vec<(u64, PlacementOutcome)>,
    /// Owners that did not reply in time.
    pub(crate) unresponsive: Vec<Instance>,
}

impl Outbox {
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.messages.push_back((to.clone(), message));
    }
}

/// The state of one instance, which requests permits as a holder and grants them as an owner.
pub struct Node {
    view: View,
    owner: Owner,
    holder: Holder,
    locations: Locations,
    relays: RelayTable,
    outbox: Outbox,
}

impl Node {
    /// Creates the node of the instance `me`, with no other members yet. `policy` orders the
    /// upstreams for a conversation, and `create_queue` creates the admission queue of an
    /// upstream. The same `seed` gives the same permit ids and request numbers.
    pub fn new(
        now: Instant,
        me: Instance,
        bound: LoadBound,
        policy: Box<dyn Policy>,
        create_queue: Box<dyn Fn() -> Box<dyn AdmissionQueue>>,
        seed: u64,
    ) -> Self {
        let view = View::new(me, Vec::new(), &[]);
        Self {
            view,
            owner: Owner::new(now, bound, create_queue, seed),
            holder: Holder::new(now, policy, seed),
            locations: Locations::default(),
            relays: RelayTable::default(),
            outbox: Outbox::default(),
        }
    }

    /// Sets the other members of the data centre. Members in `draining`, which may include this
    /// instance, no longer own upstreams.
    pub fn set_members(
        &mut self,
        context: Context<'_>,
        members: Vec<Instance>,
        draining: &[Instance],
    ) -> Vec<Action> {
        self.view = View::new(self.view.me.clone(), members, draining);
        self.owner.update(context, &self.view, &mut self.outbox);
        self.holder.update(context, &self.view, &mut self.outbox);
        self.take_actions(context)
    }

    /// Records that this run of a member has ended for certain, and with it all its calls.
    pub fn end_member(&mut self, context: Context<'_>, member: &Instance) -> Vec<Action> {
        self.owner.end_holder(context.now, member);
        self.holder.permits().remove_owner(member);
        self.take_actions(context)
    }

    /// Records that a member is suspected to have ended. Until a message from it arrives, its
    /// permits count at their upstreams, but not in the mean.
    pub fn suspect_member(&mut self, context: Context<'_>, member: &Instance) -> Vec<Action> {
        self.owner.suspect(context.now, member);
        self.take_actions(context)
    }

    /// Applies changes of the registry.
    pub fn refresh(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.update(context, &self.view, &mut self.outbox);
        self.take_actions(context)
    }

    /// Recovers after this instance was suspended, since its state may be outdated.
    pub fn recover_from_stall(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.take_over_all(context, &self.view);
        self.holder.permits().report_all(&self.view, &mut self.outbox);
        self.take_actions(context)
    }

    /// Requests a permit for `request`, a number that the caller chooses.
    pub fn place(
        &mut self,
        context: Context<'_>,
        request: u64,
        placement_request: PlacementRequest,
    ) -> Vec<Action> {
        self.holder.place(context, &self.view, request, placement_request, &mut self.outbox);
        self.take_actions(context)
    }

    /// Withdraws a request that waits for a permit.
    pub fn withdraw(&mut self, context: Context<'_>, request: u64) -> Vec<Action> {
        self.holder.withdraw(request, &mut self.outbox);
        self.take_actions(context)
    }

    /// Releases a permit; `used` is the actual cost of the call.
    pub fn release(&mut self, context: Context<'_>, id: PermitId, used: Tokens) -> Vec<Action> {
        self.holder.permits().release(id, used, &mut self.outbox);
        self.take_actions(context)
    }

    /// Handles a message from `sender`.
    pub fn receive(
        &mut self,
        context: Context<'_>,
        sender: &Instance,
        message: Message,
    ) -> Vec<Action> {
        self.owner.clear_suspicion(sender);
        self.handle_message(context, sender, message);
        self.take_actions(context)
    }

    /// Runs periodic work. Must be called at least every 50 ms.
    pub fn tick(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.tick(context, &mut self.outbox);
        self.holder.tick(context, &self.view, &mut self.outbox);
        self.take_actions(context)
    }

    /// Returns the number of upstreams that this instance owns and of permits in use at them.
    pub fn counts(&self) -> (usize, u32) {
        self.owner.counts()
    }

    /// Returns the usage of the upstreams that this instance owns, sorted by name.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.owner.usage()
    }

    /// Returns the permits that this instance holds.
    pub fn held_permits(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.holder.held_permits()
    }

    fn handle_message(&mut self, context: Context<'_>, sender: &Instance, message: Message) {
        let (view, outbox) = (&self.view, &mut self.outbox);
        match message {
            Message::Reply { number, outcome } => {
                self.holder.handle_reply(context, view, sender, number, outcome, outbox);
            }
            Message::Capacity { upstream, pool } => {
                self.holder.use_capacity(context, view, &upstream, &pool, outbox);
            }
            Message::Claim { upstreams } => {
                self.holder.permits().report(view, sender, &upstreams, outbox);
            }
            Message::Locate { key } => self.locations.reply(sender, key, outbox),
            Message::Location { key, upstream } => self.holder.record_location(key, &upstream),
            Message::LocationChanged { key, upstream } => self.locations.record(key, &upstream),
            Message::Relayed { origin, destination, message } if destination == view.me => {
                self.relays.avoid(context.now, &origin);
                self.handle_message(context, &origin, *message);
            }
            Message::Relayed { ref destination, .. } => outbox.send(&destination.clone(), message),
            message => self.owner.handle_message(context, view, sender, message, outbox),
        }
    }

    /// Handles the messages that are addressed to this instance and returns all other output as
    /// actions.
    fn take_actions(&mut self, context: Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for owner in std::mem::take(&mut self.outbox.unresponsive) {
            self.relays.avoid(context.now, &owner);
        }
        self.dispatch_messages(context, &mut actions);
        self.owner.send_due_loads(context, &self.view, &mut self.outbox);
        self.dispatch_messages(context, &mut actions);
        let outcomes = self.outbox.outcomes.drain(..);
        actions.extend(outcomes.map(|(request, outcome)| Action::Complete(request, outcome)));
        actions
    }

    /// Handles messages to this instance, including those that handling them produces, and
    /// routes all others.
    fn dispatch_messages(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        while let Some((to, message)) = self.outbox.messages.pop_front() {
            if to == self.view.me {
                self.handle_message(context, &to, message);
            } else {
                let (to, message) = self.relays.route(context.now, &self.view, to, message);
                actions.push(Action::Send(to, message));
            }
        }
    }
}
