//! Upstreams that fail, recover or lag behind.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use dispatch::{Finding, Health};
use names::{Service, Upstream};

fn service() -> Service {
    "caption".parse().unwrap()
}

fn engines() -> [Upstream; 4] {
    ["a", "b", "c", "d"].map(|name| name.parse().unwrap())
}

fn known(health: &mut Health) {
    engines().iter().for_each(|engine| health.succeeded(&service(), engine));
}

fn fail(health: &mut Health, engine: &Upstream, times: usize, now: Instant) {
    (0..times).for_each(|_| {
        health.failed(&service(), engine, now);
    });
}

#[test]
fn three_failures_in_a_row_make_an_upstream_avoided_for_a_while() {
    let (mut health, now) = (Health::default(), Instant::now());
    known(&mut health);
    let first = &engines()[0];
    fail(&mut health, first, 2, now);
    health.succeeded(&service(), first);
    fail(&mut health, first, 2, now);
    assert!(health.avoided(&service(), now).is_empty());
    assert_eq!(health.failed(&service(), first, now), Finding::Avoided);
    assert_eq!(health.avoided(&service(), now), std::slice::from_ref(first));
    assert!(health.avoided(&service(), now + Duration::from_secs(1)).is_empty());
    assert!(health.avoided(&"other".parse().unwrap(), now).is_empty());
}

#[test]
fn a_failed_trial_doubles_the_time() {
    let (mut health, now) = (Health::default(), Instant::now());
    known(&mut health);
    let first = &engines()[0];
    fail(&mut health, first, 3, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(health.failed(&service(), first, later), Finding::Avoided);
    assert_eq!(health.avoided(&service(), later + Duration::from_millis(1999)).len(), 1);
    assert!(health.avoided(&service(), later + Duration::from_secs(2)).is_empty());
}

#[test]
fn no_more_than_half_are_avoided() {
    let (mut health, now) = (Health::default(), Instant::now());
    known(&mut health);
    engines()[..2].iter().for_each(|engine| fail(&mut health, engine, 3, now));
    assert_eq!(health.avoided(&service(), now).len(), 2);
    fail(&mut health, &engines()[2], 3, now);
    assert!(health.avoided(&service(), now).is_empty());
}

#[test]
fn an_upstream_twenty_times_slower_than_its_peers_is_avoided() {
    let (mut health, now) = (Health::default(), Instant::now());
    let pace = |index: usize| Duration::from_millis(if index == 0 { 400 } else { 20 });
    for _ in 0..20 {
        for (index, engine) in engines().iter().enumerate() {
            health.paced(&service(), engine, pace(index), now);
        }
    }
    assert_eq!(health.avoided(&service(), now), engines()[..1]);
}

#[test]
fn an_upstream_three_times_slower_is_not_avoided() {
    let (mut health, now) = (Health::default(), Instant::now());
    for _ in 0..20 {
        for (index, engine) in engines().iter().enumerate() {
            let pace = Duration::from_millis(if index == 0 { 60 } else { 20 });
            health.paced(&service(), engine, pace, now);
        }
    }
    assert!(health.avoided(&service(), now).is_empty());
}
