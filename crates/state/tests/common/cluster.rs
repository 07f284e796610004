//! A simulated group of cores on a seeded network. Consensus invariants are checked at every step.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use state::{
    Action, Core, CoreConfig, Entry, Envelope, FlowLimits, Index, Input, Journal, Payload,
    ProposalId, Role, Term, Timing, VoterId, Write,
};

use super::MemoryFolder;

const STEP: Duration = Duration::from_millis(10);

/// Faults of a simulation. `loss` and `duplicates` are percentages of the messages.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss: u32,
    pub duplicates: u32,
    pub max_delay: Duration,
    /// Whether nodes crash, pause, retire or are partitioned, and disks fail or sync slowly.
    pub has_outages: bool,
    pub has_lost_folders: bool,
    /// Whether operators change the target voters.
    pub has_voter_changes: bool,
}

/// A simulated instance.
pub struct Node {
    pub instance: Instance,
    pub core: Option<Core>,
    pub folder: MemoryFolder,
    /// Identifier of the data folder; `None` after the folder was lost.
    pub voter: Option<VoterId>,
    /// Whether the folder has held a log since it was created.
    pub has_log: bool,
    pub has_lost_folder: bool,
    journal: Option<Journal<MemoryFolder>>,
    writes: Vec<Write>,
    /// Time until which the disk is busy.
    sync_at: Instant,
    /// Time that each sync takes; a random time below 40 ms if `None`.
    sync_time: Option<Duration>,
    /// Writes that are being synced with `sync_time`.
    syncing: Vec<Write>,
    pub is_paused: bool,
    pub is_partitioned: bool,
    /// Whether incoming messages are lost while outgoing ones are delivered.
    pub drops_incoming: bool,
    pub is_retired: bool,
    /// The state machine: the numbers of all applied commands, in order.
    pub machine: Vec<u64>,
}

/// A message on the simulated network.
struct InFlight {
    due: Instant,
    from: Instance,
    to: Instance,
    envelope: Envelope,
}

/// A simulated group and its network.
pub struct Cluster {
    pub seed: u64,
    pub now: Instant,
    pub random: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    in_flight: Vec<InFlight>,
    /// All entries that were applied at any node.
    pub applied: BTreeMap<Index, Entry>,
    /// Leader of each term.
    pub leaders: BTreeMap<Term, VoterId>,
    next_command: u64,
    /// Numbers of the refused commands.
    pub refused: Vec<u64>,
}

impl Cluster {
    pub fn new(seed: u64, size: usize, faults: Faults) -> Self {
        let now = Instant::now();
        let instances: Vec<Instance> =
            (0..size).map(|number| format!("instance-{number}").parse().unwrap()).collect();
        let node = |instance: &Instance| Node {
            instance: instance.clone(),
            core: None,
            folder: MemoryFolder::default(),
            voter: None,
            has_log: false,
            has_lost_folder: false,
            journal: None,
            writes: Vec::new(),
            sync_at: now,
            sync_time: None,
            syncing: Vec::new(),
            is_paused: false,
            is_partitioned: false,
            drops_incoming: false,
            is_retired: false,
            machine: Vec::new(),
        };
        let mut cluster = Self {
            seed,
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
            nodes: instances.iter().map(node).collect(),
            faults,
            in_flight: Vec::new(),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_command: 0,
            refused: Vec::new(),
        };
        (0..size).for_each(|index| cluster.start(index));
        cluster
    }

    fn is_chosen(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Starts the process of a node on its data folder.
    pub fn start(&mut self, index: usize) {
        let new_voter = VoterId(self.random.random());
        let initial_voters = self.nodes.iter().map(|node| node.instance.clone()).collect();
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        let (journal, me, recovered) = Journal::open(node.folder.clone(), new_voter)
            .unwrap_or_else(|error| panic!("seed {}: {error}", self.seed));
        node.machine = decode(&recovered.snapshot.data.joined());
        node.journal = Some(journal);
        node.voter = Some(me);
        node.is_paused = false;
        node.is_retired = false;
        node.writes.clear();
        node.syncing.clear();
        let instance = node.instance.clone();
        // Low limits, so that every exchange takes several messages.
        let flow =
            FlowLimits { append_bytes: 400, in_flight: 3, part_bytes: 100, trailing_entries: 8 };
        let start = CoreConfig {
            me,
            instance,
            initial_voters,
            may_bootstrap: true,
            timing: Timing::default(),
            flow,
            seed,
        };
        node.core = Some(Core::new(self.now, start, recovered));
        self.input(index, Input::Tick);
    }

    /// Crashes the process of a node, which loses a part of the unsynced data.
    pub fn crash(&mut self, index: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        node.core = None;
        node.journal = None;
        node.writes.clear();
        node.syncing.clear();
        node.folder.crash(seed);
    }

    /// Crashes the process of a node and empties its data folder.
    pub fn lose_folder(&mut self, index: usize) {
        self.crash(index);
        self.nodes[index].folder = MemoryFolder::default();
        self.nodes[index].voter = None;
        self.nodes[index].has_log = false;
        self.nodes[index].has_lost_folder = true;
    }

    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(core) = node.core.as_mut().filter(|_| !node.is_paused) else {
            return;
        };
        let actions = core.step(now, input);
        for action in actions {
            self.perform(index, action);
        }
        self.check_leader(index);
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { addressee, envelope } => self.send(index, addressee, envelope),
            Action::Apply { index: at, entry } => self.apply(index, at, entry),
            Action::Persist(write) => self.nodes[index].writes.push(write),
            Action::Restore(snapshot) => {
                let machine = decode(&snapshot.data.joined());
                assert_eq!(machine, self.expected(snapshot.position.index), "seed {}", self.seed);
                self.nodes[index].machine = machine;
            }
            Action::Refuse { origin } => self.refused.push(origin.sequence),
            Action::Halt { index } => {
                panic!("seed {}: entry {index} contradicts a committed one", self.seed)
            }
        }
    }

    fn send(&mut self, index: usize, to: Instance, envelope: Envelope) {
        let copies = if self.is_chosen(self.faults.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_chosen(self.faults.loss) {
                continue;
            }
            let limit = self.faults.max_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.random.random_range(0..=limit));
            let from = self.nodes[index].instance.clone();
            let (to, envelope) = (to.clone(), envelope.clone());
            self.in_flight.push(InFlight { due: self.now + delay, from, to, envelope });
        }
    }

    /// Returns the expected state machine after all entries up to `index`.
    pub fn expected(&self, index: Index) -> Vec<u64> {
        self.applied.range(..=index).filter_map(|(_, entry)| command(entry)).collect()
    }

    fn apply(&mut self, node: usize, index: Index, entry: Entry) {
        let known = self.applied.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "seed {}: entry {index} differs at node {node}", self.seed);
        let node = &mut self.nodes[node];
        if let Some(number) = command(&entry) {
            node.machine.push(number);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let is_leading = |core: &Core| core.is_leading(self.now);
            !node.is_paused && node.core.as_ref().is_some_and(is_leading)
        })
    }

    /// Sets the time that each sync of a node takes, or ends this fault. A sync in progress ends no
    /// earlier for it.
    pub fn set_sync_time(&mut self, index: usize, sync_time: Option<Duration>) {
        self.nodes[index].sync_time = sync_time;
    }

    /// Makes the disk of a node complete no sync until `end`.
    pub fn stall_disk(&mut self, index: usize, end: Instant) {
        self.nodes[index].sync_at = end;
    }

    /// Proposes a command to every node that considers itself the leader.
    pub fn propose(&mut self) {
        let leaders: Vec<usize> = (0..self.nodes.len())
            .filter(|index| {
                let core = self.nodes[*index].core.as_ref();
                core.is_some_and(|core| core.role() == Role::Leader)
            })
            .collect();
        for index in leaders {
            self.next_command += 1;
            let origin = ProposalId {
                instance: self.nodes[index].instance.clone(),
                incarnation: Incarnation(1),
                sequence: self.next_command,
            };
            let bytes = self.next_command.to_le_bytes().to_vec().into();
            self.input(index, Input::Propose { origin, bytes });
        }
    }

    /// Returns the number of commands that were applied at any node.
    pub fn commands(&self) -> usize {
        self.applied.values().filter_map(command).count()
    }

    /// Announces the planned stop of a node.
    pub fn retire(&mut self, index: usize) {
        self.nodes[index].is_retired = true;
        self.input(index, Input::Retire);
    }

    /// Sets the target voters of one node to three nodes or to all nodes. The targets of the nodes
    /// may differ.
    pub fn change_target_voters(&mut self) {
        let first = self.random.random_range(0..self.nodes.len());
        let is_all = self.random.random_range(0..4) == 0;
        let count = if is_all { self.nodes.len() } else { 3 };
        let index = self.random.random_range(0..self.nodes.len());
        self.set_target_voters(index, first, count);
    }

    /// Sets the target voters of a node to `count` nodes starting at `first`.
    pub fn set_target_voters(&mut self, index: usize, first: usize, count: usize) {
        let chosen = self.nodes.iter().cycle().skip(first).take(count);
        let mut target: Vec<Instance> = chosen.map(|node| node.instance.clone()).collect();
        target.sort();
        if self.nodes[index].core.is_some() && !self.nodes[index].is_paused {
            self.input(index, Input::Target(target));
        }
    }

    pub fn compact(&mut self, index: usize) {
        let node = &self.nodes[index];
        if let Some(core) = &node.core {
            let data = encode(&node.machine).into();
            self.input(index, Input::Compact { index: core.commit(), data });
        }
    }

    /// Advances the simulated time by one step.
    pub fn advance(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            self.sync(index);
            let core = self.nodes[index].core.as_ref();
            let has_log = core.is_some_and(|core| core.durable() > Index::default());
            self.nodes[index].has_log |= has_log;
            let tick = self.nodes[index].core.as_ref().map(Core::next_tick);
            if tick.is_some_and(|tick| tick <= self.now) {
                self.input(index, Input::Tick);
            }
        }
        self.check_leases();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<InFlight> =
            self.in_flight.extract_if(.., |message| message.due <= now).collect();
        due.sort_by_key(|in_flight| in_flight.due);
        for in_flight in due {
            let find = |name: &Instance| self.nodes.iter().position(|node| node.instance == *name);
            let (Some(from), Some(to)) = (find(&in_flight.from), find(&in_flight.to)) else {
                continue;
            };
            let is_partitioned = self.nodes[from].is_partitioned != self.nodes[to].is_partitioned;
            if is_partitioned || self.nodes[to].drops_incoming {
                continue;
            }
            if self.nodes[to].is_paused {
                // The message waits in the socket buffers of the paused process.
                self.in_flight.push(InFlight { due: now + STEP, ..in_flight });
                continue;
            }
            self.input(to, Input::Receive(in_flight.envelope));
        }
    }

    /// Syncs the writes of a node unless its disk is still busy.
    fn sync(&mut self, index: usize) {
        let now = self.now;
        let busy = Duration::from_millis(self.random.random_range(0..40));
        let node = &mut self.nodes[index];
        if node.is_paused || now < node.sync_at {
            return;
        }
        let mut writes = std::mem::take(&mut node.syncing);
        if writes.is_empty() && !node.writes.is_empty() {
            writes = std::mem::take(&mut node.writes);
            node.sync_at = now + node.sync_time.unwrap_or(busy);
            if node.sync_time.is_some() {
                node.syncing = writes;
                return;
            }
        }
        let Some(journal) = node.journal.as_mut().filter(|_| !writes.is_empty()) else {
            return;
        };
        match journal.write(&writes) {
            Ok(Some(write_number)) => self.input(index, Input::Synced { write_number }),
            Ok(None) => {}
            Err(_) => self.crash(index),
        }
    }

    /// Ends all faults and waits until every node has applied a new command.
    pub fn heal(&mut self) {
        // Retiring processes eventually stop.
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_retired {
                self.crash(index);
            }
        }
        self.faults.loss = 0;
        self.faults.duplicates = 0;
        for index in 0..self.nodes.len() {
            self.nodes[index].is_partitioned = false;
            self.nodes[index].drops_incoming = false;
            self.nodes[index].is_paused = false;
            self.nodes[index].sync_time = None;
        }
        let deadline = self.now + Duration::from_secs(120);
        let mut last = 0;
        while !(last > 0 && self.nodes.iter().all(|node| node.machine.contains(&last))) {
            assert!(
                self.now < deadline,
                "seed {} does not recover:\n{}",
                self.seed,
                self.describe()
            );
            // A disk failure scheduled earlier may stop a node only now.
            let stopped = self.nodes.iter().position(|node| node.core.is_none());
            if let Some(index) = stopped {
                self.start(index);
            }
            if self.faults.has_voter_changes {
                let all = self.nodes.len();
                (0..all).for_each(|index| self.set_target_voters(index, 0, all));
            }
            if self.leader().is_some() && self.is_repaired() && last == 0 {
                self.propose();
                last = self.next_command;
            }
            if self.next_command > last || self.refused.contains(&last) {
                last = 0;
            }
            self.advance();
            if last > 0 && self.leader().is_none() {
                last = 0;
            }
        }
        self.check_end();
    }
}

fn command(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command { bytes, .. } => Some(u64::from_le_bytes(bytes[..8].try_into().unwrap())),
        _ => None,
    }
}

fn encode(machine: &[u64]) -> Vec<u8> {
    machine.iter().flat_map(|number| number.to_le_bytes()).collect()
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    bytes.chunks(8).map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap())).collect()
}
