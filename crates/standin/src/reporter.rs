//! Reports of load and cache events, late and with gaps.

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

use crate::announcer::agent;
use crate::{Behaviour, Options};

/// Longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// What an engine reports.
pub(crate) enum Report {
    Load(Load),
    Changes(Vec<Change>),
}

#[derive(Deserialize)]
struct Answer {
    outcome: String,
}

struct Late {
    due: Instant,
    report: Report,
}

/// Sends an engine's reports to all its instances once their lag has passed.
pub(crate) struct Reporter {
    upstream: Upstream,
    incarnation: Incarnation,
    instances: Vec<SocketAddr>,
    token: Option<String>,
    behaviour: Behaviour,
    agent: Agent,
    generator: StdRng,
    late: VecDeque<Late>,
    next: u64,
    blocks: Vec<Block>,
}

impl Reporter {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            upstream: options.name.clone(),
            incarnation: options.incarnation,
            instances: options.instances.clone(),
            token: options.token.clone(),
            generator: StdRng::seed_from_u64(options.behaviour.seed),
            behaviour: options.behaviour.clone(),
            agent: agent(),
            late: VecDeque::new(),
            next: 0,
            blocks: Vec::new(),
        }
    }

    /// Sends reports until the engine is gone.
    pub(crate) fn run(mut self, reports: Receiver<Report>) {
        loop {
            match reports.recv_timeout(TICK) {
                Ok(report) => {
                    let due = Instant::now() + self.behaviour.report_lag.as_duration();
                    self.late.push_back(Late { due, report });
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.send_due();
        }
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        while self.late.front().is_some_and(|late| late.due <= now) {
            match self.late.pop_front().map(|late| late.report) {
                Some(Report::Load(load)) => self.send_load(&load),
                Some(Report::Changes(changes)) => self.send_changes(changes),
                None => return,
            }
        }
    }

    fn send_load(&self, load: &Load) {
        for instance in &self.instances {
            self.post(*instance, "/load", load);
        }
    }

    fn send_changes(&mut self, changes: Vec<Change>) {
        let first = self.next;
        self.next += changes.len() as u64;
        changes.iter().for_each(|change| self.apply(*change));
        let (upstream, incarnation) = (self.upstream.clone(), self.incarnation);
        let events = Events { upstream, incarnation, first, changes };
        for instance in self.instances.clone() {
            if self.generator.random_range(0..100) < self.behaviour.cache_loss_percent {
                continue;
            }
            let answer = self.post(instance, "/cache-events", &events);
            if answer.is_some_and(|answer| answer.outcome == "resync") {
                self.post(instance, "/cache-snapshot", &self.snapshot());
            }
        }
    }

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
            next: self.next,
            blocks: self.blocks.clone(),
        }
    }

    fn post<T>(&self, instance: SocketAddr, path: &str, value: &T) -> Option<Answer>
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
                log::debug!("{url}: {error}");
                None
            }
        }
    }
}
