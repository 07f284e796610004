//! Checks that `explain` finds the cause of a failed request from logs alone, as docs/OPERATIONS.md
//! describes, and that logging stays within its rate limit and never stops an instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use support::machines::{KEY, Machine, Machines, document};
use support::worker::{Behaviour, HttpResponse, Worker, send_request};
use support::{PROGRAM, output, wait_for};

const OPERATIONS_PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// Most log lines that an instance writes in a second with its default settings.
const MAX_LINES_PER_SECOND: usize = 400;

fn call(fleet: &Machines, path: &str, id: &str) -> HttpResponse {
    let key = format!("Token {KEY}");
    let headers =
        [("Authorization", key.as_str()), ("Request-Id", id), ("Deadline-Remaining", "4000")];
    send_request(fleet.entries[0].callers(), "POST", path, &headers, "").unwrap()
}

fn start_fleet() -> (Machines, Vec<Worker>) {
    let machines = Machines::start(3, 1);
    let workers: Vec<Worker> = ["i-shop-1", "i-shop-2"]
        .map(|name| Worker::start(name, "shop", machines.seeds()))
        .into_iter()
        .collect();
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("two upstreams", || (machines.entries[0].events("upstream").len() >= 2).then_some(()));
    (machines, workers)
}

/// Returns the output of `explain` for a request, once a line that names the request contains
/// `last`.
fn explanation(fleet: &Machines, id: &str, last: &str) -> String {
    wait_for("the explanation of a request", || {
        let logs = fleet.entries.iter().chain(&fleet.controls).map(|machine| machine.log());
        let explained = output(Command::new(PROGRAM).arg("explain").arg(id).args(logs));
        let text = String::from_utf8(explained.stdout).unwrap();
        text.lines().any(|line| line.starts_with('*') && line.contains(last)).then_some(text)
    })
}

/// Returns the events that a section of the page lists, with their fields, in order.
fn documented_steps(section: &str) -> Vec<Vec<String>> {
    let start = OPERATIONS_PAGE.find(&format!("## {section}")).unwrap();
    let rest = &OPERATIONS_PAGE[start + 3..];
    let section = &rest[..rest.find("\n## ").unwrap_or(rest.len())];
    let documented_steps = section.lines().filter_map(|line| line.strip_prefix("- `"));
    documented_steps
        .map(|line| {
            line.split('`').next().unwrap().split_whitespace().map(str::to_string).collect()
        })
        .collect()
}

/// Checks that the explanation has the steps that the page lists, in their order.
fn check_documented_steps(section: &str, explanation: &str) {
    let documented_steps = documented_steps(section);
    assert!(documented_steps.len() >= 2, "{section} lists fewer than two steps");
    let mut lines = explanation.lines();
    for step in documented_steps {
        let found = lines.any(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            step.iter().all(|word| words.contains(&word.as_str()))
        });
        assert!(found, "{section}: {step:?} is missing or out of order in\n{explanation}");
    }
}

#[test]
fn a_request_refused_under_load_is_explained() {
    let (fleet, workers) = start_fleet();
    workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::Slow));
    let refused_ids = std::thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> = (0..60)
            .map(|number| {
                scope.spawn(move || {
                    let id = format!("load-{number}");
                    (call(fleet, "/bookings/1", &id), id)
                })
            })
            .collect();
        let answers = callers.into_iter().map(|caller| caller.join().unwrap());
        answers.filter(|(answer, _)| answer.status == 503).map(|(_, id)| id).collect::<Vec<_>>()
    });
    assert!(!refused_ids.is_empty());
    check_documented_steps("Refused under load", &explanation(&fleet, &refused_ids[0], "refused"));
    let metrics =
        send_request(fleet.entries[0].metrics(), "GET", "/metrics", &[], "").unwrap().text();
    let line = "turmericrelay_forwarded_total{kind=\"never\",verdict=\"not-run\",reason=\"full\"} ";
    let count = metrics.lines().find_map(|text| text.strip_prefix(line)).unwrap();
    assert_eq!(count, refused_ids.len().to_string());
}

#[test]
fn a_request_that_failed_with_its_upstream_is_explained() {
    let (fleet, workers) = start_fleet();
    workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::LoseAnswer));
    assert_eq!(call(&fleet, "/bookings/1", "died").status, 502);
    check_documented_steps("Failed with its upstream", &explanation(&fleet, "died", "refused"));
}

#[test]
fn a_request_refused_after_a_key_change_is_explained() {
    let (fleet, _workers) = start_fleet();
    let mut changed_document = document(8);
    changed_document["tenants"][0]["api-keys"][0] = "another-key".into();
    fleet.put_document_until_acknowledged(&changed_document);
    wait_for("the changed key", || {
        (call(&fleet, "/bookings/1", "key-probe").status == 401).then_some(())
    });
    assert_eq!(call(&fleet, "/bookings/1", "key").status, 401);
    let explanation = explanation(&fleet, "key", "refused");
    check_documented_steps("Refused as an unknown key", &explanation);
    let logs = fleet.entries.iter().chain(&fleet.controls).map(|machine| machine.log_text());
    assert!(logs.into_iter().all(|log| !log.contains(KEY) && !log.contains("another-key")));
}

#[test]
fn unreadable_lines_and_unknown_requests_get_specific_errors() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log");
    let valid_line = "{\"at\":5,\"line\":1,\"instance\":\"a\",\"level\":\"warn\",\
                      \"event\":\"refused\",\"request\":\"r1\",\"reason\":\"full\"}";
    std::fs::write(&log, format!("  -3.1 front-1 {valid_line}\nnonsense\n{{\"at\":1}}\n")).unwrap();
    let explain = |id: &str| output(Command::new(PROGRAM).args(["explain", id]).arg(&log));
    let found = explain("r1");
    assert_eq!(found.status.code(), Some(0));
    let errors = String::from_utf8(found.stderr).unwrap();
    assert!(errors.contains("log:2: the line contains no JSON object"), "{errors}");
    assert!(errors.contains("log:3: field \"line\" is missing"), "{errors}");
    let arguments = ["explain", "--json", "r1"];
    let json = output(Command::new(PROGRAM).args(arguments).arg(&log));
    let lines: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(lines[0]["reason"], "full");
    let unknown = explain("r2");
    assert_eq!(unknown.status.code(), Some(3));
    assert!(String::from_utf8(unknown.stderr).unwrap().contains("belongs to request \"r2\""));
    let missing = output(Command::new(PROGRAM).args(["explain", "r1", "nowhere.log"]));
    assert_eq!(missing.status.code(), Some(3));
}

#[test]
fn an_unread_log_pipe_never_stops_the_instance() {
    let (mut fleet, workers) = start_fleet();
    fleet.entries[0].kill();
    let seeds = fleet.seeds();
    fleet.entries[0].write_settings(&seeds, false);
    fleet.entries[0].start_with_unread_output();
    wait_for("an answer", || {
        let key = format!("Token {KEY}");
        let headers = [("Authorization", key.as_str()), ("Request-Id", "w")];
        let answer =
            send_request(fleet.entries[0].callers(), "GET", "/albums/1", &headers, "").ok()?;
        (answer.status == 200).then_some(())
    });
    // These requests log far more lines than a pipe and the log buffer hold together.
    for number in 0..3000 {
        assert_eq!(call(&fleet, "/bookings/1", &format!("full-{number}")).status, 200);
    }
    let last = call(&fleet, "/bookings/1", "last");
    assert_eq!(last.status, 200);
    assert!(workers.iter().flat_map(Worker::executed_requests).any(|run| run.request == "last"));
    fleet.entries[0].process().signal("TERM");
    assert_eq!(fleet.entries[0].process().wait(), Some(0));
}

/// Number of refused requests in the flood.
const FLOOD_REQUESTS: u64 = 2000;

/// Returns the number of refusals that are logged line by line.
fn written_count(entry: &Machine) -> u64 {
    entry.events("refused").len() as u64
}

/// Returns the number of suppressed lines about refusals that summaries report so far.
fn suppressed_count(entry: &Machine) -> u64 {
    let summaries = entry.events("suppressed");
    let refusals = summaries.iter().filter(|line| line["kind"] == "refused");
    refusals.map(|line| line["count"].as_u64().unwrap()).sum()
}

#[test]
fn a_flood_of_refusals_stays_within_the_log_rate_limit_and_is_summarised() {
    let (fleet, _workers) = start_fleet();
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let fleet = &fleet;
            scope.spawn(move || {
                for number in 0..250 {
                    call(fleet, "/nowhere/1", &format!("flood-{caller}-{number}"));
                }
            });
        }
    });
    let entry = &fleet.entries[0];
    wait_for("the summaries of all suppressed lines", || {
        // The summary of a second is written with the first line of the next second, and the flood
        // may last for several seconds.
        std::thread::sleep(Duration::from_millis(200));
        call(&fleet, "/nowhere/1", "after");
        (written_count(entry) + suppressed_count(entry) >= FLOOD_REQUESTS).then_some(())
    });
    let log = entry.log_text();
    let times = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let times: Vec<u64> = times.map(|line| line["at"].as_u64().unwrap()).collect();
    let counts_per_window = times
        .iter()
        .map(|from| times.iter().filter(|at| (*from..*from + 1000).contains(*at)).count());
    // A sliding window of one second can overlap two seconds of the rate limit.
    assert!(counts_per_window.max().unwrap() <= 2 * MAX_LINES_PER_SECOND);
}
