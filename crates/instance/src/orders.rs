//! Actor that sends orders to engines while this instance holds the order lease of its data centre.
//!
//! One entry instance of the data centre, chosen by rendezvous hashing, acquires the lease. A call
//! that carries an order ends before the lease expires, and the announcements of the engines are
//! compared with the declarations on every tick. An order that arrives late is therefore harmless
//! or corrected by a later order.

use std::rc::Rc;
use std::time::{Duration, Instant};

use declare::Declarations;
use dispatch::{Call, Client, ConnectionReuse, Field, Outbound};
use names::{Attempt, Instance, Upstream};
use operator::Response;
use orders::{Engine, Order, Plan, RolloutProgress, RolloutStatus, Task};
use placement::{hash_name, rendezvous_owner};
use rand::RngExt;
use serde_json::json;
use settings::{Role, Settings};
use stakker::{Actor, ActorOwn, CX, StopCause, after, call, fail, fwd_to, ret_some_to};
use state::{LeaseClient, LeaseOutcome, ProposalOutcome};
use upstream::Announcement;
use wire::{decode, encode};

use crate::members::View;
use crate::operators::PendingRequest;
use crate::placer::Placer;
use crate::replica::{Part, Replica};
use crate::selection::Selection;
use crate::upstream_client;

/// Interval between checks of the rollouts and the lease.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Duration of one grant of the lease.
const LEASE_DURATION: Duration = Duration::from_secs(6);

/// Maximum time that an engine has to respond to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after the first grant before a new lease holder sends orders that may do harm when
/// repeated. By then the last orders of the previous holder have arrived and the engines have
/// announced them.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);

/// Maximum number of concurrent orders.
const MAX_ORDERS_IN_FLIGHT: usize = 8;

/// An order that was sent and has no response yet.
struct PendingOrder {
    attempt: Attempt,
    rollout: usize,
    upstream: Upstream,
}

/// Sends the orders of rollouts and role changes to engines.
pub(crate) struct Orders {
    settings: Rc<Settings>,
    placer: Actor<Placer>,
    replica: Actor<Replica>,
    client: ActorOwn<Client>,
    peers: Vec<Instance>,
    lease_client: LeaseClient,
    rollouts: Vec<RolloutProgress>,
    pending_orders: Vec<PendingOrder>,
    /// Fencing token of the lease after the latest proposal, if this instance held the lease.
    fence: Option<u64>,
    /// Time from which orders that may do harm when late are allowed under the current fencing
    /// token.
    changes_allowed_at: Option<Instant>,
}

impl Orders {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        placer: Actor<Placer>,
        replica: Actor<Replica>,
    ) -> Option<Self> {
        let events = fwd_to!([cx], on_progress() as (dispatch::CallEvent));
        let stopped = ret_some_to!([cx], on_client_stopped() as (StopCause));
        let client = upstream_client::start(cx, events, stopped);
        let lease_client =
            LeaseClient::new(lease_name(&settings), settings.instance.clone(), LEASE_DURATION);
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            settings,
            placer,
            replica,
            client,
            peers: Vec::new(),
            lease_client,
            rollouts: Vec::new(),
            pending_orders: Vec::new(),
            fence: None,
            changes_allowed_at: None,
        })
    }

    /// Applies declarations. A rollout that did not change keeps its progress.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        let mut previous = std::mem::take(&mut self.rollouts);
        self.pending_orders.clear();
        let rollouts = declarations.rollouts.iter().map(Plan::from);
        for plan in rollouts.chain(declarations.role_changes.iter().map(Plan::from)) {
            let index = previous.iter().position(|progress| *progress.plan() == plan);
            let unchanged = index.map(|index| previous.swap_remove(index));
            self.rollouts.push(unchanged.unwrap_or_else(|| RolloutProgress::new(plan)));
        }
    }

    /// Updates the live instances of the data centre.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let local =
            view.members.iter().filter(|member| member.data_centre == self.settings.data_centre);
        self.peers = local.map(|member| member.instance.clone()).collect();
    }

    /// Lists the rollouts with their progress from this instance's point of view.
    pub(crate) fn list(&mut self, cx: CX![], pending: PendingRequest) {
        let listed = ret_some_to!([cx], respond_with_list(pending) as (Vec<Announcement>));
        call!([self.placer], announcements(listed));
    }

    fn respond_with_list(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        announcements: Vec<Announcement>,
    ) {
        let selection = Selection::new(&self.rollouts, &announcements);
        let rollouts: Vec<_> = (self.rollouts.iter().enumerate())
            .map(|(index, progress)| {
                let engines = selection.engines_of(index);
                let done = engines.iter().filter(|engine| engine.is_done).count();
                let (status, halted) = match progress.status(&engines) {
                    RolloutStatus::Done => ("done", None),
                    RolloutStatus::Running => ("running", None),
                    RolloutStatus::Halted(upstream) => ("halted", Some(upstream.to_string())),
                };
                json!({
                    "task": progress.plan().task,
                    "engines": engines.len(),
                    "done": done,
                    "standing": status,
                    "halted_at": halted,
                })
            })
            .collect();
        let fence = self.lease_client.fencing_token(cx.now()).map(|(fence, _)| fence);
        pending.respond(Response::json(200, &json!({ "fence": fence, "rollouts": rollouts })));
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        if self.rollouts.is_empty() || !self.is_lease_candidate() {
            return;
        }
        self.renew_lease(cx);
        if self.lease_client.fencing_token(Instant::now()).is_some() {
            let listed = ret_some_to!([cx], send_due_orders() as (Vec<Announcement>));
            call!([self.placer], announcements(listed));
        }
    }

    /// Returns whether this instance is the one in its data centre that acquires the lease.
    fn is_lease_candidate(&self) -> bool {
        let me = &self.settings.instance;
        let key = hash_name(&lease_name(&self.settings));
        let candidates = self.peers.iter().chain(std::iter::once(me));
        self.settings.has_role(Role::Entry) && rendezvous_owner(key, candidates) == Some(me)
    }

    fn renew_lease(&mut self, cx: CX![]) {
        let Some(command) = self.lease_client.next_command(Instant::now()) else {
            return;
        };
        let Ok(command) = encode(&command) else {
            return;
        };
        let proposed = ret_some_to!([cx], on_proposal_outcome() as (ProposalOutcome));
        call!([self.replica], propose(Part::Lease, command, proposed));
    }

    fn on_proposal_outcome(&mut self, _: CX![], proposed: ProposalOutcome) {
        let outcome: Option<LeaseOutcome> = match proposed {
            ProposalOutcome::Applied { outcome, .. } => decode("lease outcome", &outcome).ok(),
            ProposalOutcome::NotRun | ProposalOutcome::Unknown => None,
        };
        self.lease_client.on_outcome(Instant::now(), outcome);
        let fence = self.lease_client.fencing_token(Instant::now()).map(|(fence, _)| fence);
        if fence != self.fence {
            log::info!("fencing token for orders is now {fence:?}");
            self.fence = fence;
            self.changes_allowed_at = fence.map(|_| Instant::now() + TAKEOVER_DELAY);
        }
    }

    /// Sends the orders that are due according to the current announcements of the engines.
    fn send_due_orders(&mut self, cx: CX![], announcements: Vec<Announcement>) {
        let selection = Selection::new(&self.rollouts, &announcements);
        let engines_by_rollout: Vec<Vec<Engine>> =
            (0..self.rollouts.len()).map(|index| selection.engines_of(index)).collect();
        for (index, engines) in engines_by_rollout.iter().enumerate() {
            if !self.may_send(&self.rollouts[index].plan().task) {
                continue;
            }
            let next = self.rollouts[index].next_order(cx.now(), engines);
            let chosen = next.and_then(|upstream| {
                announcements.iter().find(|announced| announced.upstream == upstream)
            });
            if let Some(announcement) = chosen {
                self.send(index, announcement);
            }
        }
    }

    /// Returns whether orders for `task` may be sent now.
    fn may_send(&self, task: &Task) -> bool {
        match task {
            Task::Load(_) => true,
            Task::Unload(_) | Task::ChangeRole(_) => {
                self.changes_allowed_at.is_some_and(|allowed_at| Instant::now() >= allowed_at)
            }
        }
    }

    /// Sends an order in a call that ends before the lease expires.
    fn send(&mut self, rollout: usize, announcement: &Announcement) {
        let upstream = announcement.upstream.clone();
        let now = Instant::now();
        let Some((fence, until)) = self.lease_client.fencing_token(now) else {
            self.rollouts[rollout].order_failed(&upstream);
            return;
        };
        let task = self.rollouts[rollout].plan().task.clone();
        log::info!("sending order to upstream {upstream}: {task}, fencing token {fence}");
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
            connect_deadline: deadline,
            deadline,
            reuse: ConnectionReuse::Never,
        };
        match Outbound::try_from(call) {
            Ok(outbound) if self.pending_orders.len() < MAX_ORDERS_IN_FLIGHT => {
                call!([self.client], call(outbound));
                self.pending_orders.push(PendingOrder { attempt, rollout, upstream });
            }
            Ok(_) => self.rollouts[rollout].order_failed(&upstream),
            Err(error) => {
                log::error!("cannot send an order to upstream {upstream}: {error}; retrying later");
                self.rollouts[rollout].order_failed(&upstream);
            }
        }
    }

    fn on_client_stopped(&mut self, cx: CX![], cause: StopCause) {
        fail!(cx, upstream_client::ClientStopped(cause.to_string()));
    }

    /// Handles the outcome of an order. An order that was not executed is sent again later.
    fn on_progress(&mut self, _: CX![], event: dispatch::CallEvent) {
        let index = self.pending_orders.iter().position(|pending| pending.attempt == event.attempt);
        let Some(index) = index else {
            return;
        };
        let is_done = match event.progress {
            dispatch::Progress::Head { status, .. } => (200..300).contains(&status),
            dispatch::Progress::NotSent { .. } | dispatch::Progress::Failed { .. } => false,
            _ => return,
        };
        let pending = self.pending_orders.swap_remove(index);
        if !is_done && let Some(progress) = self.rollouts.get_mut(pending.rollout) {
            progress.order_failed(&pending.upstream);
        }
    }
}

/// Returns the name of the lease for orders in the data centre of the instance.
fn lease_name(settings: &Settings) -> String {
    format!("orders/{}", settings.data_centre)
}
