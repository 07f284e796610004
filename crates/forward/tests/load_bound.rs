//! Instances that know each other's load only from the reports of engines overload an engine.
//!
//! The engines start with empty caches, so that no response, and with it no load report, arrives
//! for seconds, while most requests share a few contexts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{Affinity, Candidate, LoadEstimate, NamedLimit, Policy, Report, RoutingKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENGINES: usize = 9;

/// Share of the requests that each entry instance gets. Load balancers distribute unevenly.
const REQUEST_SHARES: [f64; 6] = [0.3, 0.2, 0.05, 0.25, 0.15, 0.05];

const STEP: Duration = Duration::from_millis(5);

/// Returns whether an engine has more than twice the mean and three requests.
fn is_above_bound(held: usize, mean: f64) -> bool {
    held as f64 > 2.0 * mean + 3.0
}

struct RunningRequest {
    engine: usize,
    instance: usize,
    first_event: Instant,
    end: Instant,
    has_reported: bool,
}

struct Simulation {
    now: Instant,
    random: Pcg64Mcg,
    /// Indexed by instance and engine.
    estimates: Vec<Vec<LoadEstimate>>,
    requests: Vec<RunningRequest>,
    /// When each engine finishes the prefill of the prompts sent to it.
    prefilled_at: Vec<Instant>,
    /// Contexts that each engine has prefilled.
    cached: Vec<Vec<u64>>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
            estimates: vec![vec![LoadEstimate::default(); ENGINES]; REQUEST_SHARES.len()],
            requests: Vec::new(),
            prefilled_at: vec![now; ENGINES],
            cached: vec![Vec::new(); ENGINES],
        }
    }

    fn held(&self, engine: usize) -> usize {
        self.requests.iter().filter(|request| request.engine == engine).count()
    }

    fn advance(&mut self) {
        self.now += STEP;
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            if !request.has_reported && request.first_event <= self.now {
                let (engine, instance) = (request.engine, request.instance);
                let running = u32::try_from(self.held(engine)).unwrap();
                self.requests[index].has_reported = true;
                let report = Report { running, waiting: 0, slots: 128, pace: None };
                self.estimates[instance][engine].report(self.now, report);
            }
        }
        let now = self.now;
        for request in self.requests.extract_if(.., |request| request.end <= now) {
            self.estimates[request.instance][request.engine].end();
        }
    }

    fn random_instance(&mut self) -> usize {
        let mut draw: f64 = self.random.random_range(0.0..1.0);
        for (index, share) in REQUEST_SHARES.iter().enumerate() {
            if draw < *share {
                return index;
            }
            draw -= share;
        }
        0
    }

    /// Sends one request. Returns whether the engine was above the bound already.
    fn send(&mut self, policy: &Affinity, context: u64) -> bool {
        let instance = self.random_instance();
        let instances = u32::try_from(REQUEST_SHARES.len()).unwrap();
        let prior = forward::mean_load(self.estimates[instance].iter(), self.now);
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|engine| {
                let estimate = &self.estimates[instance][engine];
                Candidate {
                    upstream: format!("engine-{engine}").parse().unwrap(),
                    is_local: true,
                    load: estimate.load(self.now, instances, prior),
                    slots: 128,
                    backlog: estimate.backlog(),
                    slow_start_share: 1.0,
                    is_unresponsive: false,
                    limit: NamedLimit::None,
                    is_avoided: false,
                    cost: None,
                }
            })
            .collect();
        let routing_key = RoutingKey { affinity_key: Some(context), random: self.random.random() };
        let engine = policy.choose(&candidates, routing_key).unwrap();
        let mean = self.requests.len() as f64 / ENGINES as f64;
        let is_above_bound = is_above_bound(self.held(engine), mean);
        self.estimates[instance][engine].begin(0.0);
        let prefill = match self.cached[engine].contains(&context) {
            true => Duration::from_millis(12),
            false => Duration::from_millis(110),
        };
        self.cached[engine].push(context);
        self.prefilled_at[engine] = self.prefilled_at[engine].max(self.now) + prefill;
        let first_event = self.prefilled_at[engine] + Duration::from_millis(50);
        let end = first_event + Duration::from_millis(self.random.random_range(200..2500));
        self.requests.push(RunningRequest {
            engine,
            instance,
            first_event,
            end,
            has_reported: false,
        });
        is_above_bound
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
fn few_requests_reach_an_engine_with_twice_the_mean_load(seed: u64) {
    let policy = Affinity::new(2.0, REQUEST_SHARES.len());
    let mut simulation = Simulation::new(seed);
    let mut sent_requests = Vec::new();
    for step in 0..2000 {
        simulation.advance();
        // A burst from the second to the sixth second doubles the load.
        let rate = if (400..1200).contains(&step) { 0.9 } else { 0.45 };
        if simulation.random.random_bool(rate) {
            let context = match simulation.random.random_bool(0.3) {
                true => 3,
                false => simulation.random.random_range(0..60),
            };
            sent_requests.push((simulation.now, simulation.send(&policy, context)));
        }
    }
    for (from, _) in &sent_requests {
        let span = sent_requests
            .iter()
            .filter(|(at, _)| at >= from && *at < *from + 5 * Duration::from_secs(1));
        let (sent, above_bound) = span.fold((0, 0), |(sent, above_bound), (_, is_above_bound)| {
            (sent + 1, above_bound + usize::from(*is_above_bound))
        });
        assert!(
            above_bound < 20 || above_bound * 100 <= 3 * sent,
            "{above_bound} of {sent} requests reached an engine above the bound"
        );
    }
}
