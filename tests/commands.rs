//! Runs the operators' commands against real instances.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};
use support::{Fleet, PROGRAM, Plan, Proxy, declarations, post, wait_for};

const TOKEN: &str = "token-of-amal-for-tests";

/// A fleet, and the operators' addresses to which commands are sent, in order of preference.
struct Console {
    fleet: Fleet,
    instances: Vec<SocketAddr>,
}

fn start_fleet(data_centres: &[&str]) -> Fleet {
    let tokens = json!({ "amal": TOKEN });
    let plan = Plan::new(data_centres).with_voters(1);
    Fleet::start_plan(plan.with_setting("operator_tokens", tokens))
}

impl Console {
    fn new(fleet: Fleet) -> Self {
        std::fs::write(fleet.folder.path().join("token"), format!("{TOKEN}\n")).unwrap();
        let instances = vec![fleet.instances[0].addresses.operators];
        Self { fleet, instances }
    }

    /// Writes `text` to the file `name` in the folder of the fleet, and returns its path.
    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.fleet.folder.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs the program with `arguments`, the operator's token and the addresses of the instances.
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).arg("--token-file").arg(self.fleet.folder.path().join("token"));
        for address in &self.instances {
            command.args(["--instance", &address.to_string()]);
        }
        support::output(&mut command)
    }

    /// Runs the program with `--json`, and returns its output.
    fn run_json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["--json"]].concat());
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

/// Returns standard output followed by standard error.
fn output_text(output: &Output) -> String {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8(text).unwrap()
}

#[test]
fn declarations_are_applied_compared_and_rolled_back_by_commands() {
    let console = Console::new(start_fleet(&["giza", "cairo"]));
    let file = console.write_file("new/all.yaml", &declarations());
    let folder = file.parent().unwrap().display().to_string();
    let applied = console.run(&["apply", &folder, "--base", "0", "--order", "mine"]);
    assert_eq!(applied.status.code(), Some(0), "{}", output_text(&applied));
    assert_eq!(output_text(&applied), "order mine\nrevision 1\n");
    console.write_file("new/more.yaml", "kinds: [{name: tag, rank: normal, deadline: 5s}]");
    let difference = console.run(&["diff", &folder]);
    assert_eq!(output_text(&difference), "kind of work \"tag\": added\n");
    assert_eq!(console.run(&["apply", &folder, "--base", "1"]).status.code(), Some(0));
    let conflict = console.run(&["apply", &folder, "--base", "1"]);
    assert_eq!(conflict.status.code(), Some(4));
    assert!(output_text(&conflict).contains("by operator \"amal\""), "{}", output_text(&conflict));
    assert_eq!(console.run(&["rollback", "--to", "1"]).status.code(), Some(0));
    let audit = console.run_json(&["audit", "--limit", "1"]);
    assert_eq!(audit["audit"][0]["changes"][0], "kind of work \"tag\": removed");
    let history = console.run_json(&["history"]);
    assert_eq!(history["history"][0]["rolled_back_to"], 1);
    assert_eq!(history["history"].as_array().unwrap().len(), 3);
    let fleet_list = console.run_json(&["fleet"]);
    assert_eq!(fleet_list["instances"].as_array().unwrap().len(), 2);
    let second_revision = console.run(&["get", "--revision", "2"]);
    assert!(
        output_text(&second_revision).starts_with("# revision 2\n")
            && output_text(&second_revision).contains("name: tag")
    );
}

#[test]
fn a_command_resends_its_order_through_another_instance_after_a_lost_answer() {
    let mut console = Console::new(start_fleet(&["giza"]));
    let proxy = Proxy::start(console.instances[0]);
    proxy.change(|faults| faults.is_half_open = true);
    console.instances.insert(0, proxy.address());
    let file = console.write_file("all.yaml", &declarations()).display().to_string();
    let applied = console.run(&["apply", &file, "--base", "0"]);
    assert_eq!(applied.status.code(), Some(0), "{}", output_text(&applied));
    assert!(output_text(&applied).contains("revision 1\n"), "{}", output_text(&applied));
    console.instances.remove(0);
    assert_eq!(console.run_json(&["history"])["current"], 1, "the order was applied twice");
}

#[test]
fn a_drained_upstream_receives_no_requests_until_the_drain_is_undone() {
    let console = Console::new(start_fleet(&["giza", "giza"]));
    let mut console = console;
    console.fleet.add_upstream("shop-1", "giza", &["--label", "app=shop"]);
    let book = |index: usize| {
        let address = console.fleet.instances[index].addresses.callers;
        post(address, "/services/shop/bookings", &[], &json!({ "family": "Hassan" })).unwrap()
    };
    assert_eq!(book(1).status, 200);
    let drained = console.run(&["drain", "--select", "app=shop"]);
    assert_eq!(drained.status.code(), Some(0), "{}", output_text(&drained));
    wait_for("refusal by the drained upstream", || (book(1).status == 503).then_some(()));
    assert_eq!(book(1).verdict.as_deref(), Some("not-run"));
    wait_for("drain in the list of the fleet", || {
        let shop = console.run_json(&["fleet"])["upstreams"][0].take();
        (shop["is_drained"] == true && shop["owner"].is_string()).then_some(())
    });
    assert_eq!(console.run(&["drain", "--select", "app=shop", "--undo"]).status.code(), Some(0));
    wait_for("end of the drain", || (book(1).status == 200).then_some(()));
}

#[test]
fn exit_codes_distinguish_causes_of_failure() {
    let mut console = Console::new(start_fleet(&["giza"]));
    let invalid = console.write_file(
        "bad.yaml",
        "services:\n  - name: a\n    target: {model: m}\n    kind: nothing\n",
    );
    let invalid = invalid.display().to_string();
    let refused = console.run(&["apply", &invalid, "--base", "0"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(output_text(&refused).contains("at line 4 column 11"), "{}", output_text(&refused));
    assert_eq!(console.run(&["get", "--revision", "99"]).status.code(), Some(1));
    assert_eq!(console.run(&["rollback"]).status.code(), Some(2));
    assert_eq!(console.run(&["drain", "--select", ""]).status.code(), Some(3));
    console.instances = vec![support::free_address()];
    assert_eq!(console.run(&["history"]).status.code(), Some(5));
}

#[test]
fn the_documented_declarations_are_valid() {
    let console = Console::new(start_fleet(&["giza"]));
    let operating_guide = include_str!("../docs/OPERATING.md");
    let (_, rest) = operating_guide.split_once("```yaml\n").unwrap();
    let (example, _) = rest.split_once("```").unwrap();
    let example = example.replace("<64 hexadecimal digits>", &"0".repeat(64));
    let file = console.write_file("documented.yaml", &example).display().to_string();
    let checked = support::output(Command::new(PROGRAM).args(["check", &file]));
    assert_eq!(checked.status.code(), Some(0), "{}", output_text(&checked));
    assert_eq!(console.run(&["apply", &file, "--base", "0"]).status.code(), Some(0));
    let printed = console.run(&["get"]);
    let printed = console.write_file("printed.yaml", &output_text(&printed)).display().to_string();
    assert_eq!(output_text(&console.run(&["diff", &printed])), "");
}

#[test]
fn every_command_with_output_supports_json() {
    let console = Console::new(start_fleet(&["giza"]));
    let file = console.write_file("all.yaml", &declarations()).display().to_string();
    let invalid = console.write_file("bad.yaml", "kinds: [{name: a}]").display().to_string();
    let in_force = |revision: u64| {
        wait_for("revision in force", || {
            (console.run_json(&["get"])["revision"] == revision).then_some(())
        });
    };
    let applied = console.run_json(&["apply", &file, "--base", "0", "--order", "mine"]);
    assert_eq!(applied, json!({ "order": "mine", "revision": 1 }));
    in_force(1);
    let drained = console.run_json(&["drain", "--select", "app=shop", "--order", "drain"]);
    assert_eq!(drained, json!({ "order": "drain", "revision": 2 }));
    let difference = console.run_json(&["diff", "--from", "1", "--to", "2"]);
    assert_eq!(difference["changes"].as_array().unwrap().len(), 1, "{difference}");
    in_force(2);
    let rolled_back = console.run_json(&["rollback", "--to", "1", "--order", "back"]);
    assert_eq!(rolled_back, json!({ "order": "back", "revision": 3 }));
    in_force(3);
    let declared = console.run_json(&["get"])["declarations"].take();
    assert_eq!(declared["services"][0]["name"], "caption-small");
    assert_eq!(console.run_json(&["history"])["history"].as_array().unwrap().len(), 3);
    assert_eq!(console.run_json(&["audit"])["audit"].as_array().unwrap().len(), 3);
    assert_eq!(console.run_json(&["fleet"])["instances"][0]["revision"], 3);
    let checked = support::output(Command::new(PROGRAM).args(["check", "--json", &file, &invalid]));
    assert_eq!(checked.status.code(), Some(3));
    let checked: Value = serde_json::from_slice(&checked.stdout).unwrap();
    assert_eq!(checked["files"][0], json!({ "file": file, "valid": "declarations" }));
    assert!(checked["files"][1]["error"].as_str().unwrap().contains("rank"), "{checked}");
}

#[test]
fn every_command_has_help_and_an_example() {
    let help = |arguments: &[&str]| {
        output_text(&support::output(Command::new(PROGRAM).args(arguments).arg("--help")))
    };
    let help_text = help(&[]);
    let (_, commands) = help_text.split_once("Available commands:").unwrap();
    let (commands, _) = commands.split_once("Exit codes").unwrap();
    let names: Vec<&str> =
        commands.lines().filter_map(|line| line.split_whitespace().next()).collect();
    assert!(names.contains(&"fleet"), "{help_text}");
    let without_json_output = ["serve", "platform", "dev", "hash-key", "stand-in"];
    for name in names {
        let command_help = help(&[name]);
        assert!(command_help.contains(&format!("Example: turmericrelay {name}")), "{command_help}");
        let has_json = command_help.contains("--json");
        assert_eq!(has_json, !without_json_output.contains(&name), "{command_help}");
    }
}
