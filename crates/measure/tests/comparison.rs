//! The calls of a comparison.

use std::net::SocketAddr;
use std::time::Duration;

use measure::{Arrival, Comparison, Side};

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

fn of_side(arrivals: &[Arrival], side: Side) -> Vec<Duration> {
    arrivals.iter().filter(|arrival| arrival.side == side).map(|arrival| arrival.at).collect()
}

#[test]
fn both_sides_arrive_at_the_rate_interleaved_as_the_seed_says() {
    let arrivals = comparison(7).arrivals();
    assert_eq!(arrivals, comparison(7).arrivals());
    assert_ne!(arrivals, comparison(8).arrivals());
    assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let (direct, relayed) = (of_side(&arrivals, Side::Direct), of_side(&arrivals, Side::Relayed));
    assert_ne!(direct, relayed);
    for times in [&direct, &relayed] {
        let expected = 150.0 * 40.0;
        assert!((times.len() as f64 - expected).abs() < 6.0 * f64::sqrt(expected));
    }
    let changes = arrivals.windows(2).filter(|pair| pair[0].side != pair[1].side).count();
    assert!(changes > arrivals.len() / 3, "{changes} changes of side");
}

#[test]
fn a_comparison_without_a_stand_in_is_refused() {
    let error = comparison(1).run().map_err(|error| error.to_string());
    assert!(error.is_err_and(|error| error.contains("stand_ins") && error.contains("help:")));
}
