//! One instance's part in giving and holding permits.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admission::{Desk, Tokens};
use declare::{Rank, Target};
use names::{ClientAccount, Instance, Kind, Upstream};
use placement::{Bound, Policy};
use upstream::Registry;
use xxhash_rust::xxh3::xxh3_64;

use crate::holder::Holder;
use crate::locations::Locations;
use crate::owner::Owner;
use crate::routes::Routes;
use crate::terms::Usage;
use crate::{Message, PermitId};

/// What every decision is taken in.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The time.
    pub now: Instant,
    /// The upstreams of the data centre.
    pub registry: &'a Registry,
}

/// A caller's request that needs a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// What can answer it.
    pub target: Target,
    /// The same for all requests of one conversation.
    pub key: u64,
    /// Upstreams that failed it.
    pub tried: Vec<Upstream>,
    /// Whose request it is.
    pub account: ClientAccount,
    /// The account's share relative to others.
    pub weight: u32,
    /// Its kind of work.
    pub kind: Kind,
    /// The kind's rank.
    pub rank: Rank,
    /// The share of an upstream that the kind keeps in a flood, in percent.
    pub least_share_percent: u32,
    /// When its answer stops to count.
    pub deadline: Instant,
    /// Its expected cost.
    pub cost: Tokens,
}

/// Leave to call an upstream once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// Names the permit.
    pub id: PermitId,
    /// The upstream.
    pub upstream: Upstream,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The other upstream that should have the context of the conversation.
    pub context_at: Option<Upstream>,
}

/// Outcome of asking for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placed {
    /// The upstream may be called.
    Granted(Granted),
    /// No upstream takes the request in time.
    Refused {
        /// When to ask again.
        retry_after: Duration,
    },
    /// No upstream that could answer is available.
    NoUpstream,
}

/// What the owner of a node has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message, in order with others to the same instance.
    Send(Instance, Message),
    /// The request with this number got its outcome.
    Placed(u64, Placed),
}

/// The members of the data centre by this instance's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct View {
    pub(crate) me: Instance,
    /// All, with this instance, sorted.
    pub(crate) members: Vec<Instance>,
    /// Those that may own upstreams, sorted; all members when every one drains.
    pub(crate) owners: Vec<Instance>,
    /// The same for equal views.
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

    pub(crate) fn is_mine(&self, upstream: &Upstream) -> bool {
        self.owner(upstream) == self.me
    }
}

/// Messages and outcomes that a step produces.
#[derive(Debug, Default)]
pub(crate) struct Out {
    pub(crate) messages: VecDeque<(Instance, Message)>,
    pub(crate) placed: Vec<(u64, Placed)>,
    /// Owners that did not answer in time.
    pub(crate) silent: Vec<Instance>,
}

impl Out {
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.messages.push_back((to.clone(), message));
    }
}

/// Asks for permits as holder and gives them as owner.
pub struct Node {
    view: View,
    owner: Owner,
    holder: Holder,
    locations: Locations,
    routes: Routes,
    out: Out,
}

impl Node {
    /// The part of the instance `me`, alone until it is told of members. `policy` orders the upstreams
    /// for a conversation, `desk` opens the queue
    /// of an upstream.
    pub fn new(
        now: Instant,
        me: Instance,
        bound: Bound,
        policy: Box<dyn Policy>,
        desk: Box<dyn Fn() -> Box<dyn Desk>>,
        seed: u64,
    ) -> Self {
        let view = View::new(me, Vec::new(), &[]);
        Self {
            view,
            owner: Owner::new(now, bound, desk, seed),
            holder: Holder::new(now, policy, seed),
            locations: Locations::default(),
            routes: Routes::default(),
            out: Out::default(),
        }
    }

    /// Takes the other members of the data centre; those in `draining`, where this instance may
    /// be among, own nothing any more.
    pub fn set_members(
        &mut self,
        context: Context<'_>,
        members: Vec<Instance>,
        draining: &[Instance],
    ) -> Vec<Action> {
        self.view = View::new(self.view.me.clone(), members, draining);
        self.owner.update(context, &self.view, &mut self.out);
        self.holder.update(context, &self.view, &mut self.out);
        self.finish(context)
    }

    /// Takes note that that run of a member has ended for certain, and its calls with it.
    pub fn end_member(&mut self, context: Context<'_>, member: &Instance) -> Vec<Action> {
        self.owner.end_holder(context.now, member);
        self.holder.permits().forget(member);
        self.finish(context)
    }

    /// Takes note that a member may have ended. Until it is heard again its permits count for
    /// their upstreams, but not for the mean.
    pub fn doubt_member(&mut self, context: Context<'_>, member: &Instance) -> Vec<Action> {
        self.owner.doubt(context.now, member);
        self.finish(context)
    }

    /// Takes note that the registry changed.
    pub fn refresh(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.update(context, &self.view, &mut self.out);
        self.finish(context)
    }

    /// Takes note that this instance was frozen: what it believes may be long outdated.
    pub fn awake(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.take_over_all(context, &self.view);
        self.holder.permits().report_all(&self.view, &mut self.out);
        self.finish(context)
    }

    /// Asks for a permit for `request`, a number that the caller chose.
    pub fn place(&mut self, context: Context<'_>, request: u64, wanted: Wanted) -> Vec<Action> {
        self.holder.place(context, &self.view, request, wanted, &mut self.out);
        self.finish(context)
    }

    /// Gives up a request that waits for a permit.
    pub fn withdraw(&mut self, context: Context<'_>, request: u64) -> Vec<Action> {
        self.holder.withdraw(request, &mut self.out);
        self.finish(context)
    }

    /// Gives a permit back; the call cost `used`.
    pub fn release(&mut self, context: Context<'_>, id: PermitId, used: Tokens) -> Vec<Action> {
        self.holder.permits().release(id, used, &mut self.out);
        self.finish(context)
    }

    /// Takes a message of the member `sender`.
    pub fn receive(
        &mut self,
        context: Context<'_>,
        sender: &Instance,
        message: Message,
    ) -> Vec<Action> {
        self.owner.hear(sender);
        self.take(context, sender, message);
        self.finish(context)
    }

    /// Does what is due; to be called at least every 50 ms.
    pub fn tick(&mut self, context: Context<'_>) -> Vec<Action> {
        self.owner.tick(context, &mut self.out);
        self.holder.tick(context, &self.view, &mut self.out);
        self.finish(context)
    }

    /// Upstreams that this instance owns, and the permits that it gave.
    pub fn owned(&self) -> (usize, u32) {
        self.owner.counts()
    }

    /// How the upstreams that this instance owns are used, in the order of their names.
    pub fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.owner.usage()
    }

    /// Permits that this instance holds.
    pub fn held(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.holder.held()
    }

    fn take(&mut self, context: Context<'_>, sender: &Instance, message: Message) {
        let (view, out) = (&self.view, &mut self.out);
        match message {
            Message::Answer { number, outcome } => {
                self.holder.answer(context, view, sender, number, outcome, out);
            }
            Message::Room { upstream, pool } => {
                self.holder.use_room(context, view, &upstream, &pool, out);
            }
            Message::Claim { upstreams } => {
                self.holder.permits().report(view, sender, &upstreams, out);
            }
            Message::Locate { key } => self.locations.tell(sender, key, out),
            Message::Located { key, upstream } => self.holder.learn(key, &upstream),
            Message::Sent { key, upstream } => self.locations.learn(key, &upstream),
            Message::Relayed { origin, addressee, message } if addressee == view.me => {
                self.routes.avoid(context.now, &origin);
                self.take(context, &origin, *message);
            }
            Message::Relayed { ref addressee, .. } => out.send(&addressee.clone(), message),
            message => self.owner.take(context, view, sender, message, out),
        }
    }

    /// Takes messages to this instance itself; gives the rest out.
    fn finish(&mut self, context: Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for owner in std::mem::take(&mut self.out.silent) {
            self.routes.avoid(context.now, &owner);
        }
        self.pass_on(context, &mut actions);
        self.owner.send_due_sums(context, &self.view, &mut self.out);
        self.pass_on(context, &mut actions);
        let placed = self.out.placed.drain(..);
        actions.extend(placed.map(|(request, placed)| Action::Placed(request, placed)));
        actions
    }

    /// Takes messages to this instance itself, and those that follow from them.
    fn pass_on(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        while let Some((to, message)) = self.out.messages.pop_front() {
            if to == self.view.me {
                self.take(context, &to, message);
            } else {
                let (to, message) = self.routes.route(context.now, &self.view, to, message);
                actions.push(Action::Send(to, message));
            }
        }
    }
}
