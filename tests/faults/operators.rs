//! Operators that race each other, resend after lost answers, and a watcher of every instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{AMAL, BERT, HEALED, revision_at, try_order, weighing};

/// How often an order is sent before its operator gives up.
const MAX_SENDS: usize = 8;

const PAUSE: Duration = Duration::from_millis(150);

/// An order that was told to be in force as a revision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Accepted {
    revision: u64,
    order: String,
}

/// Running operators and the watcher.
pub struct Operators {
    operators: Vec<JoinHandle<Vec<Accepted>>>,
    watcher: JoinHandle<()>,
    addresses: Vec<SocketAddr>,
}

impl Operators {
    pub fn start(addresses: &[SocketAddr], seed: u64, stopped: &Arc<AtomicBool>) -> Self {
        let operators = [("amal", AMAL), ("bert", BERT)]
            .into_iter()
            .map(|(name, token)| {
                let (addresses, stopped) = (addresses.to_vec(), stopped.clone());
                std::thread::spawn(move || declare(&addresses, name, token, seed, &stopped))
            })
            .collect();
        let (watched, stopped) = (addresses.to_vec(), stopped.clone());
        let watcher = std::thread::spawn(move || watch(&watched, &stopped));
        Self { operators, watcher, addresses: addresses.to_vec() }
    }

    /// Waits for the operators, then for the last accepted revision at every instance; gives the
    /// number of accepted orders.
    pub fn join_and_check(self, seed: u64) -> usize {
        let joined = self.operators.into_iter().flat_map(|operator| operator.join().unwrap());
        let mut accepted: Vec<Accepted> = joined.collect();
        accepted.sort();
        for pair in accepted.windows(2) {
            let is_once = pair[0].revision != pair[1].revision;
            assert!(is_once, "seed {seed}: one revision was given twice: {pair:?}");
        }
        assert!(self.watcher.join().is_ok(), "seed {seed}: a revision reverted");
        let last = accepted.last().map_or(0, |accepted| accepted.revision);
        wait_in_force(&self.addresses, last, seed);
        accepted.len()
    }
}

fn wait_in_force(addresses: &[SocketAddr], revision: u64, seed: u64) {
    let deadline = Instant::now() + HEALED;
    for address in addresses {
        while revision_at(*address).is_none_or(|in_force| in_force < revision) {
            let is_early = Instant::now() < deadline;
            assert!(is_early, "seed {seed}: revision {revision} is not in force at {address}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn declare(
    addresses: &[SocketAddr],
    name: &str,
    token: &str,
    seed: u64,
    stopped: &AtomicBool,
) -> Vec<Accepted> {
    let mut random =
        Pcg64Mcg::seed_from_u64(seed * 31 + name.len() as u64 + u64::from(name.as_bytes()[0]));
    let mut accepted = Vec::new();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let order = format!("{name}-{number}");
        accepted.extend(send(addresses, &order, token, number, &mut random));
        std::thread::sleep(PAUSE);
    }
    accepted
}

/// Sends one order, again through other instances while its answer is lost.
fn send(
    addresses: &[SocketAddr],
    order: &str,
    token: &str,
    weight: u64,
    random: &mut Pcg64Mcg,
) -> Option<Accepted> {
    let base = addresses.iter().filter_map(|address| revision_at(*address)).max()?;
    let path = format!("/declarations?base={base}&order={order}");
    for _ in 0..MAX_SENDS {
        let address = addresses[random.random_range(0..addresses.len())];
        match try_order(address, token, &path, &weighing(weight)) {
            Some(reply) if reply.status == 200 => {
                let revision = reply.body["revision"].as_u64().unwrap();
                return Some(Accepted { revision, order: order.to_string() });
            }
            Some(reply) if reply.status == 409 => return None,
            _ => std::thread::sleep(PAUSE),
        }
    }
    None
}

/// Watches that no instance goes back to a lower revision, also across its restarts.
fn watch(addresses: &[SocketAddr], stopped: &AtomicBool) {
    let mut highest = vec![0; addresses.len()];
    while !stopped.load(Ordering::Relaxed) {
        for (address, highest) in addresses.iter().zip(&mut highest) {
            let Some(revision) = revision_at(*address) else {
                continue;
            };
            assert!(revision >= *highest, "{address} went from {highest} back to {revision}");
            *highest = revision;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
