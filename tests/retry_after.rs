//! Refusals on the operators' port that pass by themselves say when to ask again.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{
    AMAL, Fleet, Reply, apply, declared, declaring, operators, order, try_declared, try_order,
    wait_for,
};

const LEASE: &str = r#"{"Take":{"resource":"a","holder":"amal","span_millis":1000,"lapsed":null}}"#;

/// Three voters and one instance without a vote; the first revision is made.
fn fleet() -> Fleet {
    let fleet = Fleet::start_plan(declaring(&["giza"; 4]).with_voters(3));
    wait_for("first revision", || {
        (apply(&fleet, 3, AMAL, 0, "first", 2).status == 200).then_some(())
    });
    fleet
}

/// The first refusal with `code`; everything that is refused before has to name a time as well.
fn refused(code: &str, mut ask: impl FnMut() -> Option<Reply>) -> Reply {
    wait_for(code, || {
        let reply = ask()?;
        assert_eq!(reply.retry_after.as_deref(), Some("1"), "{reply:?}");
        (reply.body["error"]["code"] == code).then_some(reply)
    })
}

#[test]
fn refusals_without_a_quorum_say_when_to_ask_again() {
    let mut fleet = fleet();
    fleet.kill(0);
    fleet.kill(1);
    for index in [2, 3] {
        let address = operators(&fleet, index);
        let reply = refused("no_quorum", || {
            try_order(address, AMAL, "/declarations/rollback?to=1&base=1&order=b", "")
        });
        assert_eq!(reply.status, 503, "{reply:?}");
        let reply = refused("not_run", || try_order(address, AMAL, "/state/leases", LEASE));
        assert_eq!(reply.status, 503, "{reply:?}");
    }
    fleet.kill(2);
    let address = operators(&fleet, 3);
    refused("no_voter", || try_declared(address, "/declarations/history"));
    std::fs::remove_dir_all(fleet.data_folder("instance-4")).unwrap();
    fleet.restart(3);
    refused("not_ready", || try_declared(address, "/declarations"));
    let ready = declared(address, "/readyz");
    assert_eq!((ready.status, ready.retry_after.as_deref()), (503, Some("1")), "{ready:?}");
}

#[test]
fn only_refusals_that_pass_by_themselves_name_a_time() {
    let fleet = fleet();
    let address = operators(&fleet, 0);
    let load = json!({ "upstream": "nobody", "incarnation": 1, "running": 0, "waiting": 0 });
    let early = try_order(address, AMAL, "/load", &load.to_string()).unwrap();
    assert_eq!((early.status, early.retry_after.as_deref()), (400, Some("1")), "{early:?}");
    let conflict = wait_for("conflict", || {
        let reply = apply(&fleet, 0, AMAL, 0, "second", 3);
        (!matches!(reply.status, 503 | 504)).then_some(reply)
    });
    let lasting = [
        (400, try_order(address, AMAL, "/load", "{}").unwrap()),
        (401, order(address, "no token", "/declarations?base=1&order=b", "")),
        (404, declared(address, "/declarations?revision=99")),
        (409, conflict),
    ];
    for (status, reply) in lasting {
        assert_eq!((reply.status, &reply.retry_after), (status, &None), "{reply:?}");
    }
}
