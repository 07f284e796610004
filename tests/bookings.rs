//! Bookings while instances and services are killed, restarted and cut off: none runs twice, and
//! no refusal as not run is false. `BOOKING_SEEDS` sets how many seeds run, from 0.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Fleet, Plan, book, book_first, runs, set_fault};

const INSTANCES: usize = 4;
const VOTERS: usize = 3;
const CALLERS: usize = 6;
const BOOKINGS_PER_CALLER: usize = 8;
const MAX_TRIES: usize = 12;

/// How a booking stands for its caller in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Booked,
    NotRun,
    Unknown,
}

#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    booked: usize,
    not_run: usize,
    unknown: usize,
    /// Those of the unknown that did run.
    unknown_ran: usize,
    /// Requests refused as not run, and the longest time that such a refusal took.
    refusals: usize,
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

/// One caller that makes its bookings one after the other.
struct Caller {
    addresses: Vec<SocketAddr>,
    journal: PathBuf,
    random: Pcg64Mcg,
    counts: Counts,
}

impl Caller {
    fn book_all(mut self, seed: u64, caller: usize) -> Counts {
        let mut refused = Vec::new();
        for number in 0..BOOKINGS_PER_CALLER {
            let name = format!("seed {seed} caller {caller} booking {number}");
            match self.book(&name) {
                End::Booked => self.counts.booked += 1,
                End::NotRun => refused.push(name),
                End::Unknown => {
                    self.counts.unknown += 1;
                    self.counts.unknown_ran += runs(&self.journal, &name);
                }
            }
        }
        for name in &refused {
            assert_eq!(runs(&self.journal, name), 0, "{name} ran after it was given up");
        }
        self.counts.not_run += refused.len();
        self.counts
    }

    /// Makes one booking, through one instance after another until its end is known.
    fn book(&mut self, name: &str) -> End {
        let key = name.replace(' ', "-");
        let gives_up_early = self.random.random_range(0..10) == 0;
        let mut is_certain = true;
        let mut unknowns = 0;
        for number in 0..MAX_TRIES {
            self.counts.requests += 1;
            let address = self.addresses[self.random.random_range(0..self.addresses.len())];
            let started = Instant::now();
            let book = if number == 0 { book_first } else { book };
            match book(address, &key, name) {
                Ok(answer) if answer.status == 200 => {
                    assert_eq!(runs(&self.journal, name), 1, "{name} is answered");
                    return End::Booked;
                }
                Ok(answer) if answer.verdict.as_deref() == Some("not-run") => {
                    self.refused(name, started.elapsed());
                    if gives_up_early {
                        return End::NotRun;
                    }
                    is_certain = true;
                }
                Ok(answer) => {
                    assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{answer:?}");
                    is_certain = false;
                    unknowns += usize::from(answer.retry_after.is_none());
                }
                Err(_) => is_certain = false,
            }
            if unknowns == 3 {
                return End::Unknown;
            }
            std::thread::sleep(Duration::from_millis(self.random.random_range(20..200)));
        }
        if is_certain { End::NotRun } else { End::Unknown }
    }

    /// Checks that a booking refused as not run has not run, whichever request it was.
    fn refused(&mut self, name: &str, elapsed: Duration) {
        self.counts.refusals += 1;
        self.counts.slowest_refusal = self.counts.slowest_refusal.max(elapsed);
        assert_eq!(runs(&self.journal, name), 0, "{name} ran and was refused as not run");
    }
}

fn fleet() -> Fleet {
    let plan = Plan::new(&["giza"; INSTANCES]).with_voters(VOTERS).with_proxies();
    let mut fleet = Fleet::start_plan(plan);
    fleet.add_shop("shop-1");
    fleet.add_shop("shop-2");
    fleet.wait_quorum();
    fleet
}

/// Kills, restarts, cuts off or disturbs one process at a time until the callers have finished.
fn disturb(fleet: &mut Fleet, random: &mut Pcg64Mcg, finished: &AtomicBool) {
    let pause = |random: &mut Pcg64Mcg, longest: u64| {
        std::thread::sleep(Duration::from_millis(random.random_range(20..longest)));
    };
    while !finished.load(Ordering::Relaxed) {
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
                fleet.set_cut(&[instance], true);
                pause(random, 1500);
                fleet.set_cut(&[instance], false);
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
    let mut fleet = fleet();
    let journal = fleet.journal();
    let addresses: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    let finished = AtomicBool::new(false);
    let mut total = Counts::default();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let random = Pcg64Mcg::seed_from_u64(seed * 1000 + number as u64);
                let (addresses, journal) = (addresses.clone(), journal.clone());
                let caller = Caller { addresses, journal, random, counts: Counts::default() };
                scope.spawn(move || caller.book_all(seed, number))
            })
            .collect();
        let fleet = &mut fleet;
        let is_finished = &finished;
        let faults = scope.spawn(move || {
            disturb(fleet, &mut Pcg64Mcg::seed_from_u64(seed), is_finished);
        });
        let ends: Vec<_> = callers.into_iter().map(|caller| caller.join()).collect();
        finished.store(true, Ordering::Relaxed);
        faults.join().unwrap();
        ends.into_iter().for_each(|end| total.add(&end.unwrap()));
    });
    for caller in 0..CALLERS {
        for number in 0..BOOKINGS_PER_CALLER {
            let name = format!("seed {seed} caller {caller} booking {number}");
            assert!(runs(&journal, &name) <= 1, "{name} ran twice");
        }
    }
    total
}

#[test]
fn no_booking_runs_twice_and_no_refusal_as_not_run_is_false() {
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
    assert!(total.booked * 2 > bookings, "most bookings should be made");
}
