//! Tests that the runbook names exactly the metrics that a running instance exports.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::Value;
use support::{API_KEY, Fleet, Plan, chat, get, post_as, post_booking, wait_for};

const RUNBOOK: &str = include_str!("../docs/RUNBOOK.md");
const METRIC_PREFIX: &str = "turmericrelay_";

fn is_name_character(character: char) -> bool {
    character.is_ascii_lowercase() || character == '_'
}

/// Returns the metric names on a page, each with the labels that follow it in braces.
fn documented_metrics(page: &str) -> Vec<(String, Vec<String>)> {
    let starts = page.match_indices(METRIC_PREFIX).map(|(start, _)| &page[start..]);
    let mut metrics: Vec<(String, Vec<String>)> = starts
        .map(|text| {
            let end = text.find(|character| !is_name_character(character)).unwrap();
            let (name, rest) = text.split_at(end);
            let labels = rest.strip_prefix('{').and_then(|rest| rest.split('}').next());
            let labels =
                labels.map_or(Vec::new(), |labels| labels.split(',').map(str::to_string).collect());
            (name.to_string(), labels)
        })
        .collect();
    metrics.sort();
    metrics.dedup();
    metrics
}

/// Returns the name and the labels of each exported sample.
fn samples(metrics: &str) -> Vec<(&str, &str)> {
    let lines = metrics.lines().filter(|line| line.starts_with(METRIC_PREFIX));
    lines.map(|line| line.rsplit_once(' ').unwrap().0).map(split_labels).collect()
}

fn split_labels(sample: &str) -> (&str, &str) {
    sample.split_once('{').unwrap_or((sample, ""))
}

/// Returns the names of the exported metric families as the runbook writes them.
fn families(metrics: &str) -> Vec<String> {
    let types = metrics.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let family = |line: &str| {
        let (name, kind) = line.split_once(' ').unwrap();
        if kind == "counter" { format!("{name}_total") } else { name.to_string() }
    };
    types.map(family).collect()
}

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_voters(1));
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    fleet
}

fn read_metrics(fleet: &Fleet) -> String {
    get(fleet.instances[0].addresses.operators, "/metrics").unwrap()
}

#[test]
fn every_metric_of_the_runbook_is_exported_before_the_first_request() {
    let fleet = start_fleet();
    let operators = fleet.instances[0].addresses.operators;
    let metrics = wait_for("export of the metrics of the engine", || {
        let metrics = get(operators, "/metrics").ok()?;
        metrics.contains("upstream_bound{upstream=\"engine-1\"}").then_some(metrics)
    });
    let (samples, families) = (samples(&metrics), families(&metrics));
    for (name, labels) in documented_metrics(RUNBOOK) {
        let is_family = families.contains(&name);
        let has_labels =
            |sample_labels: &str| labels.iter().all(|label| sample_labels.contains(label.as_str()));
        let is_sample = samples
            .iter()
            .any(|(sample, sample_labels)| *sample == name && has_labels(sample_labels));
        assert!(is_sample || (is_family && labels.is_empty()), "{name} {labels:?}\n{metrics}");
    }
}

#[test]
fn every_exported_metric_is_in_the_runbook() {
    let metrics = read_metrics(&start_fleet());
    let documented = documented_metrics(RUNBOOK);
    for family in families(&metrics) {
        assert!(
            documented.iter().any(|(name, _)| *name == family),
            "{family} is not in the runbook"
        );
    }
}

/// Returns the value of the sample whose line starts with `start`; `None` without such a sample.
fn sample_value(metrics: &str, start: &str) -> Option<f64> {
    let line = metrics.lines().find_map(|line| line.strip_prefix(start))?;
    Some(line.trim().parse().unwrap())
}

#[test]
fn a_chat_and_a_resent_booking_are_counted() {
    let mut fleet = start_fleet();
    fleet.add_booking_service("shop-1");
    fleet.wait_for_quorum();
    let callers = fleet.instances[0].addresses.callers;
    let body: Value = chat(&"a long enough prompt ".repeat(40), 8, true);
    for _ in 0..2 {
        let answer = post_as(API_KEY, callers, "/v1/chat/completions", &[], &body).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let before = read_metrics(&fleet);
    let ledger_count = |metrics: &str, outcome: &str| {
        sample_value(metrics, &format!("turmericrelay_ledger_total{{outcome=\"{outcome}\"}}"))
            .unwrap()
    };
    assert_eq!(post_booking(callers, "night-1", "Hassan").unwrap().status, 200);
    assert_eq!(post_booking(callers, "night-1", "Hassan").unwrap().status, 200);
    let after = read_metrics(&fleet);
    for outcome in ["claimed", "recorded", "replayed"] {
        assert_eq!(
            ledger_count(&after, outcome),
            ledger_count(&before, outcome) + 1.0,
            "{outcome}"
        );
    }
    let requests =
        "turmericrelay_requests_total{rank=\"normal\",kind=\"caption\",verdict=\"answered\"}";
    assert_eq!(sample_value(&after, requests), Some(2.0));
    let first_token = "turmericrelay_first_token_seconds_count{rank=\"normal\"}";
    assert_eq!(sample_value(&after, first_token), Some(2.0));
    for sample in [
        "turmericrelay_between_tokens_seconds_count{rank=\"normal\"}",
        "turmericrelay_upstream_bound{upstream=\"engine-1\"}",
        "turmericrelay_upstream_cached_blocks_total{upstream=\"engine-1\"}",
    ] {
        wait_for(sample, || (sample_value(&read_metrics(&fleet), sample)? > 0.0).then_some(()));
    }
}
