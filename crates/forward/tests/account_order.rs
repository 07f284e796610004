//! Order of client accounts in the queue of an instance.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use forward::{QueuedWork, WaitQueue};
use names::ClientAccount;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn account(name: &str) -> Option<ClientAccount> {
    (!name.is_empty()).then(|| name.parse().unwrap())
}

fn work(rank: u8, name: &str, tokens: u64) -> QueuedWork {
    QueuedWork { rank, account: account(name), tokens }
}

fn queue_of(entries: &[(u8, &str, u64)]) -> WaitQueue<usize> {
    let (mut queue, until) = (WaitQueue::with_shares(), Instant::now() + Duration::from_secs(1));
    for (index, (rank, name, tokens)) in entries.iter().enumerate() {
        queue.push_work(&work(*rank, name, *tokens), until, index);
    }
    queue
}

/// Guards against an account with many requests that goes before others, against one that overtakes a
/// more urgent rank, and against requests of one account that overtake each other.
#[test_case(&[(1, "a", 1), (1, "a", 1), (1, "a", 1), (1, "b", 1)], &[0, 3, 1, 2]; "accounts alternate")]
#[test_case(&[(2, "a", 1), (1, "b", 1), (1, "b", 1)], &[1, 2, 0]; "rank goes first")]
#[test_case(&[(1, "a", 100), (1, "a", 100), (1, "b", 10), (1, "b", 10)], &[0, 2, 3, 1]; "tokens count")]
#[test_case(&[(1, "", 1), (1, "", 1), (1, "b", 1)], &[0, 2, 1]; "requests without an account are one")]
fn the_account_with_the_least_work_goes_first(entries: &[(u8, &str, u64)], expected: &[usize]) {
    assert_eq!(queue_of(entries).items(), expected);
}

/// Guards against an order without shares that depends on accounts.
#[test]
fn without_shares_the_arrival_decides() {
    let (mut queue, until) = (WaitQueue::default(), Instant::now());
    for (index, name) in ["a", "a", "b"].iter().enumerate() {
        queue.push_work(&work(1, name, 1), until, index);
        queue.record_start(&work(1, "a", 100));
    }
    assert_eq!(queue.items(), [0, 1, 2]);
}

/// Guards against work that is forgotten as soon as it started.
#[test]
fn work_that_was_given_while_others_waited_counts() {
    let mut queue = queue_of(&[(1, "b", 1), (1, "a", 1)]);
    assert_eq!(queue.items(), [0, 1]);
    queue.record_start(&work(1, "b", 1));
    assert_eq!(queue.items(), [1, 0]);
}

/// Guards against an account that was idle and then goes before all others for a long time.
#[test]
fn an_idle_account_earns_no_credit() {
    let mut queue = queue_of(&[]);
    for _ in 0..1000 {
        queue.record_start(&work(1, "busy", 1));
    }
    let until = Instant::now();
    for index in 0..6 {
        let name = if index < 3 { "busy" } else { "idle" };
        queue.push_work(&work(1, name, 1), until, index);
    }
    // The account that was busy is behind by one request at most.
    let first_busy = queue.items().iter().position(|index| *index < 3).unwrap();
    assert!(first_busy <= 1, "{:?}", queue.items());
}

proptest! {
    /// Guards against an account with less work that waits while a request of one with more is
    /// started, and against items that are lost or duplicated.
    #[test]
    fn no_account_with_less_work_waits_behind_one_with_more(
        waiting in prop::collection::vec((0..4_usize, 1..20_u64), 1..40),
        starts in prop::collection::vec((0..4_usize, 1..20_u64), 0..40),
    ) {
        let names = ["a", "b", "c", "d"];
        let entries: Vec<(u8, &str, u64)> =
            waiting.iter().map(|(name, tokens)| (1, names[*name], *tokens)).collect();
        let mut queue = queue_of(&entries);
        let mut given: BTreeMap<usize, u64> = BTreeMap::new();
        let has_waiting = |name: usize| waiting.iter().any(|entry| entry.0 == name);
        for (name, tokens) in starts.into_iter().filter(|start| has_waiting(start.0)) {
            queue.record_start(&work(1, names[name], tokens));
            *given.entry(name).or_default() += tokens;
        }
        let items = queue.items();
        let mut sorted = items.clone();
        sorted.sort();
        prop_assert_eq!(sorted, (0..waiting.len()).collect::<Vec<_>>());
        for (position, item) in items.iter().enumerate() {
            let (name, tokens) = waiting[*item];
            let work = given.get(&name).copied().unwrap_or_default();
            for later in &items[position + 1..] {
                let later = waiting[*later].0;
                prop_assert!(given.get(&later).copied().unwrap_or_default() >= work);
            }
            *given.entry(name).or_default() += tokens;
            queue.record_start(&QueuedWork { rank: 1, account: account(names[name]), tokens });
            queue.remove(item);
        }
        prop_assert!(queue.is_empty());
    }
}

/// Requests of an account, and those of them that are served.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    sent: usize,
    served: usize,
}

/// Simulates a small fleet's instance with `places` places at upstreams, whose requests take 60 ms.
/// One of six accounts sends eight times as much as the five others together send.
fn simulate(mut queue: WaitQueue<usize>, load: f64) -> [Outcome; 2] {
    const TICK: Duration = Duration::from_millis(1);
    const TICKS: u32 = 20_000;
    const PLACES: usize = 9;
    const MAX_WAIT: Duration = Duration::from_millis(37);
    let (mut random, begin) = (Pcg64Mcg::seed_from_u64(11), Instant::now());
    let mut ends: Vec<Instant> = Vec::new();
    let mut requests: Vec<QueuedWork> = Vec::new();
    let mut outcomes = [Outcome::default(); 2];
    let is_large = |work: &QueuedWork| usize::from(work.account == account("large"));
    for tick in 0..TICKS {
        let now = begin + TICK * tick;
        ends.retain(|end| *end > now);
        queue.expire(now);
        for source in 0..2 {
            let per_tick = load * if source == 0 { 0.02 } else { 0.16 };
            if random.random::<f64>() >= per_tick {
                continue;
            }
            let small = format!("small-{}", random.random_range(0..5));
            let work = work(1, if source == 0 { &small } else { "large" }, 1);
            outcomes[is_large(&work)].sent += 1;
            queue.push_work(&work, now + MAX_WAIT, requests.len());
            requests.push(work);
        }
        for item in queue.items() {
            if ends.len() >= PLACES {
                break;
            }
            ends.push(now + Duration::from_millis(random.random_range(40..80)));
            queue.record_start(&requests[item]);
            queue.remove(&item);
            outcomes[is_large(&requests[item])].served += 1;
        }
    }
    outcomes
}

/// Guards against small accounts whose requests expire in the queue behind those of a large one.
#[test]
fn small_accounts_are_served_while_a_large_one_floods_a_small_fleet() {
    let part = |outcome: Outcome| outcome.served as f64 / outcome.sent as f64;
    let without = simulate(WaitQueue::default(), 1.2);
    let with = simulate(WaitQueue::with_shares(), 1.2);
    println!("small, large: without {without:?}, with {with:?}");
    assert!(part(with[0]) > 0.99, "{with:?}");
    assert!(part(without[0]) < 0.9, "{without:?}");
    let served = |outcomes: [Outcome; 2]| (outcomes[0].served + outcomes[1].served) as f64;
    assert!(served(with) > 0.98 * served(without));
}

/// Guards against an order that changes what is served while there is no competition.
#[test]
fn nothing_changes_in_a_small_fleet_with_room() {
    let without = simulate(WaitQueue::default(), 0.4);
    let with = simulate(WaitQueue::with_shares(), 0.4);
    for (without, with) in without.iter().zip(&with) {
        assert_eq!((without.sent, without.served), (with.sent, with.served));
    }
}
