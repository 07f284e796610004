//! What is known against requests that are not quarantined yet.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use quarantine::{Admission, Check, Key, Run, Suspects, Suspicions};

const BAD: Key = Key(7);
const SHARED: Key = Key(1);

fn run(upstream: u32) -> Run {
    Run { upstream, born: 1 }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_request_that_was_answered_shortly_before_one_crash_is_not_held_up() {
    let start = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_sound(start, &[SHARED]);
    let now = start + seconds(1);
    suspects.record_crash(now, run(1), now, &[SHARED, BAD]);
    assert_eq!(suspects.hazard(now, &[SHARED]), None);
    assert_eq!(suspects.hazard(now, &[BAD]).map(|hazard| hazard.crashes), Some(1));
    suspects.record_crash(now, run(2), now, &[SHARED]);
    assert_eq!(suspects.hazard(now, &[SHARED]), None);
    let later = now + seconds(1);
    suspects.record_crash(later, run(3), later, &[SHARED]);
    assert_eq!(suspects.hazard(later, &[SHARED]).map(|hazard| hazard.crashes), Some(2));
}

#[test]
fn an_old_answer_does_not_excuse_a_crash() {
    let start = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_sound(start, &[BAD]);
    let now = start + seconds(60);
    suspects.record_crash(now, run(1), now, &[BAD]);
    assert!(suspects.hazard(now, &[BAD]).is_some());
}

#[test]
fn an_answer_ends_the_hazard_of_a_request_at_once() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_crash(now, run(1), now, &[BAD]);
    suspects.record_crash(now, run(2), now, &[BAD]);
    assert!(suspects.hazard(now, &[BAD]).is_some_and(|hazard| hazard.until > now));
    suspects.record_sound(now + seconds(1), &[BAD]);
    assert_eq!(suspects.hazard(now + seconds(1), &[BAD]), None);
}

#[test]
fn shared_keys_say_nothing_about_a_request_whose_own_key_crashed_nothing() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_crash(now, run(1), now, &[SHARED]);
    suspects.record_crash(now, run(2), now, &[SHARED]);
    assert_eq!(suspects.hazard(now, &[Key(9), SHARED]), None);
    assert!(suspects.has_ended(run(2)) && !suspects.has_ended(run(3)));
}

#[test]
fn changes_are_news_until_they_are_sent_once() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    assert!(!suspects.has_news());
    suspects.record_crash(now, run(1), now, &[BAD]);
    assert!(suspects.has_news());
    suspects.take_updates(now, 10);
    assert!(!suspects.has_news());
    suspects.record_crash(now, run(1), now, &[BAD]);
    assert!(!suspects.has_news());
}

#[test]
fn an_upstream_that_still_listens_is_checked_once_more_before_it_is_taken_for_alive() {
    let start = Instant::now();
    let mut suspicions = Suspicions::default();
    let Check::At(first) = suspicions.record(start, run(1), &[BAD]) else {
        panic!("no check is due");
    };
    let second = suspicions.next_check(first, run(1)).unwrap();
    assert!(second > first);
    assert_eq!(suspicions.next_check(second, run(1)), None);
    assert_eq!(suspicions.next_check(first, run(2)), None);
}

/// Records that `key` was answered, and then that three upstreams crashed under it with `gap` between
/// them. Returns the time of the last crash.
fn crash_after_answer(suspects: &mut Suspects, key: Key, gap: Duration) -> Instant {
    let start = Instant::now();
    suspects.record_sound(start, &[key]);
    for upstream in 0..3 {
        let at = start + Duration::from_millis(10) + gap * upstream;
        suspects.record_crash(at, run(upstream), at, &[key]);
    }
    start + Duration::from_millis(10) + gap * 2
}

fn is_accepted(suspects: &Suspects, now: Instant, key: Key) -> bool {
    suspects.check(now, &[key], |_| false) == Admission::Accept
}

#[test]
fn three_upstreams_that_end_together_let_no_recently_answered_request_be_quarantined() {
    let mut suspects = Suspects::default();
    let now = crash_after_answer(&mut suspects, SHARED, Duration::from_millis(30));
    assert!(is_accepted(&suspects, now, SHARED));
    let mut other = Suspects::default();
    for record in suspects.records(now) {
        other.merge(now, &record);
    }
    assert!(is_accepted(&other, now, SHARED));
}

#[test]
fn a_request_that_was_answered_before_goes_on_to_crash_upstreams() {
    let mut suspects = Suspects::default();
    let now = crash_after_answer(&mut suspects, BAD, Duration::from_millis(1500));
    assert!(!is_accepted(&suspects, now, BAD));
    let mut suspects = Suspects::default();
    let now = crash_after_answer(&mut suspects, BAD, Duration::from_millis(30));
    assert!(!is_accepted(&suspects, now + seconds(10), BAD));
}
