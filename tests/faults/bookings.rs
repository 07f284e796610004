//! Callers that book under idempotency keys, resend, and keep what they were told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::callers::Caller;
use crate::support::{Fleet, post};

/// How often one booking is sent before its caller gives up.
const MAX_SENDS: usize = 6;

/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(100);

/// What a caller was told of one booking in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// It ran and this was its answer.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Nothing: every connection broke.
    Nothing,
}

struct Booking {
    reference: String,
    told: Told,
}

/// Finished bookings.
pub struct Record {
    bookings: Vec<Booking>,
}

/// Books until the caller is stopped.
pub fn book(caller: &Caller) -> Record {
    let Caller { number, seed, addresses, .. } = caller;
    let mut random = Pcg64Mcg::seed_from_u64(seed * 7000 + *number as u64);
    let mut bookings = Vec::new();
    while !caller.is_stopped() {
        let reference = format!("seed-{seed}-caller-{number}-booking-{}", bookings.len());
        let told = send(addresses, &reference, &mut random);
        bookings.push(Booking { reference, told });
    }
    Record { bookings }
}

/// Sends one booking until its outcome is known or the caller gives up. A resend carries the same
/// key through any instance, also after a refusal and after a broken connection.
fn send(addresses: &[SocketAddr], reference: &str, random: &mut Pcg64Mcg) -> Told {
    let mut told = Told::Nothing;
    for _ in 0..MAX_SENDS {
        let address = addresses[random.random_range(0..addresses.len())];
        let headers = [("idempotency-key", reference)];
        let body = json!({ "reference": reference });
        match post(address, "/services/shop/bookings", &headers, &body) {
            Ok(answer) if answer.status == 200 => {
                assert!(answer.body.contains(reference), "{reference}: {answer:?}");
                return Told::Answered;
            }
            Ok(answer) => match answer.verdict.as_deref() {
                Some("not-run") => told = Told::NotRun,
                Some("may-have-run") => return Told::MayHaveRun,
                verdict => panic!("{reference}: verdict {verdict:?} in {answer:?}"),
            },
            Err(_) => told = Told::Nothing,
        }
        std::thread::sleep(PAUSE);
    }
    told
}

impl Record {
    /// The bookings of all `records`.
    pub fn of(records: Vec<Self>) -> Self {
        Self { bookings: records.into_iter().flat_map(|record| record.bookings).collect() }
    }

    /// How many bookings ended as answered, not run, may have run, and unknown.
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let count = |told| self.bookings.iter().filter(|booking| booking.told == told).count();
        [
            ("answered", count(Told::Answered)),
            ("not run", count(Told::NotRun)),
            ("may have run", count(Told::MayHaveRun)),
            ("told nothing", count(Told::Nothing)),
        ]
    }

    /// Compares what callers were told with what ran at the services.
    pub fn check_against(&self, fleet: &Fleet, seed: u64) {
        let journal = std::fs::read_to_string(fleet.journal()).unwrap();
        for booking in &self.bookings {
            let quoted = format!("\\\"{}\\\"", booking.reference);
            let runs = journal.matches(&quoted).count();
            let is_right = match booking.told {
                Told::Answered => runs == 1,
                Told::NotRun => runs == 0,
                Told::MayHaveRun | Told::Nothing => runs <= 1,
            };
            let Booking { reference, told } = booking;
            assert!(is_right, "seed {seed}: {reference} was told {told:?} and ran {runs} times");
        }
        let answered = self.bookings.iter().any(|booking| booking.told == Told::Answered);
        assert!(answered, "seed {seed}: no booking was answered");
    }
}
