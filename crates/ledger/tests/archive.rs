//! Keys that outlive their answers, and the formats of snapshots.

#![allow(clippy::unwrap_used)]

mod common;

use common::{claim, settle, ticket};
use ledger::{Answer, Bounds, Ending, Ledger, Reply, Ticket, Time, Unreadable};
use state::Machine;
use test_case::test_case;

/// A snapshot with the keys `answered`, `unknown` and `running`, as the first format had it.
const FIRST_FORMAT: &str = include_str!("data/first-format.hex");

fn answer(bytes: usize) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: Some(vec![b'x'; bytes]) }
}

/// Books with `key` and settles it.
fn book(ledger: &mut Ledger, account: &str, key: &str, fence: u64, ending: Ending) {
    let ticket = ticket(account, key, "book");
    assert_eq!(claim(ledger, &ticket, fence, 0), Reply::Granted);
    assert_eq!(settle(ledger, &ticket, fence, 0, ending), Reply::Settled);
}

/// A ledger that keeps eight records whole, in which 40 older keys have lost their answers.
fn archived() -> Ledger {
    let bounds = Bounds { records: 8, account_share: 1, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    book(&mut ledger, "nasr", "unknown", 1, Ending::Unknown);
    for number in 0..40 {
        book(&mut ledger, "nasr", &format!("k{number}"), 10 + number, Ending::Answered(answer(9)));
    }
    assert!(ledger.whole() <= 8 && ledger.len() == 41);
    ledger
}

fn restarted(ledger: &Ledger) -> Ledger {
    let mut restored = Ledger::default();
    assert!(restored.restore(&ledger.snapshot()));
    restored
}

#[test]
fn a_key_that_lost_its_answer_keeps_its_outcome_through_snapshots() {
    let first = archived();
    let mut ledger = restarted(&first);
    assert_eq!(ledger, first);
    let status = Reply::Answered(Answer::of_status(201));
    assert_eq!(claim(&mut ledger, &ticket("nasr", "k0", "book"), 99, 1), status);
    assert_eq!(claim(&mut ledger, &ticket("nasr", "k0", "other"), 99, 1), Reply::Conflict);
    assert_eq!(claim(&mut ledger, &ticket("nasr", "unknown", "book"), 99, 1), Reply::Unknown);
    assert_eq!(claim(&mut ledger, &ticket("small", "k0", "book"), 99, 1), Reply::Granted);
    assert_eq!(ledger.look_up(&ticket("nasr", "k0", "book")), Some(status));
    let newest = claim(&mut ledger, &ticket("nasr", "k39", "book"), 98, 1);
    assert_eq!(newest, Reply::Answered(answer(9)));
}

#[test]
fn a_late_settlement_of_an_archived_attempt_changes_nothing() {
    let mut ledger = archived();
    let ticket = ticket("nasr", "unknown", "book");
    for ending in [Ending::NotRun, Ending::Answered(answer(1)), Ending::Unknown] {
        assert_eq!(settle(&mut ledger, &ticket, 1, 1, ending), Reply::NotClaimed);
        assert_eq!(claim(&mut ledger, &ticket, 99, 2), Reply::Unknown);
    }
}

#[test]
fn archived_keys_expire_within_a_page_span_after_their_lifetime() {
    let mut ledger = restarted(&archived());
    let Bounds { lifetime, page_span, .. } = Bounds::default();
    let first = ticket("nasr", "k0", "book");
    let before = u64::try_from(lifetime.as_millis()).unwrap() - 1;
    assert_ne!(claim(&mut ledger, &first, 99, before), Reply::Granted);
    let after = u64::try_from((lifetime + page_span).as_millis()).unwrap();
    assert_eq!(claim(&mut ledger, &first, 99, after), Reply::Granted);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn a_running_attempt_keeps_its_record() {
    let bounds = Bounds { records: 8, account_share: 1, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    let tickets: Vec<Ticket> =
        (0..9).map(|number| ticket("nasr", &format!("k{number}"), "book")).collect();
    for (ticket, fence) in tickets.iter().zip(0..8) {
        assert_eq!(claim(&mut ledger, ticket, fence, 0), Reply::Granted);
    }
    assert!(matches!(claim(&mut ledger, &tickets[8], 8, 0), Reply::Full { .. }));
    settle(&mut ledger, &tickets[3], 3, 1, Ending::Answered(answer(1)));
    assert_eq!(claim(&mut ledger, &tickets[8], 8, 1_001), Reply::Granted);
    assert!(matches!(claim(&mut ledger, &tickets[0], 9, 1_001), Reply::Running { .. }));
    settle(&mut ledger, &tickets[0], 0, 1_002, Ending::Answered(answer(2)));
    assert_eq!(claim(&mut ledger, &tickets[0], 9, 1_003), Reply::Answered(answer(2)));
}

#[test]
fn a_large_account_loses_its_own_answers_first() {
    let mut ledger = Ledger::default();
    book(&mut ledger, "small", "k", 1, Ending::Answered(answer(100)));
    for number in 0..20_000 {
        book(&mut ledger, "large", &format!("k{number}"), 2 + number, Ending::Unknown);
    }
    let reply = claim(&mut ledger, &ticket("small", "k", "book"), 1 << 40, 1);
    assert_eq!(reply, Reply::Answered(answer(100)));
    assert!(ledger.whole() <= 1 + Bounds::default().records / 4);
}

#[test]
fn the_answers_of_an_account_stay_within_its_bytes() {
    let bounds = Bounds { bytes: 40_000, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    for number in 0..50 {
        let key = format!("k{number}");
        book(&mut ledger, "nasr", &key, number + 1, Ending::Answered(answer(3_000)));
        assert!(ledger.size() <= 10_000, "{}", ledger.size());
    }
    let newest = claim(&mut ledger, &ticket("nasr", "k49", "book"), 99, 1);
    assert_eq!(newest, Reply::Answered(answer(3_000)));
}

#[test]
fn every_one_of_many_archived_keys_is_found() {
    let mut ledger = Ledger::with_bounds(Bounds { account_share: 1, ..Bounds::default() });
    for number in 0..60_000 {
        book(&mut ledger, "nasr", &format!("k{number}"), number, Ending::Answered(answer(1)));
    }
    let ledger = restarted(&ledger);
    for number in 0..60_000 {
        let reply = ledger.look_up(&ticket("nasr", &format!("k{number}"), "book"));
        assert!(matches!(reply, Some(Reply::Answered(_))), "k{number}");
    }
    assert_eq!(ledger.look_up(&ticket("nasr", "k60000", "book")), None);
}

fn first_format() -> Vec<u8> {
    let text = FIRST_FORMAT.trim();
    let bytes = (0..text.len()).step_by(2);
    bytes.map(|place| u8::from_str_radix(&text[place..place + 2], 16).unwrap()).collect()
}

#[test]
fn the_first_format_is_read() {
    let mut ledger = Ledger::from_snapshot(&first_format()).unwrap();
    let kept = Answer { status: 200, headers: Vec::new(), body: Some(b"a".to_vec()) };
    assert_eq!((ledger.len(), ledger.time()), (3, Time(200)));
    assert_eq!(
        claim(&mut ledger, &ticket("nasr", "answered", "book"), 9, 0),
        Reply::Answered(kept)
    );
    assert_eq!(claim(&mut ledger, &ticket("nasr", "unknown", "book"), 9, 0), Reply::Unknown);
    let running = claim(&mut ledger, &ticket("nasr", "running", "book"), 9, 0);
    assert!(matches!(running, Reply::Running { .. }));
    assert_eq!(restarted(&ledger), ledger);
}

#[test_case(&[], Unreadable::Empty; "empty")]
#[test_case(&[0, 3, 9], Unreadable::Format { format: 3, known: 2 }; "newer")]
#[test_case(&[0, 2, 9], Unreadable::Damaged { format: 2 }; "cut short")]
#[test_case(b"no snapshot", Unreadable::Damaged { format: 1 }; "first format damaged")]
fn other_formats_are_refused_by_name(bytes: &[u8], problem: Unreadable) {
    assert_eq!(Ledger::from_snapshot(bytes), Err(problem));
}
