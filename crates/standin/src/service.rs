//! The stand-in plain service: books what it is told and keeps a journal of what ran.

use std::time::Duration;

use entry::{Event, Header, Problem, Reply, Request, Status};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stakker::{CX, Fwd, after};
use upstream::Load;

use crate::Options;

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
    journal: Vec<Run>,
    running: u32,
}

impl Service {
    /// A service with an empty journal.
    pub fn init(_: CX![], options: Options) -> Option<Self> {
        Some(Self { options, journal: Vec::new(), running: 0 })
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
        }
    }

    fn arrive(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        if request.path == "/journal" {
            reply.fwd(json_reply(&self.journal));
            return;
        }
        let Ok(body) = String::from_utf8(request.body) else {
            let problem = Problem::not_run(Status::BAD_REQUEST, "invalid_body", "not UTF-8");
            reply.fwd(problem.into_reply());
            return;
        };
        let run = Run { number: self.journal.len() + 1, path: request.path, body };
        let confirmation = json!({ "number": run.number, "booked": run.body });
        self.journal.push(run);
        self.running += 1;
        let duration = self.options.word_interval.as_duration();
        after!(duration, [cx], confirm(reply, confirmation));
    }

    fn confirm(&mut self, _: CX![], reply: Fwd<Reply>, confirmation: serde_json::Value) {
        self.running -= 1;
        reply.fwd(json_reply(&confirmation));
    }
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
