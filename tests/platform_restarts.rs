//! Tests that withdrawals survive restarts: a withdrawn API key and a removed upstream do not
//! return when processes are killed and restarted with their old disks, in every order.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::machines::{KEY, Machine, Machines, document, newest_number, put_document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request};

/// API key that every test of this file withdraws.
const WITHDRAWN_KEY: &str = "withdrawn-key";

/// Every order in which three control instances can restart.
const RESTART_ORDERS: [[usize; 3]; 6] =
    [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// Number of requests that probe for the withdrawn key and for the removed upstream in each check.
const PROBES_PER_CHECK: usize = 6;

fn document_with(number: u64, keys: &[&str]) -> Value {
    let mut document = document(number);
    document["tenants"] = json!([{ "name": "family", "api-keys": keys }]);
    document
}

fn call(instance: &Machine, key: &str, id: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {key}");
    let headers = [("Authorization", key.as_str()), ("Request-Id", id)];
    send_request(instance.callers(), "GET", "/albums/1", &headers, "")
}

/// Returns the number of attempts at the removed upstream since the last start of `entry`.
fn removed_upstream_attempts(entry: &Machine) -> usize {
    entry.events("sent").iter().filter(|event| event["upstream"] == "i-left").count()
}

struct Deployment {
    machines: Machines,
    remaining_upstream: Worker,
    removed_upstream: Worker,
    probe_count: usize,
}

impl Deployment {
    /// Starts a fleet, withdraws a key and removes an upstream, and waits until all instances know.
    fn new() -> Self {
        let mut deployment = Self::start();
        deployment.withdraw(None);
        deployment
    }

    /// Starts a fleet with two keys and two upstreams, and waits until all of them are in use.
    fn start() -> Self {
        let machines = Machines::start(3, 1);
        let remaining_upstream = Worker::start("i-stays", "shop", machines.seeds());
        let removed_upstream = Worker::start("i-left", "shop", machines.seeds());
        machines.put_document_until_acknowledged(&document_with(5, &[KEY, WITHDRAWN_KEY]));
        machines.wait_ready(5);
        let entry = &machines.entries[0];
        wait_for("upstream discovery", || (entry.events("upstream").len() >= 2).then_some(()));
        assert_eq!(call(entry, WITHDRAWN_KEY, "before").unwrap().status, 200);
        wait_for("a request at the upstream to be removed", || {
            let _ = call(entry, KEY, "early");
            (!removed_upstream.executed_requests().is_empty()).then_some(())
        });
        Self { machines, remaining_upstream, removed_upstream, probe_count: 0 }
    }

    /// Withdraws the key and removes the upstream while the control instance `down` is stopped.
    fn withdraw(&mut self, down: Option<usize>) {
        if let Some(down) = down {
            self.machines.controls[down].kill();
        }
        let is_running = |index: &usize| Some(*index) != down;
        let controls: Vec<usize> = (0..3).filter(is_running).collect();
        let text = document_with(6, &[KEY]).to_string();
        let address = self.machines.controls[controls[0]].control();
        wait_for("acknowledgement of the document", || {
            (put_document(address, &text).ok()?.status == 200).then_some(())
        });
        self.removed_upstream.crash();
        let answer = send_request(address, "DELETE", "/v1/workers/i-left", &[], "").unwrap();
        assert_eq!(answer.status, 200);
        let running = controls.iter().map(|index| &self.machines.controls[*index]);
        for instance in running.clone().chain(&self.machines.entries) {
            wait_for("removal of the upstream", || {
                let events = instance.events("upstream");
                let is_about_removed = |event: &&Value| event["upstream"] == "i-left";
                let last = events.iter().rfind(is_about_removed)?.clone();
                (last["standing"] == "gone").then_some(())
            });
        }
        for control in running {
            wait_for("document 6", || (newest_number(control.control())? == 6).then_some(()));
        }
    }

    /// Checks that the entry instance uses neither the withdrawn key nor the removed upstream.
    fn check_withdrawals(&mut self, step: &str) {
        let entry = &self.machines.entries[0];
        wait_for("status 200", || (call(entry, KEY, "again").ok()?.status == 200).then_some(()));
        let before =
            (self.removed_upstream.executed_requests().len(), removed_upstream_attempts(entry));
        for _ in 0..PROBES_PER_CHECK {
            self.probe_count += 1;
            let id = format!("probe-{}", self.probe_count);
            let answer = call(entry, WITHDRAWN_KEY, &id).unwrap();
            assert_eq!(answer.status, 401, "{step}: the withdrawn key");
            let answer = call(entry, KEY, &id).unwrap();
            assert_eq!(answer.status, 200, "{step}: the key that stays");
        }
        let after =
            (self.removed_upstream.executed_requests().len(), removed_upstream_attempts(entry));
        assert_eq!(after, before, "{step}: the upstream that left");
        assert!(!self.remaining_upstream.executed_requests().is_empty());
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
fn withdrawals_survive_restarts_one_by_one_in_every_order() {
    let mut deployment = Deployment::new();
    deployment.restart_entry();
    deployment.check_withdrawals("entry first");
    for order in RESTART_ORDERS {
        for control in order {
            deployment.restart_control(control);
            deployment.restart_entry();
            deployment.check_withdrawals(&format!("{order:?}, at {control}"));
        }
    }
}

#[test]
fn withdrawals_survive_a_restart_of_all_instances_with_the_entry_instance_first() {
    for order in RESTART_ORDERS {
        let mut deployment = Deployment::new();
        for control in &mut deployment.machines.controls {
            control.kill();
        }
        deployment.restart_entry();
        for control in order {
            deployment.restart_control(control);
            std::thread::sleep(Duration::from_millis(100));
        }
        deployment.check_withdrawals(&format!("{order:?}"));
    }
}

#[test]
fn a_control_instance_that_was_away_brings_nothing_back_with_its_older_disk() {
    for down in 0..3 {
        let mut deployment = Deployment::start();
        deployment.withdraw(Some(down));
        deployment.check_withdrawals("while it is away");
        deployment.restart_control(down);
        deployment.restart_entry();
        deployment.check_withdrawals(&format!("after {down} came back"));
        deployment.restart_control((down + 1) % 3);
        deployment.restart_entry();
        deployment.check_withdrawals(&format!("after {down} came back and another one restarted"));
    }
}
