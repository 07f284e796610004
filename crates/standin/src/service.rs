//! The stand-in plain service: books what it is told and keeps a journal of what ran.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use entry::{Event, Header, Problem, Reply, Request, Status};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stakker::{CX, Fwd, after};
use upstream::Load;

use crate::{Fault, Options};

/// One call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1.
    pub number: usize,
    /// Its path.
    pub path: String,
    /// Its body as text.
    pub body: String,
}

/// A service whose calls must not be repeated.
pub struct Service {
    options: Options,
    fault: Fault,
    journal: Vec<Run>,
    running: u32,
}

/// Appends a run to the journal file; false when it cannot be written.
fn append(path: &Path, run: &Run) -> bool {
    let line = serde_json::to_string(run).unwrap_or_default();
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| writeln!(file, "{line}")).is_ok()
}

/// The runs in the journal file of an earlier process.
fn read(path: &Path) -> Vec<Run> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

impl Service {
    /// A service with the journal of its file, or an empty one.
    pub fn init(_: CX![], options: Options) -> Option<Self> {
        let journal = options.journal.as_deref().map(read).unwrap_or_default();
        Some(Self { options, fault: Fault::None, journal, running: 0 })
    }

    /// Takes one event of the HTTP server.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        if let Event::Arrived { request, reply } = event {
            self.arrive(cx, request, reply);
        }
    }

    /// The service's load, as it reports it.
    pub fn load(&self) -> Load {
        Load {
            upstream: self.options.name.clone(),
            incarnation: self.options.incarnation,
            running: self.running,
            waiting: 0,
            cached_blocks: 0,
            computed_blocks: 0,
        }
    }

    fn arrive(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        if request.path == "/journal" {
            reply.fwd(json_reply(&self.journal));
            return;
        }
        let echo = attempt_echo(&request, self.fault);
        let Ok(body) = String::from_utf8(request.body) else {
            let problem = Problem::not_run(Status::BAD_REQUEST, "invalid_body", "not UTF-8");
            reply.fwd(problem.into_reply());
            return;
        };
        if request.path == "/fault" {
            reply.fwd(set_fault(&mut self.fault, &body));
            return;
        }
        match self.fault {
            Fault::Error => reply.fwd(server_error()),
            Fault::Refuse => reply.fwd(refusal()),
            _ => self.book(cx, request.path, body, echo, reply),
        }
    }

    fn book(
        &mut self,
        cx: CX![],
        path: String,
        body: String,
        echo: Option<Header>,
        reply: Fwd<Reply>,
    ) {
        let run = Run { number: self.journal.len() + 1, path, body };
        if let Some(path) = &self.options.journal
            && !append(path, &run)
        {
            reply.fwd(refusal());
            return;
        }
        let confirmation = json!({ "number": run.number, "booked": run.body });
        self.journal.push(run);
        self.running += 1;
        let duration = self.options.word_interval.as_duration() * self.fault.slowness();
        match self.fault {
            Fault::Hang => {}
            Fault::Cut(_) => reply.fwd(Reply::Cut),
            _ => {
                after!(duration, [cx], confirm(reply, confirmation, echo));
            }
        }
    }

    fn confirm(&mut self, _: CX![], reply: Fwd<Reply>, confirmation: Value, echo: Option<Header>) {
        self.running -= 1;
        let mut confirmed = json_reply(&confirmation);
        if let Reply::Whole { headers, .. } = &mut confirmed {
            headers.extend(echo);
        }
        reply.fwd(confirmed);
    }
}

/// The header that tells the caller which attempt the answer belongs to.
pub(crate) fn attempt_echo(request: &Request, fault: Fault) -> Option<Header> {
    let attempt = request.header("x-attempt-id")?;
    let is_crossed = matches!(fault, Fault::Crossed | Fault::ExportCrossed);
    let attempt = if is_crossed { "0" } else { attempt };
    Some(Header::new("x-attempt-id", attempt))
}

/// Puts the named fault in force.
pub(crate) fn set_fault(fault: &mut Fault, name: &str) -> Reply {
    match name.parse() {
        Ok(named) => {
            *fault = named;
            json_reply(&json!({ "fault": name }))
        }
        Err(error) => {
            let error: crate::UnknownFault = error;
            Problem::not_run(Status::BAD_REQUEST, "unknown_fault", error.to_string()).into_reply()
        }
    }
}

/// A failure that does not say whether anything ran.
pub(crate) fn server_error() -> Reply {
    Reply::Whole { status: Status(500), headers: Vec::new(), body: b"internal error".to_vec() }
}

/// A refusal of a request that did not run.
pub(crate) fn refusal() -> Reply {
    Problem::not_run(Status::UNAVAILABLE, "refused", "the stand-in takes no work").into_reply()
}

fn json_reply<T>(value: &T) -> Reply
where
    T: Serialize,
{
    let headers = vec![Header::new("content-type", "application/json")];
    Reply::Whole {
        status: Status::OK,
        headers,
        body: serde_json::to_vec(value).unwrap_or_default(),
    }
}
