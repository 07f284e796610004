//! Loads that the policies answer, played without a network.

#![allow(clippy::unwrap_used)]

use forward::{Affinity, Candidate, LeastLoad, Policy, Wish};

const LEAST_LOAD: LeastLoad = LeastLoad { fill: 1.5, distance: 2.0 };

fn candidate(index: usize, load: f64) -> Candidate {
    Candidate {
        upstream: format!("engine-{index}").parse().unwrap(),
        is_near: index.is_multiple_of(3),
        load,
        slots: 64,
        backlog: 0.0,
        warmth: 1.0,
        is_behind: false,
        is_avoided: false,
    }
}

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count).map(|index| candidate(index, 0.0)).collect()
}

fn wish(key: u64, lot: u64) -> Wish {
    Wish { key: Some(key), lot }
}

/// A spread-out sequence of numbers.
fn lot(index: u64) -> u64 {
    index.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index << 17)
}

#[test]
fn a_shared_context_stays_at_one_engine_while_loads_are_even() {
    let candidates = fleet(9);
    for key in 0..40 {
        let first = Affinity::new(2.0, 6).choose(&candidates, wish(key, 0)).unwrap();
        let same = (1..50)
            .all(|lot| Affinity::new(2.0, 6).choose(&candidates, wish(key, lot)) == Some(first));
        assert!(same, "context {key} moved");
    }
}

/// One context takes half of a heavy load; answers `hot_key` days.
#[test]
fn a_hot_context_spills_before_its_engine_has_twice_the_mean() {
    let mut candidates = fleet(9);
    for index in 0..360 {
        let key = if index % 2 == 0 { 7 } else { lot(index) % 40 };
        let chosen = Affinity::new(2.0, 6).choose(&candidates, wish(key, lot(index))).unwrap();
        candidates[chosen].load += 1.0;
        let mean = (index + 1) as f64 / 9.0;
        assert!(candidates[chosen].load <= 2.0 * mean + 3.0, "request {index}");
    }
    let used = candidates.iter().filter(|one| one.load >= 20.0).count();
    assert!(used >= 5, "the hot context was served by few engines");
}

/// Long prompts come faster than one engine reads them; answers bursts of the longest kind.
#[test]
fn an_engine_that_reads_long_prompts_is_passed_over() {
    let mut candidates = fleet(9);
    let first = Affinity::new(2.0, 6).choose(&candidates, wish(3, 0)).unwrap();
    candidates[first].backlog = 30_000.0;
    let second = Affinity::new(2.0, 6).choose(&candidates, wish(3, 0)).unwrap();
    assert_ne!(first, second);
    for other in &mut candidates {
        other.backlog = 30_000.0;
    }
    assert_eq!(Affinity::new(2.0, 6).choose(&candidates, wish(3, 0)), Some(first));
}

/// An engine of a large fleet reads what others sent and answers nothing meanwhile; answers days on
/// which some contexts are much longer than most.
#[test]
fn an_engine_that_is_behind_is_passed_over_while_another_is_not() {
    let mut candidates = fleet(30);
    let first = Affinity::new(2.0, 71).choose(&candidates, wish(3, 0)).unwrap();
    candidates[first].is_behind = true;
    let second = Affinity::new(2.0, 71).choose(&candidates, wish(3, 0)).unwrap();
    assert_ne!(first, second);
    for other in &mut candidates {
        other.is_behind = true;
    }
    assert_eq!(Affinity::new(2.0, 71).choose(&candidates, wish(3, 0)), Some(first));
}

/// Half of the engines were added empty and are asked little yet, and the others are above the bound
/// that these lower; answers days on which many engines are added.
#[test]
fn requests_find_an_engine_while_the_new_ones_lower_the_bound() {
    let mut candidates = fleet(9);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.warmth = if index < 4 { 0.15 } else { 1.0 };
        candidate.load = if index < 4 { 0.0 } else { 40.0 };
    }
    for index in 0..200 {
        let chosen = Affinity::new(2.0, 6).choose(&candidates, wish(lot(index), lot(index + 1)));
        assert!(chosen.is_some(), "request {index} found no engine");
    }
}

#[test]
fn only_the_contexts_of_an_engine_that_leaves_move() {
    let all = fleet(9);
    let mut fewer = all.clone();
    let gone = fewer.remove(4).upstream;
    for key in 0..200 {
        let before = &all[Affinity::new(2.0, 6).choose(&all, wish(key, 0)).unwrap()].upstream;
        let after = &fewer[Affinity::new(2.0, 6).choose(&fewer, wish(key, 0)).unwrap()].upstream;
        assert!(before == after || *before == gone, "context {key} moved without need");
    }
}

#[test]
fn engines_that_failed_lately_are_used_only_when_all_did() {
    let mut candidates = fleet(3);
    candidates[0].is_avoided = true;
    candidates[1].is_avoided = true;
    let choose =
        |candidates: &[Candidate], key| Affinity::new(2.0, 6).choose(candidates, wish(key, 0));
    assert!((0..50).all(|key| choose(&candidates, key) == Some(2)));
    candidates[2].is_avoided = true;
    let used: Vec<usize> = (0..50).filter_map(|key| choose(&candidates, key)).collect();
    assert!((0..3).all(|index| used.contains(&index)));
}

/// All engines have as much as they can hold; answers floods beyond the fleet's capacity.
#[test]
fn a_full_fleet_takes_nothing_more() {
    let candidates: Vec<Candidate> = (0..9).map(|index| candidate(index, 71.0)).collect();
    assert_eq!(Affinity::new(2.0, 6).choose(&candidates, wish(1, 1)), None);
    assert_eq!(Affinity::new(2.0, 6).choose(&[], wish(1, 1)), None);
    assert!(LEAST_LOAD.choose(&candidates, wish(1, 1)).is_some());
}

/// Requests that share nothing stay in their data centre; answers calm days and local bursts.
#[test]
fn plain_requests_leave_their_data_centre_only_for_clearly_less_load() {
    let mut candidates = fleet(3);
    let plain = Wish { key: None, lot: 5 };
    assert_eq!(LEAST_LOAD.choose(&candidates, plain), Some(0));
    candidates[0].load = 2.0;
    assert_eq!(LEAST_LOAD.choose(&candidates, plain), Some(0));
    candidates[0].load = 3.0;
    assert_ne!(LEAST_LOAD.choose(&candidates, plain), Some(0));
}

/// An engine joins a loaded fleet; answers releases and additions of engines.
#[test]
fn a_new_engine_gets_its_contexts_bit_by_bit() {
    let mut candidates = fleet(9);
    let own = |candidates: &[Candidate]| {
        let requests = (0..4000).map(|number| wish(number % 200, lot(number)));
        let chosen = requests.map(|wish| Affinity::new(2.0, 6).choose(candidates, wish).unwrap());
        chosen.filter(|index| *index == 4).count()
    };
    let whole = own(&candidates);
    candidates[4].warmth = forward::warmth(std::time::Duration::ZERO);
    let first = own(&candidates);
    assert!(first * 3 < whole && first > 0, "{first} of {whole}");
    candidates[4].warmth = forward::warmth(std::time::Duration::from_secs(3));
    let later = own(&candidates);
    assert!(later > first && later < whole, "{later} of {whole}");
    candidates[4].warmth = forward::warmth(std::time::Duration::from_secs(6));
    assert_eq!(own(&candidates), whole);
    // Where all are new, none is held back.
    candidates.iter_mut().for_each(|one| one.warmth = 0.15);
    assert_eq!(own(&candidates), whole);
}
