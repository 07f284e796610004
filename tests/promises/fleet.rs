//! The fleet under test: six entry instances, three control instances, and upstreams with few slots.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;

use crate::ledger::Ledger;
use crate::support::machines::{Machine, Machines, document};
use crate::upstream::{Place, Upstream};

const CONTROL_COUNT: u8 = 3;
const ENTRY_COUNT: u8 = 6;

/// Services and their number of upstreams.
const SERVICES: [(&str, usize); 2] = [("shop", 6), ("engines", 4)];

/// Number of the document in force.
const DOCUMENT: u64 = 5;

/// Connections that an upstream accepts from all instances together.
pub const CONNECTION_LIMIT: usize = 30;

const BODY_LIMIT: usize = 1 << 20;

/// Time within which a request must arrive. Some callers take longer.
const HEADER_TIMEOUT_MILLIS: u64 = 400;

pub struct TestFleet {
    pub machines: Machines,
    pub upstreams: Vec<Upstream>,
    ledger: Arc<Ledger>,
    seed: u64,
    /// Number of upstreams started so far.
    started_count: u64,
}

fn test_document() -> Value {
    let mut value = document(DOCUMENT);
    value["limits"]["body-bytes"] = BODY_LIMIT.into();
    value["limits"]["header-timeout-ms"] = HEADER_TIMEOUT_MILLIS.into();
    for service in value["services"].as_array_mut().unwrap() {
        service["connection-limit"] = CONNECTION_LIMIT.into();
    }
    value
}

impl TestFleet {
    /// Starts the fleet and waits until all entry instances are ready.
    pub fn start(seed: u64, ledger: &Arc<Ledger>) -> Self {
        let machines = Machines::start(CONTROL_COUNT, ENTRY_COUNT);
        let (ledger, upstreams) = (ledger.clone(), Vec::new());
        let mut fleet = Self { machines, upstreams, ledger, seed, started_count: 0 };
        for (service, count) in SERVICES {
            for _ in 0..count {
                let upstream = fleet.start_upstream(service, Place::Free);
                fleet.upstreams.push(upstream);
            }
        }
        fleet.machines.put_document_until_acknowledged(&test_document());
        fleet.machines.wait_ready(DOCUMENT);
        fleet
    }

    fn start_upstream(&mut self, service: &'static str, place: Place) -> Upstream {
        self.started_count += 1;
        let name = format!("i-{service}-{}", self.started_count);
        let seed = self.seed * 1000 + self.started_count;
        Upstream::start(name, service, self.machines.seeds(), place, seed, &self.ledger)
    }

    /// Ends an upstream that may still run, and starts another one in its place.
    pub fn replace_upstream(&mut self, index: usize, keeps_address: bool) {
        let (service, address) = (self.upstreams[index].service, self.upstreams[index].address);
        self.upstreams[index].end();
        let place = if keeps_address { Place::At(address) } else { Place::Free };
        self.upstreams[index] = self.start_upstream(service, place);
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    pub fn restart_entry(&mut self, index: usize) {
        let seeds = self.machines.seeds();
        let entry = &mut self.machines.entries[index];
        entry.kill();
        entry.write_settings(&seeds, false);
        entry.start();
    }

    pub fn restart_control(&mut self, index: usize) {
        let seeds = self.machines.seeds();
        let control = &mut self.machines.controls[index];
        control.write_settings(&seeds, false);
        control.start();
    }

    /// Returns the log lines of all entry instances.
    pub fn entry_logs(&self) -> Vec<String> {
        let texts = self.machines.entries.iter().map(Machine::log_text);
        texts.flat_map(|text| text.lines().map(str::to_string).collect::<Vec<_>>()).collect()
    }

    /// Copies the logs of all instances to a folder that remains after the test; returns the folder.
    pub fn copy_logs(&self, seed: u64) -> PathBuf {
        let name = format!("promises-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        for machine in self.machines.controls.iter().chain(&self.machines.entries) {
            let _ = std::fs::copy(machine.log(), folder.join(machine.ip.to_string()));
        }
        folder
    }
}
