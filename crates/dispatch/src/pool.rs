//! The threads that make calls.

use std::collections::VecDeque;
use std::io::Read;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::{Call, Event, Field, Handle, Progress, Reuse, Sink, Verdict};

const READ_BYTES: usize = 16 << 10;
const STACK_BYTES: usize = 256 << 10;

/// Open connections that each thread keeps.
const MAX_IDLE: usize = 2;

/// The pool makes as many calls as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("all {limit} calls to upstreams are in use")]
pub struct Full {
    /// Most calls at once.
    pub limit: usize,
}

struct Job {
    call: Call,
    handle: Handle,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    idle: usize,
    threads: usize,
    is_closed: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    wakeup: Condvar,
    sink: Arc<dyn Sink>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes calls on up to a fixed number of threads, started when needed.
pub struct Pool {
    shared: Arc<Shared>,
    limit: usize,
}

fn agent(max_idle: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .build()
        .new_agent()
}

impl Pool {
    /// A pool of at most `limit` calls at once that reports to `sink`.
    pub fn new(limit: usize, sink: Arc<dyn Sink>) -> Self {
        let shared = Shared { queue: Mutex::default(), wakeup: Condvar::new(), sink };
        Self { shared: Arc::new(shared), limit }
    }

    /// Starts `call` on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`Full`] when as many calls are running as there may be; nothing was sent then.
    pub fn start(&self, call: Call) -> Result<Handle, Full> {
        let full = Full { limit: self.limit };
        let handle = Handle::default();
        let mut queue = self.shared.lock();
        if queue.idle <= queue.jobs.len() {
            if queue.threads >= self.limit {
                return Err(full);
            }
            self.spawn().map_err(|_| full)?;
            queue.threads += 1;
            queue.idle += 1;
        }
        queue.jobs.push_back(Job { call, handle: handle.clone() });
        self.shared.wakeup.notify_one();
        Ok(handle)
    }

    fn spawn(&self) -> std::io::Result<()> {
        let shared = self.shared.clone();
        std::thread::Builder::new()
            .name("upstream-call".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || work(&shared))
            .map(|_| ())
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.wakeup.notify_all();
    }
}

fn work(shared: &Shared) {
    let mut reusing = agent(MAX_IDLE);
    while let Some(job) = next_job(shared) {
        let agent = match job.call.reuse {
            Reuse::Allowed => reusing.clone(),
            Reuse::Never => agent(0),
        };
        if job.handle.begin(&agent) {
            run(shared, &job, &agent);
        }
        if !job.handle.end() {
            reusing = self::agent(MAX_IDLE);
        }
        shared.lock().idle += 1;
    }
}

fn next_job(shared: &Shared) -> Option<Job> {
    let mut queue = shared.lock();
    loop {
        if queue.is_closed {
            return None;
        }
        if let Some(job) = queue.jobs.pop_front() {
            queue.idle -= 1;
            return Some(job);
        }
        queue = shared.wakeup.wait(queue).unwrap_or_else(PoisonError::into_inner);
    }
}

fn run(shared: &Shared, job: &Job, agent: &Agent) {
    let report = |progress| {
        if !job.handle.is_cancelled() {
            shared.sink.deliver(Event { attempt: job.call.attempt, progress });
        }
    };
    match send(agent, &job.call) {
        Ok(response) => receive(job, response, report),
        Err((verdict, reason)) => report(Progress::Failed { verdict, reason }),
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}

fn send(agent: &Agent, call: &Call) -> Result<Response<Body>, (Verdict, String)> {
    if call.deadline <= Instant::now() {
        return Err((Verdict::NotRun, "the deadline passed before the call".to_string()));
    }
    let mut builder = Request::builder().method(call.method.as_str()).uri(&call.url);
    for field in &call.headers {
        builder = builder.header(&field.name, &field.value);
    }
    let request = builder
        .body(call.body.clone())
        .map_err(|error| (Verdict::NotRun, format!("the call cannot be built: {error}")))?;
    let request = agent
        .configure_request(request)
        .timeout_connect(Some(remaining(call.connect_by)))
        .timeout_global(Some(remaining(call.deadline)))
        .build();
    agent.run(request).map_err(|error| (verdict_of(&error), error.to_string()))
}

/// Judges an error that came before the answer's head.
fn verdict_of(error: &ureq::Error) -> Verdict {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Verdict::NotRun,
        ureq::Error::Io(source) if source.kind() == std::io::ErrorKind::ConnectionRefused => {
            Verdict::NotRun
        }
        _ => Verdict::MayHaveRun,
    }
}

fn receive<R>(job: &Job, response: Response<Body>, report: R)
where
    R: Fn(Progress),
{
    report(Progress::Head { status: response.status().as_u16(), headers: fields(&response) });
    let mut reader = response.into_body().into_reader();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return report(Progress::End),
            Ok(length) if job.handle.reserve(length, job.call.deadline) => {
                report(Progress::Part(buffer[..length].to_vec()));
            }
            Ok(_) => return report(broken("it was not taken in time")),
            Err(error) => return report(broken(error)),
        }
    }
}

fn broken<E>(error: E) -> Progress
where
    E: std::fmt::Display,
{
    let reason = format!("the answer broke off: {error}");
    Progress::Failed { verdict: Verdict::MayHaveRun, reason }
}

fn fields(response: &Response<Body>) -> Vec<Field> {
    let headers = response.headers().iter();
    headers
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_string();
            Some(Field { name: name.as_str().to_string(), value })
        })
        .collect()
}
