//! Scenarios and the loads planned from them.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use measure::{Balance, Extra, Scenario, Skew, extra_window, plan};
use test_case::test_case;

fn text(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/scenarios");
    std::fs::read_to_string(folder.join(format!("{name}.yaml"))).unwrap()
}

fn scenario(name: &str) -> Scenario {
    Scenario::try_from(text(name)).unwrap()
}

#[test_case("nasr"; "nasr")]
#[test_case("winterdienst"; "winterdienst")]
fn a_load_follows_from_its_seed(name: &str) {
    let scenario = scenario(name);
    assert_eq!(plan(&scenario, 7), plan(&scenario, 7));
    assert_ne!(plan(&scenario, 7), plan(&scenario, 8));
    let requests = plan(&scenario, 7);
    assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let expected = scenario.base_rate() * 15.0;
    assert!((requests.len() as f64 - expected).abs() < 6.0 * expected.sqrt());
    assert!(requests.iter().any(|request| request.turn > 0), "no conversation returns");
}

#[test]
fn a_flood_is_offered_in_the_middle_third_and_leaves_the_base_load_as_it_is() {
    let mut scenario = scenario("nasr");
    let quiet = plan(&scenario, 3);
    scenario.extra = Some(Extra::Flood { kind: "tag".parse().unwrap(), percent: 500 });
    let flooded = plan(&scenario, 3);
    let (base, extra): (Vec<_>, Vec<_>) =
        flooded.into_iter().partition(|request| !request.is_extra);
    assert_eq!(base, quiet);
    let (start, end) = extra_window(&scenario);
    assert!(extra.iter().all(|request| request.at >= start && request.at < end));
    let expected = 5.0 * 37.0 * 4.0;
    assert!((extra.len() as f64 - expected).abs() < 6.0 * f64::sqrt(expected));
    assert!(extra.iter().all(|request| scenario.work[request.work].kind.as_str() == "tag"));
}

#[test_case("duration: 12s", "duration: 10ms", "duration"; "too short")]
#[test_case("turns: 8", "turns: 0", "conversations"; "no turns")]
#[test_case("turns: 8", "turns: 8\nextra: {what: flood, kind: none, percent: 5}", "none"; "unknown kind")]
#[test_case("turns: 8", "turn: 8", "turn"; "unknown field")]
fn wrong_scenarios_are_refused_by_field(part: &str, replacement: &str, reason: &str) {
    let error = Scenario::try_from(text("nasr").replace(part, replacement)).unwrap_err();
    let error = error.to_string();
    assert!(error.contains(reason) && error.contains("help:"), "{error}");
}

#[test]
fn balance_leaves_out_samples_with_little_load() {
    let skews = [(1, 0.2), (4, 2.0), (3, 2.0)].map(|(max, mean)| Skew { at: 0.0, max, mean });
    let balance = Balance::of(&skews);
    assert_eq!((balance.samples, balance.worst, balance.above_bound), (2, 2.0, 1));
}
