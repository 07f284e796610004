//! Callers that send bookings with idempotency keys, resend them, and record the outcome reported.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::callers::Caller;
use crate::support::{Fleet, post};

/// Largest number of times that one booking is sent.
const MAX_ATTEMPTS: usize = 6;

/// Delay before a booking is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Final outcome of a booking as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BookingOutcome {
    /// The booking was executed and answered.
    Answered,
    /// The booking was reported as not executed.
    NotRun,
    /// The booking may have been executed.
    MayHaveRun,
    /// The last connection broke before an answer arrived.
    NoAnswer,
}

struct Booking {
    reference: String,
    outcome: BookingOutcome,
}

/// Finished bookings and their outcomes.
pub struct BookingRecord {
    bookings: Vec<Booking>,
}

/// Sends bookings until the caller is stopped.
pub fn run_bookings(caller: &Caller) -> BookingRecord {
    let Caller { index, seed, addresses, .. } = caller;
    let mut random = Pcg64Mcg::seed_from_u64(seed * 7000 + *index as u64);
    let mut bookings = Vec::new();
    while !caller.is_stopped() {
        let reference = format!("seed-{seed}-caller-{index}-booking-{}", bookings.len());
        let outcome = send_booking(addresses, &reference, &mut random);
        bookings.push(Booking { reference, outcome });
    }
    BookingRecord { bookings }
}

/// Sends one booking until its outcome is known or the caller gives up. After a refusal or a broken
/// connection, the booking is sent again with the same idempotency key through a random instance.
fn send_booking(
    addresses: &[SocketAddr],
    reference: &str,
    random: &mut Pcg64Mcg,
) -> BookingOutcome {
    let mut outcome = BookingOutcome::NoAnswer;
    for _ in 0..MAX_ATTEMPTS {
        let address = addresses[random.random_range(0..addresses.len())];
        let headers = [("idempotency-key", reference)];
        let body = json!({ "reference": reference });
        match post(address, "/services/shop/bookings", &headers, &body) {
            Ok(answer) if answer.status == 200 => {
                assert!(answer.body.contains(reference), "{reference}: {answer:?}");
                return BookingOutcome::Answered;
            }
            Ok(answer) => match answer.verdict.as_deref() {
                Some("not-run") => outcome = BookingOutcome::NotRun,
                Some("may-have-run") => return BookingOutcome::MayHaveRun,
                verdict => panic!("{reference}: verdict {verdict:?} in {answer:?}"),
            },
            Err(_) => outcome = BookingOutcome::NoAnswer,
        }
        std::thread::sleep(RETRY_DELAY);
    }
    outcome
}

impl BookingRecord {
    /// Merges the bookings of all `records`.
    pub fn merge(records: Vec<Self>) -> Self {
        Self { bookings: records.into_iter().flat_map(|record| record.bookings).collect() }
    }

    /// Returns the number of bookings with each outcome.
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let count =
            |outcome| self.bookings.iter().filter(|booking| booking.outcome == outcome).count();
        [
            ("answered", count(BookingOutcome::Answered)),
            ("not run", count(BookingOutcome::NotRun)),
            ("may have run", count(BookingOutcome::MayHaveRun)),
            ("no answer", count(BookingOutcome::NoAnswer)),
        ]
    }

    /// Checks the reported outcomes against the journal of the booking services.
    pub fn check_against(&self, fleet: &Fleet, seed: u64) {
        let journal = std::fs::read_to_string(fleet.journal()).unwrap();
        for booking in &self.bookings {
            let quoted = format!("\\\"{}\\\"", booking.reference);
            let runs = journal.matches(&quoted).count();
            let is_consistent = match booking.outcome {
                BookingOutcome::Answered => runs == 1,
                BookingOutcome::NotRun => runs == 0,
                BookingOutcome::MayHaveRun | BookingOutcome::NoAnswer => runs <= 1,
            };
            let Booking { reference, outcome } = booking;
            assert!(
                is_consistent,
                "seed {seed}: {reference} has outcome {outcome:?} and ran {runs} times"
            );
        }
        let answered =
            self.bookings.iter().any(|booking| booking.outcome == BookingOutcome::Answered);
        assert!(answered, "seed {seed}: no booking was answered");
    }
}
