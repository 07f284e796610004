//! What was withdrawn stays withdrawn while processes are killed and started with their old disks,
//! in every order: an API key, and an upstream that left.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::machines::{KEY, Machine, Machines, document, newest_number, put_document};
use support::wait_for;
use support::worker::{Exchange, Worker, exchange};

/// The key that is taken away.
const WITHDRAWN: &str = "withdrawn-key";

/// Every order of three control instances.
const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// Requests that look for a withdrawn upstream or key after each start.
const PROBES: usize = 6;

fn document_with(number: u64, keys: &[&str]) -> Value {
    let mut document = document(number);
    document["tenants"] = json!([{ "name": "family", "api-keys": keys }]);
    document
}

fn call(machine: &Machine, key: &str, id: &str) -> std::io::Result<Exchange> {
    let key = format!("Token {key}");
    let headers = [("Authorization", key.as_str()), ("Request-Id", id)];
    exchange(machine.callers(), "GET", "/albums/1", &headers, "")
}

/// Attempts that `entry` made at the upstream that leaves, in its present run.
fn tried(entry: &Machine) -> usize {
    entry.events("sent").iter().filter(|one| one["upstream"] == "i-left").count()
}

struct Stage {
    machines: Machines,
    stayed: Worker,
    left: Worker,
    probes: usize,
}

impl Stage {
    /// A fleet from which a key was withdrawn and an upstream has left, as all processes know.
    fn new() -> Self {
        let mut stage = Self::start();
        stage.withdraw(None);
        stage
    }

    /// A fleet with two keys and two upstreams, all of them in use.
    fn start() -> Self {
        let machines = Machines::start(3, 1);
        let stayed = Worker::start("i-stays", "shop", machines.seeds());
        let left = Worker::start("i-left", "shop", machines.seeds());
        machines.declare(&document_with(5, &[KEY, WITHDRAWN]));
        machines.await_ready(5);
        let entry = &machines.entries[0];
        wait_for("both upstreams", || (entry.events("upstream").len() >= 2).then_some(()));
        assert_eq!(call(entry, WITHDRAWN, "before").unwrap().status, 200);
        wait_for("work for the upstream that will leave", || {
            let _ = call(entry, KEY, "early");
            (!left.runs().is_empty()).then_some(())
        });
        Self { machines, stayed, left, probes: 0 }
    }

    /// Withdraws the key and has the upstream leave, while the control instance `away` is down.
    fn withdraw(&mut self, away: Option<usize>) {
        if let Some(away) = away {
            self.machines.controls[away].kill();
        }
        let here = |index: &usize| Some(*index) != away;
        let controls: Vec<usize> = (0..3).filter(here).collect();
        let offered = document_with(6, &[KEY]).to_string();
        let address = self.machines.controls[controls[0]].control();
        wait_for("an acknowledgement", || {
            (put_document(address, &offered).ok()?.status == 200).then_some(())
        });
        self.left.crash();
        let answer = exchange(address, "DELETE", "/v1/workers/i-left", &[], "").unwrap();
        assert_eq!(answer.status, 200);
        let known = controls.iter().map(|index| &self.machines.controls[*index]);
        for machine in known.clone().chain(&self.machines.entries) {
            wait_for("the leave", || {
                let changes = machine.events("upstream");
                let of_it = |one: &&Value| one["upstream"] == "i-left";
                let last = changes.iter().rfind(of_it)?.clone();
                (last["standing"] == "gone").then_some(())
            });
        }
        for control in known {
            wait_for("the document", || (newest_number(control.control())? == 6).then_some(()));
        }
    }

    /// Neither the key nor the upstream is in use at the entry instance.
    fn check(&mut self, what: &str) {
        let entry = &self.machines.entries[0];
        wait_for("an answer", || (call(entry, KEY, "again").ok()?.status == 200).then_some(()));
        let before = (self.left.runs().len(), tried(entry));
        for _ in 0..PROBES {
            self.probes += 1;
            let id = format!("probe-{}", self.probes);
            let answer = call(entry, WITHDRAWN, &id).unwrap();
            assert_eq!(answer.status, 401, "{what}: the withdrawn key");
            let answer = call(entry, KEY, &id).unwrap();
            assert_eq!(answer.status, 200, "{what}: the key that stays");
        }
        let after = (self.left.runs().len(), tried(entry));
        assert_eq!(after, before, "{what}: the upstream that left");
        assert!(!self.stayed.runs().is_empty());
    }

    fn restart_entry(&mut self) {
        let seeds = self.machines.seeds();
        let entry = &mut self.machines.entries[0];
        entry.kill();
        std::fs::remove_file(entry.log()).unwrap();
        entry.write_settings(&seeds, false);
        entry.start();
    }

    fn restart_control(&mut self, index: usize) {
        let seeds = self.machines.seeds();
        let control = &mut self.machines.controls[index];
        control.kill();
        control.write_settings(&seeds, false);
        control.start();
    }
}

#[test]
fn what_was_withdrawn_stays_so_as_processes_restart_one_by_one_in_every_order() {
    let mut stage = Stage::new();
    stage.restart_entry();
    stage.check("entry first");
    for order in ORDERS {
        for control in order {
            stage.restart_control(control);
            stage.restart_entry();
            stage.check(&format!("{order:?}, at {control}"));
        }
    }
}

#[test]
fn what_was_withdrawn_stays_so_when_all_restart_and_the_entry_instance_comes_first() {
    for order in ORDERS {
        let mut stage = Stage::new();
        for control in &mut stage.machines.controls {
            control.kill();
        }
        stage.restart_entry();
        for control in order {
            stage.restart_control(control);
            std::thread::sleep(Duration::from_millis(100));
        }
        stage.check(&format!("{order:?}"));
    }
}

#[test]
fn a_control_instance_that_was_away_brings_nothing_back_with_its_older_disk() {
    for away in 0..3 {
        let mut stage = Stage::start();
        stage.withdraw(Some(away));
        stage.check("while it is away");
        stage.restart_control(away);
        stage.restart_entry();
        stage.check(&format!("after {away} came back"));
        stage.restart_control((away + 1) % 3);
        stage.restart_entry();
        stage.check(&format!("after {away} came back and another one restarted"));
    }
}
