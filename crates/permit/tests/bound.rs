//! The load bound over interleavings of callers, joins, leaves, flaps, split views and losses.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use admission::{Fifo, Tokens};
use declare::{Labels, Rank, Target};
use names::{Incarnation, Instance, Upstream};
use permit::{Action, Context, Message, Node, Outcome, PermitId, Placed, Wanted};
use placement::Bound;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use upstream::{Announcement, Protocol, Record, Registry};

const STEP: Duration = Duration::from_millis(1);

/// Steps between two ticks of the nodes.
const TICK_STEPS: usize = 50;

/// How long sums take to follow a load that falls because shares are reduced.
const SUMS_LAG: Duration = Duration::from_millis(400);

/// How long permits may be miscounted after a message was lost.
const REPAIR: Duration = Duration::from_secs(4);

/// How long the end of a call takes to reach the owners and the mean.
const NEWS: Duration = Duration::from_millis(20);
const SLOTS: u32 = 16;

/// Seeds that each property runs: `SEEDS` from the environment, few in CI.
fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(40)
}

fn instance(index: usize) -> Instance {
    format!("instance-{index}").parse().unwrap()
}

fn upstream_name(index: usize) -> Upstream {
    format!("engine-{index}").parse().unwrap()
}

fn record(index: usize, version: u64, is_leaving: bool, is_gone: bool) -> Record {
    let announcement = Announcement {
        upstream: upstream_name(index),
        incarnation: Incarnation(1),
        data_centre: "giza".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        protocol: Protocol::ChatCompletions,
        models: vec!["caption-small".parse().unwrap()],
        slots: SLOTS,
        labels: Labels::default(),
        expires_in: units::Span::from_seconds(60),
        is_leaving,
        checks_fencing: false,
        moves_context: false,
    };
    Record { announcement, version, is_gone }
}

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

struct World {
    nodes: Vec<Option<Node>>,
    registries: Vec<Registry>,
    /// The members that each node believes in.
    views: Vec<Vec<usize>>,
    flights: Vec<Flight>,
    calls: Vec<Call>,
    /// Callers that ask, and where.
    asking: Vec<(usize, usize)>,
    idle: Vec<usize>,
    upstreams: usize,
    leaving: Vec<usize>,
    now: Instant,
    loss_percent: u32,
    random: Pcg64Mcg,
    refused: usize,
    answered: usize,
    bytes: usize,
    /// When calls ended lately.
    ended: Vec<Instant>,
    /// When messages were lost that holders and owners have not made up for.
    lost: Vec<Instant>,
    /// Calls that a death cut which is not known yet.
    ghosts: usize,
    /// Whether callers make no more calls.
    is_closing: bool,
    /// How long sums take to follow a load that falls.
    sums_lag: Duration,
    totals: Vec<(Instant, usize)>,
    peak: usize,
    steps: usize,
    seed: u64,
}

fn wanted(caller: usize, now: Instant) -> Wanted {
    Wanted {
        target: Target::Model("caption-small".parse().unwrap()),
        key: caller as u64 * 7919,
        tried: Vec::new(),
        account: "nasr".parse().unwrap(),
        weight: 1,
        kind: "caption".parse().unwrap(),
        rank: Rank::Normal,
        least_share_percent: 0,
        deadline: now + Duration::from_secs(20),
        cost: Tokens(100),
    }
}

fn is_grant(flight: &Flight) -> bool {
    matches!(flight.message, Message::Answer { outcome: Outcome::Granted(_), .. })
}

impl World {
    fn new(instances: usize, upstreams: usize, callers: usize, seed: u64) -> Self {
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
        };
        for index in 0..instances {
            world.nodes.push(Some(world.node(index, seed)));
            world.registries.push(Registry::default());
            world.views.push((0..instances).collect());
            for upstream in 0..upstreams {
                world.registries[index].merge(now, record(upstream, 1, false, false));
            }
        }
        for index in 0..instances {
            world.apply_view(index);
        }
        world
    }

    fn node(&self, index: usize, seed: u64) -> Node {
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

    fn with<F>(&mut self, index: usize, change: F)
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

    fn perform(&mut self, from: usize, action: Action) {
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

    fn placed(&mut self, node: usize, caller: usize, placed: Placed) {
        self.asking.retain(|(asking, _)| *asking != caller);
        match placed {
            Placed::Granted(granted) => {
                let pace = Duration::from_millis(self.random.random_range(200..1000));
                self.calls.push(Call {
                    caller,
                    node,
                    upstream: granted.upstream,
                    permit: granted.id,
                    ends: self.now + pace,
                });
                self.check(caller);
            }
            _ => {
                self.refused += 1;
                self.idle.push(caller);
            }
        }
    }

    /// Calls at the upstreams that do not leave. Neither the end of a call nor a death is known at
    /// the owners at once, and permits on their way are calls a moment later.
    fn total(&self) -> usize {
        let is_leaving = |call: &Call| {
            self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream)
        };
        let calls = self.calls.iter().filter(|call| !is_leaving(call)).count();
        let granted = self.flights.iter().filter(|flight| is_grant(flight)).count();
        calls + self.ended.len() + self.lost.len() + granted + self.ghosts
    }

    /// The highest total within the time that sums take to follow a load that falls.
    fn record_total(&mut self) {
        let (now, total) = (self.now, self.total());
        self.totals.push((now, total));
        let lag = self.sums_lag;
        self.totals.retain(|(at, _)| *at + lag >= now);
        self.peak = self.totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
    }

    /// The engines' own view: requests in flight at each, right after a call was let in.
    fn check(&mut self, caller: usize) {
        let call = self.calls.iter().find(|call| call.caller == caller).unwrap();
        if self.leaving.iter().any(|leaving| upstream_name(*leaving) == call.upstream) {
            return;
        }
        let in_flight = self.calls.iter().filter(|one| one.upstream == call.upstream).count();
        let serving = self.upstreams - self.leaving.len();
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

    fn apply_view(&mut self, index: usize) {
        let others = self.views[index].iter().filter(|other| **other != index);
        let others: Vec<_> = others.map(|other| instance(*other)).collect();
        self.with(index, |node, context| node.set_members(context, others, &[]));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let mut due: Vec<_> = self.flights.extract_if(.., |flight| flight.due <= now).collect();
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
            self.idle.push(call.caller);
            let node = call.node;
            self.with(node, |node, context| node.release(context, call.permit, Tokens(100)));
        }
        self.record_total();
        if self.is_closing {
            self.idle.clear();
        }
        let alive: Vec<_> =
            (0..self.nodes.len()).filter(|one| self.nodes[*one].is_some()).collect();
        for caller in std::mem::take(&mut self.idle) {
            let node = alive[self.random.random_range(0..alive.len())];
            self.asking.push((caller, node));
            let wanted = wanted(caller, self.now);
            self.with(node, |node, context| node.place(context, caller as u64, wanted));
        }
        for index in 0..self.nodes.len() {
            if (self.steps + index).is_multiple_of(TICK_STEPS) {
                self.with(index, |node, context| node.tick(context));
            }
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Ends an instance without a word: its calls are cut.
    fn kill(&mut self, index: usize) {
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
    fn spread_view(&mut self, member: usize, is_up: bool, gap: usize) {
        for index in 0..self.nodes.len() {
            self.views[index].retain(|other| *other != member || index == member);
            if is_up && index != member {
                self.views[index].push(member);
            }
            self.apply_view(index);
            self.run(gap);
        }
    }

    fn change_upstream(&mut self, record: &Record, gap: usize) {
        for index in 0..self.nodes.len() {
            self.registries[index].merge(self.now, record.clone());
            self.with(index, |node, context| node.refresh(context));
            self.run(gap);
        }
    }
}

#[test]
fn the_bound_holds_and_all_are_served_while_views_agree() {
    let (mut answered, mut refused, mut bytes) = (0, 0, 0);
    for seed in 0..seeds() {
        let mut world = World::new(3, 6, 40, seed);
        world.run(2000);
        answered += world.answered;
        refused += world.refused;
        bytes += world.bytes;
    }
    let (seeds, bytes) = (seeds(), bytes / answered);
    println!("{seeds} seeds: {answered} answered, {refused} refused, {bytes} bytes a call");
    assert_eq!(refused, 0);
}

#[test]
fn the_bound_holds_when_instances_die_return_and_flap() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut world = World::new(4, 6, 40, seed);
        world.sums_lag = SUMS_LAG;
        world.run(600);
        for round in 0..3 {
            let victim = (seed as usize + round) % 4;
            world.kill(victim);
            let gap = world.random.random_range(0..300);
            world.run(gap);
            world.spread_view(victim, false, gap / 4);
            world.run(400);
            world.ghosts = 0;
            world.run(200);
            for other in (0..4).filter(|other| *other != victim) {
                world.with(other, |node, context| node.end_member(context, &instance(victim)));
            }
            world.nodes[victim] = Some(world.node(victim, seed + 1000 * (round as u64 + 1)));
            world.apply_view(victim);
            world.spread_view(victim, true, gap / 4);
            world.run(300);
        }
        assert_eq!(world.refused, 0, "seed {seed}");
        answered += world.answered;
    }
    println!("{} seeds with deaths: {answered} answered", seeds());
}

#[test]
fn the_bound_holds_while_views_of_living_instances_split() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut world = World::new(4, 6, 40, seed);
        world.run(600);
        let away = seed as usize % 4;
        // The load falls while shares are reduced, and sums follow it.
        world.sums_lag = SUMS_LAG;
        for other in (0..4).filter(|other| *other != away && other % 2 == 0) {
            world.views[other].retain(|member| *member != away);
            world.apply_view(other);
        }
        world.run(1000);
        world.spread_view(away, true, 5);
        world.run(600);
        answered += world.answered;
    }
    println!("{} seeds with split views: {answered} answered", seeds());
}

#[test]
fn upstreams_that_join_and_leave_keep_the_bound() {
    for seed in 0..seeds() {
        let mut world = World::new(3, 6, 40, seed);
        world.run(1200);
        world.leaving = vec![2];
        world.change_upstream(&record(2, 2, true, false), 2);
        world.run(1200);
        world.change_upstream(&record(2, 3, false, true), 2);
        world.run(200);
        world.change_upstream(&record(2, 4, false, false), 2);
        world.run(20);
        world.leaving.clear();
        world.run(1200);
        assert_eq!(world.refused, 0, "seed {seed}");
    }
}

#[test]
fn lost_messages_leak_no_permit() {
    for seed in 0..seeds() / 2 {
        let mut world = World::new(3, 4, 20, seed);
        world.loss_percent = 5;
        world.run(2000);
        world.loss_percent = 0;
        world.run(5000);
        world.is_closing = true;
        world.run(15000);
        let given: u32 = world.nodes.iter().flatten().map(|node| node.owned().1).sum();
        assert_eq!(given, 0, "seed {seed}");
    }
}
