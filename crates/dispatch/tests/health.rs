//! Health of upstreams that fail, recover or are slower than their peers.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use dispatch::{HealthChange, OutlierDetector};
use names::{Service, Upstream};

fn service() -> Service {
    "caption".parse().unwrap()
}

fn engines() -> [Upstream; 4] {
    ["a", "b", "c", "d"].map(|name| name.parse().unwrap())
}

fn register_engines(health: &mut OutlierDetector) {
    engines().iter().for_each(|engine| health.record_success(&service(), engine));
}

fn record_failures(health: &mut OutlierDetector, engine: &Upstream, times: usize, now: Instant) {
    (0..times).for_each(|_| {
        health.record_failure(&service(), engine, now);
    });
}

#[test]
fn three_consecutive_failures_make_an_upstream_avoided_temporarily() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    register_engines(&mut health);
    let first = &engines()[0];
    record_failures(&mut health, first, 2, now);
    health.record_success(&service(), first);
    record_failures(&mut health, first, 2, now);
    assert!(health.avoided_upstreams(&service(), now).is_empty());
    assert_eq!(health.record_failure(&service(), first, now), HealthChange::Avoided);
    assert_eq!(health.avoided_upstreams(&service(), now), std::slice::from_ref(first));
    assert!(health.avoided_upstreams(&service(), now + Duration::from_secs(1)).is_empty());
    assert!(health.avoided_upstreams(&"other".parse().unwrap(), now).is_empty());
}

#[test]
fn a_failed_probe_doubles_the_avoidance_span() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    register_engines(&mut health);
    let first = &engines()[0];
    record_failures(&mut health, first, 3, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(health.record_failure(&service(), first, later), HealthChange::Avoided);
    assert_eq!(health.avoided_upstreams(&service(), later + Duration::from_millis(1999)).len(), 1);
    assert!(health.avoided_upstreams(&service(), later + Duration::from_secs(2)).is_empty());
}

#[test]
fn at_most_half_of_the_upstreams_are_avoided() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    register_engines(&mut health);
    engines()[..2].iter().for_each(|engine| record_failures(&mut health, engine, 3, now));
    assert_eq!(health.avoided_upstreams(&service(), now).len(), 2);
    record_failures(&mut health, &engines()[2], 3, now);
    assert!(health.avoided_upstreams(&service(), now).is_empty());
}

#[test]
fn an_upstream_twenty_times_slower_than_its_peers_is_avoided() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    let latency = |index: usize| Duration::from_millis(if index == 0 { 400 } else { 20 });
    for _ in 0..20 {
        for (index, engine) in engines().iter().enumerate() {
            health.record_latency(&service(), engine, latency(index), now);
        }
    }
    assert_eq!(health.avoided_upstreams(&service(), now), engines()[..1]);
}

#[test]
fn an_upstream_three_times_slower_is_not_avoided() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    for _ in 0..20 {
        for (index, engine) in engines().iter().enumerate() {
            let latency = Duration::from_millis(if index == 0 { 60 } else { 20 });
            health.record_latency(&service(), engine, latency, now);
        }
    }
    assert!(health.avoided_upstreams(&service(), now).is_empty());
}

#[test]
fn a_look_at_unproven_upstreams_uses_up_no_probe_request() {
    let (mut health, now) = (OutlierDetector::default(), Instant::now());
    register_engines(&mut health);
    let first = &engines()[0];
    record_failures(&mut health, first, 3, now);
    let after_avoidance = now + Duration::from_secs(2);
    assert_eq!(health.unproven_upstreams(&service()), std::slice::from_ref(first));
    assert!(health.avoided_upstreams(&service(), after_avoidance).is_empty());
    health.record_success(&service(), first);
    assert!(health.unproven_upstreams(&service()).is_empty());
}
