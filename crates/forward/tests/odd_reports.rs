//! Load reports of upstreams with numbers that make no sense.

use std::time::Instant;

use forward::{LoadEstimate, Report};

#[test]
fn a_report_of_more_requests_than_a_number_holds_is_a_large_load() {
    let now = Instant::now();
    let mut estimate = LoadEstimate::default();
    estimate
        .report(now, Report { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX, pace: None });
    assert!(estimate.load(now, 4, None) >= f64::from(u32::MAX));
}
