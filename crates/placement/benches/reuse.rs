//! Trial of placement policies in model time: reuse of context and skew of load through churn.
//!
//! Every policy knows the load as owners of upstreams know it, or as it was reported two seconds
//! ago. Context is moved where that costs less than computing it. Prints a table for seeds 1 to 5.
//! It measures decisions, not speed.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::VecDeque;

use names::Upstream;
use placement::{
    Bound, Bounded, Candidate, Knowledge, LeastLoad, Policy, Random, Rendezvous, RoundRobin,
    Spills, home,
};

const SEEDS: u64 = 5;
const SLOTS: u32 = 8;

/// Conversations that each upstream caches.
const CACHED: usize = 60;

/// Conversations under way for each upstream.
const CONVERSATIONS: u64 = 40;

/// Turns of a conversation.
const TURNS: u64 = 10;

/// Seconds of service of a request.
const SERVICE: f64 = 1.0;

/// Mean load of the slots.
const LOAD: f64 = 0.6;

/// Seconds of a run; one upstream is away in the middle third.
const END: f64 = 240.0;

/// Seconds in which an engine computes the context of one turn: 200 tokens at 8,000 a second.
const RECOMPUTE: f64 = 0.025;

/// Seconds that moving one turn takes: 200 tokens of 64 bytes, twice at 256 MiB a second.
const TRANSFER: f64 = 0.000_1;

/// Seconds that the two calls of a move take without any content.
const ROUND_TRIPS: f64 = 0.004;

/// Seconds by which reports of load lag.
const LAG: f64 = 2.0;

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

/// An upstream with the ends of its requests and the turns that it has cached.
#[derive(Default)]
struct Engine {
    ends: Vec<f64>,
    /// Conversation and cached turns, the most recently used last.
    cached: VecDeque<(u64, u64)>,
    reported: VecDeque<(f64, u32)>,
}

impl Engine {
    fn in_flight(&self) -> u32 {
        self.ends.len() as u32
    }

    /// What it reported `LAG` seconds ago.
    fn report(&mut self, now: f64) -> u32 {
        self.reported.push_back((now, self.in_flight()));
        while self.reported.get(1).is_some_and(|(at, _)| *at <= now - LAG) {
            self.reported.pop_front();
        }
        self.reported.front().map_or(0, |(_, load)| *load)
    }

    /// Turns of the conversation that it has cached.
    fn turns(&self, conversation: u64) -> u64 {
        let found = self.cached.iter().find(|(cached, _)| *cached == conversation);
        found.map_or(0, |(_, turns)| *turns)
    }

    /// Takes a request and gives the turns found in its cache.
    fn take(&mut self, now: f64, conversation: u64, turn: u64) -> u64 {
        self.ends.push(now + SERVICE);
        let index = self.cached.iter().position(|(cached, _)| *cached == conversation);
        let found = index.and_then(|index| self.cached.remove(index)).map_or(0, |(_, turns)| turns);
        self.cached.push_back((conversation, turn + 1));
        if self.cached.len() > CACHED {
            self.cached.pop_front();
        }
        found.min(turn)
    }
}

#[derive(Default)]
struct Result {
    reuse: f64,
    worst: f64,
    mean: f64,
    above_bound: f64,
    /// Moves for 100 requests, those that found nothing among them.
    moves: f64,
    /// Of these, moves that found nothing.
    vain: f64,
    /// Seconds of computing context for each request, moves included.
    cost: f64,
}

struct Trial {
    has_moves: bool,
    moves: u64,
    vain: u64,
    cost: f64,
    generator: Generator,
    engines: Vec<Engine>,
    conversations: Vec<(u64, u64)>,
    next: u64,
    cached: u64,
    asked: u64,
    samples: Vec<(f64, bool)>,
}

impl Trial {
    fn new(count: usize, seed: u64, has_moves: bool) -> Self {
        let mut trial = Self {
            has_moves,
            moves: 0,
            vain: 0,
            cost: 0.0,
            generator: Generator(seed),
            engines: (0..count).map(|_| Engine::default()).collect(),
            conversations: Vec::new(),
            next: seed << 32,
            cached: 0,
            asked: 0,
            samples: Vec::new(),
        };
        for _ in 0..CONVERSATIONS * count as u64 {
            let turn = trial.generator.below(TURNS);
            trial.next += 1;
            trial.conversations.push((trial.next, turn));
        }
        trial
    }

    fn run(mut self, policy: &mut dyn Policy) -> Result {
        let rate = LOAD * f64::from(SLOTS) * self.engines.len() as f64 / SERVICE;
        let mut now = 0.0;
        while now < END {
            now += -self.generator.uniform().ln() / rate;
            let is_away = now > END / 3.0 && now < END * 2.0 / 3.0;
            if is_away {
                self.engines[0] = Engine::default();
            }
            for engine in &mut self.engines {
                engine.ends.retain(|end| *end > now);
            }
            self.place(policy, now, is_away);
        }
        self.result()
    }

    fn place(&mut self, policy: &mut dyn Policy, now: f64, is_away: bool) {
        let index = self.generator.below(self.conversations.len() as u64) as usize;
        let (conversation, turn) = self.conversations[index];
        let reported: Vec<u32> = self.engines.iter_mut().map(|engine| engine.report(now)).collect();
        let is_reported = policy.knowledge() == Knowledge::Reported;
        let mut candidates: Vec<Candidate> = (usize::from(is_away)..self.engines.len())
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
        let number =
            |candidate: &Candidate| candidate.upstream.as_str()[7..].parse::<usize>().unwrap();
        // An owner gives no more permits than its upstream has slots.
        let has_room = |candidate: &&Candidate| self.engines[number(candidate)].in_flight() < SLOTS;
        let Some(chosen) = candidates.iter().find(has_room) else {
            return;
        };
        let key = conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let home = home(key, candidates.iter().map(|candidate| &candidate.upstream)).unwrap();
        let holder = policy.placed(key, &chosen.upstream, home);
        let engine = number(chosen);
        let holder = holder.map(|holder| holder.as_str()[7..].parse::<usize>().unwrap());
        if let Some(holder) = holder.filter(|holder| *holder != engine && turn > 0) {
            self.move_context(now, holder, engine, conversation, turn);
        }
        let found = self.engines[engine].take(now, conversation, turn);
        if now > END / 6.0 {
            self.cached += found;
            self.asked += turn;
            self.cost += (turn - found) as f64 * RECOMPUTE;
            self.sample(usize::from(is_away));
        }
        self.conversations[index].1 += 1;
        if self.conversations[index].1 >= TURNS {
            self.next += 1;
            self.conversations[index] = (self.next, 0);
        }
    }

    /// Moves what the engine `from` has of the conversation, unless computing it costs no more.
    fn move_context(&mut self, now: f64, from: usize, to: usize, conversation: u64, turn: u64) {
        let is_cheap = turn as f64 * RECOMPUTE <= ROUND_TRIPS + turn as f64 * TRANSFER;
        if !self.has_moves || is_cheap {
            return;
        }
        let turns = self.engines[from].turns(conversation).min(turn);
        let known = self.engines[to].turns(conversation);
        if turns > known {
            self.engines[to].cached.retain(|(cached, _)| *cached != conversation);
            self.engines[to].cached.push_back((conversation, turns));
        }
        if now > END / 6.0 {
            self.moves += 1;
            self.vain += u64::from(turns <= known);
            self.cost += ROUND_TRIPS + turns as f64 * TRANSFER;
        }
    }

    fn sample(&mut self, first: usize) {
        let loads = self.engines[first..].iter().map(Engine::in_flight);
        let mean = f64::from(loads.clone().sum::<u32>()) / (self.engines.len() - first) as f64;
        let most = f64::from(loads.max().unwrap_or_default());
        self.samples.push((most / mean.max(1.0), most > (1.25 * mean).ceil()));
    }

    fn result(self) -> Result {
        let count = self.samples.len() as f64;
        Result {
            reuse: self.cached as f64 / self.asked as f64,
            worst: self.samples.iter().map(|(ratio, _)| *ratio).fold(0.0, f64::max),
            mean: self.samples.iter().map(|(ratio, _)| *ratio).sum::<f64>() / count,
            moves: 100.0 * self.moves as f64 / count,
            vain: self.vain as f64 / self.moves.max(1) as f64,
            cost: self.cost / count,
            above_bound: self.samples.iter().filter(|(_, above)| *above).count() as f64 / count,
        }
    }
}

/// Entry instances that requests reach at random, each with a policy of its own.
struct Entries {
    generator: Generator,
    policies: Vec<Bounded>,
    current: usize,
    /// Where spilled conversations are, as an owner of their home would know.
    hints: Option<Spills>,
}

impl Entries {
    fn new(seed: u64, count: usize, has_hints: bool) -> Self {
        Self {
            generator: Generator(!seed),
            policies: (0..count).map(|_| Bounded::new(Bound::default(), 8192)).collect(),
            current: 0,
            hints: has_hints.then(|| Spills::new(usize::MAX)),
        }
    }
}

impl Policy for Entries {
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>) {
        self.current = self.generator.below(self.policies.len() as u64) as usize;
        self.policies[self.current].order(key, candidates);
    }

    fn placed(&mut self, key: u64, upstream: &Upstream, home: &Upstream) -> Option<Upstream> {
        let policy = &mut self.policies[self.current];
        if let Some(hints) = &mut self.hints {
            if let Some(hint) = hints.get(key) {
                policy.learn(key, hint);
            }
            hints.insert(key, upstream);
        }
        policy.placed(key, upstream, home)
    }
}

/// A policy under trial.
struct Subject {
    name: &'static str,
    has_moves: bool,
    policy: fn(u64) -> Box<dyn Policy>,
}

fn bounded(percent: u32, spills: usize) -> Box<dyn Policy> {
    Box::new(Bounded::new(Bound::try_from(percent).unwrap(), spills))
}

const SUBJECTS: [Subject; 15] = [
    Subject {
        name: "3 inst.",
        has_moves: true,
        policy: |seed| Box::new(Entries::new(seed, 3, false)),
    },
    Subject {
        name: "3 inst., hints",
        has_moves: true,
        policy: |seed| Box::new(Entries::new(seed, 3, true)),
    },
    Subject {
        name: "88 inst.",
        has_moves: true,
        policy: |seed| Box::new(Entries::new(seed, 88, false)),
    },
    Subject {
        name: "88 inst., hints",
        has_moves: true,
        policy: |seed| Box::new(Entries::new(seed, 88, true)),
    },
    Subject { name: "125% moves", has_moves: true, policy: |_| bounded(125, 8192) },
    Subject { name: "150% moves", has_moves: true, policy: |_| bounded(150, 8192) },
    Subject { name: "rendezv. moves", has_moves: true, policy: |_| Box::new(Rendezvous) },
    Subject { name: "bounded 125%", has_moves: false, policy: |_| bounded(125, 8192) },
    Subject { name: "not sticky", has_moves: false, policy: |_| bounded(125, 1) },
    Subject { name: "bounded 150%", has_moves: false, policy: |_| bounded(150, 8192) },
    Subject { name: "bounded 200%", has_moves: false, policy: |_| bounded(200, 8192) },
    Subject { name: "rendezvous", has_moves: false, policy: |_| Box::new(Rendezvous) },
    Subject { name: "round-robin", has_moves: false, policy: |_| Box::new(RoundRobin::default()) },
    Subject { name: "random", has_moves: false, policy: |seed| Box::new(Random::new(seed)) },
    Subject { name: "least-load", has_moves: false, policy: |_| Box::new(LeastLoad) },
];

fn row(name: &str, subject: &Subject, results: &[Result], value: fn(&Result) -> f64) {
    let mut values: Vec<f64> = results.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let policy = subject.name;
    println!("{name:<24}{policy:<16}{:>8.3}{:>8.3}{:>8.3}", values[0], values[2], values[4]);
}

fn main() {
    for count in [10, 24, 60] {
        println!("\n{count} upstreams, one leaves and returns; min, median, max");
        for subject in &SUBJECTS {
            let run = |seed| {
                Trial::new(count, seed, subject.has_moves).run((subject.policy)(seed).as_mut())
            };
            let results: Vec<Result> = (1..=SEEDS).map(run).collect();
            row("context reused", subject, &results, |result| result.reuse);
            row("ms of computing, moving", subject, &results, |result| 1000.0 * result.cost);
            row("moves for 100 requests", subject, &results, |result| result.moves);
            row("part of moves in vain", subject, &results, |result| result.vain);
            row("load max/mean, worst", subject, &results, |result| result.worst);
            row("load max/mean, mean", subject, &results, |result| result.mean);
            row("part above the bound", subject, &results, |result| result.above_bound);
        }
    }
}
