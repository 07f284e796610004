//! Account limits across several instances with lost messages and network partitions.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use admission::limit::{
    AccountKey, Demand, Grants, Limit, LimitCoordinator, LimitDecision, Limiter, Message, Report,
    RequestsPerHour,
};
use names::{ClientAccount, Instance};
use proptest::prelude::*;
use units::Rate;

const CASES: u32 = 256;
/// Declared limit of the account, in requests per second.
const LIMIT_PER_SECOND: u64 = 100;
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: usize = 10;

fn account() -> AccountKey {
    AccountKey::from(&"nasr".parse::<ClientAccount>().unwrap())
}

fn limits() -> Vec<Limit> {
    vec![Limit { account: account(), rate: Rate::per_second(LIMIT_PER_SECOND) }]
}

fn instance_name(index: usize) -> Instance {
    format!("instance-{index}").parse().unwrap()
}

/// Instances with one coordinator and a virtual clock that advances in ticks.
struct Fleet {
    now: Instant,
    limiters: Vec<Limiter>,
    coordinator: LimitCoordinator,
    delayed: Vec<(usize, Grants)>,
    admitted: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let total = count as u32;
        let mut coordinator = LimitCoordinator::new(total, total);
        coordinator.set_limits(limits());
        let limiter = || {
            let mut limiter = Limiter::new(total);
            limiter.set_limits(limits());
            limiter
        };
        let limiters = (0..count).map(|_| limiter()).collect();
        Self { now: Instant::now(), limiters, coordinator, delayed: Vec::new(), admitted: 0 }
    }

    fn report(&mut self, index: usize) -> Option<Report> {
        let limiter = &mut self.limiters[index];
        let demands = limiter.due(self.now);
        (!demands.is_empty()).then(|| limiter.report(self.now, demands))
    }

    /// Submits the requests of one tick to each instance, then exchanges reports. `delivery`
    /// decides for each message whether the message is delivered (0), lost (1), or delayed by one
    /// tick (2).
    fn tick(&mut self, arrivals: &[u32], mut delivery: impl FnMut(usize) -> u8) {
        self.now += TICK;
        for (index, grants) in std::mem::take(&mut self.delayed) {
            self.limiters[index].apply_grants(self.now, grants);
        }
        for (index, count) in arrivals.iter().enumerate() {
            for _ in 0..*count {
                let decision = self.limiters[index].check(self.now, account());
                self.admitted += u64::from(decision == LimitDecision::Pass);
            }
        }
        for index in 0..self.limiters.len() {
            let Some(report) = self.report(index) else {
                continue;
            };
            if delivery(index) == 1 {
                continue;
            }
            let grants = self.coordinator.handle_report(self.now, &instance_name(index), report);
            match delivery(index) {
                0 => self.limiters[index].apply_grants(self.now, grants),
                2 => self.delayed.push((index, grants)),
                _ => {}
            }
        }
        self.coordinator.expire(self.now);
    }

    fn rate(&self) -> f64 {
        let rates = self.limiters.iter().map(|limiter| limiter.rate(self.now, account()));
        rates.map(Option::unwrap).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// With any demand and any lost or late messages, the sum of the rates never exceeds the limit,
    /// and the fleet admits at most the limit plus its bursts.
    #[test]
    fn the_sum_of_shares_never_exceeds_the_limit(
        count in 1..9_usize,
        ticks in prop::collection::vec((prop::collection::vec(0..30_u32, 9), 0..u64::MAX), 20..150),
    ) {
        let mut fleet = Fleet::new(count);
        let start = fleet.now;
        for (arrivals, delivery_bits) in &ticks {
            let mut delivery_bits = *delivery_bits;
            fleet.tick(&arrivals[..count], |_| {
                delivery_bits = delivery_bits.rotate_right(3);
                [0, 0, 0, 0, 1, 1, 2, 2][(delivery_bits % 8) as usize]
            });
            prop_assert!(fleet.rate() <= LIMIT_PER_SECOND as f64 + 1e-6, "{}", fleet.rate());
            let elapsed = (fleet.now - start).as_secs_f64();
            let burst = LIMIT_PER_SECOND as f64 + 2.0 * count as f64;
            prop_assert!(fleet.admitted as f64 <= LIMIT_PER_SECOND as f64 * elapsed + burst);
        }
    }

    /// Within five seconds, a steady demand gets nearly the complete limit, regardless of which
    /// instances receive the requests.
    #[test]
    fn shares_follow_demand(
        before in prop::collection::vec(0..30_u32, 6),
        after in prop::collection::vec(0..30_u32, 6),
    ) {
        let mut fleet = Fleet::new(6);
        for _ in 0..5 * TICKS_PER_SECOND {
            fleet.tick(&before, |_| 0);
        }
        for _ in 0..5 * TICKS_PER_SECOND {
            fleet.tick(&after, |_| 0);
        }
        let admitted_before = fleet.admitted;
        for _ in 0..5 * TICKS_PER_SECOND {
            fleet.tick(&after, |_| 0);
        }
        let demand: u64 = after.iter().map(|count| u64::from(*count) * 10).sum();
        let rate = (fleet.admitted - admitted_before) as f64 / 5.0;
        prop_assert!(rate >= 0.85 * demand.min(LIMIT_PER_SECOND) as f64, "{rate} of {demand}");
    }
}

#[test]
fn a_partitioned_instance_falls_back_to_its_base_share() {
    let mut fleet = Fleet::new(4);
    for _ in 0..30 {
        fleet.tick(&[20, 0, 0, 0], |_| 0);
    }
    assert!(fleet.rate() > 90.0, "{}", fleet.rate());
    for _ in 0..30 {
        fleet.tick(&[20, 0, 0, 0], |_| 1);
    }
    let partitioned_rate = fleet.limiters[0].rate(fleet.now, account()).unwrap();
    assert!((partitioned_rate - 2.5).abs() < 1e-9, "{partitioned_rate}");
}

#[test]
fn a_partitioned_coordinator_grants_its_fraction_after_earlier_grants_expire() {
    let now = Instant::now();
    let mut coordinator = LimitCoordinator::new(4, 4);
    coordinator.set_limits(limits());
    coordinator.set_reachable(now, 2, 4);
    let mut limiter = Limiter::new(4);
    limiter.set_limits(limits());
    let mut rate = |now| {
        for _ in 0..100 {
            limiter.check(now, account());
        }
        let demands = limiter.due(now);
        let report = limiter.report(now, demands);
        let grants = coordinator.handle_report(now, &instance_name(1), report);
        limiter.apply_grants(now, grants);
        limiter.rate(now, account()).unwrap()
    };
    assert_eq!(rate(now), 2.5);
    let later = rate(now + Duration::from_secs(4));
    assert!((later - 47.5).abs() < 0.01, "{later}");
}

#[test]
fn idle_accounts_are_removed() {
    let mut fleet = Fleet::new(2);
    fleet.tick(&[1, 1], |_| 0);
    assert_eq!((fleet.limiters[0].account_count(), fleet.coordinator.account_count()), (1, 0));
    fleet.tick(&[2, 2], |_| 0);
    assert_eq!((fleet.limiters[0].account_count(), fleet.coordinator.account_count()), (1, 1));
    for _ in 0..60 * TICKS_PER_SECOND {
        fleet.tick(&[0, 0], |_| 0);
    }
    assert_eq!((fleet.limiters[0].account_count(), fleet.coordinator.account_count()), (0, 0));
}

#[test]
fn an_account_needs_few_bytes_in_messages() {
    let demand = |number: u64| Demand {
        account: AccountKey(number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        rate: RequestsPerHour::from_per_second(100.0),
        held_sequence: 3600,
    };
    let encode = |count| {
        let demands = (0..count).map(demand).collect();
        postcard::to_allocvec(&Message::Report(Report { sequence: 3600, demands })).unwrap().len()
    };
    let bytes = (encode(64) - encode(0)) as f64 / 64.0;
    assert!(bytes <= 14.0, "{bytes} bytes per account");
    assert!(encode(64) <= 1000, "64 demands do not fit into a datagram");
}
