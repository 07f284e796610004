//! Failure detector: probing, suspicion, refutation, and exchange of views.

mod probing;
mod samples;
mod set_aside;
mod views;

pub use samples::rank;

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::probing::{Probe, RelayedProbe};
use crate::gossip::GossipQueue;
use crate::record::Record;
use crate::{Member, MemberState, Message, Status};

/// Time between two probe rounds.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a suspected instance has to refute the suspicion, per factor of ten in fleet size.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the record of an instance that is down is retained.
const DOWN_RETENTION: Duration = Duration::from_secs(600);

/// Minimum time between two exchanges of full views that the local instance starts.
const VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of consecutive digest mismatches that start an exchange of full views.
const MISMATCH_THRESHOLD: u32 = 6;

/// Same as [`VIEW_EXCHANGE_INTERVAL`], for an entry instance in its first [`STARTUP_ROUNDS`], when
/// other instances may be starting too.
const STARTUP_VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_millis(1500);

/// Same as [`MISMATCH_THRESHOLD`], for an entry instance in its first [`STARTUP_ROUNDS`].
const STARTUP_MISMATCH_THRESHOLD: u32 = 2;

/// Number of rounds for which an entry instance counts as starting, about ten seconds.
const STARTUP_ROUNDS: u64 = 20;

/// Maximum number of instances that are set aside at the same time.
const MAX_SET_ASIDE: usize = 7;

/// Action that the owner of a [`Detector`] must perform, or event that it must handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message on a transport that may lose it.
    Send(Instance, Message),
    /// Send a message on a reliable transport.
    SendReliably(Instance, Message),
    /// An instance, or a new incarnation of it, became a member.
    Up(Member),
    /// This incarnation of an instance is no longer a member.
    Down(Member, Status),
    /// An instance is suspected; it remains a member.
    Suspected(Instance),
    /// The local instance did not run for this time, so its view may be out of date.
    Stalled(Duration),
    /// The local instance uses this incarnation from now on, because other instances knew a later
    /// one than its own after its clock was set back.
    IncarnationRaised(Incarnation),
}

/// Failure detector of one instance, which tracks the status of all other instances.
#[derive(Debug)]
pub struct Detector {
    me: MemberState,
    records: Vec<Record>,
    probe_order: Vec<Instance>,
    gossip: GossipQueue,
    probes: Vec<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    sequence: u64,
    round: u64,
    next_round: Instant,
    last_tick: Instant,
    next_view_exchange: Instant,
    digest_mismatches: u32,
    is_stopping: bool,
    /// Time until which the local instance takes no duties, because other instances set it aside.
    set_aside_until: Option<Instant>,
    random: Pcg64Mcg,
    actions: Vec<Action>,
    /// Counter that grows with every change of the known states.
    changes: u64,
    /// Number of full views sent to other instances in this round.
    views_sent: usize,
}

impl Detector {
    /// Creates the detector of the instance `me`. The addresses of the `configured` peers take
    /// precedence over addresses learned by gossip. The random number generator is seeded with
    /// `seed`.
    pub fn new(now: Instant, me: Member, configured: Vec<Member>, seed: u64) -> Self {
        let mut records: Vec<_> =
            configured.into_iter().map(|peer| Record::configured(peer, now)).collect();
        records.sort_by(|one, other| one.state.instance.cmp(&other.state.instance));
        let me = MemberState {
            instance: me.instance,
            data_centre: me.data_centre,
            address: me.address,
            is_control: me.is_control,
            incarnation: me.incarnation,
            refutations: 0,
            status: Status::Alive,
            is_draining: false,
        };
        let mut gossip = GossipQueue::default();
        gossip.add(me.clone());
        Self {
            me,
            records,
            probe_order: Vec::new(),
            gossip,
            probes: Vec::new(),
            relayed_probes: Vec::new(),
            sequence: 0,
            round: 0,
            next_round: now,
            last_tick: now,
            next_view_exchange: now,
            digest_mismatches: 0,
            is_stopping: false,
            set_aside_until: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
            changes: 0,
            views_sent: 0,
        }
    }

    /// Returns a counter that grows with every change of the known states.
    pub fn version(&self) -> u64 {
        self.changes
    }

    /// Adds peers from changed settings. The state of a peer that is already known does not change.
    pub fn add_configured(&mut self, now: Instant, configured: Vec<Member>) {
        for peer in configured {
            if peer.instance == self.me.instance {
                continue;
            }
            match self.find(&peer.instance) {
                Ok(index) => self.records[index].is_configured = true,
                Err(index) => self.records.insert(index, Record::configured(peer, now)),
            }
        }
    }

    /// Returns the other members. Members that are set aside are marked as draining.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.up().map(Record::member)
    }

    /// Returns the known states of other instances, and whether each instance is set aside here.
    pub fn peer_states(&self) -> impl Iterator<Item = (&MemberState, bool)> {
        let is_known = |record: &&Record| record.state.incarnation > Incarnation(0);
        self.records
            .iter()
            .filter(is_known)
            .map(|record| (&record.state, record.damping.is_set_aside()))
    }

    /// Returns the state that the local instance announces.
    pub fn local_state(&self) -> &MemberState {
        &self.me
    }

    /// Runs all work that is due at `now`. Must be called at least every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.check_stall(now);
        self.check_probes(now);
        self.check_deadlines(now);
        self.update_damping(now);
        self.check_set_aside_expiry(now);
        if now >= self.next_round {
            self.next_round = now + PROBE_INTERVAL;
            self.begin_round(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles a message from the peer `sender`.
    pub fn receive(&mut self, now: Instant, sender: &Instance, message: Message) -> Vec<Action> {
        match message {
            Message::Ping { sequence, digest, updates } => {
                self.merge_all(now, updates);
                self.compare_digest(now, sender, digest);
                let updates = self.updates_for(sender);
                let digest = self.digest();
                self.send(sender, Message::Ack { sequence, digest, updates });
            }
            Message::Ack { sequence, digest, updates } => {
                self.merge_all(now, updates);
                self.handle_ack(now, sender, sequence, digest);
            }
            Message::PingRequest { sequence, target } => {
                self.relay_probe(sender, sequence, &target)
            }
            Message::View { updates, wants_reply } => {
                self.merge_view(now, sender, updates);
                if wants_reply {
                    self.reply_to_view(sender);
                }
            }
            Message::Sample { updates } => self.handle_sample(now, sender, updates),
            Message::SetAside { incarnation } => self.handle_set_aside(now, incarnation),
        }
        std::mem::take(&mut self.actions)
    }

    /// Announces that the local instance takes no new duties, before a planned leave.
    pub fn drain(&mut self) -> Vec<Action> {
        self.is_stopping = true;
        self.set_draining(true);
        std::mem::take(&mut self.actions)
    }

    /// Announces the planned leave of the local instance.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.status = Status::Left;
        self.announce();
        std::mem::take(&mut self.actions)
    }

    /// Sends the state of the local instance to all members.
    fn announce(&mut self) {
        self.gossip.add(self.me.clone());
        let up: Vec<_> = self.up().map(|record| record.state.instance.clone()).collect();
        let message = Message::View { updates: vec![self.me.clone()], wants_reply: false };
        for peer in up {
            self.actions.push(Action::SendReliably(peer, message.clone()));
        }
    }

    fn up(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| record.is_up())
    }

    fn find(&self, instance: &Instance) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.state.instance.cmp(instance))
    }

    fn send(&mut self, to: &Instance, message: Message) {
        self.actions.push(Action::Send(to.clone(), message));
    }

    /// Detects that the local process was suspended. In that case, pending probes are dropped and
    /// deadlines are extended, because the missing acks say nothing about the other instances.
    fn check_stall(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < 2 * PROBE_INTERVAL {
            return;
        }
        self.probes.clear();
        for record in &mut self.records {
            record.deadline = record.deadline.map(|deadline| deadline + gap);
        }
        self.actions.push(Action::Stalled(gap));
    }

    fn suspect(&mut self, now: Instant, target: &Instance) {
        let Ok(index) = self.find(target) else {
            return;
        };
        if self.records[index].state.status != Status::Alive {
            return;
        }
        let members = self.up().count() + 1;
        let size_factor = (members as f64).log10().max(1.0);
        let record = &mut self.records[index];
        record.state.status = Status::Suspect;
        record.deadline = Some(now + SUSPICION_TIMEOUT.mul_f64(size_factor));
        self.gossip.add(record.state.clone());
        self.actions.push(Action::Suspected(target.clone()));
    }

    fn check_deadlines(&mut self, now: Instant) {
        for index in 0..self.records.len() {
            let record = &mut self.records[index];
            let is_due = record.deadline.is_some_and(|deadline| deadline <= now);
            if is_due && record.state.status == Status::Suspect {
                record.state.status = Status::Dead;
                record.deadline = Some(now + DOWN_RETENTION);
                record.has_acked = false;
                self.changes += 1;
                self.gossip.add(record.state.clone());
                self.actions.push(Action::Down(record.member(), Status::Dead));
            }
        }
        self.records.retain(|record| {
            let is_due = record.deadline.is_some_and(|deadline| deadline <= now);
            record.is_configured || !is_due || record.is_up()
        });
    }

    /// Returns the updates for a message to `peer`: queued updates, the state of the peer if it is
    /// not alive so that the peer can refute it, and the state of the local instance if the peer
    /// may not know it.
    fn updates_for(&mut self, peer: &Instance) -> Vec<MemberState> {
        let members = self.up().count() + 1;
        let mut updates = self.gossip.next_updates(members);
        let Ok(index) = self.find(peer) else {
            return updates;
        };
        let record = &self.records[index];
        let is_known = record.state.incarnation > Incarnation(0);
        if is_known && record.state.status != Status::Alive && !updates.contains(&record.state) {
            updates.push(record.state.clone());
        }
        if !record.has_acked && !updates.contains(&self.me) {
            updates.push(self.me.clone());
        }
        updates
    }
}
