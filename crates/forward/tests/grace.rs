//! Time limits of a graceful shutdown whose signal may have waited.

use std::time::{Duration, Instant};

use forward::{Grace, HEARTBEAT_INTERVAL, Heartbeat, Shutdown};
use test_case::test_case;

const LIMIT: Duration = Duration::from_secs(8);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Beats until `start`, holds the process up for `hold_up`, and beats afterwards if `beats_after`.
fn held_up(start: Instant, hold_up: Duration, beats_after: bool) -> Heartbeat {
    let mut heartbeat = Heartbeat::new(start - millis(300));
    heartbeat.beat(start - millis(300) + HEARTBEAT_INTERVAL);
    heartbeat.beat(start - millis(100));
    heartbeat.beat(start);
    if beats_after {
        heartbeat.beat(start + hold_up);
    }
    heartbeat
}

#[test_case(100, false, 100; "not held up")]
#[test_case(300, false, 0; "held up")]
#[test_case(300, true, 0; "held up with a beat before the signal is handled")]
#[test_case(1000, true, 0; "held up for a second")]
fn a_signal_that_waited_while_the_process_was_held_up_counts_as_sent_late(
    hold_up: u64,
    beats_after: bool,
    earliest: u64,
) {
    let start = Instant::now() + millis(10_000);
    let received_at = start + millis(hold_up);
    let heartbeat = held_up(start, millis(hold_up), beats_after);
    let now = received_at + millis(1);
    assert_eq!(heartbeat.earliest_sending(received_at, now), start + millis(earliest));
}

#[test]
fn a_signal_long_after_a_hold_up_counts_as_sent_early() {
    let start = Instant::now() + millis(10_000);
    let mut heartbeat = held_up(start, millis(500), true);
    for beat in 1..=4 {
        heartbeat.beat(start + millis(500) + HEARTBEAT_INTERVAL * beat);
    }
    let received_at = start + millis(930);
    assert_eq!(heartbeat.earliest_sending(received_at, received_at), received_at);
}

#[test_case(0; "that did not wait")]
#[test_case(100; "that waited for a tenth of a second")]
#[test_case(300; "that waited for a third of a second")]
#[test_case(1000; "that waited for a second")]
fn a_request_is_cut_against_the_rule_after_a_signal(waited: u64) {
    let sent = Instant::now();
    let received_at = sent + millis(waited);
    let grace = Grace::new(sent, received_at, LIMIT);
    let shutdown = Shutdown::new(grace.begin, grace.end);
    let arrival = sent + millis(3000);
    assert!(!shutdown.accepts(arrival, arrival + millis(6000)));
    assert!(grace.end >= received_at + LIMIT.mul_f64(5.0 / 6.0), "the signal was sent late");
    assert!(grace.end < sent + LIMIT, "the signal was sent early");
}

#[test]
fn a_signal_that_waited_in_the_first_of_two_hold_ups_counts_as_sent_late() {
    let start = Instant::now() + millis(10_000);
    let heartbeat = held_up(start, millis(500), true);
    let received_at = start + millis(501);
    let earliest = heartbeat.earliest_sending(received_at, start + millis(900));
    assert!(earliest <= start, "{:?} after the beat before", earliest - start);
}

#[test_case(121; "for little more than the interval of the heartbeat")]
#[test_case(160; "for less than two intervals of the heartbeat")]
#[test_case(199; "for almost two intervals of the heartbeat")]
fn a_request_is_cut_against_the_rule_when_the_signal_waited_for_a_short_time(waited: u64) {
    let sent = Instant::now() + millis(10_000);
    let received_at = sent + millis(waited);
    let earliest = held_up(sent, millis(waited), true).earliest_sending(received_at, received_at);
    let grace = Grace::new(earliest, received_at, LIMIT);
    let arrival = sent + millis(3000);
    assert!(!Shutdown::new(grace.begin, grace.end).accepts(arrival, arrival + millis(6000)));
}
