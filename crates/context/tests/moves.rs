//! Moves that succeed, and moves whose engines fail at any step.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use context::{
    Costs, KeyValueCache, MoveLimits, MoveOutcome, MoveRequest, MoveStep, Moves, Reason,
    TransferError,
};
use dispatch::{Call, Field, Progress, Verdict};
use http1::Framing;
use names::Attempt;
use test_case::test_case;

/// Id of the move under test.
const ATTEMPT: Attempt = Attempt(7);
/// Context that the source engine exports.
const CONTEXT: &str = r#"{"blocks":[1,2,3]}"#;

fn moves() -> Moves {
    let costs = Costs::new(8000, 1 << 30, Duration::from_millis(1), 64);
    let limits =
        MoveLimits { max_moves: 1, max_duration: Duration::from_millis(300), max_bytes: 1 << 20 };
    Moves::new(costs, limits)
}

fn move_request(now: Instant) -> MoveRequest {
    let engine = |name: &str| (name.parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    MoveRequest {
        from: engine("engine-1"),
        to: engine("engine-2"),
        transfer: &KeyValueCache,
        prompt: b"prompt".to_vec(),
        tokens: 4000,
        deadline: now + Duration::from_secs(30),
    }
}

fn head(status: u16, attempt: u128) -> Progress {
    let value = Attempt(attempt as _).to_string();
    let headers = vec![Field { name: "x-attempt-id".to_string(), value }];
    Progress::Head { status, headers, framing: Framing::UntilClose }
}

fn body(text: &str) -> Progress {
    Progress::Body(text.as_bytes().to_vec())
}

/// Returns the URL of a call.
fn url(call: &Call) -> String {
    format!("http://{}{}", call.address, call.path)
}

/// Starts a move and passes `progress` to it until it ends. Returns the URLs that were called and
/// the outcome.
fn run(
    moves: &mut Moves,
    now: Instant,
    progress: Vec<Progress>,
) -> (Vec<String>, Option<MoveOutcome>) {
    let mut calls = vec![url(&moves.begin(now, ATTEMPT, move_request(now)).unwrap())];
    for progress in progress {
        match moves.progress(now, ATTEMPT, progress) {
            MoveStep::Wait => {}
            MoveStep::Import(call) => {
                assert_eq!(call.body, CONTEXT.as_bytes());
                calls.push(url(&call));
            }
            MoveStep::End(outcome) => return (calls, Some(outcome)),
        }
    }
    (calls, None)
}

#[test]
fn move_exports_and_imports() {
    let (now, mut moves) = (Instant::now(), moves());
    let export = [head(200, 7), body(&CONTEXT[..5]), body(&CONTEXT[5..]), Progress::End];
    let import = [head(200, 7), body("{}"), Progress::End];
    let (calls, outcome) = run(&mut moves, now, [&export[..], &import].concat());
    assert_eq!(calls, ["http://127.0.0.1:1/kv/export", "http://127.0.0.1:1/kv/import"]);
    assert_eq!(outcome, Some(MoveOutcome::Moved { bytes: CONTEXT.len() }));
    assert!(moves.is_empty() && moves.begin(now, ATTEMPT, move_request(now)).is_ok());
}

#[test]
fn empty_cache_is_not_a_failure() {
    let (now, mut moves) = (Instant::now(), moves());
    let progress = vec![head(200, 7), body(r#"{"blocks":[]}"#), Progress::End];
    assert_eq!(run(&mut moves, now, progress).1, Some(MoveOutcome::NothingCached));
    assert!(moves.begin(now, ATTEMPT, move_request(now)).is_ok());
}

/// Returns the progress of a call whose connection is lost.
fn connection_lost() -> Progress {
    Progress::Failed { verdict: Verdict::MayHaveRun, rule: None, reason: "cut".to_string() }
}

#[test_case(vec![head(404, 7), Progress::End], "engine-1"; "no export")]
#[test_case(
    vec![head(200, 8), body(CONTEXT), Progress::End],
    "engine-1"; "context of another conversation"
)]
#[test_case(vec![head(200, 7), body("{\"blocks\":[1,"), Progress::End], "engine-1"; "truncated")]
#[test_case(vec![head(200, 7), body("{}"), Progress::End], "engine-1"; "without blocks")]
#[test_case(vec![head(200, 7), body(CONTEXT), connection_lost()], "engine-1"; "connection lost")]
#[test_case(vec![connection_lost()], "engine-1"; "refused connection")]
#[test_case(vec![head(200, 7), body(&" ".repeat(1 << 20)), body(CONTEXT)], "engine-1"; "endless")]
#[test_case(vec![Progress::End], "engine-1"; "no head")]
#[test_case(
    vec![head(200, 7), body(CONTEXT), Progress::End, head(500, 7), Progress::End],
    "engine-2"; "import fails"
)]
#[test_case(
    vec![head(200, 7), body(CONTEXT), Progress::End, connection_lost()],
    "engine-2"; "connection lost during import"
)]
fn failed_move_ends_and_its_engine_backs_off(progress: Vec<Progress>, failing: &str) {
    let (now, mut moves) = (Instant::now(), moves());
    let outcome = run(&mut moves, now, progress).1;
    let is_expected_failure = |outcome: &MoveOutcome| match outcome {
        MoveOutcome::Failed { upstream, .. } => upstream.as_str() == failing,
        _ => false,
    };
    assert!(outcome.as_ref().is_some_and(is_expected_failure), "{outcome:?}");
    assert_eq!(moves.begin(now, ATTEMPT, move_request(now)).unwrap_err(), Reason::Failing);
    let later = now + Duration::from_secs(1);
    assert!(moves.begin(later, ATTEMPT, move_request(later)).is_ok());
}

#[test]
fn move_ends_at_time_limit_and_late_progress_is_ignored() {
    let (now, mut moves) = (Instant::now(), moves());
    let call = moves.begin(now, ATTEMPT, move_request(now)).unwrap();
    assert!(call.deadline <= now + Duration::from_millis(300));
    let rejection = moves.begin(now, Attempt(8), move_request(now)).unwrap_err();
    assert_eq!(rejection, Reason::Busy);
    let upstream = "engine-1".parse().unwrap();
    let outcome = MoveOutcome::Failed { upstream, error: TransferError::TimedOut };
    assert_eq!(moves.expire(now, ATTEMPT), MoveStep::End(outcome));
    assert_eq!(moves.progress(now, ATTEMPT, head(200, 7)), MoveStep::Wait);
    assert!(moves.is_empty());
}
