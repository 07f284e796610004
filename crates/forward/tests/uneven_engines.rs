//! Short urgent prompts wait behind long ones, and engines that are slow for a moment get as much work
//! as others.
//!
//! Each case is simulated with the costs of engines and with the usual rules, which place by context
//! and number of requests. The engines read prompts in chunks between the steps of running requests.

#![allow(clippy::unwrap_used)]

#[path = "support/engines.rs"]
mod engines;
#[path = "support/uneven.rs"]
mod uneven;

use std::time::Duration;

use test_case::test_case;
use uneven::{Fleet, Kind, Plan, Rules, Simulation, Summary};
use xxhash_rust::xxh3::xxh3_64;

fn kind(name: &'static str, rank: u8, shared: f64, own: f64, per_second: f64) -> Kind {
    Kind {
        name,
        rank,
        shared_tokens: shared,
        own_tokens: own,
        contexts: 60,
        events: 40,
        objective: Duration::from_millis(250),
        per_second: [per_second; 2],
    }
}

/// Returns the kinds of callers of the first deployment with demanding load, for 20 of its 140
/// engines.
fn kinds() -> Vec<Kind> {
    let long = kind("long", 2, 10_512.0, 1_300.0, 17.4);
    let short = kind("short", 0, 699.0, 130.0, 21.4);
    let tags = kind("tags", 1, 2_041.0, 360.0, 28.7);
    vec![
        Kind { objective: Duration::from_millis(1500), contexts: 400, ..long },
        short,
        Kind { objective: Duration::from_millis(400), contexts: 120, events: 10, ..tags },
    ]
}

/// Every third engine is permanently slower.
fn lasting_pace(engine: usize, _: Duration) -> f64 {
    if engine.is_multiple_of(3) { 130.0 } else { 100.0 }
}

fn plan(seed: u64, rules: Rules) -> Plan {
    Plan {
        seed,
        instances: 16,
        engines: 20,
        kinds: kinds(),
        duration: Duration::from_secs(33),
        fleet: Fleet::Large { silent: 0.0 },
        rules,
        pace: lasting_pace,
    }
}

/// One of two engines is slow for half a second at a time.
fn changing_pace(engine: usize, now: Duration) -> f64 {
    if engine == 0 && is_slow_half(now) { 250.0 } else { 100.0 }
}

fn is_slow_half(now: Duration) -> bool {
    now.subsec_millis() < 500
}

/// Each engine is slow in 15 of 100 half seconds, as in the second deployment with demanding load.
fn scattered_pace(engine: usize, now: Duration) -> f64 {
    let half_second = (now.as_millis() / 500) as usize;
    let draw = xxh3_64(&[engine, half_second].map(usize::to_le_bytes).concat()) % 100;
    if draw < 15 { 250.0 } else { 100.0 }
}

/// Result of one simulation.
struct Played {
    simulation: Simulation,
    long: Summary,
    short: Summary,
    tags: Summary,
}

impl Played {
    fn new(plan: Plan) -> Self {
        let mut simulation = Simulation::new(plan);
        let mut summaries = simulation.run().into_iter();
        let mut next = || summaries.next().unwrap();
        let (long, short, tags) = (next(), next(), next());
        println!("moved {}, read again {}", simulation.moved, simulation.shared_tokens_read());
        println!("{long:?}\n{short:?}\n{tags:?}");
        Self { simulation, long, short, tags }
    }
}

/// Returns what the kinds get with costs and with the usual rules.
fn compare(plan: impl Fn(Rules) -> Plan) -> (Played, Played) {
    (Played::new(plan(Rules::Costs)), Played::new(plan(Rules::Usual)))
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn short_urgent_prompts_do_not_wait_behind_long_ones(seed: u64) {
    let (costs, usual) = compare(|rules| plan(seed, rules));
    assert_eq!((costs.long.late, costs.short.late), (0.0, 0.0));
    assert!(costs.tags.late <= 0.002, "{:?}", costs.tags);
    assert!(costs.short.p99 <= Duration::from_millis(100), "{:?}", costs.short);
    assert!(costs.short.p99 * 2 < usual.short.p99, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.long.p99 < usual.long.p99 * 11 / 10, "{:?} {:?}", costs.long, usual.long);
    for kind in [costs.long, costs.short, costs.tags] {
        assert_eq!((kind.refused, kind.paused), (0, 0.0), "{}", kind.name);
    }
    let read = |simulation: &Simulation| simulation.shared_tokens_read();
    let ratio = read(&costs.simulation) / read(&usual.simulation);
    assert!(ratio < 1.1, "the engines read {ratio:.2} times as many shared tokens");
    assert!(costs.simulation.sent_above_bound() <= usual.simulation.sent_above_bound());
}

/// Guards against short prompts that wait behind long ones where engines name no pace, although every
/// third engine is slower than the others.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn short_urgent_prompts_do_not_wait_behind_long_ones_without_a_pace(seed: u64) {
    let costs = Played::new(plan(seed, Rules::CostsWithoutPace));
    let usual = Played::new(plan(seed, Rules::Usual));
    assert_eq!((costs.long.late, costs.short.late), (0.0, 0.0));
    assert!(costs.tags.late <= 0.002, "{:?}", costs.tags);
    assert!(costs.short.p99 * 2 < usual.short.p99, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.long.p99 < usual.long.p99 * 11 / 10, "{:?} {:?}", costs.long, usual.long);
    let read = |simulation: &Simulation| simulation.shared_tokens_read();
    let ratio = read(&costs.simulation) / read(&usual.simulation);
    assert!(ratio < 1.1, "the engines read {ratio:.2} times as many shared tokens");
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_flood_of_long_prompts_does_not_delay_urgent_ones(seed: u64) {
    let flood = |rules| {
        let mut plan = plan(seed, rules);
        plan.kinds[0].per_second[1] = 50.0;
        plan
    };
    let (costs, usual) = compare(flood);
    assert!(costs.short.late <= 0.01, "{:?}", costs.short);
    assert!(costs.short.late * 4.0 < usual.short.late, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.tags.late < usual.tags.late, "{:?} {:?}", costs.tags, usual.tags);
    assert!(costs.long.late <= usual.long.late + 0.01, "{:?} {:?}", costs.long, usual.long);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn with_silent_load_trackers_urgent_prompts_are_not_later_than_without_costs(seed: u64) {
    let silent = |rules| Plan { fleet: Fleet::Large { silent: 0.5 }, ..plan(seed, rules) };
    let (costs, usual) = compare(silent);
    assert!(costs.short.late < usual.short.late, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.long.late <= usual.long.late, "{:?} {:?}", costs.long, usual.long);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn in_a_small_fleet_urgent_prompts_leave_engines_with_long_prompts_of_the_same_instance(seed: u64) {
    let small = |rules| Plan { fleet: Fleet::Small, instances: 4, ..plan(seed, rules) };
    let (costs, usual) = compare(small);
    assert!(costs.short.late < usual.short.late, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.long.late <= usual.long.late, "{:?} {:?}", costs.long, usual.long);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn an_engine_that_is_slow_for_half_a_second_gets_less_work_meanwhile(seed: u64) {
    let play = |rules| {
        let kinds = vec![Kind { contexts: 10, ..kind("mid", 0, 2000.0, 1500.0, 30.0) }];
        let plan = plan(seed, rules);
        let mut simulation =
            Simulation::new(Plan { engines: 2, kinds, pace: changing_pace, ..plan });
        let summary = simulation.run().remove(0);
        let share = share_of_slow_engine(&simulation);
        println!("share {share:.3}, moved {}, {summary:?}", simulation.moved);
        (share, summary)
    };
    let ((share, costs), (usual_share, usual)) = (play(Rules::Costs), play(Rules::Usual));
    assert!(share < 0.4 && usual_share > 0.4, "{share:.3} {usual_share:.3}");
    assert!(costs.late * 2.0 < usual.late, "{costs:?} {usual:?}");
}

/// Returns the share of the prompt tokens that the slow one of two engines gets while it is slow.
fn share_of_slow_engine(simulation: &Simulation) -> f64 {
    let sent = simulation.sent.iter().filter(|sent| is_slow_half(sent.at));
    let all: f64 = sent.clone().map(|sent| sent.tokens).sum();
    sent.filter(|sent| sent.engine == 0).map(|sent| sent.tokens).sum::<f64>() / all
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn short_prompts_leave_engines_that_are_slow_at_times(seed: u64) {
    let second = |rules| {
        let mut plan = plan(seed, rules);
        for (kind, per_second) in plan.kinds.iter_mut().zip([18.0, 41.7, 36.3]) {
            kind.per_second = [per_second; 2];
        }
        plan.kinds[0].objective = Duration::from_millis(1000);
        plan.kinds[1].objective = Duration::from_millis(400);
        plan.kinds[2].objective = Duration::from_millis(500);
        plan.pace = scattered_pace;
        plan
    };
    let (costs, usual) = compare(second);
    assert!(costs.short.late <= 0.002, "{:?}", costs.short);
    assert!(costs.short.p99 * 2 < usual.short.p99, "{:?} {:?}", costs.short, usual.short);
    assert!(costs.tags.late <= usual.tags.late, "{:?} {:?}", costs.tags, usual.tags);
    assert!(costs.long.late <= usual.long.late + 0.005, "{:?} {:?}", costs.long, usual.long);
}
