//! Instances, upstreams and callers in model time, with messages that travel between them.

#![allow(clippy::unwrap_used, dead_code)]

pub mod records;

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use admission::{Fifo, Tokens};
use names::Upstream;
use permit::{Action, Context, Message, Node, Outcome, PermitId, Placed};
use placement::Bound;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use records::{SLOTS, instance, record_with, upstream_name, wanted};
use upstream::{Record, Registry};

const STEP: Duration = Duration::from_millis(1);

/// Steps between two ticks of the nodes.
const TICK_STEPS: usize = 50;

/// How long permits may be miscounted after a message was lost.
const REPAIR: Duration = Duration::from_secs(4);

/// How long the end of a call takes to reach the owners and the mean.
const NEWS: Duration = Duration::from_millis(20);

struct Flight {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

/// A call that a caller makes: the caller, the instance, the permit and its end.
struct Call {
    caller: usize,
    node: usize,
    upstream: Upstream,
    permit: PermitId,
    ends: Instant,
}

pub struct World {
    pub nodes: Vec<Option<Node>>,
    pub registries: Vec<Registry>,
    /// The members that each node believes in.
    pub views: Vec<Vec<usize>>,
    flights: Vec<Flight>,
    calls: Vec<Call>,
    /// Callers that ask, and where.
    pub asking: Vec<(usize, usize)>,
    pub idle: Vec<usize>,
    pub upstreams: usize,
    pub leaving: Vec<usize>,
    pub now: Instant,
    pub loss_percent: u32,
    pub random: Pcg64Mcg,
    pub refused: usize,
    pub answered: usize,
    pub bytes: usize,
    /// When calls ended lately.
    pub ended: Vec<Instant>,
    /// When messages were lost that holders and owners have not made up for.
    pub lost: Vec<Instant>,
    /// Calls that a death cut which is not known yet.
    pub ghosts: usize,
    /// Whether callers make no more calls.
    pub is_closing: bool,
    /// How long sums take to follow a load that falls.
    pub sums_lag: Duration,
    pub totals: Vec<(Instant, usize)>,
    pub peak: usize,
    pub steps: usize,
    pub seed: u64,
    /// Slots of each upstream.
    pub slots: u32,
    /// New callers in a thousand steps, who ask once each; none when callers ask again and again.
    pub arrivals: Option<u32>,
    /// Upstreams that no request goes to though they are announced.
    pub avoided: Vec<usize>,
    pub arrived: usize,
    /// Instances that do nothing; messages to them wait.
    pub frozen: Vec<usize>,
    /// Instances that no caller asks.
    pub unasked: Vec<usize>,
    /// Shortest and longest call in milliseconds.
    pub lengths: RangeInclusive<u64>,
    /// Steps that requests waited while upstreams had free slots.
    pub idle_waits: usize,
    /// Steps from the arrival of a request to its permit, one for each.
    pub delays: Vec<usize>,
    pub arrived_at: Vec<usize>,
}

fn is_grant(flight: &Flight) -> bool {
    matches!(flight.message, Message::Answer { outcome: Outcome::Granted(_), .. })
}

impl World {
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
        let mut world = Self {
            nodes: Vec::new(),
            registries: Vec::new(),
            views: Vec::new(),
            flights: Vec::new(),
            calls: Vec::new(),
            asking: Vec::new(),
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
            ghosts: 0,
            is_closing: false,
            sums_lag: Duration::ZERO,
            totals: Vec::new(),
            peak: 0,
            steps: 0,
            seed,
            slots,
            arrivals: None,
            avoided: Vec::new(),
            arrived: 0,
            frozen: Vec::new(),
            unasked: Vec::new(),
            lengths: 200..=999,
            idle_waits: 0,
            delays: Vec::new(),
            arrived_at: Vec::new(),
        };
        for index in 0..instances {
            world.nodes.push(Some(world.node(index, seed)));
            world.registries.push(Registry::default());
            world.views.push((0..instances).collect());
            for upstream in 0..upstreams {
                world.registries[index].merge(now, record_with(upstream, slots, 1, false, false));
            }
        }
        for index in 0..instances {
            world.apply_view(index);
        }
        world
    }

    pub fn node(&self, index: usize, seed: u64) -> Node {
        let desk = || -> Box<dyn admission::Desk> { Box::new(Fifo::new(0)) };
        let policy = Box::new(placement::Rendezvous);
        let bound = Bound::default();
        Node::new(
            self.now,
            instance(index),
            bound,
            policy,
            Box::new(desk),
            seed * 31 + index as u64,
        )
    }

    pub fn with<F>(&mut self, index: usize, change: F)
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
                // Messages on one link stay in order, as on a connection.
                let last = self.flights.iter().filter(|one| one.from == from && one.to == to);
                let earliest = last.map(|one| one.due).max().unwrap_or(self.now);
                let delay = Duration::from_millis(self.random.random_range(0..3));
                let due = earliest.max(self.now + delay);
                self.flights.push(Flight { due, from, to, message });
            }
            Action::Placed(request, placed) => self.placed(from, request as usize, placed),
        }
    }

    pub fn placed(&mut self, node: usize, caller: usize, placed: Placed) {
        self.asking.retain(|(asking, _)| *asking != caller);
        match placed {
            Placed::Granted(granted) => {
                let pace = Duration::from_millis(self.random.random_range(self.lengths.clone()));
                self.calls.push(Call {
                    caller,
                    node,
                    upstream: granted.upstream,
                    permit: granted.id,
                    ends: self.now + pace,
                });
                if self.arrivals.is_some() {
                    self.delays.push(self.steps - self.arrived_at[caller]);
                }
                self.check(caller);
            }
            _ => {
                self.refused += 1;
                if self.arrivals.is_none() {
                    self.idle.push(caller);
                }
            }
        }
    }

    /// Calls at the upstreams that do not leave. Neither the end of a call nor a death is known at
    /// the owners at once, and permits on their way are calls a moment later.
    pub fn total(&self) -> usize {
        let is_leaving = |call: &Call| {
            self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream)
        };
        let calls = self.calls.iter().filter(|call| !is_leaving(call)).count();
        let granted = self.flights.iter().filter(|flight| is_grant(flight)).count();
        calls + self.ended.len() + self.lost.len() + granted + self.ghosts
    }

    /// The highest total within the time that sums take to follow a load that falls.
    pub fn record_total(&mut self) {
        let (now, total) = (self.now, self.total());
        self.totals.push((now, total));
        let lag = self.sums_lag;
        self.totals.retain(|(at, _)| *at + lag >= now);
        self.peak = self.totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
    }

    /// The engines' own view: requests in flight at each, right after a call was let in.
    pub fn check(&mut self, caller: usize) {
        let call = self.calls.iter().find(|call| call.caller == caller).unwrap();
        if self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream) {
            return;
        }
        let in_flight = self.calls.iter().filter(|one| one.upstream == call.upstream).count();
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

    /// The most calls that one upstream has.
    pub fn most(&self) -> usize {
        let at = |upstream| {
            let upstream = upstream_name(upstream);
            self.calls.iter().filter(|call| call.upstream == upstream).count()
        };
        (0..self.upstreams).map(at).max().unwrap_or(0)
    }

    pub fn apply_view(&mut self, index: usize) {
        let others = self.views[index].iter().filter(|other| **other != index);
        let others: Vec<_> = others.map(|other| instance(*other)).collect();
        self.with(index, |node, context| node.set_members(context, others, &[]));
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let Self { flights, frozen, .. } = self;
        let is_due = |flight: &mut Flight| flight.due <= now && !frozen.contains(&flight.to);
        let mut due: Vec<_> = flights.extract_if(.., is_due).collect();
        due.sort_by_key(|flight| flight.due);
        for Flight { from, to, message, .. } in due {
            self.with(to, |node, context| node.receive(context, &instance(from), message));
        }
        let ended: Vec<_> = self.calls.extract_if(.., |call| call.ends <= now).collect();
        self.lost.retain(|lost| *lost + REPAIR > now);
        self.ended.retain(|ended| *ended + NEWS > now);
        for call in ended {
            self.ended.push(now);
            self.answered += 1;
            if self.arrivals.is_none() {
                self.idle.push(call.caller);
            }
            let node = call.node;
            self.with(node, |node, context| node.release(context, call.permit, Tokens(100)));
        }
        self.record_total();
        self.arrive();
        if self.is_closing {
            self.idle.clear();
        }
        let is_asked = |one: &usize| self.nodes[*one].is_some() && !self.unasked.contains(one);
        let alive: Vec<_> = (0..self.nodes.len()).filter(is_asked).collect();
        for caller in std::mem::take(&mut self.idle) {
            let node = alive[self.random.random_range(0..alive.len())];
            self.asking.push((caller, node));
            let wanted = wanted(caller, self.now, &self.avoided);
            self.with(node, |node, context| node.place(context, caller as u64, wanted));
        }
        for index in 0..self.nodes.len() {
            if (self.steps + index).is_multiple_of(TICK_STEPS) && !self.frozen.contains(&index) {
                self.with(index, |node, context| node.tick(context));
            }
        }
    }

    /// Lets new callers come and counts those that wait beside free slots.
    fn arrive(&mut self) {
        let Some(arrivals) = self.arrivals else {
            return;
        };
        let usable = self.upstreams - self.avoided.len();
        let free = (usable * self.slots as usize).saturating_sub(self.calls.len());
        self.idle_waits += self.asking.len().min(free);
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

    /// Ends an instance without a word: its calls are cut.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
        let is_lost = |flight: &&Flight| flight.to == index && is_grant(flight);
        self.ghosts += self.flights.iter().filter(is_lost).count();
        self.flights.retain(|flight| flight.from != index && flight.to != index);
        let cut: Vec<_> = self.calls.extract_if(.., |call| call.node == index).collect();
        self.ghosts += cut.len();
        self.idle.extend(cut.iter().map(|call| call.caller));
        let asking: Vec<_> = self.asking.extract_if(.., |(_, node)| *node == index).collect();
        self.idle.extend(asking.iter().map(|(caller, _)| *caller));
    }

    /// Removes or adds `member` in all views, some steps apart.
    pub fn spread_view(&mut self, member: usize, is_up: bool, gap: usize) {
        for index in 0..self.nodes.len() {
            self.views[index].retain(|other| *other != member || index == member);
            if is_up && index != member {
                self.views[index].push(member);
            }
            self.apply_view(index);
            self.run(gap);
        }
    }

    /// Tells all nodes that the registry changed.
    pub fn refresh(&mut self) {
        for index in 0..self.nodes.len() {
            self.with(index, |node, context| node.refresh(context));
        }
    }

    pub fn change_upstream(&mut self, record: &Record, gap: usize) {
        for index in 0..self.nodes.len() {
            self.registries[index].merge(self.now, record.clone());
            self.with(index, |node, context| node.refresh(context));
            self.run(gap);
        }
    }
}
