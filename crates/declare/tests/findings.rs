//! Findings in declarations. Each kind of finding is tested with an entry that has it and with one
//! that nearly has it and works.

#![allow(clippy::unwrap_used)]

use declare::{Declarations, Section, findings};
use test_case::test_case;

const KEY: &str = "0000000000000000000000000000000000000000000000000000000000000000";

fn parse(text: &str) -> Declarations {
    Declarations::try_from(text.to_string()).unwrap()
}

/// Returns a role change to `role` of the engines that `upstreams` matches.
fn role_change(role: &str, upstreams: &str) -> String {
    format!("{{role: {role}, upstreams: \"{upstreams}\"}}")
}

#[test_case("deadline: 0s", "deadline: 1ms"; "deadline")]
fn a_kind_of_work_that_always_expires_is_found(wrong: &str, right: &str) {
    let text = |deadline| format!("kinds: [{{name: caption, rank: normal, {deadline}}}]");
    let found = findings(&parse(&text(wrong)));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!((found[0].section, found[0].name.as_str()), (Section::Kind, "caption"));
    assert!(findings(&parse(&text(right))).is_empty());
}

#[test_case("keys: []", &format!("keys: [{KEY}]"); "no key")]
#[test_case(&format!("keys: [{KEY}], limit: 0/s"), &format!("keys: [{KEY}], limit: 1/m"); "limit per second")]
#[test_case(&format!("keys: [{KEY}], limit: 0/m"), &format!("keys: [{KEY}], weight: 0"); "limit per minute")]
fn a_client_account_without_requests_is_found(wrong: &str, right: &str) {
    let text = |fields| format!("client_accounts: [{{name: nasr, {fields}}}]");
    let found = findings(&parse(&text(wrong)));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!((found[0].section, found[0].name.as_str()), (Section::ClientAccount, "nasr"));
    assert!(findings(&parse(&text(right))).is_empty());
}

#[test]
fn a_client_account_with_two_faults_has_two_findings() {
    let found = findings(&parse("client_accounts: [{name: nasr, keys: [], limit: 0/s}]"));
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test_case("a=b,a=c", "a=b,c=a"; "two values of a label")]
#[test_case("a in (b, c),a in (d)", "a in (b, c),a in (c, d)"; "lists without a common value")]
#[test_case("a=b,a!=b", "a=b,a!=c"; "value that is excluded")]
#[test_case("a in (b, c),a notin (c, b)", "a in (b, c),a notin (c, d)"; "list that is excluded")]
#[test_case("a in (b, c),a!=b,a!=c", "a in (b, c),a!=b"; "values that are excluded one by one")]
#[test_case("x=y,a=b,a in (b, c),a!=b", "a,a!=b"; "contradiction behind other conditions")]
fn a_selector_that_contradicts_itself_is_found(wrong: &str, right: &str) {
    let text = |selector| {
        format!(
            "kinds: [{{name: k, rank: normal, deadline: 1s}}]
services: [{{name: s, target: {{upstreams: \"{selector}\"}}, kind: k}}]
drains: [\"{selector}\"]
rollouts: [{{model: m, upstreams: \"{selector}\"}}]
role_changes: [{{role: r, upstreams: \"{selector}\"}}]"
        )
    };
    let found = findings(&parse(&text(wrong)));
    let sections: Vec<Section> = found.iter().map(|finding| finding.section).collect();
    let all = [Section::Service, Section::Drain, Section::Rollout, Section::RoleChange];
    assert_eq!(sections, all, "{found:?}");
    assert!(found.iter().all(|finding| finding.problem.contains("label \"a\"")), "{found:?}");
    let found = findings(&parse(&text(right)));
    assert!(found.is_empty(), "{found:?}");
}

#[test_case("rack=7", "rack=7", true; "same engines")]
#[test_case("rack=7", "rack in (7),row=2", true; "some of the engines")]
#[test_case("", "rack=7", true; "all engines before")]
#[test_case("rack=7,row=2", "rack=7", false; "more engines")]
#[test_case("rack=7", "rack=8", false; "other engines")]
#[test_case("rack=7", "row=2", false; "engines that may overlap")]
fn a_role_change_whose_engines_follow_an_earlier_one_is_found(
    first: &str,
    second: &str,
    is_found: bool,
) {
    let changes = [role_change("decode", first), role_change("prefill", second)];
    let found = findings(&parse(&format!("role_changes: [{}]", changes.join(", "))));
    let names: Vec<&str> = found.iter().map(|finding| finding.name.as_str()).collect();
    let expected: &[&str] = if is_found { &["prefill"] } else { &[] };
    assert_eq!(names, expected, "{found:?}");
}

#[test]
fn all_errors_are_reported_and_the_first_one_is_that_of_a_complete_check() {
    let text =
        "kinds: [{name: k, rank: normal, deadline: 1s}, {name: k, rank: normal, deadline: 1s}]
services: [{name: s, target: {model: m}, kind: x}, {name: t, target: {model: m}, kind: y}]
drains: [\"\"]";
    let errors = Declarations::parse(text).unwrap().validated().unwrap_err();
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 4, "{texts:?}");
    for part in ["\"k\" is declared twice", "\"x\"", "\"y\"", "empty selector"] {
        assert_eq!(texts.iter().filter(|text| text.contains(part)).count(), 1, "{texts:?}");
    }
    let first = Declarations::parse(text).unwrap().checked().unwrap_err();
    assert_eq!(first.to_string(), texts[0]);
}

#[test]
fn no_error_contains_a_hash_of_a_key() {
    let shared = format!(
        "client_accounts: [{{name: nasr, keys: [{KEY}]}}, {{name: saad, keys: [{KEY}, {KEY}]}}]"
    );
    let errors = Declarations::parse(&shared).unwrap().validated().unwrap_err();
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(texts[0].contains("\"nasr\"") && texts[0].contains("\"saad\""), "{texts:?}");
    assert!(texts.iter().all(|text| !text.contains(KEY)), "{texts:?}");
    let invalid = "client_accounts: [{name: nasr, keys: [plain-text-key]}]";
    let error = Declarations::parse(invalid).unwrap_err().to_string();
    assert!(!error.contains("plain-text-key"), "{error}");
    assert!(error.contains("64 hexadecimal digits"), "{error}");
}
