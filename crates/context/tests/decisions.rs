//! Decisions on whether to move context.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use context::{Costs, Decision, MoveConditions, MoveLimits, Reason};
use proptest::prelude::*;
use test_case::test_case;

/// Number of cases per property.
const CASES: u32 = 512;

fn limits() -> MoveLimits {
    MoveLimits { max_moves: 4, max_duration: Duration::from_millis(300), max_bytes: 1 << 20 }
}

/// Returns costs of 8,000 tokens per second to compute, and 16 MiB per second, 2 ms per call and
/// 64 bytes per token to move.
fn costs() -> Costs {
    Costs::new(8000, 16 << 20, Duration::from_millis(2), 64)
}

#[test_case(4000, 0, 30_000, None; "long context")]
#[test_case(20, 0, 30_000, Some(Reason::Cheap); "short context")]
#[test_case(20_000, 0, 30_000, Some(Reason::Large); "huge context")]
#[test_case(4000, 4, 30_000, Some(Reason::Busy); "as many moves as allowed")]
#[test_case(4000, 0, 40, Some(Reason::Late); "deadline is near")]
#[test_case(4000, 0, 0, Some(Reason::Late); "deadline has passed")]
fn move_is_rejected_exactly_when_a_limit_applies(
    tokens: u64,
    moves: usize,
    remaining_millis: u64,
    expected: Option<Reason>,
) {
    let now = Instant::now();
    let deadline = now + Duration::from_millis(remaining_millis);
    let decision = costs().decide(&limits(), &MoveConditions { now, deadline, tokens, moves });
    match expected {
        Some(reason) => assert_eq!(decision, Decision::Recompute(reason)),
        None => assert!(matches!(decision, Decision::Move { .. }), "{decision:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// A move takes less time than computing the context, stays within all limits, and ends within
    /// a quarter of the time until the deadline.
    #[test]
    fn move_is_cheaper_and_within_limits(
        recompute in 1..1_000_000_u64,
        transfer in 1..u64::MAX,
        round_trip in 0..100_u64,
        token in 0..100_000_u64,
        tokens in any::<u64>(),
        remaining_millis in 0..100_000_u64,
        moves in 0..8_usize,
    ) {
        let now = Instant::now();
        let costs = Costs::new(recompute, transfer, Duration::from_millis(round_trip), token);
        let remaining = Duration::from_millis(remaining_millis);
        let conditions = MoveConditions { now, deadline: now + remaining, tokens, moves };
        if let Decision::Move { until } = costs.decide(&limits(), &conditions) {
            prop_assert!(costs.move_time(tokens) < costs.recompute_time(tokens));
            prop_assert!(moves < limits().max_moves);
            prop_assert!(costs.expected_bytes(tokens) <= limits().max_bytes as u64);
            prop_assert!(until > now && until <= now + limits().max_duration);
            prop_assert!(until <= now + remaining / 4);
            prop_assert!(until <= now + costs.recompute_time(tokens));
        }
    }

    /// The average size of a token converges to the observed size from any initial estimate.
    #[test]
    fn token_size_converges_to_observed_size(initial in 1..100_000_u64, size in 1..100_000_u64) {
        let mut costs = Costs::new(8000, 1 << 30, Duration::ZERO, initial);
        for _ in 0..200 {
            costs.record_move(100, (size * 100) as usize);
        }
        let average = costs.expected_bytes(1000);
        prop_assert!(average.abs_diff(size * 1000) <= 1000 + size * 10, "{average} for {size}");
    }
}
