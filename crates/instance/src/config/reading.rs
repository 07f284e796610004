//! Reading requests; what only voters keep is asked of a voter.

use std::time::Duration;

use declare::Document;
use names::Instance;
use operator::{Request, Response};
use rand::seq::SliceRandom;
use stakker::{CX, after};

use super::packet::{Packet, Passed, Told};
use super::{Config, page};
use crate::operators::Ask;

/// How long one voter may take to answer.
const VOTER_WAIT: Duration = Duration::from_millis(1500);

/// Largest answer of a voter, in bytes.
const MAX_TOLD_BYTES: usize = 1800 << 10;

/// A request that waits for a voter's answer.
pub(super) struct PassedAsk {
    ask: Ask,
    id: u64,
    voters: Vec<Instance>,
}

impl Config {
    /// Answers a reading request.
    pub(super) fn read(&mut self, cx: CX![], ask: Ask) {
        let request = &ask.request;
        let path = request.path.clone();
        let in_force = self.in_force.to_string();
        let wanted = request.parameter("revision").unwrap_or(&in_force);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/declarations") if wanted == in_force && self.is_ready => {
                ask.answer(page::content(self.in_force, &self.declarations));
            }
            ("GET", "/declarations") if !self.is_ready => {
                let message = "the newest revision is not known here yet; ask again later";
                ask.answer(Response::error(503, "not_ready", message));
            }
            ("GET", _) => match &self.revisions {
                Some(revisions) if revisions.borrow().revision() >= self.in_force => {
                    let response = page::read(&path, &ask.request, &revisions.borrow());
                    ask.answer(response);
                }
                _ => self.pass(cx, ask),
            },
            (method, _) => {
                let message = format!("{method} {path} does not exist");
                ask.answer(Response::error(404, "unknown_path", message));
            }
        }
    }

    /// What `document` would change.
    pub(super) fn compare(&self, document: &Document) -> Response {
        match Document::try_from(self.declarations.as_ref()) {
            Ok(current) => page::words(self.in_force, None, &current.changes_to(document)),
            Err(error) => Response::error(500, "invalid_revision", error.to_string()),
        }
    }

    fn pass(&mut self, cx: CX![], ask: Ask) {
        let mut voters = self.around.settings.voters.clone();
        voters.retain(|voter| *voter != self.around.settings.instance);
        voters.shuffle(&mut rand::rng());
        self.last_passed += 1;
        let id = self.last_passed;
        self.passed.push(PassedAsk { ask, id, voters });
        self.ask_next_voter(cx, id);
    }

    /// Passes the request to the next voter, until one answers or none is left.
    fn ask_next_voter(&mut self, cx: CX![], id: u64) {
        let Ok(index) = self.passed.binary_search_by(|passed| passed.id.cmp(&id)) else {
            return;
        };
        let Some(voter) = self.passed[index].voters.pop() else {
            let message = "no voter answers, and this instance keeps no history; ask again later";
            let passed = self.passed.remove(index);
            passed.ask.answer(Response::error(503, "no_voter", message));
            return;
        };
        let request = &self.passed[index].ask.request;
        let (path, query) = (request.path.clone(), request.query.clone());
        self.send(&voter, &Packet::Passed(Passed { id, path, query }));
        after!(VOTER_WAIT, [cx], ask_next_voter(id));
    }

    /// Answers a request that a peer has passed on; only peers that know the fleet secret can.
    pub(super) fn answer_passed(&mut self, sender: &Instance, passed: Passed) {
        let Some(revisions) = &self.revisions else {
            return;
        };
        let request = Request {
            method: "GET".to_string(),
            path: passed.path.clone(),
            query: passed.query,
            token: None,
            body: Vec::new(),
        };
        let mut response = page::read(&passed.path, &request, &revisions.borrow());
        if response.body.len() > MAX_TOLD_BYTES {
            let message = "the answer is too large to pass on; help: ask a voter";
            response = Response::error(413, "answer_too_large", message);
        }
        let told = Told { id: passed.id, status: response.status, body: response.body };
        self.send(sender, &Packet::Told(told));
    }

    pub(super) fn take_told(&mut self, told: Told) {
        if let Ok(index) = self.passed.binary_search_by(|passed| passed.id.cmp(&told.id)) {
            let passed = self.passed.remove(index);
            passed.ask.answer(Response::encoded(told.status, told.body));
        }
    }
}
