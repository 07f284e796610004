//! Runs the command `check` on files with and without findings.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};
use support::{Fleet, PROGRAM, Plan, declarations};
use tempfile::TempDir;
use test_case::test_case;

const TOKEN: &str = "token-of-amal-for-tests";

const DECLARATIONS: &str = "\
kinds:
  - name: caption
    rank: normal
    deadline: 30s
services:
  - name: caption
    target: {model: caption}
    kind: caption
client_accounts:
  - name: caption
    keys: [0000000000000000000000000000000000000000000000000000000000000000]
    limit: 5/s
drains:
  - rack = 7
";

const SETTINGS: &str = "\
instance: \"127.0.0.1\"
data_centre: giza
roles: [entry]
listen: {callers: \"127.0.0.1:1\", operators: \"127.0.0.1:2\", peers: \"127.0.0.1:3\"}
fleet_secrets: [a-random-text-of-32-characters--]
seeds: [\"127.0.0.2:3\"]
limits:
  memory: 96MiB
timing:
  unread: 5s
";

const DOCUMENT: &str = r#"{
  "version": 7,
  "routes": [
    {"name": "all", "host": "api.example", "path-prefix": "/", "kind": "safe", "timeout-ms": 900, "objective-ms": 300,
     "split": [{"service": "shop", "weight": 9}, {"service": "archive", "weight": 1}]}
  ],
  "services": [
    {"name": "shop", "connection-limit": 8},
    {"name": "archive", "connection-limit": 8}
  ],
  "limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
  "tenants": [
    {"name": "family", "api-keys": ["plain-secret"]}
  ]
}"#;

/// Files in a temporary folder.
struct Files {
    folder: TempDir,
}

impl Files {
    fn new() -> Self {
        Self { folder: TempDir::new().unwrap() }
    }

    /// Writes `text` to the file `name`, and returns its path.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

fn check(arguments: &[&str]) -> Output {
    support::output(Command::new(PROGRAM).arg("check").args(arguments))
}

fn check_json(arguments: &[&str]) -> Value {
    serde_json::from_slice(&check(&[arguments, &["--json"]].concat()).stdout).unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test_case("declarations.yaml", DECLARATIONS, "deadline: 30s", "deadline: 0s", "warning at line 2: kind of work \"caption\": the deadline is 0"; "kind of work")]
#[test_case("declarations.yaml", DECLARATIONS, "{model: caption}", "{upstreams: \"a=b,a=c\"}", "warning at line 6: service \"caption\": no value of the label \"a\""; "service")]
#[test_case("declarations.yaml", DECLARATIONS, "limit: 5/s", "limit: 0/s", "warning at line 10: client account \"caption\": the limit is 0"; "client account")]
#[test_case("declarations.yaml", DECLARATIONS, "rack = 7", "rack = 7, rack != 7", "warning at line 14: drain \"rack in (7),rack notin (7)\": no value"; "drain")]
#[test_case("settings.yaml", SETTINGS, "unread: 5s", "unread: 5s\ndirect:\n  load_bound: 1", "warning at line 12: setting \"direct.load_bound\": 1 is not above 1"; "load bound")]
#[test_case("settings.yaml", SETTINGS, "memory: 96MiB", "memory: 96MiB\n  unread_total: 1MiB\n  unread: 2MiB", "warning at line 10: setting \"limits.unread\": 2MiB is more than"; "setting whose name occurs in others")]
#[test_case("document.json", DOCUMENT, "\"weight\": 1", "\"weight\": 0", "warning at line 4: route \"all\": the weight of service \"archive\" is 0"; "route")]
#[test_case("document.json", DOCUMENT, "[\"plain-secret\"]", "[]", "warning at line 13: client account \"family\": it has no keys"; "account of a document")]
fn a_warning_names_file_line_entry_and_remedy_and_fails_only_with_strict(
    name: &str,
    valid: &str,
    part: &str,
    replacement: &str,
    warning: &str,
) {
    let files = Files::new();
    let path = files.write(name, valid);
    let without_finding = check(&[&path, "--strict"]);
    assert_eq!(without_finding.status.code(), Some(0), "{}", stderr(&without_finding));
    assert_eq!(stderr(&without_finding), "");
    let path = files.write(name, &valid.replace(part, replacement));
    let output = check(&[&path]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stderr(&output).contains(&format!("{path}: {warning}")), "{}", stderr(&output));
    assert!(stderr(&output).contains("; help: "), "{}", stderr(&output));
    assert_eq!(check(&[&path, "--strict"]).status.code(), Some(3));
    assert_eq!(check(&[&path, "--strict", "--json"]).status.code(), Some(3));
}

#[test]
fn json_output_has_warnings_and_has_changes_only_if_files_are_compared() {
    let files = Files::new();
    let valid = files.write("valid.yaml", DECLARATIONS);
    assert_eq!(
        check_json(&[&valid]),
        json!({ "files": [{ "file": valid, "valid": "declarations" }], "warnings": [] })
    );
    let path = files.write("path.yaml", &DECLARATIONS.replace("5/s", "0/s"));
    let report = check_json(&[&path, "--against", &valid]);
    assert_eq!(report["changes"], json!(["client account \"caption\": limit 5/s -> 0/s"]));
    let warning = &report["warnings"][0];
    assert_eq!(warning["file"], path.as_str());
    assert_eq!(warning["line"], 10);
    assert_eq!(warning["entry"], "client account \"caption\"");
    assert!(warning["problem"].is_string() && warning["help"].is_string(), "{warning}");
}

/// The examples are documented as configurations that work.
#[test_case("nasr"; "nasr")]
#[test_case("winterdienst"; "winterdienst")]
fn the_examples_have_no_warnings(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    let paths: [PathBuf; 2] = [folder.join("declarations.yaml"), folder.join("settings")];
    let output = support::output(Command::new(PROGRAM).args(["check", "--strict"]).args(paths));
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stderr(&output), "");
}

#[test]
fn all_errors_in_all_files_of_a_folder_are_reported() {
    let files = Files::new();
    files.write("all/a.yaml", "kinds: [{name: a}]\n");
    files.write("all/b.yaml", "kinds: [{rank: normal}]\n");
    files.write("all/c.yaml", &SETTINGS.replace("[entry]", "[]"));
    let folder = files.folder.path().join("all").display().to_string();
    let output = check(&[&folder]);
    assert_eq!(output.status.code(), Some(3));
    for part in ["a.yaml: ", "b.yaml: ", "c.yaml: setting \"roles\""] {
        assert!(stderr(&output).contains(part), "{}", stderr(&output));
    }
    let undeclared =
        DECLARATIONS.replace("kind: caption", "kind: other").replace("rack = 7", "\"\"");
    let report = check_json(&[&files.write("undeclared.yaml", &undeclared)]);
    let errors: Vec<&str> = report["files"]
        .as_array()
        .unwrap()
        .iter()
        .map(|file| file["error"].as_str().unwrap())
        .collect();
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert!(errors[0].contains("at line 8 column 11"), "{errors:?}");
    assert!(errors[1].contains("empty selector"), "{errors:?}");
}

#[test]
fn all_errors_of_a_document_are_reported() {
    let files = Files::new();
    let wrong = DOCUMENT.replace("\"timeout-ms\": 900", "\"timeout-ms\": 0").replace(
        "{\"service\": \"archive\", \"weight\": 1}",
        "{\"service\": \"none\", \"weight\": 1}",
    );
    let output = check(&[&files.write("wrong.json", &wrong)]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("timeout of route \"all\" is 0"), "{}", stderr(&output));
    assert!(
        stderr(&output).contains("service \"none\", which does not exist"),
        "{}",
        stderr(&output)
    );
}

/// Values of the wrong type are quoted by parsers, and may be secrets.
#[test_case("s.yaml", &SETTINGS.replace("[a-random-text-of-32-characters--]", "plain-secret"); "fleet secret that is no list")]
#[test_case("s.yaml", &SETTINGS.replace("[a-random-text-of-32-characters--]", "[[plain-secret]]"); "fleet secret in a nested list")]
#[test_case("d.yaml", &DECLARATIONS.replace("[0000000000000000000000000000000000000000000000000000000000000000]", "plain-secret"); "key that is no list")]
#[test_case("d.yaml", &DECLARATIONS.replace("[0000000000000000000000000000000000000000000000000000000000000000]", "[plain-secret]"); "key in place of its hash")]
#[test_case("d.json", &DOCUMENT.replace("[\"plain-secret\"]", "\"plain-secret\""); "key of a document that is no list")]
#[test_case("d.json", &DOCUMENT.replace("{\"name\": \"family\"", "{\"name\": \"other\", \"api-keys\": [\"plain-secret\"]}, {\"name\": \"family\""); "key of two accounts")]
fn an_error_does_not_contain_secrets(name: &str, text: &str) {
    let output = check(&[&Files::new().write(name, text)]);
    assert_eq!(output.status.code(), Some(3));
    let text = stdout(&output) + &stderr(&output);
    assert!(!text.contains("plain-secret"), "{text}");
    assert!(text.contains(name), "{text}");
}

#[test]
fn a_document_is_compared_with_a_saved_one_without_its_keys() {
    let files = Files::new();
    let saved = files.write("saved.json", DOCUMENT);
    let next = DOCUMENT
        .replace("\"version\": 7", "\"version\": 8")
        .replace("\"timeout-ms\": 900", "\"timeout-ms\": 1000")
        .replace("plain-secret", "other-secret")
        .replace(
            "    {\"name\": \"archive\"",
            "    {\"name\": \"archive-2\", \"connection-limit\": 8},\n    {\"name\": \"archive\"",
        )
        .replace("{\"service\": \"archive\"", "{\"service\": \"archive-2\"");
    let next_path = files.write("next.json", &next);
    let output = check(&[&next_path, "--against", &saved]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = format!(
        "{next_path}: valid document
route \"all\": timeout 900ms -> 1s, targets shop (9) + archive (1) -> shop (9) + archive-2 (1)
service \"archive-2\": added
client account \"family\": keys changed
"
    );
    assert_eq!(stdout(&output), expected);
    assert!(!stderr(&output).contains("secret"), "{}", stderr(&output));
    let same_number = files.write("same.json", &next.replace("\"version\": 8", "\"version\": 7"));
    let output = check(&[&same_number, "--against", &saved, "--strict"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).contains("line 2: document number: 7 is not above 7"),
        "{}",
        stderr(&output)
    );
    assert_eq!(check(&[&saved, "--against", &saved, "--strict"]).status.code(), Some(0));
}

#[test]
fn a_document_is_compared_with_the_memory_of_instances_that_use_documents() {
    let files = Files::new();
    let document = files.write("d.json", &DOCUMENT.replace("4194304", "67108864"));
    let settings = files.write("platform.yaml", SETTINGS);
    let other_settings =
        files.write("other.yaml", &SETTINGS.replace("seeds: [\"127.0.0.2:3\"]\n", ""));
    let output = check(&[&document, &settings, "--strict"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).contains("line 11: limits: bodies of 67108864 bytes"),
        "{}",
        stderr(&output)
    );
    assert_eq!(check(&[&document, &other_settings, "--strict"]).status.code(), Some(0));
}

#[test]
fn declarations_of_all_paths_are_compared_together_with_a_file_or_folder() {
    let files = Files::new();
    files.write("old/all.yaml", DECLARATIONS);
    let old = files.folder.path().join("old").display().to_string();
    let more = files.write("more.yaml", "kinds: [{name: tag, rank: normal, deadline: 5s}]");
    let all = files.write("all.yaml", &DECLARATIONS.replace("rank: normal", "rank: urgent"));
    let output = check(&[&all, &more, "--against", &old]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = format!(
        "{all}: valid declarations
{more}: valid declarations
kind of work \"caption\": rank normal -> urgent
kind of work \"tag\": added
"
    );
    assert_eq!(stdout(&output), expected);
}

#[test]
fn exit_codes_tell_why_files_cannot_be_compared() {
    let files = Files::new();
    let declarations = files.write("d.yaml", DECLARATIONS);
    let settings = files.write("s.yaml", SETTINGS);
    let document = files.write("d.json", DOCUMENT);
    let invalid = files.write("i.yaml", "kinds: [{name: a}]");
    let free = support::free_address().to_string();
    let code = |arguments: &[&str]| check(arguments).status.code();
    assert_eq!(code(&[&settings, "--against", &declarations]), Some(2));
    assert_eq!(code(&[&document, "--against", &declarations]), Some(2));
    assert_eq!(code(&[&declarations, "--against", &document]), Some(2));
    assert_eq!(code(&[&document, "--instance", &free]), Some(2));
    assert_eq!(code(&[&declarations, "--against", &declarations, "--instance", &free]), Some(2));
    assert_eq!(code(&[&declarations, "--token-file", &settings]), Some(2));
    assert_eq!(code(&[&declarations, "--against", &invalid]), Some(3));
    assert_eq!(code(&[&declarations, "--against", "missing.yaml"]), Some(3));
    assert_eq!(code(&[&invalid, "--instance", &free]), Some(3));
    assert_eq!(code(&[&declarations, "--instance", &free]), Some(5));
    let report = check_json(&[&declarations, "--instance", &free]);
    assert_eq!(report["files"][0]["valid"], "declarations", "the result of the check is lost");
}

#[test]
fn check_shows_the_same_changes_as_diff_and_needs_the_token() {
    let tokens = json!({ "amal": TOKEN });
    let plan = Plan::new(&["giza"]).with_voters(1).with_setting("operator_tokens", tokens);
    let fleet = Fleet::start_plan(plan);
    let files = Files::new();
    let token = files.write("token", &format!("{TOKEN}\n"));
    let address = fleet.instances[0].addresses.operators.to_string();
    let with_token = ["--instance", &address, "--token-file", &token];
    let run = |arguments: &[&str]| {
        support::output(Command::new(PROGRAM).args(arguments).args(with_token))
    };
    let first = files.write("first.yaml", &declarations());
    assert_eq!(run(&["apply", &first, "--base", "0"]).status.code(), Some(0));
    let more = files.write("more.yaml", "kinds: [{name: tag, rank: normal, deadline: 0s}]");
    let compared = run(&["diff", &first, &more]);
    assert_eq!(stdout(&compared), "kind of work \"tag\": added\n");
    let checked = run(&["check", &first, &more]);
    assert_eq!(checked.status.code(), Some(0), "{}", stderr(&checked));
    assert!(stdout(&checked).ends_with(&stdout(&compared)), "{}", stdout(&checked));
    assert!(stderr(&checked).contains("the deadline is 0"), "{}", stderr(&checked));
    assert_eq!(run(&["check", &first, &more, "--strict"]).status.code(), Some(3));
    let unauthorized = check(&[&first, "--instance", &address]);
    assert_eq!(unauthorized.status.code(), Some(1), "{}", stderr(&unauthorized));
    let history = run(&["history", "--json"]);
    let history: Value = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(history["current"], 1, "check changed the declarations");
}
