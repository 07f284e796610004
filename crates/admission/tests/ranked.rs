//! What the ranked desk holds under any sequence of offers, ends, withdrawals and room changes.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use admission::{Decision, Desk, Offer, Ranked, Ticket, Tokens};
use declare::Rank;
use proptest::prelude::*;
use support::{MILLISECOND, Model, offer, tokens_of};
use test_case::test_case;

/// Cases of each property.
const CASES: u32 = 256;

/// Far enough for no deadline to matter.
const FAR: Duration = Duration::from_secs(100_000);

const RANKS: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Deferrable];

fn model(room: u32, max_waiting: usize) -> Model {
    Model::new(Box::new(Ranked::new(room, max_waiting)), room, max_waiting)
}

#[derive(Debug, Clone)]
enum Action {
    Offer { account: u8, rank: usize, weight: u32, cost: u64, patience: u64 },
    Finish,
    Withdraw(usize),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..12_u8, 0..3_usize, 1..4_u32, 1..200_u64, 1..3000_u64).prop_map(
            |(account, rank, weight, cost, patience)| Action::Offer {
                account, rank, weight, cost, patience,
            },
        ),
        3 => Just(Action::Finish),
        1 => (0..64_usize).prop_map(Action::Withdraw),
        1 => (0..300_u64).prop_map(Action::Advance),
    ]
}

fn apply(model: &mut Model, ticket: u64, action: &Action, shares: &[u32; 3]) -> bool {
    match *action {
        Action::Offer { account, rank, weight, cost, patience } => {
            let deadline = model.now + MILLISECOND * patience as u32;
            let account = format!("account-{account}");
            let offer = offer(ticket, &account, RANKS[rank], cost, deadline);
            model.offer(Offer { weight, least_share_percent: shares[rank], ..offer });
            return true;
        }
        Action::Finish => {
            model.finish_one();
        }
        Action::Withdraw(index) if index < model.waiting.len() => {
            model.withdraw(index);
            return false;
        }
        Action::Withdraw(_) => {}
        Action::Advance(millis) => model.advance(MILLISECOND * millis as u32),
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// The model checks room, order, work conservation, bounds and single final steps.
    #[test]
    fn every_request_gets_one_final_step(
        actions in prop::collection::vec(action(), 1..400),
        shares in [0..30_u32, 0..30_u32, 0..30_u32],
        room in 1..12_u32,
        max_waiting in 1..60_usize,
    ) {
        let mut model = model(room, max_waiting);
        let (mut offered, mut withdrawn) = (0, 0);
        for (ticket, action) in actions.iter().enumerate() {
            let before = model.waiting.len();
            let is_withdrawal = matches!(action, Action::Withdraw(index) if *index < before);
            withdrawn += usize::from(is_withdrawal);
            offered += usize::from(apply(&mut model, ticket as u64, action, &shares));
        }
        while model.finish_one() {}
        prop_assert_eq!(model.waiting.len(), 0);
        prop_assert_eq!(model.started.len() + model.refused.len() + withdrawn, offered);
    }

    /// Without least shares the model checks that no request overtakes a more urgent one.
    #[test]
    fn ranks_are_strict_without_least_shares(
        actions in prop::collection::vec(action(), 1..400),
        room in 1..12_u32,
    ) {
        let mut model = model(room, 1000);
        for (ticket, action) in actions.iter().enumerate() {
            apply(&mut model, ticket as u64, action, &[0; 3]);
        }
        while model.finish_one() {}
    }

    /// In a flood of urgent work a kind is behind its share of what was served by at most one
    /// request that it was served before and its share of one that just started; it is below its
    /// slots only until the next slot is free.
    #[test]
    fn a_flood_leaves_the_least_share(
        share in 1..60_u32,
        room in 1..20_u32,
        costs in prop::collection::vec((1..200_u64, 1..200_u64), 200..300),
    ) {
        let mut model = model(room, 100_000);
        let deadline = model.now + FAR;
        for (index, (urgent, report)) in costs.iter().enumerate() {
            let ticket = 2 * index as u64;
            model.offer(offer(ticket, "flood", Rank::Urgent, *urgent, deadline));
            let slow = offer(ticket + 1, "archive", Rank::Deferrable, *report, deadline);
            model.offer(Offer { least_share_percent: share, ..slow });
        }
        let skipped = model.started.len();
        let slots = (share * room / 100) as usize;
        let largest = 200;
        while model.waiting_of("deferrable") > 0 && model.waiting_of("urgent") > 0 {
            let before = model.running_of("deferrable");
            model.finish_one();
            let after = model.running_of("deferrable");
            prop_assert!(after >= slots.min(before), "{after} of {slots} slots");
            let started = &model.started[skipped..];
            let all = tokens_of(started, |_| true);
            let kept = tokens_of(started, |offer| offer.rank == Rank::Deferrable);
            let least = u64::from(share) * (all - largest.min(all));
            prop_assert!(100 * (kept + largest) >= least, "{kept} of {all}");
        }
    }

    /// Accounts that always wait are served in proportion to their weights: their tokens divided
    /// by weight differ by at most one largest request of each. One that joins later has no claim
    /// on the past.
    #[test]
    fn accounts_share_by_weight(
        weights in prop::collection::vec(1..6_u32, 2..6),
        room in 1..8_u32,
        costs in prop::collection::vec(1..200_u64, 600),
        joins_after in 0..100_usize,
    ) {
        let mut model = model(room, 100_000);
        let deadline = model.now + FAR;
        let mut ticket = 0;
        let mut give = |model: &mut Model, account: usize, count: usize| {
            for cost in costs.iter().take(count) {
                let offer = offer(ticket, &format!("a{account}"), Rank::Normal, *cost, deadline);
                model.offer(Offer { weight: weights[account], ..offer });
                ticket += 1;
            }
        };
        for account in 1..weights.len() {
            give(&mut model, account, 600);
        }
        for _ in 0..joins_after {
            model.finish_one();
        }
        give(&mut model, 0, 600);
        let skipped = model.started.len();
        let largest = 200.0;
        for _ in 0..150 {
            model.finish_one();
            let started = &model.started[skipped..];
            let served = |account: usize| {
                let name = format!("a{account}");
                tokens_of(started, |offer| offer.account.as_str() == name) as f64
                    / f64::from(weights[account])
            };
            for left in 0..weights.len() {
                for right in 0..left {
                    let bound = largest / f64::from(weights[left]) + largest / f64::from(weights[right]);
                    // Counters are whole virtual tokens, 1,024 of them a token.
                    let rounding = 1.0;
                    let gap = (served(left) - served(right)).abs();
                    prop_assert!(gap <= bound + rounding, "gap {gap}, bound {bound}");
                }
            }
        }
    }

    /// When offers stop, nothing dead is left in the queue.
    #[test]
    fn an_overload_that_ends_leaves_no_dead_work(
        offers in prop::collection::vec((1..400_u64, 1..2000_u64, 0..3_usize), 50..300),
        room in 1..4_u32,
    ) {
        let mut model = model(room, 1000);
        for (ticket, (cost, patience, rank)) in offers.iter().enumerate() {
            let deadline = model.now + MILLISECOND * *patience as u32;
            model.offer(offer(ticket as u64, "surge", RANKS[*rank], *cost, deadline));
        }
        model.advance(MILLISECOND * 2000);
        prop_assert_eq!(model.waiting.len(), 0);
    }
}

/// A desk with one slot that knows its pace of a millisecond a token, and has 1,000 tokens running
/// and 500 waiting.
fn busy() -> Model {
    let mut model = model(1, 10);
    let deadline = model.now + FAR;
    for (ticket, rank) in [Rank::Normal, Rank::Urgent].into_iter().cycle().take(8).enumerate() {
        let cost = 50 + 50 * ticket as u64 / 2;
        model.offer(offer(100 + ticket as u64, "first", rank, cost, deadline));
        model.finish_one();
    }
    model.offer(offer(2, "first", Rank::Normal, 1000, deadline));
    model.offer(offer(3, "first", Rank::Normal, 500, deadline));
    model
}

#[test_case(Rank::Normal, 1350, true; "the queue ahead makes it late")]
#[test_case(Rank::Normal, 1450, false; "the queue ahead leaves it time")]
#[test_case(Rank::Urgent, 1150, true; "no slot is free in time")]
#[test_case(Rank::Urgent, 1350, false; "it overtakes the queue")]
fn work_that_would_be_late_is_refused_at_once(rank: Rank, patience: u32, is_refused: bool) {
    let mut model = busy();
    let deadline = model.now + MILLISECOND * patience;
    let late = offer(4, "second", rank, 200, deadline);
    let decision = model.offer(late);
    assert_eq!(matches!(decision, Decision::Refuse { .. }), is_refused, "{decision:?}");
}

#[test]
fn a_refusal_tells_when_the_queue_is_short_enough() {
    let mut model = busy();
    let deadline = model.now + MILLISECOND * 1300;
    // A slot is free in 1,000 ms, its fair turn comes 200 ms later, and it takes 200 ms.
    let decision = model.offer(offer(4, "second", Rank::Normal, 200, deadline));
    let expected = Decision::Refuse { retry_after: MILLISECOND * 100 };
    assert_eq!(decision, expected);
}

#[test]
fn a_full_queue_gives_up_the_least_urgent_of_the_longest_queue() {
    let mut model = model(1, 3);
    let deadline = model.now + FAR;
    model.offer(offer(1, "runs", Rank::Normal, 10, deadline));
    model.offer(offer(2, "large", Rank::Deferrable, 10, deadline));
    model.offer(offer(3, "large", Rank::Deferrable, 10, deadline + MILLISECOND));
    model.offer(offer(4, "small", Rank::Deferrable, 10, deadline + MILLISECOND * 2));
    assert_eq!(model.offer(offer(5, "dispatch", Rank::Urgent, 10, deadline)), Decision::Wait);
    assert_eq!(model.refused.iter().map(|offer| offer.ticket.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn a_full_queue_keeps_places_for_least_shares() {
    let mut model = model(1, 10);
    let deadline = model.now + FAR;
    for ticket in 0..20 {
        model.offer(offer(ticket, "flood", Rank::Urgent, 10, deadline));
    }
    let report = offer(20, "archive", Rank::Deferrable, 10, deadline);
    let decision = model.offer(Offer { least_share_percent: 10, ..report });
    assert_eq!(decision, Decision::Wait);
    assert_eq!(model.waiting_of("deferrable"), 1);
}

/// Service times that hardly grow with the cost, as when prompts are cached, are learnt as such.
#[test]
fn a_long_prompt_is_not_taken_for_long_work() {
    let room = 2;
    let mut desk = Ranked::new(room, 10);
    let mut now = std::time::Instant::now();
    for ticket in 0..20 {
        let deadline = now + FAR;
        desk.offer(now, offer(ticket, "survey", Rank::Urgent, 100 + 80 * ticket, deadline));
        now += MILLISECOND * 400;
        desk.finish(now, Ticket(ticket), Tokens(1));
    }
    for ticket in [100, 101] {
        let deadline = now + FAR;
        desk.offer(now, offer(ticket, "survey", Rank::Urgent, 200, deadline));
    }
    let deadline = now + MILLISECOND * 1500;
    let decision = desk.offer(now, offer(102, "survey", Rank::Urgent, 1600, deadline));
    assert_eq!(decision, Decision::Wait);
}

#[test]
fn an_absurd_cost_is_bounded() {
    let mut model = model(1, 10);
    let deadline = model.now + FAR;
    let absurd = offer(1, "greedy", Rank::Normal, u64::MAX, deadline);
    let absurd = Offer { least_share_percent: 50, ..absurd };
    let now = model.now;
    assert_eq!(model.desk.offer(now, absurd.clone()), Decision::Run);
    assert_eq!(model.desk.offer(now, Offer { ticket: Ticket(2), ..absurd }), Decision::Wait);
    model.desk.finish(now, Ticket(1), Tokens(u64::MAX));
    assert_eq!(model.desk.next(now), [admission::Step::Run(Ticket(2))]);
}
