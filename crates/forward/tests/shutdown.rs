//! Requests that an instance accepts while it shuts down.

use std::time::{Duration, Instant};

use forward::Shutdown;
use test_case::test_case;

// The shutdown lasts 7.2 seconds.
#[test_case(0, 12_000, true; "a long request at the start")]
#[test_case(2800, 12_000, true; "a long request before callers can know of the shutdown")]
#[test_case(3197, 12_000, false; "a long request that would be cut")]
#[test_case(3197, 1500, true; "a short request")]
#[test_case(5000, 2200, true; "a request that ends just in time")]
#[test_case(5000, 2201, false; "a request that ends just too late")]
fn requests_that_would_be_cut_are_not_accepted(after: u64, span: u64, expected: bool) {
    let begin = Instant::now();
    let shutdown = Shutdown::new(begin, begin + Duration::from_millis(7200));
    let now = begin + Duration::from_millis(after);
    assert_eq!(shutdown.accepts(now, now + Duration::from_millis(span)), expected);
}
