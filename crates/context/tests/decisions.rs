//! When context is moved.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use context::{Bounds, Costs, Decision, Reason, Situation};
use proptest::prelude::*;
use test_case::test_case;

const CASES: u32 = 512;

fn bounds() -> Bounds {
    Bounds { moves: 4, limit: Duration::from_millis(300), bytes: 1 << 20 }
}

/// 8,000 tokens a second against 16 MiB a second, 2 ms a call and 64 bytes a token.
fn costs() -> Costs {
    Costs::new(8000, 16 << 20, Duration::from_millis(2), 64)
}

#[test_case(4000, 0, 30_000, None; "long context")]
#[test_case(20, 0, 30_000, Some(Reason::Cheap); "short context")]
#[test_case(20_000, 0, 30_000, Some(Reason::Large); "huge context")]
#[test_case(4000, 4, 30_000, Some(Reason::Busy); "as many moves as allowed")]
#[test_case(4000, 0, 40, Some(Reason::Late); "deadline is near")]
#[test_case(4000, 0, 0, Some(Reason::Late); "deadline has passed")]
fn a_move_is_refused_for(tokens: u64, moves: usize, left: u64, refusal: Option<Reason>) {
    let now = Instant::now();
    let deadline = now + Duration::from_millis(left);
    let decision = costs().decide(&bounds(), &Situation { now, deadline, tokens, moves });
    match refusal {
        Some(reason) => assert_eq!(decision, Decision::Recompute(reason)),
        None => assert!(matches!(decision, Decision::Move { .. }), "{decision:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// A move is cheaper than computing, within all bounds, and leaves the request its time.
    #[test]
    fn a_move_is_cheaper_and_bounded(
        recompute in 1..1_000_000_u64,
        transfer in 1..u64::MAX,
        round_trip in 0..100_u64,
        token in 0..100_000_u64,
        tokens in any::<u64>(),
        left in 0..100_000_u64,
        moves in 0..8_usize,
    ) {
        let now = Instant::now();
        let costs = Costs::new(recompute, transfer, Duration::from_millis(round_trip), token);
        let remaining = Duration::from_millis(left);
        let situation = Situation { now, deadline: now + remaining, tokens, moves };
        if let Decision::Move { until } = costs.decide(&bounds(), &situation) {
            prop_assert!(costs.move_time(tokens) < costs.recompute_time(tokens));
            prop_assert!(moves < bounds().moves);
            prop_assert!(costs.bytes(tokens) <= bounds().bytes as u64);
            prop_assert!(until > now && until <= now + bounds().limit);
            prop_assert!(until <= now + remaining / 4);
            prop_assert!(until <= now + costs.recompute_time(tokens));
        }
    }

    /// The mean size of a token comes to what moves tell, whatever it was thought to be.
    #[test]
    fn the_size_of_a_token_is_learnt(first in 1..100_000_u64, size in 1..100_000_u64) {
        let mut costs = Costs::new(8000, 1 << 30, Duration::ZERO, first);
        for _ in 0..200 {
            costs.observe(100, (size * 100) as usize);
        }
        let learnt = costs.bytes(1000);
        prop_assert!(learnt.abs_diff(size * 1000) <= 1000 + size * 10, "{learnt} for {size}");
    }
}
