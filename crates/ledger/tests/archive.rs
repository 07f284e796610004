//! Tests of archived keys, whose responses are no longer stored, and of the snapshot formats.

#![allow(clippy::unwrap_used)]

mod common;

use common::{claim, request_identity, settle};
use ledger::{
    AttemptOutcome, Bounds, Ledger, Reply, RequestIdentity, SnapshotError, StoredResponse, Time,
};
use state::Machine;
use test_case::test_case;

/// Snapshot of format 1 with the keys `answered`, `unknown` and `running`, in hexadecimal.
const FORMAT_ONE_HEX: &str = include_str!("data/first-format.hex");

fn answer(bytes: usize) -> StoredResponse {
    StoredResponse { status: 201, headers: Vec::new(), body: Some(vec![b'x'; bytes]) }
}

/// Claims `key` and settles the claim with `attempt_outcome`.
fn claim_and_settle(
    ledger: &mut Ledger,
    account: &str,
    key: &str,
    fence: u64,
    attempt_outcome: AttemptOutcome,
) {
    let identity = request_identity(account, key, "book");
    assert_eq!(claim(ledger, &identity, fence, 0), Reply::Granted);
    assert_eq!(settle(ledger, &identity, fence, 0, attempt_outcome), Reply::Settled);
}

/// Returns a ledger of 41 keys that holds at most eight full records, so that the older keys are
/// archived.
fn ledger_with_archived_keys() -> Ledger {
    let bounds = Bounds { records: 8, account_share: 1, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    claim_and_settle(&mut ledger, "nasr", "unknown", 1, AttemptOutcome::Unknown);
    for number in 0..40 {
        claim_and_settle(
            &mut ledger,
            "nasr",
            &format!("k{number}"),
            10 + number,
            AttemptOutcome::Answered(answer(9)),
        );
    }
    assert!(ledger.full_record_count() <= 8 && ledger.len() == 41);
    ledger
}

fn restored_from_snapshot(ledger: &Ledger) -> Ledger {
    let mut restored = Ledger::default();
    assert!(restored.restore(&ledger.snapshot()));
    restored
}

#[test]
fn an_archived_key_keeps_its_outcome_across_snapshots() {
    let original = ledger_with_archived_keys();
    let mut ledger = restored_from_snapshot(&original);
    assert_eq!(ledger, original);
    let status = Reply::Answered(StoredResponse::without_body(201));
    assert_eq!(claim(&mut ledger, &request_identity("nasr", "k0", "book"), 99, 1), status);
    assert_eq!(
        claim(&mut ledger, &request_identity("nasr", "k0", "other"), 99, 1),
        Reply::Conflict
    );
    assert_eq!(
        claim(&mut ledger, &request_identity("nasr", "unknown", "book"), 99, 1),
        Reply::Unknown
    );
    assert_eq!(claim(&mut ledger, &request_identity("small", "k0", "book"), 99, 1), Reply::Granted);
    assert_eq!(ledger.look_up(&request_identity("nasr", "k0", "book")), Some(status));
    let newest = claim(&mut ledger, &request_identity("nasr", "k39", "book"), 98, 1);
    assert_eq!(newest, Reply::Answered(answer(9)));
}

#[test]
fn a_late_settlement_of_an_archived_attempt_changes_nothing() {
    let mut ledger = ledger_with_archived_keys();
    let identity = request_identity("nasr", "unknown", "book");
    for attempt_outcome in
        [AttemptOutcome::NotRun, AttemptOutcome::Answered(answer(1)), AttemptOutcome::Unknown]
    {
        assert_eq!(settle(&mut ledger, &identity, 1, 1, attempt_outcome), Reply::NotClaimed);
        assert_eq!(claim(&mut ledger, &identity, 99, 2), Reply::Unknown);
    }
}

#[test]
fn archived_keys_expire_within_a_page_span_after_their_lifetime() {
    let mut ledger = restored_from_snapshot(&ledger_with_archived_keys());
    let Bounds { lifetime, page_span, .. } = Bounds::default();
    let first = request_identity("nasr", "k0", "book");
    let before = u64::try_from(lifetime.as_millis()).unwrap() - 1;
    assert_ne!(claim(&mut ledger, &first, 99, before), Reply::Granted);
    let after = u64::try_from((lifetime + page_span).as_millis()).unwrap();
    assert_eq!(claim(&mut ledger, &first, 99, after), Reply::Granted);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn the_record_of_a_running_attempt_is_not_archived() {
    let bounds = Bounds { records: 8, account_share: 1, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    let identities: Vec<RequestIdentity> =
        (0..9).map(|number| request_identity("nasr", &format!("k{number}"), "book")).collect();
    for (identity, fence) in identities.iter().zip(0..8) {
        assert_eq!(claim(&mut ledger, identity, fence, 0), Reply::Granted);
    }
    assert!(matches!(claim(&mut ledger, &identities[8], 8, 0), Reply::Full { .. }));
    settle(&mut ledger, &identities[3], 3, 1, AttemptOutcome::Answered(answer(1)));
    assert_eq!(claim(&mut ledger, &identities[8], 8, 1_001), Reply::Granted);
    assert!(matches!(claim(&mut ledger, &identities[0], 9, 1_001), Reply::Running { .. }));
    settle(&mut ledger, &identities[0], 0, 1_002, AttemptOutcome::Answered(answer(2)));
    assert_eq!(claim(&mut ledger, &identities[0], 9, 1_003), Reply::Answered(answer(2)));
}

#[test]
fn the_records_of_a_large_account_are_archived_before_those_of_others() {
    let mut ledger = Ledger::default();
    claim_and_settle(&mut ledger, "small", "k", 1, AttemptOutcome::Answered(answer(100)));
    for number in 0..20_000 {
        claim_and_settle(
            &mut ledger,
            "large",
            &format!("k{number}"),
            2 + number,
            AttemptOutcome::Unknown,
        );
    }
    let reply = claim(&mut ledger, &request_identity("small", "k", "book"), 1 << 40, 1);
    assert_eq!(reply, Reply::Answered(answer(100)));
    assert!(ledger.full_record_count() <= 1 + Bounds::default().records / 4);
}

#[test]
fn the_responses_of_an_account_stay_within_its_byte_limit() {
    let bounds = Bounds { bytes: 40_000, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    for number in 0..50 {
        let key = format!("k{number}");
        claim_and_settle(
            &mut ledger,
            "nasr",
            &key,
            number + 1,
            AttemptOutcome::Answered(answer(3_000)),
        );
        assert!(ledger.record_bytes() <= 10_000, "{}", ledger.record_bytes());
    }
    let newest = claim(&mut ledger, &request_identity("nasr", "k49", "book"), 99, 1);
    assert_eq!(newest, Reply::Answered(answer(3_000)));
}

#[test]
fn every_archived_key_is_found() {
    let mut ledger = Ledger::with_bounds(Bounds { account_share: 1, ..Bounds::default() });
    for number in 0..60_000 {
        claim_and_settle(
            &mut ledger,
            "nasr",
            &format!("k{number}"),
            number,
            AttemptOutcome::Answered(answer(1)),
        );
    }
    let ledger = restored_from_snapshot(&ledger);
    for number in 0..60_000 {
        let reply = ledger.look_up(&request_identity("nasr", &format!("k{number}"), "book"));
        assert!(matches!(reply, Some(Reply::Answered(_))), "k{number}");
    }
    assert_eq!(ledger.look_up(&request_identity("nasr", "k60000", "book")), None);
}

fn format_one_snapshot() -> Vec<u8> {
    let text = FORMAT_ONE_HEX.trim();
    let bytes = (0..text.len()).step_by(2);
    bytes.map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).unwrap()).collect()
}

#[test]
fn a_snapshot_of_format_one_is_read() {
    let mut ledger = Ledger::from_snapshot(&format_one_snapshot()).unwrap();
    let stored = StoredResponse { status: 200, headers: Vec::new(), body: Some(b"a".to_vec()) };
    assert_eq!((ledger.len(), ledger.time()), (3, Time(200)));
    assert_eq!(
        claim(&mut ledger, &request_identity("nasr", "answered", "book"), 9, 0),
        Reply::Answered(stored)
    );
    assert_eq!(
        claim(&mut ledger, &request_identity("nasr", "unknown", "book"), 9, 0),
        Reply::Unknown
    );
    let running = claim(&mut ledger, &request_identity("nasr", "running", "book"), 9, 0);
    assert!(matches!(running, Reply::Running { .. }));
    assert_eq!(restored_from_snapshot(&ledger), ledger);
}

#[test_case(&[], SnapshotError::Empty; "empty")]
#[test_case(&[0, 3, 9], SnapshotError::Format { format: 3, known: 2 }; "newer")]
#[test_case(&[0, 2, 9], SnapshotError::Damaged { format: 2 }; "truncated")]
#[test_case(b"no snapshot", SnapshotError::Damaged { format: 1 }; "first format damaged")]
fn an_unreadable_snapshot_is_refused_with_the_cause(bytes: &[u8], error: SnapshotError) {
    assert_eq!(Ledger::from_snapshot(bytes), Err(error));
}
