//! Simulation of control instances whose messages, documents and responses to operators share slow
//! links.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod operator;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use catalogue::{Command, Giving, Lane, Newest, Number, Outcome, Outflow};
use names::{Incarnation, Instance};
use operator::Operator;
use state::{
    Action, Core, CoreConfig, Envelope, FlowLimits, Index, Input, Machine, Message as CoreMessage,
    Payload, ProposalId, Recovered, Role, Term, Timing, VoterId,
};

pub const STEP: Duration = Duration::from_millis(1);
pub const NODES: usize = 5;

/// Link bandwidth of each instance, in Mbit/s.
const LINK_MEGABITS: f64 = 3.0;

/// Link bandwidth of each instance, in bytes per second.
const LINK_BYTES_PER_SECOND: usize = 375_000;

/// Number of bytes that are sent to one peer before the next peer is served.
const PACKET_BYTES: usize = 1_500;

/// One-way latency between two instances.
const LATENCY: Duration = Duration::from_millis(1);

/// Time until a proposal without an outcome is sent again, as in `instance::replica`.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time until a proposal without an outcome is dropped, as in `instance::replica`.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// A receiver of data on the link of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Receiver {
    /// Another control instance.
    Peer(usize),
    /// An operator that reads the document.
    Operator,
    /// An entry instance.
    Entry,
}

#[derive(Debug, Clone)]
enum Message {
    Core(Envelope),
    /// Forwards the command of a proposal to the leader.
    Forward(ProposalId, Vec<u8>),
    /// Returns the outcome of the proposal with the given sequence number.
    Applied(u64, Vec<u8>),
    /// Data for a receiver that is not simulated.
    Bulk,
}

struct QueuedMessage {
    message: Message,
    remaining_bytes: usize,
}

struct Proposal {
    sequence: u64,
    bytes: Vec<u8>,
    retry_at: Instant,
    deadline: Instant,
}

pub struct Node {
    pub core: Core,
    pub newest: Newest,
    /// Queued messages of each receiver. The link serves the receivers by round robin.
    queues: BTreeMap<Receiver, VecDeque<QueuedMessage>>,
    last_served: Option<Receiver>,
    /// Number of bytes that the link may transmit in this step.
    credit_bytes: usize,
    pub sent_bytes: usize,
    /// Proposals that were applied. A retried proposal is applied only once.
    applied: Vec<ProposalId>,
    proposals: Vec<Proposal>,
    lane: Lane,
    send_queue: Outflow,
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// Messages in transit: arrival time, sender, receiver and message.
    in_transit: VecDeque<(Instant, usize, usize, Message)>,
    /// Instances that are partitioned from all others.
    pub partitioned: Vec<usize>,
    operator: Operator,
    sequence: u64,
    /// Instances whose change had another base than the newest document, with the number of the
    /// newest document.
    mismatched: Vec<(usize, Number)>,
    /// Time of the next read by an operator; `None` before the reads are started.
    next_read: Option<Instant>,
    pub seed: u64,
}

pub fn instance(index: usize) -> Instance {
    format!("instance-{index}").parse().unwrap()
}

fn create_core(now: Instant, index: usize, seed: u64) -> Core {
    let config = CoreConfig {
        me: VoterId(index as u64 + 1),
        instance: instance(index),
        initial_voters: (0..NODES).map(instance).collect(),
        may_bootstrap: true,
        timing: Timing::default(),
        flow: FlowLimits::default(),
        seed: seed * 100 + index as u64,
    };
    Core::new(now, config, Recovered::default())
}

fn message_bytes(message: &Message) -> usize {
    let payload_bytes = match message {
        Message::Core(envelope) => match &envelope.message {
            CoreMessage::Append { entries, .. } => entries.iter().map(state::Entry::size).sum(),
            CoreMessage::Install { bytes, .. } => bytes.len(),
            _ => 0,
        },
        Message::Forward(_, bytes) | Message::Applied(_, bytes) => bytes.len(),
        Message::Bulk => 0,
    };
    payload_bytes + 150
}

impl Simulation {
    /// Starts the control instances and waits until they have a leader and a large document.
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let create_node = |index: usize| Node {
            core: create_core(now, index, seed),
            newest: Newest::default(),
            queues: BTreeMap::new(),
            last_served: None,
            credit_bytes: 0,
            sent_bytes: 0,
            applied: Vec::new(),
            proposals: Vec::new(),
            lane: Lane::new(LINK_MEGABITS),
            send_queue: Outflow::new(LINK_MEGABITS),
        };
        let operator = Operator::new(now);
        let nodes = (0..NODES).map(create_node).collect();
        let in_transit = VecDeque::new();
        let partitioned = Vec::new();
        let mut simulation = Self {
            now,
            nodes,
            in_transit,
            partitioned,
            operator,
            sequence: 0,
            mismatched: Vec::new(),
            next_read: None,
            seed,
        };
        let has_leader = simulation
            .run_until(Duration::from_secs(10), |simulation| simulation.leader().is_some());
        assert!(has_leader, "seed {seed}: no leader was elected");
        simulation.run(Duration::from_secs(1));
        simulation.change();
        simulation.run(Duration::from_secs(1));
        simulation
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.core.is_leading(self.now))
    }

    /// Returns the highest term of all instances.
    pub fn highest_term(&self) -> Term {
        self.nodes.iter().map(|node| node.core.term()).max().unwrap()
    }

    /// Returns the number of instances that act as leader.
    pub fn leader_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.core.role() == Role::Leader).count()
    }

    /// Returns the number of the newest document.
    pub fn document_number(&self) -> u64 {
        self.operator.number
    }

    /// Returns the longest time until a change was acknowledged.
    pub fn longest_change(&self) -> Duration {
        self.operator.longest_change
    }

    /// Whether every instance has the newest document.
    pub fn has_converged(&self) -> bool {
        let number = Number(self.operator.number);
        self.nodes.iter().all(|node| node.newest.document().number == number)
    }

    fn propose(&mut self, index: usize, command: &Command) {
        self.sequence += 1;
        let bytes = postcard::to_allocvec(command).unwrap();
        let (sequence, now) = (self.sequence, self.now);
        let deadline = now + OUTCOME_TIMEOUT;
        let proposal = Proposal { sequence, bytes, retry_at: now, deadline };
        self.nodes[index].proposals.push(proposal);
    }

    /// Sends proposals to the leader and retries proposals without an outcome.
    fn forward_proposals(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.proposals.retain(|proposal| now < proposal.deadline);
        let Some(leader) = node.core.leader_instance(now).cloned() else {
            return;
        };
        let leader = (0..NODES).find(|index| instance(*index) == leader).unwrap();
        let due = node.proposals.iter_mut().filter(|proposal| proposal.retry_at <= now);
        let due: Vec<(u64, Vec<u8>)> = due
            .map(|proposal| {
                proposal.retry_at = now + RETRY_INTERVAL;
                (proposal.sequence, proposal.bytes.clone())
            })
            .collect();
        for (sequence, bytes) in due {
            let origin =
                ProposalId { instance: instance(index), incarnation: Incarnation(1), sequence };
            match leader == index {
                true => self.input(index, Input::Propose { origin, bytes: bytes.into() }),
                false => self.send(index, Receiver::Peer(leader), Message::Forward(origin, bytes)),
            }
        }
    }

    fn send(&mut self, index: usize, receiver: Receiver, message: Message) {
        let bytes = message_bytes(&message);
        self.send_bytes(index, receiver, message, bytes);
    }

    fn send_bytes(&mut self, index: usize, receiver: Receiver, message: Message, bytes: usize) {
        let queue = self.nodes[index].queues.entry(receiver).or_default();
        queue.push_back(QueuedMessage { message, remaining_bytes: bytes });
    }

    fn input(&mut self, index: usize, input: Input) {
        let actions = self.nodes[index].core.step(self.now, input);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { addressee, envelope } => {
                let peer = (0..NODES).find(|index| instance(*index) == addressee).unwrap();
                self.send(index, Receiver::Peer(peer), Message::Core(envelope));
            }
            Action::Persist(write) => {
                self.input(index, Input::Synced { write_number: write.write_number });
            }
            Action::Apply { index: log_index, entry } => {
                if let Payload::Command { origin, bytes } = entry.payload {
                    self.apply(index, log_index, origin, &bytes);
                }
            }
            Action::Restore(snapshot) => {
                assert!(self.nodes[index].newest.restore(&snapshot.data.joined()));
            }
            Action::Refuse { .. } => {}
            Action::Halt { index } => panic!("seed {}: entry {index} conflicts", self.seed),
        }
    }

    fn apply(&mut self, index: usize, log_index: Index, origin: ProposalId, bytes: &[u8]) {
        let node = &mut self.nodes[index];
        if node.applied.contains(&origin) {
            return;
        }
        node.applied.push(origin.clone());
        let previous_number = node.newest.document().number;
        let outcome = node.newest.apply(log_index, bytes);
        if node.newest.document().number > previous_number {
            node.send_queue.ask(format!("entry-{index}").parse().unwrap(), false);
        }
        let proposer = (0..NODES).find(|index| instance(*index) == origin.instance).unwrap();
        if proposer == index {
            self.finish_proposal(index, origin.sequence, &outcome);
        } else if self.leader() == Some(index) {
            let message = Message::Applied(origin.sequence, outcome);
            self.send(index, Receiver::Peer(proposer), message);
        }
    }

    fn finish_proposal(&mut self, index: usize, sequence: u64, outcome: &[u8]) {
        let is_finished = |proposal: &mut Proposal| proposal.sequence == sequence;
        if self.nodes[index].proposals.extract_if(.., is_finished).count() == 0 {
            return;
        }
        match postcard::from_bytes(outcome).unwrap() {
            Outcome::Held(number) => self.end_change(number),
            Outcome::Missed(newest) => self.mismatched.push((index, newest)),
            Outcome::Malformed => panic!("seed {}: a malformed command", self.seed),
        }
    }

    fn send_documents(&mut self, index: usize) {
        let now = self.now;
        while let Some(slice) = self.nodes[index].lane.next(now) {
            self.send_bytes(index, Receiver::Operator, Message::Bulk, slice.bytes);
        }
        let bytes = self.nodes[index].newest.document().size();
        while let Giving::Send(_) = self.nodes[index].send_queue.next(now, bytes) {
            self.send_bytes(index, Receiver::Entry, Message::Bulk, bytes);
        }
    }

    fn is_partitioned(&self, left: usize, right: usize) -> bool {
        self.partitioned.contains(&left) != self.partitioned.contains(&right)
    }

    /// Transmits the data that fits on the link of an instance in one step. Drops the data for
    /// peers that are partitioned from the instance.
    fn transmit(&mut self, index: usize) {
        let (now, partitioned) = (self.now, self.partitioned.clone());
        let node = &mut self.nodes[index];
        let is_partitioned = |receiver: &Receiver| match receiver {
            Receiver::Peer(peer) => partitioned.contains(peer) != partitioned.contains(&index),
            Receiver::Operator | Receiver::Entry => false,
        };
        node.queues.retain(|receiver, queue| !queue.is_empty() && !is_partitioned(receiver));
        node.credit_bytes += LINK_BYTES_PER_SECOND / 1000;
        while node.credit_bytes > 0 && !node.queues.is_empty() {
            let last_served = node.last_served.as_ref();
            let next =
                node.queues.keys().find(|receiver| last_served.is_none_or(|last| *receiver > last));
            let receiver = next.or_else(|| node.queues.keys().next()).unwrap().clone();
            let queue = node.queues.get_mut(&receiver).unwrap();
            let queued = queue.front_mut().unwrap();
            let bytes = queued.remaining_bytes.min(PACKET_BYTES).min(node.credit_bytes);
            queued.remaining_bytes -= bytes;
            node.credit_bytes -= bytes;
            node.sent_bytes += bytes;
            if queued.remaining_bytes == 0 {
                let QueuedMessage { message, .. } = queue.pop_front().unwrap();
                if let Receiver::Peer(peer) = receiver {
                    self.in_transit.push_back((now + LATENCY, index, peer, message));
                }
            }
            node.queues.retain(|_, queue| !queue.is_empty());
            node.last_served = Some(receiver);
        }
        if node.queues.is_empty() {
            node.credit_bytes = 0;
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        match message {
            Message::Core(envelope) => self.input(index, Input::Receive(envelope)),
            Message::Forward(origin, bytes) => {
                self.input(index, Input::Propose { origin, bytes: bytes.into() });
            }
            Message::Applied(sequence, outcome) => self.finish_proposal(index, sequence, &outcome),
            Message::Bulk => {}
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.retry_change();
        self.retry_mismatched();
        self.read_document();
        for index in 0..NODES {
            self.send_documents(index);
            self.transmit(index);
        }
        while let Some((arrives_at, ..)) = self.in_transit.front()
            && *arrives_at <= self.now
        {
            let (_, from, to, message) = self.in_transit.pop_front().unwrap();
            if !self.is_partitioned(from, to) {
                self.receive(to, message);
            }
        }
        for index in 0..NODES {
            if self.nodes[index].core.next_tick() <= self.now {
                self.input(index, Input::Tick);
            }
            self.forward_proposals(index);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until `condition` holds, for at most `duration`. Returns whether `condition` holds.
    pub fn run_until<C>(&mut self, duration: Duration, condition: C) -> bool
    where
        C: Fn(&Self) -> bool,
    {
        let end = self.now + duration;
        while self.now < end {
            self.step();
            if condition(self) {
                return true;
            }
        }
        false
    }

    /// Returns the first `count` followers.
    pub fn followers(&self, count: usize) -> Vec<usize> {
        let leader = self.leader().unwrap();
        (0..NODES).filter(|index| *index != leader).take(count).collect()
    }
}
