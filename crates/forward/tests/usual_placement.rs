//! Placement changes for services whose upstreams name no pace.
//!
//! The digests are those of the decisions of the code before costs were added, of the same candidates
//! and answers.

#![allow(clippy::unwrap_used)]

use forward::{
    Affinity, Candidate, NamedLimit, Policy, RoutingKey, SearchCandidate, SearchConfig, SearchStep,
    TrackerSearch,
};
use names::Upstream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64;

const ROUNDS: u64 = 20_000;

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn candidate(random: &mut Pcg64Mcg, number: usize) -> Candidate {
    Candidate {
        upstream: upstream(number),
        is_local: random.random_bool(0.4),
        load: random.random_range(0.0..20.0),
        slots: 16,
        backlog: random.random_range(0.0..30_000.0),
        slow_start_share: f64::min(random.random_range(0.5..3.0), 1.0),
        is_unresponsive: random.random_bool(0.1),
        limit: NamedLimit::None,
        is_avoided: random.random_bool(0.05),
        cost: None,
    }
}

#[test_case(4, 15_597_176_479_586_185_968)]
#[test_case(71, 4_002_271_992_938_973_201)]
fn the_usual_choice_of_engines_does_not_change(instances: usize, digest: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let policy = Affinity::new(2.0, instances);
    let mut chosen = Vec::new();
    for _ in 0..ROUNDS {
        let count = random.random_range(1..9);
        let candidates: Vec<Candidate> =
            (0..count).map(|number| candidate(&mut random, number)).collect();
        let affinity_key = random.random_bool(0.9).then(|| random.random());
        let routing_key = RoutingKey { affinity_key, random: random.random() };
        let index = policy.choose(&candidates, routing_key);
        chosen.push(index.map_or(u8::MAX, |index| index as u8));
    }
    assert_eq!(xxh3_64(&chosen), digest);
}

fn search_candidate(random: &mut Pcg64Mcg, number: usize) -> SearchCandidate {
    let limits = [NamedLimit::None, NamedLimit::None, NamedLimit::Recent, NamedLimit::Old];
    SearchCandidate {
        upstream: upstream(number),
        slots: 16,
        estimate: random.random_range(0.0..20.0),
        limit: limits[random.random_range(0..limits.len())],
        cost: None,
    }
}

/// Records a step as bytes.
fn record(steps: &mut Vec<u8>, step: &SearchStep) {
    match step {
        SearchStep::Ask(choices) => {
            choices.iter().for_each(|choice| steps.extend(choice.upstream.as_str().bytes()))
        }
        SearchStep::Send(upstream) => steps.extend(upstream.as_str().to_uppercase().bytes()),
        SearchStep::Wait => steps.push(1),
        SearchStep::NoCapacity => steps.push(2),
    }
}

#[test_case(1, 11_956_405_914_785_259_090)]
#[test_case(2, 6_076_543_110_632_193_308)]
fn the_usual_search_does_not_change(breadth: usize, digest: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    let mut steps = Vec::new();
    let config =
        SearchConfig { breadth, max_upstreams: 2 + breadth, max_utilisation: 1.1, load_bound: 1.5 };
    for _ in 0..ROUNDS {
        let count = random.random_range(0..6);
        let choices = (0..count).map(|number| search_candidate(&mut random, number)).collect();
        let mut search = TrackerSearch::new(config, choices, random.random());
        let mut step = search.start();
        record(&mut steps, &step);
        while let SearchStep::Ask(_) | SearchStep::Wait = step {
            let awaited: Vec<Upstream> = search.awaited().cloned().collect();
            let upstream = awaited[random.random_range(0..awaited.len())].clone();
            let mean = random.random_range(0.1..0.8);
            step = match random.random_range(0..10) {
                0 => search.on_no_answer(&upstream, mean),
                1 => search.on_timeout(mean),
                _ => search.on_count(&upstream, random.random_range(0..20), 1.0, mean),
            };
            record(&mut steps, &step);
        }
    }
    assert_eq!(xxh3_64(&steps), digest);
}
