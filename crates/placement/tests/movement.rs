//! How many conversations move when upstreams come and go, and the bound on load.

#![allow(clippy::unwrap_used)]

use placement::{Bound, Bounded, Candidate, Choice, Policy, Spills, Sum, home};
use proptest::prelude::*;
use test_case::test_case;

const CASES: u32 = 256;

/// Conversations in one case.
const KEYS: u64 = 1000;

fn key(seed: u64, number: u64) -> u64 {
    (seed ^ number).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31).wrapping_mul(0xBF58_476D)
}

fn candidates(names: &[usize]) -> Vec<Candidate> {
    let candidate = |name: &usize| Candidate {
        upstream: format!("engine-{name:03}").parse().unwrap(),
        slots: 1000,
        in_flight: 0,
    };
    names.iter().map(candidate).collect()
}

fn first(policy: &mut dyn Policy, key: u64, candidates: &[Candidate]) -> String {
    let mut ordered = candidates.to_vec();
    policy.order(key, &mut ordered);
    ordered[0].upstream.to_string()
}

fn placed(
    policy: &mut dyn Policy,
    key: u64,
    upstream: &str,
    known: &[Candidate],
) -> Option<String> {
    let home = home(key, known.iter().map(|candidate| &candidate.upstream)).unwrap();
    policy.placed(key, &upstream.parse().unwrap(), home).map(|holder| holder.to_string())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// When an upstream leaves, only its conversations move; when it returns, the same return.
    #[test]
    fn only_the_conversations_of_a_leaving_upstream_move(
        seed in any::<u64>(),
        count in 2..40_usize,
        leaving in any::<prop::sample::Index>(),
    ) {
        let names: Vec<usize> = (0..count).collect();
        let gone = leaving.index(count);
        let left: Vec<usize> = names.iter().copied().filter(|name| *name != gone).collect();
        let (before, after) = (candidates(&names), candidates(&left));
        let gone = format!("engine-{gone:03}");
        let mut policy = Bounded::new(Bound::default(), 10);
        let mut moved = 0_u64;
        for number in 0..KEYS {
            let key = key(seed, number);
            let (old, new) = (first(&mut policy, key, &before), first(&mut policy, key, &after));
            if old == gone {
                moved += 1;
            } else {
                prop_assert_eq!(old, new);
            }
        }
        // A share of 1/n, within six standard deviations.
        let share = 1.0 / count as f64;
        let spread = (KEYS as f64 * share * (1.0 - share)).sqrt();
        prop_assert!((moved as f64 - KEYS as f64 * share).abs() <= 6.0 * spread, "{moved}");
    }

    /// However requests arrive and end, no upstream gets a request that puts it above the bound.
    #[test]
    fn the_first_candidate_is_never_at_the_bound(
        slots in prop::collection::vec(1..20_u32, 1..30),
        steps in prop::collection::vec((any::<u64>(), any::<prop::sample::Index>(), 0..3_u8), 1..300),
        percent in 100..200_u32,
    ) {
        let bound = Bound::try_from(percent).unwrap();
        let mut policy = Bounded::new(bound, 10);
        let names: Vec<usize> = (0..slots.len()).collect();
        let mut all = candidates(&names);
        for (candidate, slots) in all.iter_mut().zip(&slots) {
            candidate.slots = *slots;
        }
        for (key, index, action) in steps {
            if action == 0 {
                let index = index.index(all.len());
                all[index].in_flight = all[index].in_flight.saturating_sub(1);
                continue;
            }
            let sum = Sum::of(&all);
            let chosen = first(&mut policy, key % 50, &all);
            let candidate =
                all.iter_mut().find(|other| other.upstream.as_str() == chosen).unwrap();
            candidate.in_flight += 1;
            prop_assert!(candidate.in_flight <= bound.most(sum, candidate.slots));
            placed(&mut policy, key % 50, &chosen, &all);
        }
    }

    /// Every policy gives back the candidates that it was given.
    #[test]
    fn an_order_loses_no_candidate(seed in any::<u64>(), count in 0..20_usize, policy in 0..5_usize) {
        let choice = [Choice::Bounded, Choice::Rendezvous, Choice::RoundRobin, Choice::Random, Choice::LeastLoad][policy];
        let mut policy = choice.policy(Bound::default(), seed);
        let names: Vec<usize> = (0..count).collect();
        let all = candidates(&names);
        for number in 0..5 {
            let mut ordered = all.clone();
            policy.order(key(seed, number), &mut ordered);
            ordered.sort_by(|left, right| left.upstream.cmp(&right.upstream));
            prop_assert_eq!(&ordered, &all);
        }
    }
}

#[test]
fn a_spilled_conversation_stays_while_its_copy_is_the_fresher() {
    let mut policy = Bounded::new(Bound::default(), 10);
    let mut all = candidates(&[0, 1, 2, 3]);
    let home = first(&mut policy, 7, &all);
    let at_home = all.iter().position(|other| other.upstream.as_str() == home).unwrap();
    all[at_home].in_flight = 8;
    let spilled = first(&mut policy, 7, &all);
    assert_ne!(spilled, home);
    for other in 100..200 {
        first(&mut policy, other, &all);
    }
    assert_eq!(placed(&mut policy, 7, &spilled, &all), Some(home.clone()));
    all[at_home].in_flight = 0;
    assert_eq!(first(&mut policy, 7, &all), spilled, "the copy at its home is the older");
    let at_spilled = all.iter().position(|other| other.upstream.as_str() == spilled).unwrap();
    all[at_spilled].in_flight = 8;
    assert_eq!(first(&mut policy, 7, &all), home);
    assert_eq!(placed(&mut policy, 7, &home, &all), Some(spilled));
    all[at_spilled].in_flight = 0;
    assert_eq!(first(&mut policy, 7, &all), home, "the copy at its home is the fresher again");
}

#[test_case(Choice::Bounded, true; "bounded")]
#[test_case(Choice::Rendezvous, true; "rendezvous")]
#[test_case(Choice::RoundRobin, false; "round robin keeps no conversation where it was")]
fn a_leaving_home_still_has_the_context(choice: Choice, is_known: bool) {
    let mut policy = choice.policy(Bound::default(), 1);
    let all = candidates(&[0, 1, 2, 3]);
    let home = first(policy.as_mut(), 7, &all);
    let others: Vec<_> =
        all.iter().filter(|other| other.upstream.as_str() != home).cloned().collect();
    let next = first(policy.as_mut(), 7, &others);
    assert_eq!(placed(policy.as_mut(), 7, &next, &all), is_known.then_some(home));
}

#[test]
fn spills_forget_the_least_recently_used() {
    let mut spills = Spills::new(100);
    let upstream = "engine-1".parse().unwrap();
    for key in 0..101 {
        spills.insert(key, &upstream);
    }
    assert!(spills.len() <= 100 && spills.get(0).is_none() && spills.get(100).is_some());
}

#[test_case("125%", Some(125); "percent sign")]
#[test_case("100", Some(100); "the mean")]
#[test_case("99", None; "below the mean")]
#[test_case("much", None; "not a number")]
fn bounds_are_checked(text: &str, expected: Option<u32>) {
    assert_eq!(text.parse::<Bound>().ok().map(u32::from), expected);
}

#[test]
fn least_load_compares_by_slots() {
    let mut all = candidates(&[0, 1]);
    (all[0].slots, all[0].in_flight) = (2, 1);
    (all[1].slots, all[1].in_flight) = (8, 3);
    let mut policy = Choice::LeastLoad.policy(Bound::default(), 1);
    assert_eq!(first(policy.as_mut(), 1, &all), "engine-001");
}
