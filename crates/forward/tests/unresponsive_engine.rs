//! An engine that prefills a long prompt in a large fleet gets too many requests.
//!
//! An engine that has seven requests of seven instances, a usual number, prefills for a second. In
//! that second its contexts are requested 18 or 36 times, from 71 instances. The engine sends no
//! responses meanwhile and therefore reports no load. The case with 36 requests reproduces day
//! scale-1 of the scenario nasr-sky-grown.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{
    Affinity, Candidate, GossipConfig, LoadEstimate, LoadGossip, NamedLimit, Policy, Report,
    RoutingKey,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const INSTANCES: usize = 71;
const ENGINES: usize = 40;
const SLOTS: u32 = 16;

/// Number of requests at each engine at the start.
const USUAL_LOAD: u32 = 7;

/// The engine that prefills a long prompt.
const BUSY_ENGINE: usize = 0;
const PREFILL_DURATION: Duration = Duration::from_secs(1);

/// How long an engine with requests of an instance may send nothing to that instance before the
/// engine counts as unresponsive.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.02;

const STEP: Duration = Duration::from_millis(1);

/// State of one instance.
struct Instance {
    estimates: Vec<LoadEstimate>,
    gossip: LoadGossip,
    /// When the instance sent its oldest unanswered request to the busy engine.
    waiting_since: Option<Instant>,
    next_gossip_at: Instant,
}

impl Instance {
    fn is_engine_unresponsive(&self, now: Instant) -> bool {
        self.waiting_since.is_some_and(|since| now > since + UNRESPONSIVE_TIMEOUT)
    }

    fn candidate(&self, now: Instant, engine: usize) -> Candidate {
        let prior = forward::mean_load(self.estimates.iter(), now);
        let is_reported_unresponsive =
            self.gossip.is_unresponsive(now, u32::try_from(engine).unwrap());
        Candidate {
            upstream: format!("engine-{engine}").parse().unwrap(),
            is_local: true,
            load: self.estimates[engine].load(now, u32::try_from(INSTANCES).unwrap(), prior),
            slots: SLOTS,
            backlog: self.estimates[engine].backlog(),
            slow_start_share: 1.0,
            is_unresponsive: is_reported_unresponsive
                || (engine == BUSY_ENGINE && self.is_engine_unresponsive(now)),
            limit: NamedLimit::None,
            is_avoided: false,
            cost: None,
        }
    }
}

fn instances(random: &mut Pcg64Mcg, begin: Instant) -> Vec<Instance> {
    let report = Report { running: USUAL_LOAD, waiting: 0, slots: SLOTS, pace: None };
    let instance = |number: usize| {
        let mut estimates = vec![LoadEstimate::default(); ENGINES];
        let is_waiting = number < USUAL_LOAD as usize;
        if is_waiting {
            estimates[BUSY_ENGINE].begin(0.0);
        }
        estimates.iter_mut().for_each(|estimate| estimate.report(begin, report));
        Instance {
            estimates,
            gossip: LoadGossip::default(),
            waiting_since: is_waiting.then_some(begin),
            next_gossip_at: begin
                + GossipConfig::new(INSTANCES).period.mul_f64(random.random_range(0.0..1.0)),
        }
    };
    (0..INSTANCES).map(instance).collect()
}

/// Returns the keys of contexts that prefer the busy engine.
fn keys(policy: &Affinity, candidates: &[Candidate]) -> Vec<u64> {
    let preferred =
        |key: &u64| policy.choose(candidates, RoutingKey { affinity_key: Some(*key), random: 0 });
    (0..5000).filter(|key| preferred(key) == Some(BUSY_ENGINE)).collect()
}

#[test_case(1, 18)]
#[test_case(2, 18)]
#[test_case(3, 18)]
#[test_case(4, 18)]
#[test_case(5, 18)]
#[test_case(1, 36)]
#[test_case(2, 36)]
#[test_case(3, 36)]
#[test_case(4, 36)]
#[test_case(5, 36)]
fn an_engine_that_prefills_for_a_second_is_kept_below_the_bound(seed: u64, requests: u32) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let begin = Instant::now();
    let mut fleet = instances(&mut random, begin);
    let (policy, gossip_config) = (Affinity::new(2.0, INSTANCES), GossipConfig::new(INSTANCES));
    let idle = (0..ENGINES).map(|engine| fleet[INSTANCES - 1].candidate(begin, engine));
    let keys = keys(&policy, &idle.collect::<Vec<_>>());
    let (mut now, mut next, mut held) = (begin, begin, USUAL_LOAD);
    while now < begin + PREFILL_DURATION {
        now += STEP;
        for number in 0..INSTANCES {
            if fleet[number].next_gossip_at > now {
                continue;
            }
            fleet[number].next_gossip_at += gossip_config.period;
            if fleet[number].is_engine_unresponsive(now) {
                let others: Vec<usize> = (0..INSTANCES).filter(|other| *other != number).collect();
                for other in others.sample(&mut random, gossip_config.fanout) {
                    if !random.random_bool(LOSS_RATE) {
                        fleet[*other]
                            .gossip
                            .mark_unresponsive(now, u32::try_from(BUSY_ENGINE).unwrap());
                    }
                }
            }
        }
        if now >= next {
            next += PREFILL_DURATION / requests;
            let sender = &mut fleet[random.random_range(0..INSTANCES)];
            let candidates: Vec<Candidate> =
                (0..ENGINES).map(|engine| sender.candidate(now, engine)).collect();
            let key = keys.choose(&mut random).copied();
            let chosen = policy
                .choose(&candidates, RoutingKey { affinity_key: key, random: random.random() });
            if chosen == Some(BUSY_ENGINE) {
                held += 1;
                sender.estimates[BUSY_ENGINE].begin(0.0);
                sender.waiting_since.get_or_insert(now);
            }
        }
    }
    let bound = 2 * USUAL_LOAD + 3;
    assert!(held <= bound, "{held} requests at an engine that may hold {bound}");
}
