//! Tests of the operators' command that changes the set of voters.

#![allow(clippy::unwrap_used)]

mod support;

use std::process::{Command, Output};

use serde_json::{Value, json};
use support::replicated_log::{
    TOKEN, operators, request_lease_until_granted, status, wait_for_leader, wait_for_lease,
};
use support::{Fleet, PROGRAM, Plan, output, wait_for};

/// Starts four instances with the control role, of which the first three form the initial group of
/// voters.
fn start_fleet() -> Fleet {
    let plan = Plan::new(&["giza", "cairo", "delta", "giza"])
        .with_voters(3)
        .with_setting("roles", json!(["entry", "control"]))
        .with_setting("operator_tokens", json!({ "tester": TOKEN }))
        .with_setting("limits", json!({ "log": "8KiB" }));
    let fleet = Fleet::start_plan(plan);
    std::fs::write(fleet.folder.path().join("token"), TOKEN).unwrap();
    wait_for_leader(&fleet, &[0, 1, 2]);
    fleet
}

/// Runs `turmericrelay voters` against `instance`.
fn run_voters_command(fleet: &Fleet, instance: usize, arguments: &[&str]) -> Output {
    let token = fleet.folder.path().join("token");
    let mut command = Command::new(PROGRAM);
    command.arg("voters").args(arguments);
    command.args(["--instance", &operators(fleet, instance).to_string()]);
    output(command.args(["--token-file", &token.display().to_string()]))
}

/// Returns the voters and their audit trail as the command prints them; null if the command fails.
fn show_voters(fleet: &Fleet, instance: usize) -> Value {
    let output = run_voters_command(fleet, instance, &["--json"]);
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

/// Waits until the last change has ended with `progress`. Returns the output of the command.
fn wait_for_end(fleet: &Fleet, instance: usize, progress: &str) -> Value {
    wait_for("end of the change", || {
        let page = show_voters(fleet, instance);
        let last = page["audit"].as_array()?.last()?;
        (last["progress"] == progress).then_some(page.clone())
    })
}

/// Returns the sorted names of the voters that `instance` knows.
fn voter_names(fleet: &Fleet, instance: usize) -> Vec<String> {
    let status = status(fleet, instance).unwrap();
    let members = status["members"].as_array().unwrap().iter();
    let mut names: Vec<String> =
        members.map(|member| member["instance"].as_str().unwrap().to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_fourth_instance_replaces_the_first_voter_without_data_loss() {
    let mut fleet = start_fleet();
    (0..30).for_each(|number| {
        request_lease_until_granted(&fleet, number % 4, &format!("order-{number};"));
    });
    let changed = run_voters_command(&fleet, 3, &["--add", "instance-4", "--remove", "instance-1"]);
    assert!(changed.status.success(), "{changed:?}");
    (30..40).for_each(|number| {
        request_lease_until_granted(&fleet, number % 4, &format!("order-{number};"));
    });
    let page = wait_for_end(&fleet, 1, "done");
    assert_eq!(page["voters"], json!(["instance-2", "instance-3", "instance-4"]));
    let record = &page["audit"][0];
    assert_eq!(record["operator"], "tester");
    assert_eq!(record["from"], json!(["instance-1", "instance-2", "instance-3"]));
    // The removed instance learns that it is no longer a voter, and continues as a learner.
    wait_for("demotion to learner", || (status(&fleet, 0)?["role"] == "learner").then_some(()));
    request_lease_until_granted(&fleet, 0, "through the removed voter");
    fleet.kill(0);
    std::fs::remove_dir_all(fleet.data_folder("instance-1")).unwrap();
    let leader = wait_for_leader(&fleet, &[1, 2, 3]);
    assert_eq!(voter_names(&fleet, leader), ["instance-2", "instance-3", "instance-4"]);
    // After the change, the new voters still have a majority if one of them is lost.
    let lost = if leader == 1 { 2 } else { 1 };
    fleet.kill(lost);
    request_lease_until_granted(&fleet, 3, "after");
    for index in [1, 2, 3].into_iter().filter(|index| *index != lost) {
        (0..40).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number};")));
    }
}

#[test]
fn a_second_change_is_refused_and_the_refusal_names_the_running_one() {
    let mut fleet = start_fleet();
    fleet.kill(3);
    let first_change = ["--add", "instance-4", "--remove", "instance-1", "--order", "first"];
    assert!(run_voters_command(&fleet, 1, &first_change).status.success());
    let resent = run_voters_command(&fleet, 2, &first_change);
    assert!(String::from_utf8_lossy(&resent.stdout).contains("change 1"), "{resent:?}");
    let second = run_voters_command(&fleet, 2, &["--set", "instance-2", "--order", "second"]);
    assert_eq!(second.status.code(), Some(4), "{second:?}");
    let error = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(error.contains("change 1") && error.contains("tester"), "{error}");
    assert_eq!(retry_after(&fleet, 2).as_deref(), Some("1"));
    let reverted = run_voters_command(&fleet, 2, &["--set", "instance-1,instance-2,instance-3"]);
    assert!(reverted.status.success(), "{reverted:?}");
    let page = wait_for_end(&fleet, 1, "done");
    assert_eq!(page["audit"][0]["progress"], "cancelled");
    fleet.restart(3);
    request_lease_until_granted(&fleet, 3, "after");
    assert_eq!(voter_names(&fleet, 1), ["instance-1", "instance-2", "instance-3"]);
}

/// Requests a change that is refused with a conflict, and returns `Retry-After` of the refusal.
fn retry_after(fleet: &Fleet, instance: usize) -> Option<String> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let body = json!({ "from": [], "to": ["instance-2"] }).to_string();
    let answer = agent
        .new_agent()
        .post(format!("http://{}/state/voters", operators(fleet, instance)))
        .header("authorization", format!("Bearer {TOKEN}"))
        .send(body)
        .unwrap();
    assert_eq!(answer.status(), 409);
    answer.headers().get("retry-after").and_then(|value| value.to_str().ok()).map(String::from)
}

#[test]
fn invalid_voter_sets_are_refused() {
    let fleet = start_fleet();
    for (names, error) in [("instance-1,instance-2", "2 voters"), ("instance-9", "does not exist")]
    {
        let refused = run_voters_command(&fleet, 0, &["--set", names]);
        assert!(!refused.status.success());
        let output = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert!(output.contains(error), "{output}");
    }
    assert_eq!(show_voters(&fleet, 3)["audit"], json!([]));
}
