//! Instances that each keep to the allowance of a cold engine send it too many requests together.
//!
//! A cold engine crashes above a rate of requests that all instances together have to keep, in every
//! second and counted where the requests arrive. Requests come at many times that rate. Sends arrive
//! up to 300 ms after they were sent, messages take some milliseconds and some are lost. Meanwhile
//! instances crash, freeze, restart one by one and all at once.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use forward::{ColdLimits, PromptLength, RateLimits};
use names::Instance;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const UPSTREAM: u32 = 77;
const BORN: u64 = 1;

const PER_SECOND: f64 = 7.9;
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Requests per second that the instances would send to the engine together.
const OFFERED: f64 = 400.0;

const SIMULATED_DURATION: Duration = Duration::from_secs(16);
const TRACKER_TIMEOUT: Duration = Duration::from_millis(30);
const FAULT_AT: Duration = Duration::from_secs(7);
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// Time in which all instances know each other.
const CALM: std::ops::Range<Duration> = Duration::from_secs(3)..FAULT_AT;

/// Longest time after which an instance knows that another one has crashed or has come back.
const DETECTION: Duration = Duration::from_millis(1200);

/// Number of plays of each case.
const SEEDS: u64 = 2;

/// Interval of the reports of limits.
const TURN: Duration = Duration::from_millis(100);

const LOSS_RATE: f64 = 0.01;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// A sixth of the instances crashes and starts again.
    Restart,
    /// All instances start again at the same moment.
    RestartOfAll,
    /// A sixth of the instances stands still for a while.
    Frozen,
    /// A third of the instances reaches none of the others.
    Partition,
}

enum Event {
    Arrive {
        node: usize,
    },
    Ask {
        from: usize,
        to: usize,
        request: u64,
    },
    Answer {
        to: usize,
        request: u64,
        is_granted: bool,
    },
    Stop {
        node: usize,
    },
    Start {
        node: usize,
    },
    Learn {
        node: usize,
    },
    See {
        node: usize,
        other: usize,
        run: u32,
        is_up: bool,
    },
    BeginFault,
    /// Turn of the reports of limits.
    Turn {
        node: usize,
    },
}

struct Node {
    limits: RateLimits,
    is_up: bool,
    /// Number of starts of the instance.
    run: u32,
    /// Whether the instance knows that the engine is cold.
    knows: bool,
    sees: Vec<bool>,
    /// Time of the last change of `sees` that `limits` does not know.
    changed_at: Option<Duration>,
    /// Queries that are not answered, and when they were sent.
    pending: Vec<(u64, Duration)>,
}

struct Simulation {
    random: Pcg64Mcg,
    begin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: Vec<Option<Event>>,
    nodes: Vec<Node>,
    names: Vec<Instance>,
    /// Order in which the instances become the load tracker, the first one preferred.
    tracker_order: Vec<usize>,
    fault: Fault,
    requests: u64,
    arrivals: Vec<Duration>,
}

impl Simulation {
    fn new(seed: u64, instances: usize, fault: Fault) -> Self {
        let names: Vec<Instance> = (0..instances)
            .map(|index| format!("10.1.{}.{}", index / 250, index % 250).parse().unwrap())
            .collect();
        let mut tracker_order: Vec<usize> = (0..instances).collect();
        // The first instances, which are affected by faults, are load trackers first.
        tracker_order.swap(0, instances / 8);
        let begin = Instant::now();
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            begin,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            nodes: Vec::new(),
            names,
            tracker_order,
            fault,
            requests: 0,
            arrivals: Vec::new(),
        };
        for node in 0..instances {
            let stopped = simulation.stopped(node);
            simulation.nodes.push(stopped);
        }
        for node in 0..instances {
            simulation.schedule(Duration::ZERO, Event::Start { node });
            simulation.schedule(Duration::ZERO, Event::Turn { node });
        }
        simulation.schedule(FAULT_AT, Event::BeginFault);
        for index in 0..(SIMULATED_DURATION.as_secs_f64() * OFFERED) as u64 {
            let node = simulation.random.random_range(0..instances);
            let at = Duration::from_secs_f64(index as f64 / OFFERED);
            simulation.schedule(at, Event::Arrive { node });
        }
        simulation
    }

    /// Returns an instance that knows nothing.
    fn stopped(&self, node: usize) -> Node {
        Node {
            limits: RateLimits::new(self.names[node].clone()),
            is_up: false,
            run: 0,
            knows: false,
            sees: vec![false; self.names.len()],
            changed_at: None,
            pending: Vec::new(),
        }
    }

    fn begin_fault(&mut self) {
        let affected = match self.fault {
            Fault::None | Fault::Frozen | Fault::Partition => 0,
            Fault::Restart => (self.nodes.len() / 6).max(1),
            Fault::RestartOfAll => self.nodes.len(),
        };
        for node in 0..affected {
            self.schedule(FAULT_AT, Event::Stop { node });
            let back = match self.fault {
                Fault::RestartOfAll => self.random.random_range(50..400),
                _ => self.random.random_range(300..4000),
            };
            self.schedule(FAULT_AT + Duration::from_millis(back), Event::Start { node });
        }
        if self.fault == Fault::Frozen {
            for node in 0..(self.nodes.len() / 6).max(1) {
                self.tell_all(FAULT_AT, node, false);
                self.tell_all(FAULT_AT + FAULT_DURATION, node, true);
            }
        }
        if self.fault == Fault::Partition {
            for node in 0..self.nodes.len() {
                for other in 0..self.nodes.len() {
                    if self.is_cut_off(node) != self.is_cut_off(other) {
                        self.tell(FAULT_AT, node, other, false);
                        self.tell(FAULT_AT + FAULT_DURATION, node, other, true);
                    }
                }
            }
        }
    }

    /// Returns whether the instance is on the smaller side of the partition.
    fn is_cut_off(&self, node: usize) -> bool {
        node < self.nodes.len() / 3
    }

    fn is_faulty(&self) -> bool {
        (FAULT_AT..FAULT_AT + FAULT_DURATION).contains(&self.now)
    }

    fn is_frozen(&self, node: usize) -> bool {
        let is_affected = node < (self.nodes.len() / 6).max(1);
        self.fault == Fault::Frozen && self.is_faulty() && is_affected
    }

    fn tell(&mut self, at: Duration, node: usize, other: usize, is_up: bool) {
        let least = if is_up { 20 } else { 500 };
        let delay = self.random.random_range(least..DETECTION.as_millis() as u64);
        let run = self.nodes[other].run;
        self.schedule(at + Duration::from_millis(delay), Event::See { node, other, run, is_up });
    }

    fn tell_all(&mut self, at: Duration, other: usize, is_up: bool) {
        for node in 0..self.nodes.len() {
            self.tell(at, node, other, is_up);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.scheduled.len() as u64)));
        self.scheduled.push(Some(event));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = self.fault == Fault::Partition
            && self.is_faulty()
            && self.is_cut_off(from) != self.is_cut_off(to);
        if !is_cut && !self.random.random_bool(LOSS_RATE) {
            let delay = Duration::from_micros(self.random.random_range(1000..9000));
            self.schedule(self.now + delay, event);
        }
    }

    fn instant(&self) -> Instant {
        self.begin + self.now
    }

    /// Returns the load tracker of the engine in the view of an instance.
    fn tracker(&self, node: usize) -> usize {
        let is_seen = |index: &&usize| **index == node || self.nodes[node].sees[**index];
        *self.tracker_order.iter().find(is_seen).unwrap()
    }

    /// Applies the changes of the view of an instance, at the time of the last one.
    fn update_view(&mut self, node: usize) {
        let Some(changed_at) = self.nodes[node].changed_at.take() else {
            return;
        };
        let seen = (0..self.nodes.len()).filter(|index| self.nodes[node].sees[*index]);
        let peers: Vec<Instance> = seen.map(|index| self.names[index].clone()).collect();
        let (is_tracker, count) = (self.tracker(node) == node, peers.len() + 1);
        let limits = &mut self.nodes[node].limits;
        limits.set_instances(peers.clone(), count);
        limits.set_senders(self.begin + changed_at, peers, |_| is_tracker);
    }

    /// Sends a request to the cold engine.
    fn send_request(&mut self, node: usize) {
        let now = self.instant();
        self.nodes[node].limits.count_request(now, UPSTREAM, BORN);
        let delay = self.random.random_range(1..300);
        self.arrivals.push(self.now + Duration::from_millis(delay));
    }

    fn arrive(&mut self, node: usize) {
        let (now, is_frozen) = (self.instant(), self.is_frozen(node));
        if !self.nodes[node].is_up || !self.nodes[node].knows || is_frozen {
            return;
        }
        self.update_view(node);
        if self.nodes[node].limits.next_request(now, UPSTREAM, BORN).is_some() {
            return;
        }
        let seen = self.nodes[node].sees.iter().filter(|is_seen| **is_seen).count();
        if !forward::is_large_fleet(seen + 1) {
            self.send_request(node);
            return;
        }
        let tracker = self.tracker(node);
        if tracker == node {
            if grant(&mut self.nodes[node].limits, now) {
                self.send_request(node);
            }
            return;
        }
        self.requests += 1;
        let request = self.requests;
        self.nodes[node].pending.push((request, self.now));
        self.send(node, tracker, Event::Ask { from: node, to: tracker, request });
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();
        match event {
            Event::Arrive { node } => self.arrive(node),
            Event::Ask { from, to, request } => {
                if self.nodes[to].is_up && !self.is_frozen(to) {
                    self.update_view(to);
                    let is_granted = grant(&mut self.nodes[to].limits, now);
                    self.send(to, from, Event::Answer { to: from, request, is_granted });
                }
            }
            Event::Answer { to, request, is_granted } => {
                let found = self.nodes[to].pending.iter().position(|entry| entry.0 == request);
                let asked_at = found.map(|index| self.nodes[to].pending.swap_remove(index).1);
                let is_awaited =
                    asked_at.is_some_and(|asked_at| self.now < asked_at + TRACKER_TIMEOUT);
                if is_awaited && is_granted && self.nodes[to].is_up && !self.is_frozen(to) {
                    self.send_request(to);
                }
            }
            Event::Stop { node } => {
                self.nodes[node].is_up = false;
                self.nodes[node].pending.clear();
                self.tell_all(self.now, node, false);
            }
            Event::Start { node } => {
                let run = self.nodes[node].run + 1;
                self.nodes[node] = Node { is_up: true, run, ..self.stopped(node) };
                self.tell_all(self.now, node, true);
                for other in (0..self.nodes.len()).filter(|other| *other != node) {
                    if self.nodes[other].is_up {
                        let delay = self.random.random_range(20..900);
                        let at = self.now + Duration::from_millis(delay);
                        let run = self.nodes[other].run;
                        self.schedule(at, Event::See { node, other, run, is_up: true });
                    }
                }
                let delay = self.random.random_range(20..300);
                self.schedule(self.now + Duration::from_millis(delay), Event::Learn { node });
            }
            Event::Learn { node } => {
                self.nodes[node].knows = true;
                self.update_view(node);
                let is_tracker = self.tracker(node) == node;
                begin_cold(&mut self.nodes[node].limits, now, is_tracker);
            }
            Event::See { node, other, run, is_up } => {
                // News of a later run takes precedence.
                let is_news = run == self.nodes[other].run && is_up <= self.nodes[other].is_up;
                if node != other && is_news {
                    self.nodes[node].sees[other] = is_up;
                    self.nodes[node].changed_at = Some(self.now);
                }
            }
            Event::BeginFault => self.begin_fault(),
            Event::Turn { node } => {
                if self.nodes[node].is_up && !self.is_frozen(node) {
                    self.update_view(node);
                    self.nodes[node].limits.take_reports(now, |_, _| true);
                }
                self.schedule(self.now + TURN, Event::Turn { node });
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, index))) = self.events.pop() {
            if at >= SIMULATED_DURATION {
                return;
            }
            self.now = at;
            if let Some(event) = self.scheduled[index as usize].take() {
                self.handle(event);
            }
        }
    }

    /// Returns the greatest number of requests that arrived in a second.
    fn most_in_a_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let arrivals = &self.arrivals;
        let window = |(index, first): (usize, &Duration)| {
            arrivals.partition_point(|at| *at < *first + Duration::from_secs(1)) - index
        };
        arrivals.iter().enumerate().map(window).max().unwrap_or(0)
    }
}

fn begin_cold(limits: &mut RateLimits, now: Instant, is_tracker: bool) {
    let cold = ColdLimits::new(PER_SECOND, EXCESS, SLACK).unwrap();
    limits.set_cold(now, (UPSTREAM, BORN), cold, now + SIMULATED_DURATION, is_tracker);
}

fn grant(limits: &mut RateLimits, now: Instant) -> bool {
    limits.grant_prompt(now, UPSTREAM, PromptLength::Short, true)
}

/// Guards against instances that together send a cold engine more than it survives: with bursts, with
/// a new burst after a restart, or with two load trackers that grant at the same time.
#[test_case(6, Fault::None)]
#[test_case(6, Fault::Restart)]
#[test_case(6, Fault::RestartOfAll)]
#[test_case(6, Fault::Frozen)]
#[test_case(6, Fault::Partition)]
#[test_case(15, Fault::None)]
#[test_case(15, Fault::RestartOfAll)]
#[test_case(71, Fault::None)]
#[test_case(71, Fault::Restart)]
#[test_case(71, Fault::RestartOfAll)]
#[test_case(71, Fault::Frozen)]
#[test_case(71, Fault::Partition)]
#[test_case(295, Fault::None)]
#[test_case(295, Fault::Restart)]
#[test_case(295, Fault::RestartOfAll)]
#[test_case(295, Fault::Frozen)]
#[test_case(295, Fault::Partition)]
fn a_cold_engine_gets_no_more_in_any_second_than_its_bound(instances: usize, fault: Fault) {
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed, instances, fault);
        simulation.run();
        let most = simulation.most_in_a_second();
        let calm = CALM.start.as_secs()..CALM.end.as_secs();
        let arrived = simulation.arrivals.iter().filter(|at| calm.contains(&at.as_secs())).count();
        let used = arrived as f64 / (CALM.end - CALM.start).as_secs_f64();
        println!("{instances} instances, {fault:?}, seed {seed}: most {most}, {used:.2} a second");
        let bound = PER_SECOND * EXCESS + SLACK;
        assert!(most as f64 <= bound, "{most} requests in a second, {bound} allowed");
        assert!(used >= PER_SECOND * 0.7, "{used} a second of {PER_SECOND}");
    }
}
