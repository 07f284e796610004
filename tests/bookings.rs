//! Checks that no booking runs twice, and that no booking refused as not run has run, while
//! instances and booking services are killed, restarted and partitioned. `BOOKING_SEEDS` sets the
//! number of seeds, counted from 0 (default 1).

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Fleet, Plan, count_executions, post_booking, post_first_booking, set_fault};

const INSTANCES: usize = 4;
const VOTERS: usize = 3;
const CALLERS: usize = 6;
const BOOKINGS_PER_CALLER: usize = 8;
const MAX_REQUESTS_PER_BOOKING: usize = 12;

/// Final outcome of a booking, as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BookingOutcome {
    Booked,
    NotRun,
    Unknown,
}

/// Numbers of requests and of bookings by outcome.
#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    booked: usize,
    not_run: usize,
    unknown: usize,
    /// Bookings with an unknown outcome that ran.
    unknown_ran: usize,
    /// Requests refused as not run.
    refusals: usize,
    /// Longest time until such a refusal.
    slowest_refusal: Duration,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.booked += other.booked;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unknown_ran += other.unknown_ran;
        self.refusals += other.refusals;
        self.slowest_refusal = self.slowest_refusal.max(other.slowest_refusal);
    }
}

/// A caller that makes its bookings one after another.
struct Caller {
    addresses: Vec<SocketAddr>,
    journal: PathBuf,
    random: Pcg64Mcg,
    counts: Counts,
}

impl Caller {
    fn make_bookings(mut self, seed: u64, caller: usize) -> Counts {
        let mut not_run = Vec::new();
        for number in 0..BOOKINGS_PER_CALLER {
            let name = format!("seed {seed} caller {caller} booking {number}");
            match self.make_booking(&name) {
                BookingOutcome::Booked => self.counts.booked += 1,
                BookingOutcome::NotRun => not_run.push(name),
                BookingOutcome::Unknown => {
                    self.counts.unknown += 1;
                    self.counts.unknown_ran += count_executions(&self.journal, &name);
                }
            }
        }
        for name in &not_run {
            assert_eq!(
                count_executions(&self.journal, name),
                0,
                "{name} ran although its outcome is not run"
            );
        }
        self.counts.not_run += not_run.len();
        self.counts
    }

    /// Sends one booking through randomly chosen instances until its outcome is known.
    fn make_booking(&mut self, name: &str) -> BookingOutcome {
        let key = name.replace(' ', "-");
        let is_stopped_by_refusal = self.random.random_range(0..10) == 0;
        let mut is_known_not_run = true;
        let mut unknown_outcomes = 0;
        for number in 0..MAX_REQUESTS_PER_BOOKING {
            self.counts.requests += 1;
            let address = self.addresses[self.random.random_range(0..self.addresses.len())];
            let started = Instant::now();
            let send_booking = if number == 0 { post_first_booking } else { post_booking };
            match send_booking(address, &key, name) {
                Ok(answer) if answer.status == 200 => {
                    assert_eq!(
                        count_executions(&self.journal, name),
                        1,
                        "{name} succeeded, but did not run exactly once"
                    );
                    return BookingOutcome::Booked;
                }
                Ok(answer) if answer.verdict.as_deref() == Some("not-run") => {
                    self.record_refusal(name, started.elapsed());
                    if is_stopped_by_refusal {
                        return BookingOutcome::NotRun;
                    }
                    is_known_not_run = true;
                }
                Ok(answer) => {
                    assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{answer:?}");
                    is_known_not_run = false;
                    unknown_outcomes += usize::from(answer.retry_after.is_none());
                }
                Err(_) => is_known_not_run = false,
            }
            if unknown_outcomes == 3 {
                return BookingOutcome::Unknown;
            }
            std::thread::sleep(Duration::from_millis(self.random.random_range(20..200)));
        }
        if is_known_not_run { BookingOutcome::NotRun } else { BookingOutcome::Unknown }
    }

    /// Counts a refusal as not run, and checks that no request for the booking has run.
    fn record_refusal(&mut self, name: &str, elapsed: Duration) {
        self.counts.refusals += 1;
        self.counts.slowest_refusal = self.counts.slowest_refusal.max(elapsed);
        assert_eq!(
            count_executions(&self.journal, name),
            0,
            "{name} ran and was refused as not run"
        );
    }
}

fn start_fleet() -> Fleet {
    let plan = Plan::new(&["giza"; INSTANCES]).with_voters(VOTERS).with_proxies();
    let mut fleet = Fleet::start_plan(plan);
    fleet.add_booking_service("shop-1");
    fleet.add_booking_service("shop-2");
    fleet.wait_for_quorum();
    fleet
}

/// Applies and removes one random fault at a time until the callers have finished: kills an
/// instance or a booking service, partitions an instance, or sets a fault of a booking service.
fn inject_faults(fleet: &mut Fleet, random: &mut Pcg64Mcg, has_finished: &AtomicBool) {
    let pause = |random: &mut Pcg64Mcg, longest: u64| {
        std::thread::sleep(Duration::from_millis(random.random_range(20..longest)));
    };
    while !has_finished.load(Ordering::Relaxed) {
        pause(random, 400);
        let instance = random.random_range(0..INSTANCES);
        let shop = random.random_range(0..2);
        match random.random_range(0..5) {
            0 | 1 => {
                fleet.kill(instance);
                pause(random, 600);
                fleet.restart(instance);
            }
            2 => {
                fleet.upstreams[shop].process.kill();
                pause(random, 300);
                fleet.restart_upstream(shop);
            }
            3 => {
                fleet.set_partition(&[instance], true);
                pause(random, 1500);
                fleet.set_partition(&[instance], false);
            }
            _ => {
                let fault = ["refuse", "cut:0", "error"][random.random_range(0..3)];
                set_fault(fleet.upstreams[shop].address, fault);
                pause(random, 300);
                set_fault(fleet.upstreams[shop].address, "none");
            }
        }
    }
}

fn run_seed(seed: u64) -> Counts {
    let mut fleet = start_fleet();
    let journal = fleet.journal();
    let addresses: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    let has_finished = AtomicBool::new(false);
    let mut total = Counts::default();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let random = Pcg64Mcg::seed_from_u64(seed * 1000 + number as u64);
                let (addresses, journal) = (addresses.clone(), journal.clone());
                let caller = Caller { addresses, journal, random, counts: Counts::default() };
                scope.spawn(move || caller.make_bookings(seed, number))
            })
            .collect();
        let fleet = &mut fleet;
        let finish_flag = &has_finished;
        let fault_thread = scope.spawn(move || {
            inject_faults(fleet, &mut Pcg64Mcg::seed_from_u64(seed), finish_flag);
        });
        let results: Vec<_> = callers.into_iter().map(|caller| caller.join()).collect();
        has_finished.store(true, Ordering::Relaxed);
        fault_thread.join().unwrap();
        results.into_iter().for_each(|result| total.add(&result.unwrap()));
    });
    for caller in 0..CALLERS {
        for number in 0..BOOKINGS_PER_CALLER {
            let name = format!("seed {seed} caller {caller} booking {number}");
            assert!(count_executions(&journal, &name) <= 1, "{name} ran twice");
        }
    }
    total
}

#[test]
fn no_booking_runs_twice_and_none_refused_as_not_run_ran() {
    let seeds: u64 =
        std::env::var("BOOKING_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut total = Counts::default();
    for seed in 0..seeds {
        let counts = run_seed(seed);
        println!("seed {seed}: {counts:?}");
        total.add(&counts);
    }
    let bookings = total.booked + total.not_run + total.unknown;
    println!("{seeds} seeds, {bookings} bookings: {total:?}");
    println!("may have run: {:.1}%", 100.0 * total.unknown as f64 / bookings as f64);
    assert!(total.booked * 2 > bookings, "at most half of the bookings succeeded");
}
