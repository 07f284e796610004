//! Conversations that move when upstreams leave or return, and the load bound.

#![allow(clippy::unwrap_used)]

use placement::{
    BoundedRendezvous, Candidate, LoadBound, Policy, PolicyKind, SpilledConversations, TotalLoad,
    home,
};
use proptest::prelude::*;
use test_case::test_case;

/// Number of cases per property.
const CASES: u32 = 256;

/// Number of conversations in one case.
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

fn first_upstream(policy: &mut dyn Policy, key: u64, candidates: &[Candidate]) -> String {
    let mut ordered = candidates.to_vec();
    policy.order(key, &mut ordered);
    ordered[0].upstream.to_string()
}

fn record_placement(
    policy: &mut dyn Policy,
    key: u64,
    upstream: &str,
    known: &[Candidate],
) -> Option<String> {
    let home = home(key, known.iter().map(|candidate| &candidate.upstream)).unwrap();
    policy.record_placement(key, &upstream.parse().unwrap(), home).map(|holder| holder.to_string())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// Two owners that do not know of each other may each know only a part of the load. They stay
    /// within the bound on the whole load because one of them rounds down.
    #[test]
    fn two_owners_stay_within_the_bound(
        own_load in 0_u64..500,
        other_load in 0_u64..500,
        slots in 1_u32..64,
        upstreams in 1_u64..20,
        percent in 100_u32..300,
    ) {
        let bound = LoadBound::try_from(percent).unwrap();
        let total_load = |in_flight| TotalLoad { in_flight, slots: u64::from(slots) * upstreams };
        let inherited = bound.max_in_flight_rounded_down(total_load(other_load), slots);
        prop_assume!(inherited > 1);
        let both = bound.max_in_flight(total_load(own_load), slots) + inherited;
        prop_assert!(both <= bound.max_in_flight(total_load(own_load + other_load + 1), slots));
    }

    /// When an upstream leaves, only its conversations move, and the same ones move back when it
    /// returns.
    #[test]
    fn only_conversations_of_leaving_upstream_move(
        seed in any::<u64>(),
        count in 2..40_usize,
        leaving in any::<prop::sample::Index>(),
    ) {
        let names: Vec<usize> = (0..count).collect();
        let removed = leaving.index(count);
        let remaining: Vec<usize> = names.iter().copied().filter(|name| *name != removed).collect();
        let (before, after) = (candidates(&names), candidates(&remaining));
        let removed = format!("engine-{removed:03}");
        let mut policy = BoundedRendezvous::new(LoadBound::default(), 10);
        let mut moved = 0_u64;
        for number in 0..KEYS {
            let key = key(seed, number);
            let (old, new) = (
                first_upstream(&mut policy, key, &before),
                first_upstream(&mut policy, key, &after)
            );
            if old == removed {
                moved += 1;
            } else {
                prop_assert_eq!(old, new);
            }
        }
        // The number that moves is within six standard deviations of 1/n of all conversations.
        let share = 1.0 / count as f64;
        let standard_deviation = (KEYS as f64 * share * (1.0 - share)).sqrt();
        prop_assert!(
            (moved as f64 - KEYS as f64 * share).abs() <= 6.0 * standard_deviation,
            "{moved}"
        );
    }

    /// In any sequence of requests that start and end, no upstream exceeds the bound.
    #[test]
    fn first_candidate_is_never_at_the_bound(
        slots in prop::collection::vec(1..20_u32, 1..30),
        steps in prop::collection::vec(
            (any::<u64>(), any::<prop::sample::Index>(), 0..3_u8),
            1..300,
        ),
        percent in 100..200_u32,
    ) {
        let bound = LoadBound::try_from(percent).unwrap();
        let mut policy = BoundedRendezvous::new(bound, 10);
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
            let total = TotalLoad::of(&all);
            let selected = first_upstream(&mut policy, key % 50, &all);
            let candidate =
                all.iter_mut().find(|other| other.upstream.as_str() == selected).unwrap();
            candidate.in_flight += 1;
            prop_assert!(candidate.in_flight <= bound.max_in_flight(total, candidate.slots));
            record_placement(&mut policy, key % 50, &selected, &all);
        }
    }

    /// Every policy returns a permutation of its candidates.
    #[test]
    fn order_loses_no_candidates(
        seed in any::<u64>(),
        count in 0..20_usize,
        policy in 0..5_usize,
    ) {
        let policy_kind = [
            PolicyKind::Bounded,
            PolicyKind::Rendezvous,
            PolicyKind::RoundRobin,
            PolicyKind::Random,
            PolicyKind::LeastLoad,
        ][policy];
        let mut policy = policy_kind.policy(LoadBound::default(), seed);
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
fn spilled_conversation_stays_while_its_copy_is_more_recent() {
    let mut policy = BoundedRendezvous::new(LoadBound::default(), 10);
    let mut all = candidates(&[0, 1, 2, 3]);
    let home = first_upstream(&mut policy, 7, &all);
    let home_index = all.iter().position(|other| other.upstream.as_str() == home).unwrap();
    all[home_index].in_flight = 8;
    let spilled = first_upstream(&mut policy, 7, &all);
    assert_ne!(spilled, home);
    for other_key in 100..200 {
        first_upstream(&mut policy, other_key, &all);
    }
    assert_eq!(record_placement(&mut policy, 7, &spilled, &all), Some(home.clone()));
    all[home_index].in_flight = 0;
    assert_eq!(first_upstream(&mut policy, 7, &all), spilled, "the copy at its home is older");
    let spilled_index = all.iter().position(|other| other.upstream.as_str() == spilled).unwrap();
    all[spilled_index].in_flight = 8;
    assert_eq!(first_upstream(&mut policy, 7, &all), home);
    assert_eq!(record_placement(&mut policy, 7, &home, &all), Some(spilled));
    all[spilled_index].in_flight = 0;
    assert_eq!(
        first_upstream(&mut policy, 7, &all),
        home,
        "the copy at its home is more recent again"
    );
}

#[test_case(PolicyKind::Bounded, true; "bounded")]
#[test_case(PolicyKind::Rendezvous, true; "rendezvous")]
#[test_case(PolicyKind::RoundRobin, false; "round robin does not track conversations")]
fn leaving_home_still_has_the_context(policy_kind: PolicyKind, is_known: bool) {
    let mut policy = policy_kind.policy(LoadBound::default(), 1);
    let all = candidates(&[0, 1, 2, 3]);
    let home = first_upstream(policy.as_mut(), 7, &all);
    let others: Vec<_> =
        all.iter().filter(|other| other.upstream.as_str() != home).cloned().collect();
    let next = first_upstream(policy.as_mut(), 7, &others);
    assert_eq!(record_placement(policy.as_mut(), 7, &next, &all), is_known.then_some(home));
}

#[test]
fn least_recently_updated_spills_are_removed() {
    let mut spilled = SpilledConversations::new(100);
    let upstream = "engine-1".parse().unwrap();
    for key in 0..101 {
        spilled.insert(key, &upstream);
    }
    assert!(spilled.len() <= 100 && spilled.get(0).is_none() && spilled.get(100).is_some());
}

#[test_case("125%", Some(125); "percent sign")]
#[test_case("100", Some(100); "the mean")]
#[test_case("99", None; "below the mean")]
#[test_case("much", None; "not a number")]
fn invalid_bounds_are_rejected(text: &str, expected: Option<u32>) {
    assert_eq!(text.parse::<LoadBound>().ok().map(u32::from), expected);
}

#[test]
fn least_load_compares_load_per_slot() {
    let mut all = candidates(&[0, 1]);
    (all[0].slots, all[0].in_flight) = (2, 1);
    (all[1].slots, all[1].in_flight) = (8, 3);
    let mut policy = PolicyKind::LeastLoad.policy(LoadBound::default(), 1);
    assert_eq!(first_upstream(policy.as_mut(), 1, &all), "engine-001");
}
