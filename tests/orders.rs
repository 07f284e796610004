//! Orders to engines: step by step, under fencing numbers, through the loss of their holder.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use serde_json::{Value, json};
use support::{
    AMAL, Fleet, chat, declarations, declared, declaring, get, operators, order, wait_for,
};
use test_case::test_case;

/// Starts three instances, all voters, and two engines; one checks fencing numbers.
fn fleet() -> Fleet {
    let mut fleet =
        Fleet::start_plan(declaring(&["giza", "giza", "giza"]).with_voters(3).with_proxies());
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
    wait_for("order taken", || {
        let reply = support::try_order(operators(fleet, 0), AMAL, &path, &body)?;
        (reply.status == 200).then_some(())
    });
}

fn declare_roles(fleet: &Fleet, roles: &[&str]) {
    let changes = roles.iter().map(|role| {
        format!("  - {{role: {role}, upstreams: \"app=captions\", interval: 100ms}}\n")
    });
    let body = format!("{}role_changes:\n{}", declarations(), changes.collect::<String>());
    wait_for("order taken", || {
        let path = "/declarations?base=0&order=roles";
        let reply = support::try_order(operators(fleet, 0), AMAL, path, &body)?;
        (reply.status == 200).then_some(())
    });
}

/// The orders to load that an engine carried out, as fencing number and model.
fn carried_out(fleet: &Fleet, index: usize) -> Vec<(u64, String)> {
    tasks(fleet, index, "load")
}

/// The orders of one kind that an engine carried out, as fencing number and model.
fn tasks(fleet: &Fleet, index: usize, kind: &str) -> Vec<(u64, String)> {
    let text = get(fleet.upstreams[index].address, "/orders").unwrap();
    let orders: Value = serde_json::from_str(&text).unwrap();
    let done = orders["done"].as_array().unwrap().iter();
    done.filter_map(|one| {
        let model = one["task"][kind].as_str()?.to_string();
        Some((one["fence"].as_u64().unwrap(), model))
    })
    .collect()
}

fn wait_loaded(fleet: &Fleet, node: usize, model: &str) {
    wait_for(&format!("{model} announced by both engines"), || {
        let listed = get(operators(fleet, node), "/upstreams").ok()?;
        (listed.matches(&format!("\"{model}\"")).count() == 2).then_some(())
    });
}

/// The instance that holds the lease, with its fencing number.
fn holder(fleet: &Fleet, among: &[usize]) -> (usize, u64) {
    wait_for("a holder of the orders' lease", || {
        among.iter().find_map(|index| {
            let reply = support::try_declared(operators(fleet, *index), "/rollouts")?;
            Some((*index, reply.body["fence"].as_u64()?))
        })
    })
}

#[test]
fn a_declared_model_is_loaded_by_every_selected_engine_once() {
    let fleet = fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_loaded(&fleet, 1, "caption-2");
    for engine in 0..2 {
        let done = carried_out(&fleet, engine);
        assert_eq!(done.len(), 1, "{done:?}");
        assert_eq!(done[0].1, "caption-2");
    }
    wait_for("rollout done", || {
        let page = declared(operators(&fleet, 2), "/rollouts").body;
        (page["rollouts"][0]["standing"] == json!("done")).then_some(())
    });
}

/// Waits for another holder of the lease than `first`, with a greater fencing number than `fence`.
fn next_holder(fleet: &Fleet, first: usize, fence: u64) -> usize {
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    let (next, next_fence) = holder(fleet, &others);
    assert!(next_fence > fence, "{next_fence} after {fence}");
    next
}

#[test_case("KILL"; "killed")]
#[test_case("STOP"; "frozen")]
fn the_next_holder_has_a_greater_fencing_number(signal: &str) {
    let mut fleet = fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_loaded(&fleet, 0, "caption-2");
    let (first, fence) = holder(&fleet, &[0, 1, 2]);
    fleet.instances[first].process.signal(signal);
    let next = next_holder(&fleet, first, fence);
    if signal == "STOP" {
        fleet.instances[first].process.signal("CONT");
    } else {
        fleet.restart(first);
    }
    fleet.wait_ready(first);
    let (base, at) = wait_for("revision", || Some((support::revision(&fleet, next)?, next)));
    let body = format!(
        "{}rollouts:\n  - {{model: caption-3, upstreams: \"app=captions\", interval: 100ms}}\n",
        declarations()
    );
    let path = format!("/declarations?base={base}&order=second");
    assert_eq!(order(operators(&fleet, at), AMAL, &path, &body).status, 200);
    wait_loaded(&fleet, at, "caption-3");
    for engine in 0..2 {
        let done = carried_out(&fleet, engine);
        let is_ordered = done.windows(2).all(|pair| pair[0].0 <= pair[1].0);
        assert!(is_ordered, "an old fencing number came after a newer one: {done:?}");
    }
    let body = chat("served all along", 3, true);
    let answer =
        support::post(fleet.instances[at].addresses.callers, "/v1/chat/completions", &[], &body);
    assert_eq!(answer.unwrap().status, 200);
}

#[test]
fn an_instance_cut_off_from_the_quorum_gives_no_orders() {
    let fleet = fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_loaded(&fleet, 0, "caption-2");
    let (first, fence) = holder(&fleet, &[0, 1, 2]);
    fleet.set_cut(&[first], true);
    wait_for("the lease to lapse at its holder", || {
        let reply = support::try_declared(operators(&fleet, first), "/rollouts")?;
        reply.body["fence"].is_null().then_some(())
    });
    next_holder(&fleet, first, fence);
    fleet.set_cut(&[first], false);
}

/// What the holder of the lease says of the only rollout.
fn standing(fleet: &Fleet, index: usize) -> Option<Value> {
    let reply = support::try_declared(operators(fleet, index), "/rollouts")?;
    Some(reply.body["rollouts"][0].clone())
}

#[test]
fn a_model_is_dropped_by_every_selected_engine_once_also_after_a_change_of_the_holder() {
    let mut fleet = fleet();
    declare_rollout(&fleet, 0, "caption-2");
    wait_loaded(&fleet, 0, "caption-2");
    let (first, fence) = holder(&fleet, &[0, 1, 2]);
    declare_action(&fleet, 1, "caption-2", "unload");
    wait_for("the first order to drop it", || {
        (0..2).any(|engine| !tasks(&fleet, engine, "unload").is_empty()).then_some(())
    });
    fleet.kill(first);
    let next = next_holder(&fleet, first, fence);
    wait_for("done", || (standing(&fleet, next)?["standing"] == "done").then_some(()));
    for engine in 0..2 {
        let dropped = tasks(&fleet, engine, "unload");
        assert_eq!(dropped.len(), 1, "{dropped:?}");
        assert_eq!(dropped[0].1, "caption-2");
    }
    let body = chat("served by the model that is left", 3, true);
    let callers = fleet.instances[next].addresses.callers;
    let answer = support::post(callers, "/v1/chat/completions", &[], &body);
    assert_eq!(answer.unwrap().status, 200);
}

#[test]
fn the_only_model_of_an_engine_is_never_dropped() {
    let fleet = fleet();
    declare_action(&fleet, 0, "caption-small", "unload");
    let (first, _) = holder(&fleet, &[0, 1, 2]);
    wait_for("halt", || (standing(&fleet, first)?["standing"] == "halted").then_some(()));
    assert_eq!(standing(&fleet, first).unwrap()["halted_at"], "engine-1");
    (0..2).for_each(|engine| assert_eq!(tasks(&fleet, engine, "unload"), []));
}

#[test]
fn a_role_is_taken_on_by_every_selected_engine_once() {
    let mut fleet = fleet();
    declare_roles(&fleet, &["decode"]);
    let (first, fence) = holder(&fleet, &[0, 1, 2]);
    wait_for("done", || (standing(&fleet, first)?["standing"] == "done").then_some(()));
    fleet.kill(first);
    let next = next_holder(&fleet, first, fence);
    wait_for("done", || (standing(&fleet, next)?["standing"] == "done").then_some(()));
    for engine in 0..2 {
        let changed = tasks(&fleet, engine, "change-role");
        assert_eq!(changed.len(), 1, "{changed:?}");
        assert_eq!(changed[0].1, "decode");
    }
    let listed = get(operators(&fleet, next), "/upstreams").unwrap();
    assert_eq!(listed.matches("\"role\":\"decode\"").count(), 2, "{listed}");
}

#[test]
fn an_engine_with_two_declared_roles_takes_on_the_first_and_halts_the_other() {
    let fleet = fleet();
    declare_roles(&fleet, &["prefill", "decode"]);
    let (first, _) = holder(&fleet, &[0, 1, 2]);
    wait_for("halt", || {
        let reply = support::try_declared(operators(&fleet, first), "/rollouts")?;
        let rollouts = &reply.body["rollouts"];
        let is_done =
            rollouts[0]["standing"] == "done" && rollouts[0]["task"]["change-role"] == "decode";
        (is_done && rollouts[1]["halted_at"] == "engine-1").then_some(())
    });
    for engine in 0..2 {
        let changed = tasks(&fleet, engine, "change-role");
        assert_eq!(changed.len(), 1, "{changed:?}");
    }
}
