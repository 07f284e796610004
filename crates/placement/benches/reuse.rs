//! Simulation of placement policies: reuse of cached context and skew of load under churn.
//!
//! Depending on its load source, a policy sees either the exact load, as the owners of upstreams
//! know it, or the load as reported two seconds ago. Context is moved where a move costs less than
//! computing the context. Prints a table over the seeds 1 to 5. The simulation measures decisions,
//! not speed.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::VecDeque;

use names::Upstream;
use placement::{
    BoundedRendezvous, Candidate, LeastLoad, LoadBound, LoadSource, Policy, Random, Rendezvous,
    RoundRobin, SpilledConversations, home,
};

const SEEDS: u64 = 5;
const SLOTS: u32 = 8;

/// Number of conversations that each upstream caches.
const CACHE_CAPACITY: usize = 60;

/// Number of concurrent conversations per upstream.
const CONVERSATIONS_PER_UPSTREAM: u64 = 40;

/// Number of turns in a conversation.
const TURNS_PER_CONVERSATION: u64 = 10;

/// Service time of a request.
const SERVICE_SECONDS: f64 = 1.0;

/// Mean fraction of slots in use.
const MEAN_UTILISATION: f64 = 0.6;

/// Duration of a run. One upstream is absent in the middle third.
const RUN_SECONDS: f64 = 240.0;

/// Time in which an engine computes the context of one turn: 200 tokens at 8,000 per second.
const RECOMPUTE_SECONDS_PER_TURN: f64 = 0.025;

/// Time to move one turn: 200 tokens of 64 bytes, transferred twice at 256 MiB per second.
const MOVE_SECONDS_PER_TURN: f64 = 0.000_1;

/// Time that the two calls of a move take without any content.
const MOVE_OVERHEAD_SECONDS: f64 = 0.004;

/// Age of the reported load.
const REPORT_LAG_SECONDS: f64 = 2.0;

struct Generator(u64);

impl Generator {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        ((self.0 >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: u64) -> u64 {
        (self.uniform() * count as f64) as u64
    }
}

/// An upstream, with the end times of its requests and the turns in its cache.
#[derive(Default)]
struct Engine {
    ends: Vec<f64>,
    /// Conversations and their cached turns, the most recently used last.
    cached: VecDeque<(u64, u64)>,
    reported: VecDeque<(f64, u32)>,
}

impl Engine {
    fn in_flight(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Returns the load as reported [`REPORT_LAG_SECONDS`] ago.
    fn report(&mut self, now: f64) -> u32 {
        self.reported.push_back((now, self.in_flight()));
        while self.reported.get(1).is_some_and(|(at, _)| *at <= now - REPORT_LAG_SECONDS) {
            self.reported.pop_front();
        }
        self.reported.front().map_or(0, |(_, load)| *load)
    }

    /// Returns the number of cached turns of the conversation.
    fn turns(&self, conversation: u64) -> u64 {
        let found = self.cached.iter().find(|(cached, _)| *cached == conversation);
        found.map_or(0, |(_, turns)| *turns)
    }

    /// Starts a request and returns the number of turns found in the cache.
    fn start_request(&mut self, now: f64, conversation: u64, turn: u64) -> u64 {
        self.ends.push(now + SERVICE_SECONDS);
        let index = self.cached.iter().position(|(cached, _)| *cached == conversation);
        let found = index.and_then(|index| self.cached.remove(index)).map_or(0, |(_, turns)| turns);
        self.cached.push_back((conversation, turn + 1));
        if self.cached.len() > CACHE_CAPACITY {
            self.cached.pop_front();
        }
        found.min(turn)
    }
}

#[derive(Default)]
struct Summary {
    reuse: f64,
    max_ratio: f64,
    mean_ratio: f64,
    above_bound: f64,
    /// Moves per 100 requests, including those that found nothing to move.
    moves: f64,
    /// Fraction of the moves that found nothing to move.
    wasted: f64,
    /// Mean seconds per request spent on computing and moving context.
    cost: f64,
}

struct Simulation {
    has_moves: bool,
    moves: u64,
    wasted: u64,
    cost: f64,
    generator: Generator,
    engines: Vec<Engine>,
    conversations: Vec<(u64, u64)>,
    next_conversation: u64,
    /// Turns of context that requests found in the cache.
    reused_turns: u64,
    /// Turns of context that requests needed.
    requested_turns: u64,
    /// For each request, the maximum load divided by the mean, and whether an upstream exceeded the
    /// bound.
    samples: Vec<(f64, bool)>,
}

impl Simulation {
    fn new(count: usize, seed: u64, has_moves: bool) -> Self {
        let mut simulation = Self {
            has_moves,
            moves: 0,
            wasted: 0,
            cost: 0.0,
            generator: Generator(seed),
            engines: (0..count).map(|_| Engine::default()).collect(),
            conversations: Vec::new(),
            next_conversation: seed << 32,
            reused_turns: 0,
            requested_turns: 0,
            samples: Vec::new(),
        };
        for _ in 0..CONVERSATIONS_PER_UPSTREAM * count as u64 {
            let turn = simulation.generator.below(TURNS_PER_CONVERSATION);
            simulation.next_conversation += 1;
            simulation.conversations.push((simulation.next_conversation, turn));
        }
        simulation
    }

    fn run(mut self, policy: &mut dyn Policy) -> Summary {
        let rate =
            MEAN_UTILISATION * f64::from(SLOTS) * self.engines.len() as f64 / SERVICE_SECONDS;
        let mut now = 0.0;
        while now < RUN_SECONDS {
            now += -self.generator.uniform().ln() / rate;
            let is_absent = now > RUN_SECONDS / 3.0 && now < RUN_SECONDS * 2.0 / 3.0;
            if is_absent {
                self.engines[0] = Engine::default();
            }
            for engine in &mut self.engines {
                engine.ends.retain(|end| *end > now);
            }
            self.place(policy, now, is_absent);
        }
        self.summary()
    }

    fn place(&mut self, policy: &mut dyn Policy, now: f64, is_absent: bool) {
        let index = self.generator.below(self.conversations.len() as u64) as usize;
        let (conversation, turn) = self.conversations[index];
        let reported: Vec<u32> = self.engines.iter_mut().map(|engine| engine.report(now)).collect();
        let is_reported = policy.load_source() == LoadSource::Reported;
        let mut candidates: Vec<Candidate> = (usize::from(is_absent)..self.engines.len())
            .map(|engine| Candidate {
                upstream: format!("engine-{engine:03}").parse().unwrap(),
                slots: SLOTS,
                in_flight: if is_reported {
                    reported[engine]
                } else {
                    self.engines[engine].in_flight()
                },
            })
            .collect();
        policy.order(conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15), &mut candidates);
        let engine_index =
            |candidate: &Candidate| candidate.upstream.as_str()[7..].parse::<usize>().unwrap();
        // An owner grants no more permits than its upstream has slots.
        let has_free_slot =
            |candidate: &&Candidate| self.engines[engine_index(candidate)].in_flight() < SLOTS;
        let Some(chosen) = candidates.iter().find(has_free_slot) else {
            return;
        };
        let key = conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let home = home(key, candidates.iter().map(|candidate| &candidate.upstream)).unwrap();
        let holder = policy.record_placement(key, &chosen.upstream, home);
        let engine = engine_index(chosen);
        let holder = holder.map(|holder| holder.as_str()[7..].parse::<usize>().unwrap());
        if let Some(holder) = holder.filter(|holder| *holder != engine && turn > 0) {
            self.move_context(now, holder, engine, conversation, turn);
        }
        let found = self.engines[engine].start_request(now, conversation, turn);
        if now > RUN_SECONDS / 6.0 {
            self.reused_turns += found;
            self.requested_turns += turn;
            self.cost += (turn - found) as f64 * RECOMPUTE_SECONDS_PER_TURN;
            self.record_sample(usize::from(is_absent));
        }
        self.conversations[index].1 += 1;
        if self.conversations[index].1 >= TURNS_PER_CONVERSATION {
            self.next_conversation += 1;
            self.conversations[index] = (self.next_conversation, 0);
        }
    }

    /// Moves the cached turns of the conversation from the engine `from` to `to`, unless computing
    /// them costs no more.
    fn move_context(&mut self, now: f64, from: usize, to: usize, conversation: u64, turn: u64) {
        let is_cheap = turn as f64 * RECOMPUTE_SECONDS_PER_TURN
            <= MOVE_OVERHEAD_SECONDS + turn as f64 * MOVE_SECONDS_PER_TURN;
        if !self.has_moves || is_cheap {
            return;
        }
        let turns = self.engines[from].turns(conversation).min(turn);
        let known = self.engines[to].turns(conversation);
        if turns > known {
            self.engines[to].cached.retain(|(cached, _)| *cached != conversation);
            self.engines[to].cached.push_back((conversation, turns));
        }
        if now > RUN_SECONDS / 6.0 {
            self.moves += 1;
            self.wasted += u64::from(turns <= known);
            self.cost += MOVE_OVERHEAD_SECONDS + turns as f64 * MOVE_SECONDS_PER_TURN;
        }
    }

    fn record_sample(&mut self, first_engine: usize) {
        let loads = self.engines[first_engine..].iter().map(Engine::in_flight);
        let mean =
            f64::from(loads.clone().sum::<u32>()) / (self.engines.len() - first_engine) as f64;
        let max = f64::from(loads.max().unwrap_or_default());
        self.samples.push((max / mean.max(1.0), max > (1.25 * mean).ceil()));
    }

    fn summary(self) -> Summary {
        let count = self.samples.len() as f64;
        Summary {
            reuse: self.reused_turns as f64 / self.requested_turns as f64,
            max_ratio: self.samples.iter().map(|(ratio, _)| *ratio).fold(0.0, f64::max),
            mean_ratio: self.samples.iter().map(|(ratio, _)| *ratio).sum::<f64>() / count,
            moves: 100.0 * self.moves as f64 / count,
            wasted: self.wasted as f64 / self.moves.max(1) as f64,
            cost: self.cost / count,
            above_bound: self.samples.iter().filter(|(_, above)| *above).count() as f64 / count,
        }
    }
}

/// Several instances that requests reach at random, each with its own policy.
struct MultiInstance {
    generator: Generator,
    policies: Vec<BoundedRendezvous>,
    current: usize,
    /// Locations of spilled conversations, as known by the owners of their home upstreams.
    hints: Option<SpilledConversations>,
}

impl MultiInstance {
    fn new(seed: u64, count: usize, has_hints: bool) -> Self {
        Self {
            generator: Generator(!seed),
            policies: (0..count)
                .map(|_| BoundedRendezvous::new(LoadBound::default(), 8192))
                .collect(),
            current: 0,
            hints: has_hints.then(|| SpilledConversations::new(usize::MAX)),
        }
    }
}

impl Policy for MultiInstance {
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>) {
        self.current = self.generator.below(self.policies.len() as u64) as usize;
        self.policies[self.current].order(key, candidates);
    }

    fn record_placement(
        &mut self,
        key: u64,
        upstream: &Upstream,
        home: &Upstream,
    ) -> Option<Upstream> {
        let policy = &mut self.policies[self.current];
        if let Some(hints) = &mut self.hints {
            if let Some(hint) = hints.get(key) {
                policy.record_location(key, hint);
            }
            hints.insert(key, upstream);
        }
        policy.record_placement(key, upstream, home)
    }
}

/// A policy and the options to simulate it with.
struct PolicyCase {
    name: &'static str,
    has_moves: bool,
    policy: fn(u64) -> Box<dyn Policy>,
}

fn bounded(percent: u32, capacity: usize) -> Box<dyn Policy> {
    Box::new(BoundedRendezvous::new(LoadBound::try_from(percent).unwrap(), capacity))
}

const POLICY_CASES: [PolicyCase; 15] = [
    PolicyCase {
        name: "3 inst.",
        has_moves: true,
        policy: |seed| Box::new(MultiInstance::new(seed, 3, false)),
    },
    PolicyCase {
        name: "3 inst., hints",
        has_moves: true,
        policy: |seed| Box::new(MultiInstance::new(seed, 3, true)),
    },
    PolicyCase {
        name: "88 inst.",
        has_moves: true,
        policy: |seed| Box::new(MultiInstance::new(seed, 88, false)),
    },
    PolicyCase {
        name: "88 inst., hints",
        has_moves: true,
        policy: |seed| Box::new(MultiInstance::new(seed, 88, true)),
    },
    PolicyCase { name: "125% moves", has_moves: true, policy: |_| bounded(125, 8192) },
    PolicyCase { name: "150% moves", has_moves: true, policy: |_| bounded(150, 8192) },
    PolicyCase { name: "rendezv. moves", has_moves: true, policy: |_| Box::new(Rendezvous) },
    PolicyCase { name: "bounded 125%", has_moves: false, policy: |_| bounded(125, 8192) },
    PolicyCase { name: "not sticky", has_moves: false, policy: |_| bounded(125, 1) },
    PolicyCase { name: "bounded 150%", has_moves: false, policy: |_| bounded(150, 8192) },
    PolicyCase { name: "bounded 200%", has_moves: false, policy: |_| bounded(200, 8192) },
    PolicyCase { name: "rendezvous", has_moves: false, policy: |_| Box::new(Rendezvous) },
    PolicyCase {
        name: "round-robin",
        has_moves: false,
        policy: |_| Box::new(RoundRobin::default()),
    },
    PolicyCase { name: "random", has_moves: false, policy: |seed| Box::new(Random::new(seed)) },
    PolicyCase { name: "least-load", has_moves: false, policy: |_| Box::new(LeastLoad) },
];

fn print_row(name: &str, case: &PolicyCase, summaries: &[Summary], value: fn(&Summary) -> f64) {
    let mut values: Vec<f64> = summaries.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let policy = case.name;
    println!("{name:<24}{policy:<16}{:>8.3}{:>8.3}{:>8.3}", values[0], values[2], values[4]);
}

fn main() {
    for count in [10, 24, 60] {
        println!("\n{count} upstreams, one leaves and returns; minimum, median, maximum");
        for case in &POLICY_CASES {
            let run = |seed| {
                Simulation::new(count, seed, case.has_moves).run((case.policy)(seed).as_mut())
            };
            let summaries: Vec<Summary> = (1..=SEEDS).map(run).collect();
            print_row("context reused", case, &summaries, |summary| summary.reuse);
            print_row("ms computing and moving", case, &summaries, |summary| 1000.0 * summary.cost);
            print_row("moves per 100 requests", case, &summaries, |summary| summary.moves);
            print_row("share of moves wasted", case, &summaries, |summary| summary.wasted);
            print_row("load max/mean, worst", case, &summaries, |summary| summary.max_ratio);
            print_row("load max/mean, mean", case, &summaries, |summary| summary.mean_ratio);
            print_row("share above the bound", case, &summaries, |summary| summary.above_bound);
        }
    }
}
