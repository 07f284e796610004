//! Sends the planned requests of a scenario.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Call, Seen, agent, send};
use crate::plan::Request;
use crate::pool::{Job, send_all};
use crate::scenario::Scenario;
use crate::{Error, prompt};

/// A request with what the caller saw of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) request: Request,
    pub(crate) due: Instant,
    pub(crate) sent: Instant,
    pub(crate) seen: Seen,
}

/// Sends requests on a fixed number of threads.
pub(crate) struct Load {
    pub(crate) scenario: Arc<Scenario>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) threads: usize,
    pub(crate) started: Instant,
}

impl Load {
    /// Sends all `requests`; the samples come in the order of their ends.
    pub(crate) fn run(self, requests: Vec<Request>) -> Result<Vec<Sample>, Error> {
        let load = Arc::new(self);
        let planned = requests.into_iter().map(|request| (request.at, request)).collect();
        send_all(load.threads, load.started, planned, || {
            let (load, agent) = (load.clone(), agent());
            Box::new(move |job| load.send(&agent, &job))
        })
    }

    fn send(&self, agent: &ureq::Agent, job: &Job<Request>) -> Sample {
        let Job { number, request, due } = *job;
        let work = &self.scenario.work[request.work];
        let (service, turn_bytes) = (work.service.as_str(), self.scenario.turn_bytes);
        let body =
            prompt::body(service, request.conversation, request.turn, turn_bytes, work.words);
        let call = Call {
            address: self.callers[number % self.callers.len()],
            key: &self.scenario.accounts[request.account].key,
            kind: work.kind.as_str(),
            conversation: request.conversation,
            body: &body,
            deadline: due + work.deadline.as_duration(),
        };
        let sent = Instant::now();
        let seen = send(agent, &call);
        Sample { request, due, sent, seen }
    }
}

/// How late a request was sent, because all threads were busy.
pub(crate) fn send_lag(sample: &Sample) -> Duration {
    sample.sent.saturating_duration_since(sample.due)
}
