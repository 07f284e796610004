//! Announcements of upstreams that are cold for some time.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::Upstream;
use roster::{Announcement, MergeResult, Record, Roster, Status};

fn record(sequence: u64, cold_remaining: u32) -> Record {
    let announcement = Announcement {
        upstream: upstream(),
        service: "captions".parse().unwrap(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "giza".parse().unwrap(),
        slots: 8,
        standing: Status::Ready,
        born: 1,
        sequence,
        cold_remaining,
    };
    Record { announcement }
}

fn upstream() -> Upstream {
    "a".parse().unwrap()
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against announcements that are each sent on to all instances while an upstream is cold.
#[test]
fn a_cold_time_that_only_runs_down_is_no_change() {
    let now = Instant::now();
    let mut roster = Roster::default();
    assert_eq!(roster.merge(now, record(1, 3000)), MergeResult::Changed);
    let digest = roster.digest();
    assert_eq!(roster.merge(now + millis(1200), record(2, 1800)), MergeResult::Unchanged);
    // The announcement is 100 ms later than the others.
    assert_eq!(roster.merge(now + millis(2500), record(3, 600)), MergeResult::Unchanged);
    assert_eq!(roster.cold_until(&upstream()), Some(now + millis(3000)));
    assert_eq!(roster.digest(), digest);
}

/// Guards against instances that do not learn that an upstream is cold again, or warm.
#[test]
fn a_cold_time_that_begins_grows_or_ends_is_a_change() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let mut digests = Vec::new();
    let steps = [(0, 0), (1200, 3000), (2400, 3000), (6000, 0), (7200, 100)];
    for (sequence, (after, remaining)) in (1..).zip(steps) {
        let at = now + millis(after);
        assert_eq!(roster.merge(at, record(sequence, remaining)), MergeResult::Changed, "{after}");
        let until = (remaining > 0).then(|| at + millis(u64::from(remaining)));
        assert_eq!(roster.cold_until(&upstream()), until);
        digests.push(roster.digest());
    }
    // Rosters that differ in this exchange their records.
    assert_eq!(digests[0], digests[3]);
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 4);
    assert_eq!(roster.merge(now + millis(8400), record(4, 9000)), MergeResult::Stale);
}

/// Guards against an instance that learns of an upstream late and takes it as cold for the whole time.
#[test]
fn a_record_that_is_sent_later_names_the_time_that_is_left() {
    let now = Instant::now();
    let (mut first, mut second) = (Roster::default(), Roster::default());
    first.merge(now, record(1, 3000));
    for (after, expected) in [(0, 3000), (1000, 2000), (2999, 1), (9000, 1)] {
        let records = first.records_to_send(now + millis(after), u16::MAX);
        assert_eq!(records[0].announcement.cold_remaining, expected);
        second.merge(now + millis(after), records[0].clone());
        assert_eq!(first.digests(), second.digests());
    }
    assert_eq!(second.cold_until(&upstream()), Some(now + millis(3000)));
}
