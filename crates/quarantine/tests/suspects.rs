//! Decisions about keys of requests that may crash upstreams.

use std::time::{Duration, Instant};

use quarantine::{Admission, Change, Check, CrashRecord, Key, MAX_KEYS, Run, Suspects, Suspicions};
use test_case::test_case;

const BAD: Key = Key(7);
const SHARED: Key = Key(1);

fn run(upstream: u32) -> Run {
    Run { upstream, born: 1 }
}

fn nobody(_: Key) -> bool {
    false
}

fn everybody(_: Key) -> bool {
    true
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn is_refused(suspects: &Suspects, now: Instant, keys: &[Key]) -> bool {
    matches!(suspects.check(now, keys, nobody), Admission::Refuse { .. })
}

/// Returns suspects after three upstreams crashed under [`BAD`].
fn quarantined(now: Instant) -> Suspects {
    let mut suspects = Suspects::default();
    for upstream in 0..3 {
        suspects.record_crash(now, run(upstream), now, &[BAD]);
    }
    suspects
}

#[test]
fn a_part_is_quarantined_once_three_upstreams_crashed_under_it() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    assert_eq!(suspects.record_crash(now, run(1), now, &[SHARED, BAD]), []);
    suspects.record_crash(now, run(1), now, &[SHARED, BAD]);
    suspects.record_crash(now, run(2), now, &[BAD]);
    assert_eq!(suspects.check(now, &[BAD], nobody), Admission::Accept);
    assert_eq!(suspects.record_crash(now, run(3), now, &[BAD]), [Change::Quarantined(BAD)]);
    assert!(is_refused(&suspects, now, &[SHARED, BAD]));
    assert_eq!(suspects.check(now, &[SHARED], nobody), Admission::Accept);
    assert_eq!(suspects.quarantined(now), 1);
}

#[test]
fn an_answer_past_its_beginning_clears_all_parts_of_its_prompt() {
    let now = Instant::now();
    let mut suspects = quarantined(now);
    let later = now + millis(1);
    assert_eq!(suspects.record_sound(later, &[SHARED, BAD]), [Change::Released(BAD)]);
    assert_eq!(suspects.check(later, &[BAD], nobody), Admission::Accept);
    suspects.record_crash(later + millis(5), run(9), later + millis(5), &[BAD]);
    assert_eq!(suspects.check(later, &[BAD], nobody), Admission::Accept);
}

#[test]
fn an_answer_clears_a_part_whose_earlier_crash_is_reported_later() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_sound(now + millis(50), &[SHARED]);
    for upstream in 0..5 {
        suspects.record_crash(now + millis(200), run(upstream), now, &[SHARED]);
    }
    assert_eq!(suspects.quarantined(now + millis(200)), 0);
    let mut other = Suspects::default();
    for upstream in 0..5 {
        other.record_crash(now, run(upstream), now, &[SHARED]);
    }
    for record in other.records(now + millis(200)) {
        assert_eq!(suspects.merge(now + millis(200), &record), None);
    }
    assert_eq!(suspects.quarantined(now + millis(200)), 0);
}

#[test]
fn an_answer_before_a_crash_does_not_clear_the_part() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_sound(now, &[BAD]);
    let mut later = now + millis(10);
    for upstream in 0..3 {
        suspects.record_crash(later, run(upstream), later, &[BAD]);
        later += millis(1000);
    }
    assert!(is_refused(&suspects, later, &[BAD]));
    let mut suspects = Suspects::default();
    suspects.record_sound(now, &[BAD]);
    for upstream in 0..3 {
        suspects.record_crash(now + millis(10), run(upstream), now + millis(10), &[BAD]);
    }
    assert!(is_refused(&suspects, now + Duration::from_secs(10), &[BAD]));
}

#[test]
fn a_quarantined_part_is_tried_twice_at_most_and_by_one_instance() {
    let now = Instant::now();
    let mut suspects = quarantined(now);
    let mut trials = 0;
    for second in 0..23 * 3600 {
        let at = now + Duration::from_secs(second);
        assert_ne!(suspects.check(at, &[SHARED, BAD], nobody), Admission::Try);
        if suspects.check(at, &[SHARED, BAD], everybody) == Admission::Try {
            assert!(second >= 60, "tried after {second} s");
            suspects.record_trial(at, &[SHARED, BAD]);
            trials += 1;
        }
    }
    assert_eq!(trials, 2);
}

#[test]
fn a_trial_that_succeeds_ends_the_quarantine_everywhere() {
    let now = Instant::now();
    let (mut one, mut other) = (quarantined(now), quarantined(now));
    let later = now + Duration::from_secs(600);
    assert_eq!(one.check(later, &[BAD], everybody), Admission::Try);
    one.record_trial(later, &[BAD]);
    one.record_sound(later + millis(900), &[BAD]);
    for record in one.take_updates(later + millis(901), 100) {
        other.merge(later + millis(902), &record);
    }
    assert_eq!(other.check(later + millis(903), &[BAD], nobody), Admission::Accept);
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn an_instance_that_restarted_learns_all_and_a_change_is_sent_a_few_times_only() {
    let now = Instant::now();
    let mut known = quarantined(now);
    let mut restarted = Suspects::default();
    assert_ne!(known.digest(), restarted.digest());
    for record in known.records(now + millis(100)) {
        restarted.merge(now + millis(101), &record);
    }
    assert!(is_refused(&restarted, now, &[BAD]));
    assert_eq!(known.digest(), restarted.digest());
    let rounds = (0..100).filter(|_| !known.take_updates(now, 100).is_empty()).count();
    assert!((1..10).contains(&rounds), "{rounds}");
}

#[test]
fn invented_parts_take_bounded_memory_and_do_not_displace_a_quarantined_part() {
    let now = Instant::now();
    let mut suspects = quarantined(now);
    let keys: Vec<Key> = (100..20_000).map(Key).collect();
    for (number, chunk) in keys.chunks(1000).enumerate() {
        let at = now + millis(number as u64);
        suspects.record_crash(at, run(number as u32), at, chunk);
        suspects.record_sound(at, chunk);
    }
    assert!(suspects.records(now).len() <= 512);
    assert!(is_refused(&suspects, now, &[BAD]));
}

#[test]
fn a_part_is_forgotten_a_day_after_its_last_crash() {
    let now = Instant::now();
    let mut suspects = quarantined(now);
    let later = now + Duration::from_secs(23 * 3600);
    suspects.expire(later);
    assert_eq!(suspects.quarantined(later), 1);
    suspects.expire(now + Duration::from_secs(25 * 3600));
    assert_eq!(suspects.records(now).len(), 0);
}

#[test]
fn a_record_with_impossible_ages_and_too_many_crashes_is_harmless() {
    let now = Instant::now();
    let mut record = quarantined(now).records(now).remove(0);
    record.crashes =
        (0..10_000).map(|upstream| CrashRecord { run: run(upstream), age_ms: u32::MAX }).collect();
    record.cleared_age_ms = Some(u32::MAX);
    let mut suspects = Suspects::default();
    suspects.merge(now, &record);
    assert!(suspects.records(now).iter().all(|record| record.crashes.len() <= 5));
}

#[test_case(MAX_KEYS, true; "at the limit")]
#[test_case(MAX_KEYS + 1, false; "beyond the limit")]
fn the_first_parts_of_a_long_prompt_are_looked_at(position: usize, is_seen: bool) {
    let now = Instant::now();
    let suspects = quarantined(now);
    let mut keys: Vec<Key> = (100..).take(position).map(Key).collect();
    keys[position - 1] = BAD;
    assert_eq!(is_refused(&suspects, now, &keys), is_seen);
}

#[test]
fn broken_answers_of_one_upstream_are_checked_once_and_taken_together() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    let Check::At(at) = suspicions.record(now, run(1), &[SHARED, BAD]) else {
        panic!("no check is due");
    };
    assert!(at > now);
    assert_eq!(suspicions.record(now + millis(5), run(1), &[Key(3), BAD]), Check::Pending);
    assert_eq!(suspicions.take(run(2)), None);
    assert_eq!(suspicions.take(run(1)), Some((now, vec![SHARED, Key(3), BAD])));
    assert_eq!(suspicions.take(run(1)), None);
    assert!(matches!(suspicions.record(now, run(1), &[BAD]), Check::At(_)));
}
