//! Operators that send concurrent orders and resend them after lost answers, and a watcher that
//! reads the revision of every instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{
    AMAL_TOKEN, BERT_TOKEN, MAX_RECOVERY_TIME, declarations_with_weight, revision_at, try_order,
};

/// Largest number of times that one order is sent while its outcome is unknown.
const MAX_ATTEMPTS: usize = 8;

/// Pause after each order and after each failed attempt.
const PAUSE: Duration = Duration::from_millis(150);

/// An order that was acknowledged, and the revision that it created.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AcceptedOrder {
    revision: u64,
    order: String,
}

/// Threads of the operators and of the watcher.
pub struct Operators {
    operators: Vec<JoinHandle<Vec<AcceptedOrder>>>,
    watcher: JoinHandle<()>,
    addresses: Vec<SocketAddr>,
}

impl Operators {
    pub fn start(addresses: &[SocketAddr], seed: u64, is_stopped: &Arc<AtomicBool>) -> Self {
        let operators = [("amal", AMAL_TOKEN), ("bert", BERT_TOKEN)]
            .into_iter()
            .map(|(name, token)| {
                let (addresses, is_stopped) = (addresses.to_vec(), is_stopped.clone());
                std::thread::spawn(move || run_operator(&addresses, name, token, seed, &is_stopped))
            })
            .collect();
        let (watched, is_stopped) = (addresses.to_vec(), is_stopped.clone());
        let watcher = std::thread::spawn(move || check_monotonic_revisions(&watched, &is_stopped));
        Self { operators, watcher, addresses: addresses.to_vec() }
    }

    /// Waits for the operators, and then until the last accepted revision is in force at every
    /// instance. Panics if two orders got one revision or if an instance went back to an earlier
    /// one. Returns the number of accepted orders.
    pub fn join_and_check(self, seed: u64) -> usize {
        let joined = self.operators.into_iter().flat_map(|operator| operator.join().unwrap());
        let mut accepted: Vec<AcceptedOrder> = joined.collect();
        accepted.sort();
        for pair in accepted.windows(2) {
            let is_unique = pair[0].revision != pair[1].revision;
            assert!(
                is_unique,
                "seed {seed}: two orders were accepted as the same revision: {pair:?}"
            );
        }
        assert!(
            self.watcher.join().is_ok(),
            "seed {seed}: an instance went back to an earlier revision"
        );
        let last = accepted.last().map_or(0, |accepted| accepted.revision);
        wait_for_revision(&self.addresses, last, seed);
        accepted.len()
    }
}

/// Waits until `revision` or a later one is in force at every instance; panics after
/// [`MAX_RECOVERY_TIME`].
fn wait_for_revision(addresses: &[SocketAddr], revision: u64, seed: u64) {
    let deadline = Instant::now() + MAX_RECOVERY_TIME;
    for address in addresses {
        while revision_at(*address).is_none_or(|in_force| in_force < revision) {
            let is_in_time = Instant::now() < deadline;
            assert!(is_in_time, "seed {seed}: revision {revision} is not in force at {address}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Sends orders with increasing weights until `is_stopped`; returns the accepted ones.
fn run_operator(
    addresses: &[SocketAddr],
    name: &str,
    token: &str,
    seed: u64,
    is_stopped: &AtomicBool,
) -> Vec<AcceptedOrder> {
    let mut random =
        Pcg64Mcg::seed_from_u64(seed * 31 + name.len() as u64 + u64::from(name.as_bytes()[0]));
    let mut accepted = Vec::new();
    let mut number = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        number += 1;
        let order = format!("{name}-{number}");
        accepted.extend(send_order(addresses, &order, token, number, &mut random));
        std::thread::sleep(PAUSE);
    }
    accepted
}

/// Sends one order, and resends it through random instances while its outcome is unknown. Returns
/// `None` on a conflict with another order or after [`MAX_ATTEMPTS`].
fn send_order(
    addresses: &[SocketAddr],
    order: &str,
    token: &str,
    weight: u64,
    random: &mut Pcg64Mcg,
) -> Option<AcceptedOrder> {
    let base = addresses.iter().filter_map(|address| revision_at(*address)).max()?;
    let path = format!("/declarations?base={base}&order={order}");
    for _ in 0..MAX_ATTEMPTS {
        let address = addresses[random.random_range(0..addresses.len())];
        match try_order(address, token, &path, &declarations_with_weight(weight)) {
            Some(reply) if reply.status == 200 => {
                let revision = reply.body["revision"].as_u64().unwrap();
                return Some(AcceptedOrder { revision, order: order.to_string() });
            }
            Some(reply) if reply.status == 409 => return None,
            _ => std::thread::sleep(PAUSE),
        }
    }
    None
}

/// Panics if an instance goes back to a lower revision, also across its restarts.
fn check_monotonic_revisions(addresses: &[SocketAddr], is_stopped: &AtomicBool) {
    let mut highest = vec![0; addresses.len()];
    while !is_stopped.load(Ordering::Relaxed) {
        for (address, highest) in addresses.iter().zip(&mut highest) {
            let Some(revision) = revision_at(*address) else {
                continue;
            };
            assert!(
                revision >= *highest,
                "{address} went back from revision {highest} to {revision}"
            );
            *highest = revision;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
