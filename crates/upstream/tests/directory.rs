//! Directories of a data centre on a simulated network that loses and delays messages.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::{Incarnation, Instance, Upstream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use upstream::{Action, Announcement, Change, Directory, Message, Protocol};

const TICK: Duration = Duration::from_millis(50);

fn instance(index: usize) -> Instance {
    format!("instance-{index:02}").parse().unwrap()
}

fn announcement(index: usize, incarnation: u64, is_leaving: bool) -> Announcement {
    Announcement {
        upstream: format!("engine-{index:03}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        data_centre: "giza".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        protocol: Protocol::ChatCompletions,
        models: vec!["caption-small".parse().unwrap()],
        slots: 8,
        labels: declare::Labels::default(),
        expires_in: units::Span::from_seconds(3),
        is_leaving,
        checks_fencing: false,
        moves_context: false,
    }
}

struct InFlight {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

struct Network {
    nodes: Vec<Directory>,
    in_flight: Vec<InFlight>,
    loss_percent: u32,
    /// Extra delay of messages to one node.
    slow: Option<(usize, Duration)>,
    now: Instant,
    random: Pcg64Mcg,
    bytes: usize,
    /// Nodes that reported an upstream as gone.
    gone: Vec<(usize, Upstream)>,
}

impl Network {
    fn new(size: usize, loss_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let mut nodes: Vec<_> = (0..size)
            .map(|index| Directory::new(now, instance(index), seed * 100 + index as u64))
            .collect();
        for (index, node) in nodes.iter_mut().enumerate() {
            let others = (0..size).filter(|other| *other != index).map(instance);
            node.set_members(now, others.collect());
        }
        Self {
            nodes,
            in_flight: Vec::new(),
            loss_percent,
            slow: None,
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
            bytes: 0,
            gone: Vec::new(),
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let (to, message) = match action {
                Action::Send(to, message) | Action::SendQuickly(to, message) => (to, message),
                Action::Changed(upstream, Change::Gone) => {
                    self.gone.push((from, upstream));
                    continue;
                }
                Action::Changed(..) => continue,
            };
            self.bytes += postcard::to_allocvec(&message).unwrap().len();
            let to = (0..self.nodes.len()).find(|index| instance(*index) == to).unwrap();
            if self.random.random_range(0..100) < self.loss_percent {
                continue;
            }
            let mut due = self.now + Duration::from_millis(self.random.random_range(0..20));
            if let Some((_, delay)) = self.slow.filter(|(node, _)| *node == to) {
                due += delay;
            }
            self.in_flight.push(InFlight { due, from, to, message });
        }
    }

    fn announce(&mut self, node: usize, announcement: Announcement) {
        let (_, actions) = self.nodes[node].announce(self.now, announcement);
        self.perform(node, actions);
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |sent| sent.due <= now).collect();
        for InFlight { from, to, message, .. } in due {
            let actions = self.nodes[to].receive(now, &instance(from), message);
            self.perform(to, actions);
        }
        for index in 0..self.nodes.len() {
            let actions = self.nodes[index].tick(now);
            self.perform(index, actions);
        }
    }

    fn run(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / TICK.as_millis() {
            self.step();
        }
    }

    fn is_available(&self, node: usize, upstream: usize) -> bool {
        let entry = self.nodes[node].registry().get(&announcement(upstream, 1, false).upstream);
        entry.is_some_and(|entry| entry.is_available())
    }
}

#[test]
fn a_leave_is_known_everywhere_within_two_seconds_despite_loss_and_a_slow_link() {
    let mut worst = Duration::ZERO;
    for seed in 0..200 {
        let size = 2 + (seed as usize % 7);
        let mut network = Network::new(size, 20, seed);
        network.announce(0, announcement(0, 1, false));
        network.run(Duration::from_secs(2));
        assert!((0..size).all(|node| network.is_available(node, 0)), "seed {seed}");
        network.slow = Some((seed as usize % size, Duration::from_millis(300)));
        network.announce(size - 1, announcement(0, 1, true));
        let start = network.now;
        while (0..size).any(|node| network.is_available(node, 0)) {
            network.step();
        }
        worst = worst.max(network.now - start);
    }
    println!("200 seeds at 20% loss: a leave is known everywhere after at most {worst:?}");
    assert!(worst <= Duration::from_secs(2));
}

#[test]
fn a_lost_or_late_renewal_does_not_expire_an_upstream_before_its_deadline() {
    for seed in 0..200 {
        let mut network = Network::new(5, 20, seed);
        network.announce(0, announcement(0, 1, false));
        network.run(Duration::from_secs(2));
        for round in 0..10 {
            let is_lost = round % 2 == 1;
            if !is_lost {
                let node = network.random.random_range(0..5);
                network.announce(node, announcement(0, 1, false));
            }
            network.run(Duration::from_millis(1200));
            assert!(network.gone.is_empty(), "seed {seed}: {:?}", network.gone);
        }
        network.run(Duration::from_secs(6));
        let left: Vec<_> = (0..5).filter(|node| network.is_available(*node, 0)).collect();
        assert!(left.is_empty(), "seed {seed}: {left:?} still list it after it expired");
    }
}

#[test]
fn a_new_instance_receives_the_complete_set_immediately() {
    let mut network = Network::new(4, 0, 1);
    for index in 0..230 {
        network.announce(index % 3, announcement(index, 1, false));
    }
    network.run(Duration::from_secs(1));
    network.nodes[3] = Directory::new(network.now, instance(3), 9);
    let others = (0..3).map(instance).collect();
    network.nodes[3].set_members(network.now, others);
    assert!(!network.nodes[3].has_learned());
    network.run(Duration::from_millis(200));
    assert!(network.nodes[3].has_learned());
    assert_eq!(network.nodes[3].registry().iter().count(), 230);
}

#[test]
fn a_leave_is_final_for_its_incarnation_and_a_new_incarnation_joins() {
    let mut network = Network::new(3, 0, 1);
    network.announce(0, announcement(0, 1, false));
    network.run(Duration::from_secs(1));
    network.announce(1, announcement(0, 1, true));
    network.announce(2, announcement(0, 1, false));
    network.run(Duration::from_secs(1));
    assert!((0..3).all(|node| !network.is_available(node, 0)));
    network.announce(2, announcement(0, 2, false));
    network.run(Duration::from_secs(1));
    assert!((0..3).all(|node| network.is_available(node, 0)));
}

#[test]
fn a_flapping_upstream_is_set_aside_until_it_is_stable_again() {
    let mut network = Network::new(3, 0, 1);
    for incarnation in 1..7 {
        network.announce(0, announcement(0, incarnation, false));
        network.announce(0, announcement(1, 1, false));
        network.run(Duration::from_secs(1));
    }
    assert!((0..3).all(|node| !network.is_available(node, 0)));
    for _ in 0..100 {
        network.announce(0, announcement(0, 6, false));
        network.announce(0, announcement(1, 1, false));
        network.run(Duration::from_secs(1));
    }
    assert!((0..3).all(|node| network.is_available(node, 0)));
}

#[test]
fn flapping_upstreams_stay_in_use_while_no_stable_upstream_can_replace_them() {
    let mut network = Network::new(3, 0, 1);
    for incarnation in 1..7 {
        network.announce(0, announcement(0, incarnation, false));
        network.announce(0, announcement(1, incarnation, false));
        network.run(Duration::from_secs(1));
    }
    assert!((0..3).all(|node| network.is_available(node, 0) && network.is_available(node, 1)));
    network.announce(0, announcement(2, 1, false));
    network.run(Duration::from_secs(1));
    assert!((0..3).all(|node| !network.is_available(node, 0) && network.is_available(node, 2)));
}

#[test]
fn renewal_traffic_per_node_does_not_grow_with_the_data_centre() {
    let cost = |size: usize, upstreams: usize| {
        let mut network = Network::new(size, 0, 5);
        for index in 0..upstreams {
            network.announce(index % size, announcement(index, 1, false));
        }
        network.run(Duration::from_secs(1));
        network.bytes = 0;
        for _ in 0..5 {
            for index in 0..upstreams {
                network.announce((index + 1) % size, announcement(index, 1, false));
            }
            network.run(Duration::from_secs(1));
        }
        network.bytes / size / 5
    };
    let (small, large) = (cost(8, 21), cost(88, 230));
    println!(
        "payload bytes per second and node: {small} with 8 nodes and 21 upstreams, \
         {large} with 88 nodes and 230 upstreams"
    );
    assert!(large < 2 * small);
}
