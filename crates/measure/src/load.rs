//! Sends the planned requests at their times, whatever becomes of earlier ones.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{Call, Seen, agent, send};
use crate::plan::Request;
use crate::scenario::Scenario;
use crate::{Error, prompt};

/// Stack of a sending thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

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

struct Job {
    number: usize,
    request: Request,
    due: Instant,
}

impl Load {
    /// Sends all `requests`; the samples come in the order of their ends.
    pub(crate) fn run(self, requests: Vec<Request>) -> Result<Vec<Sample>, Error> {
        let (jobs, waiting) = channel();
        let (samples, ended) = channel();
        let waiting = Arc::new(Mutex::new(waiting));
        let load = Arc::new(self);
        let threads = (0..load.threads)
            .map(|_| load.clone().start(waiting.clone(), samples.clone()))
            .collect::<Result<Vec<_>, _>>()?;
        drop(samples);
        load.schedule(requests, &jobs);
        drop(jobs);
        let samples = ended.iter().collect();
        for thread in threads {
            let _ = thread.join();
        }
        Ok(samples)
    }

    fn schedule(&self, requests: Vec<Request>, jobs: &Sender<Job>) {
        for (number, request) in requests.into_iter().enumerate() {
            let due = self.started + request.at;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if jobs.send(Job { number, request, due }).is_err() {
                return;
            }
        }
    }

    fn start(
        self: Arc<Self>,
        jobs: Arc<Mutex<Receiver<Job>>>,
        samples: Sender<Sample>,
    ) -> Result<JoinHandle<()>, Error> {
        let work = move || {
            let agent = agent();
            loop {
                let job = jobs.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok(job) = job else {
                    return;
                };
                if samples.send(self.send(&agent, job)).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work).map_err(Error::Thread)
    }

    fn send(&self, agent: &ureq::Agent, job: Job) -> Sample {
        let Job { number, request, due } = job;
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
