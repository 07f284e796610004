//! Rosters that receive the same announcements in different orders, and what they exchange.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use roster::{Announcement, MergeResult, Record, Roster, Status, short_hash};

fn record(upstream: &str, born: u64, sequence: u64, standing: Status) -> Record {
    let announcement = Announcement {
        upstream: upstream.parse().unwrap(),
        service: "captions".parse().unwrap(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "giza".parse().unwrap(),
        slots: 8,
        standing,
        born,
        sequence,
        cold_remaining: 0,
    };
    Record { announcement }
}

fn standing(roster: &Roster, upstream: &str) -> Option<Status> {
    roster.get(&upstream.parse().unwrap()).map(|record| record.announcement.standing)
}

#[test]
fn a_delayed_announcement_does_not_undo_a_drain() {
    let now = Instant::now();
    let mut roster = Roster::default();
    assert_eq!(roster.merge(now, record("a", 1, 4, Status::Ready)), MergeResult::Changed);
    assert_eq!(roster.merge(now, record("a", 1, 5, Status::Ready)), MergeResult::Unchanged);
    assert_eq!(roster.merge(now, record("a", 1, 7, Status::Draining)), MergeResult::Changed);
    assert_eq!(roster.merge(now, record("a", 1, 6, Status::Ready)), MergeResult::Stale);
    assert_eq!(standing(&roster, "a"), Some(Status::Draining));
}

#[test]
fn a_leave_is_final_for_its_run_only() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.merge(now, record("a", 1, 4, Status::Ready));
    assert_eq!(roster.withdraw(now, &"a".parse().unwrap(), None), MergeResult::Changed);
    assert_eq!(roster.merge(now, record("a", 1, 9, Status::Ready)), MergeResult::Stale);
    assert_eq!(standing(&roster, "a"), Some(Status::Gone));
    assert_eq!(roster.merge(now, record("a", 2, 1, Status::Ready)), MergeResult::Changed);
    assert_eq!(roster.withdraw(now, &"a".parse().unwrap(), Some(1)), MergeResult::Stale);
    assert_eq!(standing(&roster, "a"), Some(Status::Ready));
}

#[test]
fn a_later_run_replaces_an_upstream_with_the_same_address() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.merge(now, record("old", 1, 4, Status::Ready));
    roster.merge(now, record("new", 5, 1, Status::Ready));
    assert_eq!(standing(&roster, "old"), Some(Status::Gone));
    assert_eq!(roster.merge(now, record("older", 0, 9, Status::Ready)), MergeResult::Stale);
    assert_eq!(roster.present().count(), 1);
}

#[test]
fn rosters_are_equal_for_any_order_of_announcements() {
    let now = Instant::now();
    let records = [
        record("a", 1, 1, Status::Ready),
        record("a", 1, 2, Status::Draining),
        record("a", 3, 1, Status::Ready),
        record("b", 2, 4, Status::Ready),
        record("b", 2, 5, Status::Gone),
    ];
    let mut first = Roster::default();
    let mut second = Roster::default();
    for record in &records {
        first.merge(now, record.clone());
    }
    for record in records.iter().rev() {
        second.merge(now, record.clone());
    }
    assert_eq!(first.digest(), second.digest());
    assert_eq!(standing(&first, "a"), Some(Status::Ready));
    let present = |roster: &Roster| -> Vec<Announcement> {
        roster.present().map(|(announcement, _)| announcement.clone()).collect()
    };
    assert_eq!(present(&first), present(&second));
}

#[test]
fn rosters_exchange_only_the_buckets_that_differ() {
    let now = Instant::now();
    let mut first = Roster::default();
    for number in 0..64 {
        let mut record = record(&format!("u{number}"), 1, 1, Status::Ready);
        record.announcement.address = format!("10.0.0.{number}:80").parse().unwrap();
        first.merge(now, record);
    }
    let mut second = Roster::default();
    first.records().into_iter().for_each(|record| {
        second.merge(now, record);
    });
    assert_eq!(second.differing(&first.digests()), 0);
    let mut changed = first.get(&"u7".parse().unwrap()).unwrap().clone();
    changed.announcement.standing = Status::Draining;
    changed.announcement.sequence = 2;
    first.merge(now, changed);
    let differing = second.differing(&first.digests());
    assert_eq!(differing.count_ones(), 1);
    let records = first.records_in(differing);
    assert!(records.len() < 20);
    for record in records {
        second.merge(now, record);
    }
    assert_eq!(first.digest(), second.digest());
}

#[test]
fn an_upstream_that_is_silent_for_a_minute_is_dropped() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.merge(now, record("a", 1, 1, Status::Ready));
    roster.mark_heard(now + Duration::from_secs(30), &[short_hash(&"a".parse().unwrap())]);
    let mut other = record("b", 1, 1, Status::Ready);
    other.announcement.address = "10.0.0.8:80".parse().unwrap();
    roster.merge(now + Duration::from_secs(61), other.clone());
    assert!(standing(&roster, "a").is_some());
    roster.merge(now + Duration::from_secs(95), other);
    assert!(standing(&roster, "a").is_none());
}
