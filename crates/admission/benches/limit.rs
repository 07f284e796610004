//! Cost of account limits at the planned scale: time per decision and message traffic per instance.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use admission::limit::{
    AccountKey, Demand, Grants, Limit, LimitCoordinator, Limiter, Report, RequestsPerHour,
};
use divan::Bencher;
use names::Instance;
use units::Rate;

/// Number of active accounts.
const ACCOUNTS: u64 = 5_700;

/// Number of instances in the fleet.
const INSTANCES: u32 = 350;

/// Requests per second to the whole fleet.
const REQUESTS_PER_SECOND: f64 = 5_200.0;

fn key(number: u64) -> AccountKey {
    AccountKey(number.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

fn limits() -> Vec<Limit> {
    (0..ACCOUNTS).map(|number| Limit { account: key(number), rate: Rate::per_second(20) }).collect()
}

fn limiter() -> Limiter {
    let mut limiter = Limiter::new(INSTANCES);
    limiter.set_limits(limits());
    limiter
}

fn main() {
    print_traffic();
    divan::main();
}

/// Prints the number of accounts that one instance reports per second, and to how many
/// coordinators.
fn print_traffic() {
    println!(
        "one instance of {INSTANCES}, {REQUESTS_PER_SECOND} requests/s over {ACCOUNTS} accounts"
    );
    for (name, exponent) in [("even", 1.0), ("few large", 4.0)] {
        let mut limiter = limiter();
        let mut state = 1_u64;
        let mut uniform = || {
            state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
            ((state >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
        };
        let start = Instant::now();
        let (mut demands, mut datagrams) = (0, 0);
        let seconds = 120_u64;
        let mut next_arrival = Duration::ZERO;
        for tick in 0..10 * seconds {
            let now = start + Duration::from_millis(100 * tick);
            while start + next_arrival <= now {
                // A larger exponent gives the first accounts a larger share of the requests.
                let account = (uniform().powf(exponent) * ACCOUNTS as f64) as u64;
                limiter.check(start + next_arrival, key(account));
                let gap = -uniform().ln() * f64::from(INSTANCES) / REQUESTS_PER_SECOND;
                next_arrival += Duration::from_secs_f64(gap);
            }
            let due = limiter.due(now);
            let coordinators: BTreeSet<u64> =
                due.iter().map(|demand| demand.account.0 % u64::from(INSTANCES)).collect();
            demands += due.len();
            datagrams += coordinators.len();
            let grants = due.iter().map(|demand| admission::limit::Grant {
                account: demand.account,
                rate: demand.rate,
            });
            let grants = grants.collect();
            let report = limiter.report(now, due);
            limiter.apply_grants(now, Grants { sequence: report.sequence, grants });
        }
        println!(
            "{name:<10} {:.1} accounts/s in {:.1} datagrams/s, {} accounts tracked",
            demands as f64 / seconds as f64,
            datagrams as f64 / seconds as f64,
            limiter.account_count()
        );
    }
}

/// Checks one request while all accounts are active.
#[divan::bench]
fn pass(bencher: Bencher<'_, '_>) {
    let mut limiter = limiter();
    let now = Instant::now();
    (0..ACCOUNTS).for_each(|number| {
        limiter.check(now, key(number));
    });
    let mut number = 0;
    bencher.bench_local(|| {
        number = (number + 7919) % ACCOUNTS;
        limiter.check(now, key(number))
    });
}

/// Handles one report for an account with requests at all instances.
#[divan::bench]
fn grant(bencher: Bencher<'_, '_>) {
    let mut coordinator = LimitCoordinator::new(INSTANCES, INSTANCES);
    coordinator.set_limits(limits());
    let instances: Vec<Instance> =
        (0..INSTANCES).map(|number| format!("instance-{number}").parse().unwrap()).collect();
    let now = Instant::now();
    let mut sequence = 0_u64;
    bencher.bench_local(|| {
        sequence += 1;
        let rate = RequestsPerHour::from_per_second(0.1);
        let held_sequence = sequence.saturating_sub(u64::from(INSTANCES));
        let demands = vec![Demand { account: key(1), rate, held_sequence }];
        let instance = &instances[sequence as usize % instances.len()];
        coordinator.handle_report(now, instance, Report { sequence, demands })
    });
}
