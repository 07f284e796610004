//! Invariants of the ranked queue under any sequence of requests, ends, withdrawals and advances of
//! the clock.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use admission::{AdmissionQueue, AdmissionRequest, Decision, Ranked, RequestId, Tokens};
use declare::Rank;
use proptest::prelude::*;
use support::{MILLISECOND, Model, request, tokens_of};
use test_case::test_case;

/// Number of cases per property.
const CASES: u32 = 256;

/// Time to a deadline that no request misses.
const FAR_DEADLINE: Duration = Duration::from_secs(100_000);

const RANKS: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Deferrable];

fn model(max_running: u32, max_waiting: usize) -> Model {
    Model::new(Box::new(Ranked::new(max_running, max_waiting)), max_running, max_waiting)
}

#[derive(Debug, Clone)]
enum Action {
    Submit { account: u8, rank: usize, weight: u32, cost: u64, deadline_millis: u64 },
    Finish,
    Withdraw(usize),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..12_u8, 0..3_usize, 1..4_u32, 1..200_u64, 1..3000_u64).prop_map(
            |(account, rank, weight, cost, deadline_millis)| Action::Submit {
                account, rank, weight, cost, deadline_millis,
            },
        ),
        3 => Just(Action::Finish),
        1 => (0..64_usize).prop_map(Action::Withdraw),
        1 => (0..300_u64).prop_map(Action::Advance),
    ]
}

fn apply(model: &mut Model, id: u64, action: &Action, shares: &[u32; 3]) -> bool {
    match *action {
        Action::Submit { account, rank, weight, cost, deadline_millis } => {
            let deadline = model.now + MILLISECOND * deadline_millis as u32;
            let account = format!("account-{account}");
            let request = request(id, &account, RANKS[rank], cost, deadline);
            model.submit(AdmissionRequest { weight, least_share_percent: shares[rank], ..request });
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

    /// Each request is started, refused or withdrawn exactly once. The model also checks the
    /// limits, the order, and that no slot is idle while requests wait.
    #[test]
    fn every_request_gets_exactly_one_final_decision(
        actions in prop::collection::vec(action(), 1..400),
        shares in [0..30_u32, 0..30_u32, 0..30_u32],
        max_running in 1..12_u32,
        max_waiting in 1..60_usize,
    ) {
        let mut model = model(max_running, max_waiting);
        let (mut submitted, mut withdrawn) = (0, 0);
        for (id, action) in actions.iter().enumerate() {
            let before = model.waiting.len();
            let is_withdrawal = matches!(action, Action::Withdraw(index) if *index < before);
            withdrawn += usize::from(is_withdrawal);
            submitted += usize::from(apply(&mut model, id as u64, action, &shares));
        }
        while model.finish_one() {}
        prop_assert_eq!(model.waiting.len(), 0);
        prop_assert_eq!(model.started.len() + model.refused.len() + withdrawn, submitted);
    }

    /// Without minimum shares, the model checks that no request overtakes a more urgent one.
    #[test]
    fn ranks_are_strict_without_minimum_shares(
        actions in prop::collection::vec(action(), 1..400),
        max_running in 1..12_u32,
    ) {
        let mut model = model(max_running, 1000);
        for (id, action) in actions.iter().enumerate() {
            apply(&mut model, id as u64, action, &[0; 3]);
        }
        while model.finish_one() {}
    }

    /// Under an overload of urgent work, the tokens served to a kind fall short of its minimum
    /// share by at most the cost of one of its requests that was served before, plus its share of
    /// one request that has just started. The kind has fewer than its reserved slots only until the
    /// next slot is free.
    #[test]
    fn an_overload_leaves_the_minimum_share(
        share in 1..60_u32,
        max_running in 1..20_u32,
        costs in prop::collection::vec((1..200_u64, 1..200_u64), 200..300),
    ) {
        let mut model = model(max_running, 100_000);
        let deadline = model.now + FAR_DEADLINE;
        for (index, (urgent_cost, deferrable_cost)) in costs.iter().enumerate() {
            let id = 2 * index as u64;
            model.submit(request(id, "flood", Rank::Urgent, *urgent_cost, deadline));
            let deferrable =
                request(id + 1, "archive", Rank::Deferrable, *deferrable_cost, deadline);
            model.submit(AdmissionRequest { least_share_percent: share, ..deferrable });
        }
        let started_before = model.started.len();
        let min_slots = (share * max_running / 100) as usize;
        let max_cost = 200;
        while model.waiting_of("deferrable") > 0 && model.waiting_of("urgent") > 0 {
            let before = model.running_of("deferrable");
            model.finish_one();
            let after = model.running_of("deferrable");
            prop_assert!(after >= min_slots.min(before), "{after} of {min_slots} slots");
            let started = &model.started[started_before..];
            let all = tokens_of(started, |_| true);
            let reserved = tokens_of(started, |request| request.rank == Rank::Deferrable);
            let min_share = u64::from(share) * (all - max_cost.min(all));
            prop_assert!(100 * (reserved + max_cost) >= min_share, "{reserved} of {all}");
        }
    }

    /// Accounts that always have waiting requests are served in proportion to their weights: their
    /// tokens divided by weight differ by at most the largest request of each. An account that
    /// joins later is not compensated for the time before.
    #[test]
    fn accounts_are_served_in_proportion_to_their_weights(
        weights in prop::collection::vec(1..6_u32, 2..6),
        max_running in 1..8_u32,
        costs in prop::collection::vec(1..200_u64, 600),
        joins_after in 0..100_usize,
    ) {
        let mut model = model(max_running, 100_000);
        let deadline = model.now + FAR_DEADLINE;
        let mut id = 0;
        let mut submit = |model: &mut Model, account: usize, count: usize| {
            for cost in costs.iter().take(count) {
                let request = request(id, &format!("a{account}"), Rank::Normal, *cost, deadline);
                model.submit(AdmissionRequest { weight: weights[account], ..request });
                id += 1;
            }
        };
        for account in 1..weights.len() {
            submit(&mut model, account, 600);
        }
        for _ in 0..joins_after {
            model.finish_one();
        }
        submit(&mut model, 0, 600);
        let started_before = model.started.len();
        let max_cost = 200.0;
        for _ in 0..150 {
            model.finish_one();
            let started = &model.started[started_before..];
            let served = |account: usize| {
                let name = format!("a{account}");
                tokens_of(started, |request| request.account.as_str() == name) as f64
                    / f64::from(weights[account])
            };
            for left in 0..weights.len() {
                for right in 0..left {
                    let bound = max_cost / f64::from(weights[left])
                        + max_cost / f64::from(weights[right]);
                    // Counters are integers with 1,024 virtual tokens per token.
                    let rounding = 1.0;
                    let gap = (served(left) - served(right)).abs();
                    prop_assert!(gap <= bound + rounding, "gap {gap}, bound {bound}");
                }
            }
        }
    }

    /// After the last request was submitted, no request past its deadline remains in the queue.
    #[test]
    fn no_expired_request_remains_after_an_overload(
        requests in prop::collection::vec((1..400_u64, 1..2000_u64, 0..3_usize), 50..300),
        max_running in 1..4_u32,
    ) {
        let mut model = model(max_running, 1000);
        for (id, (cost, deadline_millis, rank)) in requests.iter().enumerate() {
            let deadline = model.now + MILLISECOND * *deadline_millis as u32;
            model.submit(request(id as u64, "surge", RANKS[*rank], *cost, deadline));
        }
        model.advance(MILLISECOND * 2000);
        prop_assert_eq!(model.waiting.len(), 0);
    }
}

/// Returns a model with one slot and a known service time of one millisecond per token, with 1,000
/// tokens running and 500 waiting.
fn busy_model() -> Model {
    let mut model = model(1, 10);
    let deadline = model.now + FAR_DEADLINE;
    for (id, rank) in [Rank::Normal, Rank::Urgent].into_iter().cycle().take(8).enumerate() {
        let cost = 50 + 50 * id as u64 / 2;
        model.submit(request(100 + id as u64, "first", rank, cost, deadline));
        model.finish_one();
    }
    model.submit(request(2, "first", Rank::Normal, 1000, deadline));
    model.submit(request(3, "first", Rank::Normal, 500, deadline));
    model
}

#[test_case(Rank::Normal, 1350, true; "waiting requests delay it past its deadline")]
#[test_case(Rank::Normal, 1450, false; "waiting requests leave enough time")]
#[test_case(Rank::Urgent, 1150, true; "no slot is free before its deadline")]
#[test_case(Rank::Urgent, 1350, false; "it overtakes the waiting requests")]
fn a_request_that_would_miss_its_deadline_is_refused_immediately(
    rank: Rank,
    deadline_millis: u32,
    is_refused: bool,
) {
    let mut model = busy_model();
    let deadline = model.now + MILLISECOND * deadline_millis;
    let request = request(4, "second", rank, 200, deadline);
    let decision = model.submit(request);
    assert_eq!(matches!(decision, Decision::Refuse { .. }), is_refused, "{decision:?}");
}

#[test]
fn a_refusal_reports_when_a_retry_could_meet_the_deadline() {
    let mut model = busy_model();
    let deadline = model.now + MILLISECOND * 1300;
    // A slot is free in 1,000 ms, the fair turn of the request comes 200 ms later, and the request
    // takes 200 ms.
    let decision = model.submit(request(4, "second", Rank::Normal, 200, deadline));
    let expected = Decision::Refuse { retry_after: MILLISECOND * 100 };
    assert_eq!(decision, expected);
}

#[test]
fn a_full_queue_evicts_the_least_urgent_request_of_the_longest_queue() {
    let mut model = model(1, 3);
    let deadline = model.now + FAR_DEADLINE;
    model.submit(request(1, "runs", Rank::Normal, 10, deadline));
    model.submit(request(2, "large", Rank::Deferrable, 10, deadline));
    model.submit(request(3, "large", Rank::Deferrable, 10, deadline + MILLISECOND));
    model.submit(request(4, "small", Rank::Deferrable, 10, deadline + MILLISECOND * 2));
    assert_eq!(model.submit(request(5, "dispatch", Rank::Urgent, 10, deadline)), Decision::Wait);
    assert_eq!(model.refused.iter().map(|request| request.request_id.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn a_full_queue_reserves_places_for_minimum_shares() {
    let mut model = model(1, 10);
    let deadline = model.now + FAR_DEADLINE;
    for id in 0..20 {
        model.submit(request(id, "flood", Rank::Urgent, 10, deadline));
    }
    let deferrable = request(20, "archive", Rank::Deferrable, 10, deadline);
    let decision = model.submit(AdmissionRequest { least_share_percent: 10, ..deferrable });
    assert_eq!(decision, Decision::Wait);
    assert_eq!(model.waiting_of("deferrable"), 1);
}

/// Service times may hardly grow with the cost, for example when prompts are cached. The estimate
/// must follow the measured times and not the cost.
#[test]
fn a_long_prompt_is_not_assumed_to_take_long() {
    let max_running = 2;
    let mut queue = Ranked::new(max_running, 10);
    let mut now = std::time::Instant::now();
    for id in 0..20 {
        let deadline = now + FAR_DEADLINE;
        queue.submit(now, request(id, "survey", Rank::Urgent, 100 + 80 * id, deadline));
        now += MILLISECOND * 400;
        queue.finish(now, RequestId(id), Tokens(1));
    }
    for id in [100, 101] {
        let deadline = now + FAR_DEADLINE;
        queue.submit(now, request(id, "survey", Rank::Urgent, 200, deadline));
    }
    let deadline = now + MILLISECOND * 1500;
    let decision = queue.submit(now, request(102, "survey", Rank::Urgent, 1600, deadline));
    assert_eq!(decision, Decision::Wait);
}

#[test]
fn the_cost_of_a_request_is_bounded() {
    let mut model = model(1, 10);
    let deadline = model.now + FAR_DEADLINE;
    let oversized = request(1, "greedy", Rank::Normal, u64::MAX, deadline);
    let oversized = AdmissionRequest { least_share_percent: 50, ..oversized };
    let now = model.now;
    assert_eq!(model.queue.submit(now, oversized.clone()), Decision::Run);
    assert_eq!(
        model.queue.submit(now, AdmissionRequest { request_id: RequestId(2), ..oversized }),
        Decision::Wait
    );
    model.queue.finish(now, RequestId(1), Tokens(u64::MAX));
    assert_eq!(model.queue.next_actions(now), [admission::QueueAction::Run(RequestId(2))]);
}
