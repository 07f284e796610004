//! Changes of the instances that vote, by the operators' command.

#![allow(clippy::unwrap_used)]

mod support;

use std::process::{Command, Output};

use serde_json::{Value, json};
use support::log::{TOKEN, leader_of, operators, status, take_surely, wait_for_lease};
use support::{Fleet, PROGRAM, Plan, output, wait_for};

/// Four instances that may vote, of which the first three found the group.
fn fleet() -> Fleet {
    let plan = Plan::new(&["giza", "cairo", "delta", "giza"])
        .with_voters(3)
        .with_setting("roles", json!(["entry", "control"]))
        .with_setting("operator_tokens", json!({ "tester": TOKEN }))
        .with_setting("limits", json!({ "log": "8KiB" }));
    let fleet = Fleet::start_plan(plan);
    std::fs::write(fleet.folder.path().join("token"), TOKEN).unwrap();
    leader_of(&fleet, &[0, 1, 2]);
    fleet
}

/// Runs `turmericrelay voters` through the instance `asked`.
fn voters(fleet: &Fleet, asked: usize, arguments: &[&str]) -> Output {
    let token = fleet.folder.path().join("token");
    let mut command = Command::new(PROGRAM);
    command.arg("voters").args(arguments);
    command.args(["--instance", &operators(fleet, asked).to_string()]);
    output(command.args(["--token-file", &token.display().to_string()]))
}

fn show(fleet: &Fleet, asked: usize) -> Value {
    let shown = voters(fleet, asked, &["--json"]);
    serde_json::from_slice(&shown.stdout).unwrap_or_default()
}

/// Waits until the last change has ended as `progress`.
fn wait_for_end(fleet: &Fleet, asked: usize, progress: &str) -> Value {
    wait_for("end of the change", || {
        let page = show(fleet, asked);
        let last = page["audit"].as_array()?.last()?;
        (last["progress"] == progress).then_some(page.clone())
    })
}

/// The instances that vote, as the instance `asked` knows.
fn voting(fleet: &Fleet, asked: usize) -> Vec<String> {
    let status = status(fleet, asked).unwrap();
    let members = status["members"].as_array().unwrap().iter();
    let mut names: Vec<String> =
        members.map(|member| member["instance"].as_str().unwrap().to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_fourth_instance_takes_the_place_of_the_first_and_nothing_is_lost() {
    let mut fleet = fleet();
    (0..30).for_each(|number| {
        take_surely(&fleet, number % 4, &format!("order-{number};"));
    });
    let changed = voters(&fleet, 3, &["--add", "instance-4", "--remove", "instance-1"]);
    assert!(changed.status.success(), "{changed:?}");
    (30..40).for_each(|number| {
        take_surely(&fleet, number % 4, &format!("order-{number};"));
    });
    let page = wait_for_end(&fleet, 1, "done");
    assert_eq!(page["voters"], json!(["instance-2", "instance-3", "instance-4"]));
    let record = &page["audit"][0];
    assert_eq!(record["operator"], "tester");
    assert_eq!(record["from"], json!(["instance-1", "instance-2", "instance-3"]));
    // The removed instance hears that it votes no more, and goes on without a vote.
    wait_for("dismissal", || (status(&fleet, 0)?["role"] == "learner").then_some(()));
    take_surely(&fleet, 0, "through the removed one");
    fleet.kill(0);
    std::fs::remove_dir_all(fleet.data_folder("instance-1")).unwrap();
    let leader = leader_of(&fleet, &[1, 2, 3]);
    assert_eq!(voting(&fleet, leader), ["instance-2", "instance-3", "instance-4"]);
    // A loss right after the change leaves a majority of the new voters.
    let lost = if leader == 1 { 2 } else { 1 };
    fleet.kill(lost);
    take_surely(&fleet, 3, "after");
    for index in [1, 2, 3].into_iter().filter(|index| *index != lost) {
        (0..40).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number};")));
    }
}

#[test]
fn a_second_change_is_refused_by_name_while_one_runs() {
    let mut fleet = fleet();
    fleet.kill(3);
    let first = ["--add", "instance-4", "--remove", "instance-1", "--order", "first"];
    assert!(voters(&fleet, 1, &first).status.success());
    let resent = voters(&fleet, 2, &first);
    assert!(String::from_utf8_lossy(&resent.stdout).contains("change 1"), "{resent:?}");
    let second = voters(&fleet, 2, &["--set", "instance-2", "--order", "second"]);
    assert_eq!(second.status.code(), Some(4), "{second:?}");
    let problem = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(problem.contains("change 1") && problem.contains("tester"), "{problem}");
    assert_eq!(retry_after(&fleet, 2).as_deref(), Some("1"));
    let back = voters(&fleet, 2, &["--set", "instance-1,instance-2,instance-3"]);
    assert!(back.status.success(), "{back:?}");
    let page = wait_for_end(&fleet, 1, "done");
    assert_eq!(page["audit"][0]["progress"], "cancelled");
    fleet.restart(3);
    take_surely(&fleet, 3, "after");
    assert_eq!(voting(&fleet, 1), ["instance-1", "instance-2", "instance-3"]);
}

/// When a change that is refused says to ask again.
fn retry_after(fleet: &Fleet, asked: usize) -> Option<String> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let body = json!({ "from": [], "to": ["instance-2"] }).to_string();
    let answer = agent
        .new_agent()
        .post(format!("http://{}/state/voters", operators(fleet, asked)))
        .header("authorization", format!("Bearer {TOKEN}"))
        .send(body)
        .unwrap();
    assert_eq!(answer.status(), 409);
    answer.headers().get("retry-after").and_then(|value| value.to_str().ok()).map(String::from)
}

#[test]
fn voters_that_cannot_be_are_refused() {
    let fleet = fleet();
    for (names, problem) in
        [("instance-1,instance-2", "2 voters"), ("instance-9", "does not exist")]
    {
        let refused = voters(&fleet, 0, &["--set", names]);
        assert!(!refused.status.success());
        let text = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert!(text.contains(problem), "{text}");
    }
    assert_eq!(show(&fleet, 3)["audit"], json!([]));
}
