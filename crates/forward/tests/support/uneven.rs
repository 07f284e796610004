//! Simulation of a fleet whose entry instances place long and short prompts at uneven engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use forward::{
    Affinity, COUNT_REPORT_INTERVAL, CachedContext, Candidate, ContextHolders, EngineCost,
    LoadCounter, LoadEstimate, MeanInFlight, NamedLimit, Pace, PaceEstimate, Policy, PromptSize,
    PromptWork, Report, RoutingKey, SearchCandidate, SearchConfig, SearchStep, TrackerSearch,
    UpstreamWork,
};
use names::{Instance, Upstream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use super::engines::{Engine, Job, SLOTS};

const SEARCH: SearchConfig =
    SearchConfig { breadth: 1, max_upstreams: 3, max_utilisation: 1.1, load_bound: 1.5 };

/// Time between instances, in one direction.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);

/// Time that an instance waits for the answer of a load tracker.
const TRACKER_TIMEOUT: Duration = Duration::from_millis(30);

/// Time for which the answer of a silent load tracker is not awaited.
const SILENT_TIME: Duration = Duration::from_millis(1000);

/// Age of a pace when the answer that names it arrives.
const PACE_AGE: Duration = Duration::from_millis(200);

/// Requests that arrive earlier are not measured, since most contexts are read for the first time.
const WARM_UP: Duration = Duration::from_secs(3);

/// A kind of caller.
#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rank: u8,
    pub shared_tokens: f64,
    pub own_tokens: f64,
    pub contexts: u64,
    pub events: u32,
    pub objective: Duration,
    /// Number of requests per second, before and from the middle of the simulation.
    pub per_second: [f64; 2],
}

/// How requests are placed.
#[derive(Clone, Copy, PartialEq)]
pub enum Rules {
    /// Without costs, as for services whose upstreams name no pace.
    Usual,
    Costs,
    /// With costs, though the engines name no pace.
    CostsWithoutPace,
}

/// How instances learn loads.
#[derive(Clone, Copy, PartialEq)]
pub enum Fleet {
    /// From load trackers, a share of which are silent.
    Large { silent: f64 },
    /// From their own requests and from reports.
    Small,
}

pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub engines: usize,
    pub kinds: Vec<Kind>,
    pub duration: Duration,
    pub fleet: Fleet,
    pub rules: Rules,
    /// Pace of an engine in percent at a time.
    pub pace: fn(usize, Duration) -> f64,
}

enum Event {
    Arrive {
        kind: usize,
    },
    Ask {
        from: usize,
        to: usize,
        request: usize,
        engine: usize,
        number: u64,
        work: UpstreamWork,
    },
    Answer {
        request: usize,
        engine: usize,
        work: UpstreamWork,
        in_flight: u32,
        pace: Option<f64>,
    },
    Timeout {
        request: usize,
        asked: usize,
    },
    Report {
        from: usize,
        to: usize,
        engine: usize,
        number: u64,
        work: UpstreamWork,
        pace: Option<Pace>,
    },
    Step {
        engine: usize,
    },
    Repeat {
        instance: usize,
    },
}

struct Node {
    estimates: Vec<LoadEstimate>,
    prompts: Vec<PromptWork>,
    counter: LoadCounter,
    /// Paces of the engines that the instance tracks.
    paces: Vec<PaceEstimate>,
    mean_in_flight: MeanInFlight,
    holders: ContextHolders,
    silent_until: Vec<Instant>,
    name: Instance,
}

struct Request {
    kind: usize,
    instance: usize,
    context: u64,
    arrived: Duration,
    search: Option<TrackerSearch>,
    asked: usize,
    engine: Option<usize>,
    last_event: Option<Duration>,
    first_event: Option<Duration>,
    longest_pause: Duration,
}

/// What the requests of one kind got.
#[derive(Debug, Clone)]
pub struct Summary {
    pub name: &'static str,
    /// Share of the requests without a first event within the objective.
    pub late: f64,
    /// Time to the first event that 99 of 100 requests do not exceed.
    pub p99: Duration,
    pub refused: usize,
    /// Share of the answers with a pause of more than 300 ms.
    pub paused: f64,
}

/// A request that was sent to an engine.
pub struct Sent {
    pub at: Duration,
    pub engine: usize,
    /// Number of prompt tokens.
    pub tokens: f64,
    /// Whether the engine had more than twice the mean and three requests.
    pub is_above_bound: bool,
}

pub struct Simulation {
    plan: Plan,
    random: Pcg64Mcg,
    begin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: Vec<Option<Event>>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    number: u64,
    /// Number of requests that were placed for their cost.
    pub moved: usize,
    pub sent: Vec<Sent>,
    /// Load trackers that are silent.
    silent: Vec<bool>,
}

fn upstream(engine: usize) -> Upstream {
    format!("engine-{engine}").parse().unwrap()
}

fn engine_index(upstream: &Upstream) -> usize {
    upstream.as_str()["engine-".len()..].parse().unwrap()
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let begin = Instant::now();
        let node = |instance: usize| Node {
            estimates: vec![LoadEstimate::default(); plan.engines],
            prompts: vec![PromptWork::default(); plan.engines],
            counter: LoadCounter::default(),
            paces: vec![PaceEstimate::default(); plan.engines],
            mean_in_flight: MeanInFlight::default(),
            holders: ContextHolders::default(),
            silent_until: vec![begin; plan.instances],
            name: format!("entry-{instance}").parse().unwrap(),
        };
        let silent_share = match plan.fleet {
            Fleet::Large { silent } => silent,
            Fleet::Small => 0.0,
        };
        let silent = (silent_share * plan.instances as f64).round() as usize;
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            begin,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            nodes: (0..plan.instances).map(node).collect(),
            engines: (0..plan.engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            number: 0,
            moved: 0,
            sent: Vec::new(),
            silent: (0..plan.instances).map(|instance| instance < silent).collect(),
            plan,
        };
        for kind in 0..simulation.plan.kinds.len() {
            simulation.schedule_arrivals(kind);
        }
        for instance in 0..simulation.plan.instances {
            let first = COUNT_REPORT_INTERVAL.mul_f64(simulation.random.random_range(0.0..1.0));
            simulation.schedule(first, Event::Repeat { instance });
        }
        simulation
    }

    /// Returns the number of shared tokens that engines read.
    pub fn shared_tokens_read(&self) -> f64 {
        self.engines.iter().map(|engine| engine.shared_tokens_read).sum()
    }

    /// Returns the number of requests that were sent to an engine above the load bound.
    pub fn sent_above_bound(&self) -> usize {
        self.sent.iter().filter(|sent| sent.is_above_bound).count()
    }

    fn schedule_arrivals(&mut self, kind: usize) {
        let mut at = Duration::ZERO;
        while at < self.plan.duration {
            let is_late_half = at >= self.plan.duration / 2;
            let rate = self.plan.kinds[kind].per_second[usize::from(is_late_half)];
            let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / rate);
            self.schedule(at, Event::Arrive { kind });
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.scheduled.len() as u64)));
        self.scheduled.push(Some(event));
    }

    fn instant(&self) -> Instant {
        self.begin + self.now
    }

    fn tracker(&self, engine: usize) -> usize {
        engine * 7 % self.nodes.len()
    }

    fn mean(&self, instance: usize) -> f64 {
        let node = &self.nodes[instance];
        let own: u32 = node.estimates.iter().map(LoadEstimate::own).sum();
        let slots = self.engines.len() as f64 * f64::from(SLOTS);
        node.mean_in_flight.mean().unwrap_or(f64::from(own)) * self.nodes.len() as f64 / slots
    }

    fn work(&self, instance: usize, engine: usize) -> UpstreamWork {
        let node = &self.nodes[instance];
        UpstreamWork {
            requests: node.estimates[engine].own(),
            urgent: node.prompts[engine].urgent(),
            unread_tokens: node.prompts[engine].unread_tokens() as u32,
        }
    }

    fn report(&mut self, instance: usize, engine: usize, pace: Option<Pace>) {
        self.number += 1;
        let (number, work, to) = (self.number, self.work(instance, engine), self.tracker(engine));
        let report = Event::Report { from: instance, to, engine, number, work, pace };
        self.schedule(self.now + MESSAGE_DELAY, report);
    }

    /// Returns the engines in the order of a context.
    fn order(&self, context: u64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.engines.len()).collect();
        order.sort_by_cached_key(|engine| {
            Reverse(xxhash_rust::xxh3::xxh3_64_with_seed(
                upstream(*engine).as_str().as_bytes(),
                context,
            ))
        });
        order
    }

    fn cost(&self, request: usize, engine: usize, home: usize) -> Option<EngineCost> {
        let Request { kind, instance, context, .. } = self.requests[request];
        let (kind, node, now) = (&self.plan.kinds[kind], &self.nodes[instance], self.instant());
        let lowest = self.plan.kinds.iter().map(|kind| kind.rank).max();
        let prompt = PromptSize {
            own_tokens: kind.own_tokens,
            shared_tokens: kind.shared_tokens,
            is_urgent: Some(kind.rank) < lowest,
        };
        let context = match node.holders.prefilled_at(now, context, engine as u32) {
            Some(_) => CachedContext::Held,
            None if engine == home => CachedContext::Expected,
            None => CachedContext::Absent,
        };
        let work = node.prompts[engine].work(now, names::Request(request as u64));
        (self.plan.rules != Rules::Usual).then_some(EngineCost { prompt, context, work })
    }

    fn arrive(&mut self, kind: usize) {
        let instance = self.random.random_range(0..self.nodes.len());
        let contexts = self.plan.kinds[kind].contexts;
        let draw: f64 = self.random.random_range(0.0..1.0);
        // Some contexts are more frequent than others.
        let index = (draw.powf(1.0 / 0.7) * contexts as f64) as u64;
        let context = xxh3_64(&[index, kind as u64].map(u64::to_le_bytes).concat());
        self.requests.push(Request {
            kind,
            instance,
            context,
            arrived: self.now,
            search: None,
            asked: 0,
            engine: None,
            last_event: None,
            first_event: None,
            longest_pause: Duration::ZERO,
        });
        let request = self.requests.len() - 1;
        match self.plan.fleet {
            Fleet::Large { .. } => self.search(request),
            Fleet::Small => self.choose(request),
        }
    }

    fn search(&mut self, request: usize) {
        let order = self.order(self.requests[request].context);
        let choice = |engine: &usize| SearchCandidate {
            upstream: upstream(*engine),
            slots: SLOTS,
            estimate: 4.0,
            limit: NamedLimit::None,
            cost: self.cost(request, *engine, order[0]),
        };
        let choices = order.iter().take(3).map(choice).collect();
        let mut search = TrackerSearch::new(SEARCH, choices, self.random.random());
        let step = search.start();
        self.requests[request].search = Some(search);
        self.apply_step(request, step);
    }

    fn begin(&mut self, request: usize, engine: usize) {
        let home = self.order(self.requests[request].context)[0];
        let cost = self.cost(request, engine, home);
        let node = &mut self.nodes[self.requests[request].instance];
        node.estimates[engine].begin(self.plan.kinds[self.requests[request].kind].own_tokens);
        if let Some(cost) = cost {
            node.prompts[engine].begin(names::Request(request as u64), &cost);
        }
    }

    fn release(&mut self, request: usize, engine: usize) {
        let Request { instance, kind, .. } = self.requests[request];
        let node = &mut self.nodes[instance];
        node.estimates[engine].end();
        node.estimates[engine].remove_backlog(self.plan.kinds[kind].own_tokens);
        node.prompts[engine].end(names::Request(request as u64));
    }

    fn apply_step(&mut self, request: usize, step: SearchStep) {
        let instance = self.requests[request].instance;
        let (now, mean) = (self.instant(), self.mean(instance));
        match step {
            SearchStep::Ask(choices) => {
                self.requests[request].asked += 1;
                let asked = self.requests[request].asked;
                let mut unanswered = Vec::new();
                for choice in &choices {
                    let engine = engine_index(&choice.upstream);
                    self.begin(request, engine);
                    self.number += 1;
                    let (number, work) = (self.number, self.work(instance, engine));
                    let to = self.tracker(engine);
                    let ask = Event::Ask { from: instance, to, request, engine, number, work };
                    self.schedule(self.now + MESSAGE_DELAY, ask);
                    if now < self.nodes[instance].silent_until[to] {
                        unanswered.push(engine);
                    }
                }
                self.schedule(self.now + TRACKER_TIMEOUT, Event::Timeout { request, asked });
                let mut step = SearchStep::Wait;
                for engine in unanswered {
                    if let Some(search) = &mut self.requests[request].search {
                        step = search.on_no_answer(&upstream(engine), mean);
                    }
                }
                self.apply_step(request, step);
            }
            SearchStep::Wait => {}
            SearchStep::Send(_) | SearchStep::NoCapacity => self.end_search(request, &step),
        }
    }

    fn end_search(&mut self, request: usize, step: &SearchStep) {
        let Some(search) = self.requests[request].search.take() else {
            return;
        };
        let instance = self.requests[request].instance;
        let chosen = match step {
            SearchStep::Send(upstream) => Some(engine_index(upstream)),
            _ => None,
        };
        let asked: Vec<usize> = search.asked().map(engine_index).collect();
        for engine in asked.into_iter().filter(|engine| Some(*engine) != chosen) {
            self.release(request, engine);
            self.report(instance, engine, None);
        }
        self.moved += usize::from(search.is_moved());
        if let Some(engine) = chosen {
            self.send(request, engine);
        }
    }

    /// Chooses an engine as in a small fleet.
    fn choose(&mut self, request: usize) {
        let Request { instance, context, .. } = self.requests[request];
        let home = self.order(context)[0];
        let (node, now) = (&self.nodes[instance], self.instant());
        let instances = self.nodes.len() as u32;
        let prior = forward::mean_load(node.estimates.iter(), now);
        let candidate = |engine: usize| Candidate {
            upstream: upstream(engine),
            is_local: true,
            load: node.estimates[engine].load(now, instances, prior),
            slots: SLOTS,
            backlog: node.estimates[engine].backlog(),
            slow_start_share: 1.0,
            is_unresponsive: false,
            limit: NamedLimit::None,
            is_avoided: false,
            cost: self.cost(request, engine, home),
        };
        let candidates: Vec<Candidate> = (0..self.engines.len()).map(candidate).collect();
        let routing_key = RoutingKey { affinity_key: Some(context), random: request as u64 };
        let policy = Affinity::new(2.0, self.nodes.len());
        if let Some(engine) = policy.choose(&candidates, routing_key) {
            self.begin(request, engine);
            self.send(request, engine);
        }
    }

    fn send(&mut self, request: usize, engine: usize) {
        let Request { kind, context, .. } = self.requests[request];
        let Kind { rank, shared_tokens, own_tokens, events, .. } = self.plan.kinds[kind];
        let held: usize = self.engines.iter().map(Engine::requests).sum();
        let mean = held as f64 / self.engines.len() as f64;
        let is_above_bound = self.engines[engine].requests() as f64 > 2.0 * mean + 3.0;
        let tokens = own_tokens + shared_tokens;
        self.sent.push(Sent { at: self.now, engine, tokens, is_above_bound });
        self.requests[request].engine = Some(engine);
        let events = (f64::from(events) * self.random.random_range(0.3..1.7)).ceil() as u32;
        let job = Job { request, rank, context, shared_tokens, own_tokens, events };
        self.engines[engine].push(job);
        if !self.engines[engine].is_stepping {
            self.begin_step(engine);
        }
    }

    fn begin_step(&mut self, engine: usize) {
        let pace = (self.plan.pace)(engine, self.now);
        if let Some(duration) = self.engines[engine].begin_step(pace) {
            self.schedule(self.now + duration, Event::Step { engine });
        }
    }

    fn end_step(&mut self, engine: usize) {
        let outcome = self.engines[engine].end_step();
        let now = self.instant();
        for request in outcome.progressed {
            let active = &mut self.requests[request];
            match active.last_event {
                Some(last) => active.longest_pause = active.longest_pause.max(self.now - last),
                None => active.first_event = Some(self.now),
            }
            let is_first = active.last_event.replace(self.now).is_none();
            if !is_first {
                continue;
            }
            let Request { instance, kind, context, .. } = self.requests[request];
            let percent = (self.plan.pace)(engine, self.now.saturating_sub(PACE_AGE));
            let names_pace = self.plan.rules != Rules::CostsWithoutPace;
            let pace = names_pace.then(|| Pace::from_percent(percent).unwrap());
            let running = self.engines[engine].requests() as u32;
            let node = &mut self.nodes[instance];
            node.estimates[engine].remove_backlog(self.plan.kinds[kind].own_tokens);
            node.estimates[engine].report(now, Report { running, waiting: 0, slots: SLOTS, pace });
            node.prompts[engine].record_read(names::Request(request as u64));
            if let Some(pace) = pace {
                node.prompts[engine].record_pace(now, pace);
            }
            node.holders.record(now, context, engine as u32);
            self.report(instance, engine, pace);
        }
        for request in outcome.ended {
            self.release(request, engine);
            self.report(self.requests[request].instance, engine, None);
        }
        self.begin_step(engine);
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();
        match event {
            Event::Arrive { kind } => self.arrive(kind),
            Event::Ask { from, to, request, engine, number, work } => {
                if self.silent[to] {
                    return;
                }
                let sender = self.nodes[from].name.clone();
                let node = &mut self.nodes[to];
                node.counter.report(now, &sender, number, engine as u32, work);
                let work = node.counter.work(now, engine as u32);
                let in_flight = node.estimates.iter().map(LoadEstimate::own).sum();
                let pace = node.paces[engine];
                let pace = pace.is_reported().then(|| pace.percent(now));
                let answer = Event::Answer { request, engine, work, in_flight, pace };
                self.schedule(self.now + MESSAGE_DELAY, answer);
            }
            Event::Answer { request, engine, work, in_flight, pace } => {
                let instance = self.requests[request].instance;
                self.nodes[instance].mean_in_flight.sample(in_flight);
                let mean = self.mean(instance);
                if let Some(search) = &mut self.requests[request].search {
                    search.record_work(&upstream(engine), work, pace);
                    let step = search.on_count(&upstream(engine), work.requests, 1.0, mean);
                    self.apply_step(request, step);
                }
            }
            Event::Timeout { request, asked } => {
                let Request { instance, search, asked: last, .. } = &mut self.requests[request];
                let (instance, is_last) = (*instance, *last == asked);
                let Some(search) = search.as_mut().filter(|_| is_last) else {
                    return;
                };
                let awaited: Vec<usize> = search.awaited().map(engine_index).collect();
                for engine in awaited {
                    let tracker = self.tracker(engine);
                    self.nodes[instance].silent_until[tracker] = now + SILENT_TIME;
                }
                let mean = self.mean(instance);
                let search = self.requests[request].search.as_mut();
                let step = search.map_or(SearchStep::Wait, |search| search.on_timeout(mean));
                self.apply_step(request, step);
            }
            Event::Report { from, to, engine, number, work, pace } => {
                let sender = self.nodes[from].name.clone();
                let node = &mut self.nodes[to];
                node.counter.report(now, &sender, number, engine as u32, work);
                if let Some(pace) = pace {
                    node.paces[engine].record(now, pace);
                }
            }
            Event::Step { engine } => self.end_step(engine),
            Event::Repeat { instance } => {
                self.nodes[instance].counter.expire(now);
                for engine in 0..self.engines.len() {
                    if self.nodes[instance].estimates[engine].own() > 0 {
                        self.report(instance, engine, None);
                    }
                }
                self.schedule(self.now + COUNT_REPORT_INTERVAL, Event::Repeat { instance });
            }
        }
    }

    pub fn run(&mut self) -> Vec<Summary> {
        while let Some(Reverse((at, index))) = self.events.pop() {
            if at >= self.plan.duration + Duration::from_secs(5) {
                break;
            }
            self.now = at;
            if let Some(event) = self.scheduled[index as usize].take() {
                self.handle(event);
            }
        }
        (0..self.plan.kinds.len()).map(|kind| self.summary(kind)).collect()
    }

    fn summary(&self, kind: usize) -> Summary {
        let Kind { name, objective, .. } = self.plan.kinds[kind];
        let of_kind = |request: &&Request| request.kind == kind && request.arrived >= WARM_UP;
        let of_kind: Vec<&Request> = self.requests.iter().filter(of_kind).collect();
        let time = |request: &&Request| {
            request.first_event.map_or(Duration::MAX, |first| first - request.arrived)
        };
        let mut times: Vec<Duration> = of_kind.iter().map(time).collect();
        times.sort();
        let (requests, all) = (of_kind.len(), of_kind.len() as f64);
        let late = times.iter().filter(|time| **time > objective).count();
        let is_paused = |request: &&&Request| request.longest_pause > Duration::from_millis(300);
        let paused = of_kind.iter().filter(is_paused).count();
        Summary {
            name,
            late: late as f64 / all,
            p99: times[requests * 99 / 100],
            refused: of_kind.iter().filter(|request| request.engine.is_none()).count(),
            paused: paused as f64 / all,
        }
    }
}
