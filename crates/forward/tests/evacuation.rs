//! Evacuated data centres as an entry instance knows them.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{Evacuations, slow_start_share};
use names::DataCentre;

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

/// Guards against upstreams that get all of their requests at once after a withdrawal, and against a
/// slow start that begins again with each list of upstreams.
#[test]
fn the_slow_start_begins_again_at_the_end_of_an_evacuation() {
    let (giza, cairo) = (data_centre("giza"), data_centre("cairo"));
    let known_since = Instant::now();
    let at = |seconds| known_since + Duration::from_secs(seconds);
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.slow_start_since(&giza, known_since), known_since);
    assert_eq!(evacuations.update(at(60), std::slice::from_ref(&giza)), []);
    assert!(evacuations.is_evacuated(&giza) && !evacuations.is_evacuated(&cairo));
    assert_eq!(evacuations.ended_at(&giza), None);
    assert_eq!(evacuations.update(at(90), &[]), std::slice::from_ref(&giza));
    assert_eq!(evacuations.update(at(91), &[]), []);
    assert!(!evacuations.is_evacuated(&giza));
    assert_eq!(evacuations.ended_at(&giza), Some(at(90)));
    assert_eq!(evacuations.slow_start_since(&giza, known_since), at(90));
    assert!(slow_start_share(at(91) - evacuations.slow_start_since(&giza, known_since)) < 0.5);
    assert_eq!(evacuations.slow_start_since(&cairo, known_since), known_since);
    // An upstream that came after the withdrawal has its own slow start.
    assert_eq!(evacuations.slow_start_since(&giza, at(95)), at(95));
}

/// Guards against an evacuation that has no effect because the data centre was evacuated before.
#[test]
fn a_data_centre_can_be_evacuated_again() {
    let giza = data_centre("giza");
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    for round in 0..3 {
        let at = now + Duration::from_secs(10 * round);
        evacuations.update(at, std::slice::from_ref(&giza));
        assert!(evacuations.is_evacuated(&giza), "round {round}");
        assert_eq!(evacuations.ended_at(&giza), None, "round {round}");
        let end = at + Duration::from_secs(5);
        evacuations.update(end, &[data_centre("cairo")]);
        assert!(!evacuations.is_evacuated(&giza), "round {round}");
        assert_eq!(evacuations.ended_at(&giza), Some(end), "round {round}");
    }
}
