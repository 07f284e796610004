//! Tests of the replies of the ledger to single commands.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{claim, request_identity, settle};
use ledger::{AttemptOutcome, Bounds, Digest, Key, Ledger, Reply, StoredResponse, Time};
use state::Machine;
use test_case::test_case;

fn answer(text: &str) -> StoredResponse {
    StoredResponse { status: 200, headers: Vec::new(), body: Some(text.as_bytes().to_vec()) }
}

#[test]
fn a_resend_gets_the_first_response() {
    let mut ledger = Ledger::default();
    let identity = request_identity("nasr", "k1", "book");
    assert_eq!(claim(&mut ledger, &identity, 1, 0), Reply::Granted);
    assert!(matches!(claim(&mut ledger, &identity, 2, 5), Reply::Running { .. }));
    assert_eq!(
        settle(&mut ledger, &identity, 1, 6, AttemptOutcome::Answered(answer("a"))),
        Reply::Settled
    );
    assert_eq!(
        settle(&mut ledger, &identity, 1, 7, AttemptOutcome::Answered(answer("b"))),
        Reply::Settled
    );
    assert_eq!(claim(&mut ledger, &identity, 3, 8), Reply::Answered(answer("a")));
}

#[test]
fn keys_are_scoped_by_account_and_service() {
    let mut ledger = Ledger::default();
    let first = request_identity("nasr", "k1", "book");
    assert_eq!(claim(&mut ledger, &first, 1, 0), Reply::Granted);
    assert_eq!(claim(&mut ledger, &request_identity("nasr", "k1", "other"), 2, 0), Reply::Conflict);
    assert_eq!(
        claim(&mut ledger, &request_identity("winterdienst", "k1", "other"), 3, 0),
        Reply::Granted
    );
    assert_eq!(claim(&mut ledger, &request_identity("nasr", "k2", "other"), 4, 0), Reply::Granted);
}

#[test]
fn a_claim_past_its_deadline_is_unknown_until_a_late_settlement() {
    let mut ledger = Ledger::default();
    let identity = request_identity("nasr", "k1", "book");
    claim(&mut ledger, &identity, 1, 0);
    assert_eq!(claim(&mut ledger, &identity, 2, 10_000), Reply::Unknown);
    settle(&mut ledger, &identity, 2, 10_001, AttemptOutcome::Answered(answer("not mine")));
    assert_eq!(claim(&mut ledger, &identity, 2, 10_002), Reply::Unknown);
    settle(&mut ledger, &identity, 1, 10_003, AttemptOutcome::Answered(answer("late")));
    assert_eq!(claim(&mut ledger, &identity, 2, 10_004), Reply::Answered(answer("late")));
}

#[test]
fn a_released_key_is_granted_to_another_attempt_but_not_to_the_withdrawn_one() {
    let mut ledger = Ledger::default();
    let identity = request_identity("nasr", "k1", "book");
    claim(&mut ledger, &identity, 1, 0);
    assert_eq!(settle(&mut ledger, &identity, 1, 1, AttemptOutcome::NotRun), Reply::Settled);
    assert_eq!(claim(&mut ledger, &identity, 1, 2), Reply::Withdrawn);
    assert_eq!(claim(&mut ledger, &identity, 2, 3), Reply::Granted);
    assert_eq!(settle(&mut ledger, &identity, 1, 4, AttemptOutcome::NotRun), Reply::NotClaimed);
    assert!(matches!(claim(&mut ledger, &identity, 3, 5), Reply::Running { .. }));
}

#[test]
fn a_claim_applied_after_its_timeout_is_not_granted() {
    let mut ledger = Ledger::default();
    let (first, other) =
        (request_identity("nasr", "k1", "book"), request_identity("nasr", "k2", "book"));
    assert_eq!(claim(&mut ledger, &other, 1, 20_000), Reply::Granted);
    assert_eq!(claim(&mut ledger, &first, 2, 10_000), Reply::Late);
    assert_eq!(claim(&mut ledger, &first, 2, 10_001), Reply::Granted);
    assert!(matches!(claim(&mut ledger, &first, 3, 5_000), Reply::Running { .. }));
}

#[test]
fn keys_expire_and_free_their_bytes() {
    let bounds = Bounds { lifetime: Duration::from_secs(60), ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    let identity = request_identity("nasr", "k1", "book");
    claim(&mut ledger, &identity, 1, 0);
    settle(&mut ledger, &identity, 1, 1, AttemptOutcome::Answered(answer("a")));
    assert_eq!(claim(&mut ledger, &identity, 2, 59_999), Reply::Answered(answer("a")));
    assert_eq!(claim(&mut ledger, &identity, 2, 60_000), Reply::Granted);
    assert_eq!(ledger.len(), 1);
    settle(&mut ledger, &identity, 2, 60_001, AttemptOutcome::NotRun);
    assert_eq!((ledger.len(), ledger.record_bytes()), (0, 0));
}

#[test]
fn time_never_goes_back() {
    let mut ledger = Ledger::default();
    claim(&mut ledger, &request_identity("nasr", "k1", "book"), 1, 500);
    claim(&mut ledger, &request_identity("nasr", "k2", "book"), 2, 100);
    assert_eq!(ledger.time(), Time(500));
}

#[test]
fn a_full_ledger_refuses_claims_and_keeps_its_records() {
    let bounds = Bounds { keys: 8, account_share: 4, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    let identities = ["k1", "k2", "k3"].map(|key| request_identity("nasr", key, "book"));
    assert_eq!(claim(&mut ledger, &identities[0], 1, 0), Reply::Granted);
    assert_eq!(claim(&mut ledger, &identities[1], 2, 0), Reply::Granted);
    let full = Reply::Full { retry_after: Duration::from_secs(3600 - 1) };
    assert_eq!(claim(&mut ledger, &identities[2], 3, 1000), full);
    assert_eq!(
        claim(&mut ledger, &request_identity("small", "k3", "book"), 4, 1000),
        Reply::Granted
    );
    for number in 0..20 {
        let account = format!("account-{number}");
        claim(&mut ledger, &request_identity(&account, "k", "book"), 10 + number, 1000);
    }
    assert_eq!(ledger.len(), 8);
    assert!(matches!(claim(&mut ledger, &identities[0], 5, 2000), Reply::Running { .. }));
}

#[test]
fn only_the_status_of_a_response_over_the_size_limit_is_stored() {
    let bounds = Bounds { answer_bytes: 10, ..Bounds::default() };
    let mut ledger = Ledger::with_bounds(bounds);
    let identity = request_identity("nasr", "k1", "book");
    claim(&mut ledger, &identity, 1, 0);
    settle(&mut ledger, &identity, 1, 1, AttemptOutcome::Answered(answer("longer than ten")));
    let stored = StoredResponse { status: 200, headers: Vec::new(), body: None };
    assert_eq!(claim(&mut ledger, &identity, 2, 2), Reply::Answered(stored));
}

#[test]
fn a_snapshot_restores_the_same_ledger() {
    let mut ledger = Ledger::default();
    for number in 0..50 {
        let identity = request_identity("nasr", &format!("k{number}"), "book");
        claim(&mut ledger, &identity, number, number);
        if number % 2 == 0 {
            settle(&mut ledger, &identity, number, number, AttemptOutcome::Answered(answer("a")));
        }
    }
    let mut restored = Ledger::default();
    assert!(restored.restore(&ledger.snapshot()));
    assert_eq!(restored, ledger);
    assert!(!restored.restore(b"no snapshot"));
    assert_eq!(restored, ledger);
}

#[test_case("", "is empty"; "empty")]
#[test_case("a key", "contains ' '"; "space")]
#[test_case("kläss", "contains 'ä'"; "not ascii")]
fn an_invalid_key_is_refused_with_the_cause(key: &str, problem: &str) {
    let error = Key::try_from(key.to_string()).unwrap_err().to_string();
    assert!(error.contains(problem), "{error}");
}

#[test]
fn digests_depend_on_the_boundaries_of_the_parts() {
    assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
}
