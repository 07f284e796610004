//! The users' weightings of a run.

use crate::report::{Report, Scores};

/// Weights of one user; they add up to 1.
struct Weights {
    reuse: f64,
    fairness: f64,
    service: f64,
    flood: f64,
}

/// Nasr's families are small accounts, and its reports have long contexts.
const NASR: Weights = Weights { reuse: 0.35, fairness: 0.35, service: 0.2, flood: 0.1 };

/// Winterdienst counts answers in time by rank, also in a flood.
const WINTERDIENST: Weights = Weights { reuse: 0.1, fairness: 0.1, service: 0.4, flood: 0.4 };

/// How small accounts fare: their part in time, less when they wait longer than large ones.
fn fairness(report: &Report) -> f64 {
    let (small, large) = (&report.small, &report.large);
    let waits = if small.whole_p95 > 0.0 && large.offered > 0 && large.whole_p95 > 0.0 {
        (large.whole_p95 / small.whole_p95).min(1.0)
    } else {
        1.0
    };
    small.in_time_share() * waits
}

/// The rank that fares worst while the extra load is offered.
fn flood(report: &Report) -> f64 {
    let shares = report.ranks_in_extra.iter().filter(|group| group.offered > 0);
    shares.map(|group| group.in_time_share()).fold(1.0, f64::min)
}

/// Both users' scores of a run.
pub(crate) fn scores(report: &Report) -> Scores {
    let (fairness, flood) = (fairness(report), flood(report));
    let score = |weights: &Weights| {
        weights.reuse * report.reuse
            + weights.fairness * fairness
            + weights.service * report.worth
            + weights.flood * flood
    };
    Scores { nasr: score(&NASR), winterdienst: score(&WINTERDIENST) }
}
