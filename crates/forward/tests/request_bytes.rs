//! Tests of the limit of bytes in flight at one upstream.

#![allow(clippy::unwrap_used)]

use forward::RequestBytes;
use proptest::prelude::*;

const LIMIT: u64 = 100;

#[test]
fn an_upstream_takes_requests_up_to_the_limit() {
    let mut bytes = RequestBytes::new(LIMIT);
    bytes.begin(1, 7, 60);
    assert!(bytes.admits(1, 7, 40) && !bytes.admits(1, 7, 41));
    assert!(bytes.admits_everywhere(40) && !bytes.admits_everywhere(41));
    assert!(bytes.admits(2, 7, 100), "another upstream has no request");
    assert!(bytes.admits(1, 8, 100), "the next run has no request");
    bytes.end(1, 7, 60);
    assert!(bytes.admits_everywhere(100));
}

/// Guards against a request that is never sent because it is above the limit by itself.
#[test]
fn a_request_above_the_limit_is_taken_while_the_upstream_has_no_other() {
    let mut bytes = RequestBytes::new(LIMIT);
    assert!(bytes.admits(1, 7, LIMIT + 1));
    bytes.begin(1, 7, LIMIT + 1);
    assert!(!bytes.admits(1, 7, 0));
    bytes.end(1, 7, LIMIT + 1);
    bytes.begin(1, 7, 1);
    assert!(!bytes.admits(1, 7, LIMIT + 1));
}

#[test]
fn an_upstream_that_takes_no_request_is_reported_once_until_it_is_idle() {
    let mut bytes = RequestBytes::new(LIMIT);
    bytes.begin(1, 7, 60);
    bytes.begin(1, 7, 30);
    assert_eq!((bytes.record_denied(1, 7), bytes.record_denied(1, 7)), (Some(90), None));
    bytes.end(1, 7, 30);
    assert_eq!(bytes.record_denied(1, 7), None);
    bytes.end(1, 7, 60);
    assert_eq!(bytes.record_denied(1, 7), None, "it has no request");
    bytes.begin(1, 7, 60);
    assert_eq!(bytes.record_denied(1, 7), Some(60));
}

proptest! {
    /// Guards against counts that drift: requests that end late, after the next run has begun, or
    /// twice.
    #[test]
    fn no_upstream_has_more_than_the_limit_or_one_request(
        steps in prop::collection::vec((any::<bool>(), 0..3_u32, 0..2_u64, 0..150_u64), 0..200),
    ) {
        let mut bytes = RequestBytes::new(LIMIT);
        let mut in_flight: Vec<(u32, u64, u64)> = Vec::new();
        for (ends, upstream, born, size) in steps {
            if ends && !in_flight.is_empty() {
                let (upstream, born, size) =
                    in_flight.swap_remove(size as usize % in_flight.len());
                bytes.end(upstream, born, size);
            } else if bytes.admits(upstream, born, size) {
                bytes.begin(upstream, born, size);
                in_flight.push((upstream, born, size));
            }
            let of = |upstream: u32, born: u64| {
                in_flight.iter().filter(move |run| (run.0, run.1) == (upstream, born))
            };
            for (upstream, born) in (0..3).flat_map(|upstream| [(upstream, 0), (upstream, 1)]) {
                let sum: u64 = of(upstream, born).map(|run| run.2).sum();
                let count = of(upstream, born).count();
                prop_assert!(sum <= LIMIT || count == 1);
                prop_assert_eq!(count > 0, !bytes.admits(upstream, born, LIMIT + 1));
                prop_assert!(bytes.largest() >= sum);
            }
        }
        for (upstream, born, size) in in_flight {
            bytes.end(upstream, born, size);
        }
        prop_assert_eq!(bytes.largest(), 0);
        prop_assert!(bytes.admits_everywhere(u64::MAX));
    }
}
