//! From a failed request to its cause by logs alone, as docs/OPERATIONS.md shows it, and logs that
//! stay bounded and never stop an instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use support::machines::{KEY, Machine, Machines, document};
use support::worker::{Behaviour, Exchange, Worker, exchange};
use support::{PROGRAM, output, wait_for};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// Lines a second that an instance writes at most, by its default settings.
const CEILING: usize = 400;

fn call(fleet: &Machines, path: &str, id: &str) -> Exchange {
    let key = format!("Token {KEY}");
    let headers =
        [("Authorization", key.as_str()), ("Request-Id", id), ("Deadline-Remaining", "4000")];
    exchange(fleet.entries[0].callers(), "POST", path, &headers, "").unwrap()
}

fn fleet() -> (Machines, Vec<Worker>) {
    let machines = Machines::start(3, 1);
    let workers: Vec<Worker> = ["i-shop-1", "i-shop-2"]
        .map(|name| Worker::start(name, "shop", machines.seeds()))
        .into_iter()
        .collect();
    machines.declare(&document(7));
    machines.await_ready(7);
    wait_for("two upstreams", || (machines.entries[0].events("upstream").len() >= 2).then_some(()));
    (machines, workers)
}

/// What `explain` prints of a request, once it names `last`.
fn story(fleet: &Machines, id: &str, last: &str) -> String {
    wait_for("the story of a request", || {
        let logs = fleet.entries.iter().chain(&fleet.controls).map(|one| one.log());
        let explained = output(Command::new(PROGRAM).arg("explain").arg(id).args(logs));
        let text = String::from_utf8(explained.stdout).unwrap();
        text.lines().any(|line| line.starts_with('*') && line.contains(last)).then_some(text)
    })
}

/// The events that a section of the page names with their fields, in order.
fn steps(section: &str) -> Vec<Vec<String>> {
    let start = PAGE.find(&format!("## {section}")).unwrap();
    let rest = &PAGE[start + 3..];
    let section = &rest[..rest.find("\n## ").unwrap_or(rest.len())];
    let steps = section.lines().filter_map(|line| line.strip_prefix("- `"));
    steps
        .map(|line| {
            line.split('`').next().unwrap().split_whitespace().map(str::to_string).collect()
        })
        .collect()
}

/// Checks that the story has the steps that the page names, in their order.
fn check(section: &str, story: &str) {
    let steps = steps(section);
    assert!(steps.len() >= 2, "{section} names no steps");
    let mut lines = story.lines();
    for step in steps {
        let found = lines.any(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            step.iter().all(|word| words.contains(&word.as_str()))
        });
        assert!(found, "{section}: {step:?} is not in order in\n{story}");
    }
}

#[test]
fn a_request_refused_under_load_is_explained() {
    let (fleet, workers) = fleet();
    workers.iter().for_each(|worker| worker.behave(Behaviour::Slow));
    let refused = std::thread::scope(|scope| {
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
    assert!(!refused.is_empty());
    check("Refused under load", &story(&fleet, &refused[0], "refused"));
    let metrics = exchange(fleet.entries[0].metrics(), "GET", "/metrics", &[], "").unwrap().text();
    let line = "turmericrelay_forwarded_total{kind=\"never\",verdict=\"not-run\",reason=\"full\"} ";
    let count = metrics.lines().find_map(|one| one.strip_prefix(line)).unwrap();
    assert_eq!(count, refused.len().to_string());
}

#[test]
fn a_request_that_failed_with_its_upstream_is_explained() {
    let (fleet, workers) = fleet();
    workers.iter().for_each(|worker| worker.behave(Behaviour::LoseAnswer));
    assert_eq!(call(&fleet, "/bookings/1", "died").status, 502);
    check("Failed with its upstream", &story(&fleet, "died", "refused"));
}

#[test]
fn a_request_refused_around_a_change_is_explained() {
    let (fleet, _workers) = fleet();
    let mut changed = document(8);
    changed["tenants"][0]["api-keys"][0] = "another-key".into();
    fleet.declare(&changed);
    wait_for("the changed keys", || {
        (call(&fleet, "/bookings/1", "key-probe").status == 401).then_some(())
    });
    assert_eq!(call(&fleet, "/bookings/1", "key").status, 401);
    let story = story(&fleet, "key", "refused");
    check("Refused as an unknown key", &story);
    let logs = fleet.entries.iter().chain(&fleet.controls).map(|one| one.log_text());
    assert!(logs.into_iter().all(|log| !log.contains(KEY) && !log.contains("another-key")));
}

#[test]
fn unreadable_lines_and_unknown_requests_are_clear_errors() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log");
    let good = "{\"at\":5,\"line\":1,\"instance\":\"a\",\"level\":\"warn\",\"event\":\"refused\",\
                \"request\":\"r1\",\"reason\":\"full\"}";
    std::fs::write(&log, format!("  -3.1 front-1 {good}\nnonsense\n{{\"at\":1}}\n")).unwrap();
    let explain = |id: &str| output(Command::new(PROGRAM).args(["explain", id]).arg(&log));
    let found = explain("r1");
    assert_eq!(found.status.code(), Some(0));
    let errors = String::from_utf8(found.stderr).unwrap();
    assert!(errors.contains("log:2: it holds no JSON object"), "{errors}");
    assert!(errors.contains("log:3: field \"line\" is missing"), "{errors}");
    let arguments = ["explain", "--json", "r1"];
    let json = output(Command::new(PROGRAM).args(arguments).arg(&log));
    let lines: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(lines[0]["reason"], "full");
    let unknown = explain("r2");
    assert_eq!(unknown.status.code(), Some(3));
    assert!(String::from_utf8(unknown.stderr).unwrap().contains("names request \"r2\""));
    let missing = output(Command::new(PROGRAM).args(["explain", "r1", "nowhere.log"]));
    assert_eq!(missing.status.code(), Some(3));
}

#[test]
fn a_reader_that_stops_reading_never_stops_the_instance() {
    let (mut fleet, workers) = fleet();
    fleet.entries[0].kill();
    let seeds = fleet.seeds();
    fleet.entries[0].write_settings(&seeds, false);
    fleet.entries[0].start_unread();
    wait_for("an answer", || {
        let key = format!("Token {KEY}");
        let headers = [("Authorization", key.as_str()), ("Request-Id", "w")];
        let answer = exchange(fleet.entries[0].callers(), "GET", "/albums/1", &headers, "").ok()?;
        (answer.status == 200).then_some(())
    });
    // Far more lines than a pipe and the buffer hold together.
    for number in 0..3000 {
        assert_eq!(call(&fleet, "/bookings/1", &format!("full-{number}")).status, 200);
    }
    let last = call(&fleet, "/bookings/1", "last");
    assert_eq!(last.status, 200);
    assert!(workers.iter().flat_map(Worker::runs).any(|run| run.request == "last"));
    fleet.entries[0].process().signal("TERM");
    assert_eq!(fleet.entries[0].process().wait(), Some(0));
}

/// Requests of a flood.
const FLOOD: u64 = 2000;

fn written(entry: &Machine) -> u64 {
    entry.events("refused").len() as u64
}

/// How many lines on refusals were left out, as far as it was summed up.
fn suppressed(entry: &Machine) -> u64 {
    let sums = entry.events("suppressed");
    let refused = sums.iter().filter(|line| line["kind"] == "refused");
    refused.map(|line| line["count"].as_u64().unwrap()).sum()
}

#[test]
fn a_flood_stays_under_the_ceiling_and_is_summed_up() {
    let (fleet, _workers) = fleet();
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
    wait_for("the sum of all that was left out", || {
        // The sum of a second is written with the first line of the next; the flood may last for
        // several.
        std::thread::sleep(Duration::from_millis(200));
        call(&fleet, "/nowhere/1", "after");
        (written(entry) + suppressed(entry) >= FLOOD).then_some(())
    });
    let log = entry.log_text();
    let times = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let times: Vec<u64> = times.map(|line| line["at"].as_u64().unwrap()).collect();
    let most = times
        .iter()
        .map(|from| times.iter().filter(|at| (*from..*from + 1000).contains(*at)).count());
    // A window that slides over two seconds of the ceiling sees parts of both.
    assert!(most.max().unwrap() <= 2 * CEILING);
}
