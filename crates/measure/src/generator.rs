//! Load generator that sends the planned requests of a scenario.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Call, Observation, agent, send_call};
use crate::plan::Request;
use crate::pool::{Job, send_all};
use crate::scenario::Scenario;
use crate::{Error, prompt};

/// Request that was sent, with its observed result.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) request: Request,
    pub(crate) due_at: Instant,
    pub(crate) sent_at: Instant,
    pub(crate) observation: Observation,
}

/// Sends requests from a fixed number of threads.
pub(crate) struct Generator {
    pub(crate) scenario: Arc<Scenario>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) threads: usize,
    pub(crate) started_at: Instant,
}

impl Generator {
    /// Sends all `requests` and returns the samples in the order in which the requests ended.
    pub(crate) fn run(self, requests: Vec<Request>) -> Result<Vec<Sample>, Error> {
        let generator = Arc::new(self);
        let planned_requests =
            requests.into_iter().map(|request| (request.offset, request)).collect();
        send_all(generator.threads, generator.started_at, planned_requests, || {
            let (generator, agent) = (generator.clone(), agent());
            Box::new(move |job| generator.send(&agent, &job))
        })
    }

    fn send(&self, agent: &ureq::Agent, job: &Job<Request>) -> Sample {
        let Job { index, request, due_at } = *job;
        let work = &self.scenario.work[request.work_index];
        let (service, turn_bytes) = (work.service.as_str(), self.scenario.turn_bytes);
        let body = prompt::request_body(
            service,
            request.conversation,
            request.turn,
            turn_bytes,
            work.words,
        );
        let call = Call {
            address: self.callers[index % self.callers.len()],
            api_key: &self.scenario.accounts[request.account_index].key,
            kind: work.kind.as_str(),
            conversation: request.conversation,
            body: &body,
            deadline: due_at + work.deadline.as_duration(),
        };
        let sent_at = Instant::now();
        let observation = send_call(agent, &call);
        Sample { request, due_at, sent_at, observation }
    }
}

/// Returns the delay between the planned arrival of a request and its sending.
///
/// The delay grows while all threads are busy.
pub(crate) fn send_lag(sample: &Sample) -> Duration {
    sample.sent_at.saturating_duration_since(sample.due_at)
}
