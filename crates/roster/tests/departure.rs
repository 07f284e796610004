//! Leaves that arrive before the first announcement of their run, or that name no run: no announcement
//! of a run that has left brings it back, whatever the order of arrival, and the next run is used.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::Upstream;
use proptest::prelude::*;
use roster::departure::{CLOCK_TOLERANCE_MILLIS, Departure, LATENESS, MAX_DEPARTURES};
use roster::{Announcement, DepartResult, MergeResult, Record, Roster, Status};
use test_case::test_case;

const ROSTERS: usize = 3;

/// Unix time in milliseconds at the start of each test.
const START_MILLIS: u64 = 1_000_000;

fn upstream(name: &str) -> Upstream {
    name.parse().unwrap()
}

fn record(born: u64, sequence: u64) -> Record {
    let announcement = Announcement {
        upstream: upstream("a"),
        service: "captions".parse().unwrap(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "giza".parse().unwrap(),
        slots: 8,
        standing: Status::Ready,
        born,
        sequence,
        cold_remaining: 0,
    };
    Record { announcement }
}

/// Receives a leave as a control instance does.
fn leave(roster: &mut Roster, now: Instant, born: Option<u64>, at_millis: u64) {
    match roster.departure_for(&upstream("a"), born, at_millis) {
        Some(departure) => drop(roster.depart(now, now, departure)),
        None => {
            roster.withdraw(now, &upstream("a"), born);
        }
    }
}

fn is_present(roster: &Roster) -> bool {
    roster.present().next().is_some()
}

/// Restarts an instance with what it stored.
fn restart(roster: &Roster, now: Instant) -> Roster {
    let mut restarted = Roster::default();
    for record in roster.records() {
        restarted.merge(now, record);
    }
    for report in roster.departures(now) {
        restarted.restore_departure(now, report.departure);
    }
    restarted
}

/// Sends the departures and the records of a roster to another one, as instances do.
fn send(rosters: &mut [Roster], now: Instant, from: usize, to: usize) {
    if from == to {
        return;
    }
    let (reports, records) = (rosters[from].departures(now), rosters[from].records());
    for report in reports {
        rosters[to].depart(now, report.left_at(now), report.departure);
    }
    for record in records {
        rosters[to].merge(now, record);
    }
}

/// An event that the test chooses.
#[derive(Debug, Clone)]
enum Event {
    /// An announcement of the run that leaves, or of an earlier one, arrives.
    Announce {
        roster: usize,
        is_earlier: bool,
        sequence: u64,
    },
    /// The leave arrives, or is repeated.
    Leave {
        roster: usize,
    },
    Send {
        from: usize,
        to: usize,
    },
    Restart {
        roster: usize,
    },
    /// An instance loses its disk and hears from another one.
    Lose {
        roster: usize,
        from: usize,
    },
    Pass {
        millis: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let roster = || 0..ROSTERS;
    prop_oneof![
        4 => (roster(), any::<bool>(), 1..9u64).prop_map(|(roster, is_earlier, sequence)| {
            Event::Announce { roster, is_earlier, sequence }
        }),
        2 => roster().prop_map(|roster| Event::Leave { roster }),
        4 => (roster(), roster()).prop_map(|(from, to)| Event::Send { from, to }),
        1 => roster().prop_map(|roster| Event::Restart { roster }),
        1 => (roster(), roster()).prop_map(|(roster, from)| Event::Lose { roster, from }),
        2 => (0..900u64).prop_map(|millis| Event::Pass { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// Guards against an upstream that left and is used again, at an instance that has the leave.
    #[test]
    fn no_announcement_brings_back_a_run_that_left(
        events in prop::collection::vec(event(), 1..40),
        is_named in any::<bool>(),
        // The run began up to two seconds before the leave; its clock differs by up to two seconds.
        age in 0..2000i64,
        clock in -2000..2000i64,
    ) {
        let begin = Instant::now();
        let (mut now, mut millis) = (begin, START_MILLIS);
        let mut rosters: Vec<Roster> = (0..ROSTERS).map(|_| Roster::default()).collect();
        let mut has_leave = [false; ROSTERS];
        let born = START_MILLIS.checked_add_signed(clock - age).unwrap();
        for event in events {
            // Announcements are late by less than this.
            if now + Duration::from_millis(900) >= begin + LATENESS {
                break;
            }
            match event {
                Event::Announce { roster, is_earlier, sequence } => {
                    let born = if is_earlier { born - 100 } else { born };
                    rosters[roster].merge(now, record(born, sequence));
                }
                Event::Leave { roster } => {
                    leave(&mut rosters[roster], now, is_named.then_some(born), millis);
                    has_leave[roster] = true;
                }
                Event::Send { from, to } => {
                    send(&mut rosters, now, from, to);
                    has_leave[to] |= has_leave[from];
                }
                Event::Restart { roster } => rosters[roster] = restart(&rosters[roster], now),
                Event::Lose { roster, from } => {
                    rosters[roster] = Roster::default();
                    send(&mut rosters, now, from, roster);
                    has_leave[roster] = from != roster && has_leave[from];
                }
                Event::Pass { millis: passed } => {
                    now += Duration::from_millis(passed);
                    millis += passed;
                }
            }
            for (roster, has_leave) in rosters.iter().zip(has_leave) {
                prop_assert!(!has_leave || !is_present(roster), "{:?}", roster.records());
            }
        }
    }

    /// Guards against a new run that is not used, or is ended by copies of the leave before it.
    #[test]
    fn the_next_run_is_used_once_announcements_are_no_longer_late(
        events in prop::collection::vec(event(), 0..30),
        is_named in any::<bool>(),
        is_known in any::<bool>(),
        // The next run begins up to four seconds after the leave; its clock differs by up to two.
        pause in 1..4000i64,
        clock in -2000..2000i64,
    ) {
        let begin = Instant::now();
        let mut rosters: Vec<Roster> = (0..ROSTERS).map(|_| Roster::default()).collect();
        let ended = START_MILLIS - 1000;
        if is_known {
            for roster in &mut rosters {
                roster.merge(begin, record(ended, 1));
            }
        }
        leave(&mut rosters[0], begin, is_named.then_some(ended), START_MILLIS);
        (1..ROSTERS).for_each(|to| send(&mut rosters, begin, 0, to));
        let mut now = begin + LATENESS;
        // With a start before that of the run that left, it is not a later run.
        let born = START_MILLIS.checked_add_signed(pause + clock).unwrap().max(ended + 1);
        prop_assert_eq!(rosters[0].merge(now, record(born, 1)), MergeResult::Changed);
        (1..ROSTERS).for_each(|to| send(&mut rosters, now, 0, to));
        for event in events {
            match event {
                Event::Announce { roster, sequence, .. } => {
                    rosters[roster].merge(now, record(born, sequence));
                }
                Event::Leave { .. } => {}
                Event::Send { from, to } => send(&mut rosters, now, from, to),
                Event::Restart { roster } => rosters[roster] = restart(&rosters[roster], now),
                Event::Lose { roster, from } if roster != from => {
                    rosters[roster] = Roster::default();
                    send(&mut rosters, now, from, roster);
                }
                Event::Lose { .. } => {}
                Event::Pass { millis } => now += Duration::from_millis(millis),
            }
            prop_assert!(rosters.iter().all(is_present));
        }
    }
}

/// Guards against a leave that ends runs which began long after it, and against one that spares runs
/// which began long before.
#[test_case(Some(500), 500, MergeResult::Ended; "the run that a leave names")]
#[test_case(Some(500), 499, MergeResult::Ended; "a run before the one that a leave names")]
#[test_case(Some(500), 501, MergeResult::Changed; "a run after the one that a leave names")]
#[test_case(None, START_MILLIS - 60_000, MergeResult::Ended; "a run long before")]
#[test_case(None, START_MILLIS, MergeResult::Ended; "a run at the same time")]
#[test_case(None, START_MILLIS + CLOCK_TOLERANCE_MILLIS, MergeResult::Ended; "a run a little later")]
#[test_case(None, START_MILLIS + CLOCK_TOLERANCE_MILLIS + 1, MergeResult::Changed; "a run later")]
#[test_case(None, 0, MergeResult::Ended; "a run whose start is not announced")]
fn a_leave_of_an_unknown_upstream_ends_the_runs_before_it(
    named: Option<u64>,
    born: u64,
    expected: MergeResult,
) {
    let now = Instant::now();
    let mut roster = Roster::default();
    leave(&mut roster, now, named, START_MILLIS);
    assert_eq!(roster.merge(now, record(born, 1)), expected);
}

/// Guards against a name that is of no use for long after a leave at a wrong clock.
#[test]
fn a_run_is_used_a_minute_after_a_leave_whose_time_was_wrong() {
    let now = Instant::now();
    let mut roster = Roster::default();
    leave(&mut roster, now, None, START_MILLIS + 3_600_000);
    let late = now + Duration::from_secs(59);
    assert_eq!(roster.merge(late, record(START_MILLIS, 1)), MergeResult::Ended);
    let later = now + Duration::from_secs(60);
    // An expired departure is dropped with the first message after it.
    roster.merge(later, record(START_MILLIS, 2));
    assert_eq!(roster.merge(later, record(START_MILLIS, 3)), MergeResult::Changed);
    assert_eq!(roster.departure_count(), 0);
}

/// Guards against an earlier run that is known, by which the leave of the next one is taken for its own.
#[test]
fn a_leave_ends_an_unknown_run_of_a_known_upstream() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.merge(now, record(START_MILLIS - 9000, 1));
    leave(&mut roster, now, None, START_MILLIS);
    assert!(!is_present(&roster));
    assert_eq!(roster.merge(now, record(START_MILLIS - 500, 1)), MergeResult::Ended);
}

/// Guards against a leave that spares the known run, because the clock of the upstream is ahead.
#[test]
fn a_leave_ends_the_known_run_whatever_the_clocks() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.merge(now, record(START_MILLIS + 3_600_000, 1));
    leave(&mut roster, now, None, START_MILLIS);
    assert!(!is_present(&roster));
}

/// Guards against a repeated leave that waits for disks from the beginning, and against the leave of the
/// next run that is taken for a repeat.
#[test_case(None, 0, 1000, true; "no run and a second later")]
#[test_case(None, 0, CLOCK_TOLERANCE_MILLIS + 1, false; "no run and later")]
#[test_case(None, START_MILLIS + 500, 1000, false; "no run after the next run was known")]
#[test_case(Some(500), 0, 60_000, true; "the same run")]
fn a_repeated_leave_is_the_same_departure(
    named: Option<u64>,
    next_run: u64,
    delay: u64,
    is_same: bool,
) {
    let now = Instant::now();
    let mut roster = Roster::default();
    leave(&mut roster, now, named, START_MILLIS);
    let first = roster.departure(&upstream("a")).unwrap().0.clone();
    if next_run > 0 {
        roster.merge(now + LATENESS, record(next_run, 1));
    }
    let repeated = roster.departure_for(&upstream("a"), named, START_MILLIS + delay);
    assert_eq!(repeated == Some(first), is_same, "{repeated:?}");
}

/// Guards against leaves without a limit, and against a limit at which a recent leave is dropped.
#[test]
fn recent_leaves_are_not_dropped_for_others() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let departure = |number: usize| Departure {
        upstream: upstream(&format!("a-{number}")),
        through: Some(1),
        before: None,
    };
    for number in 0..MAX_DEPARTURES {
        let result = roster.depart(now, now, departure(number));
        assert_eq!(result, DepartResult::Changed(None));
    }
    let (known, unknown) = (upstream("a-0"), upstream("b"));
    assert!(roster.has_room_for_departure(now, &known));
    assert!(!roster.has_room_for_departure(now, &unknown));
    assert_eq!(roster.depart(now, now, departure(MAX_DEPARTURES)), DepartResult::Full);
    let later = now + LATENESS;
    assert!(roster.has_room_for_departure(later, &unknown));
    let result = roster.depart(later, later, departure(MAX_DEPARTURES));
    assert_eq!(result, DepartResult::Changed(None));
    assert_eq!(roster.departure_count(), MAX_DEPARTURES);
}

/// Guards against a copy of a leave that is kept for longer at each instance that gets it.
#[test]
fn copies_are_dropped_at_the_same_time() {
    let now = Instant::now();
    let mut first = Roster::default();
    leave(&mut first, now, None, START_MILLIS);
    let late = now + Duration::from_secs(50);
    let mut second = Roster::default();
    for report in first.departures(late) {
        second.depart(late, report.left_at(late), report.departure);
    }
    let expired = now + Duration::from_secs(60);
    second.merge(expired, record(START_MILLIS + 60_000, 1));
    assert_eq!(second.departure_count(), 0);
}
