//! The actor through which all slices propose commands to the replicated log.

mod keeper;
mod leases;
mod machines;
mod message;
mod operators;
mod proposals;
mod proposing;
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
    Core, DataFolder, Flow, Index, Input, Leases, Machine, Origin, Proposed, Recovered, Report,
    Start, Storage, Timing, Voter, Voters,
};
use telemetry::Metrics;
use wire::{Delivery, Hub, Outgoing, Slice, Transport};

use crate::Error;
use crate::members::View;
use keeper::{Effect, Keeper};
use machines::Machines;
use message::Message;
use proposals::Proposals;

/// Folder of the log within the data folder.
const LOG_FOLDER: &str = "log";

/// Pause before a log whose disk failed is opened again. A full disk stays full for seconds.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// For how long a proposal of another instance is remembered.
const FORWARDED_SPAN: Duration = Duration::from_secs(10);

/// The machine that a command is for.
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
    /// Claims and results of non-idempotent requests.
    Ledger,
    /// Leases and fencing numbers.
    Lease,
    /// Which instances shall vote.
    Voters,
    /// Routes, services and client accounts, by number.
    Catalogue,
}

/// A machine that its slice reads while the log writes it.
pub type SharedMachine = Rc<RefCell<dyn Machine>>;

/// A proposal of another instance that this voter has appended.
struct Forwarded {
    origin: Origin,
    until: Instant,
}

/// Replicates commands: votes where the settings say so, and forwards proposals to the leader.
pub struct Replica {
    settings: Rc<Settings>,
    incarnation: Incarnation,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    leases: Rc<RefCell<Leases>>,
    voters: Rc<RefCell<Voters>>,
    /// Until when the end of a change of the voters is not proposed again.
    finish_again_at: Option<Instant>,
    /// Until when no other replacement of voters is proposed.
    replace_again_at: Option<Instant>,
    /// Live instances with the control role.
    contacts: Vec<Instance>,
    machines: Machines,
    storage: Option<Storage>,
    keeper: Option<Keeper>,
    proposals: Proposals,
    forwarded: Vec<Forwarded>,
    timer: FixedTimerKey,
}

impl Replica {
    /// Opens the log where this instance votes. The actor fails when the data folder cannot be
    /// used.
    pub fn init(
        cx: CX![],
        settings: Rc<Settings>,
        incarnation: Incarnation,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let storage = match Self::open(cx, &settings) {
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
        let retarget = fwd_to!([cx], retarget() as (Index));
        machines.attach(Part::Voters, voters.clone(), retarget);
        Some(Self {
            settings,
            incarnation,
            hub,
            metrics,
            leases,
            voters,
            finish_again_at: None,
            replace_again_at: None,
            contacts: Vec::new(),
            machines,
            storage,
            keeper: None,
            proposals: Proposals::default(),
            forwarded: Vec::new(),
            timer: FixedTimerKey::default(),
        })
    }

    fn open(cx: CX![], settings: &Settings) -> Result<Option<Storage>, Error> {
        let may_vote = settings.may_vote();
        let Some(folder) = settings.data_folder.as_ref().filter(|_| may_vote) else {
            return Ok(None);
        };
        let report = fwd_to!([cx], report() as (Report));
        let reports = mailbox(cx, report);
        let path = folder.join(LOG_FOLDER);
        let fresh = Voter(rand::rng().random());
        let storage =
            Storage::start(move || DataFolder::open(&path), fresh, move |one| reports.send(one))?;
        Ok(Some(storage))
    }

    /// Attaches the machine of `part`; `applied` is told after each change of it.
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
            Err(error) => log::error!("replicated log: {error}"),
        }
    }

    /// Takes a message of a peer.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let now = Instant::now();
        match wire::decode("message of the replicated log", &delivery.payload) {
            Ok(message) => self.receive(cx, now, delivery.sender, message),
            Err(error) => log::debug!("instance {}: {error}", delivery.sender),
        }
        self.update(cx);
    }

    fn receive(&mut self, cx: CX![], now: Instant, sender: Instance, message: Message) {
        match message {
            Message::Core(envelope) if envelope.instance == sender => {
                self.step(cx, now, Input::Receive(envelope));
            }
            Message::Seek => self.answer_seek(cx, now, sender),
            Message::Found { is_leading: true, .. } => {
                for ready in self.proposals.learn_leader(now, &sender) {
                    self.forward(cx, sender.clone(), ready);
                }
            }
            Message::Found { leader: Some(leader), .. } if self.is_newcomer(&leader) => {
                self.send(cx, leader, &Message::Seek);
            }
            Message::Found { .. } => {
                let asked = self.asked_voters().len();
                self.proposals.learn_other(sender, asked);
            }
            Message::Forward { origin, bytes } if origin.instance == sender => {
                self.take_forwarded(cx, now, origin, bytes);
            }
            Message::Outcome { sequence, proposed } => self.proposals.finish(sequence, proposed),
            Message::Core(_) | Message::Forward { .. } => {
                log::debug!("instance {sender} sent a message in another's name");
            }
        }
    }

    /// Whether `leader` became a voter after the settings were written.
    fn is_newcomer(&self, leader: &Instance) -> bool {
        *leader != self.settings.instance && !self.settings.voters.contains(leader)
    }

    fn answer_seek(&mut self, cx: CX![], now: Instant, sender: Instance) {
        let core = self.keeper.as_ref().map(Keeper::core);
        let is_leading = core.is_some_and(|core| core.is_leading(now));
        let leader = core.and_then(|core| core.leader_instance(now)).cloned();
        self.send(cx, sender, &Message::Found { is_leading, leader });
    }

    fn take_forwarded(&mut self, cx: CX![], now: Instant, origin: Origin, bytes: Vec<u8>) {
        if self.keeper.is_none() {
            self.finish(cx, &origin, Proposed::NotRun);
            return;
        }
        self.forwarded.retain(|forwarded| now < forwarded.until);
        self.forwarded.retain(|forwarded| forwarded.origin != origin);
        self.forwarded.push(Forwarded { origin: origin.clone(), until: now + FORWARDED_SPAN });
        self.step(cx, now, Input::Propose { origin, bytes: bytes.into() });
    }

    /// Tells whoever proposed what became of it.
    fn finish(&mut self, cx: CX![], origin: &Origin, proposed: Proposed) {
        let sequence = origin.sequence;
        if origin.instance == self.settings.instance {
            if origin.incarnation == self.incarnation {
                self.proposals.finish(sequence, proposed);
            }
            return;
        }
        let waits = |forwarded: &mut Forwarded| forwarded.origin == *origin;
        let was_forwarded = self.forwarded.extract_if(.., waits).count() > 0;
        if was_forwarded || proposed == Proposed::NotRun {
            self.send(cx, origin.instance.clone(), &Message::Outcome { sequence, proposed });
        }
    }

    /// Gives the core an input and does what it asks for.
    fn step(&mut self, cx: CX![], now: Instant, input: Input) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        for effect in keeper.step(now, input, &mut self.machines) {
            self.perform(cx, effect);
        }
    }

    fn perform(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send(addressee, envelope) => {
                self.send(cx, addressee, &Message::Core(envelope));
            }
            Effect::Finish(origin, proposed) => self.finish(cx, &origin, proposed),
            Effect::Fail(error) => fail!(cx, error),
        }
    }

    /// Takes a report of the storage thread.
    fn report(&mut self, cx: CX![], report: Report) {
        let now = Instant::now();
        match report {
            Report::Opened { voter, recovered } => self.start(cx, now, voter, *recovered),
            Report::Synced { ticket } => self.step(cx, now, Input::Synced { ticket }),
            Report::Failed(error) if self.settings.is_seeded() => self.lose_disk(cx, &error),
            Report::Failed(error) => fail!(cx, Error::from(error)),
        }
        self.update(cx);
    }

    fn start(&mut self, cx: CX![], now: Instant, me: Voter, mut recovered: Recovered) {
        let Some(storage) = self.storage.take() else {
            return;
        };
        if let Some(effect) = keeper::restore(&recovered.snapshot, &mut self.machines) {
            self.perform(cx, effect);
            return;
        }
        if !recovered.snapshot.data.is_empty() {
            // The same state, in pieces that the machines share.
            recovered.snapshot.data = self.machines.snapshot();
        }
        let start = Start {
            me,
            instance: self.settings.instance.clone(),
            founders: self.settings.voters.clone(),
            may_found: !self.settings.is_seeded() || self.settings.first_start,
            timing: Timing::default(),
            flow: Flow::default(),
            seed: rand::rng().random(),
        };
        log::info!(
            "voter {me} has {} entries after entry {}",
            recovered.entries.len(),
            recovered.snapshot.position.index
        );
        let core = Core::new(now, start, recovered);
        let log_limit = self.settings.limits.log.as_bytes();
        self.keeper = Some(Keeper::new(core, storage, self.metrics.clone(), log_limit));
        self.step(cx, now, Input::Tick);
    }

    /// Goes on without the log after its disk failed, and tries to open it again after a pause.
    /// What was acknowledged is at a quorum; this instance votes no more until then.
    fn lose_disk(&mut self, cx: CX![], error: &state::Error) {
        log::error!("the replicated log is closed for {} ms: {error}", REOPEN_PAUSE.as_millis());
        self.metrics.replica.is_voting.set(0);
        self.metrics.replica.is_leader.set(0);
        self.keeper = None;
        self.storage = None;
        after!(REOPEN_PAUSE, [cx], reopen());
    }

    fn reopen(&mut self, cx: CX![]) {
        match Self::open(cx, &self.settings) {
            Ok(storage) => self.storage = storage,
            Err(error) => {
                log::warn!("the replicated log cannot be opened yet: {error}");
                after!(REOPEN_PAUSE, [cx], reopen());
            }
        }
    }

    /// Learns which instances with the control role live, and connects to them, since votes must
    /// not wait for a connection while many others dial the same instances.
    pub fn set_view(&mut self, cx: CX![], view: View) {
        let is_control = |member: &&membership::Member| member.is_control;
        let members = view.members.iter().filter(is_control);
        self.contacts = members.map(|member| member.instance.clone()).collect();
        if self.is_voter() {
            for contact in self.contacts.clone() {
                call!([self.hub], connect(contact));
            }
        }
        self.step(cx, Instant::now(), Input::Contacts(self.contacts.clone()));
        self.update(cx);
    }

    /// Whether this instance votes, or receives the log and has applied something of it.
    pub fn is_keeping(&self) -> bool {
        self.keeper.as_ref().is_some_and(|keeper| keeper.core().is_member())
    }

    /// The instances that may know who leads.
    fn asked_voters(&self) -> Vec<Instance> {
        let mut asked = self.settings.voters.clone();
        asked.extend(self.contacts.iter().cloned());
        asked.sort();
        asked.dedup();
        asked.retain(|instance| *instance != self.settings.instance);
        asked
    }

    /// Sets the timer for whatever is due next.
    fn update(&mut self, cx: CX![]) {
        for outcome in self.proposals.take_ended() {
            self.metrics.replica.count_proposal(outcome);
        }
        let core = self.keeper.as_ref().map(|keeper| keeper.core().next_tick());
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
        self.update(cx);
    }

    /// Hands over the lead, if this instance has it, before the process stops.
    pub fn retire(&mut self, cx: CX![]) {
        self.step(cx, Instant::now(), Input::Retire);
        self.update(cx);
    }
}
