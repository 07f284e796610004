//! Tests of the upstreams that want no new requests.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::Cordons;
use names::Upstream;

fn upstream(name: &str) -> Upstream {
    name.parse().unwrap()
}

#[test]
fn a_leaving_run_stays_so_while_it_is_listed_and_a_new_run_does_not_leave() {
    let (mut cordons, start) = (Cordons::default(), Instant::now());
    assert!(cordons.record_leaving(start, &upstream("b"), 5));
    assert!(!cordons.record_leaving(start, &upstream("b"), 5));
    assert!(cordons.record_leaving(start, &upstream("a"), 5));
    assert!(!cordons.is_leaving(&upstream("b"), 6) && !cordons.is_leaving(&upstream("c"), 5));
    let is_listed = |listed: &Upstream, _: u64| *listed == upstream("b");
    cordons.forget_unlisted(start + Duration::from_secs(60), |_, _| false);
    assert!(cordons.is_leaving(&upstream("a"), 5) && cordons.is_leaving(&upstream("b"), 5));
    for hour in 1..4 {
        cordons.forget_unlisted(start + Duration::from_secs(3600 * hour), is_listed);
        assert!(cordons.is_leaving(&upstream("b"), 5));
        assert!(!cordons.is_leaving(&upstream("a"), 5));
    }
}
