//! Checks that declarations applied through one instance are in force at all of them, with
//! concurrent and resent orders, killed instances and network partitions.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use serde_json::json;
use support::{
    AMAL_TOKEN, BERT_TOKEN, Fleet, MAX_PROPAGATION_TIME, MAX_RECOVERY_TIME, Plan, Reply, apply,
    get_as_operator, operators, order, plan_with_operators, revision, wait_for,
    wait_until_in_force,
};

#[test]
fn an_order_is_in_force_at_every_instance_within_the_time_limit() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "giza", "cairo", "cairo"]));
    for base in 0..10 {
        let reply = apply(&fleet, 0, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
        assert_eq!((reply.status, reply.body["revision"].as_u64()), (200, Some(base + 1)));
        let elapsed = wait_until_in_force(&fleet, &[0, 1, 2, 3], base + 1);
        assert!(elapsed <= MAX_PROPAGATION_TIME, "{elapsed:?}");
    }
    let response = get_as_operator(operators(&fleet, 3), "/declarations").body;
    assert_eq!(response["declarations"]["client_accounts"][0]["weight"], 11);
    let audit = get_as_operator(operators(&fleet, 3), "/declarations/audit?limit=1").body;
    let record = &audit["audit"][0];
    assert_eq!(record["operator"], "amal");
    assert_eq!(record["changes"][0], "client account \"nasr\": weight 10 -> 11");
    assert_eq!((&record["base"], &record["revision"]), (&json!(9), &json!(10)));
    let third_revision = get_as_operator(operators(&fleet, 2), "/declarations?revision=3").body;
    assert_eq!(third_revision["declarations"]["client_accounts"][0]["weight"], 4);
    let fleet_list = get_as_operator(operators(&fleet, 1), "/fleet").body;
    for instance in fleet_list["instances"].as_array().unwrap() {
        assert_eq!(instance["revision"], 10, "{fleet_list}");
    }
}

#[test]
fn concurrent_orders_have_one_winner_and_the_others_get_a_conflict() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "giza"]));
    for base in 0..5 {
        let replies: Vec<Reply> = std::thread::scope(|scope| {
            let threads: Vec<_> =
                [(AMAL_TOKEN, "amal"), (BERT_TOKEN, "bert"), (BERT_TOKEN, "bert-2")]
                    .into_iter()
                    .map(|(token, name)| {
                        let fleet = &fleet;
                        let order = format!("{name}-{base}");
                        scope.spawn(move || apply(fleet, 0, token, base, &order, base + 5))
                    })
                    .collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let accepted: Vec<_> = replies.iter().filter(|reply| reply.status == 200).collect();
        assert_eq!(accepted.len(), 1);
        for rejected in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(rejected.status, 409);
            let winner = &rejected.body["error"]["more"]["winner"];
            assert_eq!(winner["revision"], base + 1, "{}", rejected.body);
            assert_eq!(winner["order"], accepted[0].body["order"], "{}", rejected.body);
        }
    }
}

#[test]
fn a_resent_order_gets_its_original_answer() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "giza"]));
    assert_eq!(apply(&fleet, 0, AMAL_TOKEN, 0, "first", 2).status, 200);
    assert_eq!(apply(&fleet, 0, AMAL_TOKEN, 1, "second", 3).status, 200);
    let resent = apply(&fleet, 0, AMAL_TOKEN, 0, "first", 2);
    assert_eq!((resent.status, resent.body["revision"].as_u64()), (200, Some(1)));
    let other = apply(&fleet, 0, AMAL_TOKEN, 2, "first", 9);
    assert_eq!((other.status, &other.body["error"]["code"]), (409, &json!("order_reused")));
    wait_until_in_force(&fleet, &[0, 1], 2);
}

#[test]
fn a_rollback_creates_a_new_revision_with_the_old_content() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo"]));
    for base in 0..3 {
        apply(&fleet, 0, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
    }
    let path = "/declarations/rollback?to=1&base=3&order=back";
    let reply = order(operators(&fleet, 0), BERT_TOKEN, path, "");
    assert_eq!(reply.body["revision"], 4, "{}", reply.body);
    wait_until_in_force(&fleet, &[0, 1], 4);
    let response = get_as_operator(operators(&fleet, 1), "/declarations").body;
    assert_eq!(response["declarations"]["client_accounts"][0]["weight"], 2);
    let changes = get_as_operator(operators(&fleet, 1), "/declarations/diff?from=3&to=4").body;
    assert_eq!(changes["changes"][0], "client account \"nasr\": weight 4 -> 2");
    let unknown = "/declarations/rollback?to=9&base=4&order=far";
    assert_eq!(order(operators(&fleet, 0), BERT_TOKEN, unknown, "").status, 404);
}

#[test]
fn a_partitioned_instance_catches_up_on_hundreds_of_revisions() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo", "cairo"]).with_proxies());
    assert_eq!(apply(&fleet, 0, AMAL_TOKEN, 0, "order-0", 2).status, 200);
    wait_until_in_force(&fleet, &[0, 1, 2], 1);
    fleet.set_partition(&[2], true);
    for base in 1..400 {
        let reply = apply(&fleet, 0, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    wait_until_in_force(&fleet, &[0, 1], 400);
    assert_eq!(revision(&fleet, 2), Some(1));
    fleet.set_partition(&[2], false);
    let elapsed = wait_until_in_force(&fleet, &[2], 400);
    println!("400 revisions behind: caught up {elapsed:?} after the partition healed");
    assert!(elapsed <= MAX_RECOVERY_TIME, "{elapsed:?}");
}

#[test]
fn no_instance_returns_to_an_older_revision_after_a_kill() {
    let mut fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo", "cairo"]));
    for base in 0..5 {
        apply(&fleet, 0, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
    }
    wait_until_in_force(&fleet, &[0, 1, 2], 5);
    for index in [1, 2, 0] {
        fleet.restart(index);
        let first_revision = wait_for("first answer of a ready instance", || {
            support::get(operators(&fleet, index), "/readyz").ok()?;
            revision(&fleet, index)
        });
        assert_eq!(first_revision, 5, "instance {index} returned to an older revision");
    }
}

#[test]
fn an_instance_without_a_stored_revision_is_not_ready_until_it_learns_the_newest() {
    let mut fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo"]).with_proxies());
    apply(&fleet, 0, AMAL_TOKEN, 0, "order-0", 7);
    wait_until_in_force(&fleet, &[0, 1], 1);
    fleet.set_partition(&[1], true);
    fleet.kill(1);
    std::fs::remove_dir_all(fleet.data_folder("instance-2").join("declarations")).ok();
    fleet.restart(1);
    let refusal =
        wait_for("refusal as not ready", || match support::get(operators(&fleet, 1), "/readyz") {
            Err(body) if body.contains("not known") => Some(body),
            _ => None,
        });
    assert!(refusal.contains("newest revision"), "{refusal}");
    fleet.set_partition(&[1], false);
    fleet.wait_ready(1);
    assert_eq!(revision(&fleet, 1), Some(1));
}

#[test]
fn a_damaged_stored_revision_is_logged_and_fetched_again() {
    let mut fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo"]).with_voters(2));
    apply(&fleet, 0, AMAL_TOKEN, 0, "order-0", 7);
    wait_until_in_force(&fleet, &[0, 1], 1);
    fleet.kill(1);
    let file = fleet.data_folder("instance-2").join("declarations").join("revision");
    let mut bytes = std::fs::read(&file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    fleet.restart(1);
    wait_until_in_force(&fleet, &[1], 1);
    let log = fleet.instances[1].process.log_text();
    assert!(log.contains("declarations/revision\" is damaged"), "{log}");
}

#[test]
fn only_operators_with_a_token_can_read_and_change_declarations() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza"]));
    let address = operators(&fleet, 0);
    assert_eq!(apply(&fleet, 0, "a wrong token", 0, "order", 2).status, 401);
    assert!(support::get(address, "/declarations").unwrap_err().contains("unauthorised"));
    assert_eq!(apply(&fleet, 0, AMAL_TOKEN, 0, "order", 2).status, 200);
    for path in ["/declarations/audit", "/metrics"] {
        let response = get_as_operator(address, path).body.to_string();
        assert!(!response.contains(AMAL_TOKEN) && !response.contains(BERT_TOKEN), "{response}");
    }
    assert!(!fleet.instances[0].process.log_text().contains(AMAL_TOKEN));
    let fleet_without_tokens = Fleet::start_plan(Plan::new(&["giza"]).with_voters(1));
    let refused = apply(&fleet_without_tokens, 0, AMAL_TOKEN, 0, "order", 2);
    assert_eq!(
        (refused.status, &refused.body["error"]["code"]),
        (403, &json!("no_operator_tokens"))
    );
}

#[test]
fn inconsistent_declarations_are_refused() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza"]));
    let text = "services: [{name: a, target: {model: m}, kind: nothing}]";
    let reply = order(operators(&fleet, 0), AMAL_TOKEN, "/declarations?base=0&order=x", text);
    assert_eq!(reply.status, 400);
    assert!(reply.body.to_string().contains("nothing"), "{}", reply.body);
    let conflict = apply(&fleet, 0, AMAL_TOKEN, 7, "ahead", 2);
    assert_eq!(conflict.status, 409, "{}", conflict.body);
    assert_eq!(conflict.body["error"]["more"]["current"], 0);
}

#[test]
fn an_answered_order_is_in_force_at_the_instance_that_received_it() {
    let fleet = Fleet::start_plan(plan_with_operators(&["giza", "cairo"]));
    for base in 0..40 {
        let index = base as usize % 2;
        let reply = apply(&fleet, index, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
        assert_eq!(reply.status, 200, "{reply:?}");
        let current = revision(&fleet, index);
        assert_eq!(current, Some(base + 1), "through instance {index}");
    }
}
