//! Tests of scenario validation, planned requests and load balance.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use measure::{Balance, Extra, Scenario, Skew, extra_window, plan};
use test_case::test_case;

fn scenario_text(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/scenarios");
    std::fs::read_to_string(folder.join(format!("{name}.yaml"))).unwrap()
}

fn scenario(name: &str) -> Scenario {
    Scenario::try_from(scenario_text(name)).unwrap()
}

#[test_case("nasr"; "nasr")]
#[test_case("winterdienst"; "winterdienst")]
fn the_same_seed_plans_the_same_requests(name: &str) {
    let scenario = scenario(name);
    assert_eq!(plan(&scenario, 7), plan(&scenario, 7));
    assert_ne!(plan(&scenario, 7), plan(&scenario, 8));
    let requests = plan(&scenario, 7);
    assert!(requests.windows(2).all(|pair| pair[0].offset <= pair[1].offset));
    let expected = scenario.base_rate() * 15.0;
    assert!((requests.len() as f64 - expected).abs() < 6.0 * expected.sqrt());
    assert!(requests.iter().any(|request| request.turn > 0), "no conversation has a second turn");
}

#[test]
fn a_flood_is_limited_to_the_middle_third_and_does_not_change_the_base_load() {
    let mut scenario = scenario("nasr");
    let base_only = plan(&scenario, 3);
    scenario.extra = Some(Extra::Flood { kind: "tag".parse().unwrap(), percent: 500 });
    let with_flood = plan(&scenario, 3);
    let (base, extra): (Vec<_>, Vec<_>) =
        with_flood.into_iter().partition(|request| !request.is_extra);
    assert_eq!(base, base_only);
    let (start, end) = extra_window(&scenario);
    assert!(extra.iter().all(|request| request.offset >= start && request.offset < end));
    let expected = 5.0 * 37.0 * 4.0;
    assert!((extra.len() as f64 - expected).abs() < 6.0 * f64::sqrt(expected));
    assert!(extra.iter().all(|request| scenario.work[request.work_index].kind.as_str() == "tag"));
}

#[test_case("duration: 12s", "duration: 10ms", "duration"; "too short")]
#[test_case("turns: 8", "turns: 0", "conversations"; "no turns")]
#[test_case("turns: 8", "turns: 8\nextra: {what: flood, kind: none, percent: 5}", "none"; "unknown kind")]
#[test_case("turns: 8", "turn: 8", "turn"; "unknown field")]
fn invalid_scenarios_are_rejected_with_the_offending_name(
    part: &str,
    replacement: &str,
    reason: &str,
) {
    let error = Scenario::try_from(scenario_text("nasr").replace(part, replacement)).unwrap_err();
    let error = error.to_string();
    assert!(error.contains(reason) && error.contains("help:"), "{error}");
}

#[test]
fn balance_ignores_samples_below_the_minimum_mean_load() {
    let skews = [(1, 0.2), (4, 2.0), (3, 2.0)].map(|(max, mean)| Skew { at: 0.0, max, mean });
    let balance = Balance::from_skews(&skews);
    assert_eq!((balance.samples, balance.worst, balance.above_bound), (2, 2.0, 1));
}
