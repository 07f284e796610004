//! The runbook names what a running instance exports, and nothing else.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::Value;
use support::{API_KEY, Fleet, Plan, book, chat, get, post_as, wait_for};

const PAGE: &str = include_str!("../docs/RUNBOOK.md");
const PREFIX: &str = "turmericrelay_";

fn is_name(character: char) -> bool {
    character.is_ascii_lowercase() || character == '_'
}

/// The metric names on the page, each with the labels in braces that follow it.
fn named(page: &str) -> Vec<(String, Vec<String>)> {
    let starts = page.match_indices(PREFIX).map(|(start, _)| &page[start..]);
    let mut found: Vec<(String, Vec<String>)> = starts
        .map(|text| {
            let end = text.find(|character| !is_name(character)).unwrap();
            let (name, rest) = text.split_at(end);
            let labels = rest.strip_prefix('{').and_then(|rest| rest.split('}').next());
            let labels =
                labels.map_or(Vec::new(), |labels| labels.split(',').map(str::to_string).collect());
            (name.to_string(), labels)
        })
        .collect();
    found.sort();
    found.dedup();
    found
}

/// The exported samples: name and labels.
fn samples(metrics: &str) -> Vec<(&str, &str)> {
    let lines = metrics.lines().filter(|line| line.starts_with(PREFIX));
    lines.map(|line| line.rsplit_once(' ').unwrap().0).map(split_labels).collect()
}

fn split_labels(sample: &str) -> (&str, &str) {
    sample.split_once('{').unwrap_or((sample, ""))
}

/// The exported families with the name that the page gives them.
fn families(metrics: &str) -> Vec<String> {
    let types = metrics.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let family = |line: &str| {
        let (name, kind) = line.split_once(' ').unwrap();
        if kind == "counter" { format!("{name}_total") } else { name.to_string() }
    };
    types.map(family).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_voters(1));
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    fleet
}

fn metrics(fleet: &Fleet) -> String {
    get(fleet.instances[0].addresses.operators, "/metrics").unwrap()
}

#[test]
fn every_metric_of_the_runbook_is_exported_before_the_first_request() {
    let fleet = fleet();
    let operators = fleet.instances[0].addresses.operators;
    let metrics = wait_for("metrics of the engine", || {
        let metrics = get(operators, "/metrics").ok()?;
        metrics.contains("upstream_bound{upstream=\"engine-1\"}").then_some(metrics)
    });
    let (samples, families) = (samples(&metrics), families(&metrics));
    for (name, labels) in named(PAGE) {
        let is_family = families.contains(&name);
        let has_labels = |of: &str| labels.iter().all(|label| of.contains(label.as_str()));
        let is_sample = samples.iter().any(|(sample, of)| *sample == name && has_labels(of));
        assert!(is_sample || (is_family && labels.is_empty()), "{name} {labels:?}\n{metrics}");
    }
}

#[test]
fn every_exported_metric_is_on_the_page() {
    let metrics = metrics(&fleet());
    let named = named(PAGE);
    for family in families(&metrics) {
        assert!(named.iter().any(|(name, _)| *name == family), "{family} is not in the runbook");
    }
}

/// The value of the sample that starts with `start`; none while there is no such sample.
fn value(metrics: &str, start: &str) -> Option<f64> {
    let line = metrics.lines().find_map(|line| line.strip_prefix(start))?;
    Some(line.trim().parse().unwrap())
}

#[test]
fn a_chat_and_a_resent_booking_are_counted() {
    let mut fleet = fleet();
    fleet.add_shop("shop-1");
    fleet.wait_quorum();
    let callers = fleet.instances[0].addresses.callers;
    let body: Value = chat(&"a long enough prompt ".repeat(40), 8, true);
    for _ in 0..2 {
        let answer = post_as(API_KEY, callers, "/v1/chat/completions", &[], &body).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let before = metrics(&fleet);
    let ledger = |metrics: &str, outcome: &str| {
        value(metrics, &format!("turmericrelay_ledger_total{{outcome=\"{outcome}\"}}")).unwrap()
    };
    assert_eq!(book(callers, "night-1", "Hassan").unwrap().status, 200);
    assert_eq!(book(callers, "night-1", "Hassan").unwrap().status, 200);
    let after = metrics(&fleet);
    for outcome in ["claimed", "recorded", "replayed"] {
        assert_eq!(ledger(&after, outcome), ledger(&before, outcome) + 1.0, "{outcome}");
    }
    let requests =
        "turmericrelay_requests_total{rank=\"normal\",kind=\"caption\",verdict=\"answered\"}";
    assert_eq!(value(&after, requests), Some(2.0));
    let first = "turmericrelay_first_token_seconds_count{rank=\"normal\"}";
    assert_eq!(value(&after, first), Some(2.0));
    for sample in [
        "turmericrelay_between_tokens_seconds_count{rank=\"normal\"}",
        "turmericrelay_upstream_bound{upstream=\"engine-1\"}",
        "turmericrelay_upstream_cached_blocks_total{upstream=\"engine-1\"}",
    ] {
        wait_for(sample, || (value(&metrics(&fleet), sample)? > 0.0).then_some(()));
    }
}
