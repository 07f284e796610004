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
    cordons.expire(start + Duration::from_secs(60), |_, _| false);
    assert!(cordons.is_leaving(&upstream("a"), 5) && cordons.is_leaving(&upstream("b"), 5));
    for hour in 1..4 {
        cordons.expire(start + Duration::from_secs(3600 * hour), is_listed);
        assert!(cordons.is_leaving(&upstream("b"), 5));
        assert!(!cordons.is_leaving(&upstream("a"), 5));
    }
}

#[test]
fn a_pause_is_only_extended_and_applies_to_one_run() {
    let (mut cordons, start) = (Cordons::default(), Instant::now());
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let name = upstream("a");
    assert!(cordons.record_pause(start, &name, 5, at(10)));
    assert!(!cordons.record_pause(at(1), &name, 5, at(5)), "a pause began twice");
    assert_eq!(cordons.paused_until(at(1), &name, 5), Some(at(10)), "a pause was shortened");
    assert!(!cordons.record_pause(at(2), &name, 5, at(20)));
    assert_eq!(cordons.paused_until(at(19), &name, 5), Some(at(20)), "a pause was not extended");
    assert_eq!(cordons.paused_until(at(20), &name, 5), None);
    assert_eq!(cordons.paused_until(at(1), &name, 6), None, "a new run is paused");
    assert!(cordons.record_pause(at(21), &name, 5, at(30)), "a new pause did not begin");
    cordons.expire(at(29), |_, _| false);
    assert_eq!(cordons.paused_until(at(29), &name, 5), Some(at(30)), "a pause was forgotten");
    assert!(!cordons.record_pause(at(31), &name, 5, at(31)), "an empty pause began");
}

#[test]
fn a_leaving_upstream_stays_so_if_it_also_asks_to_wait() {
    let (mut cordons, start) = (Cordons::default(), Instant::now());
    let (name, later) = (upstream("a"), start + Duration::from_secs(5));
    assert!(cordons.record_pause(start, &name, 5, later));
    assert!(cordons.record_leaving(start, &name, 5));
    assert!(!cordons.record_pause(start, &name, 5, later));
    cordons.expire(later, |_, _| true);
    assert!(cordons.is_leaving(&name, 5));
    assert_eq!(cordons.paused_until(start, &name, 5), None);
}
