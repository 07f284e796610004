//! Baseline policies for comparison with the default.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::{Candidate, LoadSource, Policy};

/// Rotates the candidates so that each order starts one candidate after the previous order.
#[derive(Debug, Default, Clone, Copy)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn order(&mut self, _: u64, candidates: &mut Vec<Candidate>) {
        if candidates.is_empty() {
            return;
        }
        let first = self.next % candidates.len();
        candidates.rotate_left(first);
        self.next = self.next.wrapping_add(1);
    }
}

/// Tries candidates in a random order.
#[derive(Debug)]
pub struct Random {
    generator: Pcg64Mcg,
}

impl Random {
    /// Creates a policy whose orders are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { generator: Pcg64Mcg::seed_from_u64(seed) }
    }
}

impl Policy for Random {
    fn order(&mut self, _: u64, candidates: &mut Vec<Candidate>) {
        candidates.shuffle(&mut self.generator);
    }
}

/// Orders candidates by the load per slot that they report, lowest first.
#[derive(Debug, Default, Clone, Copy)]
pub struct LeastLoad;

impl Policy for LeastLoad {
    fn order(&mut self, _: u64, candidates: &mut Vec<Candidate>) {
        candidates.sort_by(|left, right| {
            let left_load = u64::from(left.in_flight) * u64::from(right.slots);
            let right_load = u64::from(right.in_flight) * u64::from(left.slots);
            left_load.cmp(&right_load)
        });
    }

    fn load_source(&self) -> LoadSource {
        LoadSource::Reported
    }
}
