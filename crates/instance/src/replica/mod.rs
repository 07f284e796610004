//! Actor through which all other actors propose commands to the replicated log.

mod forwarding;
mod leases;
mod log_node;
mod machines;
mod message;
mod operators;
mod proposals;
mod status;
mod voters;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eventloop::mailbox;
use names::{Incarnation, Instance};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use settings::Settings;
use stakker::{Actor, CX, FixedTimerKey, Fwd, after, at, call, fail, fwd_to};
use state::{
    Core, CoreConfig, DataFolder, FlowLimits, Index, Input, Leases, Machine, ProposalId,
    ProposalOutcome, Recovered, Storage, StorageEvent, Timing, VoterId, Voters,
};
use telemetry::Metrics;
use wire::{Delivery, Hub, Outgoing, Slice, Transport};

use crate::Error;
use crate::members::View;
use log_node::{Effect, LogNode};
use machines::Machines;
use message::Message;
use proposals::Proposals;

/// Name of the log folder within the data folder.
const LOG_FOLDER: &str = "log";

/// Delay before a log is reopened after a disk failure. A full disk stays full for seconds.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Time for which a proposal from another instance is remembered.
const FORWARDED_RETENTION: Duration = Duration::from_secs(10);

/// State machine that a command is for.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
)]
pub enum Part {
    /// Revisions of the declarations.
    Declare,
    /// Claims and outcomes of non-idempotent requests.
    Ledger,
    /// Leases and their fencing tokens.
    Lease,
    /// Target voters of the log.
    Voters,
    /// Numbered documents of the catalogue: routes, services and client accounts.
    Catalogue,
    /// Orders to evacuate data centres.
    Evacuation,
}

/// State machine that its actor reads and to which the log applies commands.
pub type SharedMachine = Rc<RefCell<dyn Machine>>;

/// A proposal from another instance that this voter has passed to its core.
struct ForwardedProposal {
    origin: ProposalId,
    until: Instant,
}

/// Takes part in the replicated log if the settings allow it, and forwards proposals to the leader.
pub struct Replica {
    settings: Rc<Settings>,
    incarnation: Incarnation,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    leases: Rc<RefCell<Leases>>,
    voters: Rc<RefCell<Voters>>,
    /// Earliest time at which the end of a voters change is proposed again.
    next_finish_at: Option<Instant>,
    /// Earliest time at which another replacement of voters is proposed.
    next_replacement_at: Option<Instant>,
    /// Live instances with the control role.
    live_controls: Vec<Instance>,
    machines: Machines,
    storage: Option<Storage>,
    node: Option<LogNode>,
    proposals: Proposals,
    forwarded: Vec<ForwardedProposal>,
    timer: FixedTimerKey,
}

impl Replica {
    /// Opens the log if this instance may vote. The actor fails if the data folder cannot be used.
    pub fn init(
        cx: CX![],
        settings: Rc<Settings>,
        incarnation: Incarnation,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let storage = match Self::open_storage(cx, &settings) {
            Ok(storage) => storage,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        let leases = Rc::new(RefCell::new(Leases::default()));
        let mut machines = Machines::default();
        machines.attach(Part::Lease, leases.clone(), Fwd::new(|_: Index| {}));
        let voters = Rc::new(RefCell::new(Voters::default()));
        let target_changed = fwd_to!([cx], apply_target_voters() as (Index));
        machines.attach(Part::Voters, voters.clone(), target_changed);
        Some(Self {
            settings,
            incarnation,
            hub,
            metrics,
            leases,
            voters,
            next_finish_at: None,
            next_replacement_at: None,
            live_controls: Vec::new(),
            machines,
            storage,
            node: None,
            proposals: Proposals::default(),
            forwarded: Vec::new(),
            timer: FixedTimerKey::default(),
        })
    }

    fn open_storage(cx: CX![], settings: &Settings) -> Result<Option<Storage>, Error> {
        let may_vote = settings.may_vote();
        let Some(folder) = settings.data_folder.as_ref().filter(|_| may_vote) else {
            return Ok(None);
        };
        let report = fwd_to!([cx], on_storage_report() as (StorageEvent));
        let reports = mailbox(cx, report);
        let path = folder.join(LOG_FOLDER);
        let new_voter = VoterId(rand::rng().random());
        let storage = Storage::start(
            move || DataFolder::open(&path),
            new_voter,
            move |report| reports.send(report),
        )?;
        Ok(Some(storage))
    }

    /// Attaches the state machine of `part`. `applied` is notified after each change of its state.
    pub fn attach(&mut self, _: CX![], part: Part, machine: SharedMachine, applied: Fwd<Index>) {
        self.machines.attach(part, machine, applied);
    }

    fn send(&mut self, _: CX![], addressee: Instance, message: &Message) {
        match wire::encode(message) {
            Ok(payload) => {
                let (slice, transport) = (Slice::State, Transport::Tcp);
                let outgoing = Outgoing { addressee, slice, transport, payload };
                call!([self.hub], send(outgoing));
            }
            Err(error) => log::error!(
                "cannot encode a message of the replicated log: {error}; message dropped"
            ),
        }
    }

    /// Handles a message from a peer.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let now = Instant::now();
        match wire::decode("message of the replicated log", &delivery.payload) {
            Ok(message) => self.receive(cx, now, delivery.sender, message),
            Err(error) => log::debug!(
                "invalid message from instance {}: {error}; message dropped",
                delivery.sender
            ),
        }
        self.schedule_tick(cx);
    }

    fn receive(&mut self, cx: CX![], now: Instant, sender: Instance, message: Message) {
        match message {
            Message::Core(envelope) if envelope.instance == sender => {
                self.step(cx, now, Input::Receive(envelope));
            }
            Message::FindLeader => self.send_leader_status(cx, now, sender),
            Message::LeaderStatus { is_leading: true, .. } => {
                for ready in self.proposals.on_leader_found(now, &sender) {
                    self.forward(cx, sender.clone(), ready);
                }
            }
            Message::LeaderStatus { leader: Some(leader), .. }
                if self.is_unconfigured_voter(&leader) =>
            {
                self.send(cx, leader, &Message::FindLeader);
            }
            Message::LeaderStatus { .. } => {
                let asked_count = self.search_targets().len();
                self.proposals.on_voter_not_leading(sender, asked_count);
            }
            Message::Forward { origin, bytes } if origin.instance == sender => {
                self.propose_forwarded(cx, now, origin, bytes);
            }
            Message::Outcome { sequence, proposed } => self.proposals.finish(sequence, proposed),
            Message::Core(_) | Message::Forward { .. } => {
                log::debug!(
                    "instance {sender} sent a message in the name of another instance; \
                     message dropped"
                );
            }
        }
    }

    /// Returns whether `leader` is a voter that the settings do not name, because it became a voter
    /// later.
    fn is_unconfigured_voter(&self, leader: &Instance) -> bool {
        *leader != self.settings.instance && !self.settings.voters.contains(leader)
    }

    fn send_leader_status(&mut self, cx: CX![], now: Instant, sender: Instance) {
        let core = self.node.as_ref().map(LogNode::core);
        let is_leading = core.is_some_and(|core| core.is_leading(now));
        let leader = core.and_then(|core| core.leader_instance(now)).cloned();
        self.send(cx, sender, &Message::LeaderStatus { is_leading, leader });
    }

    fn propose_forwarded(&mut self, cx: CX![], now: Instant, origin: ProposalId, bytes: Vec<u8>) {
        if self.node.is_none() {
            self.report_outcome(cx, &origin, ProposalOutcome::NotRun);
            return;
        }
        self.forwarded.retain(|forwarded| now < forwarded.until);
        self.forwarded.retain(|forwarded| forwarded.origin != origin);
        self.forwarded
            .push(ForwardedProposal { origin: origin.clone(), until: now + FORWARDED_RETENTION });
        self.step(cx, now, Input::Propose { origin, bytes: bytes.into() });
    }

    /// Reports the outcome of a proposal to the proposer.
    fn report_outcome(&mut self, cx: CX![], origin: &ProposalId, proposed: ProposalOutcome) {
        let sequence = origin.sequence;
        if origin.instance == self.settings.instance {
            if origin.incarnation == self.incarnation {
                self.proposals.finish(sequence, proposed);
            }
            return;
        }
        let is_same_proposal = |forwarded: &mut ForwardedProposal| forwarded.origin == *origin;
        let was_forwarded = self.forwarded.extract_if(.., is_same_proposal).count() > 0;
        if was_forwarded || proposed == ProposalOutcome::NotRun {
            self.send(cx, origin.instance.clone(), &Message::Outcome { sequence, proposed });
        }
    }

    /// Feeds an input to the core and performs the resulting effects.
    fn step(&mut self, cx: CX![], now: Instant, input: Input) {
        let Some(node) = &mut self.node else {
            return;
        };
        for effect in node.step(now, input, &mut self.machines) {
            self.perform(cx, effect);
        }
    }

    fn perform(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send(addressee, envelope) => {
                self.send(cx, addressee, &Message::Core(envelope));
            }
            Effect::ReportOutcome(origin, proposed) => self.report_outcome(cx, &origin, proposed),
            Effect::Fail(error) => fail!(cx, error),
        }
    }

    /// Handles a report from the storage thread.
    fn on_storage_report(&mut self, cx: CX![], report: StorageEvent) {
        let now = Instant::now();
        match report {
            StorageEvent::Opened { voter, recovered } => {
                self.start_node(cx, now, voter, *recovered)
            }
            StorageEvent::Synced { write_number } => {
                self.step(cx, now, Input::Synced { write_number });
            }
            StorageEvent::Failed(error) if self.settings.is_seeded() => self.close_log(cx, &error),
            StorageEvent::Failed(error) => fail!(cx, Error::from(error)),
        }
        self.schedule_tick(cx);
    }

    fn start_node(&mut self, cx: CX![], now: Instant, me: VoterId, mut recovered: Recovered) {
        let Some(storage) = self.storage.take() else {
            return;
        };
        if let Some(effect) = log_node::restore(&recovered.snapshot, &mut self.machines) {
            self.perform(cx, effect);
            return;
        }
        if !recovered.snapshot.data.is_empty() {
            // The snapshot holds the same state, in chunks that are shared with the state machines.
            recovered.snapshot.data = self.machines.snapshot();
        }
        let core_config = CoreConfig {
            me,
            instance: self.settings.instance.clone(),
            initial_voters: self.settings.voters.clone(),
            may_bootstrap: !self.settings.is_seeded() || self.settings.first_start,
            timing: Timing::default(),
            flow: FlowLimits::default(),
            seed: rand::rng().random(),
        };
        log::info!(
            "voter {me} recovered {} log entries after entry {}",
            recovered.entries.len(),
            recovered.snapshot.position.index
        );
        let core = Core::new(now, core_config, recovered);
        let log_limit = self.settings.limits.log.as_bytes();
        self.node = Some(LogNode::new(core, storage, self.metrics.clone(), log_limit));
        self.step(cx, now, Input::Tick);
    }

    /// Closes the log after a disk failure, and reopens it after a delay.
    ///
    /// All acknowledged entries are stored at a quorum. This instance does not vote until the log
    /// is open again.
    fn close_log(&mut self, cx: CX![], error: &state::Error) {
        log::error!(
            "the storage of the replicated log failed: {error}; reopening the log in {} ms",
            REOPEN_DELAY.as_millis()
        );
        self.metrics.replica.is_voting.set(0);
        self.metrics.replica.is_leader.set(0);
        self.node = None;
        self.storage = None;
        after!(REOPEN_DELAY, [cx], reopen());
    }

    fn reopen(&mut self, cx: CX![]) {
        match Self::open_storage(cx, &self.settings) {
            Ok(storage) => self.storage = storage,
            Err(error) => {
                log::warn!("cannot reopen the replicated log: {error}; retrying");
                after!(REOPEN_DELAY, [cx], reopen());
            }
        }
    }

    /// Updates the live instances with the control role, and connects to them in advance if this
    /// instance votes. Votes must not wait for a connection while many others dial the same
    /// instances.
    pub fn set_view(&mut self, cx: CX![], view: View) {
        let is_control = |member: &&membership::Member| member.is_control;
        let members = view.members.iter().filter(is_control);
        self.live_controls = members.map(|member| member.instance.clone()).collect();
        if self.may_receive_log() {
            for control in self.live_controls.clone() {
                call!([self.hub], connect(control));
            }
        }
        self.step(cx, Instant::now(), Input::Contacts(self.live_controls.clone()));
        self.schedule_tick(cx);
    }

    /// Returns whether this instance is a member of the log, as a voter or as a learner that has
    /// applied entries.
    pub fn is_log_member(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.core().is_member())
    }

    /// Returns the instances that may know the leader.
    fn search_targets(&self) -> Vec<Instance> {
        let mut targets = self.settings.voters.clone();
        targets.extend(self.live_controls.iter().cloned());
        targets.sort();
        targets.dedup();
        targets.retain(|instance| *instance != self.settings.instance);
        targets
    }

    /// Counts completed proposals and sets the timer for the next due action.
    fn schedule_tick(&mut self, cx: CX![]) {
        for outcome in self.proposals.take_ended() {
            self.metrics.replica.count_proposal(outcome);
        }
        let core = self.node.as_ref().map(|node| node.core().next_tick());
        let due = core.into_iter().chain(self.proposals.next_deadline()).min();
        cx.timer_del(self.timer);
        if let Some(due) = due {
            self.timer = at!(due, [cx], tick());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = Instant::now();
        self.proposals.expire(now);
        self.step(cx, now, Input::Tick);
        self.resend(cx, now);
        self.finish_change(cx, now);
        self.replace_voters(cx, now);
        self.schedule_tick(cx);
    }

    /// Hands over leadership, if this instance is the leader, before the process stops.
    pub fn retire(&mut self, cx: CX![]) {
        self.step(cx, Instant::now(), Input::Retire);
        self.schedule_tick(cx);
    }
}
