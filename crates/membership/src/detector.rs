//! The failure detector.

mod aside;
mod probing;
mod samples;
mod views;

pub use samples::seniority;

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::probing::{Probe, Relayed};
use crate::record::Record;
use crate::rumours::Rumours;
use crate::{Member, Message, Rumour, Status};

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(500);

/// How long a suspected instance may take to refute, per tenfold of the fleet's size.
const SUSPICION: Duration = Duration::from_secs(3);

/// How long an instance that is down is remembered.
const MEMORY: Duration = Duration::from_secs(600);

/// Least time between two exchanges of whole views that this instance begins.
const VIEW_PAUSE: Duration = Duration::from_secs(5);

/// Differing digests in a row that begin an exchange of whole views.
const DIFFERENCES: u32 = 6;

/// The same two for an entry instance in its first rounds, in which others start too.
const YOUNG_VIEW_PAUSE: Duration = Duration::from_millis(1500);
const YOUNG_DIFFERENCES: u32 = 2;

/// Rounds for which an instance counts as young: some ten seconds.
const YOUNG_ROUNDS: u64 = 20;

/// Most instances that are set aside at once.
const MAX_ASIDE: usize = 7;

/// What the owner of a detector has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send(Instance, Message),
    /// Send a message on a reliable transport.
    SendReliably(Instance, Message),
    /// An instance, or a new run of it, is a member now.
    Up(Member),
    /// That run of an instance is no member any more.
    Down(Member, Status),
    /// An instance was suspected; it still is a member.
    Suspected(Instance),
    /// This instance did not run for a while; what it believed may have changed.
    Stalled(Duration),
    /// Others know a later run of this instance, since its clock was set back: its run has this
    /// number from now on.
    Renumbered(Incarnation),
}

/// Knows which instances live.
#[derive(Debug)]
pub struct Detector {
    me: Rumour,
    records: Vec<Record>,
    order: Vec<Instance>,
    rumours: Rumours,
    probes: Vec<Probe>,
    relayed: Vec<Relayed>,
    sequence: u64,
    round: u64,
    next_round: Instant,
    last_tick: Instant,
    next_view: Instant,
    differences: u32,
    is_stopping: bool,
    /// Until when this instance takes no duties, since others set it aside.
    aside_until: Option<Instant>,
    random: Pcg64Mcg,
    actions: Vec<Action>,
    /// Grows with every change of what is believed.
    changes: u64,
    /// Whole views given to others in this round.
    views_given: usize,
}

impl Detector {
    /// A detector of the instance `me`, which knows `configured` peers by name. Their addresses
    /// win over those that are spread.
    pub fn new(now: Instant, me: Member, configured: Vec<Member>, seed: u64) -> Self {
        let mut records: Vec<_> =
            configured.into_iter().map(|peer| Record::unheard(peer, now)).collect();
        records.sort_by(|one, other| one.belief.instance.cmp(&other.belief.instance));
        let me = Rumour {
            instance: me.instance,
            data_centre: me.data_centre,
            address: me.address,
            is_control: me.is_control,
            incarnation: me.incarnation,
            refutations: 0,
            status: Status::Alive,
            is_draining: false,
        };
        let mut rumours = Rumours::default();
        rumours.add(me.clone());
        Self {
            me,
            records,
            order: Vec::new(),
            rumours,
            probes: Vec::new(),
            relayed: Vec::new(),
            sequence: 0,
            round: 0,
            next_round: now,
            last_tick: now,
            next_view: now,
            differences: 0,
            is_stopping: false,
            aside_until: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
            changes: 0,
            views_given: 0,
        }
    }

    /// Grows with every change of the members.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Learns peers from changed settings; those known already stay as they are.
    pub fn add_configured(&mut self, now: Instant, configured: Vec<Member>) {
        for peer in configured {
            if peer.instance == self.me.instance {
                continue;
            }
            match self.find(&peer.instance) {
                Ok(index) => self.records[index].is_configured = true,
                Err(index) => self.records.insert(index, Record::unheard(peer, now)),
            }
        }
    }

    /// The other members; those set aside take no duties.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.up().map(Record::member)
    }

    /// All beliefs about other instances that were heard of, and whether they are set aside.
    pub fn beliefs(&self) -> impl Iterator<Item = (&Rumour, bool)> {
        let heard = |record: &&Record| record.belief.incarnation > Incarnation(0);
        self.records.iter().filter(heard).map(|record| (&record.belief, record.damping.is_aside()))
    }

    /// What this instance says of itself.
    pub fn me(&self) -> &Rumour {
        &self.me
    }

    /// Does what is due; to be called at least every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.check_stall(now);
        self.check_probes(now);
        self.check_deadlines(now);
        self.update_damping(now);
        self.check_aside(now);
        if now >= self.next_round {
            self.next_round = now + PERIOD;
            self.begin_round(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes a message of the peer `sender`.
    pub fn receive(&mut self, now: Instant, sender: &Instance, message: Message) -> Vec<Action> {
        match message {
            Message::Ping { sequence, digest, rumours } => {
                self.learn_all(now, rumours);
                self.compare(now, sender, digest);
                let rumours = self.news_for(sender);
                let digest = self.digest();
                self.send(sender, Message::Ack { sequence, digest, rumours });
            }
            Message::Ack { sequence, digest, rumours } => {
                self.learn_all(now, rumours);
                self.take_ack(now, sender, sequence, digest);
            }
            Message::Relay { sequence, target } => self.relay(sender, sequence, &target),
            Message::View { rumours, wants_answer } => {
                self.learn_view(now, sender, rumours);
                if wants_answer {
                    self.answer_view(sender);
                }
            }
            Message::Sample { rumours } => self.take_sample(now, sender, rumours),
            Message::SetAside { incarnation } => self.set_aside(now, incarnation),
        }
        std::mem::take(&mut self.actions)
    }

    /// Announces that this instance takes no new duties, before a planned leave.
    pub fn drain(&mut self) -> Vec<Action> {
        self.is_stopping = true;
        self.declare_draining(true);
        std::mem::take(&mut self.actions)
    }

    /// Announces the planned leave of this instance.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.status = Status::Left;
        self.announce();
        std::mem::take(&mut self.actions)
    }

    /// Tells all members what is true of this instance now.
    fn announce(&mut self) {
        self.rumours.add(self.me.clone());
        let up: Vec<_> = self.up().map(|record| record.belief.instance.clone()).collect();
        let news = Message::View { rumours: vec![self.me.clone()], wants_answer: false };
        for peer in up {
            self.actions.push(Action::SendReliably(peer, news.clone()));
        }
    }

    fn up(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| record.is_up())
    }

    fn find(&self, instance: &Instance) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.belief.instance.cmp(instance))
    }

    fn send(&mut self, to: &Instance, message: Message) {
        self.actions.push(Action::Send(to.clone(), message));
    }

    /// A sleeping process must not blame others for its own silence.
    fn check_stall(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < 2 * PERIOD {
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
        if self.records[index].belief.status != Status::Alive {
            return;
        }
        let members = self.up().count() + 1;
        let tenfolds = (members as f64).log10().max(1.0);
        let record = &mut self.records[index];
        record.belief.status = Status::Suspect;
        record.deadline = Some(now + SUSPICION.mul_f64(tenfolds));
        self.rumours.add(record.belief.clone());
        self.actions.push(Action::Suspected(target.clone()));
    }

    fn check_deadlines(&mut self, now: Instant) {
        for index in 0..self.records.len() {
            let record = &mut self.records[index];
            let is_due = record.deadline.is_some_and(|deadline| deadline <= now);
            if is_due && record.belief.status == Status::Suspect {
                record.belief.status = Status::Dead;
                record.deadline = Some(now + MEMORY);
                record.has_answered = false;
                self.changes += 1;
                self.rumours.add(record.belief.clone());
                self.actions.push(Action::Down(record.member(), Status::Dead));
            }
        }
        self.records.retain(|record| {
            let is_due = record.deadline.is_some_and(|deadline| deadline <= now);
            record.is_configured || !is_due || record.is_up()
        });
    }

    /// News for a message to `peer`: what is believed of it when that is not good, this instance
    /// itself when the peer may not know it, and what is being spread.
    fn news_for(&mut self, peer: &Instance) -> Vec<Rumour> {
        let members = self.up().count() + 1;
        let mut news = self.rumours.take(members);
        let Ok(index) = self.find(peer) else {
            return news;
        };
        let record = &self.records[index];
        let is_heard = record.belief.incarnation > Incarnation(0);
        if is_heard && record.belief.status != Status::Alive && !news.contains(&record.belief) {
            news.push(record.belief.clone());
        }
        if !record.has_answered && !news.contains(&self.me) {
            news.push(self.me.clone());
        }
        news
    }
}
