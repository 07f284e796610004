//! Computes the weighted scores of a run for the two reference deployments.

use crate::report::{Report, Scores};

/// Weights of the parts of a score, which add up to 1.
struct Weights {
    reuse: f64,
    fairness: f64,
    service: f64,
    flood: f64,
}

/// Weights for the deployment "nasr", whose families are small accounts and whose reports have long
/// contexts.
const NASR: Weights = Weights { reuse: 0.35, fairness: 0.35, service: 0.2, flood: 0.1 };

/// Weights for the deployment "winterdienst", which needs responses in time by rank, also during a
/// flood.
const WINTERDIENST: Weights = Weights { reuse: 0.1, fairness: 0.1, service: 0.4, flood: 0.4 };

/// Returns the fraction of requests of small accounts that were answered in time, reduced in
/// proportion if their latency is higher than that of large accounts.
fn fairness_score(report: &Report) -> f64 {
    let (small, large) = (&report.small, &report.large);
    let latency_ratio = if small.whole_p95 > 0.0 && large.offered > 0 && large.whole_p95 > 0.0 {
        (large.whole_p95 / small.whole_p95).min(1.0)
    } else {
        1.0
    };
    small.in_time_share() * latency_ratio
}

/// Returns the lowest fraction of any rank that was answered in time during the extra load.
fn flood_score(report: &Report) -> f64 {
    let shares = report.ranks_in_extra.iter().filter(|group| group.offered > 0);
    shares.map(|group| group.in_time_share()).fold(1.0, f64::min)
}

/// Returns the scores of a run.
pub(crate) fn scores(report: &Report) -> Scores {
    let (fairness, flood) = (fairness_score(report), flood_score(report));
    let weighted_sum = |weights: &Weights| {
        weights.reuse * report.reuse
            + weights.fairness * fairness
            + weights.service * report.worth
            + weights.flood * flood
    };
    Scores { nasr: weighted_sum(&NASR), winterdienst: weighted_sum(&WINTERDIENST) }
}
