//! Read requests on the operators' port. Requests for data that only voters store are forwarded to
//! a voter.

use std::time::Duration;

use declare::Document;
use names::Instance;
use operator::{Request, Response};
use rand::seq::SliceRandom;
use stakker::{CX, after};

use super::packet::{ForwardedRead, ForwardedResponse, Packet};
use super::{Config, responses};
use crate::operators::PendingRequest;

/// Maximum time that one voter has to respond.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of the body in a voter's response, in bytes.
const MAX_FORWARDED_RESPONSE_BYTES: usize = 1800 << 10;

/// A request that waits for a voter's response.
pub(super) struct ForwardedRequest {
    pending: PendingRequest,
    id: u64,
    voters: Vec<Instance>,
}

impl Config {
    /// Responds to a read request, or forwards the request to a voter.
    pub(super) fn read(&mut self, cx: CX![], pending: PendingRequest) {
        let request = &pending.request;
        let path = request.path.clone();
        let in_force = self.in_force.to_string();
        let requested = request.query_parameter("revision").unwrap_or(&in_force);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/declarations") if requested == in_force && self.is_ready => {
                pending.respond(responses::content(self.in_force, &self.declarations));
            }
            ("GET", "/declarations") if !self.is_ready => {
                let message = "the newest revision is not known here yet; ask again later";
                pending.respond(Response::error(503, "not_ready", message));
            }
            ("GET", _) => match &self.revisions {
                Some(revisions) if revisions.borrow().revision() >= self.in_force => {
                    let response = responses::read(&path, &pending.request, &revisions.borrow());
                    pending.respond(response);
                }
                _ => self.forward_to_voters(cx, pending),
            },
            (method, _) => {
                let message = format!("{method} {path} does not exist");
                pending.respond(Response::error(404, "unknown_path", message));
            }
        }
    }

    /// Returns the response that lists the changes from the declarations in force to `document`.
    pub(super) fn compare(&self, document: &Document) -> Response {
        match Document::try_from(self.declarations.as_ref()) {
            Ok(current) => {
                responses::change_descriptions(self.in_force, None, &current.changes_to(document))
            }
            Err(error) => Response::error(500, "invalid_revision", error.to_string()),
        }
    }

    fn forward_to_voters(&mut self, cx: CX![], pending: PendingRequest) {
        let mut voters = self.dependencies.settings.voters.clone();
        voters.retain(|voter| *voter != self.dependencies.settings.instance);
        voters.shuffle(&mut rand::rng());
        self.last_forwarded_id += 1;
        let id = self.last_forwarded_id;
        self.forwarded_requests.push(ForwardedRequest { pending, id, voters });
        self.ask_next_voter(cx, id);
    }

    /// Forwards the request to the next voter, until one responds or no voter is left.
    fn ask_next_voter(&mut self, cx: CX![], id: u64) {
        let Ok(index) = self.forwarded_requests.binary_search_by(|forwarded| forwarded.id.cmp(&id))
        else {
            return;
        };
        let Some(voter) = self.forwarded_requests[index].voters.pop() else {
            let message = "no voter answers, and this instance keeps no history; ask again later";
            let forwarded = self.forwarded_requests.remove(index);
            forwarded.pending.respond(Response::error(503, "no_voter", message));
            return;
        };
        let request = &self.forwarded_requests[index].pending.request;
        let (path, query) = (request.path.clone(), request.query.clone());
        self.send(&voter, &Packet::ForwardedRead(ForwardedRead { id, path, query }));
        after!(VOTER_TIMEOUT, [cx], ask_next_voter(id));
    }

    /// Responds to a read request that a peer has forwarded.
    ///
    /// The request carries no operator token. The peer has authorized the operator, and only peers
    /// with the fleet secret can send this message.
    pub(super) fn handle_forwarded_read(&mut self, sender: &Instance, forwarded: ForwardedRead) {
        let Some(revisions) = &self.revisions else {
            return;
        };
        let request = Request {
            method: "GET".to_string(),
            path: forwarded.path.clone(),
            query: forwarded.query,
            token: None,
            body: Vec::new(),
        };
        let mut response = responses::read(&forwarded.path, &request, &revisions.borrow());
        if response.body.len() > MAX_FORWARDED_RESPONSE_BYTES {
            let message = "the answer is too large to pass on; help: ask a voter";
            response = Response::error(413, "answer_too_large", message);
        }
        let response =
            ForwardedResponse { id: forwarded.id, status: response.status, body: response.body };
        self.send(sender, &Packet::ForwardedResponse(response));
    }

    pub(super) fn handle_forwarded_response(&mut self, response: ForwardedResponse) {
        if let Ok(index) =
            self.forwarded_requests.binary_search_by(|forwarded| forwarded.id.cmp(&response.id))
        {
            let forwarded = self.forwarded_requests.remove(index);
            forwarded.pending.respond(Response::from_json_bytes(response.status, response.body));
        }
    }
}
