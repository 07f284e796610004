//! Tests of the planned calls and the parameter checks of a comparison.

use std::net::SocketAddr;
use std::time::Duration;

use measure::{Arrival, Comparison, Route};

fn comparison(seed: u64) -> Comparison {
    Comparison {
        caller: SocketAddr::from(([127, 0, 0, 1], 1)),
        stand_ins: Vec::new(),
        key: "key".to_string(),
        service: "caption-small".to_string(),
        kind: "caption".to_string(),
        per_second: 150.0,
        warm_up: Duration::from_secs(10),
        duration: Duration::from_secs(30),
        words: 4,
        threads: 1,
        seed,
    }
}

fn offsets_of(arrivals: &[Arrival], route: Route) -> Vec<Duration> {
    arrivals.iter().filter(|arrival| arrival.route == route).map(|arrival| arrival.offset).collect()
}

/// Guards against routes that share arrival times, miss the rate or run one after the other.
#[test]
fn a_seed_determines_interleaved_arrivals_of_both_routes_at_the_given_rate() {
    let arrivals = comparison(7).arrivals();
    assert_eq!(arrivals, comparison(7).arrivals());
    assert_ne!(arrivals, comparison(8).arrivals());
    assert!(arrivals.windows(2).all(|pair| pair[0].offset <= pair[1].offset));
    let (direct, relayed) =
        (offsets_of(&arrivals, Route::Direct), offsets_of(&arrivals, Route::Relayed));
    assert_ne!(direct, relayed);
    for times in [&direct, &relayed] {
        let expected = 150.0 * 40.0;
        assert!((times.len() as f64 - expected).abs() < 6.0 * f64::sqrt(expected));
    }
    let changes = arrivals.windows(2).filter(|pair| pair[0].route != pair[1].route).count();
    assert!(changes > arrivals.len() / 3, "{changes} changes of route");
}

#[test]
fn a_comparison_without_stand_ins_is_rejected() {
    let error = comparison(1).run().map_err(|error| error.to_string());
    assert!(error.is_err_and(|error| error.contains("stand_ins") && error.contains("help:")));
}
