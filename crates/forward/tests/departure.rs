//! What a stopping instance still takes.

use std::time::{Duration, Instant};

use forward::Departure;
use test_case::test_case;

// A stop of 7.2 seconds.
#[test_case(0, 12_000, true; "a long one at once")]
#[test_case(2800, 12_000, true; "a long one while callers may not know yet")]
#[test_case(3197, 12_000, false; "a long one that would be cut")]
#[test_case(3197, 1500, true; "a short one")]
#[test_case(5000, 2200, true; "one that just ends in time")]
#[test_case(5000, 2201, false; "one that just does not")]
fn what_would_be_cut_is_not_taken(after: u64, span: u64, expected: bool) {
    let began = Instant::now();
    let departure = Departure::new(began, began + Duration::from_millis(7200));
    let now = began + Duration::from_millis(after);
    assert_eq!(departure.takes(now, now + Duration::from_millis(span)), expected);
}
