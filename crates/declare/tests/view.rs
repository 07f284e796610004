//! Gossip of revisions between instances: message loss, reordering, restarts and cost.

#![allow(clippy::unwrap_used, clippy::panic)]

use declare::{
    Apply, Command, Declarations, Document, Message, Moment, Origin, Reaction, Revision, Revisions,
    View,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 200;

/// Size of a datagram without its message, in bytes: names, numbers and authentication tag.
const OVERHEAD_BYTES: usize = 85;

fn document(accounts: usize, weight: u64) -> Document {
    let mut text = String::from("client_accounts:\n");
    for account in 0..accounts {
        let key = format!("{account:064x}");
        let weight = if account == 0 { weight } else { 1 };
        text += &format!("  - {{name: account-{account}, keys: [\"{key}\"], weight: {weight}}}\n");
    }
    (&Declarations::try_from(text).unwrap()).try_into().unwrap()
}

fn advance(machine: &mut Revisions, content: &Document) {
    let base = machine.revision();
    let origin = Origin {
        order: format!("order-{base}").parse().unwrap(),
        operator: "amal".parse().unwrap(),
        at: Moment(0),
    };
    let changes = Some(machine.document().changes_to(content));
    machine.execute(Command::Apply(Apply { origin, base, mark: content.mark(), changes }));
}

#[derive(Default)]
struct Fleet {
    views: Vec<View>,
    /// Messages in transit: sender, receiver and message.
    in_transit: Vec<(usize, usize, Message)>,
    sent_bytes: usize,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self { views: (0..size).map(|_| View::default()).collect(), ..Self::default() }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent_bytes += postcard::to_allocvec(&message).unwrap().len() + OVERHEAD_BYTES;
        self.in_transit.push((from, to, message));
    }

    fn send_digests(&mut self, from: usize, random: &mut Pcg64Mcg, peers: usize) {
        for _ in 0..peers {
            let to = random.random_range(0..self.views.len());
            if to != from {
                let digest = Message::Digest(self.views[from].digest());
                self.send(from, to, digest);
            }
        }
    }

    /// Delivers one message. Returns the receiver if it has a newer revision or was settled.
    fn deliver(&mut self, index: usize) -> Option<usize> {
        let (from, to, message) = self.in_transit.swap_remove(index);
        let before = self.views[to].revision();
        let mut advanced = None;
        for reaction in self.views[to].take(message) {
            match reaction {
                Reaction::Reply(message) => self.send(to, from, message),
                Reaction::Advanced => advanced = Some(to),
                Reaction::Diverged => panic!("diverged"),
            }
        }
        assert!(self.views[to].revision() >= before, "a view went back to an older revision");
        advanced
    }
}

/// Simulates gossip with lost and reordered messages, restarts, and new revisions on one voter.
fn run_gossip(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut machine = Revisions::default();
    let mut fleet = Fleet::new(6);
    let accounts = if seed.is_multiple_of(50) { 400 } else { 3 };
    for step in 0..400 {
        if step < 300 && random.random_range(0..4) == 0 {
            advance(&mut machine, &document(accounts, step + 2));
            fleet.views[0].follow(&machine);
        }
        let from = random.random_range(0..fleet.views.len());
        fleet.send_digests(from, &mut random, 2);
        if random.random_range(0..20) == 0 {
            let view = &mut fleet.views[from];
            *view = View::from_bytes(&view.to_bytes()).unwrap();
        }
        while !fleet.in_transit.is_empty() {
            let index = random.random_range(0..fleet.in_transit.len());
            if step < 300 && random.random_range(0..5) == 0 {
                fleet.in_transit.swap_remove(index);
            } else {
                fleet.deliver(index);
            }
        }
    }
    for view in &fleet.views {
        assert_eq!(view.revision(), machine.revision(), "seed {seed}");
        assert_eq!(view.document().as_ref(), machine.document(), "seed {seed}");
    }
}

#[test]
fn views_converge_and_never_go_back() {
    (0..SEEDS).for_each(run_gossip);
}

/// Runs gossip periods until all views have `revision`. Returns the number of periods.
fn periods_until_converged(fleet: &mut Fleet, revision: Revision, random: &mut Pcg64Mcg) -> u32 {
    for period in 0.. {
        let mut index = 0;
        while index < fleet.in_transit.len() {
            let advanced = fleet.deliver(index);
            if let Some(node) = advanced {
                fleet.send_digests(node, random, 4);
            }
            index = 0;
        }
        if fleet.views.iter().all(|view| view.revision() == revision) {
            return period;
        }
        for node in 0..fleet.views.len() {
            fleet.send_digests(node, random, 2);
        }
    }
    unreachable!()
}

#[test]
fn a_change_reaches_a_large_fleet_within_two_periods_at_constant_cost_per_instance() {
    for size in [6, 50, 350] {
        let (mut worst, mut bytes) = (0, 0);
        for seed in 0..20 {
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let mut machine = Revisions::default();
            let mut fleet = Fleet::new(size);
            advance(&mut machine, &document(20, seed + 2));
            fleet.views[0].follow(&machine);
            fleet.send_digests(0, &mut random, 4);
            worst = worst.max(periods_until_converged(&mut fleet, Revision(1), &mut random));
            bytes += fleet.sent_bytes / size;
        }
        println!("{size} instances: at most {worst} periods, {} bytes each", bytes / 20);
        assert!(worst <= 2, "{size} instances took {worst} periods");
        assert!(bytes / 20 < 16 << 10, "{size} instances sent {bytes} bytes each");
    }
}

#[test]
fn content_larger_than_a_message_arrives_in_parts_and_corruption_is_detected() {
    let mut machine = Revisions::default();
    advance(&mut machine, &document(3000, 1));
    let mut fleet = Fleet::new(2);
    fleet.views[0].follow(&machine);
    let digest = Message::Digest(fleet.views[0].digest());
    fleet.send(0, 1, digest);
    while !fleet.in_transit.is_empty() {
        fleet.deliver(0);
    }
    assert_eq!(fleet.views[1].document().as_ref(), machine.document());
    let mut bytes = fleet.views[1].to_bytes();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    assert!(View::from_bytes(&bytes).is_err());
    assert!(View::from_bytes(&bytes[..middle]).is_err());
}
