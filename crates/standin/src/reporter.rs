//! Sends load reports and cache events to instances, with a configurable delay and loss.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use names::{Incarnation, Upstream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use upstream::Load;
use upstream::cache::{Block, Change, Events, Snapshot};
use ureq::Agent;

use crate::announcer::instance_agent;
use crate::{Behaviour, Options};

/// Interval at which the queue is checked for reports that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Report from an engine.
pub(crate) enum Report {
    Load(Load),
    Changes(Vec<Change>),
    /// The engine has restarted with an empty cache.
    Restarted(Incarnation),
}

/// Response of an instance to a report.
#[derive(Deserialize)]
struct Response {
    outcome: String,
}

/// Report that waits for its delay to pass.
struct DelayedReport {
    due_at: Instant,
    report: Report,
}

/// Sends the reports of an engine to all its instances after the configured delay.
pub(crate) struct Reporter {
    upstream: Upstream,
    incarnation: Incarnation,
    instances: Vec<SocketAddr>,
    token: Option<String>,
    behaviour: Behaviour,
    agent: Agent,
    rng: StdRng,
    delayed_reports: VecDeque<DelayedReport>,
    next_sequence: u64,
    blocks: Vec<Block>,
}

impl Reporter {
    /// Creates a reporter with an empty queue.
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            upstream: options.name.clone(),
            incarnation: options.incarnation,
            instances: options.instances.clone(),
            token: options.token.clone(),
            rng: StdRng::seed_from_u64(options.behaviour.seed),
            behaviour: options.behaviour.clone(),
            agent: instance_agent(),
            delayed_reports: VecDeque::new(),
            next_sequence: 0,
            blocks: Vec::new(),
        }
    }

    /// Sends reports until the engine drops its end of the channel.
    pub(crate) fn run(mut self, reports: Receiver<Report>) {
        loop {
            match reports.recv_timeout(POLL_INTERVAL) {
                Ok(report) => {
                    let due_at = Instant::now() + self.behaviour.report_lag.as_duration();
                    self.delayed_reports.push_back(DelayedReport { due_at, report });
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.send_due();
        }
    }

    /// Sends all reports that are due, in the order in which the engine made them.
    fn send_due(&mut self) {
        let now = Instant::now();
        while self.delayed_reports.front().is_some_and(|delayed| delayed.due_at <= now) {
            match self.delayed_reports.pop_front().map(|delayed| delayed.report) {
                Some(Report::Load(load)) => self.send_load(&load),
                Some(Report::Changes(changes)) => self.send_changes(changes),
                Some(Report::Restarted(incarnation)) => {
                    self.incarnation = incarnation;
                    self.next_sequence = 0;
                    self.blocks.clear();
                }
                None => return,
            }
        }
    }

    fn send_load(&self, load: &Load) {
        for instance in &self.instances {
            self.post(*instance, "/load", load);
        }
    }

    /// Sends cache events to each instance, except for those that are lost at random.
    ///
    /// An instance that asks for a resync gets a snapshot.
    fn send_changes(&mut self, changes: Vec<Change>) {
        let first = self.next_sequence;
        self.next_sequence += changes.len() as u64;
        changes.iter().for_each(|change| self.apply(*change));
        let (upstream, incarnation) = (self.upstream.clone(), self.incarnation);
        let events = Events { upstream, incarnation, first, changes };
        for instance in self.instances.clone() {
            if self.rng.random_range(0..100) < self.behaviour.cache_loss_percent {
                continue;
            }
            let response = self.post(instance, "/cache-events", &events);
            if response.is_some_and(|response| response.outcome == "resync") {
                self.post(instance, "/cache-snapshot", &self.snapshot());
            }
        }
    }

    /// Applies a change to the sorted list of cached blocks, from which snapshots are made.
    fn apply(&mut self, change: Change) {
        match change {
            Change::Stored(block) => {
                if let Err(index) = self.blocks.binary_search(&block) {
                    self.blocks.insert(index, block);
                }
            }
            Change::Evicted(block) => {
                if let Ok(index) = self.blocks.binary_search(&block) {
                    self.blocks.remove(index);
                }
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            next: self.next_sequence,
            blocks: self.blocks.clone(),
        }
    }

    fn post<T>(&self, instance: SocketAddr, path: &str, value: &T) -> Option<Response>
    where
        T: Serialize,
    {
        let url = format!("http://{instance}{path}");
        let mut request = self.agent.post(&url).header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let body = serde_json::to_string(value).unwrap_or_default();
        match request.send(body) {
            Ok(mut response) => serde_json::from_reader(response.body_mut().as_reader()).ok(),
            Err(error) => {
                log::debug!("cannot post a report to {url}: {error}; dropping the report");
                None
            }
        }
    }
}
