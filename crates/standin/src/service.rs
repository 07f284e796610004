//! Stand-in for a plain service, with a journal of the calls that ran.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use entry::{Event, Header, Problem, Rejection, Reply, Request, Status, Unsent};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stakker::{CX, Fwd, after};
use upstream::Load;

use crate::{Fault, Options};

/// Call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the call in the journal, from 1.
    pub number: usize,
    /// Path of the request.
    pub path: String,
    /// Body of the request as text.
    pub body: String,
}

/// Plain service whose calls are not idempotent, so that a caller must not repeat them.
pub struct Service {
    options: Options,
    fault: Fault,
    journal: Vec<Run>,
    running: u32,
    /// Number of crashes.
    crashes: u64,
    /// Called when the service crashes.
    crash: Fwd<()>,
}

/// Appends a call to the journal file; returns false if the file cannot be written.
fn append_run(path: &Path, run: &Run) -> bool {
    let line = serde_json::to_string(run).unwrap_or_default();
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| writeln!(file, "{line}")).is_ok()
}

/// Returns the calls in the journal file, which an earlier process may have written.
fn read_journal(path: &Path) -> Vec<Run> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

impl Service {
    /// Creates a service whose journal starts with the calls in the journal file, if one is set.
    pub(crate) fn init(_: CX![], options: Options, crash: Fwd<()>) -> Option<Self> {
        let journal = options.journal.as_deref().map(read_journal).unwrap_or_default();
        Some(Self { options, fault: Fault::None, journal, running: 0, crashes: 0, crash })
    }

    /// Handles an event from the HTTP server.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        if let Event::Arrived { request, unsent, reply, .. } = event {
            self.handle_request(cx, request, &unsent, reply);
        }
    }

    /// Returns the load of the service in the form of a load report.
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

    fn handle_request(&mut self, cx: CX![], request: Request, unsent: &Unsent, reply: Fwd<Reply>) {
        if request.path == "/journal" {
            reply.fwd(json_reply(&self.journal));
            return;
        }
        if request.path == "/stats" {
            reply.fwd(json_reply(&json!({ "crashes": self.crashes })));
            return;
        }
        let echo_header = attempt_echo(&request, self.fault);
        let Ok(body) = String::from_utf8(request.body) else {
            let problem = Problem::rejected(Rejection::BadRequest, "invalid_body", "not UTF-8");
            reply.fwd(problem.into_reply());
            return;
        };
        if request.path == "/fault" {
            reply.fwd(set_fault(&mut self.fault, &body));
            return;
        }
        match self.fault {
            Fault::Error => reply.fwd(server_error()),
            Fault::Refuse => reply.fwd(refusal(unsent)),
            _ => self.run_call(cx, (request.path, body), unsent, echo_header, reply),
        }
    }

    /// Records a call in the journal and confirms it after its duration.
    ///
    /// A call that cannot be written to the journal file is refused as not run.
    fn run_call(
        &mut self,
        cx: CX![],
        (path, body): (String, String),
        unsent: &Unsent,
        echo_header: Option<Header>,
        reply: Fwd<Reply>,
    ) {
        let run = Run { number: self.journal.len() + 1, path, body };
        if let Some(path) = &self.options.journal
            && !append_run(path, &run)
        {
            reply.fwd(refusal(unsent));
            return;
        }
        let confirmation = json!({ "number": run.number, "booked": run.body });
        let is_crash = self.fault.is_crash(&format!("{}{}", run.path, run.body));
        self.journal.push(run);
        self.running += 1;
        let duration = self.options.word_interval.as_duration() * self.fault.slowdown_factor();
        match self.fault {
            Fault::Hang => {}
            _ if is_crash => {
                after!(duration, [cx], crash());
            }
            Fault::Cut(_) => reply.fwd(Reply::Cut),
            _ => {
                after!(duration, [cx], send_confirmation(reply, confirmation, echo_header));
            }
        }
    }

    /// Ends as a crash of the process does: all calls are lost.
    fn crash(&mut self, _: CX![]) {
        self.crashes += 1;
        self.running = 0;
        self.options.incarnation.0 += 1;
        self.crash.fwd(());
    }

    fn send_confirmation(
        &mut self,
        _: CX![],
        reply: Fwd<Reply>,
        confirmation: Value,
        echo_header: Option<Header>,
    ) {
        self.running = self.running.saturating_sub(1);
        let mut response = json_reply(&confirmation);
        if let Reply::Whole { headers, .. } = &mut response {
            headers.extend(echo_header);
        }
        reply.fwd(response);
    }
}

/// Returns the header that tells the caller to which attempt the response belongs.
pub(crate) fn attempt_echo(request: &Request, fault: Fault) -> Option<Header> {
    let attempt = request.header("x-attempt-id")?;
    let is_crossed = matches!(fault, Fault::Crossed | Fault::ExportCrossed);
    let attempt = if is_crossed { "0" } else { attempt };
    Some(Header::new("x-attempt-id", attempt))
}

/// Sets the fault called `name`, or returns an error response if there is no such fault.
pub(crate) fn set_fault(fault: &mut Fault, name: &str) -> Reply {
    match name.parse() {
        Ok(parsed_fault) => {
            *fault = parsed_fault;
            json_reply(&json!({ "fault": name }))
        }
        Err(error) => {
            let error: crate::UnknownFault = error;
            Problem::rejected(Rejection::BadRequest, "unknown_fault", error.to_string())
                .into_reply()
        }
    }
}

/// Returns an error response without a verdict on whether the request has run.
pub(crate) fn server_error() -> Reply {
    Reply::Whole { status: Status(500), headers: Vec::new(), body: b"internal error".to_vec() }
}

/// Returns the refusal of a request, with the verdict that it has not run.
pub(crate) fn refusal(unsent: &Unsent) -> Reply {
    Problem::not_run(unsent, Status::UNAVAILABLE, "refused", "the stand-in takes no work")
        .into_reply()
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
