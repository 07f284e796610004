//! Tests of detectors on a simulated network that loses and delays messages.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use membership::{Action, Detector, Member, Message, Status};
use names::{Incarnation, Instance};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(50);

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        instance: format!("instance-{index:03}").parse().unwrap(),
        data_centre: "giza".parse().unwrap(),
        address: format!("10.0.0.1:{}", 1000 + index).parse().unwrap(),
        is_control: false,
        incarnation: Incarnation(incarnation),
        is_draining: false,
    }
}

fn index_of(instance: &Instance) -> usize {
    instance.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

struct InFlightMessage {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

struct Network {
    nodes: Vec<Option<Detector>>,
    in_flight: Vec<InFlightMessage>,
    frozen: Vec<usize>,
    blocked_links: Vec<(usize, usize)>,
    loss_percent: u32,
    now: Instant,
    random: Pcg64Mcg,
    events: Vec<(usize, Action)>,
    bytes: usize,
}

impl Network {
    fn new(size: usize, loss_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let nodes = (0..size).map(|index| Some(Self::node(index, 1, size, now, seed))).collect();
        Self {
            nodes,
            in_flight: Vec::new(),
            frozen: Vec::new(),
            blocked_links: Vec::new(),
            loss_percent,
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: Vec::new(),
            bytes: 0,
        }
    }

    /// Creates a node that has the first six nodes, except itself, as configured peers.
    fn node(index: usize, run: u64, size: usize, now: Instant, seed: u64) -> Detector {
        let configured =
            (0..size.min(6)).filter(|other| *other != index).map(|other| member(other, 0));
        Detector::new(now, member(index, run), configured.collect(), seed ^ index as u64)
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let (to, message, is_reliable) = match action {
                Action::Send(to, message) => (to, message, false),
                Action::SendReliably(to, message) => (to, message, true),
                event => {
                    self.events.push((from, event));
                    continue;
                }
            };
            self.bytes += postcard::to_allocvec(&message).unwrap().len();
            let to = index_of(&to);
            let is_lost = !is_reliable && self.random.random_range(0..100) < self.loss_percent;
            if !is_lost && !self.blocked_links.contains(&(from, to)) {
                let due = self.now + Duration::from_millis(self.random.random_range(0..20));
                self.in_flight.push(InFlightMessage { due, from, to, message });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen = self.frozen.clone();
        let is_due =
            |message: &mut InFlightMessage| message.due <= now && !frozen.contains(&message.to);
        let due: Vec<_> = self.in_flight.extract_if(.., is_due).collect();
        for InFlightMessage { from, to, message, .. } in due {
            if let Some(node) = &mut self.nodes[to] {
                let actions = node.receive(now, &member(from, 0).instance, message);
                self.perform(to, actions);
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.frozen.contains(&index) {
                continue;
            }
            if let Some(node) = &mut self.nodes[index] {
                let actions = node.tick(self.now);
                self.perform(index, actions);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / TICK.as_millis() {
            self.step();
        }
    }

    fn known_members(&self, node: usize) -> Vec<usize> {
        let members = self.nodes[node].iter().flat_map(Detector::members);
        members.map(|member| index_of(&member.instance)).collect()
    }

    fn has_converged(&self) -> bool {
        let running: Vec<_> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()).collect();
        running.iter().all(|node| {
            let others: Vec<_> = running.iter().copied().filter(|other| other != node).collect();
            self.known_members(*node) == others
        })
    }

    fn down_count(&self) -> usize {
        self.events.iter().filter(|(_, event)| matches!(event, Action::Down(..))).count()
    }

    fn run_until_converged(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while !self.has_converged() {
            assert!(self.now - start < limit, "views did not converge within {limit:?}");
            self.step();
        }
        self.now - start
    }
}

#[test]
fn five_percent_loss_causes_no_false_deaths() {
    let (mut deaths, mut suspicions, mut seconds) = (0, 0, 0);
    for seed in 0..200 {
        let size = 2 + (seed as usize % 7);
        let mut network = Network::new(size, 5, seed);
        network.run_until_converged(Duration::from_secs(10));
        network.run(Duration::from_secs(30));
        let suspected = |(_, event): &&(usize, Action)| matches!(event, Action::Suspected(_));
        suspicions += network.events.iter().filter(suspected).count();
        deaths += network.down_count();
        seconds += size * 30;
        assert!(network.has_converged(), "seed {seed}: views differ");
    }
    println!("200 seeds, {seconds} node-seconds: {suspicions} suspicions, {deaths} false deaths");
    assert_eq!(deaths, 0);
}

#[test]
fn a_killed_instance_is_down_everywhere_and_its_replacement_is_a_new_member() {
    for seed in 0..200 {
        let mut network = Network::new(6, 5, seed);
        network.run_until_converged(Duration::from_secs(10));
        network.nodes[3] = None;
        network.run_until_converged(Duration::from_secs(10));
        network.events.clear();
        network.nodes[3] = Some(Network::node(3, 2, 6, network.now, seed));
        network.run_until_converged(Duration::from_secs(10));
        let is_new = |(_, event): &(usize, Action)| matches!(event, Action::Up(up) if up.incarnation == Incarnation(2));
        assert!(network.events.iter().any(is_new), "seed {seed}");
    }
}

#[test]
fn a_fast_restart_reports_the_former_incarnation_as_down_first() {
    let mut network = Network::new(4, 0, 1);
    network.run_until_converged(Duration::from_secs(10));
    network.events.clear();
    network.nodes[2] = Some(Network::node(2, 2, 4, network.now, 1));
    network.run(Duration::from_secs(5));
    let events_of_first: Vec<_> =
        network.events.iter().filter(|(node, _)| *node == 0).map(|(_, event)| event).collect();
    assert!(
        matches!(events_of_first[0], Action::Down(down, _) if down.incarnation == Incarnation(1))
    );
    assert!(matches!(events_of_first[1], Action::Up(up) if up.incarnation == Incarnation(2)));
}

#[test]
fn a_frozen_instance_rejoins_in_the_same_incarnation_and_reports_no_other_as_down() {
    for seed in 0..50 {
        let mut network = Network::new(6, 5, seed);
        network.run_until_converged(Duration::from_secs(10));
        network.frozen = vec![1];
        network.run(Duration::from_secs(12));
        assert!(!network.known_members(0).contains(&1), "seed {seed}: not seen as down");
        network.frozen.clear();
        network.events.clear();
        network.run_until_converged(Duration::from_secs(10));
        assert_eq!(network.down_count(), 0, "seed {seed}: {:?}", network.events);
        let stalled = |(node, event): &(usize, Action)| {
            *node == 1 && matches!(event, Action::Stalled(gap) if *gap > Duration::from_secs(11))
        };
        assert!(network.events.iter().any(stalled), "seed {seed}");
    }
}

#[test]
fn indirect_probes_prevent_false_deaths_on_a_link_blocked_in_one_direction() {
    for seed in 0..50 {
        let mut network = Network::new(6, 0, seed);
        network.run_until_converged(Duration::from_secs(10));
        network.events.clear();
        network.blocked_links = vec![(0, 1)];
        network.run(Duration::from_secs(30));
        assert_eq!(network.down_count(), 0, "seed {seed}: {:?}", network.events);
    }
}

#[test]
fn network_partitions_merge_after_the_links_recover() {
    for seed in 0..50 {
        let mut network = Network::new(6, 5, seed);
        network.run_until_converged(Duration::from_secs(10));
        let is_across = |one: usize, other: usize| (one < 3) != (other < 3);
        let pairs = (0..6).flat_map(|one| (0..6).map(move |other| (one, other)));
        network.blocked_links = pairs.filter(|(one, other)| is_across(*one, *other)).collect();
        network.run(Duration::from_secs(20));
        assert_eq!(network.known_members(0), vec![1, 2], "seed {seed}");
        network.blocked_links.clear();
        network.run_until_converged(Duration::from_secs(20));
    }
}

#[test]
fn a_planned_leave_is_known_within_100_ms_and_is_final_for_the_incarnation() {
    let mut network = Network::new(6, 5, 7);
    network.run_until_converged(Duration::from_secs(10));
    let actions = network.nodes[4].as_mut().unwrap().leave();
    network.perform(4, actions);
    network.nodes[4] = None;
    assert!(network.run_until_converged(Duration::from_secs(2)) <= Duration::from_millis(100));
    let left = |(_, event): &(usize, Action)| matches!(event, Action::Down(_, Status::Left));
    assert!(network.events.iter().any(left));
}

#[test]
fn at_most_seven_flapping_instances_are_set_aside() {
    let mut network = Network::new(12, 0, 3);
    network.run_until_converged(Duration::from_secs(10));
    for run in 2..7 {
        for index in 1..12 {
            network.nodes[index] = Some(Network::node(index, run, 12, network.now, run));
        }
        network.run(Duration::from_secs(3));
    }
    let node = network.nodes[0].as_ref().unwrap();
    let set_aside = node.peer_states().filter(|(_, is_set_aside)| *is_set_aside).count();
    assert_eq!(set_aside, 7);
    network.run(Duration::from_secs(120));
    assert_eq!(network.known_members(0).len(), 11);
}

/// Returns the nodes that take duties according to the view of the node `index`.
fn nodes_with_duties(network: &Network, index: usize) -> Vec<usize> {
    let node = network.nodes[index].as_ref().unwrap();
    let others = node.members().filter(|member| !member.is_draining);
    let mut all: Vec<usize> = others.map(|member| index_of(&member.instance)).collect();
    all.extend((!node.local_state().is_draining).then_some(index));
    all.sort_unstable();
    all
}

#[test]
fn all_members_agree_that_a_flapping_instance_takes_no_duties_for_a_while() {
    for seed in 0..20 {
        let mut network = Network::new(6, 5, seed);
        network.run_until_converged(Duration::from_secs(10));
        for run in 2..7 {
            network.nodes[5] = Some(Network::node(5, run, 6, network.now, run));
            network.run(Duration::from_secs(2));
        }
        network.run(Duration::from_secs(3));
        for index in 0..6 {
            assert_eq!(nodes_with_duties(&network, index), [0, 1, 2, 3, 4], "seed {seed}, {index}");
        }
        assert_eq!(
            network.known_members(0),
            [1, 2, 3, 4, 5],
            "seed {seed}: node 5 must stay a member"
        );
        network.run(Duration::from_secs(150));
        for index in 0..6 {
            assert_eq!(
                nodes_with_duties(&network, index),
                [0, 1, 2, 3, 4, 5],
                "seed {seed}, {index}"
            );
        }
    }
}

#[test]
fn the_cost_of_a_node_does_not_grow_with_the_fleet() {
    let cost = |size| {
        let mut network = Network::new(size, 0, 11);
        network.run_until_converged(Duration::from_secs(60));
        network.run(Duration::from_secs(60));
        network.bytes = 0;
        network.run(Duration::from_secs(10));
        network.bytes / size / 10
    };
    let (small, large) = (cost(6), cost(350));
    println!("payload bytes per second and node: {small} at 6, {large} at 350");
    assert!(large < 300, "{large}");
}
