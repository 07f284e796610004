//! Tests that temporary refusals on the operators' port carry `Retry-After`, and permanent ones do
//! not.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{
    AMAL_TOKEN, Fleet, Reply, apply, get_as_operator, operators, order, plan_with_operators,
    try_get_as_operator, try_order, wait_for,
};

const TAKE_LEASE: &str =
    r#"{"Take":{"resource":"a","holder":"amal","span_millis":1000,"lapsed":null}}"#;

/// Starts three voters and one instance without a vote, and creates the first revision.
fn start_fleet() -> Fleet {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza"; 4]).with_voters(3));
    wait_for("creation of the first revision", || {
        (apply(&fleet, 3, AMAL_TOKEN, 0, "first", 2).status == 200).then_some(())
    });
    fleet
}

/// Repeats a request until it is refused with `code`, and returns that refusal. Checks that this
/// reply and all earlier ones carry `Retry-After: 1`.
fn refusal(code: &str, mut send: impl FnMut() -> Option<Reply>) -> Reply {
    wait_for(code, || {
        let reply = send()?;
        assert_eq!(reply.retry_after.as_deref(), Some("1"), "{reply:?}");
        (reply.body["error"]["code"] == code).then_some(reply)
    })
}

#[test]
fn refusals_without_a_quorum_carry_retry_after() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.kill(1);
    for index in [2, 3] {
        let address = operators(&fleet, index);
        let reply = refusal("no_quorum", || {
            try_order(address, AMAL_TOKEN, "/declarations/rollback?to=1&base=1&order=b", "")
        });
        assert_eq!(reply.status, 503, "{reply:?}");
        let reply =
            refusal("not_run", || try_order(address, AMAL_TOKEN, "/state/leases", TAKE_LEASE));
        assert_eq!(reply.status, 503, "{reply:?}");
    }
    fleet.kill(2);
    let address = operators(&fleet, 3);
    refusal("no_voter", || try_get_as_operator(address, "/declarations/history"));
    std::fs::remove_dir_all(fleet.data_folder("instance-4")).unwrap();
    fleet.restart(3);
    refusal("not_ready", || try_get_as_operator(address, "/declarations"));
    let readiness = get_as_operator(address, "/readyz");
    assert_eq!(
        (readiness.status, readiness.retry_after.as_deref()),
        (503, Some("1")),
        "{readiness:?}"
    );
}

#[test]
fn only_temporary_refusals_carry_retry_after() {
    let fleet = start_fleet();
    let address = operators(&fleet, 0);
    let load = json!({ "upstream": "nobody", "incarnation": 1, "running": 0, "waiting": 0 });
    let too_early = try_order(address, AMAL_TOKEN, "/load", &load.to_string()).unwrap();
    assert_eq!(
        (too_early.status, too_early.retry_after.as_deref()),
        (400, Some("1")),
        "{too_early:?}"
    );
    let conflict = wait_for("conflict reply", || {
        let reply = apply(&fleet, 0, AMAL_TOKEN, 0, "second", 3);
        (!matches!(reply.status, 503 | 504)).then_some(reply)
    });
    let permanent = [
        (400, try_order(address, AMAL_TOKEN, "/load", "{}").unwrap()),
        (401, order(address, "no token", "/declarations?base=1&order=b", "")),
        (404, get_as_operator(address, "/declarations?revision=99")),
        (409, conflict),
    ];
    for (status, reply) in permanent {
        assert_eq!((reply.status, &reply.retry_after), (status, &None), "{reply:?}");
    }
}
