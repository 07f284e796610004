//! Tests of orders to engines: rollouts in steps, fencing tokens and the loss of the lease holder.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use serde_json::{Value, json};
use support::{
    AMAL_TOKEN, Fleet, chat, declarations, get, get_as_operator, operators, order,
    plan_with_operators, wait_for,
};
use test_case::test_case;

/// Starts three instances, all of them voters, and two engines. Only the first engine checks
/// fencing tokens.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(
        plan_with_operators(&["giza", "giza", "giza"]).with_voters(3).with_proxies(),
    );
    let flags = ["--model", "caption-small", "--label", "app=captions"];
    fleet.add_upstream("engine-1", "giza", &[&flags[..], &["--checks-fencing"]].concat());
    fleet.add_upstream("engine-2", "giza", &flags);
    fleet
}

fn declare_rollout(fleet: &Fleet, base: u64, model: &str) {
    declare_action(fleet, base, model, "load");
}

fn declare_action(fleet: &Fleet, base: u64, model: &str, action: &str) {
    let fields = format!("model: {model}, action: {action}, interval: 100ms");
    let rollout = format!("rollouts:\n  - {{{fields}, upstreams: \"app=captions\"}}\n");
    let path = format!("/declarations?base={base}&order=rollout-{base}");
    let body = format!("{}{rollout}", declarations());
    wait_for("acceptance of the declarations", || {
        let reply = support::try_order(operators(fleet, 0), AMAL_TOKEN, &path, &body)?;
        (reply.status == 200).then_some(())
    });
}

fn declare_roles(fleet: &Fleet, roles: &[&str]) {
    let changes = roles.iter().map(|role| {
        format!("  - {{role: {role}, upstreams: \"app=captions\", interval: 100ms}}\n")
    });
    let body = format!("{}role_changes:\n{}", declarations(), changes.collect::<String>());
    wait_for("acceptance of the declarations", || {
        let path = "/declarations?base=0&order=roles";
        let reply = support::try_order(operators(fleet, 0), AMAL_TOKEN, path, &body)?;
        (reply.status == 200).then_some(())
    });
}

/// Returns the fencing token and model of each load order that an engine has completed.
fn completed_loads(fleet: &Fleet, index: usize) -> Vec<(u64, String)> {
    completed_tasks(fleet, index, "load")
}

/// Returns the fencing token and target of each order of one kind that an engine has completed.
fn completed_tasks(fleet: &Fleet, index: usize, kind: &str) -> Vec<(u64, String)> {
    let text = get(fleet.upstreams[index].address, "/orders").unwrap();
    let orders: Value = serde_json::from_str(&text).unwrap();
    let completed = orders["done"].as_array().unwrap().iter();
    completed
        .filter_map(|order| {
            let target = order["task"][kind].as_str()?.to_string();
            Some((order["fence"].as_u64().unwrap(), target))
        })
        .collect()
}

/// Waits until `instance` lists `model` at both engines.
fn wait_for_model(fleet: &Fleet, instance: usize, model: &str) {
    wait_for(&format!("announcement of {model} by both engines"), || {
        let upstreams = get(operators(fleet, instance), "/upstreams").ok()?;
        (upstreams.matches(&format!("\"{model}\"")).count() == 2).then_some(())
    });
}

/// Waits until one of `instances` holds the rollout lease. Returns the index of the holder and its
/// fencing token.
fn lease_holder(fleet: &Fleet, instances: &[usize]) -> (usize, u64) {
    wait_for("acquisition of the rollout lease", || {
        instances.iter().find_map(|index| {
            let reply = support::try_get_as_operator(operators(fleet, *index), "/rollouts")?;
            Some((*index, reply.body["fence"].as_u64()?))
        })
    })
}

#[test]
fn a_declared_model_is_loaded_by_every_selected_engine_once() {
    let fleet = start_fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_for_model(&fleet, 1, "caption-2");
    for engine in 0..2 {
        let loads = completed_loads(&fleet, engine);
        assert_eq!(loads.len(), 1, "{loads:?}");
        assert_eq!(loads[0].1, "caption-2");
    }
    wait_for("rollout success", || {
        let page = get_as_operator(operators(&fleet, 2), "/rollouts").body;
        (page["rollouts"][0]["standing"] == json!("done")).then_some(())
    });
}

/// Waits until an instance other than `previous` holds the lease, and checks that its fencing token
/// is greater than `previous_token`.
fn wait_for_next_holder(fleet: &Fleet, previous: usize, previous_token: u64) -> usize {
    let others: Vec<usize> = (0..3).filter(|index| *index != previous).collect();
    let (next, next_token) = lease_holder(fleet, &others);
    assert!(next_token > previous_token, "{next_token} after {previous_token}");
    next
}

#[test_case("KILL"; "killed")]
#[test_case("STOP"; "frozen")]
fn the_next_lease_holder_has_a_greater_fencing_token(signal: &str) {
    let mut fleet = start_fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_for_model(&fleet, 0, "caption-2");
    let (holder, token) = lease_holder(&fleet, &[0, 1, 2]);
    fleet.instances[holder].process.signal(signal);
    let next = wait_for_next_holder(&fleet, holder, token);
    if signal == "STOP" {
        fleet.instances[holder].process.signal("CONT");
    } else {
        fleet.restart(holder);
    }
    fleet.wait_ready(holder);
    let (base, target) =
        wait_for("report of the revision", || Some((support::revision(&fleet, next)?, next)));
    let body = format!(
        "{}rollouts:\n  - {{model: caption-3, upstreams: \"app=captions\", interval: 100ms}}\n",
        declarations()
    );
    let path = format!("/declarations?base={base}&order=second");
    assert_eq!(order(operators(&fleet, target), AMAL_TOKEN, &path, &body).status, 200);
    wait_for_model(&fleet, target, "caption-3");
    for engine in 0..2 {
        let loads = completed_loads(&fleet, engine);
        let is_ordered = loads.windows(2).all(|pair| pair[0].0 <= pair[1].0);
        assert!(is_ordered, "a stale fencing token was accepted after a newer one: {loads:?}");
    }
    let body = chat("chat after the change of the lease holder", 3, true);
    let answer = support::post(
        fleet.instances[target].addresses.callers,
        "/v1/chat/completions",
        &[],
        &body,
    );
    assert_eq!(answer.unwrap().status, 200);
}

#[test]
fn an_instance_without_a_quorum_sends_no_orders() {
    let fleet = start_fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_for_model(&fleet, 0, "caption-2");
    let (holder, token) = lease_holder(&fleet, &[0, 1, 2]);
    fleet.set_partition(&[holder], true);
    wait_for("expiry of the lease at its former holder", || {
        let reply = support::try_get_as_operator(operators(&fleet, holder), "/rollouts")?;
        reply.body["fence"].is_null().then_some(())
    });
    wait_for_next_holder(&fleet, holder, token);
    fleet.set_partition(&[holder], false);
}

/// Returns the first rollout as the instance reports it; `None` without an answer.
fn rollout(fleet: &Fleet, index: usize) -> Option<Value> {
    let reply = support::try_get_as_operator(operators(fleet, index), "/rollouts")?;
    Some(reply.body["rollouts"][0].clone())
}

#[test]
fn every_selected_engine_unloads_a_model_once_despite_a_new_lease_holder() {
    let mut fleet = start_fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_for_model(&fleet, 0, "caption-2");
    let (holder, token) = lease_holder(&fleet, &[0, 1, 2]);
    declare_action(&fleet, 1, "caption-2", "unload");
    wait_for("the first unload order", || {
        (0..2).any(|engine| !completed_tasks(&fleet, engine, "unload").is_empty()).then_some(())
    });
    fleet.kill(holder);
    let next = wait_for_next_holder(&fleet, holder, token);
    wait_for("rollout success", || (rollout(&fleet, next)?["standing"] == "done").then_some(()));
    for engine in 0..2 {
        let unloads = completed_tasks(&fleet, engine, "unload");
        assert_eq!(unloads.len(), 1, "{unloads:?}");
        assert_eq!(unloads[0].1, "caption-2");
    }
    let body = chat("chat with the remaining model", 3, true);
    let callers = fleet.instances[next].addresses.callers;
    let answer = support::post(callers, "/v1/chat/completions", &[], &body);
    assert_eq!(answer.unwrap().status, 200);
}

#[test]
fn the_only_model_of_an_engine_is_never_unloaded() {
    let fleet = start_fleet();
    declare_action(&fleet, 0, "caption-small", "unload");
    let (holder, _) = lease_holder(&fleet, &[0, 1, 2]);
    wait_for("rollout halt", || (rollout(&fleet, holder)?["standing"] == "halted").then_some(()));
    assert_eq!(rollout(&fleet, holder).unwrap()["halted_at"], "engine-1");
    (0..2).for_each(|engine| assert_eq!(completed_tasks(&fleet, engine, "unload"), []));
}

#[test]
fn every_selected_engine_changes_its_role_once() {
    let mut fleet = start_fleet();
    declare_roles(&fleet, &["decode"]);
    let (holder, token) = lease_holder(&fleet, &[0, 1, 2]);
    wait_for("rollout success", || (rollout(&fleet, holder)?["standing"] == "done").then_some(()));
    fleet.kill(holder);
    let next = wait_for_next_holder(&fleet, holder, token);
    wait_for("rollout success", || (rollout(&fleet, next)?["standing"] == "done").then_some(()));
    for engine in 0..2 {
        let role_changes = completed_tasks(&fleet, engine, "change-role");
        assert_eq!(role_changes.len(), 1, "{role_changes:?}");
        assert_eq!(role_changes[0].1, "decode");
    }
    let upstreams = get(operators(&fleet, next), "/upstreams").unwrap();
    assert_eq!(upstreams.matches("\"role\":\"decode\"").count(), 2, "{upstreams}");
}

#[test]
fn an_engine_with_two_declared_roles_adopts_one_and_the_other_rollout_halts() {
    let fleet = start_fleet();
    declare_roles(&fleet, &["prefill", "decode"]);
    let (holder, _) = lease_holder(&fleet, &[0, 1, 2]);
    wait_for("rollout halt", || {
        let reply = support::try_get_as_operator(operators(&fleet, holder), "/rollouts")?;
        let rollouts = &reply.body["rollouts"];
        let is_done =
            rollouts[0]["standing"] == "done" && rollouts[0]["task"]["change-role"] == "decode";
        (is_done && rollouts[1]["halted_at"] == "engine-1").then_some(())
    });
    for engine in 0..2 {
        let role_changes = completed_tasks(&fleet, engine, "change-role");
        assert_eq!(role_changes.len(), 1, "{role_changes:?}");
    }
}
