//! Simulation of instances, upstreams, callers and the messages between instances.

#![allow(clippy::unwrap_used, dead_code)]

pub mod records;

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use admission::{Fifo, Tokens};
use names::Upstream;
use permit::{Action, Context, Message, Node, Outcome, PermitId, PlacementOutcome};
use placement::LoadBound;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use records::{SLOTS, instance, placement_request, record_with_slots, upstream_name};
use upstream::{Record, Registry};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(1);

/// Number of steps between two ticks of a node.
const TICK_STEPS: usize = 50;

/// Time for which permits may be miscounted after a message was lost.
const REPAIR_TIME: Duration = Duration::from_secs(4);

/// Time until the end of a call is known to the owners and counts in the mean.
const RELEASE_DELAY: Duration = Duration::from_millis(20);

struct MessageInTransit {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

/// A call in progress at an upstream.
struct Call {
    caller: usize,
    node: usize,
    upstream: Upstream,
    permit: PermitId,
    ends: Instant,
}

pub struct Simulation {
    pub nodes: Vec<Option<Node>>,
    pub registries: Vec<Registry>,
    /// Members in the view of each node, by index.
    pub views: Vec<Vec<usize>>,
    in_transit: Vec<MessageInTransit>,
    calls: Vec<Call>,
    /// Callers that wait for a permit, and the index of their node.
    pub waiting: Vec<(usize, usize)>,
    /// Callers that start a request in the next step.
    pub idle: Vec<usize>,
    pub upstreams: usize,
    pub leaving: Vec<usize>,
    pub now: Instant,
    pub loss_percent: u32,
    pub random: Pcg64Mcg,
    pub refused: usize,
    pub answered: usize,
    pub bytes: usize,
    /// End times of recent calls that the owners may not know of yet.
    pub ended: Vec<Instant>,
    /// Times of lost messages whose effect may not be repaired yet.
    pub lost: Vec<Instant>,
    /// Number of calls and grants that a crash ended and that the owners may still count.
    pub unnoticed: usize,
    /// Whether callers have stopped making calls.
    pub is_stopping: bool,
    /// Time that the aggregated load takes to follow a load that falls.
    pub load_lag: Duration,
    pub totals: Vec<(Instant, usize)>,
    pub peak: usize,
    pub steps: usize,
    pub seed: u64,
    /// Slots of each upstream.
    pub slots: u32,
    /// Expected number of new callers per thousand steps, each with one request; `None` if a fixed
    /// set of callers repeats requests.
    pub arrivals: Option<u32>,
    /// Announced upstreams that requests leave out.
    pub avoided: Vec<usize>,
    pub arrived: usize,
    /// Suspended instances; messages to them stay in transit.
    pub frozen: Vec<usize>,
    /// Instances that no caller connects to.
    pub without_callers: Vec<usize>,
    /// Range of the duration of calls, in milliseconds.
    pub call_millis: RangeInclusive<u64>,
    /// Sum over all steps of the requests that wait although a slot is free.
    pub idle_wait_steps: usize,
    /// Number of steps from arrival to permit, for each request.
    pub delays: Vec<usize>,
    pub arrived_at: Vec<usize>,
}

fn is_grant(sent: &MessageInTransit) -> bool {
    matches!(sent.message, Message::Reply { outcome: Outcome::Granted(_), .. })
}

impl Simulation {
    pub fn new(instances: usize, upstreams: usize, callers: usize, seed: u64) -> Self {
        Self::with_slots(instances, upstreams, callers, SLOTS, seed)
    }

    pub fn with_slots(
        instances: usize,
        upstreams: usize,
        callers: usize,
        slots: u32,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            nodes: Vec::new(),
            registries: Vec::new(),
            views: Vec::new(),
            in_transit: Vec::new(),
            calls: Vec::new(),
            waiting: Vec::new(),
            idle: (0..callers).collect(),
            upstreams,
            leaving: Vec::new(),
            now,
            loss_percent: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            refused: 0,
            answered: 0,
            bytes: 0,
            ended: Vec::new(),
            lost: Vec::new(),
            unnoticed: 0,
            is_stopping: false,
            load_lag: Duration::ZERO,
            totals: Vec::new(),
            peak: 0,
            steps: 0,
            seed,
            slots,
            arrivals: None,
            avoided: Vec::new(),
            arrived: 0,
            frozen: Vec::new(),
            without_callers: Vec::new(),
            call_millis: 200..=999,
            idle_wait_steps: 0,
            delays: Vec::new(),
            arrived_at: Vec::new(),
        };
        for index in 0..instances {
            simulation.nodes.push(Some(simulation.node(index, seed)));
            simulation.registries.push(Registry::default());
            simulation.views.push((0..instances).collect());
            for upstream in 0..upstreams {
                simulation.registries[index]
                    .merge(now, record_with_slots(upstream, slots, 1, false, false));
            }
        }
        for index in 0..instances {
            simulation.apply_view(index);
        }
        simulation
    }

    pub fn node(&self, index: usize, seed: u64) -> Node {
        let create_queue = || -> Box<dyn admission::AdmissionQueue> { Box::new(Fifo::new(0)) };
        let policy = Box::new(placement::Rendezvous);
        let bound = LoadBound::default();
        Node::new(
            self.now,
            instance(index),
            bound,
            policy,
            Box::new(create_queue),
            seed * 31 + index as u64,
        )
    }

    pub fn with_node<F>(&mut self, index: usize, change: F)
    where
        F: FnOnce(&mut Node, Context<'_>) -> Vec<Action>,
    {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let context = Context { now: self.now, registry: &self.registries[index] };
        let actions = change(node, context);
        for action in actions {
            self.perform(index, action);
        }
    }

    pub fn perform(&mut self, from: usize, action: Action) {
        match action {
            Action::Send(to, message) => {
                self.bytes += postcard::to_allocvec(&message).unwrap().len();
                if self.random.random_range(0..100) < self.loss_percent {
                    self.lost.push(self.now);
                    return;
                }
                let to = (0..self.nodes.len()).find(|index| instance(*index) == to).unwrap();
                // Messages on one link stay in order, as on a TCP connection.
                let last = self.in_transit.iter().filter(|sent| sent.from == from && sent.to == to);
                let earliest = last.map(|sent| sent.due).max().unwrap_or(self.now);
                let delay = Duration::from_millis(self.random.random_range(0..3));
                let due = earliest.max(self.now + delay);
                self.in_transit.push(MessageInTransit { due, from, to, message });
            }
            Action::Complete(request, placed) => self.handle_placed(from, request as usize, placed),
        }
    }

    pub fn handle_placed(&mut self, node: usize, caller: usize, placed: PlacementOutcome) {
        self.waiting.retain(|(other, _)| *other != caller);
        match placed {
            PlacementOutcome::Granted(granted) => {
                let duration =
                    Duration::from_millis(self.random.random_range(self.call_millis.clone()));
                self.calls.push(Call {
                    caller,
                    node,
                    upstream: granted.upstream,
                    permit: granted.id,
                    ends: self.now + duration,
                });
                if self.arrivals.is_some() {
                    self.delays.push(self.steps - self.arrived_at[caller]);
                }
                self.assert_bound(caller);
            }
            _ => {
                self.refused += 1;
                if self.arrivals.is_none() {
                    self.idle.push(caller);
                }
            }
        }
    }

    /// Returns the number of calls at upstreams that are not leaving, as the owners may count them.
    /// This includes calls whose end or whose instance's crash the owners do not know of yet, and
    /// granted permits in transit, which are about to become calls.
    pub fn total(&self) -> usize {
        let is_leaving = |call: &Call| {
            self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream)
        };
        let calls = self.calls.iter().filter(|call| !is_leaving(call)).count();
        let granted = self.in_transit.iter().filter(|sent| is_grant(sent)).count();
        calls + self.ended.len() + self.lost.len() + granted + self.unnoticed
    }

    /// Records the total, and computes its peak within the lag of the aggregated load.
    pub fn record_total(&mut self) {
        let (now, total) = (self.now, self.total());
        self.totals.push((now, total));
        let lag = self.load_lag;
        self.totals.retain(|(at, _)| *at + lag >= now);
        self.peak = self.totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
    }

    /// Asserts that the upstream of a call that just started is within the load bound. Counts
    /// the calls that are actually in progress there.
    pub fn assert_bound(&mut self, caller: usize) {
        let call = self.calls.iter().find(|call| call.caller == caller).unwrap();
        if self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream) {
            return;
        }
        let in_flight = self.calls.iter().filter(|other| other.upstream == call.upstream).count();
        let serving = self.upstreams - self.leaving.len() - self.avoided.len();
        let mean = self.peak.max(self.total()) as f64 / serving as f64;
        let limit = (1.25 * mean).ceil() as usize;
        let upstream = &call.upstream;
        assert!(
            in_flight <= limit,
            "seed {} step {}: {in_flight} at {upstream} above {limit}, mean {mean}",
            self.seed,
            self.steps,
        );
    }

    /// Returns the highest number of calls at one upstream.
    pub fn max_calls(&self) -> usize {
        let at = |upstream| {
            let upstream = upstream_name(upstream);
            self.calls.iter().filter(|call| call.upstream == upstream).count()
        };
        (0..self.upstreams).map(at).max().unwrap_or(0)
    }

    pub fn apply_view(&mut self, index: usize) {
        let others = self.views[index].iter().filter(|other| **other != index);
        let others: Vec<_> = others.map(|other| instance(*other)).collect();
        self.with_node(index, |node, context| node.set_members(context, others, &[]));
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let Self { in_transit, frozen, .. } = self;
        let is_due = |sent: &mut MessageInTransit| sent.due <= now && !frozen.contains(&sent.to);
        let mut due: Vec<_> = in_transit.extract_if(.., is_due).collect();
        due.sort_by_key(|sent| sent.due);
        for MessageInTransit { from, to, message, .. } in due {
            self.with_node(to, |node, context| node.receive(context, &instance(from), message));
        }
        let ended: Vec<_> = self.calls.extract_if(.., |call| call.ends <= now).collect();
        self.lost.retain(|lost| *lost + REPAIR_TIME > now);
        self.ended.retain(|ended| *ended + RELEASE_DELAY > now);
        for call in ended {
            self.ended.push(now);
            self.answered += 1;
            if self.arrivals.is_none() {
                self.idle.push(call.caller);
            }
            let node = call.node;
            self.with_node(node, |node, context| node.release(context, call.permit, Tokens(100)));
        }
        self.record_total();
        self.arrive();
        if self.is_stopping {
            self.idle.clear();
        }
        let accepts_callers =
            |index: &usize| self.nodes[*index].is_some() && !self.without_callers.contains(index);
        let alive: Vec<_> = (0..self.nodes.len()).filter(accepts_callers).collect();
        for caller in std::mem::take(&mut self.idle) {
            let node = alive[self.random.random_range(0..alive.len())];
            self.waiting.push((caller, node));
            let request = placement_request(caller, self.now, &self.avoided);
            self.with_node(node, |node, context| node.place(context, caller as u64, request));
        }
        for index in 0..self.nodes.len() {
            if (self.steps + index).is_multiple_of(TICK_STEPS) && !self.frozen.contains(&index) {
                self.with_node(index, |node, context| node.tick(context));
            }
        }
    }

    /// Adds new callers, and counts those that wait although a slot is free.
    fn arrive(&mut self) {
        let Some(arrivals) = self.arrivals else {
            return;
        };
        let usable_upstreams = self.upstreams - self.avoided.len();
        let free_slots = (usable_upstreams * self.slots as usize).saturating_sub(self.calls.len());
        self.idle_wait_steps += self.waiting.len().min(free_slots);
        if self.random.random_range(0..1000) < arrivals {
            self.idle.push(self.arrived);
            self.arrived_at.push(self.steps);
            self.arrived += 1;
        }
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Crashes an instance, which ends its calls.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
        let is_lost = |sent: &&MessageInTransit| sent.to == index && is_grant(sent);
        self.unnoticed += self.in_transit.iter().filter(is_lost).count();
        self.in_transit.retain(|sent| sent.from != index && sent.to != index);
        let interrupted: Vec<_> = self.calls.extract_if(.., |call| call.node == index).collect();
        self.unnoticed += interrupted.len();
        self.idle.extend(interrupted.iter().map(|call| call.caller));
        let waiting: Vec<_> = self.waiting.extract_if(.., |(_, node)| *node == index).collect();
        self.idle.extend(waiting.iter().map(|(caller, _)| *caller));
    }

    /// Adds or removes `member` in all views, `gap` steps apart.
    pub fn spread_view(&mut self, member: usize, is_member: bool, gap: usize) {
        for index in 0..self.nodes.len() {
            self.views[index].retain(|other| *other != member || index == member);
            if is_member && index != member {
                self.views[index].push(member);
            }
            self.apply_view(index);
            self.run(gap);
        }
    }

    /// Makes all nodes apply their registry again.
    pub fn refresh(&mut self) {
        for index in 0..self.nodes.len() {
            self.with_node(index, |node, context| node.refresh(context));
        }
    }

    pub fn change_upstream(&mut self, record: &Record, gap: usize) {
        for index in 0..self.nodes.len() {
            self.registries[index].merge(self.now, record.clone());
            self.with_node(index, |node, context| node.refresh(context));
            self.run(gap);
        }
    }
}
