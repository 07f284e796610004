//! The actor that gives orders to engines while it holds its data centre's lease for them.
//!
//! One entry instance of the data centre, chosen by rendezvous, contends for the lease. A call
//! that carries an order ends with the lease at the latest, and what an engine announces is
//! compared anew with what is declared, so an order that arrives late is harmless or mended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use declare::Declarations;
use dispatch::{Call, Client, Field, Outbound, Reuse};
use names::{Attempt, Instance, Upstream};
use operator::Response;
use orders::{Engine, Order, Plan, Progress, Standing, Task};
use placement::{chosen, key_of};
use rand::RngExt;
use serde_json::json;
use settings::{Role, Settings};
use stakker::{Actor, ActorOwn, CX, StopCause, after, call, fail, fwd_to, ret_some_to};
use state::{Holder, LeaseOutcome, Proposed};
use upstream::Announcement;
use wire::{decode, encode};

use crate::members::View;
use crate::operators::PendingRequest;
use crate::placer::Placer;
use crate::replica::{Part, Replica};
use crate::selection::Selection;
use crate::upstream_client;

/// How often rollouts and the lease are looked at.
const TICK: Duration = Duration::from_millis(500);

/// How long a grant of the lease lasts.
const LEASE_SPAN: Duration = Duration::from_secs(6);

/// How long one order may take to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after its first grant a holder gives no order that is not harmless when repeated, so
/// that what its predecessor sent last has arrived and is announced.
const TAKE_OVER_PAUSE: Duration = Duration::from_secs(4);

/// Orders that are under way at once.
const MAX_CALLS: usize = 8;

/// An order that was sent and not answered yet.
struct Sent {
    attempt: Attempt,
    rollout: usize,
    upstream: Upstream,
}

/// Gives orders to engines.
pub(crate) struct Orders {
    settings: Rc<Settings>,
    placer: Actor<Placer>,
    replica: Actor<Replica>,
    client: ActorOwn<Client>,
    peers: Vec<Instance>,
    holder: Holder,
    rollouts: Vec<Progress>,
    sent: Vec<Sent>,
    fence: Option<u64>,
    /// When orders that do harm when late may be given under the present fencing number.
    changes_from: Option<Instant>,
}

impl Orders {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        placer: Actor<Placer>,
        replica: Actor<Replica>,
    ) -> Option<Self> {
        let events = fwd_to!([cx], progress() as (dispatch::Event));
        let stopped = ret_some_to!([cx], on_client_stopped() as (StopCause));
        let client = upstream_client::start(cx, events, stopped);
        let holder = Holder::new(resource(&settings), settings.instance.clone(), LEASE_SPAN);
        after!(TICK, [cx], tick());
        Some(Self {
            settings,
            placer,
            replica,
            client,
            peers: Vec::new(),
            holder,
            rollouts: Vec::new(),
            sent: Vec::new(),
            fence: None,
            changes_from: None,
        })
    }

    /// Puts declarations in force; a rollout that did not change goes on where it was.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        let mut former = std::mem::take(&mut self.rollouts);
        self.sent.clear();
        let rollouts = declarations.rollouts.iter().map(Plan::from);
        for plan in rollouts.chain(declarations.role_changes.iter().map(Plan::from)) {
            let index = former.iter().position(|progress| *progress.plan() == plan);
            let kept = index.map(|index| former.swap_remove(index));
            self.rollouts.push(kept.unwrap_or_else(|| Progress::new(plan)));
        }
    }

    /// Learns which instances live.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let local = view.members.iter().filter(|one| one.data_centre == self.settings.data_centre);
        self.peers = local.map(|member| member.instance.clone()).collect();
    }

    /// Lists the rollouts as this instance sees them.
    pub(crate) fn list(&mut self, cx: CX![], pending: PendingRequest) {
        let listed = ret_some_to!([cx], answer_list(pending) as (Vec<Announcement>));
        call!([self.placer], announcements(listed));
    }

    fn answer_list(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        announcements: Vec<Announcement>,
    ) {
        let selection = Selection::new(&self.rollouts, &announcements);
        let rollouts: Vec<_> = (self.rollouts.iter().enumerate())
            .map(|(index, progress)| {
                let engines = selection.engines(index);
                let done = engines.iter().filter(|engine| engine.is_done).count();
                let (standing, halted) = match progress.standing(&engines) {
                    Standing::Done => ("done", None),
                    Standing::Running => ("running", None),
                    Standing::Halted(upstream) => ("halted", Some(upstream.to_string())),
                };
                json!({
                    "task": progress.plan().task,
                    "engines": engines.len(),
                    "done": done,
                    "standing": standing,
                    "halted_at": halted,
                })
            })
            .collect();
        let fence = self.holder.fence(cx.now()).map(|(fence, _)| fence);
        pending.respond(Response::json(200, &json!({ "fence": fence, "rollouts": rollouts })));
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        if self.rollouts.is_empty() || !self.contends() {
            return;
        }
        self.keep_lease(cx);
        if self.holder.fence(Instant::now()).is_some() {
            let listed = ret_some_to!([cx], advance() as (Vec<Announcement>));
            call!([self.placer], announcements(listed));
        }
    }

    /// Whether this instance is the one of its data centre that contends for the lease.
    fn contends(&self) -> bool {
        let me = &self.settings.instance;
        let key = key_of(&resource(&self.settings));
        let candidates = self.peers.iter().chain(std::iter::once(me));
        self.settings.has_role(Role::Entry) && chosen(key, candidates) == Some(me)
    }

    fn keep_lease(&mut self, cx: CX![]) {
        let Some(command) = self.holder.next(Instant::now()) else {
            return;
        };
        let Ok(command) = encode(&command) else {
            return;
        };
        let proposed = ret_some_to!([cx], proposed() as (Proposed));
        call!([self.replica], propose(Part::Lease, command, proposed));
    }

    fn proposed(&mut self, _: CX![], proposed: Proposed) {
        let outcome: Option<LeaseOutcome> = match proposed {
            Proposed::Applied { outcome, .. } => decode("lease outcome", &outcome).ok(),
            Proposed::NotRun | Proposed::Unknown => None,
        };
        self.holder.learn(Instant::now(), outcome);
        let fence = self.holder.fence(Instant::now()).map(|(fence, _)| fence);
        if fence != self.fence {
            log::info!("orders: fencing number {fence:?}");
            self.fence = fence;
            self.changes_from = fence.map(|_| Instant::now() + TAKE_OVER_PAUSE);
        }
    }

    /// Gives the orders that are due, as the engines announce themselves now.
    fn advance(&mut self, cx: CX![], announcements: Vec<Announcement>) {
        let selection = Selection::new(&self.rollouts, &announcements);
        let all: Vec<Vec<Engine>> =
            (0..self.rollouts.len()).map(|index| selection.engines(index)).collect();
        for (index, engines) in all.iter().enumerate() {
            if !self.may_give(&self.rollouts[index].plan().task) {
                continue;
            }
            let next = self.rollouts[index].next(cx.now(), engines);
            let chosen = next.and_then(|upstream| {
                announcements.iter().find(|announced| announced.upstream == upstream)
            });
            if let Some(announcement) = chosen {
                self.send(index, announcement);
            }
        }
    }

    /// Whether orders for `task` may be given now.
    fn may_give(&self, task: &Task) -> bool {
        match task {
            Task::Load(_) => true,
            Task::Unload(_) | Task::ChangeRole(_) => {
                self.changes_from.is_some_and(|from| Instant::now() >= from)
            }
        }
    }

    /// Sends an order; its call ends before the lease does.
    fn send(&mut self, rollout: usize, announcement: &Announcement) {
        let upstream = announcement.upstream.clone();
        let now = Instant::now();
        let Some((fence, until)) = self.holder.fence(now) else {
            self.rollouts[rollout].failed(&upstream);
            return;
        };
        let task = self.rollouts[rollout].plan().task.clone();
        log::info!("order {fence}: upstream {upstream} is to {task}");
        let order = Order { fence, task };
        let attempt = Attempt(rand::rng().random());
        let deadline = until.min(now + ORDER_TIMEOUT);
        let call = Call {
            attempt,
            method: "POST".to_string(),
            address: announcement.address,
            path: "/orders".to_string(),
            headers: vec![Field {
                name: "content-type".to_string(),
                value: "application/json".to_string(),
            }],
            body: serde_json::to_vec(&order).unwrap_or_default(),
            connect_by: deadline,
            deadline,
            reuse: Reuse::Never,
        };
        match Outbound::try_from(call) {
            Ok(outbound) if self.sent.len() < MAX_CALLS => {
                call!([self.client], call(outbound));
                self.sent.push(Sent { attempt, rollout, upstream });
            }
            Ok(_) => self.rollouts[rollout].failed(&upstream),
            Err(error) => {
                log::error!("order {fence} cannot be sent: {error}");
                self.rollouts[rollout].failed(&upstream);
            }
        }
    }

    fn on_client_stopped(&mut self, cx: CX![], cause: StopCause) {
        fail!(cx, upstream_client::ClientStopped(cause.to_string()));
    }

    /// Takes what became of an order. An order that was not carried out is given again later.
    fn progress(&mut self, _: CX![], event: dispatch::Event) {
        let index = self.sent.iter().position(|sent| sent.attempt == event.attempt);
        let Some(index) = index else {
            return;
        };
        let is_done = match event.progress {
            dispatch::Progress::Head { status, .. } => (200..300).contains(&status),
            dispatch::Progress::Failed { .. } => false,
            _ => return,
        };
        let sent = self.sent.swap_remove(index);
        if !is_done && let Some(progress) = self.rollouts.get_mut(sent.rollout) {
            progress.failed(&sent.upstream);
        }
    }
}

/// The name of the lease for orders of the instance's data centre.
fn resource(settings: &Settings) -> String {
    format!("orders/{}", settings.data_centre)
}
