//! Validation of rollouts and role changes.

#![allow(clippy::unwrap_used)]

use declare::{Action, Declarations};
use test_case::test_case;

fn read(text: &str) -> Result<Declarations, String> {
    Declarations::try_from(text.to_string()).map_err(|error| error.to_string())
}

#[test]
fn the_default_action_of_a_rollout_is_load() {
    let text = "rollouts: [{model: a, upstreams: x=y}, {model: b, upstreams: x=y, action: unload}]";
    let declared = read(text).unwrap();
    let actions: Vec<Action> = declared.rollouts.iter().map(|rollout| rollout.action).collect();
    assert_eq!(actions, [Action::Load, Action::Unload]);
    let yaml = declared.to_yaml().unwrap();
    assert_eq!(yaml.matches("action").count(), 1, "older versions do not know the field: {yaml}");
    assert_eq!(read(&yaml).unwrap(), declared);
}

#[test_case("rollouts: [{model: a, upstreams: x=y, at_once: 0}]", "at_once is 0")]
#[test_case("rollouts: [{model: a, upstreams: x=y, action: drop}]", "unknown variant"; "action")]
#[test_case("role_changes: [{role: a, upstreams: x=y, at_once: 0}]", "at_once is 0"; "role at once")]
#[test_case("role_changes: [{role: 'a b', upstreams: x=y}]", "other characters"; "characters")]
#[test_case("role_changes: [{role: a, upstreams: 'role!=a'}]", "which it changes"; "own label")]
#[test_case(
    "role_changes: [{role: a, upstreams: x=y}, {role: a, upstreams: x=z}]", "role change"; "twice"
)]
fn invalid_rollouts_and_role_changes_are_rejected(text: &str, problem: &str) {
    let error = read(text).unwrap_err();
    assert!(error.contains(problem), "{error}");
}
