//! Refusals of requests that could not leave a queue in time.

use std::time::{Duration, Instant};

use forward::{StartRate, spread_retry};
use test_case::test_case;

/// Guards against a request that waits in vain, and against one that is refused although it could start
/// in time. A request may wait for 100 ms.
#[test_case(0, 5, false; "nothing is known without starts")]
#[test_case(4, 5, false; "little is known with few starts")]
#[test_case(5, 5, true; "enough starts")]
#[test_case(20, 0, false; "the first one in the queue")]
#[test_case(20, 4, false; "twice the rate suffices")]
#[test_case(20, 5, true; "twice the rate does not suffice")]
#[test_case(400, 60, false; "high rate")]
#[test_case(400, 90, true; "many before it")]
fn a_request_that_cannot_start_in_time_is_recognized(starts: u32, ahead: usize, expected: bool) {
    let (mut rate, begin) = (StartRate::default(), Instant::now());
    // These are too old to count.
    (0..50).for_each(|_| rate.record(begin));
    let begin = begin + Duration::from_secs(1);
    (0..starts).for_each(|start| rate.record(begin + Duration::from_secs(1) * start / starts));
    let now = begin + Duration::from_millis(999);
    assert_eq!(rate.is_too_slow(now, ahead, now + Duration::from_millis(100)), expected);
}

/// Guards against a rate that is too low since not all starts are kept.
#[test]
fn a_rate_beyond_what_is_kept_is_measured_over_a_shorter_time() {
    let (mut rate, begin) = (StartRate::default(), Instant::now());
    (0..4000_u32).for_each(|start| rate.record(begin + Duration::from_secs(1) * start / 4000));
    let now = begin + Duration::from_secs(1);
    let until = now + Duration::from_millis(100);
    assert!(!rate.is_too_slow(now, 750, until));
    assert!(rate.is_too_slow(now, 850, until));
}

/// Guards against callers that return at the same time, and against a time that they do not wait for.
#[test_case(250, 500, 0.0, 250)]
#[test_case(250, 500, 0.5, 375)]
#[test_case(250, 500, 1.0, 500)]
#[test_case(250, 300, 1.0, 300; "limited by the time left")]
#[test_case(800, 4000, 1.0, 1600; "twice the shortest time")]
#[test_case(100, 40, 0.7, 40; "less time than the shortest")]
fn refused_callers_return_at_different_times(
    shortest: u64,
    longest: u64,
    random: f64,
    expected: u64,
) {
    let [shortest, longest, expected] = [shortest, longest, expected].map(Duration::from_millis);
    assert_eq!(spread_retry(shortest, longest, random), expected);
}
